#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Owner of one reconciled target with capacity for two tasks. */
class OwnerFixture
{
public:
    OwnerFixture()
    {
        this->sendHeartbeat();
        this->answerPolls();
        this->now += TargetDriverOptions {}.maxStopTime;
        this->answerPolls();
    }

    void sendHeartbeat()
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.capacity = { .cpu = 64'000 };
        target.sequence = ++this->sequence;
        this->owner.updateTarget(target, this->now);
    }

    /** \brief Answers all polls as \a incarnation with lists without runs. \returns the polls. */
    std::vector<PollOrder> answerPolls(std::uint64_t incarnation = 1)
    {
        std::vector<PollOrder> polls;
        this->owner.tick([](const Requester &) { return std::nullopt; }, this->now);
        for (const TargetOrder &order : this->owner.takeOrders())
            if (const auto *poll = std::get_if<PollOrder>(&order))
                polls.push_back(*poll);
            else if (const auto *start = std::get_if<StartOrder>(&order))
                this->unansweredStart = *start;
        for (const PollOrder &poll : polls)
            this->owner.handlePollResponse(
                poll.to, poll.sentAt,
                { .status = OrderStatus::Done, .clockMs = 10, .incarnation = incarnation },
                this->now);
        return polls;
    }

    /** \brief Requests an attempt at a task, whose requester wanted it \a contactAge ago. */
    void requestRun(std::uint64_t attempt, const Requester &requester, std::uint32_t index = 0,
                    Duration contactAge = {}, Duration untilDeadline = 1s)
    {
        RunRequest request;
        request.run = { .job = "j", .index = index, .attempt = attempt };
        request.service = ServiceName("s");
        request.demand = { .cpu = 27'000 };
        request.estimate = 100ms;
        request.untilObjective = 1s;
        request.untilDeadline = untilDeadline;
        this->owner.requestRun(request, requester, this->now);
        this->owner.startQueuedRuns(
            [&](const Requester &) { return std::optional(this->now - contactAge); }, this->now);
    }

    /** \brief Responds with \a status to the starts that were ordered, and to polls by lists
     * without runs.
     */
    void answerStarts(OrderStatus status)
    {
        for (const TargetOrder &order : this->owner.takeOrders()) {
            if (const auto *start = std::get_if<StartOrder>(&order))
                this->owner.handleStartResponse(start->to, start->run,
                                                { .status = status, .clockMs = 10 }, this->now);
            if (const auto *poll = std::get_if<PollOrder>(&order))
                this->owner.handlePollResponse(poll->to, poll->sentAt,
                                               { .status = OrderStatus::Done, .clockMs = 10 },
                                               this->now);
        }
    }

    /** \brief Starts a run of a job that may wait for \a untilDeadline; the target responds with
     * \a status.
     */
    void startRun(Duration untilDeadline, OrderStatus status)
    {
        this->requestRun(1, this->first, 0, {}, untilDeadline);
        this->answerStarts(status);
    }

    /** \brief Lets \a span pass, in which the target sends heartbeats, but responds to nothing. */
    void passWithoutResponses(Duration span, bool isFenced = false)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->now += 50ms) {
            this->sendHeartbeat();
            this->owner.tick([](const Requester &) { return std::nullopt; }, this->now);
            this->owner.endPendingStarts(
                [&](const TargetName &, std::uint64_t) { return isFenced; }, this->now);
            this->owner.takeOrders();
        }
    }

    TimePoint now { 1'800'000'000s };
    std::uint64_t sequence = 0;
    std::optional<StartOrder> unansweredStart; ///< the latest that answerPolls() has left
    FleetOwner owner { {} };
    Requester first { .node = NodeName("a"), .incarnation = 1 };
    Requester second { .node = NodeName("b"), .incarnation = 1 };
};

// A caller may send a job again to another coordinator: its task must not start at another owner
// while the first attempt runs here.
TEST(FleetOwner, RunWaitingForAnotherAttemptIsNotReturned)
{
    OwnerFixture fixture;
    fixture.requestRun(1, fixture.first);
    fixture.requestRun(2, fixture.second);
    ASSERT_EQ(fixture.owner.runningRunCount(), 1U);
    ASSERT_EQ(fixture.owner.queuedRunCount(), 1U);
    fixture.now += 50ms;
    const auto hasFreeCapacity = [](const RunRequest &, const RunBounds &) { return true; };
    fixture.owner.returnQueuedRuns(hasFreeCapacity, fixture.now);
    EXPECT_FALSE(fixture.owner.requesters()[fixture.second].hasEndedRuns);
    EXPECT_EQ(fixture.owner.queuedRunCount(), 1U);
}

// Guards against two runs of one task: a lease that was renewed for other runs, or by the previous
// owner, lets a run go on beyond its validity, and it cannot be shortened.
TEST(FleetOwner, RunIsNotStartedUnderALeaseThatOutlivesItsValidity)
{
    OwnerFixture fixture;
    fixture.requestRun(1, fixture.first, 0, 500ms);
    EXPECT_EQ(fixture.owner.runningRunCount(), 0U) << "the previous owner's lease may outlive it";
    fixture.now += 1100ms;
    fixture.answerPolls();
    fixture.requestRun(1, fixture.first, 1);
    ASSERT_EQ(fixture.owner.runningRunCount(), 1U);
    fixture.requestRun(1, fixture.second, 2, 500ms);
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U)
        << "its contact is too old for the renewed lease";
    fixture.requestRun(1, fixture.second, 3, 100ms);
    EXPECT_EQ(fixture.owner.runningRunCount(), 2U);
}

// Guards against two runs of one task: a target that restarted is noticed by its lists of runs.
TEST(FleetOwner, ListOfAnotherIncarnationShowsTheRestartOfATarget)
{
    OwnerFixture fixture;
    fixture.requestRun(1, fixture.first);
    fixture.answerPolls(2);
    const OwnedTarget restarted = fixture.owner.report(fixture.now).targets.at(0);
    EXPECT_EQ(restarted.incarnation, 2U);
    EXPECT_FALSE(restarted.acceptsWork) << "no heartbeat has described the new incarnation";
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U) << "its run may be on the new incarnation";
    fixture.answerPolls(1);
    EXPECT_EQ(fixture.owner.report(fixture.now).targets.at(0).incarnation, 2U);
}

// A requester that is silent keeps its run no longer than its last contact allows.
TEST(FleetOwner, LeaseFollowsTheContactWithTheRequester)
{
    OwnerFixture fixture;
    fixture.requestRun(1, fixture.first);
    const TimePoint wantedAt = fixture.now;
    std::optional<std::int64_t> latest;
    while (fixture.now < wantedAt + 1500ms) {
        fixture.owner.tick([&](const Requester &) { return std::nullopt; }, fixture.now);
        for (const PollOrder &poll : fixture.answerPolls())
            latest = poll.leaseExpiryMs ? poll.leaseExpiryMs : latest;
        fixture.now += 100ms;
    }
    ASSERT_TRUE(latest);
    EXPECT_LE(*latest, 10 + toMilliseconds(FleetOwnerOptions {}.maxOrphanTime));
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U) << "its start may still be executed";
    fixture.owner.handleStartResponse(fixture.unansweredStart->to, fixture.unansweredStart->run,
                                      { .status = OrderStatus::Unanswered }, fixture.now);
    fixture.answerPolls();
    fixture.now += 100ms;
    fixture.answerPolls();
    EXPECT_EQ(fixture.owner.runningRunCount(), 0U) << "the lists do not contain it";
}

// Guards against runs given up without need: after a stall of this node, a target that had
// responded until then was removed as unreachable before it could respond.
TEST(FleetOwner, TargetIsNotUnreachableRightAfterAStall)
{
    OwnerFixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.now += 100ms;
        fixture.sendHeartbeat();
        fixture.answerPolls();
    }
    fixture.owner.invalidateTargetContacts(fixture.now);
    fixture.now += 10ms;
    fixture.owner.tick([](const Requester &) { return std::nullopt; }, fixture.now);
    ASSERT_EQ(fixture.owner.targetNames().size(), 1U);
    EXPECT_FALSE(fixture.owner.report(fixture.now).targets.at(0).acceptsWork);
    fixture.now += 100ms;
    fixture.answerPolls();
    fixture.answerPolls();
    EXPECT_TRUE(fixture.owner.report(fixture.now).targets.at(0).acceptsWork);
}

// Guards against work for a target that has not responded since a stall of this node: the response
// to an earlier poll had waited in a socket meanwhile.
TEST(FleetOwner, ResponseThatWaitedDuringAStallDoesNotMakeContactValid)
{
    OwnerFixture fixture;
    fixture.answerPolls();
    EXPECT_TRUE(fixture.owner.report(fixture.now).targets.at(0).acceptsWork);
    fixture.now += 600ms;
    fixture.owner.invalidateTargetContacts(fixture.now);
    fixture.answerPolls();
    EXPECT_FALSE(fixture.owner.report(fixture.now).targets.at(0).acceptsWork);
    fixture.now += 10ms;
    fixture.answerPolls();
    EXPECT_TRUE(fixture.owner.report(fixture.now).targets.at(0).acceptsWork);
}

// Guards against two runs of a task: its target is given up, the task starts elsewhere, and the
// target executes a start that it left unanswered (review/12).
TEST(FleetOwner, RunWhoseStartIsPendingIsNotGivenBackWithItsTarget)
{
    OwnerFixture fixture;
    fixture.startRun(30s, OrderStatus::Unanswered);
    const TimePoint sentAt = fixture.now;
    fixture.passWithoutResponses(12s);
    EXPECT_TRUE(fixture.owner.runEndsFor(fixture.first).empty());
    EXPECT_TRUE(fixture.owner.begunRunsFor(fixture.first).empty());
    fixture.requestRun(2, fixture.second, 0, {}, 30s);
    EXPECT_EQ(fixture.owner.queuedRunCount(), 1U) << "an attempt for another coordinator waits";
    fixture.passWithoutResponses(sentAt + maxStartLateness + 4s - fixture.now);
    ASSERT_EQ(fixture.owner.runEndsFor(fixture.first).size(), 1U);
    EXPECT_EQ(fixture.owner.runEndsFor(fixture.first)[0].kind, RunEndKind::Lost);
}

TEST(FleetOwner, RunThatHasBegunIsGivenBackWithItsTarget)
{
    OwnerFixture fixture;
    fixture.startRun(30s, OrderStatus::Done);
    EXPECT_EQ(fixture.owner.begunRunsFor(fixture.first).size(), 1U);
    fixture.passWithoutResponses(4s);
    ASSERT_EQ(fixture.owner.runEndsFor(fixture.first).size(), 1U);
    EXPECT_EQ(fixture.owner.runEndsFor(fixture.first)[0].kind, RunEndKind::Unknown);
}

// A task waits no longer than its start can take effect.
TEST(FleetOwner, RunWhoseStartIsPendingIsGivenBackOnceItsTargetIsFenced)
{
    OwnerFixture fixture;
    fixture.startRun(30s, OrderStatus::Unanswered);
    fixture.passWithoutResponses(5s);
    ASSERT_TRUE(fixture.owner.runEndsFor(fixture.first).empty());
    fixture.passWithoutResponses(50ms, true);
    ASSERT_EQ(fixture.owner.runEndsFor(fixture.first).size(), 1U);
    EXPECT_EQ(fixture.owner.runEndsFor(fixture.first)[0].kind, RunEndKind::Lost);
}

// Guards against a caller that waits though its job can't end in time any more, and against a job
// that counts as never run.
TEST(FleetOwner, RunWhoseStartIsPendingIsReportedWhenItsJobCannotWaitOrIsGivenUp)
{
    OwnerFixture fixture;
    fixture.startRun(6s, OrderStatus::Unanswered);
    fixture.passWithoutResponses(5s);
    fixture.owner.withdrawRuns(fixture.first, { { .job = "j", .attempt = 1 } }, fixture.now);
    EXPECT_EQ(fixture.owner.stoppingRunsFor(fixture.first).size(), 1U);
    ASSERT_TRUE(fixture.owner.runEndsFor(fixture.first).empty());
    fixture.passWithoutResponses(1s);
    ASSERT_EQ(fixture.owner.runEndsFor(fixture.first).size(), 1U);
    EXPECT_EQ(fixture.owner.runEndsFor(fixture.first)[0].kind, RunEndKind::StartPending);
}

/** \brief Gateway with one peer in its failure domain, of which it has heard. */
class GatewayFixture
{
public:
    GatewayFixture()
    {
        this->node.updatePeer(
            { .node = NodeName("p"), .incarnation = 1, .domain = DomainName("a"), .weight = 1 },
            this->now);
        this->receive({});
    }

    static LeasedTarget target(std::uint64_t sequence, TargetState state)
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.domain = DomainName("a");
        target.service = ServiceName("s");
        target.capacity = { .cpu = 64'000 };
        target.state = state;
        target.sequence = sequence;
        target.clockMs = static_cast<std::int64_t>(1'500 * sequence);
        return target;
    }

    /** \brief Delivers a message of the peer that hands \a targets over. */
    void receive(const std::vector<LeasedTarget> &targets)
    {
        this->node.receive({ .from = NodeName("p"),
                             .incarnation = 1,
                             .domain = DomainName("a"),
                             .sequence = ++this->sequence,
                             .transferredTargets = targets },
                           this->now);
    }

    void advance(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->now += 10ms)
            this->node.tick(this->now);
    }

    /** \returns the state of the target that this node holds as its owner, if it is. */
    std::optional<TargetState> ownedState() const
    {
        const LeasedTarget *found = this->node.owner().findTarget(TargetName("t"));
        return found == nullptr ? std::nullopt : std::optional(found->state);
    }

    TimePoint now { 1'800'000'000s };
    FleetNode node { { .self = NodeName("g"), .domain = DomainName("a") } };
    std::uint64_t sequence = 0;
};

// Guards against work for a target of which this node was told that it leaves: its owner was not,
// and hands it over as ready.
TEST(FleetNode, TransferredTargetThatLeavesStaysLeaving)
{
    GatewayFixture fixture;
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(8, TargetState::Draining) },
                                 fixture.now);
    EXPECT_EQ(fixture.ownedState(), std::nullopt) << "not its owner";
    fixture.advance(2s);
    fixture.receive({ GatewayFixture::target(7, TargetState::Ready) });
    EXPECT_EQ(fixture.ownedState(), TargetState::Draining);
    // A later heartbeat tells what is so now.
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(9, TargetState::Ready) },
                                 fixture.now);
    EXPECT_EQ(fixture.ownedState(), TargetState::Ready);
}

// Guards against an owner that forgets what it has acknowledged, once another node has taken the
// target over and hands it back as it was before.
TEST(FleetNode, TargetThatLeavesStaysLeavingAfterItHasHadAnotherOwner)
{
    GatewayFixture fixture;
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(7, TargetState::Ready) },
                                 fixture.now);
    const TargetHeartbeat departure
        = { .target = GatewayFixture::target(8, TargetState::Draining) };
    fixture.node.handleHeartbeat(departure, fixture.now);
    ASSERT_TRUE(fixture.node.acknowledges(departure));
    fixture.advance(10s); // no response: the target is given up
    ASSERT_EQ(fixture.ownedState(), std::nullopt);
    fixture.receive({ GatewayFixture::target(7, TargetState::Ready) });
    EXPECT_EQ(fixture.ownedState(), TargetState::Draining);
}

TEST(FleetNode, TargetThatHasShutDownIsNotTakenOver)
{
    GatewayFixture fixture;
    fixture.node.handleHeartbeat(
        { .target = GatewayFixture::target(8, TargetState::Draining), .isLeaving = true },
        fixture.now);
    fixture.receive({ GatewayFixture::target(7, TargetState::Ready) });
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(6, TargetState::Ready) },
                                 fixture.now);
    EXPECT_EQ(fixture.ownedState(), std::nullopt);
    LeasedTarget restarted = GatewayFixture::target(1, TargetState::Ready);
    restarted.incarnation = 2;
    fixture.node.handleHeartbeat({ .target = restarted }, fixture.now);
    EXPECT_EQ(fixture.ownedState(), TargetState::Ready);
}

// Guards against a target without incarnations that gets no work after it has left and come back.
TEST(FleetNode, DepartureOfATargetWithoutIncarnationIsNotKept)
{
    GatewayFixture fixture;
    LeasedTarget target = GatewayFixture::target(8, TargetState::Draining);
    target.incarnation = 0;
    fixture.node.handleHeartbeat({ .target = target, .isLeaving = true }, fixture.now);
    target.sequence = 1;
    target.state = TargetState::Ready;
    fixture.node.handleHeartbeat({ .target = target }, fixture.now);
    EXPECT_EQ(fixture.ownedState(), TargetState::Ready);
}

// Guards against a node that wakes up and takes targets from their owners by heartbeats and
// transfers that have waited in its sockets.
TEST(FleetNode, TakesNoTargetOverByWhatArrivesRightAfterAStall)
{
    GatewayFixture fixture;
    fixture.advance(100ms);
    fixture.now += 5s;
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(7, TargetState::Ready) },
                                 fixture.now);
    fixture.receive({ GatewayFixture::target(7, TargetState::Ready) });
    EXPECT_EQ(fixture.ownedState(), std::nullopt);
    fixture.advance(400ms);
    fixture.node.handleHeartbeat({ .target = GatewayFixture::target(8, TargetState::Ready) },
                                 fixture.now);
    EXPECT_EQ(fixture.ownedState(), TargetState::Ready);
}

// Guards against a gateway that never gets rules, since it starts while no registry node lists the
// others of its domain.
TEST(FleetNode, KnowsThePeersOfItsDomainByTheirMessages)
{
    const TimePoint now(1'800'000'000s);
    FleetNode node({ .self = NodeName("g"), .domain = DomainName("a") });
    for (const auto &[name, domain] :
         std::map<std::string, std::string> { { "h", "a" }, { "i", "b" } }) {
        FleetMessage message;
        message.from = NodeName(name);
        message.incarnation = 1;
        message.sequence = 1;
        message.domain = DomainName(domain);
        node.receive(message, now);
    }
    EXPECT_EQ(node.livePeersOfDomain(now), (std::vector { NodeName("h") }));
    EXPECT_TRUE(node.livePeersOfDomain(now + 5s).empty());
}

// Guards against a withdrawn hold, and with it two runs of a task: a heartbeat of a target that was
// given up says nothing of a start that may still arrive there.
TEST(FleetOwner, TargetSettlesOnceItHasAcceptedOrdersAndNotByItsHeartbeat)
{
    FleetOwner owner { {} };
    const TargetName name("t");
    EXPECT_FALSE(owner.hasSettled(name));
    owner.updateTarget({ .name = name, .incarnation = 1, .sequence = 1 },
                       TimePoint(1'800'000'000s));
    EXPECT_TRUE(owner.ownsTarget(name));
    EXPECT_FALSE(owner.hasSettled(name));
    const OwnerFixture settled;
    EXPECT_TRUE(settled.owner.hasSettled(name));
}

// Guards against a target with two owners: tokens are taken from clocks, so those of two gateways
// that took a target over in the same millisecond were equal, and neither was fenced.
TEST(FleetNode, TwoNodesThatTakeATargetOverAtOnceHaveDifferentTokens)
{
    const TimePoint now(1'800'000'000s);
    const auto tokenOf = [&](const std::string &name) {
        FleetNode node({ .self = NodeName(name), .domain = DomainName("a") });
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        node.handleHeartbeat({ .target = target }, now);
        return std::get<PollOrder>(node.flush(now).orders.at(0)).to.fencingToken;
    };
    EXPECT_NE(tokenOf("10.1.0.4:7100"), tokenOf("10.1.0.5:7100"));
    EXPECT_LT(tokenOf("10.1.0.4:7100"), 1ULL << 53U) << "not exact as a JSON number";
}

LeasedTarget targetNamed(const std::string &name)
{
    LeasedTarget target;
    target.name = TargetName(name);
    target.incarnation = 1;
    target.service = ServiceName("s");
    target.capacity = { .cpu = 64'000 };
    target.sequence = 1;
    return target;
}

/** \brief Has all polls that were sent fail. \returns their number. */
std::size_t failPolls(OwnerFixture &fixture)
{
    std::size_t count = 0;
    for (const TargetOrder &order : fixture.owner.takeOrders())
        if (const auto *poll = std::get_if<PollOrder>(&order)) {
            ++count;
            fixture.owner.handlePollResponse(poll->to, poll->sentAt,
                                             { .status = OrderStatus::NotSent }, fixture.now);
        }
    return count;
}

// Each poll takes a connection until it has failed, also after its target was dropped.
TEST(FleetOwner, PollsOfTargetsThatNeverRespondAreLimited)
{
    OwnerFixture fixture;
    const std::size_t limit = FleetOwnerOptions {}.maxUnansweredTargets;
    fixture.owner.takeOrders(); // a poll of the target that has responded
    for (std::size_t i = 0; i < 3 * limit; ++i)
        fixture.owner.updateTarget(targetNamed("none-" + std::to_string(i)), fixture.now);
    EXPECT_TRUE(fixture.owner.ownsTarget(TargetName("none-0")));
    EXPECT_FALSE(fixture.owner.ownsTarget(TargetName("none-" + std::to_string(limit))));
    EXPECT_EQ(failPolls(fixture), limit);
    fixture.owner.updateTarget(targetNamed("later"), fixture.now);
    EXPECT_TRUE(fixture.owner.ownsTarget(TargetName("later")));
}

// Anybody can send a heartbeat with an invented name.
TEST(FleetOwner, TargetsThatNeverRespondDoNotTakeThePlaceOfOthers)
{
    OwnerFixture fixture;
    const std::size_t limit = FleetOwnerOptions {}.maxUnansweredTargets;
    for (std::size_t i = 0; i < 3 * limit; ++i) {
        fixture.now += 1ms;
        fixture.owner.updateTarget(targetNamed("none-" + std::to_string(i)), fixture.now);
        failPolls(fixture);
    }
    EXPECT_EQ(fixture.owner.targetNames().size(), limit + 1);
    EXPECT_TRUE(fixture.owner.ownsTarget(TargetName("t"))) << "it has responded";
    EXPECT_FALSE(fixture.owner.ownsTarget(TargetName("none-0"))) << "the oldest is dropped first";
    EXPECT_EQ(fixture.owner.counters().droppedTargets, 2 * limit);
    EXPECT_EQ(fixture.owner.report(fixture.now).targets.size(), 1U);
    EXPECT_EQ(fixture.owner.drivenTargets(fixture.now).size(), 1U);
}

TEST(FleetOwner, AFullOwnerTakesNoFurtherTarget)
{
    FleetOwner owner({ .maxTargets = 2 });
    const TimePoint now(1'800'000'000s);
    for (const char *name : { "a", "b", "c" })
        owner.updateTarget(targetNamed(name), now);
    EXPECT_EQ(owner.targetNames(), (std::vector { TargetName("a"), TargetName("b") }));
}

TEST(OwnerAssignment, RemembersABoundedNumberOfTargets)
{
    OwnerAssignment assignment({ .retryWindow = 8s, .maxTargets = 100 });
    TimePoint now(1'800'000'000s);
    const std::vector<NodeRecord> gateways
        = { { .node = NodeName("a") }, { .node = NodeName("b") } };
    const auto assign = [&](const std::string &name) {
        return assignment.assign(TargetName(name), DomainName("d"), gateways, now);
    };
    for (int i = 0; i < 1'000; ++i) {
        EXPECT_TRUE(assign("none-" + std::to_string(i)));
        EXPECT_LE(assignment.rememberedTargets(), 100U);
    }
    now += 8s;
    const auto first = assign("t");
    EXPECT_EQ(assignment.rememberedTargets(), 1U) << "the others have not asked again";
    EXPECT_NE(assign("t"), first) << "it did not reach the first one";
}

} // namespace
