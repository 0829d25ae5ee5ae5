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
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.capacity = { .cpu = 64'000 };
        this->owner.updateTarget(target, this->now);
        this->answerPolls();
        this->now += TargetDriverOptions {}.maxStopTime;
        this->answerPolls();
    }

    /** \brief Answers all polls as \a incarnation with lists without runs. \returns the polls. */
    std::vector<PollOrder> answerPolls(std::uint64_t incarnation = 1)
    {
        std::vector<PollOrder> polls;
        this->owner.tick([](const Requester &) { return std::nullopt; }, this->now);
        for (const TargetOrder &order : this->owner.takeOrders())
            if (const auto *poll = std::get_if<PollOrder>(&order))
                polls.push_back(*poll);
        for (const PollOrder &poll : polls)
            this->owner.handlePollResponse(
                poll.to, poll.sentAt,
                { .status = OrderStatus::Done, .clockMs = 10, .incarnation = incarnation },
                this->now);
        return polls;
    }

    /** \brief Requests an attempt at a task, whose requester wanted it \a contactAge ago. */
    void requestRun(std::uint64_t attempt, const Requester &requester, std::uint32_t index = 0,
                    Duration contactAge = {})
    {
        RunRequest request;
        request.run = { .job = "j", .index = index, .attempt = attempt };
        request.service = ServiceName("s");
        request.demand = { .cpu = 27'000 };
        request.estimate = 100ms;
        request.untilObjective = 1s;
        request.untilDeadline = 1s;
        this->owner.requestRun(request, requester, this->now);
        this->owner.startQueuedRuns(
            [&](const Requester &) { return std::optional(this->now - contactAge); }, this->now);
    }

    TimePoint now { 1'800'000'000s };
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
    EXPECT_EQ(fixture.owner.runningRunCount(), 0U) << "the lists do not contain it";
}

// Guards against runs given up without need: after a stall of this node, a target that had
// responded until then was removed as unreachable before it could respond.
TEST(FleetOwner, TargetIsNotUnreachableRightAfterAStall)
{
    OwnerFixture fixture;
    for (int i = 0; i < 50; ++i) {
        fixture.now += 100ms;
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
        return node.owner().report(now).targets.at(0).fencingToken;
    };
    EXPECT_NE(tokenOf("10.1.0.4:7100"), tokenOf("10.1.0.5:7100"));
    EXPECT_LT(tokenOf("10.1.0.4:7100"), 1ULL << 53U) << "not exact as a JSON number";
}

} // namespace
