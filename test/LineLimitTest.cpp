#include <Hibiscus/Telemetry>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

TEST(LineLimit, CountsWhatItLeavesOut)
{
    LineLimit limit;
    const TimePoint now = TimePoint() + 1h;
    for (std::uint64_t i = 0; i < LineLimit::maxLines; ++i)
        EXPECT_TRUE(limit.take(now));
    for (int i = 0; i < 3; ++i)
        EXPECT_FALSE(limit.take(now));
    EXPECT_TRUE(limit.take(now + LineLimit::interval));
    EXPECT_EQ(limit.takeOmitted(), 3U);
    EXPECT_EQ(limit.takeOmitted(), 0U);
}

TEST(LineLimit, CutsTextsOfClients)
{
    EXPECT_EQ(loggedText("short"), "short");
    EXPECT_EQ(loggedText(std::string(100'000, 'a')), std::string(maxLoggedText, 'a'));
}

} // namespace
