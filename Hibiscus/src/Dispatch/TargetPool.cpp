#include "Hibiscus/src/Dispatch/TargetPool.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Run time assumed for a target that has not completed a task yet, in seconds. */
constexpr double assumedRunTime = 0.3;

} // namespace internal

void TargetPool::announce(const TargetAnnouncement &announcement, TimePoint now)
{
    Target &target = this->targetsByName[announcement.target];
    target.announcement = announcement;
    target.leasedUntil = now + this->options.leaseDuration;
}

void TargetPool::setDrained(const std::set<TargetName> &drained)
{
    for (auto &[name, target] : this->targetsByName)
        target.isDrained = drained.contains(name);
}

void TargetPool::occupy(const TargetName &target, const AttemptId &attempt, TimePoint now)
{
    Target &entry = this->targetsByName.at(target);
    HIBISCUS_INVARIANT(now <= entry.leasedUntil && !entry.announcement.isLeaving,
                       "only a target with a lease gets new work");
    HIBISCUS_INVARIANT(entry.running.size() < entry.announcement.slots,
                       "a target has at most as many running attempts as slots");
    const bool isNew = entry.running.try_emplace(attempt, now).second;
    HIBISCUS_INVARIANT(isNew, "an attempt is sent to a target only once");
}

void TargetPool::release(const TargetName &target, const AttemptId &attempt, AttemptStatus status,
                         TimePoint now)
{
    const auto found = this->targetsByName.find(target);
    if (found == this->targetsByName.end())
        return;
    Target &entry = found->second;
    const auto running = entry.running.find(attempt);
    if (running == entry.running.end())
        return;
    const Duration runTime = now - running->second;
    entry.running.erase(running);
    if (status == AttemptStatus::Succeeded) {
        entry.failuresInRow = 0;
        entry.ejections = 0;
        this->updateRunTime(entry, runTime);
    } else if (status == AttemptStatus::Failed) {
        this->recordFailure(entry, attempt.job, now);
    } else if (status == AttemptStatus::NotStarted) {
        // The target has another owner or is gone, so its lease ends until the next announcement.
        entry.leasedUntil = std::min(entry.leasedUntil, now - 1us);
    }
}

void TargetPool::removeExpired(TimePoint now)
{
    std::erase_if(this->targetsByName, [&](const auto &item) {
        const Target &target = item.second;
        return target.running.empty() && now > target.leasedUntil + this->options.leaseDuration;
    });
}

const Target *TargetPool::find(const TargetName &target) const
{
    const auto found = this->targetsByName.find(target);
    return found == this->targetsByName.end() ? nullptr : &found->second;
}

std::vector<FreeSlot> TargetPool::freeSlots(const ServiceName &service, std::size_t maxCount,
                                            TimePoint now) const
{
    std::vector<FreeSlot> slots;
    const double maxRunTime = this->options.maxSlowdown * this->medianRunTime(service);
    for (const auto &[name, target] : this->targetsByName) {
        if (target.announcement.service != service || !this->isUsable(target, now))
            continue;
        const double runTime = this->runTimeOf(target);
        if (runTime > maxRunTime)
            continue;
        const std::uint32_t count = this->freeSlotsOf(target);
        for (std::uint32_t i = 0; i < count; ++i)
            slots.push_back({ .target = name, .speed = 1.0 / runTime });
    }
    std::ranges::stable_sort(slots, std::greater<> {}, &FreeSlot::speed);
    if (slots.size() > maxCount)
        slots.resize(maxCount);
    return slots;
}

std::vector<ServiceName> TargetPool::services() const
{
    std::set<ServiceName> services;
    for (const auto &[name, target] : this->targetsByName)
        services.insert(target.announcement.service);
    return { services.begin(), services.end() };
}

std::vector<SpeedClass> TargetPool::speedsOf(const ServiceName &service, TimePoint now) const
{
    std::vector<SpeedClass> classes;
    for (const auto &[name, target] : this->targetsByName)
        if (target.announcement.service == service && this->isUsable(target, now)
            && !target.isOnTrial())
            classes.push_back({ .speed = static_cast<float>(1.0 / this->runTimeOf(target)),
                                .slots = target.announcement.slots });
    return mergeSpeedClasses(std::move(classes));
}

std::uint32_t TargetPool::slotsOf(const ServiceName &service) const
{
    std::uint32_t slots = 0;
    for (const auto &[name, target] : this->targetsByName)
        if (target.announcement.service == service)
            slots += target.announcement.slots;
    return slots;
}

std::uint32_t TargetPool::maxSlotsPerTarget(const ServiceName &service) const
{
    std::uint32_t largest = 0;
    for (const auto &[name, target] : this->targetsByName)
        if (target.announcement.service == service)
            largest = std::max(largest, target.announcement.slots);
    return largest;
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
        if (!isListed && now > startedAt + this->options.missingAttemptTimeout)
            missing.push_back(attempt);
    }
    return missing;
}

bool TargetPool::isUsable(const Target &target, TimePoint now) const
{
    return now <= target.leasedUntil && !target.announcement.isLeaving && !target.isDrained
        && now >= target.ejectedUntil;
}

// A target on trial gets one task at a time until a task succeeds.
std::uint32_t TargetPool::freeSlotsOf(const Target &target) const
{
    const std::uint32_t slots
        = target.isOnTrial() ? std::min(1U, target.announcement.slots) : target.announcement.slots;
    const auto running = static_cast<std::uint32_t>(target.running.size());
    return slots > running ? slots - running : 0;
}

double TargetPool::runTimeOf(const Target &target) const
{
    return target.meanLogRunTime ? std::exp(*target.meanLogRunTime) : internal::assumedRunTime;
}

double TargetPool::medianRunTime(const ServiceName &service) const
{
    std::vector<double> runTimes;
    for (const auto &[name, target] : this->targetsByName)
        if (target.announcement.service == service && target.meanLogRunTime)
            runTimes.push_back(this->runTimeOf(target));
    if (runTimes.empty())
        return internal::assumedRunTime;
    const auto middle = runTimes.begin() + static_cast<std::ptrdiff_t>(runTimes.size() / 2);
    std::ranges::nth_element(runTimes, middle);
    return *middle;
}

// Averages logarithms, because run times differ by orders of magnitude: a single long task hardly
// changes the average.
void TargetPool::updateRunTime(Target &target, Duration runTime)
{
    const double sample = std::log(std::max(toSeconds(runTime), 1e-4));
    if (!target.meanLogRunTime)
        target.meanLogRunTime = std::log(internal::assumedRunTime);
    *target.meanLogRunTime += this->options.learningRate * (sample - *target.meanLogRunTime);
}

// A job whose tasks fail on all targets counts only once per target, so that it cannot eject all
// targets by itself.
void TargetPool::recordFailure(Target &target, const JobId &job, TimePoint now)
{
    if (target.lastFailedJob == job && !target.isOnTrial())
        return;
    target.lastFailedJob = job;
    ++target.failuresInRow;
    const bool isDue = target.isOnTrial() || target.failuresInRow >= this->options.failuresToEject;
    if (!isDue || !this->mayEjectAnother(target, now))
        return;
    const std::uint32_t doublings = std::min(target.ejections, 16U);
    const Duration span = this->options.firstEjectionTime * (1U << doublings);
    target.ejectedUntil = now + std::min(span, this->options.maxEjectionTime);
    ++target.ejections;
}

bool TargetPool::mayEjectAnother(const Target &target, TimePoint now) const
{
    if (target.isOnTrial())
        return true;
    std::size_t ejected = 0;
    for (const auto &[name, other] : this->targetsByName)
        if (other.isOnTrial() || now < other.ejectedUntil)
            ++ejected;
    const auto allowed = static_cast<std::size_t>(
        std::ceil(this->options.maxEjectedShare * static_cast<double>(this->targetsByName.size())));
    return ejected < allowed;
}

} // namespace Hibiscus
