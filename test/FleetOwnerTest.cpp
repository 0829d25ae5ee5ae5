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
        for (const TargetOrder &order : this->owner.takeOrders())
            if (const auto *poll = std::get_if<PollOrder>(&order))
                this->owner.handlePollResponse(poll->to, poll->sentAt,
                                               { .status = OrderStatus::Done, .clockMs = 10 },
                                               this->now);
    }

    /** \brief Requests an attempt at the only task. */
    void requestRun(std::uint64_t attempt, const Requester &requester)
    {
        RunRequest request;
        request.run = { .job = "j", .attempt = attempt };
        request.service = ServiceName("s");
        request.demand = { .cpu = 27'000 };
        request.estimate = 100ms;
        request.untilObjective = 1s;
        request.untilDeadline = 1s;
        this->owner.requestRun(request, requester, this->now);
        this->owner.startQueuedRuns([this](const Requester &) { return std::optional(this->now); },
                                    this->now);
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

} // namespace
