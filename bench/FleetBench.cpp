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
    const std::vector<Fake::FleetJobKind> kinds = Fake::filingKinds();
    return { { .name = "calm", .load = { .kinds = kinds, .perSecond = 80 } },
             { .name = "usual", .load = { .kinds = kinds, .perSecond = usual } },
             { .name = "burst-1.3", .load = { .kinds = kinds, .perSecond = usual, .burst = 1.3 } },
             { .name = "burst-1.6", .load = { .kinds = kinds, .perSecond = usual, .burst = 1.6 } },
             { .name = "slow-targets",
               .load = { .kinds = kinds, .perSecond = 130, .slowShare = 0.17 } } };
}

void report(Pattern pattern, std::uint64_t seed)
{
    pattern.load.seed = seed;
    pattern.load.estimateError = FLAGS_estimate_error;
    Fake::FleetWorldOptions options = Fake::filingWorld(seed);
    if (FLAGS_one_node) {
        options.targetsPerDomain *= static_cast<std::uint32_t>(options.domains.size());
        options.domains = { "a" };
        options.gatewaysPerDomain = 1;
    }
    Fake::FleetWorld world(options);
    constexpr Duration settling = 6s;
    world.run(settling);
    const Fake::FleetLoadOutcome outcome = Fake::play(world, pattern.load);
    std::cout << pattern.name << " seed " << seed << " credit " << outcome.credit()
              << " starts/task " << outcome.startsPerTask;
    for (const auto &[route, kind] : outcome.kinds)
        std::cout << " | " << route << " credit " << kind.credit() << " late "
                  << 1.0 * kind.late / kind.jobs << " refused " << 1.0 * kind.refused / kind.jobs
                  << " held " << 1.0 * kind.held / kind.jobs << " largest "
                  << 1.0 * kind.largestServed / kind.largest;
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
