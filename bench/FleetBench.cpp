// Measures how the dispatch code of the gateways serves the load of a filing service, in virtual
// time.

#include "test/support/FleetLoad.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "first seed of the runs");
DEFINE_uint64(seeds, 2, "number of seeds for each load pattern");
DEFINE_double(estimate_error, 0.4, "standard deviation of the logarithm of estimate / run time");
DEFINE_bool(one_node, false, "uses one gateway that owns all targets");
DEFINE_bool(whole_jobs, false, "chooses among whole jobs under shortage");
DEFINE_bool(grown, false, "uses a large site with small gateways; the load grows with it");
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
             { .name = "bursts",
               .load = { .kinds = kinds,
                         .jobsPerSecond = usualRate,
                         .burstFactor = 1.8,
                         .burstAt = 1s,
                         .burstSpan = 2s,
                         .burstInterval = 3s } },
             { .name = "slow-targets",
               .load = { .kinds = kinds, .jobsPerSecond = 130, .slowTargetShare = 0.17 } } };
}

void runPattern(Pattern pattern, std::uint64_t seed)
{
    pattern.load.seed = seed;
    pattern.load.estimateError = FLAGS_estimate_error;
    Fake::FleetSimulationOptions options
        = FLAGS_grown ? Fake::grownSiteOptions(seed) : Fake::filingSiteOptions(seed);
    constexpr double grownOverUsual = 351.0 / 48; // targets
    if (FLAGS_grown)
        pattern.load.jobsPerSecond *= grownOverUsual;
    if (FLAGS_whole_jobs)
        Fake::chooseWholeJobs(options);
    if (FLAGS_one_node) {
        options.targetsPerDomain *= static_cast<std::uint32_t>(options.domains.size());
        options.domains = { "a" };
        options.gatewaysPerDomain = 1;
    }
    Fake::FleetSimulation simulation(options);
    constexpr Duration startUpTime = 6s;
    simulation.run(startUpTime);
    const Fake::FleetLoadOutcome outcome = Fake::runLoad(simulation, pattern.load);
    std::cout << pattern.name << " seed " << seed << " credit " << outcome.earnedShare()
              << " starts/task " << outcome.startsPerTask;
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
