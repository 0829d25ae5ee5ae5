#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"
#include "Hibiscus/src/Net/WireMessage.h"

#include <Hibiscus/Telemetry>

#include <map>
#include <memory>

namespace Hibiscus {

/** \brief Counters of the messages between this process and the others. */
struct RelayCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t sentBatches = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t droppedMessages = 0; ///< not sent, because the queue of the node was full
    std::uint64_t failedBatches = 0; ///< calls that failed; their messages may have arrived
};

/** \returns the cumulative load of this process, with the message counts of \a counters. */
LoadTotals loadTotals(const RelayCounters &counters);

/** \brief Exchanges messages with the other processes of the system over gRPC.
 *
 * At most one batch to each node is in flight; messages sent meanwhile go into the next batch.
 * Messages to a node arrive in order or not at all; no message is sent twice.
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
    };

    Relay(EventLoop &loop, const Options &options, MessageHandler onMessage,
          BatchFailed batchFailed);
    ~Relay();

    // Commands.
    /** \returns Errc::InvalidAddress if the address cannot be bound. */
    Result<void> listen();
    void send(const NodeName &to, const WireMessage &message);
    /** \brief Closes the connection to \a node; a later message opens a new one. */
    void disconnect(const NodeName &node);
    void shutDown();

    // Queries.
    const RelayCounters &counters() const { return this->counts; }

private:
    class Service;
    struct Link;

    std::shared_ptr<Link> linkTo(const NodeName &node);
    void sendNextBatch(const std::shared_ptr<Link> &link);
    void finishBatch(const std::shared_ptr<Link> &link, bool arrived);

    EventLoop &loop;
    Options options;
    MessageHandler onMessage;
    BatchFailed batchFailed;
    RelayCounters counts;
    std::unique_ptr<Service> service;
    std::map<NodeName, std::shared_ptr<Link>> links;
};

} // namespace Hibiscus
