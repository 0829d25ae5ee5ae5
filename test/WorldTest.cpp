#include "test/support/World.h"

#include <gtest/gtest.h>
#include <map>

using namespace Hibiscus;

namespace {

TEST(World, QuietJobsAreCompleteAndStartOnce)
{
    Fake::WorldOptions options;
    options.seed = 11;
    Fake::World world(options);
    world.start();
    for (std::size_t i = 0; i < 60; ++i) {
        const auto kind = i % 3 == 0 ? Repeatability::Repeatable : Repeatability::NotRepeatable;
        world.submit(world.makeJob(options.domains[i % 3], 1 + i % 17, kind, 20s), i, 0);
        world.run(50ms);
    }
    world.run(25s);
    EXPECT_EQ(world.answers.size(), 60U);
    for (const Fake::ObservedAnswer &answer : world.answers)
        EXPECT_EQ(answer.answer.state, JobState::Complete) << answer.request.id.str();
    EXPECT_TRUE(world.violations().empty());
}

constexpr Duration rulesBound = 3s; // the users' bound for rules in force

ApplyRules applyOf(std::uint64_t expected)
{
    return { .applyId = "apply-" + std::to_string(expected),
             .expectedVersion = expected,
             .author = "test",
             .text = "quota team=t tasks=" + std::to_string(expected + 5) + " # test\n" };
}

TEST(World, RulesAreInForceWithinTheBoundAlsoAfterACutHeals)
{
    for (const std::uint64_t seed : { 31U, 32U, 33U, 34U, 35U }) {
        Fake::WorldOptions options;
        options.seed = seed;
        Fake::World world(options);
        world.start();
        const auto versionAt
            = [&](std::size_t entry) { return world.entries[entry]->rules()->file().version; };
        const auto applyAnywhere = [&](std::uint64_t expected) {
            for (std::size_t control = 0; control < 3; ++control)
                world.apply(applyOf(expected), control);
        };
        applyAnywhere(0);
        world.run(rulesBound);
        for (std::size_t i = 0; i < world.entries.size(); ++i)
            EXPECT_EQ(versionAt(i), 1U) << "seed " << seed << ", entry " << i;
        const std::string cutOff = world.entries[3]->name();
        world.network.cut(cutOff, "*");
        world.network.cut("*", cutOff);
        applyAnywhere(1);
        world.run(20s);
        EXPECT_EQ(versionAt(3), 1U);
        EXPECT_EQ(versionAt(4), 2U);
        world.network.heal();
        world.run(rulesBound);
        EXPECT_EQ(versionAt(3), 2U) << "seed " << seed;
    }
}

TEST(World, ADomainThatIsCutOffServesItsOwnCallers)
{
    for (const std::uint64_t seed : { 41U, 42U, 43U, 44U, 45U }) {
        Fake::WorldOptions options;
        options.seed = seed;
        Fake::World world(options);
        world.start();
        for (const char *other : { "a", "b" }) {
            world.network.cut("c", other);
            world.network.cut(other, "c");
        }
        world.run(6s);
        // Entry nodes 3 and 6 stand in domain c.
        for (std::size_t i = 0; i < 20; ++i) {
            const auto kind = i % 2 == 0 ? Repeatability::Repeatable : Repeatability::NotRepeatable;
            world.submit(world.makeJob("c", 1 + i % 7, kind, 20s), i % 4 < 2 ? 2 : 5, 0);
            world.run(200ms);
        }
        world.run(20s);
        ASSERT_EQ(world.answers.size(), 20U) << "seed " << seed;
        for (const Fake::ObservedAnswer &answer : world.answers)
            EXPECT_EQ(answer.answer.state, JobState::Complete) << "seed " << seed;
        world.network.heal();
        world.run(5s);
        EXPECT_TRUE(world.violations().empty());
    }
}

TEST(World, ATargetThatIsGoneOrLeavesGetsNoNewWorkAfterItsLease)
{
    for (const std::uint64_t seed : { 51U, 52U, 53U }) {
        Fake::WorldOptions options;
        options.seed = seed;
        Fake::World world(options);
        world.start();
        Fake::TargetProcess *leaving = world.targets[0].get();
        Fake::TargetProcess *gone = world.targets[4].get();
        std::map<std::string, TimePoint> lastSent;
        world.network.hook = [&](const Fake::Packet &packet) {
            if (packet.step == Fake::Step::TargetStart)
                lastSent[packet.to] = world.scheduler.now();
            return true;
        };
        const auto load = [&](int jobs) {
            for (int i = 0; i < jobs; ++i) {
                const auto index = static_cast<std::size_t>(i);
                world.submit(
                    world.makeJob(options.domains[index % 3], 6, Repeatability::Repeatable, 20s),
                    index, 0);
                world.run(40ms);
            }
        };
        load(50);
        EXPECT_TRUE(lastSent.contains(leaving->name()));
        EXPECT_TRUE(lastSent.contains(gone->name()));
        const TimePoint end = world.scheduler.now();
        leaving->leave();
        gone->kill();
        load(150);
        // An announcement is made every 600 ms and a lease lasts 2 s.
        EXPECT_LE(lastSent[leaving->name()], end + 2s) << "seed " << seed;
        EXPECT_LE(lastSent[gone->name()], end + 2s) << "seed " << seed;
        EXPECT_GT(world.scheduler.now(), end + 5s);
    }
}

} // namespace
