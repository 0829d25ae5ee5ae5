#pragma once

#include "Hibiscus/src/Replication/Replica.h"

#include <functional>

namespace Hibiscus {

/** \brief What became of the output of a step of a replica. */
enum class StoreOutcome : std::uint8_t {
    Stored, ///< it is durable, and its messages were sent; its responses may be sent
    Failed, ///< the disk has just failed: suspend the replica, whose responses must not be sent
    Waiting, ///< the disk has failed before; the writes are kept
    Regained ///< the disk has taken all writes; the replica takes part again
};

/** \brief Keeps a replica out of its group while its disk takes no writes, for instance because it
 * is full.
 *
 * The writes are kept and tried again at an interval. Until they are durable, the replica must be
 * given no messages and no ticks, as if its process were frozen: it neither votes nor acknowledges,
 * and does not lead. It sends nothing; a message lost this way is repeated by the protocol.
 *
 * \sa Replica::suspend
 */
class DiskGuard
{
public:
    /** \brief Time between two attempts to store the writes on a disk that has failed. */
    static constexpr Duration retryInterval = 100ms;

    /** \brief The disk and the network of the replica. */
    struct Environment
    {
        /** \brief Writes and syncs, and removes those writes that need not be given to it again. */
        std::function<Result<void>(std::vector<StorageWrite> &)> store;
        std::function<void(const ReplicaEnvelope &)> send;
    };

    // Commands.
    /** \brief Sends the messages of \a out that do not depend on its writes, stores the writes,
     * sends the other messages, and clears \a out.
     */
    StoreOutcome storeAndSend(ReplicaOutbox &out, const Environment &environment, TimePoint now);

    // Queries.
    /** \returns whether the replica takes part in its group. */
    bool isAvailable() const { return !this->failedAt; }
    /** \returns the time at which the disk failed, while it takes no writes. */
    const std::optional<TimePoint> &unavailableSince() const { return this->failedAt; }
    /** \returns the error of the latest attempt that failed. */
    const std::error_code &error() const { return this->latestError; }

private:
    StoreOutcome retry(const Environment &environment, TimePoint now);

    std::vector<StorageWrite> keptWrites;
    std::optional<TimePoint> failedAt;
    TimePoint retryAt;
    std::error_code latestError;
};

} // namespace Hibiscus
