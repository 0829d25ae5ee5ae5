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

void ReplicaDisk::storeAndSend(ReplicaOutbox &out, Relay &relay)
{
    for (const ReplicaEnvelope &envelope : out.sendBeforeSync)
        relay.send(envelope.to, envelope);
    const bool written = this->log.write(out.writes).has_value();
    if (this->log.hasUnsyncedWrites())
        ++this->syncCount;
    const bool synced = written && this->log.sync().has_value();
    // A replica that cannot persist its votes and entries must not continue to acknowledge them.
    HIBISCUS_INVARIANT(
        synced, "a replica's writes are synced before messages that depend on them are sent");
    for (const ReplicaEnvelope &envelope : out.sendAfterSync)
        relay.send(envelope.to, envelope);
    out = ReplicaOutbox();
}

} // namespace Hibiscus
