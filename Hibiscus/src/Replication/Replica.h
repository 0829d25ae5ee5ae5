#pragma once

#include "Hibiscus/src/Replication/MembershipChange.h"
#include "Hibiscus/src/Replication/QuorumRule.h"
#include "Hibiscus/src/Replication/ReplicaMessage.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace Hibiscus {

/** \brief Timeouts and sizes of a replication group. */
struct ReplicaOptions
{
    Duration heartbeatInterval = 75ms;
    Duration electionTimeout = 400ms; ///< minimum; the maximum is twice this
    std::size_t entriesPerAppend = 256;
    /** \brief Number of voters that the group keeps when nodes are replaced by nodes with other
     * names; an odd number. One learner that has caught up votes besides these, so that the group
     * stands the loss of a voter that is removed without notice; the others stay learners. With 0,
     * each learner becomes a voter.
     */
    std::size_t desiredVoters = 0;
    Duration voterSilenceTimeout = 3s; ///< then a voter is removed, if desiredVoters remain
    Duration learnerSilenceTimeout = 15s; ///< then the learner is removed, if desiredVoters > 0
    /** \brief Time after a member's last LeaveRequest in which its vote is moved without waiting
     * for voterSilenceTimeout: the time that a successor may need to start and catch up.
     */
    Duration leaveTimeout = 15s;
};

/** \brief The output of a step of a Replica, for its process to execute.
 *
 * Messages in \a sendBeforeSync may be sent at once. Everything else waits until \a writes, in
 * their order, are synced to disk.
 */
struct ReplicaOutbox
{
    std::vector<StorageWrite> writes;
    std::vector<ReplicaEnvelope> sendBeforeSync;
    std::vector<ReplicaEnvelope> sendAfterSync;
    std::optional<Snapshot> restoredSnapshot; ///< to restore before \a committedEntries are applied
    std::vector<LogEntry> committedEntries; ///< to apply in order
    std::vector<std::uint64_t> confirmedReads; ///< tokens passed to Replica::requestRead()
};

/** \brief The Raft role of a replica in the current term. */
enum class ReplicaRole : std::uint8_t { Follower, Candidate, Leader };

/** \brief The announcements of a member that its process stops soon. */
struct LeaveAnnouncement
{
    TimePoint firstAt; ///< the first of an uninterrupted series
    TimePoint latestAt;

    auto operator<=>(const LeaveAnnouncement &other) const = default;
};

/** \brief One member of a replicated log, after Raft: leader election with pre-vote, log
 * replication, snapshots, catch-up, and membership changes of one member at a time.
 *
 * A quorum is a majority of the voters. While a change of the members is not known to be committed,
 * it is a majority of those before the change, too. A group of 2n+2 voters can do with n+1 if one
 * of the others is known to have lost its disk, since that one takes part in no quorum any more.
 * docs/PROOFS.md has the proof.
 *
 * It does no input or output: messages, the time and the random seed are passed in, and messages to
 * send and writes to persist are returned in a ReplicaOutbox.
 *
 * \sa ReplicaOutbox, Replicated
 */
class Replica
{
public:
    Replica(const ReplicaOptions &options, DurableState durable, std::uint64_t seed, TimePoint now);

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, ReplicaOutbox &out);
    void tick(TimePoint now, ReplicaOutbox &out);
    /** \brief Appends \a commands to the log; may be called only on the leader. */
    void propose(std::vector<Bytes> commands, TimePoint now, ReplicaOutbox &out);
    /** \brief Starts a heartbeat round, and confirms \a token once a quorum has acknowledged this
     * or a later round.
     */
    void requestRead(std::uint64_t token, TimePoint now, ReplicaOutbox &out);
    /** \brief Replaces the log up to \a index, which must be applied, by a snapshot with \a state.
     */
    void compact(std::uint64_t index, Bytes state, ReplicaOutbox &out);
    /** \brief Sends join requests to \a nodes, unless this is a member that knows a leader. */
    void requestJoin(const std::vector<NodeName> &nodes, ReplicaOutbox &out) const;
    /** \brief Tells the other members that this one stops soon. \sa LeaveRequest */
    void requestLeave(ReplicaOutbox &out) const;
    /** \brief Gives up leadership, and delays its next candidacy so that another is elected. */
    void stepDown(TimePoint now);
    /** \brief Gives up leadership, candidacy and the known leader, for the time in which the
     * replica is given neither messages nor ticks.
     */
    void suspend(TimePoint now)
    {
        this->becomeFollower(now);
        this->caughtUp = false;
    }

    // Queries.
    bool isLeader() const { return this->replicaRole == ReplicaRole::Leader; }
    /** \returns whether the leader has committed an entry of its own term. */
    bool isLeaderReady() const;
    /** \brief Whether this replica has, since its start and since it was last suspended, held every
     * entry that was committed before the election of some leader that it has heard from. Until
     * then its committed entries may be those of its snapshot only, and older than what the group
     * has acknowledged. It says nothing of what was committed since.
     */
    bool hasCaughtUp() const { return this->caughtUp; }
    ReplicaRole role() const { return this->replicaRole; }
    std::uint64_t term() const { return this->durable.hardState.term; }
    std::uint64_t commitIndex() const { return this->committedIndex; }
    std::uint64_t lastIndex() const;
    std::uint64_t logSize() const { return this->durable.entries.size(); }
    std::uint64_t snapshotIndex() const { return this->durable.snapshot.index; }
    std::size_t snapshotBytes() const { return this->durable.snapshot.state.size(); }
    const MemberId &self() const { return this->durable.self; }
    const std::optional<MemberId> &leader() const { return this->knownLeader; }
    const GroupMembership &membership() const { return this->activeMembership; }
    /** \returns the latest membership by which alone the next leader counts quorums, whichever
     * minority of its voters is lost. While a change is under way it is the one before the change.
     */
    const GroupMembership &confirmedMembership() const { return this->confirmedMembers; }
    /** \returns the number of nodes, learners among them, on whose disks the log is known to be up
     * to \a index; on a member that is not the leader only its own is known. Members that are
     * leaving do not count, since their disks may be gone with them.
     */
    std::size_t copiesOf(std::uint64_t index, TimePoint now) const;
    const std::vector<LogEntry> &entries() const { return this->durable.entries; }
    bool isMember() const { return this->activeMembership.contains(this->self()); }
    /** \returns whether a successor could take the vote of this member before it stops, or has
     * taken it by a change that is not confirmed yet.
     */
    bool mayHandOverVote() const;
    /** \returns the latest change that this replica made as the leader. */
    const std::optional<MembershipChange> &latestChange() const { return this->madeChange; }
    /** \returns whether the latest change that is in this replica's log is committed. */
    bool isMembershipCommitted() const { return this->membershipIndex <= this->committedIndex; }
    /** \returns on the leader the exchange of voters that it works on; nothing if there is none. */
    std::optional<PendingExchange> pendingExchange(TimePoint now) const;
    /** \returns the recent announcements of other members, believed or not. */
    const std::map<MemberId, LeaveAnnouncement> &leaveAnnouncements() const
    {
        return this->leaveRequests;
    }
    /** \returns the voters that are known to have lost their disks. */
    const std::set<MemberId> &lostVoters() const { return this->knownLostVoters; }
    /** \returns whether the member \a id has announced its stop and was not heard after it. Only
     * the leader hears the others.
     */
    bool isLeaving(const MemberId &id, TimePoint now) const;

private:
    /** \brief The leader's replication state of another member. */
    struct Progress
    {
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
        std::uint64_t acknowledgedRound = 0;
        TimePoint lastSeenAt; ///< or the time since which this replica leads
        TimePoint silentSince; ///< as lastSeenAt, or earlier, by what the former leader told
        TimePoint sentAt;
        bool isProbing = true; ///< whether the logs are not known to match
        /** \brief Whether the member has not replied since entries or a snapshot were sent to probe
         * it; until then, further appends have none.
         */
        bool isProbeInFlight = false;
    };

    struct PendingRead
    {
        std::uint64_t token = 0;
        std::uint64_t round = 0;
    };

    void handle(const VoteRequest &request, const MemberId &from, TimePoint now,
                ReplicaOutbox &out);
    void handle(const VoteReply &reply, const MemberId &from, TimePoint now, ReplicaOutbox &out);
    void handle(const AppendRequest &request, const MemberId &from, TimePoint now,
                ReplicaOutbox &out);
    void handle(const SnapshotRequest &request, const MemberId &from, TimePoint now,
                ReplicaOutbox &out);
    void handle(const AppendReply &reply, const MemberId &from, TimePoint now, ReplicaOutbox &out);
    void handle(const JoinRequest &request, const MemberId &from, TimePoint now,
                ReplicaOutbox &out);
    void handle(const LeaveRequest &request, const MemberId &from, TimePoint now,
                ReplicaOutbox &out);

    void adoptTerm(std::uint64_t term, TimePoint now, ReplicaOutbox &out);
    void followLeader(const MemberId &leader, TimePoint now);
    void recordSilences(const std::vector<MemberSilence> &silences, TimePoint now);
    /** \brief Takes over, as a new leader, what its predecessor told of the silence of members, and
     * when the predecessor was last heard.
     */
    void adoptSilences();
    void becomeFollower(TimePoint now);
    /** \brief Tells the sender of a message to a former incarnation of this node that the disk of
     * that one is lost.
     */
    void reportLostDisk(const ReplicaEnvelope &envelope, ReplicaOutbox &out) const;
    void recordLostVoter(const MemberId &id, TimePoint now, ReplicaOutbox &out);
    void startElection(VoteKind kind, TimePoint now, ReplicaOutbox &out);
    void countVotes(TimePoint now, ReplicaOutbox &out);
    void becomeLeader(TimePoint now, ReplicaOutbox &out);
    void resetElectionTimer(TimePoint now);
    void append(EntryBody body, ReplicaOutbox &out);
    void sendAppends(TimePoint now, ReplicaOutbox &out);
    void sendAppend(const MemberId &to, TimePoint now, ReplicaOutbox &out);
    void advanceCommit(ReplicaOutbox &out);
    void commitUpTo(std::uint64_t index, ReplicaOutbox &out);
    void recordCommitted(const GroupMembership &membership);
    /** \brief Records whether all that the leader of this term had committed, \a leaderCommit, is
     * committed here.
     */
    void updateCaughtUp(std::uint64_t leaderCommit);
    void confirmReads(ReplicaOutbox &out);
    void changeMembers(TimePoint now, ReplicaOutbox &out);
    void appendMembership(GroupMembership membership, TimePoint now, ReplicaOutbox &out);
    /** \brief Goes by the members in the snapshot, and in the log behind it. */
    void adoptSnapshotMembership();
    void adoptMembershipFromLog();
    void trackMembers(TimePoint now);
    /** \returns the members that are not heard, for the followers. */
    std::vector<MemberSilence> silences(TimePoint now) const;
    void send(const MemberId &to, ReplicaMessage message,
              std::vector<ReplicaEnvelope> &messages) const;
    void sendAfterSync(const MemberId &to, ReplicaMessage message, ReplicaOutbox &out) const;

    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    std::uint64_t lastTerm() const;
    bool isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    bool isInContactWithQuorum(TimePoint now) const;
    /** \returns the next change of the members, if one is due. */
    std::optional<MembershipChange> nextChange(TimePoint now) const;
    std::optional<MembershipChange> changeAfterJoin(TimePoint now) const;
    /** \returns the change that makes \a learner a voter, or makes room for it, if it is up to date
     * and wanted.
     */
    std::optional<MembershipChange> changeAfterCatchUp(const MemberId &learner,
                                                       TimePoint now) const;
    /** \returns the removal of a voter that has lost its disk, if enough others vote. */
    std::optional<MembershipChange> changeAfterLostDisk() const;
    /** \returns the removal of a silent or leaving voter whose successor votes. */
    std::optional<MembershipChange> changeWithoutSurplus(TimePoint now) const;
    /** \returns why \a learner can't be given a vote; \c None if it can. */
    ExchangeObstacle obstacleOf(const MemberId &learner, TimePoint now) const;
    /** \returns the voter whose vote should move to another member, with nothing but the cause. */
    std::optional<PendingExchange> dueExchange(TimePoint now) const;
    /** \returns another voter of the node of \a learner, which has lost its disk since. */
    std::optional<MemberId> formerVoter(const MemberId &learner) const;
    bool isHeard(const MemberId &id, TimePoint now) const;
    /** \returns a voter that is leaving. */
    std::optional<MemberId> leavingVoter(TimePoint now) const;
    /** \returns a silent voter whose node is heard as another voter, which has replaced it. */
    std::optional<MemberId> replacedVoter(TimePoint now) const;
    /** \returns whether the group keeps enough voters without the voter \a id. */
    bool mayRemoveVoter(const MemberId &id) const;
    /** \returns a member with \a role that was silent for longer than its timeout. */
    std::optional<MemberId> silentMember(MemberRole role, TimePoint now) const;
    /** \returns whether \a members form a quorum if the voters in \a lost have lost their disks.
     */
    bool isQuorum(const std::set<MemberId> &members, const std::set<MemberId> &lost) const;
    /** \returns whether the present voters are known to be committed, by the commit index or since
     * the log confirms them.
     */
    bool areVotersCommitted() const
    {
        return this->isMembershipCommitted() || this->areVotersConfirmed();
    }
    bool areVotersConfirmed() const
    {
        return this->activeMembership.voters() == this->formerMembership.voters();
    }
    /** \returns the other members whose votes count now. */
    std::set<MemberId> otherVoters() const;
    /** \returns this member, and those others whose progress \a matches. */
    template<typename Matches>
    std::set<MemberId> selfAnd(const Matches &matches) const;
    /** \returns the highest index up to which the logs of a quorum are known to match, and no less
     * than the commit index.
     */
    std::uint64_t quorumIndex() const;
    const LogEntry &entryAt(std::uint64_t index) const;

    ReplicaOptions options;
    DurableState durable;
    std::mt19937_64 random;
    ReplicaRole replicaRole = ReplicaRole::Follower;
    std::uint64_t committedIndex = 0;
    bool caughtUp = false;
    std::optional<MemberId> knownLeader;
    std::optional<MemberId> latestLeader; ///< other than this replica
    TimePoint leaderLastSeenAt; ///< the time at which latestLeader was heard
    std::map<MemberId, TimePoint> silentMembers; ///< by the latest leader; with the beginnings
    TimePoint electionDueAt;
    TimePoint heartbeatDueAt;
    VoteKind electionKind = VoteKind::PreVote;
    std::set<MemberId> votes;
    std::set<MemberId> knownLostVoters;
    /** \brief Those that were known when this member asked for the votes of the current term: all
     * votes and acknowledgements that it counts as candidate and leader are younger.
     */
    std::set<MemberId> lostBeforeElection;
    std::map<MemberId, Progress> progress;
    std::map<MemberId, TimePoint> joinRequests;
    std::map<MemberId, LeaveAnnouncement> leaveRequests; ///< kept by followers, too
    std::optional<MembershipChange> madeChange;
    std::vector<PendingRead> pendingReads;
    std::uint64_t round = 0;
    std::uint64_t termStartIndex = 0;
    GroupMembership activeMembership;
    GroupMembership formerMembership; ///< the one before activeMembership
    GroupMembership committedMembers; ///< the latest that is committed
    GroupMembership confirmedMembers;
    std::uint64_t membershipIndex = 0;
};

} // namespace Hibiscus
