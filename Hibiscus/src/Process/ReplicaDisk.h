#pragma once

#include "Hibiscus/src/Process/ProcessContext.h"

#include <Hibiscus/Storage>

namespace Hibiscus {

/** \returns the nodes of the replication group that the process of \a context belongs to. */
std::vector<NodeName> groupMembers(const ProcessContext &context);

/** \returns the initial state of a member of a group that was created at \a createdAt. */
DurableState initialState(const ProcessContext &context, TimePoint createdAt);

/** \returns the initial state of member \a self of a new group of \a nodes, whose state machine
 * starts from \a machineState.
 */
DurableState initialState(const NodeName &self, const std::vector<NodeName> &nodes,
                          const Bytes &machineState);

/** \brief The log of a replica on disk, with the order of steps that safety requires: messages that
 * do not depend on the writes are sent first, then the disk is synced, then the others are sent.
 *
 * \sa DiskGuard for a disk that takes no writes
 */
class ReplicaDisk
{
public:
    /** \brief Opens the log. If there is none, creates an empty one; the replica is then a new
     * member that has to join its group.
     */
    static Result<ReplicaDisk> open(const ProcessContext &context);
    /** \brief Does the same for the log in \a folder of the member on node \a self. */
    static Result<ReplicaDisk> open(const std::filesystem::path &folder, const NodeName &self);

    // Commands.
    /** \brief Stores the writes of \a out with one sync, sends its messages, and clears it. Logs
     * when the disk fails and when it takes writes again.
     */
    StoreOutcome storeAndSend(ReplicaOutbox &out, Relay &relay, TimePoint now);

    // Queries.
    /** \returns whether the disk takes writes; otherwise the replica must be given no messages and
     * no ticks.
     */
    bool isAvailable() const { return this->guard.isAvailable(); }
    const DurableState &state() const { return this->log.state(); }
    std::uint64_t syncs() const { return this->syncCount; }

private:
    explicit ReplicaDisk(DiskLog log) : log(std::move(log)) { }

    Result<void> store(std::vector<StorageWrite> &writes);
    Result<void> sync();

    DiskLog log;
    DiskGuard guard;
    std::uint64_t syncCount = 0;
};

} // namespace Hibiscus
