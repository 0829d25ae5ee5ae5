#include "relay.grpc.pb.h"

#include <Hibiscus/Net>
#include <grpcpp/grpcpp.h>
#include <gtest/gtest.h>

#include <set>
#include <thread>

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

// Guards against a new connection at every timeout: the cost of the connections would leave a slow
// node no processor time for the calls.
TEST(Relay, DoesNotReconnectToASlowNodeAtEveryTimeout)
{
    SlowNode node;
    EventLoop loop;
    Relay::Options options;
    options.self = NodeName("127.0.0.1:1");
    options.namesAreAddresses = true;
    options.batchTimeout = 100ms;
    Relay relay(
        loop, options, [](const WireMessage &) {}, [](const NodeName &) {});
    const TimePoint end = loop.now() + 3s;
    loop.run(
        20ms,
        [&] {
            relay.send(node.name(), FetchRules { .node = options.self });
            if (loop.now() >= end)
                loop.stop();
        },
        [] {});
    EXPECT_GT(relay.counters().failedBatches, 10U);
    EXPECT_LE(node.connectionCount(), 7U); // at first, and after 1, 2, 4, 8 and 16 timeouts
    node.shutDown();
}

} // namespace
