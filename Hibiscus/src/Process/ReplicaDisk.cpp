#include "Hibiscus/src/Process/ReplicaDisk.h"

#include <Hibiscus/Telemetry>

#include <random>

namespace Hibiscus {

namespace internal {

/** \brief The incarnation of every initial member of a group. */
constexpr std::uint64_t initialIncarnation = 1;

static std::vector<NodeSettings> groupNodes(const ProcessContext &context)
{
    if (context.self.role == NodeRole::Control)
        return context.deployment.nodesWithRole(NodeRole::Control);
    return context.deployment.journalNodesOf(context.self.serves);
}

} // namespace internal

std::vector<NodeName> groupMembers(const ProcessContext &context)
{
    std::vector<NodeName> names;
    for (const NodeSettings &node : internal::groupNodes(context))
        names.push_back(node.name);
    return names;
}

// The initial state is stored as a snapshot at index 1, so that a member that joins later receives
// it like any other snapshot.
DurableState initialState(const NodeName &self, const std::vector<NodeName> &nodes,
                          const Bytes &machineState)
{
    DurableState state;
    state.self = { .node = self, .incarnation = internal::initialIncarnation };
    state.hardState.term = 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    for (const NodeName &node : nodes) {
        const MemberId id = { .node = node, .incarnation = internal::initialIncarnation };
        state.snapshot.membership = state.snapshot.membership.with({ .id = id });
    }
    state.snapshot.state = machineState;
    return state;
}

DurableState initialState(const ProcessContext &context, TimePoint createdAt)
{
    const bool isControl = context.self.role == NodeRole::Control;
    return initialState(context.self.name, groupMembers(context),
                        isControl ? RulesState().save() : JournalState(createdAt).save());
}

Result<ReplicaDisk> ReplicaDisk::open(const ProcessContext &context)
{
    return open(context.dataFolder, context.self.name);
}

Result<ReplicaDisk> ReplicaDisk::open(const std::filesystem::path &folder, const NodeName &self)
{
    if (!DiskLog::exists(folder)) {
        DurableState empty;
        empty.self = { .node = self, .incarnation = std::random_device {}() + 2ULL };
        logEvent("joining-as-new-member",
                 { { "incarnation", std::to_string(empty.self.incarnation) } });
        if (const auto formatted = DiskLog::format(folder, empty); !formatted)
            return tl::unexpected<std::error_code>(formatted.error());
    }
    Result<DiskLog> log = DiskLog::open(folder);
    if (!log)
        return tl::unexpected<std::error_code>(log.error());
    return ReplicaDisk(std::move(*log));
}

StoreOutcome ReplicaDisk::storeAndSend(ReplicaOutbox &out, Relay &relay, TimePoint now)
{
    const std::optional<TimePoint> failedAt = this->guard.unavailableSince();
    const StoreOutcome outcome = this->guard.storeAndSend(
        out,
        { .store = [this](std::vector<StorageWrite> &writes) { return this->store(writes); },
          .send = [&](const ReplicaEnvelope &envelope) { relay.send(envelope.to, envelope); } },
        now);
    if (outcome == StoreOutcome::Failed)
        logError("disk-unavailable", { { "reason", this->guard.error().message() } });
    if (outcome == StoreOutcome::Regained)
        logEvent("disk-available",
                 { { "unavailable_ms", std::to_string(toMilliseconds(now - *failedAt)) } });
    return outcome;
}

// The first sync makes records durable whose own sync has failed, so that no more than one record
// is not synced.
Result<void> ReplicaDisk::store(std::vector<StorageWrite> &writes)
{
    if (const auto synced = this->sync(); !synced)
        return synced;
    if (const auto written = this->log.write(writes); !written)
        return written;
    writes.clear();
    return this->sync();
}

Result<void> ReplicaDisk::sync()
{
    if (!this->log.hasUnsyncedWrites())
        return {};
    ++this->syncCount;
    return this->log.sync();
}

} // namespace Hibiscus
