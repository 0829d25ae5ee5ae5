#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Driver of a reconciled target with one confirmed run. */
class DriverFixture
{
public:
    DriverFixture() : driver({}, target(), 7, this->now)
    {
        this->request.run = { .job = "j", .attempt = 1 };
        this->request.demand = { .cpu = 1000 };
        this->driver.tick(this->now, this->out);
        this->poll({});
        this->advance(10ms);
        this->driver.start(this->request, this->now, this->out);
        this->driver.handleStartResponse(this->request.run,
                                         { .status = OrderStatus::Done, .clockMs = 20 }, this->now,
                                         this->out);
        this->advance(10ms);
    }

    static LeasedTarget target()
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.capacity = { .cpu = 64'000 };
        return target;
    }

    void advance(Duration span)
    {
        this->now += span;
        this->driver.tick(this->now, this->out);
    }

    /** \brief Delivers the response to the current poll; the next one is sent. */
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

// A target may omit a run that it is stopping from its list although the run still goes on, and the
// response to a poll may arrive before that to the stop.
TEST(TargetDriver, StoppedRunDoesNotEndBeforeTheMaximumStopTime)
{
    DriverFixture fixture;
    fixture.poll({ fixture.request.run });
    fixture.driver.stop(fixture.request.run, fixture.now, fixture.out);
    fixture.advance(5ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "before the stop was confirmed";
    fixture.driver.handleStopResponse(fixture.request.run,
                                      { .status = OrderStatus::Done, .clockMs = 30 }, fixture.now);
    fixture.advance(5ms);
    fixture.poll({});
    fixture.advance(20ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "25 ms after the stop was confirmed";
    fixture.advance(60ms);
    fixture.poll({});
    fixture.advance(10ms);
    fixture.poll({});
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].kind, RunEndKind::Stopped);
}

TEST(TargetDriver, ConfirmedRunThatIsNotListedIsLost)
{
    DriverFixture fixture;
    fixture.poll({ fixture.request.run });
    fixture.advance(10ms);
    fixture.poll({});
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].kind, RunEndKind::Lost);
}

// A start without a response may be executed later: only a confirmed stop ends it.
TEST(TargetDriver, UnansweredStartDoesNotEndWithoutConfirmedStop)
{
    DriverFixture fixture;
    RunRequest second = fixture.request;
    second.run.index = 1;
    fixture.driver.start(second, fixture.now, fixture.out);
    fixture.driver.handleStartResponse(second.run, {}, fixture.now, fixture.out);
    for (int i = 0; i < 20; ++i) {
        fixture.advance(100ms);
        fixture.poll({ fixture.request.run });
    }
    EXPECT_TRUE(fixture.out.runEnds.empty());
}

// A target that was released and taken over again may respond to a poll of its previous driver.
TEST(TargetDriver, ResponseToAPollOfAPreviousDriverIsIgnored)
{
    DriverFixture fixture;
    fixture.poll({ fixture.request.run });
    fixture.advance(10ms);
    const std::size_t polls = fixture.pollCount();
    fixture.driver.handlePollResponse(fixture.now - 300ms,
                                      { .status = OrderStatus::Done, .clockMs = 10 }, fixture.now,
                                      fixture.out);
    fixture.advance(10ms);
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "a confirmed run was reported as lost";
    EXPECT_EQ(fixture.pollCount(), polls) << "a second poll was sent while one was in flight";
}

} // namespace
