#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Queue of the starts of one job's tasks. */
class QueueFixture
{
public:
    explicit QueueFixture(const StartQueueOptions &options) : queue(options) { }

    void add(std::uint32_t index, const std::string &target, std::size_t specBytes)
    {
        StartOrder order;
        order.to.target = TargetName(target);
        order.run = runOf(index);
        order.spec = std::string(specBytes, 'x');
        this->queue.add(order, this->now);
    }

    static RunName runOf(std::uint32_t index)
    {
        return { .job = "j", .index = index, .attempt = 1 };
    }

    /** \returns the tasks whose starts are sent now. */
    std::vector<std::uint32_t> send()
    {
        std::vector<std::uint32_t> indices;
        for (const NumberedStart &start : this->queue.takeSendable()) {
            indices.push_back(start.order.run.index);
            this->numbers[start.order.run.index] = start.number;
        }
        return indices;
    }

    TimePoint now { 1'800'000'000s };
    StartQueue queue;
    std::map<std::uint32_t, std::uint64_t> numbers;
};

using Indices = std::vector<std::uint32_t>;

TEST(StartQueue, OrdinaryStartsAreSentAtOnce)
{
    QueueFixture fixture({});
    Indices all;
    for (std::uint32_t index = 0; index < 32; ++index) {
        fixture.add(index, "t", 4'000);
        all.push_back(index);
    }
    EXPECT_EQ(fixture.send(), all);
    EXPECT_EQ(fixture.queue.sentCount(), 32U);
}

// The loop of the process writes what is sent at once, and each start holds its spec several times.
TEST(StartQueue, LargeSpecsAreSentAFewAtATime)
{
    QueueFixture fixture({ .maxLargeBytes = 500'000 });
    for (std::uint32_t index = 0; index < 5; ++index)
        fixture.add(index, "t", 240'000);
    EXPECT_EQ(fixture.send(), (Indices { 0, 1 }));
    EXPECT_EQ(fixture.send(), Indices {});
    fixture.queue.finish(fixture.numbers[0]);
    EXPECT_EQ(fixture.send(), (Indices { 2 }));
    fixture.queue.finish(fixture.numbers[0]);
    EXPECT_EQ(fixture.send(), Indices {}) << "the same start is finished again";
}

TEST(StartQueue, ASpecLargerThanTheLimitIsSentAlone)
{
    QueueFixture fixture({ .maxLargeBytes = 500'000 });
    fixture.add(0, "t", 600'000);
    fixture.add(1, "t", 600'000);
    EXPECT_EQ(fixture.send(), (Indices { 0 }));
}

TEST(StartQueue, LargeSpecsDontDelayOthers)
{
    QueueFixture fixture({ .maxLargeBytes = 300'000 });
    fixture.add(0, "t", 240'000);
    fixture.add(1, "t", 240'000);
    fixture.add(2, "t", 100);
    fixture.add(3, "other", 100);
    Indices sent = fixture.send();
    std::ranges::sort(sent);
    EXPECT_EQ(sent, (Indices { 0, 2, 3 }));
}

TEST(StartQueue, OneTargetDoesNotTakeAllConnections)
{
    QueueFixture fixture({ .maxStartsPerTarget = 2, .maxStarts = 5 });
    for (std::uint32_t index = 0; index < 4; ++index) {
        fixture.add(index, "a", 10);
        fixture.add(4 + index, "b", 10);
        fixture.add(8 + index, "c", 10);
    }
    EXPECT_EQ(fixture.send(), (Indices { 0, 1, 4, 5, 8 }));
    fixture.queue.finish(fixture.numbers[4]);
    EXPECT_EQ(fixture.send(), (Indices { 6 }));
}

TEST(StartQueue, AStartThatWaitsIsWithdrawnFromItsTargetOnly)
{
    QueueFixture fixture({ .maxStartsPerTarget = 1 });
    fixture.add(0, "t", 10);
    fixture.add(1, "t", 10);
    ASSERT_EQ(fixture.send(), (Indices { 0 }));
    const TargetName target("t");
    EXPECT_FALSE(fixture.queue.withdraw(target, QueueFixture::runOf(0))) << "it was sent";
    EXPECT_FALSE(fixture.queue.withdraw(TargetName("other"), QueueFixture::runOf(1)));
    EXPECT_TRUE(fixture.queue.withdraw(target, QueueFixture::runOf(1)));
    fixture.queue.finish(fixture.numbers[0]);
    EXPECT_EQ(fixture.send(), Indices {});
}

// It would arrive after its lease.
TEST(StartQueue, AStartThatWaitsForTooLongIsGivenUp)
{
    QueueFixture fixture({ .maxStartsPerTarget = 1, .maxWait = 400ms });
    fixture.add(0, "t", 10);
    fixture.add(1, "t", 10);
    ASSERT_EQ(fixture.send(), (Indices { 0 }));
    fixture.now += 399ms;
    EXPECT_TRUE(fixture.queue.takeExpired(fixture.now).empty());
    fixture.now += 1ms;
    ASSERT_EQ(fixture.queue.takeExpired(fixture.now).size(), 1U);
    fixture.queue.finish(fixture.numbers[0]);
    EXPECT_EQ(fixture.send(), Indices {});
    EXPECT_EQ(fixture.queue.waitingCount(), 0U);
}

// After the first one has ended, another coordinator may request a run of the same name.
TEST(StartQueue, ARunOfTheSameNameMayBeStartedAgain)
{
    QueueFixture fixture({});
    fixture.add(0, "t", 10);
    ASSERT_EQ(fixture.send(), (Indices { 0 }));
    const std::uint64_t first = fixture.numbers[0];
    fixture.add(0, "t", 10);
    ASSERT_EQ(fixture.send(), (Indices { 0 }));
    EXPECT_EQ(fixture.queue.sentCount(), 2U);
    fixture.queue.finish(first);
    fixture.queue.finish(fixture.numbers[0]);
    EXPECT_EQ(fixture.queue.sentCount(), 0U);
}

} // namespace
