#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief A driver that has settled its target and started one run, which the target confirmed. */
class Driven
{
public:
    Driven() : driver({}, target(), 7, this->now)
    {
        this->request.run = { .job = "j", .attempt = 1 };
        this->request.demand = { .cpu = 1000 };
        this->driver.tick(this->now, this->out);
        this->poll({});
        this->pass(10ms);
        this->driver.start(this->request, this->now, this->out);
        this->driver.handleStartResponse(this->request.run,
                                         { .status = OrderStatus::Done, .clockMs = 20 }, this->now,
                                         this->out);
        this->pass(10ms);
    }

    static LeasedTarget target()
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.capacity = { .cpu = 64'000 };
        return target;
    }

    void pass(Duration span)
    {
        this->now += span;
        this->driver.tick(this->now, this->out);
    }

    /** \brief The target answers the poll under way, and the next one is sent. */
    void poll(const std::vector<RunName> &running)
    {
        this->driver.handlePollResponse(
            this->lastPoll(), { .status = OrderStatus::Done, .clockMs = 10, .running = running },
            this->now, this->out);
        this->driver.tick(this->now, this->out);
    }

    std::size_t pollCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->out.orders, [](const TargetOrder &order) {
                return std::holds_alternative<PollOrder>(order);
            }));
    }

    /** \returns when the latest poll was sent. */
    TimePoint lastPoll() const
    {
        TimePoint sentAt;
        for (const TargetOrder &order : this->out.orders)
            if (const auto *poll = std::get_if<PollOrder>(&order))
                sentAt = poll->sentAt;
        return sentAt;
    }

    TimePoint now { 1'800'000'000s };
    DriverOutbox out;
    RunRequest request;
    TargetDriver driver;
};

// A target may not list a run any more that it is about to stop, though the run goes on for a
// while; and the poll may overtake the answer to the stop.
TEST(TargetDriver, ARunThatIsBeingStoppedIsNotOverBeforeItsTargetHadTheTime)
{
    Driven driven;
    driven.poll({ driven.request.run });
    driven.driver.stop(driven.request.run, driven.now, driven.out);
    driven.pass(5ms);
    driven.poll({});
    EXPECT_TRUE(driven.out.ends.empty()) << "before the stop was answered";
    driven.driver.handleStopResponse(driven.request.run,
                                     { .status = OrderStatus::Done, .clockMs = 30 }, driven.now);
    driven.pass(5ms);
    driven.poll({});
    driven.pass(20ms);
    driven.poll({});
    EXPECT_TRUE(driven.out.ends.empty()) << "25 ms after the stop was answered";
    driven.pass(60ms);
    driven.poll({});
    driven.pass(10ms);
    driven.poll({});
    ASSERT_EQ(driven.out.ends.size(), 1U);
    EXPECT_EQ(driven.out.ends[0].kind, RunEndKind::Stopped);
}

TEST(TargetDriver, AConfirmedRunThatIsNotListedIsLost)
{
    Driven driven;
    driven.poll({ driven.request.run });
    driven.pass(10ms);
    driven.poll({});
    ASSERT_EQ(driven.out.ends.size(), 1U);
    EXPECT_EQ(driven.out.ends[0].kind, RunEndKind::Lost);
}

// A start that was not answered may be carried out later: only an answered stop ends it.
TEST(TargetDriver, AnUnansweredStartIsNotOverWithoutAStop)
{
    Driven driven;
    RunRequest second = driven.request;
    second.run.index = 1;
    driven.driver.start(second, driven.now, driven.out);
    driven.driver.handleStartResponse(second.run, {}, driven.now, driven.out);
    for (int i = 0; i < 20; ++i) {
        driven.pass(100ms);
        driven.poll({ driven.request.run });
    }
    EXPECT_TRUE(driven.out.ends.empty());
}

// A target that was released and comes back may answer a poll of its former driver.
TEST(TargetDriver, AnAnswerToAPollOfAFormerDriverSaysNothing)
{
    Driven driven;
    driven.poll({ driven.request.run });
    driven.pass(10ms);
    const std::size_t polls = driven.pollCount();
    driven.driver.handlePollResponse(
        driven.now - 300ms, { .status = OrderStatus::Done, .clockMs = 10 }, driven.now, driven.out);
    driven.pass(10ms);
    EXPECT_TRUE(driven.out.ends.empty()) << "a run that was confirmed is taken for lost";
    EXPECT_EQ(driven.pollCount(), polls) << "a second poll is sent beside the one under way";
}

} // namespace
