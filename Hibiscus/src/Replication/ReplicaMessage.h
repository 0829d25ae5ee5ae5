#pragma once

#include "Hibiscus/src/Replication/LogEntry.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief Whether a request only checks that an election could succeed, or asks for a real vote. */
enum class VoteKind : std::uint8_t { PreVote, Vote };

/** \brief A candidate's request for a vote. */
struct VoteRequest
{
    VoteKind kind = VoteKind::PreVote;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    auto operator<=>(const VoteRequest &other) const = default;
    HIBISCUS_FIELDS(kind, term, lastIndex, lastTerm)
};

/** \brief The reply to a VoteRequest of the same kind and term. */
struct VoteReply
{
    VoteKind kind = VoteKind::PreVote;
    std::uint64_t term = 0;
    std::uint64_t requestTerm = 0;
    bool granted = false;

    auto operator<=>(const VoteReply &other) const = default;
    HIBISCUS_FIELDS(kind, term, requestTerm, granted)
};

/** \brief The time for which a leader has not heard a member. */
struct MemberSilence
{
    MemberId member;
    Duration span {};

    auto operator<=>(const MemberSilence &other) const = default;
    HIBISCUS_FIELDS(member, span)
};

/** \brief Log entries from the leader; a heartbeat when there are none. */
struct AppendRequest
{
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0; ///< heartbeat round, echoed in the reply
    std::vector<LogEntry> entries;
    std::vector<MemberSilence> silences; ///< of members not heard lately, for the next leader

    auto operator<=>(const AppendRequest &other) const = default;
    HIBISCUS_FIELDS(term, previousIndex, previousTerm, commitIndex, round, entries, silences)
};

/** \brief The leader's snapshot, for a member that needs entries which the leader has compacted. */
struct SnapshotRequest
{
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    Snapshot snapshot;

    auto operator<=>(const SnapshotRequest &other) const = default;
    HIBISCUS_FIELDS(term, round, snapshot)
};

/** \brief The reply to an AppendRequest or SnapshotRequest. */
struct AppendReply
{
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    bool matched = false;
    std::uint64_t lastIndex = 0; ///< last matching index; on a mismatch a hint where to retry

    auto operator<=>(const AppendReply &other) const = default;
    HIBISCUS_FIELDS(term, round, matched, lastIndex)
};

/** \brief A request to be added to the group as a learner, from a replica with an empty disk. */
struct JoinRequest
{
    /** \brief The former incarnation of the sender's node that a message of the receiver was
     * addressed to, and whose disk is lost; 0 if the request is no reply to such a message.
     */
    std::uint64_t lostIncarnation = 0;

    auto operator<=>(const JoinRequest &) const = default;
    template<typename Archive>
    void serialize(Archive &archive)
    {
        serializeAddedField(archive, this->lostIncarnation);
    }
};

/** \brief A member's announcement that its process stops soon, repeated until it does. The leader
 * then gives its vote to a learner that has caught up, if there is one.
 */
struct LeaveRequest
{
    auto operator<=>(const LeaveRequest &) const = default;
    template<typename Archive>
    void serialize(Archive &)
    { }
};

/** \brief The messages between replicas of one group. */
using ReplicaMessage = std::variant<VoteRequest, VoteReply, AppendRequest, SnapshotRequest,
                                    AppendReply, JoinRequest, LeaveRequest>;

/** \brief A message with its sender and receiver. */
struct ReplicaEnvelope
{
    MemberId from;
    NodeName to;
    std::uint64_t receiverIncarnation = 0; ///< 0 when unknown to the sender
    ReplicaMessage message;

    auto operator<=>(const ReplicaEnvelope &other) const = default;
    HIBISCUS_FIELDS(from, to, receiverIncarnation, message)
};

} // namespace Hibiscus
