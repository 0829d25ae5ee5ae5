#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Driver of a reconciled target with one confirmed run. */
class DriverFixture
{
public:
    DriverFixture() : driver({}, target(), token, this->now)
    {
        this->request.run = { .job = "j", .attempt = 1 };
        this->request.demand = { .cpu = 1000 };
        this->driver.tick(this->now, this->out);
        this->poll({});
        this->advance(TargetDriverOptions {}.maxStopTime);
        this->poll({});
        this->advance(10ms);
        this->driver.start(this->request, this->now + 10s, this->now, this->out);
        this->driver.handleStartResponse(this->request.run, token,
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

    /** \brief Starts a run whose start gets no response. \returns its name. */
    RunName startUnanswered(TimePoint validUntil)
    {
        RunRequest second = this->request;
        second.run.index = 1;
        this->driver.start(second, validUntil, this->now, this->out);
        this->driver.handleStartResponse(second.run, this->last<StartOrder>().to.fencingToken, {},
                                         this->now, this->out);
        return second.run;
    }

    std::size_t pollCount() const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(this->out.orders, [](const TargetOrder &order) {
                return std::holds_alternative<PollOrder>(order);
            }));
    }

    /** \returns the latest order of type \a Order, or an empty one. */
    template<typename Order>
    Order last() const
    {
        Order last;
        for (const TargetOrder &order : this->out.orders)
            if (const auto *found = std::get_if<Order>(&order))
                last = *found;
        return last;
    }

    /** \returns when the latest poll was sent. */
    TimePoint lastPoll() const { return this->last<PollOrder>().sentAt; }

    static constexpr std::uint64_t token = 7;
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
    fixture.driver.handleStopResponse(fixture.request.run, DriverFixture::token,
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

// Guards against two runs of one task: another owner may be stopping the run, and targets need not
// list a run that is being stopped.
TEST(TargetDriver, ConfirmedRunThatIsNotListedIsLostAfterTheMaximumStopTime)
{
    DriverFixture fixture;
    fixture.poll({ fixture.request.run });
    fixture.advance(10ms);
    fixture.poll({});
    fixture.advance(20ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "20 ms after the first list without it";
    fixture.advance(40ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "the poll was sent before the maximum stop time";
    fixture.poll({});
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].kind, RunEndKind::Lost);
}

TEST(TargetDriver, RunThatIsListedAgainIsNotLost)
{
    DriverFixture fixture;
    fixture.poll({});
    fixture.advance(40ms);
    fixture.poll({ fixture.request.run });
    fixture.advance(40ms);
    fixture.poll({});
    fixture.advance(40ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty());
}

// Guards against reporting a run as lost that ends yet: a list shows the state at its end, and
// polls wait.
TEST(TargetDriver, RunIsMissingSinceTheArrivalOfTheFirstListWithoutIt)
{
    DriverFixture fixture;
    fixture.poll({ fixture.request.run });
    fixture.advance(100ms);
    fixture.poll({});
    fixture.advance(20ms);
    fixture.poll({});
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "20 ms after the first list without it";
}

/** \brief Driver that has just taken over a target, which doesn't guard its capacity. */
class TakeOverFixture
{
public:
    explicit TakeOverFixture(const LeasedTarget &target = DriverFixture::target())
        : driver({}, target, DriverFixture::token, this->now)
    { }

    /** \brief Answers the next poll, which is sent \a delay from now, or later. */
    void answerPoll(Duration delay, const std::vector<RunName> &running,
                    const std::vector<EndedRun> &ended = {})
    {
        this->now += delay;
        const std::size_t sent = this->out.orders.size();
        while (this->out.orders.size() == sent) {
            this->now += 1ms;
            this->driver.tick(this->now, this->out);
        }
        const auto &poll = std::get<PollOrder>(this->out.orders.back());
        this->driver.handlePollResponse(poll.sentAt,
                                        { .status = OrderStatus::Done,
                                          .clockMs = this->targetClockMs,
                                          .running = running,
                                          .ended = ended },
                                        this->now, this->out);
    }

    bool acceptsWork() const { return this->driver.acceptsWork(this->now); }

    TimePoint now { 1'800'000'000s };
    std::int64_t targetClockMs = 10;
    RunName foreign { .job = "foreign", .attempt = 1 };
    DriverOutbox out;
    TargetDriver driver;
};

// Guards against work beside a previous owner's run that is being stopped: the target need not list
// it any more, but it goes on.
TEST(TargetDriver, NoWorkBesideAForeignRunThatIsBeingStopped)
{
    TakeOverFixture fixture;
    fixture.answerPoll(0ms, { fixture.foreign });
    fixture.answerPoll(200ms, { fixture.foreign });
    for (int i = 0; i < 2; ++i) {
        fixture.answerPoll(20ms, {});
        EXPECT_FALSE(fixture.acceptsWork()) << 20 * (i + 1) << " ms after it was listed";
    }
    fixture.answerPoll(60ms, {});
    EXPECT_TRUE(fixture.acceptsWork());
}

TEST(TargetDriver, WorkIsAcceptedOnceTheEndOfAForeignRunIsListed)
{
    TakeOverFixture fixture;
    fixture.answerPoll(0ms, { fixture.foreign });
    fixture.answerPoll(200ms, { fixture.foreign });
    fixture.answerPoll(20ms, {}, { { .number = 1, .run = fixture.foreign } });
    EXPECT_TRUE(fixture.acceptsWork());
}

// Guards against work beside runs that a previous owner has stopped just before: no list shows
// them.
TEST(TargetDriver, NoWorkRightAfterATakeOver)
{
    TakeOverFixture fixture;
    fixture.answerPoll(0ms, {});
    EXPECT_FALSE(fixture.acceptsWork());
    fixture.answerPoll(0ms, {});
    EXPECT_TRUE(fixture.acceptsWork());
    EXPECT_GE(std::get<PollOrder>(fixture.out.orders.back()).sentAt
                  - std::get<PollOrder>(fixture.out.orders.front()).sentAt,
              TargetDriverOptions {}.maxStopTime);
}

// A start without a response may be executed later: only a confirmed stop ends it.
TEST(TargetDriver, UnansweredStartDoesNotEndWithoutConfirmedStop)
{
    DriverFixture fixture;
    fixture.startUnanswered(fixture.now + 10s);
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

// Guards against two runs of one task: a run was given away when its target restarted, although the
// new incarnation had started it.
TEST(TargetDriver, RunOnARestartedTargetGoesOn)
{
    DriverFixture fixture;
    LeasedTarget restarted = DriverFixture::target();
    restarted.incarnation = 2;
    fixture.driver.handleRestart(restarted, 8, fixture.now);
    fixture.advance(10ms);
    EXPECT_TRUE(fixture.out.runEnds.empty());
    EXPECT_EQ(fixture.last<PollOrder>().to.incarnation, 2U);
    EXPECT_GE(fixture.last<PollOrder>().to.fencingToken, 8U);
    fixture.poll({ fixture.request.run });
    fixture.advance(10ms);
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "the new incarnation lists it as running";
    EXPECT_EQ(fixture.last<StopOrder>(), StopOrder()) << "it was started by this driver";
    fixture.poll({});
    fixture.advance(60ms);
    fixture.poll({});
    fixture.poll({});
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].kind, RunEndKind::Lost);
}

// Guards against two runs of one task: a start that the former incarnation did not answer may be
// executed by the new one, which has seen no fencing token.
TEST(TargetDriver, UnansweredStartOfARestartedTargetIsStoppedThere)
{
    DriverFixture fixture;
    RunRequest second = fixture.request;
    second.run.index = 1;
    fixture.driver.start(second, fixture.now + 10s, fixture.now, fixture.out);
    LeasedTarget restarted = DriverFixture::target();
    restarted.incarnation = 2;
    fixture.driver.handleRestart(restarted, 8, fixture.now);
    fixture.advance(10ms);
    EXPECT_EQ(fixture.last<StopOrder>().run, second.run);
    EXPECT_EQ(fixture.last<StopOrder>().to.incarnation, 2U);
    fixture.poll({});
    fixture.advance(60ms);
    fixture.poll({});
    fixture.poll({});
    ASSERT_EQ(fixture.out.runEnds.size(), 1U) << "only the confirmed run has certainly ended";
    EXPECT_EQ(fixture.out.runEnds[0].run, fixture.request.run);
    fixture.driver.handleStopResponse(second.run, DriverFixture::token,
                                      { .status = OrderStatus::Done, .clockMs = 30 }, fixture.now);
    fixture.advance(100ms);
    fixture.poll({});
    fixture.advance(100ms);
    fixture.poll({});
    EXPECT_EQ(fixture.out.runEnds.size(), 2U);
}

TEST(TargetDriver, RestartBeforeItsFirstHeartbeatGetsNoNewWork)
{
    DriverFixture fixture;
    fixture.driver.handleUnannouncedRestart(2, 8, fixture.now);
    fixture.advance(10ms);
    fixture.poll({ fixture.request.run });
    fixture.advance(TargetDriverOptions {}.maxStopTime);
    fixture.poll({ fixture.request.run });
    fixture.poll({ fixture.request.run });
    EXPECT_TRUE(fixture.driver.isReconciled());
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now));
    LeasedTarget restarted = DriverFixture::target();
    restarted.incarnation = 2;
    fixture.driver.handleHeartbeat(restarted, fixture.now);
    EXPECT_TRUE(fixture.driver.acceptsWork(fixture.now));
}

/** \returns the reading at \a time of a clock that is 2% slow and showed \a reading at \a readAt.
 */
std::int64_t slowClock(std::int64_t reading, TimePoint readAt, TimePoint time)
{
    return reading + toMilliseconds((time - readAt) * 98 / 100);
}

// Guards against two runs of one task: polls renewed the lease of a run that nobody wanted any
// more, so that it went on when its stop was not answered and its caller sent the job again.
TEST(TargetDriver, LeaseIsNotRenewedBeyondTheValidityOfARun)
{
    DriverFixture fixture;
    const TimePoint validUntil = fixture.now + 600ms;
    RunRequest second = fixture.request;
    second.run.index = 1;
    fixture.driver.start(second, validUntil, fixture.now, fixture.out);
    EXPECT_LE(fixture.last<StartOrder>().leaseExpiryMs,
              slowClock(20, fixture.now - 10ms, validUntil));
    fixture.poll({ fixture.request.run });
    ASSERT_TRUE(fixture.last<PollOrder>().leaseExpiryMs);
    EXPECT_LE(*fixture.last<PollOrder>().leaseExpiryMs, slowClock(10, fixture.now, validUntil));
    fixture.driver.stop(second.run, fixture.now, fixture.out);
    fixture.driver.extendValidity(second.run, fixture.now + 10s);
    while (fixture.now < validUntil)
        fixture.advance(100ms);
    fixture.poll({ fixture.request.run, second.run });
    EXPECT_FALSE(fixture.last<PollOrder>().leaseExpiryMs) << "a run that is being stopped goes on";
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now));
}

// Guards against two runs of one task: the polls of a new owner renewed the lease of the runs of
// the previous one, whose tasks were started again elsewhere.
TEST(TargetDriver, LeaseIsNotRenewedBeforeTheTargetIsReconciled)
{
    TakeOverFixture fixture;
    for (int i = 0; i < 4; ++i)
        fixture.answerPoll(50ms, { fixture.foreign });
    fixture.answerPoll(50ms, {});
    fixture.answerPoll(TargetDriverOptions {}.maxStopTime, {});
    for (const TargetOrder &order : fixture.out.orders)
        if (const auto *sent = std::get_if<PollOrder>(&order)) {
            EXPECT_FALSE(sent->leaseExpiryMs);
        }
    ASSERT_TRUE(fixture.driver.isReconciled());
    RunRequest request;
    request.run = { .job = "j", .attempt = 1 };
    fixture.driver.start(request, fixture.now + 10s, fixture.now, fixture.out);
    fixture.driver.tick(fixture.now, fixture.out);
    ASSERT_TRUE(std::holds_alternative<PollOrder>(fixture.out.orders.back()));
    EXPECT_TRUE(std::get<PollOrder>(fixture.out.orders.back()).leaseExpiryMs);
}

// Guards against two runs of one task: the runs of a departing target were given away when the
// announcement arrived, although the target goes on until it has received the acknowledgement.
TEST(TargetDriver, RunOnADepartingTargetEndsOnlyWithProofOrItsLease)
{
    DriverFixture fixture;
    fixture.advance(2s);
    fixture.poll({ fixture.request.run });
    const TimePoint leasedUntil = fixture.now + TargetDriverOptions {}.maxRenewal;
    fixture.driver.handleDeparture(fixture.now, fixture.out);
    EXPECT_EQ(fixture.last<StopOrder>().run, fixture.request.run);
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now));
    fixture.advance(10ms);
    EXPECT_TRUE(fixture.out.runEnds.empty());
    fixture.poll({ fixture.request.run });
    EXPECT_FALSE(fixture.last<PollOrder>().leaseExpiryMs);
    fixture.advance(leasedUntil - fixture.now - 10ms);
    EXPECT_TRUE(fixture.out.runEnds.empty()) << "the lease has not expired";
    fixture.advance(10ms);
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].kind, RunEndKind::Lost);
    EXPECT_TRUE(fixture.driver.isEnded());
}

// A lease that was granted cannot be shortened, so none is granted before there is a run.
TEST(TargetDriver, LeaseOfAnIdleTargetIsNotRenewed)
{
    TakeOverFixture fixture;
    const TimePoint takenOverAt = fixture.now;
    fixture.answerPoll(0ms, {});
    fixture.answerPoll(0ms, {});
    fixture.driver.tick(fixture.now, fixture.out);
    ASSERT_TRUE(fixture.driver.isReconciled());
    EXPECT_FALSE(std::get<PollOrder>(fixture.out.orders.back()).leaseExpiryMs);
    EXPECT_FALSE(fixture.driver.isLeaseOverBy(takenOverAt + 1s))
        << "the previous owner may have renewed it just now";
    EXPECT_TRUE(fixture.driver.isLeaseOverBy(takenOverAt + 1100ms));
}

// Guards against a target that is blocked by one run whose stop is never confirmed.
TEST(TargetDriver, UnconfirmedStopEndsWithTheValidityOfTheRun)
{
    DriverFixture fixture;
    const TimePoint validUntil = fixture.now + 600ms;
    const RunName second = fixture.startUnanswered(validUntil);
    while (fixture.now < validUntil) {
        fixture.poll({ fixture.request.run });
        fixture.advance(100ms);
        EXPECT_TRUE(fixture.out.runEnds.empty());
    }
    fixture.poll({ fixture.request.run });
    fixture.advance(100ms);
    fixture.poll({ fixture.request.run });
    ASSERT_EQ(fixture.out.runEnds.size(), 1U);
    EXPECT_EQ(fixture.out.runEnds[0].run, second);
    EXPECT_TRUE(fixture.driver.acceptsWork(fixture.now));
}

// Guards against a run that goes on because each repeated stop was sent over another silent
// connection.
TEST(TargetDriver, RepeatedStopUsesANewConnection)
{
    DriverFixture fixture;
    fixture.driver.stop(fixture.request.run, fixture.now, fixture.out);
    EXPECT_FALSE(fixture.last<StopOrder>().usesNewConnection);
    fixture.advance(80ms);
    fixture.driver.handleStopResponse(fixture.request.run, DriverFixture::token, {}, fixture.now);
    fixture.advance(50ms);
    EXPECT_TRUE(fixture.last<StopOrder>().usesNewConnection);
}

// Guards against two runs of one task: a poll that was executed late renewed the lease of a run
// after its owner had died. Later orders of the owner fence it.
TEST(TargetDriver, TokenIsRaisedEachSecondUnlessAStartIsInFlight)
{
    DriverFixture fixture;
    const std::uint64_t first = fixture.last<PollOrder>().to.fencingToken;
    fixture.advance(1s);
    fixture.poll({ fixture.request.run });
    const std::uint64_t second = fixture.last<PollOrder>().to.fencingToken;
    EXPECT_GT(second, first);
    fixture.advance(100ms);
    fixture.poll({ fixture.request.run });
    EXPECT_EQ(fixture.last<PollOrder>().to.fencingToken, second);
    RunRequest other = fixture.request;
    other.run.index = 1;
    fixture.advance(1s);
    fixture.driver.start(other, fixture.now + 10s, fixture.now, fixture.out);
    fixture.poll({ fixture.request.run });
    EXPECT_EQ(fixture.last<PollOrder>().to.fencingToken, second) << "it would fence the start";
    fixture.driver.handleStartResponse(other.run, DriverFixture::token,
                                       { .status = OrderStatus::Done, .clockMs = 30 }, fixture.now,
                                       fixture.out);
    fixture.poll({ fixture.request.run, other.run });
    EXPECT_GT(fixture.last<PollOrder>().to.fencingToken, second);
}

/** \returns a fixture whose driver has owned its target for longer than the minimum tenure. */
DriverFixture longTimeOwner()
{
    DriverFixture fixture;
    for (int i = 0; i < 25; ++i) {
        fixture.advance(100ms);
        LeasedTarget heartbeat = DriverFixture::target();
        heartbeat.sequence = static_cast<std::uint64_t>(i) + 1;
        fixture.driver.handleHeartbeat(heartbeat, fixture.now);
        fixture.driver.extendValidity(fixture.request.run, fixture.now + 10s);
        fixture.poll({ fixture.request.run });
    }
    return fixture;
}

void answerPollAsFenced(DriverFixture &fixture)
{
    fixture.driver.handlePollResponse(fixture.lastPoll(), { .status = OrderStatus::Fenced },
                                      fixture.now, fixture.out);
    fixture.driver.tick(fixture.now, fixture.out);
}

// Guards against owners that lose their targets, with all runs, to a guardian that took them for
// lost.
TEST(TargetDriver, GoesOnWithAHigherTokenAfterAFence)
{
    DriverFixture fixture = longTimeOwner();
    const std::uint64_t fenced = FencingToken::fenceOf(fixture.driver.fencingToken());
    answerPollAsFenced(fixture);
    EXPECT_FALSE(fixture.driver.isFenced());
    EXPECT_TRUE(fixture.driver.isRegaining());
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now)) << "the target may have another owner";
    EXPECT_GT(fixture.last<PollOrder>().to.fencingToken, fenced);
    fixture.poll({ fixture.request.run });
    EXPECT_FALSE(fixture.driver.isRegaining());
    EXPECT_TRUE(fixture.driver.acceptsWork(fixture.now));
    EXPECT_TRUE(fixture.driver.hasRun(fixture.request.run));
}

TEST(TargetDriver, IsGivenUpIfTheHigherTokenIsRejectedToo)
{
    DriverFixture fixture = longTimeOwner();
    answerPollAsFenced(fixture);
    answerPollAsFenced(fixture);
    EXPECT_TRUE(fixture.driver.isFenced());
}

// Two nodes that take a target over at about the same time must not override each other in turn.
TEST(TargetDriver, IsGivenUpIfItIsFencedSoonAfterItsTakeOver)
{
    DriverFixture fixture;
    answerPollAsFenced(fixture);
    EXPECT_TRUE(fixture.driver.isFenced());
}

// An order that was sent before the token was raised is fenced by this driver's own later orders.
TEST(TargetDriver, RejectionOfAnEarlierTokenIsNoFence)
{
    DriverFixture fixture;
    fixture.driver.stop(fixture.request.run, fixture.now, fixture.out);
    fixture.driver.handleStopResponse(fixture.request.run, DriverFixture::token - 1,
                                      { .status = OrderStatus::Fenced }, fixture.now);
    EXPECT_FALSE(fixture.driver.isFenced());
}

// A link between gateways that flaps must not cost an owner its targets.
TEST(TargetDriver, GoesOnAfterSeveralFencesInTurn)
{
    DriverFixture fixture = longTimeOwner();
    for (int i = 0; i < 3; ++i) {
        answerPollAsFenced(fixture);
        fixture.advance(100ms);
        fixture.poll({ fixture.request.run });
    }
    EXPECT_FALSE(fixture.driver.isFenced());
    answerPollAsFenced(fixture);
    EXPECT_TRUE(fixture.driver.isFenced()) << "the fourth fence within the minimum tenure";
}

// The runs on the target may be those of another owner.
TEST(TargetDriver, RenewsNoLeaseUntilTheTargetAcceptsTheHigherToken)
{
    DriverFixture fixture = longTimeOwner();
    answerPollAsFenced(fixture);
    EXPECT_FALSE(fixture.last<PollOrder>().leaseExpiryMs);
    fixture.poll({ fixture.request.run });
    EXPECT_TRUE(fixture.last<PollOrder>().leaseExpiryMs);
}

// Guards against a fence that is lower than later orders of the owner, since the guardian knows an
// earlier token only.
TEST(TargetDriver, TokensInOrdersStayBelowTheFenceOfTheReportedToken)
{
    DriverFixture fixture;
    const std::uint64_t reported = fixture.driver.fencingToken();
    for (int second = 0; second < 60; ++second) {
        fixture.advance(1s);
        fixture.poll({ fixture.request.run });
        EXPECT_LT(fixture.last<PollOrder>().to.fencingToken,
                  FencingToken::fenceOf(fixture.driver.fencingToken()));
        EXPECT_LT(fixture.last<PollOrder>().to.fencingToken, FencingToken::fenceOf(reported))
            << "reported " << second << " s ago";
    }
}

TEST(TargetDriver, AsksForAFenceWhileAnUnansweredStartCannotBeStopped)
{
    DriverFixture fixture;
    const RunName second = fixture.startUnanswered(fixture.now + 10s);
    EXPECT_FALSE(fixture.driver.describe(fixture.now).isFenceWanted);
    fixture.advance(300ms);
    EXPECT_TRUE(fixture.driver.describe(fixture.now).isFenceWanted);
    fixture.driver.handleStopResponse(second, DriverFixture::token,
                                      { .status = OrderStatus::Done, .clockMs = 30 }, fixture.now);
    EXPECT_FALSE(fixture.driver.describe(fixture.now).isFenceWanted);
}

// Guards against an owner that is fenced on its own request again and again.
TEST(TargetDriver, AsksForNoFenceOnceTheTargetRejectsTheStart)
{
    DriverFixture fixture = longTimeOwner();
    fixture.startUnanswered(fixture.now + 10s);
    fixture.advance(300ms);
    EXPECT_TRUE(fixture.driver.describe(fixture.now).isFenceWanted);
    answerPollAsFenced(fixture);
    fixture.poll({ fixture.request.run });
    EXPECT_FALSE(fixture.driver.describe(fixture.now).isFenceWanted);
}

// Guards against work for a target that was acknowledged elsewhere to leave: whoever knows only
// that it was ready some time ago cannot rely on it.
TEST(TargetDriver, NoWorkOnceTheLatestHeartbeatIsOld)
{
    TakeOverFixture fixture;
    fixture.answerPoll(0ms, {});
    fixture.answerPoll(0ms, {});
    ASSERT_TRUE(fixture.acceptsWork());
    for (int i = 0; i < 18; ++i)
        fixture.answerPoll(100ms, {});
    EXPECT_FALSE(fixture.acceptsWork());
    LeasedTarget next = DriverFixture::target();
    next.sequence = 1;
    fixture.driver.handleHeartbeat(next, fixture.now);
    EXPECT_TRUE(fixture.acceptsWork());
}

// The same by the target's clock, as a heartbeat may have waited in a socket.
TEST(TargetDriver, NoWorkForATargetThatWasTakenOverByAnOldHeartbeat)
{
    LeasedTarget target = DriverFixture::target();
    target.clockMs = 5'000;
    for (const Duration age : { 1'500ms, 2'000ms }) {
        TakeOverFixture fixture(target);
        fixture.targetClockMs = target.clockMs + toMilliseconds(age);
        fixture.answerPoll(0ms, {});
        fixture.answerPoll(0ms, {});
        EXPECT_EQ(fixture.acceptsWork(), age < 2s);
    }
}

/** \brief Sends \a count starts at once, to none of which the target responds, and stops them. */
void startUnansweredAtOnce(DriverFixture &fixture, std::uint32_t firstIndex, std::uint32_t count)
{
    std::vector<StartOrder> starts;
    for (std::uint32_t index = firstIndex; index < firstIndex + count; ++index) {
        RunRequest request = fixture.request;
        request.run.index = index;
        fixture.driver.start(request, fixture.now + 10s, fixture.now, fixture.out);
        starts.push_back(fixture.last<StartOrder>());
    }
    fixture.advance(80ms);
    for (const StartOrder &start : starts)
        fixture.driver.handleStartResponse(start.run, start.to.fencingToken, {}, fixture.now,
                                           fixture.out);
    for (const StartOrder &start : starts)
        fixture.driver.handleStopResponse(start.run, start.to.fencingToken,
                                          { .status = OrderStatus::Done, .clockMs = 20 },
                                          fixture.now);
}

// The starts of a wide job are sent together, and a short disturbance hits them together.
TEST(TargetDriver, StartsThatTimeOutTogetherPauseTheTargetOnce)
{
    const TargetDriverOptions options;
    DriverFixture fixture;
    startUnansweredAtOnce(fixture, 1, 10);
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now));
    fixture.advance(options.avoidAfterRefusal);
    fixture.poll({ fixture.request.run });
    EXPECT_TRUE(fixture.driver.acceptsWork(fixture.now));
    startUnansweredAtOnce(fixture, 11, 2);
    fixture.advance(options.avoidAfterRefusal);
    fixture.poll({ fixture.request.run });
    EXPECT_FALSE(fixture.driver.acceptsWork(fixture.now)) << "the pause is doubled each time";
    fixture.advance(options.avoidAfterRefusal);
    fixture.poll({ fixture.request.run });
    EXPECT_TRUE(fixture.driver.acceptsWork(fixture.now));
}

} // namespace
