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

/** \brief Seeds of a default run; ./run soak runs more. */
constexpr std::uint64_t defaultFirstSeed = 1;
constexpr std::uint64_t defaultRunCount = 240;

std::uint64_t readNumber(const char *variable, std::uint64_t defaultValue)
{
    const char *text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::strtoull(text, nullptr, 10);
}

/** \returns two to five random faults at random steps; a fault or step may occur more than once. */
std::vector<PlannedFault> randomFaults(std::mt19937_64 &random)
{
    std::uniform_int_distribution<int> count(2, 5);
    std::uniform_int_distribution<int> anyStep(0, static_cast<int>(Step::Count) - 1);
    std::uniform_int_distribution<int> anyFault(0, static_cast<int>(Fault::Count) - 1);
    std::vector<PlannedFault> faults;
    for (int i = count(random); i > 0; --i) {
        // Prefers small numbers, because many steps occur only a few times.
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
    std::bernoulli_distribution isUnreliable(0.5);
    Fake::NetworkOptions options;
    if (isUnreliable(random)) {
        options.lossRate = rate(random);
        options.duplicateRate = rate(random);
        options.jitter = 20ms;
    }
    return options;
}

// Seed of the current run, printed if an invariant is violated.
volatile std::uint64_t currentSeed = 0;

void onAbort(int)
{
    std::fprintf(stderr, "invariant violated in seed %llu\n",
                 static_cast<unsigned long long>(currentSeed));
}

class RandomRun : public testing::TestWithParam<std::uint64_t>
{ };

TEST_P(RandomRun, GuaranteesHold)
{
    const std::uint64_t seed = GetParam();
    currentSeed = seed;
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
                         testing::Range(readNumber("HIBISCUS_FIRST_SEED", defaultFirstSeed),
                                        readNumber("HIBISCUS_FIRST_SEED", defaultFirstSeed)
                                            + readNumber("HIBISCUS_RUNS", defaultRunCount)));

} // namespace
