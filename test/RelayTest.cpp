#include "relay.grpc.pb.h"
#include "test/support/OwnAddress.h"

#include <Hibiscus/Net>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <fcntl.h>
#include <fstream>
#include <memory>
#include <set>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Hibiscus;

namespace {

/** \brief Node that responds later than the callers' timeout, like one that is short of processor
 * time.
 */
class SlowNode final : public ::hibiscus::Relay::CallbackService
{
public:
    SlowNode()
    {
        grpc::ServerBuilder builder;
        builder.AddListeningPort("127.0.0.1:0", grpc::InsecureServerCredentials(), &this->port);
        builder.RegisterService(this);
        this->server = builder.BuildAndStart();
    }

    grpc::ServerUnaryReactor *Deliver(grpc::CallbackServerContext *context,
                                      const ::hibiscus::Parcel *, ::hibiscus::Receipt *) override
    {
        {
            const std::lock_guard lock(this->mutex);
            this->callerAddresses.insert(context->peer());
        }
        std::this_thread::sleep_for(150ms);
        grpc::ServerUnaryReactor *reactor = context->DefaultReactor();
        reactor->Finish(grpc::Status::OK);
        return reactor;
    }

    NodeName name() const { return NodeName("127.0.0.1:" + std::to_string(this->port)); }
    void shutDown() { this->server->Shutdown(std::chrono::system_clock::now()); }

    std::size_t connectionCount()
    {
        const std::lock_guard lock(this->mutex);
        return this->callerAddresses.size();
    }

private:
    int port = 0;
    std::unique_ptr<grpc::Server> server;
    std::mutex mutex;
    std::set<std::string> callerAddresses; ///< one for each connection
};

/** \brief The same over HTTP: it responds to each request after 150 ms. */
class SlowHttpNode
{
public:
    SlowHttpNode()
    {
        this->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address = Address::parse("127.0.0.1:0")->native();
        socklen_t size = sizeof(address);
        EXPECT_EQ(::bind(this->listener, reinterpret_cast<sockaddr *>(&address), size), 0);
        EXPECT_EQ(::listen(this->listener, 64), 0);
        ::getsockname(this->listener, reinterpret_cast<sockaddr *>(&address), &size);
        this->port = ntohs(address.sin_port);
        this->acceptor = std::thread([this] { this->acceptConnections(); });
    }

    NodeName name() const { return NodeName("127.0.0.1:" + std::to_string(this->port)); }
    std::size_t connectionCount() const { return this->connections; }

    void shutDown()
    {
        ::shutdown(this->listener, SHUT_RDWR);
        this->acceptor.join();
        for (std::thread &server : this->servers)
            server.join();
        ::close(this->listener);
    }

private:
    void acceptConnections()
    {
        for (int fd = ::accept(this->listener, nullptr, nullptr); fd >= 0;
             fd = ::accept(this->listener, nullptr, nullptr)) {
            ++this->connections;
            this->servers.emplace_back([fd] { serve(fd); });
        }
    }

    static void serve(int fd)
    {
        std::array<char, 65536> buffer {};
        while (::recv(fd, buffer.data(), buffer.size(), 0) > 0) {
            std::this_thread::sleep_for(150ms);
            const std::string response = "HTTP/1.1 204 OK\r\n\r\n";
            if (::send(fd, response.data(), response.size(), MSG_NOSIGNAL) < 0)
                break;
        }
        ::close(fd);
    }

    int listener = -1;
    int port = 0;
    std::atomic<std::size_t> connections = 0;
    std::thread acceptor;
    std::vector<std::thread> servers;
};

/** \brief Sends to \a node every 20 ms for 3 s. */
RelayCounters sendForThreeSeconds(const NodeName &node, const RelayTransportFactory &makeTransport)
{
    EventLoop loop;
    Relay::Options options;
    options.self = NodeName("127.0.0.1:1");
    options.namesAreAddresses = true;
    options.batchTimeout = 100ms;
    Relay relay(
        loop, options, makeTransport, [](const WireMessage &) {}, [](const NodeName &) {});
    const TimePoint end = loop.now() + 3s;
    loop.run(
        20ms,
        [&] {
            relay.tick(loop.now());
            relay.send(node, FetchRules { .node = options.self });
            if (loop.now() >= end)
                loop.stop();
        },
        [] {});
    return relay.counters();
}

template<typename Node>
void expectRareReconnects(const RelayTransportFactory &makeTransport)
{
    Node node;
    const RelayCounters counters = sendForThreeSeconds(node.name(), makeTransport);
    EXPECT_GT(counters.failedBatches, 10U);
    EXPECT_LE(node.connectionCount(), 7U); // at first, and after 1, 2, 4, 8 and 16 timeouts
    node.shutDown();
}

// Guards against a new connection at every timeout: the cost of the connections would leave a slow
// node no processor time for the calls.
TEST(Relay, DoesNotReconnectToASlowNodeAtEveryTimeout)
{
    expectRareReconnects<SlowNode>(makeGrpcTransport);
}

// The same over HTTP.
TEST(Relay, DoesNotReconnectToASlowHttpNodeAtEveryTimeout)
{
    expectRareReconnects<SlowHttpNode>(makeHttpTransport);
}

/** \brief A pair of relays on one event loop. */
class RelayPair
{
public:
    explicit RelayPair(const RelayTransportFactory &makeTransport)
        : first(
            this->loop, optionsOf(ownAddress(27801)), makeTransport, [](const WireMessage &) {},
            [](const NodeName &) {}),
          second(
              this->loop, optionsOf(ownAddress(27802)), makeTransport,
              [this](const WireMessage &message) { this->received.push_back(message); },
              [](const NodeName &) {})
    { }

    static NodeName nameOf(const Address &address)
    {
        return NodeName(address.host + ":" + std::to_string(address.port));
    }

    static NodeName receiver() { return nameOf(ownAddress(27802)); }

    static Relay::Options optionsOf(const Address &address)
    {
        Relay::Options options;
        options.self = nameOf(address);
        options.address = address;
        options.namesAreAddresses = true;
        options.batchTimeout = 500ms;
        return options;
    }

    void run(Duration span)
    {
        const TimePoint end = this->loop.now() + span;
        this->loop.run(
            10ms,
            [&] {
                this->first.tick(this->loop.now());
                this->second.tick(this->loop.now());
                if (this->loop.now() >= end)
                    this->loop.stop();
            },
            [] {});
    }

    EventLoop loop;
    std::vector<WireMessage> received;
    Relay first;
    Relay second;
};

// Messages that are sent while a batch is in flight go into the next one, each once and in order.
TEST(Relay, DeliversMessagesOverHttpOnceAndInOrder)
{
    RelayPair relays(makeHttpTransport);
    ASSERT_TRUE(relays.first.listen() && relays.second.listen());
    const NodeName receiver = RelayPair::receiver();
    constexpr std::uint64_t count = 2'000;
    for (std::uint64_t i = 0; i < count; ++i)
        relays.first.send(receiver, RulesAcknowledgement { .node = receiver, .version = i });
    relays.run(1s);
    ASSERT_EQ(relays.received.size(), count);
    for (std::uint64_t i = 0; i < count; ++i)
        EXPECT_EQ(std::get<RulesAcknowledgement>(relays.received[i]).version, i);
    EXPECT_EQ(relays.first.counters().failedBatches, 0U);
    EXPECT_LT(relays.first.counters().sentBatches, 10U);
}

// Guards against a process that a malformed batch ends, or that stops receiving after it.
TEST(Relay, RefusesMalformedBatchesOverHttp)
{
    RelayPair relays(makeHttpTransport);
    ASSERT_TRUE(relays.first.listen() && relays.second.listen());
    const Address address = ownAddress(27802);
    HttpClient client(relays.loop, {});
    std::vector<int> statuses;
    const auto post = [&](const std::string &path, const std::string &body) {
        client.send({ .method = "POST", .address = address, .path = path, .body = body },
                    [&](const HttpCallResult &result) { statuses.push_back(result.status); });
    };
    const std::string path = "/relay/" + std::to_string(wireProtocolVersion);
    post(path, "");
    post(path, std::string(64, '\xff'));
    post("/relay/0", encode(RelayTransport::Batch()));
    post(path, encode(RelayTransport::Batch { std::string(64, '\xff') }));
    relays.run(300ms);
    std::ranges::sort(statuses);
    EXPECT_EQ(statuses, std::vector({ 204, 400, 400, 400 }));
    EXPECT_EQ(relays.second.counters().malformedMessages, 1U);
    EXPECT_EQ(relays.second.counters().refusedBatches, 3U);
    relays.first.send(RelayPair::receiver(), FetchRules());
    relays.run(300ms);
    EXPECT_EQ(relays.received.size(), 1U);
}

// Guards against messages for a node that accepts none filling the memory: they may be large.
TEST(Relay, BoundsTheBytesThatWaitForANode)
{
    EventLoop loop;
    Relay::Options options = RelayPair::optionsOf(ownAddress(27801));
    options.maxQueuedBytes = 8'000'000;
    Relay relay(
        loop, options, makeHttpTransport, [](const WireMessage &) {}, [](const NodeName &) {});
    const RulesFile file = { .version = 1, .text = std::string(1'000'000, 'x') };
    for (int i = 0; i < 100; ++i)
        relay.send(RelayPair::receiver(), RulesUpdate { .content = file });
    EXPECT_GE(relay.counters().droppedMessages, 100U - 1U - 8U);
    EXPECT_LE(relay.counters().droppedMessages, 100U - 1U - 7U);
}

// A node that was stopped and starts again gets messages without a new link.
TEST(Relay, ReconnectsOverHttpAfterARestart)
{
    const NodeName receiver = RelayPair::receiver();
    RelayPair relays(makeHttpTransport);
    ASSERT_TRUE(relays.first.listen());
    relays.first.send(receiver, FetchRules());
    relays.run(200ms);
    EXPECT_EQ(relays.first.counters().failedBatches, 1U);
    ASSERT_TRUE(relays.second.listen());
    relays.first.send(receiver, FetchRules());
    relays.run(300ms);
    EXPECT_EQ(relays.received.size(), 1U);
}

/** \brief Connection of another writer to the port of the second relay; it doesn't block. */
class RawClient
{
public:
    RawClient() : connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = ownAddress(27802).native();
        EXPECT_EQ(::connect(this->connection, reinterpret_cast<const sockaddr *>(&address),
                            sizeof(address)),
                  0);
        ::fcntl(this->connection, F_SETFL, O_NONBLOCK);
    }

    ~RawClient() { ::close(this->connection); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    /** \brief Announces a batch of \a size bytes. */
    void sendHead(std::size_t size)
    {
        this->send("POST /relay/" + std::to_string(wireProtocolVersion)
                   + " HTTP/1.1\r\nhost: relay\r\ncontent-length: " + std::to_string(size)
                   + "\r\n\r\n");
    }

    /** \brief Sends as much of \a bytes as fits. \returns the number of bytes sent. */
    std::size_t send(std::string_view bytes)
    {
        const ssize_t sent = ::send(this->connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<std::size_t>(sent);
    }

    /** \brief Reads what has arrived. \returns whether the server has closed the connection. */
    bool isClosed()
    {
        std::array<char, 4096> buffer {};
        ssize_t size = 0;
        while ((size = ::recv(this->connection, buffer.data(), buffer.size(), 0)) > 0)
            this->received.append(buffer.data(), static_cast<std::size_t>(size));
        return size == 0 || errno != EAGAIN;
    }

    std::string received;

private:
    int connection = -1;
};

// Guards against a process that runs out of memory by what anyone can send to its port.
TEST(Relay, RefusesABodyOverTheBoundByItsLength)
{
    RelayPair relays(makeHttpTransport);
    ASSERT_TRUE(relays.first.listen() && relays.second.listen());
    for (const std::size_t size : { maxBatchBytes + 1, 256UL << 20U, 100UL << 30U }) {
        RawClient client;
        client.sendHead(size);
        relays.run(100ms);
        EXPECT_TRUE(client.isClosed());
        EXPECT_EQ(client.received.substr(0, 12), "HTTP/1.1 413");
    }
    RawClient client;
    client.sendHead(maxBatchBytes);
    relays.run(100ms);
    EXPECT_FALSE(client.isClosed());
    relays.first.send(RelayPair::receiver(), FetchRules());
    relays.run(300ms);
    EXPECT_EQ(relays.received.size(), 1U);
}

/** \returns the memory that this process uses. */
std::size_t residentBytes()
{
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::getpagesize());
}

// The same by many bodies below the bound, which are never completed.
TEST(Relay, BoundsTheSumOfOpenBodies)
{
    RelayPair relays(makeHttpTransport);
    ASSERT_TRUE(relays.first.listen() && relays.second.listen());
    const std::size_t before = residentBytes();
    const std::string part(1UL << 20U, 'x');
    constexpr std::size_t clientCount = 24;
    std::vector<std::unique_ptr<RawClient>> clients;
    std::vector<std::size_t> sent(clientCount);
    for (std::size_t i = 0; i < clientCount; ++i) {
        clients.push_back(std::make_unique<RawClient>());
        clients.back()->sendHead(maxBatchBytes);
    }
    std::size_t most = before;
    for (int round = 0; round < 100; ++round) {
        for (std::size_t i = 0; i < clientCount; ++i)
            sent[i]
                += clients[i]->send(std::string_view(part).substr(0, maxBatchBytes - 1 - sent[i]));
        relays.run(10ms);
        most = std::max(most, residentBytes());
    }
    EXPECT_LT(most - before, 128UL << 20U);
    EXPECT_TRUE(
        std::ranges::any_of(clients, [](const auto &client) { return client->isClosed(); }));
    relays.first.send(RelayPair::receiver(), FetchRules());
    relays.run(300ms);
    EXPECT_EQ(relays.received.size(), 1U);
}

/** \returns a message that is encoded in \a size bytes. */
RulesUpdate messageOfSize(std::size_t size)
{
    const std::size_t rest = encode(WireMessage(RulesUpdate())).size();
    return { .content = RulesFile { .version = 1, .text = std::string(size - rest, 'x') } };
}

// Guards against the silent loss of a message that the receiver would never accept.
void expectBoundedMessages(const RelayTransportFactory &makeTransport)
{
    RelayPair relays(makeTransport);
    ASSERT_TRUE(relays.first.listen() && relays.second.listen());
    const NodeName receiver = RelayPair::receiver();
    relays.first.send(receiver, messageOfSize(maxMessageBytes + 1));
    relays.first.send(receiver, FetchRules());
    relays.first.send(receiver, messageOfSize(maxMessageBytes + 1));
    for (int i = 0; i < 3; ++i)
        relays.first.send(receiver, messageOfSize(maxMessageBytes));
    relays.first.send(receiver, FetchRules());
    relays.run(2s);
    EXPECT_EQ(relays.received.size(), 5U);
    EXPECT_EQ(relays.first.counters().failedBatches, 0U);
    EXPECT_EQ(relays.first.counters().oversizedMessages, 2U);
    EXPECT_EQ(relays.second.counters().refusedBatches, 0U);
}

TEST(Relay, SendsMessagesUpToTheBoundOverHttp)
{
    expectBoundedMessages(makeHttpTransport);
}

TEST(Relay, SendsMessagesUpToTheBoundOverGrpc)
{
    expectBoundedMessages(makeGrpcTransport);
}

// Guards against a batch that is delivered long after its successors: its node had not accepted the
// connection yet when it was forgotten.
TEST(Relay, ForgottenNodeGetsNothingMoreOfABatchInFlight)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    ASSERT_EQ(::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable)), 0);
    const sockaddr_in address = ownAddress(27802).native();
    ASSERT_EQ(::bind(listener, reinterpret_cast<const sockaddr *>(&address), sizeof(address)), 0);
    ASSERT_EQ(::listen(listener, 8), 0);
    RelayPair relays(makeHttpTransport);
    relays.first.send(RelayPair::receiver(), FetchRules());
    relays.run(50ms);
    const int connection = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    ASSERT_GE(connection, 0);
    relays.first.disconnect(RelayPair::receiver());
    relays.run(50ms);
    std::array<char, 4096> buffer {};
    ssize_t size = 0;
    while ((size = ::recv(connection, buffer.data(), buffer.size(), 0)) > 0)
        continue;
    EXPECT_TRUE(size == 0 || errno != EAGAIN) << "its connection is open";
    ::close(connection);
    ::close(listener);
}

} // namespace
