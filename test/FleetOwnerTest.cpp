#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief An owner of one settled target with room for many tasks. */
class Owning
{
public:
    Owning()
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.capacity = { .cpu = 64'000 };
        this->owner.own(target, this->now);
        for (const TargetOrder &order : this->owner.takeOrders())
            if (const auto *poll = std::get_if<PollOrder>(&order))
                this->owner.handlePollResponse(poll->to, poll->sentAt,
                                               { .status = OrderStatus::Done, .clockMs = 10 },
                                               this->now);
    }

    /** \brief Asks for an attempt at the one task there is. */
    void request(std::uint64_t attempt, const Requester &requester)
    {
        RunRequest request;
        request.run = { .job = "j", .attempt = attempt };
        request.service = ServiceName("s");
        request.demand = { .cpu = 27'000 };
        request.estimate = 100ms;
        request.untilObjective = 1s;
        request.untilDeadline = 1s;
        this->owner.request(request, requester, this->now);
        this->owner.place([](const Requester &) { return true; }, this->now);
    }

    TimePoint now { 1'800'000'000s };
    FleetOwner owner { {} };
    Requester first { .node = NodeName("a"), .incarnation = 1 };
    Requester second { .node = NodeName("b"), .incarnation = 1 };
};

// A job that is sent again to another coordinator: its task must not start elsewhere while the
// former attempt runs here.
TEST(FleetOwner, ARunThatWaitsForAnotherAttemptIsNotReturned)
{
    Owning owning;
    owning.request(1, owning.first);
    owning.request(2, owning.second);
    ASSERT_EQ(owning.owner.runningRunCount(), 1U);
    ASSERT_EQ(owning.owner.queuedRunCount(), 1U);
    owning.now += 50ms;
    const auto hasFreeCapacity = [](const RunRequest &, const RunBounds &) { return true; };
    owning.owner.returnWaiting(hasFreeCapacity, owning.now);
    EXPECT_FALSE(owning.owner.requesters()[owning.second].hasEnds);
    EXPECT_EQ(owning.owner.queuedRunCount(), 1U);
}

} // namespace
