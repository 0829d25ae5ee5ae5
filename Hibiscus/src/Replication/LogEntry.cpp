#include "Hibiscus/src/Replication/LogEntry.h"

namespace Hibiscus {

namespace internal {

static void applyEntries(const std::vector<LogEntry> &added, std::vector<LogEntry> &log)
{
    if (added.empty())
        return;
    const std::uint64_t from = added.front().index;
    while (!log.empty() && log.back().index >= from)
        log.pop_back();
    HIBISCUS_INVARIANT(log.empty() || log.back().index + 1 == from, "the log has no gap");
    log.insert(log.end(), added.begin(), added.end());
}

// The log behind the snapshot is kept only if it continues the snapshot's own history.
static void applySnapshot(const Snapshot &snapshot, DurableState &durable)
{
    bool continues = false;
    for (const LogEntry &entry : durable.entries)
        continues = continues || (entry.index == snapshot.index && entry.term == snapshot.term);
    if (continues)
        std::erase_if(durable.entries,
                      [&](const LogEntry &entry) { return entry.index <= snapshot.index; });
    else
        durable.entries.clear();
    durable.snapshot = snapshot;
}

} // namespace internal

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
