#pragma once

#include "Hibiscus/src/Process/ProcessContext.h"

#include <Hibiscus/Storage>

namespace Hibiscus {

/** \returns the nodes of the replication group that \a context belongs to. */
std::vector<NodeName> groupOf(const ProcessContext &context);

/** \returns the first state of a member of a new group; \a createdAt is when the group began. */
DurableState foundingState(const ProcessContext &context, TimePoint createdAt);

/** \returns the first state of each member of a new group of \a nodes, whose state machine begins
 * with \a state.
 */
DurableState foundingState(const NodeName &self, const std::vector<NodeName> &nodes,
                           const Bytes &state);

/** \brief The log of a replica with the order that safety needs: what may go early goes first, then
 * the disk is synced, then everything else goes.
 */
class ReplicaDisk
{
public:
    /** \brief Opens the log; a missing one makes the replica a new member that has to join. */
    static Result<ReplicaDisk> open(const ProcessContext &context);
    /** \brief The same for the log in \a folder of a member whose node is \a self. */
    static Result<ReplicaDisk> open(const std::filesystem::path &folder, const NodeName &self);

    // Commands.
    /** \brief Sends and stores what \a out holds, and empties it. One sync serves all of it. */
    void execute(ReplicaOutbox &out, Relay &relay);

    // Queries.
    const DurableState &state() const { return this->log.state(); }
    std::uint64_t syncs() const { return this->syncCount; }

private:
    explicit ReplicaDisk(DiskLog log) : log(std::move(log)) { }

    DiskLog log;
    std::uint64_t syncCount = 0;
};

} // namespace Hibiscus
