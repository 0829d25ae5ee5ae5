// Selection of the target for a run by a FleetOwner.

#include "Hibiscus/src/Fleet/FleetOwner.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Share of the longest expected run time that is in time for a run, within which other
 * targets are as suitable as the slowest: faster ones stay free for tasks that need them.
 */
constexpr double equalSpeedRatio = 0.75;
/** \brief Factor on the shortest expected run time within which a target is as suitable as the
 * fastest, for a run that may miss its objective: learned speeds differ by that much by chance.
 */
constexpr double equalTimeFactor = 1.1;

} // namespace internal

// Selects the slowest target that still meets the objective, so that fast ones stay free for tasks
// that need them; if none does, the fastest. Among equals it selects the one with the least free
// capacity, so that large free blocks stay whole, or, with packing, the one where the task leaves
// the least capacity that no usual task fits in.
TargetDriver *FleetOwner::selectTarget(const HeldRun &run, TimePoint validUntil, TimePoint now)
{
    TargetDriver *best = nullptr;
    Duration bestTime {};
    Fitness bestFitness = Fitness::Infeasible;
    for (auto &[name, driver] : this->drivers) {
        if (!this->canRunOn(driver, run, now) || !driver.isLeaseOverBy(validUntil))
            continue;
        const Duration time = this->runTimes.expectedRunTime(driver.target(), run.request.estimate);
        const Fitness fitness = fitnessOf(run.bounds, time, now);
        bool isBetter = best == nullptr;
        if (best != nullptr && fitness != bestFitness)
            isBetter = fitness > bestFitness;
        else if (best != nullptr && time != bestTime)
            isBetter = fitness == Fitness::InTime ? time > bestTime : time < bestTime;
        else if (best != nullptr)
            isBetter = driver.free().cpu < best->free().cpu;
        if (!isBetter)
            continue;
        best = &driver;
        bestTime = time;
        bestFitness = fitness;
    }
    if (best != nullptr && bestFitness == Fitness::Infeasible
        && this->shouldWaitForFasterTarget(run, now))
        return nullptr;
    if (best == nullptr || !this->options.packsTargets)
        return best;
    TargetDriver *packed = this->selectByPacking(run, validUntil, bestTime, bestFitness, now);
    this->counts.packed += packed != best ? 1 : 0;
    return packed;
}

TargetDriver *FleetOwner::selectByPacking(const HeldRun &run, TimePoint validUntil,
                                          Duration bestTime, Fitness bestFitness, TimePoint now)
{
    const PackingModel &packing = this->packingModels[run.request.service];
    const bool isInTime = bestFitness == Fitness::InTime;
    TargetDriver *best = nullptr;
    double bestWaste = 0;
    for (auto &[name, driver] : this->drivers) {
        if (!this->canRunOn(driver, run, now) || !driver.isLeaseOverBy(validUntil))
            continue;
        const Duration time = this->runTimes.expectedRunTime(driver.target(), run.request.estimate);
        const bool isAsSuitable = fitnessOf(run.bounds, time, now) == bestFitness
            && (isInTime ? toSeconds(time) >= internal::equalSpeedRatio * toSeconds(bestTime)
                         : toSeconds(time) <= internal::equalTimeFactor * toSeconds(bestTime));
        if (!isAsSuitable)
            continue;
        const double waste = packing.wasteOf(driver.free(), run.request.demand);
        if (best != nullptr && waste >= bestWaste)
            continue;
        best = &driver;
        bestWaste = waste;
    }
    return best;
}

// A run that would miss its deadline on the free targets waits while a busy target could still meet
// it.
bool FleetOwner::shouldWaitForFasterTarget(const HeldRun &run, TimePoint now) const
{
    return std::ranges::any_of(this->drivers, [&](const auto &item) {
        const Duration time
            = this->runTimes.expectedRunTime(item.second.target(), run.request.estimate);
        return this->couldRunOn(item.second, run, now)
            && fitnessOf(run.bounds, time, now) != Fitness::Infeasible;
    });
}

bool FleetOwner::couldRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const
{
    const LeasedTarget &target = driver.target();
    return target.service == run.request.service && this->acceptsRuns(driver, now)
        && target.capacity.covers(run.request.demand)
        && satisfies(target.labels, run.request.requiredLabel);
}

bool FleetOwner::canRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const
{
    const LeasedTarget &target = driver.target();
    const std::uint32_t limit = run.request.maxPerTarget;
    // A wide task would otherwise wait until a cold target is warm; alone it delays no other.
    const bool isIdle = driver.free() == target.capacity;
    const Capacity usable = isIdle ? driver.free() : this->usableCapacity(driver, now);
    return target.service == run.request.service && usable.covers(run.request.demand)
        && satisfies(target.labels, run.request.requiredLabel) && this->acceptsRuns(driver, now)
        && (limit == 0 || driver.runCountOf(run.request.run.job, run.request.run.step) < limit);
}

} // namespace Hibiscus
