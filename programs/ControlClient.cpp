#include "programs/ControlClient.h"

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

constexpr Duration leaderPatience = 6s;
constexpr Duration roundPause = 300ms;
constexpr int maxRounds = 10;

/** \returns the address of the leader that a control node named, if it did. */
static std::optional<Address> leaderIn(const HttpCallResult &result)
{
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("leader"))
        return std::nullopt;
    const Result<Address> address = Address::parse(json["leader"].get<std::string>());
    return address ? std::optional(*address) : std::nullopt;
}

} // namespace internal

ControlClient::ControlClient()
    : client(this->loop, { .connectionsPerServer = 1, .idleTimeout = internal::leaderPatience })
{ }

HttpCallResult ControlClient::call(const HttpCall &call, Duration timeout)
{
    HttpCallResult result;
    bool isDone = false;
    const std::uint64_t number = this->client.send(call, [&](const HttpCallResult &answer) {
        result = answer;
        isDone = true;
    });
    const TimePoint giveUpAt = this->loop.now() + timeout;
    this->loop.run(
        1ms, [] {},
        [&] {
            if (isDone || this->loop.now() >= giveUpAt)
                this->loop.stop();
        });
    this->client.cancel(number);
    return result;
}

// An apply may be sent again safely: its apply id makes the control group recognise it.
HttpCallResult ControlClient::callLeader(const Deployment &deployment, const HttpCall &call)
{
    const std::vector<NodeSettings> nodes = deployment.withRole(NodeRole::Control);
    HttpCallResult result;
    std::optional<Address> leader;
    for (int round = 0; round < internal::maxRounds; ++round) {
        HttpCall attempt = call;
        const std::size_t next = static_cast<std::size_t>(round) % nodes.size();
        attempt.address = leader ? *leader : *Address::parse(nodes[next].http);
        result = this->call(attempt, internal::leaderPatience);
        if (result.state == HttpCallState::Answered && result.status != 503)
            return result;
        leader = internal::leaderIn(result);
        if (!leader)
            this->loop.run(
                internal::roundPause, [] {},
                [this, until = this->loop.now() + internal::roundPause] {
                    if (this->loop.now() >= until)
                        this->loop.stop();
                });
    }
    return result;
}

} // namespace Hibiscus
