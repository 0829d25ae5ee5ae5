#include <Hibiscus/Fleet>
#include <gtest/gtest.h>
#include <random>

using namespace Hibiscus;

namespace {

LeasedTarget targetNamed(const std::string &name, const std::string &kind)
{
    LeasedTarget target;
    target.name = TargetName(name);
    target.kind = kind;
    return target;
}

/** \brief Adds runs with estimates that are 40% off, on a target with slowness \a factor. */
void addRuns(RunTimes &times, const LeasedTarget &target, double factor, int runs,
             std::mt19937_64 &random)
{
    std::normal_distribution<double> deviation(0, 0.4);
    for (int i = 0; i < runs; ++i) {
        const double runTime = 0.2 * factor * std::exp(deviation(random));
        times.addRun(target, 200ms, fromSeconds(runTime));
    }
}

// Targets of one kind may differ in speed, so the slowness is learned for each.
TEST(RunTimes, TargetsOfOneKindAreDistinguished)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
        std::mt19937_64 random(seed);
        RunTimes times;
        const LeasedTarget slow = targetNamed("slow", "a");
        const LeasedTarget fast = targetNamed("fast", "a");
        for (int round = 0; round < 30; ++round) {
            addRuns(times, slow, 1.8, 1, random);
            addRuns(times, fast, 0.8, 1, random);
        }
        EXPECT_GT(times.slowness(slow), 1.5 * times.slowness(fast)) << "seed " << seed;
    }
}

TEST(RunTimes, NewTargetUsesMeanOfItsKind)
{
    std::mt19937_64 random(5);
    RunTimes times;
    addRuns(times, targetNamed("one", "a"), 2.0, 60, random);
    EXPECT_NEAR(times.slowness(targetNamed("another", "a")), 2.0, 0.5);
    EXPECT_EQ(times.slowness(targetNamed("third", "b")), 1.0);
}

} // namespace
