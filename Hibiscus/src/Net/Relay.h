#pragma once

#include "Hibiscus/src/Net/RelayTransport.h"
#include "Hibiscus/src/Net/WireMessage.h"

#include <Hibiscus/Telemetry>

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace Hibiscus {

/** \brief Counters of the messages between this process and the others. */
struct RelayCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t sentBatches = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t malformedMessages = 0; ///< received, but not decodable
    std::uint64_t droppedMessages = 0; ///< not sent, because the queue of the node was full
    std::uint64_t oversizedMessages = 0; ///< not sent, because no receiver would accept them
    std::uint64_t refusedBatches = 0; ///< received, but too large, or of another writer
    std::uint64_t failedBatches = 0; ///< calls that failed; their messages may have arrived
};

/** \returns the cumulative load of this process, with the message counts of \a counters. */
LoadTotals loadTotals(const RelayCounters &counters);

/** \brief Exchanges messages with the other processes of the system.
 *
 * At most one batch to each node is in flight; messages sent meanwhile go into the next batch.
 * No message is sent twice. A batch that timed out may arrive after its successor, over a
 * connection that was replaced; within a batch the order is kept. A receiver for which the order
 * matters has to compare numbers in the messages.
 */
class Relay
{
public:
    using MessageHandler = std::function<void(const WireMessage &)>;
    /** \brief Receives the name of a node to which a batch failed; it may have arrived. */
    using BatchFailed = std::function<void(const NodeName &)>;

    struct Options
    {
        NodeName self;
        Address address;
        std::map<NodeName, Address> nodes;
        bool namesAreAddresses = false; ///< the name of a node not in \a nodes is its address
        Duration batchTimeout = 2s;
        std::size_t maxQueuedMessages = 100'000; ///< limit for each node
        /** \brief Limit of the sum of the queued messages for each node; a single message may be
         * larger.
         */
        std::size_t maxQueuedBytes = 8 * Hibiscus::maxMessageBytes;
        std::size_t maxMessageBytes = Hibiscus::maxMessageBytes; ///< larger ones are not sent
    };

    Relay(EventLoop &loop, const Options &options, const RelayTransportFactory &makeTransport,
          MessageHandler onMessage, BatchFailed batchFailed);
    Relay(const Relay &) = delete;
    Relay &operator=(const Relay &) = delete;

    // Commands.
    /** \returns Errc::InvalidAddress if the address cannot be bound. */
    Result<void> listen();
    void send(const NodeName &to, const WireMessage &message);
    /** \brief Closes the connection to \a node, now or once it has been unused for a while. */
    void disconnect(const NodeName &node);
    /** \brief Handles batches without a receipt; must be called every few tens of milliseconds. */
    void tick(TimePoint now) { this->transport.tick(now); }
    void shutDown();

    // Queries.
    RelayCounters counters() const;

private:
    /** \brief Queue of the messages to one node. */
    struct Link
    {
        NodeName node;
        Address address;
        std::deque<Bytes> queue;
        std::size_t queuedBytes = 0; ///< size of the messages in the queue
        bool isSending = false;
    };

    std::shared_ptr<Link> linkTo(const NodeName &node);
    void receive(const RelayTransport::Batch &batch);
    void sendNextBatch(const std::shared_ptr<Link> &link);
    void refuse(const NodeName &to, const WireMessage &message, std::size_t size);

    Options options;
    MessageHandler onMessage;
    BatchFailed batchFailed;
    RelayCounters counts;
    RelayTransport transport;
    std::map<NodeName, std::shared_ptr<Link>> links;
    std::set<NodeName> oversizeReceivers; ///< their first message that was too large is logged
};

} // namespace Hibiscus
