#include "test/support/Simulation.h"

#include <gtest/gtest.h>
#include <map>

using namespace Hibiscus;

namespace {

TEST(Simulation, CompletesAllJobsWithoutFaults)
{
    Fake::SimulationOptions options;
    options.seed = 11;
    Fake::Simulation simulation(options);
    simulation.start();
    for (std::size_t i = 0; i < 60; ++i) {
        const auto kind = i % 3 == 0 ? Repeatability::Repeatable : Repeatability::NotRepeatable;
        simulation.submit(simulation.makeJob(options.domains[i % 3], 1 + i % 17, kind, 20s), i, 0);
        simulation.run(50ms);
    }
    simulation.run(25s);
    EXPECT_EQ(simulation.answers.size(), 60U);
    for (const Fake::ObservedAnswer &answer : simulation.answers)
        EXPECT_EQ(answer.answer.state, JobState::Complete) << answer.request.id.str();
    EXPECT_TRUE(simulation.violations().empty());
}

constexpr Duration maxRulesDelay = 3s; // required bound until new rules are in force

ApplyRules applyOf(std::uint64_t expected)
{
    return { .applyId = "apply-" + std::to_string(expected),
             .expectedVersion = expected,
             .author = "test",
             .text = "quota team=t tasks=" + std::to_string(expected + 5) + " # test\n" };
}

TEST(Simulation, RulesTakeEffectWithinTheBoundAlsoAfterAPartition)
{
    for (const std::uint64_t seed : { 31U, 32U, 33U, 34U, 35U }) {
        Fake::SimulationOptions options;
        options.seed = seed;
        Fake::Simulation simulation(options);
        simulation.start();
        const auto versionAt
            = [&](std::size_t entry) { return simulation.entries[entry]->rules()->file().version; };
        const auto applyAnywhere = [&](std::uint64_t expected) {
            for (std::size_t control = 0; control < 3; ++control)
                simulation.apply(applyOf(expected), control);
        };
        applyAnywhere(0);
        simulation.run(maxRulesDelay);
        for (std::size_t i = 0; i < simulation.entries.size(); ++i)
            EXPECT_EQ(versionAt(i), 1U) << "seed " << seed << ", entry " << i;
        const std::string isolated = simulation.entries[3]->name();
        simulation.network.cut(isolated, "*");
        simulation.network.cut("*", isolated);
        applyAnywhere(1);
        simulation.run(20s);
        EXPECT_EQ(versionAt(3), 1U);
        EXPECT_EQ(versionAt(4), 2U);
        simulation.network.heal();
        simulation.run(maxRulesDelay);
        EXPECT_EQ(versionAt(3), 2U) << "seed " << seed;
    }
}

TEST(Simulation, PartitionedDomainServesItsOwnCallers)
{
    for (const std::uint64_t seed : { 41U, 42U, 43U, 44U, 45U }) {
        Fake::SimulationOptions options;
        options.seed = seed;
        Fake::Simulation simulation(options);
        simulation.start();
        for (const char *other : { "a", "b" }) {
            simulation.network.cut("c", other);
            simulation.network.cut(other, "c");
        }
        simulation.run(6s);
        // Entry nodes 3 and 6 are in domain c.
        for (std::size_t i = 0; i < 20; ++i) {
            const auto kind = i % 2 == 0 ? Repeatability::Repeatable : Repeatability::NotRepeatable;
            simulation.submit(simulation.makeJob("c", 1 + i % 7, kind, 20s), i % 4 < 2 ? 2 : 5, 0);
            simulation.run(200ms);
        }
        simulation.run(20s);
        ASSERT_EQ(simulation.answers.size(), 20U) << "seed " << seed;
        for (const Fake::ObservedAnswer &answer : simulation.answers)
            EXPECT_EQ(answer.answer.state, JobState::Complete) << "seed " << seed;
        simulation.network.heal();
        simulation.run(5s);
        EXPECT_TRUE(simulation.violations().empty());
    }
}

TEST(Simulation, StoppedOrLeavingTargetGetsNoWorkAfterItsLease)
{
    for (const std::uint64_t seed : { 51U, 52U, 53U }) {
        Fake::SimulationOptions options;
        options.seed = seed;
        Fake::Simulation simulation(options);
        simulation.start();
        Fake::TargetProcess *leaving = simulation.targets[0].get();
        Fake::TargetProcess *stopped = simulation.targets[4].get();
        std::map<std::string, TimePoint> lastSent;
        simulation.network.hook = [&](const Fake::Packet &packet) {
            if (packet.step == Fake::Step::TargetStart)
                lastSent[packet.to] = simulation.scheduler.now();
            return true;
        };
        const auto submitJobs = [&](int jobs) {
            for (int i = 0; i < jobs; ++i) {
                const auto index = static_cast<std::size_t>(i);
                simulation.submit(simulation.makeJob(options.domains[index % 3], 6,
                                                     Repeatability::Repeatable, 20s),
                                  index, 0);
                simulation.run(40ms);
            }
        };
        submitJobs(50);
        EXPECT_TRUE(lastSent.contains(leaving->name()));
        EXPECT_TRUE(lastSent.contains(stopped->name()));
        const TimePoint end = simulation.scheduler.now();
        leaving->leave();
        stopped->kill();
        submitJobs(150);
        // Targets announce themselves every 600 ms, and a lease lasts 2 s.
        EXPECT_LE(lastSent[leaving->name()], end + 2s) << "seed " << seed;
        EXPECT_LE(lastSent[stopped->name()], end + 2s) << "seed " << seed;
        EXPECT_GT(simulation.scheduler.now(), end + 5s);
    }
}

} // namespace
