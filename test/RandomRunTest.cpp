#include "test/support/Scenario.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::Fault;
using Fake::PlannedFault;
using Fake::Scenario;
using Fake::ScenarioResult;
using Fake::Step;

namespace {

/** \brief Runs in one go; more of them are made by ./run soak. */
constexpr std::uint64_t usualFirstSeed = 1;
constexpr std::uint64_t usualRuns = 240;

std::uint64_t numberFrom(const char *variable, std::uint64_t otherwise)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

/** \returns two to five faults of any kind at any step, "together or twice". */
std::vector<PlannedFault> randomFaults(std::mt19937_64 &random)
{
    std::uniform_int_distribution<int> count(2, 5);
    std::uniform_int_distribution<int> anyStep(0, static_cast<int>(Step::Count) - 1);
    std::uniform_int_distribution<int> anyFault(0, static_cast<int>(Fault::Count) - 1);
    std::vector<PlannedFault> faults;
    for (int i = count(random); i > 0; --i) {
        // Small numbers are more common, since many steps are rare.
        std::uniform_int_distribution<std::uint64_t> scale(1, 9);
        std::uniform_int_distribution<std::uint64_t> occurrence(1,
                                                                std::uint64_t(1) << scale(random));
        faults.push_back({ .step = static_cast<Step>(anyStep(random)),
                           .occurrence = occurrence(random),
                           .fault = static_cast<Fault>(anyFault(random)) });
    }
    return faults;
}

Fake::NetworkOptions randomNetwork(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> rate(0.0, 0.03);
    std::bernoulli_distribution isBad(0.5);
    Fake::NetworkOptions options;
    if (isBad(random)) {
        options.lossRate = rate(random);
        options.duplicateRate = rate(random);
        options.jitter = 20ms;
    }
    return options;
}

// The seed of the run in progress, for the line that a broken invariant leaves behind.
volatile std::uint64_t seedInProgress = 0;

void onAbort(int)
{
    std::fprintf(stderr, "broken invariant in seed %llu\n",
                 static_cast<unsigned long long>(seedInProgress));
}

class RandomRun : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(RandomRun, PromisesHold)
{
    const std::uint64_t seed = GetParam();
    seedInProgress = seed;
    std::signal(SIGABRT, onAbort);
    std::mt19937_64 random(seed);
    const std::vector<PlannedFault> faults = randomFaults(random);
    const ScenarioResult result = Scenario(seed, faults, randomNetwork(random)).run();
    for (const std::string &failure : result.failures)
        ADD_FAILURE() << "seed " << seed << ": " << failure;
    if (!result.failures.empty())
        for (const PlannedFault &fault : faults)
            std::printf("seed %llu: %s at %s number %llu\n", static_cast<unsigned long long>(seed),
                        Fake::toString(fault.fault), Fake::toString(fault.step),
                        static_cast<unsigned long long>(fault.occurrence));
}

INSTANTIATE_TEST_SUITE_P(Seeds, RandomRun,
                         testing::Range(numberFrom("HIBISCUS_FIRST_SEED", usualFirstSeed),
                                        numberFrom("HIBISCUS_FIRST_SEED", usualFirstSeed)
                                            + numberFrom("HIBISCUS_RUNS", usualRuns)));

} // namespace
