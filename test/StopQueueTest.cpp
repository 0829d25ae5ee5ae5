#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

StopOrder stopOf(const std::string &target, std::uint32_t index)
{
    StopOrder order;
    order.to.target = TargetName(target);
    order.run = { .job = "j", .index = index, .attempt = 1 };
    return order;
}

/** \returns the tasks of the stops that are sent now. */
std::vector<std::uint32_t> send(StopQueue &queue)
{
    std::vector<std::uint32_t> indices;
    for (const StopOrder &order : queue.takeSendable())
        indices.push_back(order.run.index);
    return indices;
}

using Indices = std::vector<std::uint32_t>;

// Each stop takes a connection, and a job may have thousands of tasks.
TEST(StopQueue, StopsToATargetWaitForEachOther)
{
    StopQueue queue({ .maxStopsPerTarget = 2 });
    for (std::uint32_t index = 0; index < 4; ++index)
        queue.add(stopOf("t", index));
    queue.add(stopOf("other", 9));
    EXPECT_EQ(send(queue), (Indices { 9, 0, 1 }));
    EXPECT_EQ(send(queue), Indices {});
    queue.finish(TargetName("t"));
    EXPECT_EQ(send(queue), (Indices { 2 }));
    queue.finish(TargetName("t"));
    queue.finish(TargetName("t"));
    EXPECT_EQ(send(queue), (Indices { 3 }));
}

TEST(StopQueue, AllTargetsTogetherHaveALimit)
{
    StopQueue queue({ .maxStopsPerTarget = 2, .maxStops = 3 });
    for (std::uint32_t index = 0; index < 2; ++index) {
        queue.add(stopOf("a", index));
        queue.add(stopOf("b", 2 + index));
    }
    EXPECT_EQ(send(queue), (Indices { 0, 1, 2 }));
    queue.finish(TargetName("a"));
    EXPECT_EQ(send(queue), (Indices { 3 }));
    for (const char *target : { "a", "b", "b", "b" })
        queue.finish(TargetName(target));
    queue.add(stopOf("c", 5));
    EXPECT_EQ(send(queue), (Indices { 5 }));
}

} // namespace
