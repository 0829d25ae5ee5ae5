#pragma once

#include <Hibiscus/Core>

#include <string>
#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief `quota team=NAME tasks=N`: the most tasks that a team runs at once, everywhere. */
struct TeamQuota
{
    TeamName team;
    std::uint32_t tasks = 0;

    auto operator<=>(const TeamQuota &other) const = default;
    HIBISCUS_FIELDS(team, tasks)
};

/** \brief `limit service=NAME tasks=N`: the most tasks that run at once on a service. */
struct ServiceLimit
{
    ServiceName service;
    std::uint32_t tasks = 0;

    auto operator<=>(const ServiceLimit &other) const = default;
    HIBISCUS_FIELDS(service, tasks)
};

/** \brief `rate service=NAME per-second=N`: the most jobs a second that a service accepts. */
struct ServiceRate
{
    ServiceName service;
    std::uint32_t jobsPerSecond = 0;

    auto operator<=>(const ServiceRate &other) const = default;
    HIBISCUS_FIELDS(service, jobsPerSecond)
};

/** \brief `retry service=NAME percent=N`: retries as a share of the tasks of a service. */
struct RetryLimit
{
    ServiceName service;
    std::uint32_t percent = 0;

    auto operator<=>(const RetryLimit &other) const = default;
    HIBISCUS_FIELDS(service, percent)
};

/** \brief `priority team=NAME level=N`: 0 is usual, up to 9 is sooner. */
struct TeamPriority
{
    TeamName team;
    std::uint32_t level = 0;

    auto operator<=>(const TeamPriority &other) const = default;
    HIBISCUS_FIELDS(team, level)
};

/** \brief `drain target=NAME`: the target gets no new work. */
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

/** \brief `refuse service=NAME`: jobs for the service are refused. */
struct RefuseService
{
    ServiceName service;

    auto operator<=>(const RefuseService &other) const = default;
    HIBISCUS_FIELDS(service)
};

/** \brief `service name=NAME`: a service that routes may name. */
struct ServiceRule
{
    ServiceName service;

    auto operator<=>(const ServiceRule &other) const = default;
    HIBISCUS_FIELDS(service)
};

/** \brief `route name=NAME host=HOST prefix=PATH service=NAME deadline-ms=N objective-ms=N
 * priority=N attempts=N stretch-percent=N`: where jobs of a host and path prefix run.
 *
 * In the values of host and prefix, bytes may be written as %XX.
 */
struct RouteRule
{
    std::string name;
    std::string host;
    std::string prefix;
    ServiceName service;
    std::uint32_t deadlineMs = 0; ///< how long a job may take, in milliseconds
    std::uint32_t objectiveMs = 0; ///< slack of the latency objective, in milliseconds
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t attempts = 1; ///< a task that failed so often has failed for good
    std::uint32_t stretchPercent = 100; ///< of the ideal time, for the latency objective

    auto operator<=>(const RouteRule &other) const = default;
    HIBISCUS_FIELDS(name, host, prefix, service, deadlineMs, objectiveMs, priority, attempts,
                    stretchPercent)
};

/** \brief One rule of the rules file. */
using Rule = std::variant<TeamQuota, ServiceLimit, ServiceRate, RetryLimit, TeamPriority,
                          DrainTarget, DrainEntry, RefuseService, ServiceRule, RouteRule>;

/** \brief A rule with the line it stands on and the name of who asked for it. */
struct RuleLine
{
    std::uint32_t line = 0;
    std::string askedBy;
    Rule rule;

    auto operator<=>(const RuleLine &other) const = default;
    HIBISCUS_FIELDS(line, askedBy, rule)
};

} // namespace Hibiscus
