#include "Hibiscus/src/Dispatch/Admission.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr double secondsOfRateBurst = 1.0;

} // namespace internal

void Admission::recordTargetSlots(const ServiceName &service, std::uint32_t slots)
{
    std::uint32_t &largest = this->largestTargets[service];
    largest = std::max(largest, slots);
}

JobReason Admission::admit(const JobRequest &request, const Backlog &backlog, TimePoint now)
{
    if (this->draining || this->rules.isDrained(this->options.self))
        return JobReason::Draining;
    if (request.id.isExpired(now) || request.id.isFromFuture(now))
        return JobReason::IdExpired;
    if (this->rules.isRefused(request.service))
        return JobReason::ServiceRefused;
    const auto largest = this->largestTargets.find(request.service);
    if (largest != this->largestTargets.end() && request.slotsPerTask > largest->second)
        return JobReason::CannotRun;
    const auto rate = this->rules.find<ServiceRate>(
        [&](const ServiceRate &rule) { return rule.service == request.service; });
    if (rate && !this->takeRateToken(request.service, rate->jobsPerSecond, now))
        return JobReason::QuotaExceeded;
    if (this->isOverQuota(request.team, backlog.waitingTasksOfTeam))
        return JobReason::QuotaExceeded;
    // A job is never refused for its size alone: an empty queue admits any job.
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

// A team over its quota must not fill the queue that all teams share. If this node's share of the
// quota is zero, its tasks could never be placed, so waiting is pointless.
bool Admission::isOverQuota(const TeamName &team, std::size_t waitingTasksOfTeam) const
{
    const std::optional<std::uint32_t> share = this->quotaShareOf(team);
    if (!share)
        return false;
    const double maxWaiting = this->options.quotaBacklogFactor * *share;
    return *share == 0
        || (waitingTasksOfTeam > 0 && static_cast<double>(waitingTasksOfTeam) > maxWaiting);
}

bool Admission::takeRateToken(const ServiceName &service, std::uint32_t jobsPerSecond,
                              TimePoint now)
{
    const double rate
        = static_cast<double>(jobsPerSecond) / static_cast<double>(this->options.entryCount);
    RateBucket &bucket = this->rates[service];
    const double filled = bucket.tokens + rate * toSeconds(now - bucket.refilledAt);
    bucket.tokens = std::min(filled, std::max(1.0, rate * internal::secondsOfRateBurst));
    bucket.refilledAt = now;
    if (bucket.tokens < 1.0)
        return false;
    bucket.tokens -= 1.0;
    return true;
}

// The shares of all entry nodes add up to exactly \a total, without any coordination.
std::uint32_t Admission::shareOf(std::uint32_t total) const
{
    const std::uint64_t index = this->options.entryIndex;
    const std::uint64_t before = index * total / this->options.entryCount;
    const std::uint64_t after = (index + 1) * total / this->options.entryCount;
    return static_cast<std::uint32_t>(after - before);
}

} // namespace Hibiscus
