#include <Hibiscus/Journal>
#include <Hibiscus/Rules>
#include <algorithm>
#include <gtest/gtest.h>
#include <iterator>
#include <memory>

using namespace Hibiscus;

namespace {

/** \brief A disk that may be full: writes fail, or else the sync behind them. */
class FakeDisk
{
public:
    explicit FakeDisk(DurableState state) : synced(std::move(state)) { }

    Result<void> store(std::vector<StorageWrite> &writes)
    {
        if (this->isFull && this->failsAtSync)
            std::ranges::move(std::exchange(writes, {}), std::back_inserter(this->unsynced));
        const bool hasWork = !writes.empty() || !this->unsynced.empty();
        if (this->isFull && hasWork)
            return tl::unexpected(std::make_error_code(std::errc::no_space_on_device));
        std::ranges::move(std::exchange(writes, {}), std::back_inserter(this->unsynced));
        for (const StorageWrite &write : std::exchange(this->unsynced, {}))
            applyWrite(write, this->synced);
        return {};
    }

    const DurableState &state() const { return this->synced; }
    bool isFull = false;
    bool failsAtSync = false;

private:
    DurableState synced;
    std::vector<StorageWrite> unsynced;
};

DurableState initialState(const NodeName &self, const std::vector<NodeName> &nodes,
                          const Bytes &machineState)
{
    DurableState state;
    state.self = { .node = self, .incarnation = 1 };
    state.hardState.term = 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    for (const NodeName &node : nodes)
        state.snapshot.membership
            = state.snapshot.membership.with({ .id = { .node = node, .incarnation = 1 } });
    state.snapshot.state = machineState;
    return state;
}

/** \brief A registry: a member of the control group with a disk, which steps as its process does.
 */
struct Registry
{
    Registry(const ControlOptions &options, const DurableState &state, std::uint64_t seed,
             TimePoint now)
        : disk(state), node(std::make_unique<ControlNode>(options, state, seed, now))
    { }

    FakeDisk disk;
    DiskGuard guard;
    std::unique_ptr<ControlNode> node;
    ControlNode::Outbox out;
};

/** \brief A change that the operator sends until it is acknowledged. */
struct Change
{
    TimePoint submittedAt;
    TimePoint sendAt; ///< when it is sent next, unless it is acknowledged before
    std::size_t target = 0;
    std::optional<TimePoint> acknowledgedAt;
};

std::string rulesTextOf(std::uint64_t version, std::size_t padding = 0)
{
    return "refuse service=s" + std::to_string(version) + " # a" + std::string(padding, 'x') + "\n";
}

/** \brief Registries with disks, of which the first three found the group and the others join it;
 * and an operator who sends a change every half second.
 */
class Registries
{
public:
    static constexpr Duration changeInterval = 500ms;
    static constexpr Duration operatorTimeout = 1s;
    static constexpr Duration operatorPause = 20ms;

    static constexpr std::size_t voterCount = 3;

    explicit Registries(std::uint64_t seed, std::size_t memberCount = voterCount,
                        std::size_t padding = 0)
        : random(seed), padding(padding)
    {
        for (std::size_t i = 1; i <= memberCount; ++i)
            this->names.emplace_back("r" + std::to_string(i));
        this->options.replicated.replica.heartbeatInterval = 80ms;
        this->options.replicated.replica.electionTimeout = 400ms;
        this->options.replicated.replica.desiredVoters = voterCount;
        this->options.replicated.entriesPerSnapshot = 8;
        this->options.replicated.bytesPerSnapshot = 4 * padding + 1;
        const std::vector<NodeName> founders(this->names.begin(), this->names.begin() + voterCount);
        for (const NodeName &name : this->names) {
            const bool isFounder = this->members.size() < voterCount;
            DurableState state = initialState(name, founders, RulesState().save());
            if (!isFounder)
                state = { .self = { .node = name, .incarnation = 2 } };
            this->members.emplace_back(this->options, state, this->random(), this->now);
        }
    }

    void run(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->now += 1ms)
            this->step();
    }

    /** \brief Fills the disk of the member at \a index for \a span. */
    void fillDisk(std::size_t index, bool failsAtSync, Duration span)
    {
        this->members.at(index).disk.failsAtSync = failsAtSync;
        this->members.at(index).disk.isFull = true;
        this->run(span);
        this->members.at(index).disk.isFull = false;
    }

    /** \brief Restarts the member at \a index from what its disk holds. */
    void restart(std::size_t index)
    {
        Registry &member = this->members.at(index);
        const bool isFull = member.disk.isFull;
        member = Registry(this->options, member.disk.state(), this->random(), this->now);
        member.disk.isFull = isFull;
    }

    std::size_t leaderIndex() const
    {
        for (std::size_t i = 0; i < this->members.size(); ++i)
            if (this->members[i].node->replica().isLeaderReady())
                return i;
        return 0;
    }

    const Replica &leader() const { return this->members[this->leaderIndex()].node->replica(); }

    std::uint64_t newestAcknowledged() const
    {
        std::uint64_t newest = 0;
        for (const auto &[version, change] : this->changes)
            if (change.acknowledgedAt)
                newest = std::max(newest, version);
        return newest;
    }

    /** \brief Fails unless each change before \a end was acknowledged within \a bound. */
    void expectAcknowledgedWithin(Duration bound, TimePoint end) const
    {
        for (const auto &[version, change] : this->changes) {
            if (change.submittedAt >= end)
                continue;
            ASSERT_TRUE(change.acknowledgedAt.has_value()) << "version " << version;
            EXPECT_LE(toMilliseconds(*change.acknowledgedAt - change.submittedAt),
                      toMilliseconds(bound))
                << "version " << version;
        }
    }

    /** \brief Fails unless all members hold the newest acknowledged rules or newer ones. */
    void expectAcknowledgedRulesEverywhere() const
    {
        for (const Registry &member : this->members) {
            const RulesState &state = member.node->state();
            EXPECT_GE(state.version(), this->newestAcknowledged());
            EXPECT_EQ(state.text(), rulesTextOf(state.version(), this->padding));
        }
    }

    std::vector<NodeName> names;
    std::vector<Registry> members;
    TimePoint now { 1'800'000'000s };
    std::mt19937_64 random;
    std::optional<std::size_t> isolatedIndex; ///< a member whose messages are lost
    bool isOperatorAtWork = true;

private:
    void step()
    {
        while (!this->inFlight.empty() && this->inFlight.begin()->first <= this->now) {
            this->deliver(this->inFlight.begin()->second);
            this->inFlight.erase(this->inFlight.begin());
        }
        this->sendChanges();
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            Registry &member = this->members[i];
            const bool isTickDue = this->now.time_since_epoch() % Duration(10ms) == Duration(0);
            if (isTickDue && member.guard.isAvailable()) {
                member.node->tick(this->now, member.out);
                if (this->now.time_since_epoch() % Duration(500ms) == Duration(0))
                    member.node->requestJoin(this->names, member.out);
            }
            this->flush(member);
        }
    }

    void deliver(const ReplicaEnvelope &envelope)
    {
        const bool isLost = this->isolatedIndex
            && (envelope.to == this->names[*this->isolatedIndex]
                || envelope.from.node == this->names[*this->isolatedIndex]);
        if (isLost)
            return;
        for (std::size_t i = 0; i < this->members.size(); ++i) {
            Registry &member = this->members[i];
            if (this->names[i] == envelope.to && member.guard.isAvailable())
                member.node->receive(envelope, this->now, member.out);
        }
    }

    void flush(Registry &member)
    {
        const DiskGuard::Environment environment
            = { .store = [&](auto &writes) { return member.disk.store(writes); },
                .send =
                    [&](const ReplicaEnvelope &envelope) {
                        std::uniform_int_distribution<Duration::rep> latency(500, 5'000);
                        this->inFlight.emplace(this->now + Duration(latency(this->random)),
                                               envelope);
                    } };
        const StoreOutcome outcome
            = member.guard.storeAndSend(member.out.log.replica, environment, this->now);
        if (outcome == StoreOutcome::Failed)
            member.node->suspend(this->now, member.out);
        const ControlNode::Outbox outbox = std::exchange(member.out, {});
        for (const ApplyResponse &response : outbox.applyResponses) {
            EXPECT_TRUE(outcome == StoreOutcome::Stored || !response.reply);
            this->handleResponse(response);
        }
    }

    void sendChanges()
    {
        if (this->isOperatorAtWork && this->now >= this->nextChangeAt) {
            this->nextChangeAt = this->now + changeInterval;
            this->changes[++this->newestVersion]
                = { .submittedAt = this->now,
                    .sendAt = this->now,
                    .target = this->random() % this->members.size() };
        }
        for (auto &[version, change] : this->changes)
            if (!change.acknowledgedAt && this->now >= change.sendAt)
                this->send(version, change);
    }

    void send(std::uint64_t version, Change &change)
    {
        ApplyRules command = { .applyId = std::to_string(version),
                               .author = "a",
                               .text = rulesTextOf(version, this->padding) };
        command.assignedVersion = version;
        Registry &member = this->members[change.target];
        change.target = (change.target + 1) % this->members.size();
        change.sendAt = this->now + operatorTimeout;
        member.node->apply({ .node = NodeName("operator"), .number = version }, command, this->now,
                           member.out);
    }

    // After a response without a reply, the operator goes on to the leader it names, or else to the
    // next member.
    void handleResponse(const ApplyResponse &response)
    {
        Change &change = this->changes.at(response.request.number);
        if (change.acknowledgedAt)
            return;
        if (response.reply) {
            EXPECT_EQ(response.reply->status, ApplyStatus::Accepted);
            change.acknowledgedAt = this->now;
            return;
        }
        for (std::size_t i = 0; i < this->names.size(); ++i)
            if (response.leader == this->names[i])
                change.target = i;
        change.sendAt = this->now + operatorPause;
    }

    ControlOptions options;
    std::size_t padding;
    std::multimap<TimePoint, ReplicaEnvelope> inFlight;
    std::map<std::uint64_t, Change> changes;
    std::uint64_t newestVersion = 0;
    TimePoint nextChangeAt { 1'800'000'000s };
};

constexpr Duration acknowledgementBound = 4s;
constexpr Duration fullTime = 3s;

// Guards against a group that refuses changes, or leaves them unanswered, during or after faults of
// one disk at a time.
TEST(FullDisk, ChangesAreAcceptedWhileTheDisksAreFullInTurn)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Registries registries(seed);
        registries.run(2s);
        std::vector<std::size_t> order = { 0, 1, 2 };
        std::ranges::shuffle(order, registries.random);
        for (const std::size_t index : order) {
            registries.fillDisk(index, registries.random() % 2 == 0, fullTime);
            registries.run(Duration(registries.random() % 1'500'000));
        }
        registries.fillDisk(registries.leaderIndex(), seed % 2 == 0, fullTime);
        const TimePoint lastHasRoomAt = registries.now;
        registries.run(2 * acknowledgementBound);
        registries.expectAcknowledgedWithin(acknowledgementBound,
                                            lastHasRoomAt + acknowledgementBound);
        registries.isOperatorAtWork = false;
        registries.run(2s);
        registries.expectAcknowledgedRulesEverywhere();
        for (const Registry &member : registries.members)
            EXPECT_TRUE(member.guard.isAvailable());
    }
}

// Guards against a voter that was replaced because its disk was full for long, and then stays out
// of the group or disturbs it.
TEST(FullDisk, VoterThatWasReplacedMeanwhileJoinsAgain)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Registries registries(seed, Registries::voterCount + 1);
        registries.run(3s);
        for (std::size_t index = 0; index < registries.members.size(); ++index) {
            registries.fillDisk(index, seed % 2 == 0, 2 * fullTime);
            const GroupMembership &membership = registries.leader().membership();
            EXPECT_FALSE(membership.isVoter(registries.members[index].node->replica().self()));
            registries.run(2s);
        }
        registries.isOperatorAtWork = false;
        registries.run(acknowledgementBound);
        registries.expectAcknowledgedWithin(acknowledgementBound, registries.now);
        registries.expectAcknowledgedRulesEverywhere();
        for (const Registry &member : registries.members)
            EXPECT_TRUE(member.node->replica().isMember());
        const GroupMembership &membership = registries.leader().membership();
        EXPECT_EQ(membership.members.size(), registries.members.size());
        EXPECT_EQ(membership.voterCount(), Registries::voterCount + 1) << "all vote again";
    }
}

// Guards against an acknowledgement that rests on writes which a full disk did not take.
TEST(FullDisk, AcknowledgedChangesSurviveARestartOfAllMembers)
{
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Registries registries(seed);
        registries.run(2s);
        for (int fault = 0; fault < 6; ++fault) {
            const std::size_t index = registries.random() % 3;
            registries.members[index].disk.failsAtSync = registries.random() % 2 == 0;
            registries.members[index].disk.isFull = true;
            // The quorum may depend on the member with the full disk.
            if (registries.random() % 2 == 0)
                registries.isolatedIndex = (index + 1) % 3;
            registries.run(Duration(registries.random() % 3'000'000));
            registries.isolatedIndex.reset();
            for (std::size_t i = 0; i < registries.members.size(); ++i)
                registries.restart(i);
            registries.run(1500ms);
            registries.members[index].disk.isFull = false;
            registries.run(1500ms);
        }
        registries.isOperatorAtWork = false;
        registries.run(3s);
        EXPECT_GT(registries.newestAcknowledged(), 10U);
        registries.expectAcknowledgedRulesEverywhere();
    }
}

// Guards against a compaction that loses acknowledged changes, when it finds no room on the disk or
// members are restarted meanwhile, and against members that need a snapshot and don't get it.
TEST(FullDisk, ChangesSurviveCompactionsWithFullDisksAndRestarts)
{
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Registries registries(seed, Registries::voterCount, 20'000);
        registries.run(2s);
        for (int fault = 0; fault < 6; ++fault) {
            const std::size_t index = registries.random() % 3;
            registries.fillDisk(index, registries.random() % 2 == 0,
                                Duration(registries.random() % 3'000'000));
            registries.isolatedIndex = registries.random() % 3;
            registries.run(4s);
            registries.isolatedIndex.reset();
            registries.restart(registries.random() % 3);
            registries.run(1500ms);
        }
        registries.isOperatorAtWork = false;
        registries.run(3s);
        EXPECT_GT(registries.newestAcknowledged(), 40U);
        registries.expectAcknowledgedRulesEverywhere();
        for (const Registry &member : registries.members)
            EXPECT_LT(member.node->replica().logSize(), 40U) << "entries of 20 kB";
    }
}

// Guards against a group that stays without a leader after all of its disks were full at once.
TEST(FullDisk, ChangesAreAcceptedSoonAfterAllDisksWereFull)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        Registries registries(seed);
        registries.run(2s);
        for (Registry &member : registries.members)
            member.disk.isFull = true;
        registries.run(5s);
        const std::uint64_t acknowledged = registries.newestAcknowledged();
        for (Registry &member : registries.members)
            member.disk.isFull = false;
        registries.run(acknowledgementBound);
        EXPECT_GT(registries.newestAcknowledged(), acknowledged + 10);
        registries.isOperatorAtWork = false;
        registries.run(2s);
        registries.expectAcknowledgedRulesEverywhere();
    }
}

// Guards against a leader that goes on leading without a disk, and against changes and reads that
// it leaves unanswered.
TEST(FullDisk, LeaderWithoutADiskStepsDownAndAnswersAtOnce)
{
    Registries registries(7);
    registries.isOperatorAtWork = false;
    registries.run(2s);
    Registry &leader = registries.members.at(registries.leaderIndex());
    ASSERT_TRUE(leader.node->replica().isLeaderReady());
    const RequestId read = { .node = NodeName("operator"), .number = 1 };
    const RequestId change = { .node = NodeName("operator"), .number = 2 };
    leader.node->requestRead(read, registries.now, leader.out);
    leader.node->apply(
        change, { .applyId = "2", .author = "a", .text = rulesTextOf(2), .assignedVersion = 2 },
        registries.now, leader.out);
    leader.disk.isFull = true;
    std::size_t sentCount = 0;
    const DiskGuard::Environment environment
        = { .store = [&](auto &writes) { return leader.disk.store(writes); },
            .send = [&](const ReplicaEnvelope &) { ++sentCount; } };
    const StoreOutcome outcome
        = leader.guard.storeAndSend(leader.out.log.replica, environment, registries.now);
    ASSERT_EQ(outcome, StoreOutcome::Failed);
    leader.node->suspend(registries.now, leader.out);
    EXPECT_FALSE(leader.node->replica().isLeader());
    ASSERT_EQ(leader.out.readResponses.size(), 1U);
    EXPECT_FALSE(leader.out.readResponses[0].file.has_value());
    EXPECT_FALSE(leader.out.readResponses[0].leader.has_value());
    ASSERT_EQ(leader.out.applyResponses.size(), 1U);
    EXPECT_FALSE(leader.out.applyResponses[0].reply.has_value());
    EXPECT_FALSE(leader.out.applyResponses[0].leader.has_value());
    // Later requests are answered at once as well, and nothing is sent to the group.
    leader.out = {};
    sentCount = 0;
    leader.node->requestRead(read, registries.now, leader.out);
    EXPECT_EQ(leader.out.readResponses.size(), 1U);
    leader.node->requestJoin(registries.names, leader.out);
    leader.guard.storeAndSend(leader.out.log.replica, environment, registries.now);
    EXPECT_EQ(sentCount, 0U);
}

// Guards against a group of one member that acknowledges a change which its disk did not take.
TEST(FullDisk, OnlyMemberOfAGroupDoesNotAcknowledgeWhatItsDiskRefused)
{
    const NodeName name("j1");
    TimePoint now(1'800'000'000s);
    FakeDisk disk(initialState(name, { name }, JournalState(TimePoint()).save()));
    JournalNode node({}, disk.state(), 1, now);
    DiskGuard guard;
    JournalNode::Outbox out;
    const DiskGuard::Environment environment
        = { .store = [&](auto &writes) { return disk.store(writes); },
            .send = [](const ReplicaEnvelope &) {} };
    for (; !node.replica().isLeaderReady(); now += 10ms)
        node.tick(now, out);
    ASSERT_EQ(guard.storeAndSend(out.replica, environment, now), StoreOutcome::Stored);
    out = {};
    disk.isFull = true;
    const JobId id(DomainName("a"), now, "job");
    node.receive({ .request = { .node = NodeName("entry"), .number = 1 },
                   .body = JournalCommand(OpenJob { .id = id, .taskCount = 1 }) },
                 now, out);
    ASSERT_EQ(out.responses.size(), 1U);
    ASSERT_TRUE(out.responses[0].reply.has_value());
    ASSERT_EQ(guard.storeAndSend(out.replica, environment, now), StoreOutcome::Failed);
    node.suspend(now, out);
    ASSERT_EQ(out.responses.size(), 1U);
    EXPECT_FALSE(out.responses[0].reply.has_value());
    EXPECT_FALSE(node.replica().isLeader());
    disk.isFull = false;
    EXPECT_EQ(guard.storeAndSend(out.replica, environment, now), StoreOutcome::Waiting);
    now += DiskGuard::retryInterval;
    EXPECT_EQ(guard.storeAndSend(out.replica, environment, now), StoreOutcome::Regained);
    EXPECT_FALSE(disk.state().entries.empty());
}

} // namespace
