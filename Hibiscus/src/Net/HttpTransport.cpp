#include "Hibiscus/src/Net/HttpTransport.h"

#include "Hibiscus/src/Net/HttpClient.h"
#include "Hibiscus/src/Net/HttpServer.h"
#include "Hibiscus/src/Net/WireMessage.h"

#include <Hibiscus/Telemetry>

namespace Hibiscus {

namespace internal {

constexpr int batchAccepted = 204;
constexpr int batchRefused = 400;
/** \brief Lifetime of an unused connection, below that of the server. */
constexpr Duration idleConnectionLifetime = 15s;
/** \brief Minimum interval of log lines on batches that were refused for their size. */
constexpr Duration refusalLogInterval = 10s;

/** \returns the path of batches, which contains the version of the protocol. */
static const std::string &batchPath()
{
    static const std::string path = "/relay/" + std::to_string(wireProtocolVersion);
    return path;
}

/** \brief Server for incoming batches, and client for outgoing ones. */
class HttpTransport
{
public:
    HttpTransport(EventLoop &loop, const RelayTransport::Options &options)
        : loop(loop), options(options),
          server(loop,
                 { .address = options.address,
                   .maxBodyBytes = options.maxBatchBytes,
                   .maxOpenBodyBytes = 2 * options.maxBatchBytes,
                   .isEssential = true },
                 [this](const HttpRequest &request) { this->onRequest(request); }),
          client(loop, { .connectionsPerServer = 1, .idleTimeout = idleConnectionLifetime })
    { }

    Result<void> listen() { return this->server.listen(); }
    void shutDown() { this->server.stopListening(); }

    // A batch that is still in flight would be delivered after later ones, up to the timeout of the
    // connection.
    void disconnect(const Address &address)
    {
        const auto found = this->links.find(address);
        if (found == this->links.end())
            return;
        if (found->second.onDelivery)
            this->client.cancel(found->second.call);
        this->links.erase(found);
    }

    std::uint64_t refusedBatches() const
    {
        return this->malformedBatches + this->server.refusedBodies();
    }

    void deliver(const Address &to, const RelayTransport::Batch &batch,
                 RelayTransport::DeliveryHandler onDelivery)
    {
        Link &link = this->links[to];
        link.onDelivery = std::move(onDelivery);
        link.deadline = this->loop.now() + this->options.batchTimeout;
        link.isLate = false;
        HttpCall call
            = { .method = "POST", .address = to, .path = batchPath(), .body = encode(batch) };
        link.call = this->client.send(
            call, [this, to, number = ++this->lastNumber](const HttpCallResult &result) {
                this->onResult(to, number, result);
            });
        link.number = this->lastNumber;
    }

    void tick(TimePoint now)
    {
        this->client.tick(now);
        this->server.closeExcessBodies();
        this->logRefusedBodies(now);
        std::vector<Address> overdue;
        for (const auto &[address, link] : this->links)
            if (link.onDelivery && now >= link.deadline)
                overdue.push_back(address);
        for (const Address &address : overdue)
            if (const auto found = this->links.find(address); found != this->links.end())
                this->handleTimeout(found->second);
    }

private:
    /** \brief State of the batches to one node. */
    struct Link
    {
        RelayTransport::DeliveryHandler onDelivery; ///< of the batch in flight; empty if none is
        std::uint64_t call = 0; ///< call of the batch in flight
        std::uint64_t number = 0; ///< number of the batch, which tells its result from older ones
        TimePoint deadline;
        bool isLate = false; ///< the batch in flight has timed out
        ReconnectPolicy reconnects;
    };

    void onRequest(const HttpRequest &request)
    {
        const Result<RelayTransport::Batch> batch = request.path == batchPath()
            ? decode<RelayTransport::Batch>(request.body)
            : failure(Errc::MalformedMessage);
        this->server.respond(request.token, { .status = batch ? batchAccepted : batchRefused });
        if (batch)
            this->options.onBatch(*batch);
        else {
            ++this->malformedBatches;
            this->logMalformedBatch(request);
        }
    }

    void logMalformedBatch(const HttpRequest &request)
    {
        if (this->refusalLines.take(this->loop.now()))
            logError("batch-refused",
                     { { "path", loggedText(request.path) },
                       { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
    }

    void logRefusedBodies(TimePoint now)
    {
        const std::uint64_t refused = this->server.refusedBodies();
        if (refused == this->loggedRefusals || now < this->refusalsLoggedAt + refusalLogInterval)
            return;
        logError("batch-refused",
                 { { "reason", "too large" },
                   { "count", std::to_string(refused - this->loggedRefusals) } });
        this->loggedRefusals = refused;
        this->refusalsLoggedAt = now;
    }

    void onResult(const Address &to, std::uint64_t number, const HttpCallResult &result)
    {
        const auto found = this->links.find(to);
        if (found == this->links.end() || found->second.number != number)
            return;
        const bool arrived = result.status == batchAccepted && !found->second.isLate;
        if (arrived)
            found->second.reconnects.recordDelivery();
        finish(found->second, arrived);
    }

    // A node that has not accepted the connection loses nothing by another attempt. One that has is
    // given time to respond, unless the connection is due to be replaced.
    void handleTimeout(Link &link)
    {
        link.isLate = true;
        link.deadline += this->options.batchTimeout;
        const bool shouldReconnect = link.reconnects.recordTimeout();
        if (!shouldReconnect && this->client.wasSent(link.call))
            return;
        this->client.cancel(link.call);
        finish(link, false);
    }

    // The handler may start the next delivery.
    static void finish(Link &link, bool arrived)
    {
        link.number = 0;
        std::exchange(link.onDelivery, {})(arrived);
    }

    EventLoop &loop;
    RelayTransport::Options options;
    HttpServer server;
    HttpClient client;
    std::map<Address, Link> links;
    std::uint64_t lastNumber = 0;
    std::uint64_t malformedBatches = 0;
    std::uint64_t loggedRefusals = 0;
    TimePoint refusalsLoggedAt;
    LineLimit refusalLines;
};

} // namespace internal

RelayTransport makeHttpTransport(EventLoop &loop, const RelayTransport::Options &options)
{
    const auto transport = std::make_shared<internal::HttpTransport>(loop, options);
    return { .listen = [transport] { return transport->listen(); },
             .deliver =
                 [transport](const Address &to, const RelayTransport::Batch &batch,
                             RelayTransport::DeliveryHandler onDelivery) {
                     transport->deliver(to, batch, std::move(onDelivery));
                 },
             .disconnect = [transport](const Address &address) { transport->disconnect(address); },
             .tick = [transport](TimePoint now) { transport->tick(now); },
             .shutDown = [transport] { transport->shutDown(); },
             .refusedBatches = [transport] { return transport->refusedBatches(); } };
}

} // namespace Hibiscus
