#pragma once

#include <Hibiscus/Fleet>
#include <Hibiscus/Net>

#include <functional>

namespace Hibiscus {

/** \brief A body that cannot be read. */
struct Malformed
{
    std::string reason;

    auto operator<=>(const Malformed &other) const = default;
};

/** \brief A job, or anything else, that this system does not offer. */
struct Unsupported
{
    std::string feature;

    auto operator<=>(const Unsupported &other) const = default;
};

/** \brief A job as its caller sent it. */
using JobBody = std::variant<TransientJob, Unsupported, Malformed>;

/** \brief An operator asks for the rules in force. */
struct ReadRulesCall
{
    auto operator<=>(const ReadRulesCall &) const = default;
};

/** \brief An operator replaces the rules. */
struct ReplaceRulesCall
{
    std::uint64_t version = 0; ///< the operator's own number
    std::string rules; ///< as lines of the rules file
    std::string source; ///< as it was sent

    auto operator<=>(const ReplaceRulesCall &other) const = default;
};

/** \brief What calls the address for operators and targets. */
using ControlCall
    = std::variant<ReadRulesCall, ReplaceRulesCall, TargetHeartbeat, Unsupported, Malformed>;

/** \brief The protocol that callers, targets and operators speak, as functions that translate it.
 *
 * The processes are written against this type; a deployment brings the functions.
 */
struct ExternalProtocol
{
    // Callers.
    std::vector<std::string> callerHeaders; ///< to be kept of callers' requests; lower case
    std::function<JobBody(const std::string &id, const std::string &body)> readJob;
    std::function<std::optional<Duration>(const HttpRequest &)> readCallerTimeout;
    std::function<std::string(TransientJobStatus)> renderJobStatus;
    std::function<std::string(std::uint64_t pending)> renderPending;

    // Targets.
    std::function<HttpCall(const StartOrder &)> startCall;
    std::function<HttpCall(const StopOrder &)> stopCall;
    std::function<HttpCall(const PollOrder &)> pollCall;
    std::function<OrderResponse(const HttpCallResult &)> readOrderResponse;
    std::function<PollResponse(const HttpCallResult &)> readPollResponse;
    /** \brief Renders the answer to a heartbeat; empty when the target should go on as before. */
    std::function<std::string(const std::string &nextAddress)> renderHeartbeatResponse;

    // Targets and operators.
    std::function<ControlCall(const HttpRequest &)> readControlCall;
};

} // namespace Hibiscus
