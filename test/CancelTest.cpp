#include "test/support/FleetSimulation.h"

#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint startTime(1'800'000'000s);

/** \brief A coordinator with one owner, which has room for two tasks. */
class CancelFixture : public testing::Test
{
protected:
    CancelFixture()
    {
        OwnedTarget target;
        target.name = TargetName("t");
        target.service = ServiceName("s");
        target.capacity = { .cpu = 64'000, .memory = 1'000 };
        target.free = target.capacity;
        target.acceptsWork = true;
        target.isReconciled = true;
        OwnerView view = { .node = NodeName("g"), .incarnation = 1 };
        view.report.targets = { target };
        this->owners = { view };
    }

    /** \brief Submits a job of two steps, each of two tasks. */
    void submit(std::uint64_t caller, TimePoint now)
    {
        JobStep step;
        step.taskCount = 2;
        step.demand = { .cpu = 20'000, .memory = 64 };
        step.estimate = 200ms;
        JobStep next = step;
        next.dependsOn = { 0 };
        const RoutePolicy policy = {
            .route = RouteName("r"), .service = ServiceName("s"), .stretch = 2, .untilDeadline = 5s
        };
        this->coordinator.submit({ .id = "j", .steps = { step, next } }, policy, caller,
                                 this->owners, now);
    }

    FleetCoordinator coordinator { {} };
    std::vector<OwnerView> owners;
};

// Guards against a cancelled job that runs on, and against a caller that is told that there is none
// or left without an answer.
TEST_F(CancelFixture, JobInProgressIsStoppedForAllItsCallers)
{
    this->submit(1, startTime);
    ASSERT_EQ(this->coordinator.assignTasks(this->owners, startTime).size(), 2U);
    this->submit(2, startTime);
    EXPECT_TRUE(this->coordinator.cancelJob("j", startTime + 100ms));
    EXPECT_TRUE(this->coordinator.wantedRunsAt(NodeName("g")).empty());
    EXPECT_TRUE(this->coordinator.assignTasks(this->owners, startTime + 100ms).empty());
    const std::vector<JobOutcome> outcomes = this->coordinator.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].status, TransientJobStatus::Cancelled);
    EXPECT_EQ(outcomes[0].callerTokens, (std::vector<std::uint64_t> { 1, 2 }));
    EXPECT_EQ(this->coordinator.jobCount(), 0U);
    // The request may be sent again, since its answer was lost.
    EXPECT_TRUE(this->coordinator.cancelJob("j", startTime + 200ms));
}

// Guards against a copy of the submission that arrives after the job was cancelled, here or at
// another node, and starts it again.
TEST_F(CancelFixture, CancelledJobIsNotStartedAgain)
{
    for (const bool wasInProgress : { true, false }) {
        if (wasInProgress)
            this->submit(1, startTime);
        EXPECT_EQ(this->coordinator.cancelJob("j", startTime), wasInProgress);
        this->coordinator.takeOutcomes();
        this->submit(2, startTime + 1s);
        EXPECT_TRUE(this->coordinator.assignTasks(this->owners, startTime + 1s).empty());
        const std::vector<JobOutcome> outcomes = this->coordinator.takeOutcomes();
        ASSERT_EQ(outcomes.size(), 1U);
        EXPECT_EQ(outcomes[0].status, TransientJobStatus::Cancelled);
        EXPECT_EQ(outcomes[0].callerTokens, (std::vector<std::uint64_t> { 2 }));
        this->coordinator = FleetCoordinator({});
    }
}

TEST_F(CancelFixture, AnsweredJobIsNoLongerInProgress)
{
    this->submit(1, startTime);
    for (int step = 0; step < 2; ++step)
        for (const RunAssignment &assignment :
             this->coordinator.assignTasks(this->owners, startTime))
            this->coordinator.handleRunEnd(
                NodeName("g"),
                { .run = assignment.request.run, .kind = RunEndKind::Completed, .runTime = 200ms },
                startTime);
    this->coordinator.tick(startTime + 10ms);
    EXPECT_FALSE(this->coordinator.cancelJob("j", startTime + 20ms));
    this->coordinator.takeOutcomes();
    this->submit(2, startTime + 30ms);
    const std::vector<JobOutcome> outcomes = this->coordinator.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].status, TransientJobStatus::Completed);
}

/** \brief A node whose one target, which answers at once, has room for one task. */
class CancelNodeFixture
{
public:
    CancelNodeFixture()
    {
        for (int step = 0; step < 60; ++step)
            this->step();
    }

    /** \brief Lets 10 ms pass. */
    void step()
    {
        this->now += 10ms;
        if (this->sequence == 0 || this->now >= this->heartbeatAt + 1s)
            this->sendHeartbeat();
        this->node.tick(this->now);
        this->execute(this->node.flush(this->now));
    }

    void submit(const std::string &job, std::uint64_t caller)
    {
        const JobStep step = { .taskCount = 1, .demand = { .cpu = 40'000 }, .estimate = 300ms };
        const RoutePolicy policy
            = { .service = ServiceName("s"), .stretch = 4, .slack = 1s, .untilDeadline = 5s };
        this->node.submit({ .id = job, .steps = { step } }, policy, caller, this->now);
        this->execute(this->node.flush(this->now));
    }

    void execute(const FleetOutbox &out)
    {
        for (const TargetOrder &order : out.orders)
            std::visit([this](const auto &item) { this->execute(item); }, order);
    }

    TimePoint now { 1'800'000'000s };
    FleetNode node { { .self = NodeName("g"), .domain = DomainName("a") } };
    std::vector<std::string> started; ///< jobs whose runs were started
    std::vector<RunName> running;
    std::vector<EndedRun> ended;

private:
    void sendHeartbeat()
    {
        this->heartbeatAt = this->now;
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.domain = DomainName("a");
        target.capacity = { .cpu = 64'000 };
        target.sequence = ++this->sequence;
        this->node.handleHeartbeat({ .target = target }, this->now);
    }

    std::int64_t clockMs() const { return 1 + toMilliseconds(this->now - this->begin); }

    void execute(const StartOrder &order)
    {
        this->started.push_back(order.run.job);
        this->running.push_back(order.run);
        this->node.handleStartResponse(order.to, order.run,
                                       { .status = OrderStatus::Done, .clockMs = this->clockMs() },
                                       this->now);
    }

    void execute(const StopOrder &) { }

    void execute(const PollOrder &order)
    {
        PollResponse response
            = { .status = OrderStatus::Done, .clockMs = this->clockMs(), .incarnation = 1 };
        response.running = this->running;
        response.ended = this->ended;
        this->node.handlePollResponse(order.to, order.sentAt, response, this->now);
    }

    TimePoint begin = now;
    TimePoint heartbeatAt;
    std::uint64_t sequence = 0;
};

// Guards against a waiting run that takes the room that becomes free when its job was cancelled
// already.
TEST(CancelNode, WaitingRunOfACancelledJobIsNotStarted)
{
    for (const bool hasTick : { false, true }) {
        CancelNodeFixture fixture;
        fixture.submit("first", 1);
        fixture.submit("second", 2);
        ASSERT_EQ(fixture.started, (std::vector<std::string> { "first" }));
        ASSERT_EQ(fixture.node.owner().queuedRunCount(), 1U);
        fixture.ended
            = { { .number = 1, .run = fixture.running.at(0), .end = TargetRunEnd::Completed } };
        fixture.running.clear();
        // The last of these steps ends with the response that makes room.
        for (int step = 0; step < 30 && fixture.node.owner().runningRunCount() > 0; ++step)
            fixture.step();
        ASSERT_EQ(fixture.node.owner().runningRunCount(), 0U);
        EXPECT_TRUE(fixture.node.cancelJob("second", fixture.now));
        if (hasTick)
            fixture.node.tick(fixture.now);
        fixture.execute(fixture.node.flush(fixture.now));
        EXPECT_EQ(fixture.started, (std::vector<std::string> { "first" }));
    }
}

std::vector<CancelDecision> decisionsAfter(const std::vector<CancelJobReply> &replies,
                                           Duration after)
{
    CancelRounds rounds({});
    rounds.begin(7, "j", false, { NodeName("b"), NodeName("c") }, true, startTime);
    for (const CancelJobReply &reply : replies)
        rounds.handleReply(reply);
    return rounds.takeDecisions(startTime + after);
}

// Guards against answers that claim to know what no node has said.
TEST(CancelRounds, AnswerIsThatOfAllNodes)
{
    const CancelJobReply no = { .from = NodeName("b"), .number = 1 };
    const CancelJobReply alsoNo = { .from = NodeName("c"), .number = 1 };
    const CancelJobReply yes = { .from = NodeName("c"), .number = 1, .wasInProgress = true };
    EXPECT_TRUE(decisionsAfter({}, 100ms).empty());
    EXPECT_TRUE(decisionsAfter({ no, no }, 100ms).empty());
    ASSERT_EQ(decisionsAfter({ no, alsoNo }, 100ms).size(), 1U);
    EXPECT_EQ(decisionsAfter({ no, alsoNo }, 100ms)[0].verdict, CancelVerdict::Unknown);
    ASSERT_EQ(decisionsAfter({ yes }, 100ms).size(), 1U);
    EXPECT_EQ(decisionsAfter({ yes }, 100ms)[0].verdict, CancelVerdict::Cancelled);
    ASSERT_EQ(decisionsAfter({ no }, 2s).size(), 1U);
    EXPECT_EQ(decisionsAfter({ no }, 2s)[0].verdict, CancelVerdict::Unconfirmed);
    EXPECT_EQ(decisionsAfter({ no }, 2s)[0].silentPeers, 1U);
}

// Guards against a job that is said to be unknown while a node has it that no list has named.
TEST(CancelRounds, JobIsNotUnknownWhileNotAllNodesAreKnown)
{
    CancelRounds rounds({});
    rounds.begin(7, "j", false, { NodeName("b") }, false, startTime);
    rounds.handleReply({ .from = NodeName("b"), .number = 1 });
    const std::vector<CancelDecision> decisions = rounds.takeDecisions(startTime);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].verdict, CancelVerdict::Unconfirmed);
}

// Guards against a job that runs on at a gateway that is cut off from the registry nodes only.
TEST(CancelNode, PeersAreAskedAlsoWhenTheyAreNoLongerListed)
{
    FleetNode node({ .self = NodeName("g"), .domain = DomainName("a") });
    EXPECT_FALSE(node.knowsAllPeers(startTime));
    node.updatePeer({ .node = NodeName("h"), .domain = DomainName("a") }, startTime);
    EXPECT_TRUE(node.knowsAllPeers(startTime + 1s));
    const TimePoint later = startTime + 2s;
    EXPECT_FALSE(node.knowsAllPeers(later));
    EXPECT_EQ(node.peersToAsk(later), (std::vector { NodeName("h") }));
    EXPECT_TRUE(node.peersToAsk(startTime + 3s).empty()) << "it is gone for good";
}

TEST(CancelRounds, JobThatIsInProgressHereNeedsNoReply)
{
    CancelRounds rounds({});
    rounds.begin(7, "j", true, { NodeName("b") }, true, startTime);
    const std::vector<CancelDecision> decisions = rounds.takeDecisions(startTime);
    ASSERT_EQ(decisions.size(), 1U);
    EXPECT_EQ(decisions[0].verdict, CancelVerdict::Cancelled);
    EXPECT_TRUE(rounds.takeDecisions(startTime + 2s).empty());
}

} // namespace
