// Measures how the dispatch code of the gateways serves the load of a filing service, in virtual
// time.

#include "test/support/FleetLoad.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "first seed of the runs");
DEFINE_uint64(seeds, 2, "number of seeds for each load pattern");
DEFINE_double(estimate_error, 0.4, "standard deviation of the logarithm of estimate / run time");
DEFINE_bool(one_node, false, "uses one gateway that owns all targets");
DEFINE_bool(forecasts, false, "stops runs by forecasts from their progress");
DEFINE_bool(packing, false, "packs tasks by the gaps that they leave");
DEFINE_string(pattern, "", "prefix of the names of the patterns to run; empty: all");

namespace Hibiscus {

namespace {

/** \brief Load pattern of a run. */
struct Pattern
{
    std::string name;
    Fake::FleetLoadOptions load;
};

std::vector<Pattern> patterns()
{
    constexpr double usualRate = 155;
    const std::vector<Fake::FleetJobKind> kinds = Fake::filingJobKinds();
    return { { .name = "calm", .load = { .kinds = kinds, .jobsPerSecond = 80 } },
             { .name = "usual", .load = { .kinds = kinds, .jobsPerSecond = usualRate } },
             { .name = "burst-1.3",
               .load = { .kinds = kinds, .jobsPerSecond = usualRate, .burstFactor = 1.3 } },
             { .name = "burst-1.6",
               .load = { .kinds = kinds, .jobsPerSecond = usualRate, .burstFactor = 1.6 } },
             { .name = "overload",
               .load = { .kinds = kinds,
                         .jobsPerSecond = usualRate,
                         .burstFactor = 1.9,
                         .burstAt = 0s,
                         .burstSpan = 12s,
                         .slowTargetShare = 0.3,
                         .slowFactor = 4,
                         .slowAt = 6s } },
             { .name = "slow-targets",
               .load = { .kinds = kinds, .jobsPerSecond = 130, .slowTargetShare = 0.17 } },
             { .name = "long-tasks",
               .load = { .kinds = kinds,
                         .jobsPerSecond = usualRate,
                         .burstFactor = 1.3,
                         .longTaskShare = 0.03 } } };
}

void runPattern(Pattern pattern, std::uint64_t seed)
{
    pattern.load.seed = seed;
    pattern.load.estimateError = FLAGS_estimate_error;
    Fake::FleetSimulationOptions options = Fake::filingSiteOptions(seed);
    if (FLAGS_one_node) {
        options.targetsPerDomain *= static_cast<std::uint32_t>(options.domains.size());
        options.domains = { "a" };
        options.gatewaysPerDomain = 1;
    }
    options.node.owner.usesRunForecasts = FLAGS_forecasts;
    options.node.owner.packsTargets = FLAGS_packing;
    Fake::FleetSimulation simulation(options);
    constexpr Duration startUpTime = 6s;
    simulation.run(startUpTime);
    const Fake::FleetLoadOutcome outcome = Fake::runLoad(simulation, pattern.load);
    std::cout << pattern.name << " seed " << seed << " credit " << outcome.earnedShare()
              << " starts/task " << outcome.startsPerTask << " wasted "
              << outcome.wastedWork / outcome.work;
    for (const auto &[route, kind] : outcome.kinds)
        std::cout << " | " << route << " credit " << kind.earnedShare() << " late "
                  << 1.0 * kind.late / kind.jobs << " served " << kind.servedShare() << " refused "
                  << 1.0 * kind.refused / kind.jobs << " falsely unfinished "
                  << kind.falselyUnfinished << " held " << 1.0 * kind.unansweredForLong / kind.jobs
                  << " largest " << kind.largestServedShare();
    std::cout << std::endl;
}

} // namespace

} // namespace Hibiscus

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const Hibiscus::Pattern &pattern : Hibiscus::patterns())
        for (std::uint64_t i = 0; i < FLAGS_seeds; ++i)
            if (pattern.name.starts_with(FLAGS_pattern))
                Hibiscus::runPattern(pattern, FLAGS_seed + i);
    return 0;
}
