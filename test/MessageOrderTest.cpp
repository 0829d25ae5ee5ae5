#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief Coordinator and owner of one target, whose messages can be held on their way. */
class MessagePair
{
public:
    MessagePair() { this->step(1s); }

    /** \brief The target and its owner are in one domain, so that it doesn't move. */
    static DomainName domainOf(const std::string &name)
    {
        return DomainName(name == "o" ? "a" : "b");
    }

    static FleetNodeOptions optionsOf(const std::string &name, std::uint64_t incarnation)
    {
        return { .self = NodeName(name), .incarnation = incarnation, .domain = domainOf(name) };
    }

    void submit()
    {
        const JobStep step = { .demand = { .cpu = 1'000 }, .estimate = 20s };
        const TransientJob job = { .id = "j", .steps = { step } };
        const RoutePolicy policy
            = { .service = ServiceName("s"), .slack = 60s, .untilDeadline = 60s };
        this->coordinator.submit(job, policy, 1, this->now);
    }

    /** \brief Lets \a span pass in steps of 10 ms. */
    void step(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end;) {
            this->now += 10ms;
            this->sendHeartbeat();
            if (this->isCoordinatorUp)
                this->stepCoordinator();
            if (this->isOwnerUp)
                this->stepOwner();
        }
    }

    /** \brief Delivers \a messages to the owner in one step, as one batch. */
    void deliver(const std::vector<FleetMessage> &messages)
    {
        for (const FleetMessage &message : messages)
            this->owner.receive(message, this->now);
        this->stepOwner();
    }

    /** \returns the held messages to the owner from the one with the run request on. */
    std::vector<FleetMessage> heldFromRequestOn() const
    {
        const auto found = std::ranges::find_if(this->heldToOwner, [](const FleetMessage &message) {
            return !message.runRequests.empty();
        });
        return { found, this->heldToOwner.end() };
    }

    void restartOwner()
    {
        this->owner = FleetNode(optionsOf("o", 2));
        this->running.clear();
    }

    TimePoint now { 1'800'000'000s };
    FleetNode coordinator { optionsOf("c", 1) };
    FleetNode owner { optionsOf("o", 1) };
    bool isCoordinatorUp = true;
    bool isOwnerUp = true;
    bool isOwnerListed = true; ///< whether the coordinator gets lists with the owner
    bool holdsToOwner = false;
    bool holdsToCoordinator = false;
    bool doublesMessages = false;
    std::vector<FleetMessage> heldToOwner;
    std::set<RunName> running;
    std::vector<RunName> starts;
    std::vector<RunName> stops;

private:
    void sendHeartbeat()
    {
        LeasedTarget target;
        target.name = TargetName("t");
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.domain = DomainName("a");
        target.capacity = { .cpu = 64'000 };
        target.sequence = ++this->heartbeats;
        if (this->isOwnerUp)
            this->owner.handleHeartbeat({ .target = target }, this->now);
    }

    static NodeRecord recordOf(const std::string &name, std::uint64_t incarnation)
    {
        return { .node = NodeName(name),
                 .incarnation = incarnation,
                 .domain = domainOf(name),
                 .targetsAddress = "127.0.0.1:1" };
    }

    void stepCoordinator()
    {
        if (this->isOwnerListed)
            this->coordinator.updatePeer(recordOf("o", 1), this->now);
        this->coordinator.tick(this->now);
        for (const AddressedFleetMessage &item : this->coordinator.flush(this->now).messages) {
            if (this->holdsToOwner) {
                this->heldToOwner.push_back(item.message);
                continue;
            }
            this->owner.receive(item.message, this->now);
            if (this->doublesMessages)
                this->owner.receive(item.message, this->now);
        }
    }

    void stepOwner()
    {
        this->owner.updatePeer(recordOf("c", 1), this->now);
        this->owner.tick(this->now);
        const FleetOutbox out = this->owner.flush(this->now);
        for (const AddressedFleetMessage &item : out.messages) {
            if (this->holdsToCoordinator)
                continue;
            this->coordinator.receive(item.message, this->now);
            if (this->doublesMessages)
                this->coordinator.receive(item.message, this->now);
        }
        for (const TargetOrder &order : out.orders)
            std::visit([this](const auto &item) { this->execute(item); }, order);
    }

    void execute(const StartOrder &order)
    {
        this->starts.push_back(order.run);
        this->running.insert(order.run);
        this->owner.handleStartResponse(order.to, order.run, this->done(), this->now);
    }

    void execute(const StopOrder &order)
    {
        this->stops.push_back(order.run);
        this->running.erase(order.run);
        this->owner.handleStopResponse(order.to, order.run, this->done(), this->now);
    }

    void execute(const PollOrder &order)
    {
        this->owner.handlePollResponse(
            order.to, order.sentAt,
            { .status = OrderStatus::Done,
              .clockMs = this->clockMs(),
              .incarnation = 1,
              .running = { this->running.begin(), this->running.end() } },
            this->now);
    }

    OrderResponse done() const
    {
        return { .status = OrderStatus::Done, .clockMs = this->clockMs() };
    }

    std::int64_t clockMs() const { return toMilliseconds(this->now - TimePoint(1'799'999'000s)); }

    std::uint64_t heartbeats = 0;
};

TEST(MessageOrder, RunRequestStartsItsRun)
{
    MessagePair pair;
    pair.submit();
    pair.step(300ms);
    EXPECT_EQ(pair.starts.size(), 1U);
}

// The batch timed out, its sender is gone, and it arrives before any later one.
TEST(MessageOrder, RunRequestThatArrivesLateStartsNothing)
{
    MessagePair pair;
    pair.holdsToOwner = true;
    pair.submit();
    pair.step(700ms);
    const std::vector<FleetMessage> held = pair.heldFromRequestOn();
    ASSERT_FALSE(held.empty());
    pair.isCoordinatorUp = false;
    pair.deliver({ held.front() });
    pair.step(1s);
    EXPECT_TRUE(pair.starts.empty());
}

// The same after its successor, which came over another connection.
TEST(MessageOrder, RunRequestThatIsOvertakenStartsNothing)
{
    MessagePair pair;
    pair.holdsToOwner = true;
    pair.submit();
    pair.step(400ms);
    const std::vector<FleetMessage> held = pair.heldFromRequestOn();
    ASSERT_GE(held.size(), 2U);
    const RunName requested = held.front().runRequests.front().run;
    pair.holdsToOwner = false;
    pair.deliver({ held.back() });
    pair.deliver({ held.front() });
    pair.step(1s);
    EXPECT_GE(pair.owner.counters().staleMessages, 1U);
    EXPECT_EQ(std::ranges::count(pair.starts, requested), 0);
    EXPECT_EQ(pair.starts.size(), 1U) << "the next attempt runs";
}

TEST(MessageOrder, MessagesThatArriveTwiceCountOnce)
{
    MessagePair pair;
    pair.doublesMessages = true;
    pair.submit();
    pair.step(1s);
    EXPECT_GE(pair.owner.counters().staleMessages, 1U);
    EXPECT_EQ(pair.starts.size(), 1U);
    EXPECT_TRUE(pair.stops.empty());
}

// A request, and the message by which its coordinator gives the run up, in one batch.
TEST(MessageOrder, RunThatIsGivenUpInTheSameBatchIsNotStarted)
{
    MessagePair pair;
    pair.holdsToOwner = true;
    pair.submit();
    pair.step(50ms);
    pair.coordinator.removeCaller(1, pair.now);
    pair.step(50ms);
    const std::vector<FleetMessage> held = pair.heldFromRequestOn();
    ASSERT_GE(held.size(), 2U);
    ASSERT_TRUE(held.back().wantedRuns.empty());
    pair.holdsToOwner = false;
    pair.deliver(held);
    pair.step(1s);
    EXPECT_TRUE(pair.starts.empty());
}

TEST(MessageOrder, RunRequestForAFormerIncarnationOfTheOwnerStartsNothing)
{
    MessagePair pair;
    pair.holdsToOwner = true;
    pair.submit();
    pair.step(100ms);
    const std::vector<FleetMessage> held = pair.heldFromRequestOn();
    ASSERT_FALSE(held.empty());
    pair.isCoordinatorUp = false;
    pair.restartOwner();
    pair.step(100ms);
    pair.deliver(held);
    pair.step(1s);
    EXPECT_EQ(pair.owner.counters().staleMessages, 0U);
    EXPECT_TRUE(pair.starts.empty());
}

// A message of a coordinator's former incarnation takes no runs from the present one, and gives it
// none.
TEST(MessageOrder, MessageOfAFormerIncarnationOfTheCoordinatorIsIgnored)
{
    MessagePair pair;
    pair.holdsToOwner = true;
    pair.submit();
    pair.step(50ms);
    const std::vector<FleetMessage> held = pair.heldFromRequestOn();
    ASSERT_FALSE(held.empty());
    pair.coordinator = FleetNode(MessagePair::optionsOf("c", 2));
    pair.holdsToOwner = false;
    pair.step(1s);
    pair.submit();
    pair.step(300ms);
    ASSERT_EQ(pair.running.size(), 1U);
    const std::uint64_t stale = pair.owner.counters().staleMessages;
    pair.deliver(held);
    pair.step(300ms);
    EXPECT_EQ(pair.owner.counters().staleMessages, stale + held.size());
    EXPECT_EQ(pair.running.size(), 1U);
    EXPECT_TRUE(pair.stops.empty());
}

// The owner is stopped and its coordinator dies meanwhile; the messages wait in the owner's socket.
TEST(MessageOrder, MessagesReadAfterAStallAreNoContact)
{
    MessagePair pair;
    pair.submit();
    pair.step(300ms);
    ASSERT_EQ(pair.running.size(), 1U);
    pair.isOwnerUp = false;
    pair.holdsToOwner = true;
    pair.step(600ms);
    pair.isCoordinatorUp = false;
    pair.step(1s);
    ASSERT_FALSE(pair.heldToOwner.empty());
    pair.isOwnerUp = true;
    pair.deliver(pair.heldToOwner);
    pair.step(20ms);
    EXPECT_TRUE(pair.running.empty()) << "its coordinator has not answered since the stall";
    EXPECT_EQ(pair.owner.livePeerCount(pair.now), 0U);
    pair.step(1s);
    EXPECT_EQ(pair.starts.size(), 1U);
}

// A stall that is too short to be detected: the age of the contact counts from the own message.
TEST(MessageOrder, MessagesReadAfterAShortStallShowContactOfItsAge)
{
    MessagePair pair;
    pair.submit();
    pair.step(300ms);
    ASSERT_EQ(pair.running.size(), 1U);
    pair.isOwnerUp = false;
    pair.holdsToOwner = true;
    const TimePoint stoppedAt = pair.now;
    pair.step(400ms);
    pair.isCoordinatorUp = false;
    pair.isOwnerUp = true;
    pair.deliver(pair.heldToOwner);
    while (!pair.running.empty() && pair.now < stoppedAt + 3s)
        pair.step(10ms);
    EXPECT_LE(pair.now - stoppedAt, 850ms);
}

// Guards against a link that stays dead after one side has removed the other: its messages were
// counted from 1 again, and the other side, which had kept the old count, ignored them.
TEST(MessageOrder, PeerThatWasRemovedAndIsListedAgainIsHeard)
{
    MessagePair pair;
    pair.step(20s);
    pair.holdsToOwner = pair.holdsToCoordinator = true;
    pair.isOwnerListed = false;
    pair.step(11s);
    pair.holdsToOwner = pair.holdsToCoordinator = false;
    pair.isOwnerListed = true;
    pair.step(1s);
    EXPECT_EQ(pair.coordinator.livePeerCount(pair.now), 1U);
    EXPECT_EQ(pair.owner.livePeerCount(pair.now), 1U);
}

// Guards against contact by an acknowledgement of a message that was sent before the peer was
// removed, with a number that is used again.
TEST(MessageOrder, AcknowledgementFromBeforeTheRemovalOfThePeerIsNoContact)
{
    MessagePair pair;
    pair.step(2s);
    pair.holdsToOwner = pair.holdsToCoordinator = true;
    pair.isOwnerListed = false;
    pair.step(11s);
    pair.holdsToCoordinator = false;
    pair.isOwnerListed = true;
    for (int i = 0; i < 1'000; ++i) {
        pair.step(10ms);
        ASSERT_EQ(pair.coordinator.livePeerCount(pair.now), 0U) << "no message has arrived there";
    }
}

} // namespace
