#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"
#include "Hibiscus/src/Net/HttpServer.h"

#include <bit>

namespace Hibiscus {

/** \brief Maximum size of an encoded message between processes.
 *
 * The largest ones contain the rules: a log entry has the operator's document, whose size
 * HttpServer limits, and the rules made from it, which are less than four times as large. A
 * snapshot has their history besides, which RulesState limits.
 */
inline constexpr std::size_t maxMessageBytes = 6 * HttpServer::defaultMaxBodyBytes;
/** \brief Added to the size of the messages of a batch for what separates them. */
inline constexpr std::size_t batchOverheadBytes = 65'536;
/** \brief Maximum size of a batch, which may be one message of the maximum size. */
inline constexpr std::size_t maxBatchBytes = maxMessageBytes + batchOverheadBytes;

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
        std::size_t maxBatchBytes = Hibiscus::maxBatchBytes; ///< larger ones are refused
        BatchHandler onBatch;
    };

    /** \returns Errc::InvalidAddress if the address cannot be bound. */
    std::function<Result<void>()> listen;
    std::function<void(const Address &, Batch, DeliveryHandler)> deliver;
    /** \brief Forgets an address that gets no batches for now; its connection is closed at once or
     * when it has been unused for a while. A batch in flight is cancelled over HTTP, and its result
     * may be dropped.
     */
    std::function<void(const Address &)> disconnect;
    /** \brief Handles timeouts; must be called every few tens of milliseconds. */
    std::function<void(TimePoint)> tick;
    std::function<void()> shutDown;
    /** \returns the number of received batches that were refused as a whole. */
    std::function<std::uint64_t()> refusedBatches;
};

/** \brief Makes the transport of a process on its event loop. */
using RelayTransportFactory
    = std::function<RelayTransport(EventLoop &, const RelayTransport::Options &)>;

} // namespace Hibiscus
