#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"

#include <bit>

namespace Hibiscus {

/** \brief Decides when a connection whose batches time out is replaced.
 *
 * The connection may be dead while the node is up, which only a new connection can show. A node
 * that is short of processor time also responds late, and each new connection costs it more
 * processor time, so reconnects become rarer: they are made when the number of consecutive timeouts
 * is a power of two.
 */
class ReconnectPolicy
{
public:
    /** \returns whether the connection should be replaced after this timeout. */
    bool recordTimeout() { return std::has_single_bit(++this->consecutiveTimeouts); }
    void recordDelivery() { this->consecutiveTimeouts = 0; }

private:
    std::uint32_t consecutiveTimeouts = 0;
};

/** \brief Delivers the batches of a Relay, and receives those of other nodes.
 *
 * All functions and handlers are called on the thread of the event loop. At most one batch to each
 * address is in flight.
 */
struct RelayTransport
{
    using Batch = std::vector<Bytes>;
    using BatchHandler = std::function<void(const Batch &)>;
    /** \brief Receives whether the batch has arrived in time; otherwise it may or may not have. */
    using DeliveryHandler = std::function<void(bool)>;

    struct Options
    {
        NodeName self;
        Address address; ///< where batches are received
        Duration batchTimeout = 2s;
        BatchHandler onBatch;
    };

    /** \returns Errc::InvalidAddress if the address cannot be bound. */
    std::function<Result<void>()> listen;
    std::function<void(const Address &, Batch, DeliveryHandler)> deliver;
    /** \brief Forgets an address that gets no batches for now; its connection is closed at once or
     * when it has been unused for a while. The result of a batch in flight may be dropped.
     */
    std::function<void(const Address &)> disconnect;
    /** \brief Handles timeouts; must be called every few tens of milliseconds. */
    std::function<void(TimePoint)> tick;
    std::function<void()> shutDown;
};

/** \brief Makes the transport of a process on its event loop. */
using RelayTransportFactory
    = std::function<RelayTransport(EventLoop &, const RelayTransport::Options &)>;

} // namespace Hibiscus
