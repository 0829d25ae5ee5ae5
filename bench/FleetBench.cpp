// How the deciding code of gateways serves a filing service's load, in virtual time.

#include "test/support/FleetLoad.h"

#include <gflags/gflags.h>

#include <iostream>

DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 2, "seeds to play each pattern with");
DEFINE_double(estimate_error, 0.4, "deviation of the logarithm of estimates over run times");
DEFINE_bool(one_node, false, "one gateway that owns all targets");
DEFINE_string(pattern, "", "only the patterns whose names begin so");

namespace Hibiscus {

namespace {

struct Pattern
{
    std::string name;
    Fake::FleetLoadOptions load;
};

std::vector<Pattern> patterns()
{
    constexpr double usual = 155;
    const std::vector<Fake::FleetJobKind> kinds = Fake::filingJobKinds();
    return { { .name = "calm", .load = { .kinds = kinds, .jobsPerSecond = 80 } },
             { .name = "usual", .load = { .kinds = kinds, .jobsPerSecond = usual } },
             { .name = "burst-1.3",
               .load = { .kinds = kinds, .jobsPerSecond = usual, .burstFactor = 1.3 } },
             { .name = "burst-1.6",
               .load = { .kinds = kinds, .jobsPerSecond = usual, .burstFactor = 1.6 } },
             { .name = "slow-targets",
               .load = { .kinds = kinds, .jobsPerSecond = 130, .slowTargetShare = 0.17 } } };
}

void report(Pattern pattern, std::uint64_t seed)
{
    pattern.load.seed = seed;
    pattern.load.estimateError = FLAGS_estimate_error;
    Fake::FleetSimulationOptions options = Fake::filingSiteOptions(seed);
    if (FLAGS_one_node) {
        options.targetsPerDomain *= static_cast<std::uint32_t>(options.domains.size());
        options.domains = { "a" };
        options.gatewaysPerDomain = 1;
    }
    Fake::FleetSimulation simulation(options);
    constexpr Duration settling = 6s;
    simulation.run(settling);
    const Fake::FleetLoadOutcome outcome = Fake::runLoad(simulation, pattern.load);
    std::cout << pattern.name << " seed " << seed << " credit " << outcome.earnedShare()
              << " starts/task " << outcome.startsPerTask;
    for (const auto &[route, kind] : outcome.kinds)
        std::cout << " | " << route << " credit " << kind.earnedShare() << " late "
                  << 1.0 * kind.late / kind.jobs << " refused " << 1.0 * kind.refused / kind.jobs
                  << " held " << 1.0 * kind.unansweredForLong / kind.jobs << " largest "
                  << 1.0 * kind.largestJobsServed / kind.largestJobs;
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
                Hibiscus::report(pattern, FLAGS_seed + i);
    return 0;
}
