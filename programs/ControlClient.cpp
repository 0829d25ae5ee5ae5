#include "programs/ControlClient.h"

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

constexpr Duration leaderCallTimeout = 6s;
constexpr Duration retryInterval = 300ms;
constexpr int maxRounds = 10;

/** \returns the address of the leader in the response of a control node; empty if it has none. */
static std::optional<Address> readLeaderAddress(const HttpCallResult &result)
{
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("leader"))
        return std::nullopt;
    const Result<Address> address = Address::parse(json["leader"].get<std::string>());
    return address ? std::optional(*address) : std::nullopt;
}

} // namespace internal

ControlClient::ControlClient()
    : client(this->loop, { .connectionsPerServer = 1, .idleTimeout = internal::leaderCallTimeout })
{ }

HttpCallResult ControlClient::call(const HttpCall &call, Duration timeout)
{
    HttpCallResult result;
    bool isDone = false;
    const std::uint64_t number = this->client.send(call, [&](const HttpCallResult &answer) {
        result = answer;
        isDone = true;
    });
    const TimePoint deadline = this->loop.now() + timeout;
    this->loop.run(
        1ms, [] {},
        [&] {
            if (isDone || this->loop.now() >= deadline)
                this->loop.stop();
        });
    this->client.cancel(number);
    return result;
}

// Sending an apply again is safe: the control group recognises a duplicate by its apply id.
HttpCallResult ControlClient::callLeader(const Deployment &deployment, const HttpCall &call)
{
    const std::vector<NodeSettings> nodes = deployment.nodesWithRole(NodeRole::Control);
    HttpCallResult result;
    std::optional<Address> leader;
    for (int round = 0; round < internal::maxRounds; ++round) {
        HttpCall attempt = call;
        const std::size_t next = static_cast<std::size_t>(round) % nodes.size();
        attempt.address = leader ? *leader : *Address::parse(nodes[next].http);
        result = this->call(attempt, internal::leaderCallTimeout);
        if (result.state == HttpCallState::Answered && result.status != 503)
            return result;
        leader = internal::readLeaderAddress(result);
        if (!leader)
            this->loop.run(
                internal::retryInterval, [] {},
                [this, until = this->loop.now() + internal::retryInterval] {
                    if (this->loop.now() >= until)
                        this->loop.stop();
                });
    }
    return result;
}

} // namespace Hibiscus
