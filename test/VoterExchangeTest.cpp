#include "test/support/ReplicaGroup.h"
#include "test/support/Seeds.h"

#include <gtest/gtest.h>

using namespace Hibiscus;

using Fake::ReplicaGroup;

namespace {

/** \brief Time that a process is given to stop after it is asked to. */
constexpr Duration stopTime = 1s;

std::string describe(std::size_t voters, bool isLeader)
{
    return std::to_string(voters) + (isLeader ? " voters, the leader" : " voters");
}

const std::vector<const char *> namesOfMembers = { "a", "b", "c", "d", "e", "f", "g" };

/** \brief A group with as many voters as desired, and spare nodes that have joined as learners. */
class ExchangeGroup : public ReplicaGroup
{
public:
    ExchangeGroup(std::size_t voters, std::size_t spares)
        : ExchangeGroup(voters, spares, { .desiredVoters = voters })
    { }

    ExchangeGroup(std::size_t voters, std::size_t spares, const ReplicaOptions &options)
        : ReplicaGroup({ namesOfMembers.begin(),
                         namesOfMembers.begin() + static_cast<std::ptrdiff_t>(voters) },
                       options)
    {
        this->leader();
        this->run(1s);
        for (std::size_t i = 0; i < spares; ++i)
            this->loseDisk(NodeName("spare-" + std::to_string(i + 1)));
        this->run(1s);
    }

    /** \brief Takes the voters that are not the leader before the leader. */
    NodeName anyVoter(bool isLeader)
    {
        const MemberId leaderId = this->leader().self();
        if (isLeader)
            return leaderId.node;
        for (const Member &member : this->leader().membership().members)
            if (member.role == MemberRole::Voter && member.id != leaderId)
                return member.id.node;
        throw std::runtime_error("the group has one voter");
    }

    /** \brief The node \a name is asked to stop, and is gone after \a span. */
    void stop(const NodeName &name, Duration span)
    {
        this->replicas.at(name).stepDown(this->now);
        this->leaving.insert(name);
        this->run(span);
        this->leaving.erase(name);
        this->silent.insert(name);
    }

    void comeBack(const NodeName &name) { this->silent.erase(name); }

    bool isVoter(const NodeName &name)
    {
        return this->leader().membership().isVoter(this->replicas.at(name).self());
    }

    /** \returns the voter in touch whose log is the newest, as a rule the leader. */
    NodeName newestVoter()
    {
        const Replica *newest = nullptr;
        for (const auto &[name, replica] : this->replicas)
            if (!this->silent.contains(name) && replica.membership().isVoter(replica.self())
                && (newest == nullptr || replica.commitIndex() > newest->commitIndex()
                    || (replica.commitIndex() == newest->commitIndex() && replica.isLeader())))
                newest = &replica;
        return newest->self().node;
    }

    std::uint64_t newestCommit() const
    {
        std::uint64_t newest = 0;
        for (const auto &[name, replica] : this->replicas)
            newest = std::max(newest, replica.commitIndex());
        return newest;
    }

    /** \returns whether a command is committed within \a span, by whichever member leads then. */
    bool commits(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->step())
            for (auto &[name, replica] : this->replicas) {
                if (!replica.isLeaderReady() || this->silent.contains(name))
                    continue;
                ReplicaOutbox out;
                replica.propose({ Bytes(10, 'x') }, this->now, out);
                const std::uint64_t index = replica.lastIndex();
                this->deliver(std::move(out));
                if (replica.commitIndex() >= index)
                    return true;
            }
        return false;
    }
};

// Guards against a group that ends when a disk is lost after a planned replacement, since it still
// counts on the vote of the member that has gone.
TEST(VoterExchange, VoteIsMovedBeforeAMemberThatIsAskedToStopIsGone)
{
    for (const std::size_t voters : { 3U, 5U, 7U })
        for (const bool isLeader : { false, true }) {
            ExchangeGroup group(voters, 1);
            const NodeName leaver = group.anyVoter(isLeader);
            group.stop(leaver, stopTime);
            const std::string what = describe(voters, isLeader);
            // The rest of the voters, its successor among them, stands the loss of the largest
            // minority of them.
            const GroupMembership membership = group.leader().membership();
            EXPECT_EQ(membership.voterCount(), voters) << what;
            EXPECT_FALSE(group.isVoter(leaver)) << what;
            EXPECT_TRUE(group.isVoter(NodeName("spare-1"))) << what;
            for (std::size_t i = 0; i < voters / 2; ++i)
                group.loseDisk(group.anyVoter(true));
            EXPECT_TRUE(group.commits(5s)) << what;
        }
}

// Guards against a process that ends while the next leader still needs its vote: the group would
// end if as many members as it stands were lost right then.
TEST(VoterExchange, MemberThatIsAskedToStopStaysUntilTheExchangeIsConfirmed)
{
    for (const std::size_t voters : { 3U, 5U, 7U })
        for (const bool isLeader : { false, true })
            for (Duration delay = 0ms; delay <= 2s; delay += 100ms) {
                ExchangeGroup group(voters, 2);
                // Of two spare nodes that are silent the one with a vote is removed.
                group.silent = { NodeName("spare-1"), NodeName("spare-2") };
                group.run(group.options.voterSilenceTimeout + 1s);
                ASSERT_EQ(group.leader().membership().voterCount(), voters);
                ASSERT_EQ(group.leader().membership().members.size(), voters + 1);
                const NodeName leaver = group.anyVoter(isLeader);
                ReplicaShutdown shutdown;
                shutdown.begin(group.now);
                group.replicas.at(leaver).stepDown(group.now);
                group.leaving = { leaver };
                const TimePoint backAt = group.now + delay;
                while (!shutdown.isDue(group.replicas.at(leaver), group.now)) {
                    if (group.now >= backAt)
                        group.silent.clear();
                    group.step();
                }
                group.leaving.clear();
                group.silent.insert(leaver);
                for (std::size_t i = 0; i < voters / 2; ++i)
                    group.silent.insert(group.newestVoter());
                EXPECT_TRUE(group.commits(5s))
                    << describe(voters, isLeader) << ", " << toMilliseconds(delay) << " ms";
            }
}

// Guards against a vote that stays with a member that has gone, because nobody but its successor's
// predecessor was told, or the successor came after it had gone.
TEST(VoterExchange, VoteIsMovedOnceASuccessorOfAGoneMemberHasCaughtUp)
{
    for (const bool isLeader : { false, true }) {
        ExchangeGroup group(3, 0);
        const NodeName leaver = group.anyVoter(isLeader);
        group.stop(leaver, 20ms);
        group.run(1s);
        EXPECT_EQ(group.leader().membership().voterCount(), 3U);
        const NodeName spare("spare-1");
        group.loseDisk(spare);
        group.run(500ms);
        EXPECT_TRUE(group.isVoter(spare));
        EXPECT_FALSE(group.isVoter(leaver));
    }
}

// Guards against votes that are given to a node that is about to stop itself, and against a group
// that has more than one vote too many or one too few at any time.
TEST(VoterExchange, TwoMembersThatStopAtOnceAreReplacedOneByOne)
{
    ExchangeGroup group(5, 3);
    const NodeName first = group.anyVoter(false);
    group.leaving = { first, NodeName("spare-1") };
    for (const NodeName &name : group.names())
        if (group.isVoter(name) && name != first && name != group.leader().self().node) {
            group.leaving.insert(name);
            break;
        }
    for (int i = 0; i < 100; ++i) {
        group.step();
        const std::size_t voters = group.leader().membership().voterCount();
        ASSERT_TRUE(voters == 5 || voters == 6) << "step " << i;
    }
    group.silent = group.leaving;
    group.leaving.clear();
    for (const NodeName &name : group.silent)
        EXPECT_FALSE(group.isVoter(name)) << name.str();
    EXPECT_EQ(group.leader().membership().voterCount(), 5U);
    EXPECT_TRUE(group.commits(1s));
}

// Guards against an exchange that stops halfway for good when its leader is lost.
TEST(VoterExchange, ExchangeWhoseLeaderIsLostIsEndedByTheNext)
{
    for (int steps = 0; steps < 20; ++steps) {
        ExchangeGroup group(5, 1);
        const NodeName leaver = group.anyVoter(false);
        group.leaving = { leaver };
        group.run(10ms * steps);
        const NodeName leaderName = group.leader().self().node;
        group.silent = { leaderName };
        group.run(stopTime);
        group.leaving.clear();
        group.silent.insert(leaver);
        EXPECT_TRUE(group.commits(3s)) << "step " << steps;
        group.run(500ms);
        group.silent = { leaver };
        group.run(2s);
        const GroupMembership membership = group.leader().membership();
        EXPECT_EQ(membership.voterCount(), 5U) << "step " << steps;
        EXPECT_FALSE(group.isVoter(leaver)) << "step " << steps;
    }
}

// Guards against a member whose vote is taken though it was only started anew, while no other node
// could take it, and against one that comes back and is not given the log any more.
TEST(VoterExchange, MemberThatComesBackStaysInTheGroup)
{
    for (const std::size_t spares : { 0U, 1U }) {
        ExchangeGroup group(3, spares);
        const NodeName leaver = group.anyVoter(false);
        group.stop(leaver, stopTime);
        group.run(300ms);
        group.comeBack(leaver);
        group.run(1s);
        EXPECT_TRUE(group.isVoter(leaver));
        EXPECT_EQ(group.leader().membership().voterCount(), 3 + spares);
        ASSERT_TRUE(group.commits(1s));
        group.run(1s);
        EXPECT_EQ(group.replicas.at(leaver).commitIndex(), group.leader().commitIndex());
        // A node that joins now is no reason to take a vote away.
        const std::set<MemberId> voters = group.leader().membership().voters();
        group.loseDisk(NodeName("late"));
        group.run(1s);
        EXPECT_TRUE(std::ranges::includes(group.leader().membership().voters(), voters));
        EXPECT_EQ(group.leader().membership().voterCount(), 4U);
    }
}

// A member whose announcement arrives nowhere is replaced by its silence, as before.
TEST(VoterExchange, MemberThatIsCutOffWhileItStopsIsReplacedAfterItsSilence)
{
    ExchangeGroup group(3, 1);
    const NodeName leaver = group.anyVoter(false);
    group.silent = { leaver };
    group.leaving = { leaver };
    group.run(group.options.voterSilenceTimeout - 500ms);
    EXPECT_TRUE(group.isVoter(leaver));
    group.run(1s);
    EXPECT_FALSE(group.isVoter(leaver));
    EXPECT_EQ(group.leader().membership().voterCount(), 3U);
}

// Guards against a lost member that keeps its vote for the whole silence timeout after each
// election, so that the group ends with the next lost disk though the successor has caught up.
TEST(VoterExchange, SilenceOfALostMemberIsKnownToTheNextLeader)
{
    for (const std::size_t voters : { 3U, 5U }) {
        ExchangeGroup group(voters, 1);
        const NodeName lost = group.anyVoter(voters == 3);
        const NodeName formerLeader = group.leader().self().node;
        group.silent = { lost };
        group.run(group.options.voterSilenceTimeout - 1s);
        group.silent.insert(formerLeader);
        group.run(1300ms);
        const std::string what = std::to_string(voters) + " voters";
        EXPECT_FALSE(group.isVoter(lost)) << what;
        EXPECT_TRUE(group.isVoter(NodeName("spare-1"))) << what;
        EXPECT_EQ(group.leader().membership().voterCount(), voters) << what;
        if (voters == 3)
            continue;
        group.loseDisk(group.anyVoter(false));
        EXPECT_TRUE(group.commits(5s)) << what;
    }
}

// Guards against a group that ends when disks are lost, as many as it stands, right after a voter
// was removed without notice, or any time before its silence is believed (review/11).
TEST(VoterExchange, DisksMayBeLostAnyTimeAfterAVoterIsRemovedWithoutNotice)
{
    for (const std::size_t voters : { 3U, 5U, 7U })
        for (const bool isLeader : { false, true })
            for (Duration gap = 0ms; gap <= 3500ms; gap += 250ms) {
                ExchangeGroup group(voters, 1);
                ASSERT_TRUE(group.commits(1s));
                group.silent = { group.anyVoter(isLeader) };
                group.run(gap);
                const std::uint64_t committed = group.newestCommit();
                for (std::size_t i = 0; i < voters / 2; ++i)
                    group.loseDisk(group.newestVoter());
                const std::string what = describe(voters, isLeader) + ", "
                    + std::to_string(toMilliseconds(gap)) + " ms";
                EXPECT_TRUE(group.commits(5s)) << what;
                EXPECT_GT(group.newestCommit(), committed) << what;
                // It stands the next losses, too, once these count no longer.
                group.run(4s);
                for (std::size_t i = 0; i < voters / 2; ++i)
                    group.loseDisk(group.newestVoter());
                EXPECT_TRUE(group.commits(5s)) << what;
            }
}

// Guards against a member that is reported as replaced while the group still ends when as many
// disks are lost as it stands.
TEST(VoterExchange, DisksMayBeLostOnceALostMemberIsReportedAsReplaced)
{
    for (const std::size_t voters : { 3U, 5U, 7U })
        for (const bool isLeader : { false, true })
            for (const bool keepsVoters : { false, true }) {
                ExchangeGroup group(voters, 0, { .desiredVoters = keepsVoters ? voters : 0 });
                ASSERT_TRUE(group.commits(1s));
                const NodeName lost = group.anyVoter(isLeader);
                group.loseDisk(lost);
                const MemberId successor = group.replicas.at(lost).self();
                const TimePoint end = group.now + 10s;
                const auto isReplaced = [&] {
                    const GroupMembership &members = group.leader().confirmedMembership();
                    return members.isVoter(successor) && members.voterCount() == voters;
                };
                while (!isReplaced() && group.now < end)
                    group.step();
                const std::string what = describe(voters, isLeader)
                    + (keepsVoters ? ", a desired number" : ", any number");
                ASSERT_TRUE(isReplaced()) << what;
                for (std::size_t i = 0; i < voters / 2; ++i)
                    group.silent.insert(group.newestVoter());
                EXPECT_TRUE(group.commits(5s)) << what;
            }
}

// Guards against a group that takes a voter for lost by a message that is older than the voter.
TEST(VoterExchange, RequestToJoinIsNoEvidenceOfALostDiskByItself)
{
    ExchangeGroup group(3, 1);
    const NodeName voter = group.anyVoter(false);
    ReplicaOutbox out;
    group.replicas.at(group.leader().self().node)
        .receive({ .from = { .node = voter, .incarnation = 77 },
                   .to = group.leader().self().node,
                   .message = JoinRequest {} },
                 group.now, out);
    EXPECT_TRUE(group.leader().lostVoters().empty());
}

// Guards against the vote of a member that is taken because it was silent before it came back, or
// because the new leader was cut off from it.
TEST(VoterExchange, MemberThatRepliesToTheNextLeaderKeepsItsVote)
{
    ExchangeGroup group(5, 1);
    const NodeName formerLeader = group.anyVoter(true);
    const NodeName back = group.anyVoter(false);
    group.silent = { back };
    group.run(group.options.voterSilenceTimeout - 200ms);
    group.silent.insert(formerLeader);
    const auto isNextLeader = [&](const auto &item) {
        return item.first != formerLeader && item.second.isLeaderReady();
    };
    while (std::ranges::none_of(group.replicas, isNextLeader))
        group.step();
    group.run(100ms);
    group.silent = { formerLeader };
    group.run(1s);
    EXPECT_TRUE(group.isVoter(back));
    group.silent.clear();
    group.run(1s);
    EXPECT_TRUE(group.isVoter(formerLeader));
    EXPECT_EQ(group.leader().membership().voterCount(), 6U);
}

// Guards against a change that is acknowledged by the disk of a member that is about to be removed.
TEST(VoterExchange, DiskOfALeavingMemberIsNoCopy)
{
    ExchangeGroup group(3, 0);
    const NodeName leaver = group.anyVoter(false);
    const std::uint64_t index = group.leader().lastIndex();
    EXPECT_EQ(group.leader().copiesOf(index, group.now), 3U);
    group.leaving = { leaver };
    group.run(50ms);
    EXPECT_EQ(group.leader().copiesOf(index, group.now), 2U);
    group.leaving.clear();
    group.run(1s);
    EXPECT_EQ(group.leader().copiesOf(index, group.now), 3U);
}

// Guards against entries that are lost and groups that elect no leader, while members stop, come
// back or are replaced, and one more loses its disk after each such exchange.
TEST(VoterExchange, EntriesAreKeptWhileMembersAreReplaced)
{
    for (const std::uint64_t seed : Fake::soakSeeds(20)) {
        std::mt19937_64 random(seed);
        const std::size_t voters = 3 + 2 * (random() % 3);
        ExchangeGroup group(voters, 0);
        std::uint64_t committed = 0;
        bool hasSurplus = false;
        for (int round = 0; round < 8; ++round) {
            const std::string what
                = "seed " + std::to_string(seed) + ", round " + std::to_string(round);
            const NodeName leaver = group.anyVoter(random() % 3 == 0);
            group.loseDisk(NodeName("next-" + std::to_string(round)));
            group.run(500ms + 10ms * (random() % 100));
            const bool isAnnounced = random() % 2 == 0;
            if (isAnnounced)
                group.stop(leaver, stopTime);
            else
                group.silent.insert(leaver);
            group.run(10ms * (random() % 100));
            const bool isBack = isAnnounced && random() % 2 == 0;
            if (isBack)
                group.comeBack(leaver);
            for (std::size_t i = 0; i < voters / 2; ++i)
                group.loseDisk(group.anyVoter(random() % 2 == 0));
            ASSERT_TRUE(group.commits(4s)) << what;
            ASSERT_GE(group.leader().commitIndex(), committed) << what;
            committed = group.leader().commitIndex();
            group.run(4s);
            hasSurplus = hasSurplus || isBack;
            EXPECT_EQ(group.leader().membership().voterCount(), voters + (hasSurplus ? 1 : 0))
                << what;
        }
    }
}

} // namespace
