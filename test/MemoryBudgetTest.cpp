#include <Hibiscus/Net>
#include <gtest/gtest.h>

#include <array>
#include <set>

using namespace Hibiscus;

namespace {

constexpr std::size_t base = MemoryBudget::connectionBytes;

/** \brief Budget whose connections are only numbers. */
struct Fixture
{
    MemoryBudget budget;
    std::vector<std::pair<MemoryBudget::ConnectionId, CloseReason>> closed;

    MemoryBudget::ConnectionId add(ConnectionUse use, std::size_t bytes, bool isEssential = false)
    {
        const auto id = std::make_shared<MemoryBudget::ConnectionId>(0);
        *id = this->budget.add(isEssential, [this, id](CloseReason reason) {
            this->closed.emplace_back(*id, reason);
            this->budget.remove(*id);
        });
        this->budget.update(*id, use, bytes);
        return *id;
    }

    bool isClosed(MemoryBudget::ConnectionId id) const
    {
        return std::ranges::any_of(this->closed,
                                   [&](const auto &item) { return item.first == id; });
    }
};

TEST(MemoryBudget, ClosesNothingWithinItsLimits)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 4 * base + 1'000, .maxConnections = 4 });
    for (int i = 0; i < 4; ++i)
        fixture.add(ConnectionUse::Body, 250);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.closed.empty());
    EXPECT_EQ(fixture.budget.usedBytes(), 4 * base + 1'000);
}

TEST(MemoryBudget, ClosesTheLargestUnfinishedRequestFirst)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 1'000'000 });
    const auto whole = fixture.add(ConnectionUse::Handled, 400'000);
    const auto answer = fixture.add(ConnectionUse::Answered, 350'000);
    const auto small = fixture.add(ConnectionUse::Body, 30'000);
    const auto large = fixture.add(ConnectionUse::Body, 300'000);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(large));
    for (const auto kept : { whole, answer, small })
        EXPECT_FALSE(fixture.isClosed(kept));
    EXPECT_EQ(fixture.closed.front().second, CloseReason::Memory);
}

TEST(MemoryBudget, ClosesEssentialConnectionsOnlyAfterAllOthers)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 1'000'000 });
    const auto batch = fixture.add(ConnectionUse::Body, 800'000, true);
    const auto small = fixture.add(ConnectionUse::Body, 100'000);
    const auto idle = fixture.add(ConnectionUse::Idle, 0);
    const auto large = fixture.add(ConnectionUse::Body, 150'000);
    fixture.budget.enforce();
    EXPECT_FALSE(fixture.isClosed(batch));
    EXPECT_TRUE(fixture.isClosed(large));
    EXPECT_TRUE(fixture.isClosed(small));
    EXPECT_FALSE(fixture.isClosed(idle));
    fixture.budget.update(batch, ConnectionUse::Body, 1'200'000);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(idle));
    EXPECT_TRUE(fixture.isClosed(batch));
}

// The job of a whole request may have begun, and so its caller must get a true answer.
TEST(MemoryBudget, ClosesNoRequestThatIsHandled)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 1'000'000 });
    fixture.add(ConnectionUse::Handled, 3'000'000);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.closed.empty());
    EXPECT_FALSE(fixture.budget.mayHandle());
}

TEST(MemoryBudget, RefusesRequestsWhileTheHandledOnesTakeHalf)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 1'000'000 });
    fixture.add(ConnectionUse::Body, 900'000);
    EXPECT_TRUE(fixture.budget.mayHandle());
    const auto whole = fixture.add(ConnectionUse::Handled, 500'000);
    EXPECT_FALSE(fixture.budget.mayHandle());
    fixture.budget.setLimits({ .maxBytes = 1'000'000, .maxHandledBytes = 600'000 });
    EXPECT_TRUE(fixture.budget.mayHandle());
    fixture.budget.setLimits({ .maxBytes = 1'000'000, .maxHandledBytes = 400'000 });
    EXPECT_FALSE(fixture.budget.mayHandle());
    fixture.budget.update(whole, ConnectionUse::Answered, 500'000);
    EXPECT_TRUE(fixture.budget.mayHandle());
}

TEST(MemoryBudget, HandlesSmallRequestsOfAllConnections)
{
    Fixture fixture;
    constexpr std::size_t maxBytes = 1'000'000;
    constexpr std::size_t count = maxBytes / 2 / base;
    fixture.budget.setLimits({ .maxBytes = maxBytes, .maxConnections = count });
    std::vector<MemoryBudget::ConnectionId> all;
    for (std::size_t i = 0; i < count; ++i)
        all.push_back(fixture.add(ConnectionUse::Handled, 2'000));
    EXPECT_TRUE(fixture.budget.mayHandle());
    for (const auto id : all)
        fixture.budget.update(id, ConnectionUse::Handled, base);
    EXPECT_TRUE(fixture.budget.mayHandle());
    for (const auto id : all)
        fixture.budget.remove(id);
    EXPECT_TRUE(fixture.budget.mayHandle());
}

TEST(MemoryBudget, ClosesSilentConnectionsBeforeThoseOfServedClients)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxConnections = 16 });
    const auto served = fixture.add(ConnectionUse::Idle, 0);
    const auto peer = fixture.add(ConnectionUse::Unused, 0, true);
    std::array<MemoryBudget::ConnectionId, 15> silent {};
    for (MemoryBudget::ConnectionId &id : silent)
        id = fixture.add(ConnectionUse::Unused, 0);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(silent.front()));
    EXPECT_FALSE(fixture.isClosed(silent.back()));
    EXPECT_FALSE(fixture.isClosed(served));
    EXPECT_FALSE(fixture.isClosed(peer));
    EXPECT_LE(fixture.budget.connectionCount(), 16U);
}

// Connections that are all in use of served clients don't keep another client out.
TEST(MemoryBudget, ClosesIdleConnectionsBeforeANewOne)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxConnections = 16 });
    const auto oldest = fixture.add(ConnectionUse::Idle, 0);
    for (int i = 0; i < 15; ++i)
        fixture.add(ConnectionUse::Idle, 0);
    const auto added = fixture.add(ConnectionUse::Unused, 0);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(oldest));
    EXPECT_FALSE(fixture.isClosed(added));
}

TEST(MemoryBudget, ClosesIdleConnectionsBeforeAnswersThatWereJustSent)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxConnections = 16 });
    const auto answer = fixture.add(ConnectionUse::Answered, 500);
    const auto idle = fixture.add(ConnectionUse::Idle, 0);
    for (int i = 0; i < 15; ++i)
        fixture.add(ConnectionUse::Idle, 0);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(idle));
    EXPECT_FALSE(fixture.isClosed(answer));
}

TEST(MemoryBudget, ClosesSmallAnswersForMemoryLastUntilTheyAreOld)
{
    Fixture fixture;
    const MemoryBudget::Limits limits = { .maxBytes = 16 * base };
    const auto answer = fixture.add(ConnectionUse::Answered, 500);
    const auto large = fixture.add(ConnectionUse::Answered, 100'000);
    for (int i = 0; i < 14; ++i)
        fixture.add(ConnectionUse::Idle, 0);
    fixture.budget.setLimits(limits);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(large));
    EXPECT_EQ(fixture.closed.size(), 3U);
    EXPECT_FALSE(fixture.isClosed(answer));
    fixture.budget.tick(TimePoint() + 1h);
    for (int i = 0; i < 3; ++i)
        fixture.add(ConnectionUse::Idle, 0);
    fixture.budget.enforce();
    EXPECT_TRUE(fixture.isClosed(answer));
}

TEST(MemoryBudget, ClosesOverdueRequests)
{
    Fixture fixture;
    fixture.budget.setLimits({ .headerTimeout = 10s, .bodyTimeout = 30s, .answerTimeout = 60s });
    const auto headers = fixture.add(ConnectionUse::Headers, 100);
    const auto body = fixture.add(ConnectionUse::Body, 100);
    const auto answer = fixture.add(ConnectionUse::Answered, 100);
    const auto idle = fixture.add(ConnectionUse::Idle, 0);
    const auto handled = fixture.add(ConnectionUse::Handled, 100);
    const TimePoint start = TimePoint() + 1h;
    const std::vector<std::pair<Duration, std::size_t>> closedAfter
        = { { 0s, 0 }, { 9s, 0 }, { 10s, 1 }, { 29s, 1 }, { 30s, 2 }, { 60s, 3 }, { 1h, 3 } };
    for (const auto &[time, count] : closedAfter) {
        fixture.budget.tick(start + time);
        EXPECT_EQ(fixture.closed.size(), count);
    }
    for (const auto id : { headers, body, answer })
        EXPECT_TRUE(fixture.isClosed(id));
    for (const auto id : { idle, handled })
        EXPECT_FALSE(fixture.isClosed(id));
}

TEST(MemoryBudget, CountsWhatItClosesByReason)
{
    Fixture fixture;
    fixture.budget.setLimits({ .maxBytes = 1'000'000, .maxConnections = 2 });
    EXPECT_TRUE(fixture.budget.takeReport().empty());
    fixture.add(ConnectionUse::Body, 2'000'000);
    fixture.budget.enforce();
    for (int i = 0; i < 3; ++i)
        fixture.add(ConnectionUse::Unused, 0);
    fixture.budget.enforce();
    const auto report = fixture.budget.takeReport();
    EXPECT_EQ(report.at("memory"), 1U);
    EXPECT_EQ(report.at("connections"), 1U);
    EXPECT_TRUE(fixture.budget.takeReport().empty());
}

TEST(MemoryBudget, TellsOnceThatMuchWasGivenBack)
{
    Fixture fixture;
    const TimePoint now = TimePoint() + 1h;
    const auto id = fixture.add(ConnectionUse::Handled, 100'000);
    fixture.budget.update(id, ConnectionUse::Idle, 0);
    EXPECT_FALSE(fixture.budget.takeRelease(now));
    fixture.budget.update(id, ConnectionUse::Handled, 2'000'000);
    EXPECT_FALSE(fixture.budget.takeRelease(now));
    fixture.budget.update(id, ConnectionUse::Idle, 0);
    EXPECT_TRUE(fixture.budget.takeRelease(now));
    EXPECT_FALSE(fixture.budget.takeRelease(now + 2s));
    const auto large = fixture.add(ConnectionUse::Body, 2'000'000);
    fixture.budget.remove(large);
    EXPECT_TRUE(fixture.budget.takeRelease(now + 2s));
}

TEST(MemoryBudget, ForgetsWhatIsRemoved)
{
    Fixture fixture;
    const auto first = fixture.add(ConnectionUse::Handled, 1'000);
    const auto second = fixture.add(ConnectionUse::Body, 1'000);
    fixture.budget.remove(first);
    fixture.budget.remove(second);
    fixture.budget.remove(second);
    fixture.budget.update(second, ConnectionUse::Handled, 1'000);
    EXPECT_EQ(fixture.budget.usedBytes(), 0U);
    EXPECT_EQ(fixture.budget.connectionCount(), 0U);
}

} // namespace
