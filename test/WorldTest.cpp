#include "test/support/World.h"

#include <gtest/gtest.h>

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

} // namespace
