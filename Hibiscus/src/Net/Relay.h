#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"
#include "Hibiscus/src/Net/WireMessage.h"

#include <Hibiscus/Telemetry>

#include <map>
#include <memory>

namespace Hibiscus {

/** \brief Messages of a process to and from the other processes, in numbers. */
struct RelayCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t sentBatches = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t droppedMessages = 0; ///< the queue was full
    std::uint64_t failedBatches = 0; ///< may have arrived or not
};

/** \returns the running totals of this process, with the messages that \a counters count. */
LoadTotals loadTotals(const RelayCounters &counters);

/** \brief Carries messages between the processes of the system, over gRPC.
 *
 * To each node at most one batch is on its way, and what comes up meanwhile joins the next one.
 * Messages to a node arrive in order or not at all; nothing is sent twice.
 */
class Relay
{
public:
    using Receive = std::function<void(const WireMessage &)>;
    using BatchFailed = std::function<void(const NodeName &)>;

    struct Options
    {
        NodeName self;
        Address address;
        std::map<NodeName, Address> nodes;
        bool namesAreAddresses = false; ///< nodes that are not listed are reached by their name
        Duration batchTimeout = 2s;
        std::size_t maxQueuedMessages = 100'000; ///< messages a node
    };

    Relay(EventLoop &loop, const Options &options, Receive receive, BatchFailed batchFailed);
    ~Relay();

    // Commands.
    /** \returns Errc::InvalidAddress if the address cannot be listened on. */
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
    void pump(const std::shared_ptr<Link> &link);
    void finishBatch(const std::shared_ptr<Link> &link, bool arrived);

    EventLoop &loop;
    Options options;
    Receive receive;
    BatchFailed batchFailed;
    RelayCounters counts;
    std::unique_ptr<Service> service;
    std::map<NodeName, std::shared_ptr<Link>> links;
};

} // namespace Hibiscus
