#include "Hibiscus/src/Net/GrpcTransport.h"

#include "Hibiscus/src/Net/WireMessage.h"

#include "relay.grpc.pb.h"

#include <atomic>
#include <condition_variable>
#include <grpcpp/grpcpp.h>
#include <set>

namespace Hibiscus {

namespace internal {

static grpc::ChannelArguments channelArguments(std::size_t maxBatchBytes)
{
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, 100);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, 500);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 500);
    // Keepalive pings detect a dead connection, which is then replaced, even without any calls.
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, 10'000);
    arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, 2'000);
    arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(static_cast<int>(maxBatchBytes));
    arguments.SetMaxSendMessageSize(static_cast<int>(maxBatchBytes));
    return arguments;
}

/** \brief Batch in flight, kept alive until gRPC has invoked the callback. */
struct GrpcBatch
{
    grpc::ClientContext context;
    ::hibiscus::Parcel parcel;
    ::hibiscus::Receipt receipt;
};

/** \brief Connection to one node. */
struct GrpcLink
{
    std::string target;
    std::size_t maxBatchBytes = 0;
    std::unique_ptr<::hibiscus::Relay::Stub> stub;
    ReconnectPolicy reconnects;

    void connect()
    {
        this->stub = ::hibiscus::Relay::NewStub(
            grpc::CreateCustomChannel(this->target, grpc::InsecureChannelCredentials(),
                                      channelArguments(this->maxBatchBytes)));
    }
};

/** \brief Server for incoming batches: it acknowledges each call at once and posts the messages to
 * the event loop.
 */
class GrpcTransport final : public ::hibiscus::Relay::CallbackService
{
public:
    GrpcTransport(EventLoop &loop, RelayTransport::Options options)
        : loop(loop), options(std::move(options))
    { }

    // The callbacks of calls in flight use this object and the event loop.
    ~GrpcTransport() override
    {
        this->shutDown();
        std::unique_lock lock(this->mutex);
        for (const std::shared_ptr<GrpcBatch> &batch : this->inFlight)
            batch->context.TryCancel();
        this->callEnded.wait(lock, [this] { return this->inFlight.empty(); });
    }

    GrpcTransport(const GrpcTransport &) = delete;
    GrpcTransport &operator=(const GrpcTransport &) = delete;

    Result<void> listen()
    {
        const Address &address = this->options.address;
        grpc::ServerBuilder builder;
        const std::string target = address.host + ":" + std::to_string(address.port);
        int port = 0;
        builder.AddListeningPort(target, grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1'000);
        builder.SetMaxReceiveMessageSize(static_cast<int>(this->options.maxBatchBytes));
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        return this->server && port != 0 ? Result<void>() : failure(Errc::InvalidAddress);
    }

    void deliver(const Address &to, RelayTransport::Batch messages,
                 const RelayTransport::DeliveryHandler &onDelivery)
    {
        const std::shared_ptr<GrpcLink> link = this->linkTo(to);
        const auto batch = std::make_shared<GrpcBatch>();
        batch->context.set_deadline(std::chrono::system_clock::now() + this->options.batchTimeout);
        batch->parcel.set_from(this->options.self.str());
        batch->parcel.set_protocol_version(wireProtocolVersion);
        for (Bytes &message : messages)
            batch->parcel.add_messages(std::move(message));
        {
            const std::lock_guard lock(this->mutex);
            this->inFlight.insert(batch);
        }
        link->stub->async()->Deliver(&batch->context, &batch->parcel, &batch->receipt,
                                     [this, batch, link, onDelivery](const grpc::Status &status) {
                                         this->endCall(batch, link, onDelivery, status);
                                     });
    }

    void disconnect(const Address &address) { this->links.erase(address); }

    void shutDown()
    {
        if (this->server)
            this->server->Shutdown(std::chrono::system_clock::now() + 200ms);
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const ::hibiscus::Parcel *parcel,
                                      ::hibiscus::Receipt *) override
    {
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        if (parcel->protocol_version() != wireProtocolVersion) {
            ++this->refused;
            reactor->Finish(grpc::Status(grpc::StatusCode::FAILED_PRECONDITION,
                                         "another version of the protocol"));
            return reactor;
        }
        this->loop.post(
            [this,
             batch = RelayTransport::Batch(parcel->messages().begin(), parcel->messages().end())] {
                this->options.onBatch(batch);
            });
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    /** \returns the number of batches of another version; gRPC itself refuses larger ones. */
    std::uint64_t refusedBatches() const { return this->refused; }

private:
    // Called by a thread of gRPC.
    void endCall(const std::shared_ptr<GrpcBatch> &batch, const std::shared_ptr<GrpcLink> &link,
                 const RelayTransport::DeliveryHandler &onDelivery, const grpc::Status &status)
    {
        const bool arrived = status.ok();
        const bool timedOut = status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
        this->loop.post([link, onDelivery, arrived, timedOut] {
            if (timedOut && link->reconnects.recordTimeout())
                link->connect();
            if (arrived)
                link->reconnects.recordDelivery();
            onDelivery(arrived);
        });
        const std::lock_guard lock(this->mutex);
        this->inFlight.erase(batch);
        this->callEnded.notify_all();
    }

    std::shared_ptr<GrpcLink> linkTo(const Address &address)
    {
        std::shared_ptr<GrpcLink> &link = this->links[address];
        if (!link) {
            link = std::make_shared<GrpcLink>();
            link->maxBatchBytes = this->options.maxBatchBytes;
            link->target = "ipv4:" + address.host + ":" + std::to_string(address.port);
            link->connect();
        }
        return link;
    }

    EventLoop &loop;
    RelayTransport::Options options;
    std::unique_ptr<grpc::Server> server;
    std::map<Address, std::shared_ptr<GrpcLink>> links;
    std::atomic<std::uint64_t> refused = 0;
    std::mutex mutex;
    std::condition_variable callEnded;
    std::set<std::shared_ptr<GrpcBatch>> inFlight; ///< guarded by \a mutex
};

} // namespace internal

RelayTransport makeGrpcTransport(EventLoop &loop, const RelayTransport::Options &options)
{
    const auto transport = std::make_shared<internal::GrpcTransport>(loop, options);
    return { .listen = [transport] { return transport->listen(); },
             .deliver =
                 [transport](const Address &to, RelayTransport::Batch batch,
                             const RelayTransport::DeliveryHandler &onDelivery) {
                     transport->deliver(to, std::move(batch), onDelivery);
                 },
             .disconnect = [transport](const Address &address) { transport->disconnect(address); },
             .tick = [](TimePoint) {}, // gRPC has the deadlines of the calls
             .shutDown = [transport] { transport->shutDown(); },
             .refusedBatches = [transport] { return transport->refusedBatches(); } };
}

} // namespace Hibiscus
