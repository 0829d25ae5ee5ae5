#include "Hibiscus/src/Dispatch/TargetPool.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief What a target is taken for before its first task has ended, in seconds. */
constexpr double typicalRunTime = 0.3;

} // namespace internal

void TargetPool::announce(const TargetAnnouncement &announcement, TimePoint now)
{
    Target &target = this->pool[announcement.target];
    target.announcement = announcement;
    target.leasedUntil = now + this->options.leaseDuration;
}

void TargetPool::setDrained(const std::set<TargetName> &drained)
{
    for (auto &[name, target] : this->pool)
        target.isDrained = drained.contains(name);
}

void TargetPool::occupy(const TargetName &target, const AttemptId &attempt, TimePoint now)
{
    Target &chosen = this->pool.at(target);
    HIBISCUS_INVARIANT(now <= chosen.leasedUntil && !chosen.announcement.isLeaving,
                       "a target gets no new work without a lease");
    HIBISCUS_INVARIANT(chosen.running.size() < chosen.announcement.slots,
                       "a target is never sent more tasks than it has slots");
    const bool isNew = chosen.running.try_emplace(attempt, now).second;
    HIBISCUS_INVARIANT(isNew, "an attempt is sent to a target once");
}

void TargetPool::release(const TargetName &target, const AttemptId &attempt, AttemptStatus status,
                         TimePoint now)
{
    const auto found = this->pool.find(target);
    if (found == this->pool.end())
        return;
    Target &chosen = found->second;
    const auto running = chosen.running.find(attempt);
    if (running == chosen.running.end())
        return;
    const Duration runTime = now - running->second;
    chosen.running.erase(running);
    if (status == AttemptStatus::Succeeded) {
        chosen.failuresInRow = 0;
        chosen.ejections = 0;
        this->learnRunTime(chosen, runTime);
    } else if (status == AttemptStatus::Failed) {
        this->noteFailure(chosen, attempt.job, now);
    } else if (status == AttemptStatus::NotStarted) {
        // The target has another owner by now, or is gone: only an announcement can tell.
        chosen.leasedUntil = std::min(chosen.leasedUntil, now - 1us);
    }
}

void TargetPool::removeExpired(TimePoint now)
{
    std::erase_if(this->pool, [&](const auto &item) {
        const Target &target = item.second;
        return target.running.empty() && now > target.leasedUntil + this->options.leaseDuration;
    });
}

const Target *TargetPool::find(const TargetName &target) const
{
    const auto found = this->pool.find(target);
    return found == this->pool.end() ? nullptr : &found->second;
}

std::vector<FreeSlot> TargetPool::freeSlots(const ServiceName &service, std::size_t most,
                                            TimePoint now) const
{
    std::vector<FreeSlot> slots;
    const double limit = this->options.slowestUseful * this->medianRunTime(service);
    for (const auto &[name, target] : this->pool) {
        if (target.announcement.service != service || !this->isUsable(target, now))
            continue;
        const double runTime = this->runTimeOf(target);
        if (runTime > limit)
            continue;
        const std::uint32_t count = this->freeSlotsOf(target);
        for (std::uint32_t i = 0; i < count; ++i)
            slots.push_back({ .target = name, .speed = 1.0 / runTime });
    }
    std::ranges::stable_sort(slots, std::greater<> {}, &FreeSlot::speed);
    if (slots.size() > most)
        slots.resize(most);
    return slots;
}

std::vector<ServiceName> TargetPool::services() const
{
    std::set<ServiceName> services;
    for (const auto &[name, target] : this->pool)
        services.insert(target.announcement.service);
    return { services.begin(), services.end() };
}

std::vector<SpeedClass> TargetPool::speedsOf(const ServiceName &service, TimePoint now) const
{
    std::vector<SpeedClass> classes;
    for (const auto &[name, target] : this->pool)
        if (target.announcement.service == service && this->isUsable(target, now)
            && !target.isOnTrial())
            classes.push_back({ .speed = static_cast<float>(1.0 / this->runTimeOf(target)),
                                .slots = target.announcement.slots });
    return joined(std::move(classes));
}

std::uint32_t TargetPool::slotsOf(const ServiceName &service) const
{
    std::uint32_t slots = 0;
    for (const auto &[name, target] : this->pool)
        if (target.announcement.service == service)
            slots += target.announcement.slots;
    return slots;
}

std::uint32_t TargetPool::widestTargetOf(const ServiceName &service) const
{
    std::uint32_t widest = 0;
    for (const auto &[name, target] : this->pool)
        if (target.announcement.service == service)
            widest = std::max(widest, target.announcement.slots);
    return widest;
}

std::vector<AttemptId> TargetPool::missingAttempts(const TargetName &target, TimePoint now) const
{
    std::vector<AttemptId> missing;
    const Target *found = this->find(target);
    if (found == nullptr)
        return missing;
    const std::vector<AttemptId> &listed = found->announcement.running;
    for (const auto &[attempt, startedAt] : found->running) {
        const bool isListed = std::ranges::find(listed, attempt) != listed.end();
        if (!isListed && now > startedAt + this->options.missingAfter)
            missing.push_back(attempt);
    }
    return missing;
}

bool TargetPool::isUsable(const Target &target, TimePoint now) const
{
    return now <= target.leasedUntil && !target.announcement.isLeaving && !target.isDrained
        && now >= target.ejectedUntil;
}

// A target on trial gets one task at a time until one succeeds.
std::uint32_t TargetPool::freeSlotsOf(const Target &target) const
{
    const std::uint32_t slots
        = target.isOnTrial() ? std::min(1U, target.announcement.slots) : target.announcement.slots;
    const auto running = static_cast<std::uint32_t>(target.running.size());
    return slots > running ? slots - running : 0;
}

double TargetPool::runTimeOf(const Target &target) const
{
    return target.meanLogRunTime ? std::exp(*target.meanLogRunTime) : internal::typicalRunTime;
}

double TargetPool::medianRunTime(const ServiceName &service) const
{
    std::vector<double> runTimes;
    for (const auto &[name, target] : this->pool)
        if (target.announcement.service == service && target.meanLogRunTime)
            runTimes.push_back(this->runTimeOf(target));
    if (runTimes.empty())
        return internal::typicalRunTime;
    const auto middle = runTimes.begin() + static_cast<std::ptrdiff_t>(runTimes.size() / 2);
    std::ranges::nth_element(runTimes, middle);
    return *middle;
}

// Run times differ by factors, so their logarithm is averaged: one long task moves it little.
void TargetPool::learnRunTime(Target &target, Duration runTime)
{
    const double sample = std::log(std::max(toSeconds(runTime), 1e-4));
    if (!target.meanLogRunTime)
        target.meanLogRunTime = std::log(internal::typicalRunTime);
    *target.meanLogRunTime += this->options.learningRate * (sample - *target.meanLogRunTime);
}

// A job whose tasks fail everywhere counts once a target, so it cannot eject the fleet alone.
void TargetPool::noteFailure(Target &target, const JobId &job, TimePoint now)
{
    if (target.lastFailedJob == job && !target.isOnTrial())
        return;
    target.lastFailedJob = job;
    ++target.failuresInRow;
    const bool isDue = target.isOnTrial() || target.failuresInRow >= this->options.failuresToEject;
    if (!isDue || !this->mayEjectAnother(target, now))
        return;
    const std::uint32_t doublings = std::min(target.ejections, 16U);
    const Duration span = this->options.firstEjection * (1U << doublings);
    target.ejectedUntil = now + std::min(span, this->options.maxEjection);
    ++target.ejections;
}

bool TargetPool::mayEjectAnother(const Target &target, TimePoint now) const
{
    if (target.isOnTrial())
        return true;
    std::size_t ejected = 0;
    for (const auto &[name, other] : this->pool)
        if (other.isOnTrial() || now < other.ejectedUntil)
            ++ejected;
    const auto allowed = static_cast<std::size_t>(
        std::ceil(this->options.maxEjected * static_cast<double>(this->pool.size())));
    return ejected < allowed;
}

} // namespace Hibiscus
