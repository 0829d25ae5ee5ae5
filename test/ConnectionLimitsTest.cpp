#include <Hibiscus/Process>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

constexpr std::size_t megabyte = 1'000'000;

MemoryBudget::Limits limitsFor(std::uint32_t memoryMb)
{
    NodeContext node;
    node.profile.memoryMb = memoryMb;
    node.profile.maxDescriptors = 10'000;
    return node.connectionLimits();
}

// A batch that is over the budget by itself would be given up each time that it is sent.
TEST(ConnectionLimits, LeaveRoomForTheLargestBatchOnTheSmallestVm)
{
    const MemoryBudget::Limits limits = limitsFor(NodeProfile().memoryMb);
    EXPECT_GE(limits.maxBytes,
              maxMessageBytes + batchOverheadBytes
                  + limits.maxConnections * MemoryBudget::connectionBytes);
    EXPECT_LE(limits.maxBytes, NodeProfile().memoryMb * megabyte / 3);
    EXPECT_EQ(limits.maxHandledBytes, NodeProfile().memoryMb * megabyte / 8);
}

TEST(ConnectionLimits, AreAQuarterOfTheMemoryOtherwise)
{
    EXPECT_EQ(limitsFor(64).maxBytes, 16 * megabyte);
    EXPECT_EQ(limitsFor(1'000).maxBytes, 250 * megabyte);
}

} // namespace
