#include "Hibiscus/src/Replication/LogEntry.h"

namespace Hibiscus {

namespace internal {

static void applyEntries(const std::vector<LogEntry> &added, std::vector<LogEntry> &log)
{
    if (added.empty())
        return;
    const std::uint64_t firstIndex = added.front().index;
    while (!log.empty() && log.back().index >= firstIndex)
        log.pop_back();
    HIBISCUS_INVARIANT(log.empty() || log.back().index + 1 == firstIndex, "the log has no gap");
    log.insert(log.end(), added.begin(), added.end());
}

// Entries after the snapshot are kept only if the log holds the snapshot's last entry with the same
// term; otherwise the log belongs to another history and is dropped.
static void applySnapshot(const Snapshot &snapshot, DurableState &durable)
{
    bool holdsSnapshotEntry = false;
    for (const LogEntry &entry : durable.entries)
        holdsSnapshotEntry
            = holdsSnapshotEntry || (entry.index == snapshot.index && entry.term == snapshot.term);
    if (holdsSnapshotEntry)
        std::erase_if(durable.entries,
                      [&](const LogEntry &entry) { return entry.index <= snapshot.index; });
    else
        durable.entries.clear();
    durable.snapshot = snapshot;
}

} // namespace internal

std::size_t sizeOf(const LogEntry &entry)
{
    const auto *command = std::get_if<Command>(&entry.body);
    return sizeof(LogEntry) + (command == nullptr ? 0 : command->bytes.size());
}

void applyWrite(const StorageWrite &write, DurableState &durable)
{
    std::visit(
        Overloaded {
            [&](const SaveHardState &save) { durable.hardState = save.hardState; },
            [&](const SaveEntries &save) { internal::applyEntries(save.entries, durable.entries); },
            [&](const SaveSnapshot &save) { internal::applySnapshot(save.snapshot, durable); },
        },
        write);
}

} // namespace Hibiscus
