#include "Hibiscus/src/Net/Relay.h"

#include "relay.grpc.pb.h"

#include <bit>
#include <deque>
#include <grpcpp/grpcpp.h>

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxMessagesPerBatch = 512;
constexpr int maxMessageBytes = 512 * 1024 * 1024; // a snapshot is sent as one message

static grpc::ChannelArguments channelArguments()
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
    arguments.SetMaxReceiveMessageSize(maxMessageBytes);
    arguments.SetMaxSendMessageSize(maxMessageBytes);
    return arguments;
}

} // namespace internal

LoadTotals loadTotals(const RelayCounters &counters)
{
    return { .processorTime = processorTime(),
             .sentBytes = counters.sentBytes,
             .sentMessages = counters.sentMessages,
             .receivedMessages = counters.receivedMessages };
}

/** \brief Server for incoming batches: it acknowledges each call at once and posts the messages to
 * the event loop.
 */
class Relay::Service final : public ::hibiscus::Relay::CallbackService
{
public:
    explicit Service(Relay &owner) : owner(owner) { }

    Result<void> listen(const Address &address)
    {
        grpc::ServerBuilder builder;
        const std::string target = address.host + ":" + std::to_string(address.port);
        int port = 0;
        builder.AddListeningPort(target, grpc::InsecureServerCredentials(), &port);
        builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
        builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 1'000);
        builder.SetMaxReceiveMessageSize(internal::maxMessageBytes);
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
        return this->server && port != 0 ? Result<void>() : failure(Errc::InvalidAddress);
    }

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
            reactor->Finish(grpc::Status(grpc::StatusCode::FAILED_PRECONDITION,
                                         "another version of the protocol"));
            return reactor;
        }
        std::vector<WireMessage> messages;
        for (const std::string &bytes : parcel->messages())
            if (Result<WireMessage> message = decode<WireMessage>(bytes))
                messages.push_back(std::move(*message));
        this->owner.loop.post([this, messages = std::move(messages)] {
            for (const WireMessage &message : messages) {
                ++this->owner.counts.receivedMessages;
                this->owner.onMessage(message);
            }
        });
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

private:
    Relay &owner;
    std::unique_ptr<grpc::Server> server;
};

/** \brief Connection to one node, with the queue of messages to it. */
struct Relay::Link
{
    NodeName node;
    std::string target;
    std::unique_ptr<::hibiscus::Relay::Stub> stub;
    std::deque<Bytes> queue;
    bool isSending = false;
    std::uint32_t consecutiveTimeouts = 0;

    /** \brief Handles a batch that timed out. The connection may be dead while the node is up,
     * which only a new connection can show. A node that is short of processor time also responds
     * late, and each new connection costs it more processor time, so reconnects become rarer: they
     * are made when the number of consecutive timeouts is a power of two.
     */
    void handleTimeout()
    {
        ++this->consecutiveTimeouts;
        if (std::has_single_bit(this->consecutiveTimeouts))
            this->connect();
    }

    void connect()
    {
        this->stub = ::hibiscus::Relay::NewStub(grpc::CreateCustomChannel(
            this->target, grpc::InsecureChannelCredentials(), internal::channelArguments()));
    }
};

Relay::Relay(EventLoop &loop, const Options &options, MessageHandler onMessage,
             BatchFailed batchFailed)
    : loop(loop), options(options), onMessage(std::move(onMessage)),
      batchFailed(std::move(batchFailed)), service(std::make_unique<Service>(*this))
{ }

Relay::~Relay() = default;

Result<void> Relay::listen()
{
    return this->service->listen(this->options.address);
}

std::shared_ptr<Relay::Link> Relay::linkTo(const NodeName &node)
{
    if (const auto found = this->links.find(node); found != this->links.end())
        return found->second;
    const auto listed = this->options.nodes.find(node);
    std::optional<Address> address;
    if (listed != this->options.nodes.end())
        address = listed->second;
    else if (const auto parsed = Address::parse(node.str());
             this->options.namesAreAddresses && parsed)
        address = *parsed;
    if (!address)
        return nullptr;
    auto link = std::make_shared<Link>();
    link->node = node;
    link->target = "ipv4:" + address->host + ":" + std::to_string(address->port);
    link->connect();
    this->links[node] = link;
    return link;
}

void Relay::send(const NodeName &to, const WireMessage &message)
{
    const std::shared_ptr<Link> link = this->linkTo(to);
    if (!link)
        return;
    if (link->queue.size() >= this->options.maxQueuedMessages) {
        ++this->counts.droppedMessages;
        return;
    }
    link->queue.push_back(encode(message));
    this->sendNextBatch(link);
}

void Relay::disconnect(const NodeName &node)
{
    this->links.erase(node);
}

void Relay::shutDown()
{
    this->service->shutDown();
}

namespace internal {

/** \brief Batch in flight, kept alive until gRPC has invoked the callback. */
struct Batch
{
    grpc::ClientContext context;
    ::hibiscus::Parcel parcel;
    ::hibiscus::Receipt receipt;
};

} // namespace internal

void Relay::sendNextBatch(const std::shared_ptr<Link> &link)
{
    if (link->isSending || link->queue.empty())
        return;
    link->isSending = true;
    const auto batch = std::make_shared<internal::Batch>();
    batch->context.set_deadline(std::chrono::system_clock::now() + this->options.batchTimeout);
    batch->parcel.set_from(this->options.self.str());
    batch->parcel.set_protocol_version(wireProtocolVersion);
    while (!link->queue.empty()
           && batch->parcel.messages_size() < static_cast<int>(internal::maxMessagesPerBatch)) {
        this->counts.sentBytes += link->queue.front().size();
        batch->parcel.add_messages(std::move(link->queue.front()));
        link->queue.pop_front();
    }
    const auto count = static_cast<std::size_t>(batch->parcel.messages_size());
    this->counts.sentMessages += count;
    ++this->counts.sentBatches;
    link->stub->async()->Deliver(&batch->context, &batch->parcel, &batch->receipt,
                                 [this, batch, link](const grpc::Status &status) {
                                     const bool arrived = status.ok();
                                     const bool timedOut = status.error_code()
                                         == grpc::StatusCode::DEADLINE_EXCEEDED;
                                     this->loop.post([this, link, arrived, timedOut] {
                                         if (timedOut)
                                             link->handleTimeout();
                                         if (arrived)
                                             link->consecutiveTimeouts = 0;
                                         this->finishBatch(link, arrived);
                                     });
                                 });
}

void Relay::finishBatch(const std::shared_ptr<Link> &link, bool arrived)
{
    link->isSending = false;
    if (!arrived) {
        ++this->counts.failedBatches;
        this->batchFailed(link->node);
    }
    this->sendNextBatch(link);
}

} // namespace Hibiscus
