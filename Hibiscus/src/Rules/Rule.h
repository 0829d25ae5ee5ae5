#pragma once

#include <Hibiscus/Core>

#include <string>
#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief `quota team=NAME tasks=N`: maximum of tasks that a team runs at once, system-wide. */
struct TeamQuota
{
    TeamName team;
    std::uint32_t tasks = 0;

    auto operator<=>(const TeamQuota &other) const = default;
    HIBISCUS_FIELDS(team, tasks)
};

/** \brief `limit service=NAME tasks=N`: maximum of tasks that run at once on a service. */
struct ServiceLimit
{
    ServiceName service;
    std::uint32_t tasks = 0;

    auto operator<=>(const ServiceLimit &other) const = default;
    HIBISCUS_FIELDS(service, tasks)
};

/** \brief `rate service=NAME per-second=N`: maximum of jobs a second that a service accepts. */
struct ServiceRate
{
    ServiceName service;
    std::uint32_t jobsPerSecond = 0;

    auto operator<=>(const ServiceRate &other) const = default;
    HIBISCUS_FIELDS(service, jobsPerSecond)
};

/** \brief `retry service=NAME percent=N`: maximum of retries, in percent of a service's tasks. */
struct RetryLimit
{
    ServiceName service;
    std::uint32_t percent = 0;

    auto operator<=>(const RetryLimit &other) const = default;
    HIBISCUS_FIELDS(service, percent)
};

/** \brief `priority team=NAME level=N`: 0 is the default; higher levels, up to 9, go first. */
struct TeamPriority
{
    TeamName team;
    std::uint32_t level = 0;

    auto operator<=>(const TeamPriority &other) const = default;
    HIBISCUS_FIELDS(team, level)
};

/** \brief `drain target=NAME`: the target gets no new runs. */
struct DrainTarget
{
    TargetName target;

    auto operator<=>(const DrainTarget &other) const = default;
    HIBISCUS_FIELDS(target)
};

/** \brief `drain entry=NAME`: the entry VM takes no new jobs. */
struct DrainEntry
{
    NodeName entry;

    auto operator<=>(const DrainEntry &other) const = default;
    HIBISCUS_FIELDS(entry)
};

/** \brief `refuse service=NAME`: jobs for the service are rejected. */
struct RefuseService
{
    ServiceName service;

    auto operator<=>(const RefuseService &other) const = default;
    HIBISCUS_FIELDS(service)
};

/** \brief `service name=NAME`: declares a service that routes may refer to. */
struct ServiceRule
{
    ServiceName service;

    auto operator<=>(const ServiceRule &other) const = default;
    HIBISCUS_FIELDS(service)
};

/** \brief `route name=NAME host=HOST prefix=PATH service=NAME deadline-ms=N objective-ms=N
 * priority=N attempts=N stretch-percent=N`: the service and limits for jobs of a host and path
 * prefix.
 *
 * In the values of name, host, prefix and service, a byte may be written as %XX.
 */
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix;
    ServiceName service;
    std::uint32_t deadlineMs = 0; ///< maximum duration of a job, in milliseconds
    std::uint32_t objectiveMs = 0; ///< slack of the latency objective, in milliseconds
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t attempts = 1; ///< a task that failed this often is not retried
    std::uint32_t stretchPercent = 100; ///< latency objective, in percent of the ideal time

    auto operator<=>(const RouteRule &other) const = default;
    HIBISCUS_FIELDS(name, host, prefix, service, deadlineMs, objectiveMs, priority, attempts,
                    stretchPercent)
};

/** \brief `requests max-header-bytes=N max-body-bytes=N header-timeout-ms=N`: the limits that
 * callers keep, and that gateways therefore may enforce; 0: none.
 */
struct RequestLimits
{
    std::uint32_t maxHeaderBytes = 0;
    std::uint32_t maxBodyBytes = 0;
    std::uint32_t headerTimeoutMs = 0; ///< time for the headers of a request, in milliseconds

    auto operator<=>(const RequestLimits &other) const = default;
    HIBISCUS_FIELDS(maxHeaderBytes, maxBodyBytes, headerTimeoutMs)
};

/** \brief One rule of the rules file. */
using Rule
    = std::variant<TeamQuota, ServiceLimit, ServiceRate, RetryLimit, TeamPriority, DrainTarget,
                   DrainEntry, RefuseService, ServiceRule, RouteRule, RequestLimits>;

/** \brief A rule with its line in the file and the name of its requester. */
struct RuleLine
{
    std::uint32_t line = 0;
    std::string requestedBy;
    Rule rule;

    auto operator<=>(const RuleLine &other) const = default;
    HIBISCUS_FIELDS(line, requestedBy, rule)
};

} // namespace Hibiscus
