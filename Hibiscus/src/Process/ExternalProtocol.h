#pragma once

#include <Hibiscus/Fleet>
#include <Hibiscus/Net>

#include <functional>

namespace Hibiscus {

/** \brief A request that cannot be parsed. */
struct Malformed
{
    std::string reason;

    auto operator<=>(const Malformed &other) const = default;
};

/** \brief A valid request for a feature that this system does not support. */
struct Unsupported
{
    std::string feature;

    auto operator<=>(const Unsupported &other) const = default;
};

/** \brief The result of parsing the body of a job's submission. */
using ParsedJob = std::variant<TransientJob, Unsupported, Malformed>;

/** \brief An operator's request for the rules in force. */
struct ReadRulesRequest
{
    auto operator<=>(const ReadRulesRequest &) const = default;
};

/** \brief An operator's request to replace the rules. */
struct ReplaceRulesRequest
{
    std::uint64_t version = 0; ///< version number that the operator assigned
    std::string rules; ///< the rules in the format of the rules file
    std::string source; ///< the request's body, unchanged

    auto operator<=>(const ReplaceRulesRequest &other) const = default;
};

/** \brief An operator's request to start or finish the evacuation of a failure domain. */
struct ChangeEvacuationRequest
{
    DomainName domain;
    bool isEvacuated = false; ///< whether the domain is evacuated from now on

    auto operator<=>(const ChangeEvacuationRequest &other) const = default;
};

/** \brief The result of parsing a request of an operator or a target. */
using ControlRequest = std::variant<ReadRulesRequest, ReplaceRulesRequest, ChangeEvacuationRequest,
                                    TargetHeartbeat, Unsupported, Malformed>;

/** \brief Functions that translate the protocol of callers, targets and operators.
 *
 * The processes depend on this type only; the program of a deployment provides the functions.
 */
struct ExternalProtocol
{
    // Callers.
    /** \brief The headers of callers' requests that the functions read, in lower case. */
    std::vector<std::string> callerHeaders;
    std::function<ParsedJob(const std::string &id, const std::string &body)> readJob;
    /** \brief Reads how long the caller waits for its answer; empty if the request has no limit. */
    std::function<std::optional<Duration>(const HttpRequest &)> readCallerTimeout;
    std::function<std::string(TransientJobStatus)> renderJobStatus;
    std::function<std::string(std::uint64_t pending)> renderPendingCount;

    // Targets.
    std::function<HttpCall(const StartOrder &)> makeStartCall;
    std::function<HttpCall(const StopOrder &)> makeStopCall;
    std::function<HttpCall(const PollOrder &)> makePollCall;
    std::function<OrderResponse(const HttpCallResult &)> readOrderResponse;
    std::function<PollResponse(const HttpCallResult &)> readPollResponse;
    /** \brief Renders the response to a heartbeat; \a nextAddress is the address for the target's
     * next heartbeats, or empty if it does not change.
     */
    std::function<std::string(const std::string &nextAddress)> renderHeartbeatResponse;

    // Targets and operators.
    std::function<ControlRequest(const HttpRequest &)> readControlRequest;
};

} // namespace Hibiscus
