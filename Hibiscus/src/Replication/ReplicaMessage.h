#pragma once

#include "Hibiscus/src/Replication/LogEntry.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief Whether a vote only asks for the chances of an election, or casts a vote. */
enum class VoteKind : std::uint8_t { PreVote, Vote };

/** \brief A candidate asks for a vote. */
struct VoteRequest
{
    VoteKind kind = VoteKind::PreVote;
    std::uint64_t term = 0;
    std::uint64_t lastIndex = 0;
    std::uint64_t lastTerm = 0;

    auto operator<=>(const VoteRequest &other) const = default;
    HIBISCUS_FIELDS(kind, term, lastIndex, lastTerm)
};

/** \brief The answer to a VoteRequest of the same kind and term. */
struct VoteReply
{
    VoteKind kind = VoteKind::PreVote;
    std::uint64_t term = 0;
    std::uint64_t requestTerm = 0;
    bool granted = false;

    auto operator<=>(const VoteReply &other) const = default;
    HIBISCUS_FIELDS(kind, term, requestTerm, granted)
};

/** \brief The leader sends entries, or a heartbeat when there are none. */
struct AppendRequest
{
    std::uint64_t term = 0;
    std::uint64_t previousIndex = 0;
    std::uint64_t previousTerm = 0;
    std::uint64_t commitIndex = 0;
    std::uint64_t round = 0; ///< heartbeat round, echoed by the reply
    std::vector<LogEntry> entries;

    auto operator<=>(const AppendRequest &other) const = default;
    HIBISCUS_FIELDS(term, previousIndex, previousTerm, commitIndex, round, entries)
};

/** \brief The leader sends its snapshot to a member whose log ends before it. */
struct SnapshotRequest
{
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    Snapshot snapshot;

    auto operator<=>(const SnapshotRequest &other) const = default;
    HIBISCUS_FIELDS(term, round, snapshot)
};

/** \brief The answer to an AppendRequest or SnapshotRequest. */
struct AppendReply
{
    std::uint64_t term = 0;
    std::uint64_t round = 0;
    bool matched = false;
    std::uint64_t lastIndex = 0; ///< last index known to match, or a hint where to try next

    auto operator<=>(const AppendReply &other) const = default;
    HIBISCUS_FIELDS(term, round, matched, lastIndex)
};

/** \brief A replica with an empty disk asks to be taken in as a learner. */
struct JoinRequest
{
    auto operator<=>(const JoinRequest &) const = default;
    template<typename Archive>
    void serialize(Archive &)
    { }
};

/** \brief What replicas of one group say to each other. */
using ReplicaMessage = std::variant<VoteRequest, VoteReply, AppendRequest, SnapshotRequest,
                                    AppendReply, JoinRequest>;

/** \brief A message with the member that sent it. */
struct ReplicaEnvelope
{
    MemberId from;
    NodeName to;
    std::uint64_t receiverIncarnation = 0; ///< 0 when the sender does not know it
    ReplicaMessage message;

    auto operator<=>(const ReplicaEnvelope &other) const = default;
    HIBISCUS_FIELDS(from, to, receiverIncarnation, message)
};

} // namespace Hibiscus
