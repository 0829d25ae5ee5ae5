#include <Hibiscus/Telemetry>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint begin(1'800'000'000s);

TEST(LoadMeter, ReportsRatesAndMaximumTickDelayOfEachInterval)
{
    LoadMeter meter(2s);
    EXPECT_FALSE(meter.record(10ms, {}, begin)); // there are no previous totals yet
    EXPECT_FALSE(meter.record(500ms, { .processorTime = 50ms }, begin + 1s));
    const LoadTotals totals = {
        .processorTime = 100ms, .sentBytes = 4'000, .sentMessages = 20, .receivedMessages = 10
    };
    const auto reading = meter.record(10ms, totals, begin + 2s);
    ASSERT_TRUE(reading);
    EXPECT_DOUBLE_EQ(reading->processorShare, 0.05);
    EXPECT_DOUBLE_EQ(reading->sentBytesPerSecond, 2'000);
    EXPECT_DOUBLE_EQ(reading->sentMessagesPerSecond, 10);
    EXPECT_DOUBLE_EQ(reading->receivedMessagesPerSecond, 5);
    EXPECT_EQ(reading->maxTickDelay, 500ms);
    EXPECT_EQ(meter.record(0ms, totals, begin + 4s)->maxTickDelay, 0ms);
}

} // namespace
