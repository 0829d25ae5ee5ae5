#pragma once

#include "Hibiscus/src/Replication/Member.h"

#include <cstdint>
#include <variant>

namespace Hibiscus {

/** \brief A no-op entry; each leader appends one at the start of its term. */
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

/** \brief The payload of a log entry. */
using EntryBody = std::variant<Noop, Command, GroupMembership>;

/** \brief One entry of the replicated log; the first has index 1. */
struct LogEntry
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    EntryBody body;

    auto operator<=>(const LogEntry &other) const = default;
    HIBISCUS_FIELDS(index, term, body)
};

/** \returns the approximate size of \a entry in memory and on disk, in bytes. */
std::size_t sizeOf(const LogEntry &entry);

/** \brief The saved state machine after the entry \a index; replaces the log up to and including
 * that entry.
 */
struct Snapshot
{
    std::uint64_t index = 0;
    std::uint64_t term = 0;
    GroupMembership membership;
    Bytes state;

    auto operator<=>(const Snapshot &other) const = default;
    HIBISCUS_FIELDS(index, term, membership, state)
};

/** \brief The term and vote of a replica, which must survive a restart. */
struct HardState
{
    std::uint64_t term = 0;
    std::optional<MemberId> votedFor;

    auto operator<=>(const HardState &other) const = default;
    HIBISCUS_FIELDS(term, votedFor)
};

/** \brief The whole persistent state of a replica, read back from disk at start. */
struct DurableState
{
    MemberId self;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;

    auto operator<=>(const DurableState &other) const = default;
};

/** \brief Persists the term and vote. */
struct SaveHardState
{
    HardState hardState;
    HIBISCUS_FIELDS(hardState)
};

/** \brief Persists entries; they replace the log from the index of the first one on. */
struct SaveEntries
{
    std::vector<LogEntry> entries;
    HIBISCUS_FIELDS(entries)
};

/** \brief Persists a snapshot; drops the log up to its index, and any conflicting log. */
struct SaveSnapshot
{
    Snapshot snapshot;
    HIBISCUS_FIELDS(snapshot)
};

/** \brief One change of the durable state; changes must reach the disk in order. */
using StorageWrite = std::variant<SaveHardState, SaveEntries, SaveSnapshot>;

/** \brief Applies \a write to \a durable, as when the log is replayed from disk. */
void applyWrite(const StorageWrite &write, DurableState &durable);

} // namespace Hibiscus
