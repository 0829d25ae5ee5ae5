#include <Hibiscus/Fleet>
#include <cmath>
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

// The next owner of a target would send it as much work as others until it has learned anew.
TEST(RunTimes, NextOwnerOfATargetContinuesWithItsSpeed)
{
    std::mt19937_64 random(1);
    RunTimes former;
    RunTimes next;
    const LeasedTarget slow = targetNamed("slow", "k");
    const LeasedTarget usual = targetNamed("usual", "k");
    addRuns(former, slow, 4, 60, random);
    addRuns(next, usual, 1, 60, random);
    EXPECT_LT(next.slowness(slow), 2);
    next.adopt(former.speedOf(slow.name));
    EXPECT_NEAR(next.slowness(slow), former.slowness(slow), 0.5);
    next.adopt({ .target = usual.name, .slowness = 0, .runCount = 9 });
    EXPECT_NEAR(next.slowness(usual), 1, 0.3) << "own runs come first";
}

TEST(RunTimes, UnusableSpeedOfAFormerOwnerIsIgnored)
{
    RunTimes times;
    const LeasedTarget target = targetNamed("t", "k");
    for (const double slowness : { 0.0, -1.0, double { NAN }, double { INFINITY } })
        times.adopt({ .target = target.name, .slowness = slowness, .runCount = 9 });
    EXPECT_EQ(times.slowness(target), 1);
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
