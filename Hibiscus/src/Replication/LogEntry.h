#pragma once

#include "Hibiscus/src/Replication/Member.h"

#include <cstdint>
#include <variant>

namespace Hibiscus {

/** \brief An entry without effect; each leader commits one at the start of its term. */
struct Noop
{
    auto operator<=>(const Noop &) const = default;
    template<typename Archive>
    void serialize(Archive &)
    { }
};

/** \brief An encoded command for the state machine. */
struct Command
{
    Bytes bytes;

    auto operator<=>(const Command &other) const = default;
    HIBISCUS_FIELDS(bytes)
};

/** \brief What a log entry holds. */
using EntryBody = std::variant<Noop, Command, Membership>;

/** \brief One entry of the replicated log; the first has index 1. */
struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryBody body;

    auto operator<=>(const LogEntry &other) const = default;
    HIBISCUS_FIELDS(index, term, body)
};

/** \brief The state machine after entry \a index, which replaces the log up to there. */
struct Snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    Membership membership;
    Bytes state;

    auto operator<=>(const Snapshot &other) const = default;
    HIBISCUS_FIELDS(index, term, membership, state)
};

/** \brief What a replica promised and must not forget. */
struct HardState
{
    std::uint64_t term = 0;
    std::optional<MemberId> votedFor;

    auto operator<=>(const HardState &other) const = default;
    HIBISCUS_FIELDS(term, votedFor)
};

/** \brief Everything that a replica reads back from its disk at start. */
struct DurableState
{
    MemberId self;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;

    auto operator<=>(const DurableState &other) const = default;
};

/** \brief Stores the term and vote. */
struct SaveHardState
{
    HardState hardState;
    HIBISCUS_FIELDS(hardState)
};

/** \brief Stores entries; whatever the log holds from the first one's index on is replaced. */
struct SaveEntries
{
    std::vector<LogEntry> entries;
    HIBISCUS_FIELDS(entries)
};

/** \brief Stores a snapshot; the log up to its index, and any log that conflicts, is dropped. */
struct SaveSnapshot
{
    Snapshot snapshot;
    HIBISCUS_FIELDS(snapshot)
};

/** \brief One change of the durable state, in the order in which it must reach the disk. */
using StorageWrite = std::variant<SaveHardState, SaveEntries, SaveSnapshot>;

/** \brief Applies \a write to \a durable, as a disk does when it is read back. */
void applyWrite(const StorageWrite &write, DurableState &durable);

} // namespace Hibiscus
