#include "Hibiscus/src/Dispatch/Admission.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr double secondsOfRateBurst = 1.0;

} // namespace internal

void Admission::noteWidestTarget(const ServiceName &service, std::uint32_t slots)
{
    std::uint32_t &widest = this->widestTargets[service];
    widest = std::max(widest, slots);
}

JobReason Admission::admit(const JobRequest &request, const Backlog &backlog, TimePoint now)
{
    if (this->draining || this->rules.isDrained(this->options.self))
        return JobReason::Draining;
    if (request.id.isExpired(now) || request.id.isFromFuture(now))
        return JobReason::IdExpired;
    if (this->rules.isRefused(request.service))
        return JobReason::ServiceRefused;
    const auto widest = this->widestTargets.find(request.service);
    if (widest != this->widestTargets.end() && request.slotsPerTask > widest->second)
        return JobReason::CannotRun;
    const auto rate = this->rules.find<ServiceRate>(
        [&](const ServiceRate &rule) { return rule.service == request.service; });
    if (rate && !this->takeRateToken(request.service, rate->jobsPerSecond, now))
        return JobReason::QuotaExceeded;
    if (this->isOverQuota(request.team, backlog.waitingOfTeam))
        return JobReason::QuotaExceeded;
    // A job alone in the queue is never too large.
    const bool isAlone = backlog.waitingTasks == 0;
    const std::size_t waiting = backlog.waitingTasks + request.taskCount();
    if (!isAlone && waiting > this->options.maxWaitingTasks)
        return JobReason::Overloaded;
    return JobReason::None;
}

std::optional<std::uint32_t> Admission::quotaShareOf(const TeamName &team) const
{
    const std::optional<std::uint32_t> quota = this->rules.quotaOf(team);
    return quota ? std::optional(this->shareOf(*quota)) : std::nullopt;
}

std::optional<std::uint32_t> Admission::limitShareOf(const ServiceName &service) const
{
    const auto limit = this->rules.find<ServiceLimit>(
        [&](const ServiceLimit &rule) { return rule.service == service; });
    return limit ? std::optional(this->shareOf(limit->tasks)) : std::nullopt;
}

std::optional<double> Admission::retryShareOf(const ServiceName &service) const
{
    const auto rule = this->rules.find<RetryLimit>(
        [&](const RetryLimit &limit) { return limit.service == service; });
    return rule ? std::optional(rule->percent / 100.0) : std::nullopt;
}

// A team that asks for more than its quota must not fill the queue that all teams share. Where the
// quota leaves this node no share, waiting would be for nothing.
bool Admission::isOverQuota(const TeamName &team, std::size_t waitingOfTeam) const
{
    const std::optional<std::uint32_t> share = this->quotaShareOf(team);
    if (!share)
        return false;
    const double most = this->options.quotaBacklog * *share;
    return *share == 0 || (waitingOfTeam > 0 && static_cast<double>(waitingOfTeam) > most);
}

bool Admission::takeRateToken(const ServiceName &service, std::uint32_t jobsPerSecond,
                              TimePoint now)
{
    const double rate
        = static_cast<double>(jobsPerSecond) / static_cast<double>(this->options.entryCount);
    RateBucket &bucket = this->rates[service];
    const double filled = bucket.tokens + rate * toSeconds(now - bucket.filledAt);
    bucket.tokens = std::min(filled, std::max(1.0, rate * internal::secondsOfRateBurst));
    bucket.filledAt = now;
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

// Entry nodes divide a total exactly, without talking about it.
std::uint32_t Admission::shareOf(std::uint32_t total) const
{
    const std::uint64_t index = this->options.entryIndex;
    const std::uint64_t before = index * total / this->options.entryCount;
    const std::uint64_t after = (index + 1) * total / this->options.entryCount;
    return static_cast<std::uint32_t>(after - before);
}

} // namespace Hibiscus
