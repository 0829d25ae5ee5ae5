#include "Hibiscus/src/Fleet/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run, once there are enough for a mean: estimates are 40% off, so
 * some tens of runs are averaged.
 */
constexpr double learningRate = 0.03;
/** \brief Number of a target's own runs that the mean of its kind weighs as much as. */
constexpr double kindPriorRuns = 3;
/** \brief Below this the round trip dominates, and a time says nothing about speed. */
constexpr Duration minMeasurableTime = 5ms;

} // namespace internal

void RunTimes::MeanLogRatio::add(double logRatio)
{
    ++this->runCount;
    const double weight = std::max(internal::learningRate, 1 / static_cast<double>(this->runCount));
    this->meanLogRatio += weight * (logRatio - this->meanLogRatio);
}

void RunTimes::addRun(const LeasedTarget &target, Duration estimate, Duration runTime)
{
    if (estimate < internal::minMeasurableTime || runTime < internal::minMeasurableTime)
        return;
    const double logRatio = std::log(toSeconds(runTime) / toSeconds(estimate));
    this->byKind[target.kind].add(logRatio);
    this->byTarget[target.name].add(logRatio);
}

void RunTimes::addRunOnSlowTarget(const LeasedTarget &target, Duration estimate, Duration forecast)
{
    if (estimate >= internal::minMeasurableTime && forecast >= internal::minMeasurableTime)
        this->byTarget[target.name].add(std::log(toSeconds(forecast) / toSeconds(estimate)));
}

void RunTimes::adopt(const TargetSpeed &speed)
{
    if (speed.runCount > 0 && std::isfinite(speed.slowness) && speed.slowness > 0)
        this->byTarget.try_emplace(
            speed.target,
            MeanLogRatio { .meanLogRatio = std::log(speed.slowness), .runCount = speed.runCount });
}

TargetSpeed RunTimes::speedOf(const TargetName &target) const
{
    const auto known = this->byTarget.find(target);
    if (known == this->byTarget.end())
        return { .target = target };
    return { .target = target,
             .slowness = std::exp(known->second.meanLogRatio),
             .runCount = known->second.runCount };
}

double RunTimes::slowness(const LeasedTarget &target) const
{
    const auto kind = this->byKind.find(target.kind);
    const auto known = this->byTarget.find(target.name);
    const double kindMean = kind == this->byKind.end() ? 0 : kind->second.meanLogRatio;
    if (known == this->byTarget.end())
        return std::exp(kindMean);
    const auto runCount = static_cast<double>(known->second.runCount);
    const double mean = (runCount * known->second.meanLogRatio + internal::kindPriorRuns * kindMean)
        / (runCount + internal::kindPriorRuns);
    return std::exp(mean);
}

Duration RunTimes::expectedRunTime(const LeasedTarget &target, Duration estimate) const
{
    return fromSeconds(toSeconds(estimate) * this->slowness(target));
}

} // namespace Hibiscus
