#pragma once

#include "Hibiscus/src/Replication/ReplicaMessage.h"

#include <map>
#include <optional>
#include <random>
#include <set>

namespace Hibiscus {

/** \brief The timing of a replication group. */
struct ReplicaOptions
{
    Duration heartbeatInterval = 75ms;
    Duration electionTimeout = 400ms; ///< shortest; the longest is twice this
    std::size_t entriesPerAppend = 256;
    /** \brief Voters that the group keeps when nodes are replaced by others with new names; further
     * members wait as learners. 0: each learner becomes a voter.
     */
    std::size_t desiredVoters = 0;
    Duration replaceAfter = 3s; ///< a voter unheard for longer is replaced, if a learner is ready
    Duration dropLearnerAfter = 15s; ///< with a number of voters: an unheard learner is dropped
};

/** \brief What a step of a Replica asks its process to do.
 *
 * \a sendBeforeSync may leave at once. Everything else waits until \a writes are synced, in order.
 */
struct ReplicaOutbox
{
    std::vector<StorageWrite> writes;
    std::vector<ReplicaEnvelope> sendBeforeSync;
    std::vector<ReplicaEnvelope> sendAfterSync;
    std::optional<Snapshot> restored; ///< replaces the state machine, before \a committed
    std::vector<LogEntry> committed; ///< to apply, in order
    std::vector<std::uint64_t> confirmedReads; ///< tokens given to Replica::requestRead()
};

/** \brief Where a replica stands in its group. */
enum class ReplicaRole : std::uint8_t { Follower, Candidate, Leader };

/** \brief One member of a replicated log: election with pre-vote, log, snapshot, catch-up and
 * one-at-a-time change of members.
 *
 * It decides only: messages, the time and the random seed come in, messages and writes go out.
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
    /** \brief Appends \a commands to the log; only a leader may be asked to. */
    void propose(std::vector<Bytes> commands, TimePoint now, ReplicaOutbox &out);
    /** \brief Confirms \a token once a quorum has acknowledged this leader after now. */
    void requestRead(std::uint64_t token, TimePoint now, ReplicaOutbox &out);
    /** \brief Replaces the log up to \a index, which must be applied, by \a state. */
    void compact(std::uint64_t index, Bytes state, ReplicaOutbox &out);
    /** \brief Asks \a nodes to take this member in, if it is in no group that it knows. */
    void requestJoin(const std::vector<NodeName> &nodes, ReplicaOutbox &out) const;
    /** \brief Gives up leadership so that another member can take over soon. */
    void stepDown(TimePoint now);

    // Queries.
    bool isLeader() const { return this->replicaRole == ReplicaRole::Leader; }
    /** \returns whether the leader has committed an entry of its own term. */
    bool isLeaderReady() const;
    ReplicaRole role() const { return this->replicaRole; }
    std::uint64_t term() const { return this->durable.hardState.term; }
    std::uint64_t commitIndex() const { return this->committedIndex; }
    std::uint64_t lastIndex() const;
    std::uint64_t logSize() const { return this->durable.entries.size(); }
    const MemberId &self() const { return this->durable.self; }
    const std::optional<MemberId> &leader() const { return this->knownLeader; }
    const Membership &membership() const { return this->activeMembership; }
    bool isMember() const { return this->activeMembership.contains(this->self()); }

private:
    /** \brief What the leader knows of another member. */
    struct Progress
    {
        std::uint64_t matchIndex = 0;
        std::uint64_t nextIndex = 1;
        std::uint64_t acknowledgedRound = 0;
        TimePoint heardAt;
        TimePoint sentAt;
        bool probing = true; ///< one append at a time until the logs are known to match
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

    void adoptTerm(std::uint64_t term, TimePoint now, ReplicaOutbox &out);
    void followLeader(const MemberId &leader, TimePoint now);
    void becomeFollower(TimePoint now);
    void startElection(VoteKind kind, TimePoint now, ReplicaOutbox &out);
    void countVotes(TimePoint now, ReplicaOutbox &out);
    void becomeLeader(TimePoint now, ReplicaOutbox &out);
    void resetElectionTimer(TimePoint now);
    void append(EntryBody body, ReplicaOutbox &out);
    void sendAppends(TimePoint now, ReplicaOutbox &out);
    void sendAppend(const MemberId &to, TimePoint now, ReplicaOutbox &out);
    void advanceCommit(ReplicaOutbox &out);
    void commitUpTo(std::uint64_t index, ReplicaOutbox &out);
    void confirmReads(ReplicaOutbox &out);
    void changeMembers(TimePoint now, ReplicaOutbox &out);
    void adoptMembershipFromLog();
    void trackMembers(TimePoint now);
    void send(const MemberId &to, ReplicaMessage message,
              std::vector<ReplicaEnvelope> &messages) const;
    void reply(const MemberId &to, ReplicaMessage message, ReplicaOutbox &out) const;

    std::optional<std::uint64_t> termAt(std::uint64_t index) const;
    std::uint64_t lastTerm() const;
    bool isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const;
    bool hearsQuorum(TimePoint now) const;
    /** \returns a member with \a role that the leader has not heard for too long. */
    std::optional<MemberId> silentMember(MemberRole role, TimePoint now) const;
    bool membershipIsCommitted() const;
    std::uint64_t quorumIndex() const;
    const LogEntry &entryAt(std::uint64_t index) const;

    ReplicaOptions options;
    DurableState durable;
    std::mt19937_64 random;
    ReplicaRole replicaRole = ReplicaRole::Follower;
    std::uint64_t committedIndex = 0;
    std::optional<MemberId> knownLeader;
    TimePoint heardLeaderAt;
    TimePoint electionAt;
    TimePoint heartbeatAt;
    VoteKind electionKind = VoteKind::PreVote;
    std::set<MemberId> votes;
    std::map<MemberId, Progress> progress;
    std::map<MemberId, TimePoint> joining;
    std::vector<PendingRead> pendingReads;
    std::uint64_t round = 0;
    std::uint64_t termStartIndex = 0;
    Membership activeMembership;
    std::uint64_t membershipIndex = 0;
};

} // namespace Hibiscus
