#include "Hibiscus/src/Fleet/EstimateModel.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run once there are many: a route's mix of tasks may change within
 * some hundreds of runs.
 */
constexpr double modelLearningRate = 0.005;
/** \brief Number of runs with exact estimates that the prior stands for. The tasks of one job
 * arrive together, so this is the number of runs of several jobs.
 */
constexpr double priorRuns = 30;
/** \brief Variance of the prior's estimates: they differ by some 40%. */
constexpr double priorVariance = 0.16;
/** \brief Below this the round trip to a target dominates the measured time. */
constexpr Duration minMeasurableTime = 5ms;

} // namespace internal

void EstimateModel::addRun(Duration estimate, Duration runTime)
{
    if (estimate < internal::minMeasurableTime || runTime < internal::minMeasurableTime)
        return;
    ++this->runCount;
    const double weight
        = std::max(internal::modelLearningRate, 1 / static_cast<double>(this->runCount));
    const double estimateDeviation = std::log(toSeconds(estimate)) - this->meanLogEstimate;
    const double runTimeDeviation = std::log(toSeconds(runTime)) - this->meanLogRunTime;
    this->meanLogEstimate += weight * estimateDeviation;
    this->meanLogRunTime += weight * runTimeDeviation;
    this->estimateVariance
        = (1 - weight) * (this->estimateVariance + weight * estimateDeviation * estimateDeviation);
    this->covariance
        = (1 - weight) * (this->covariance + weight * estimateDeviation * runTimeDeviation);
}

// Applies the slope of the regression, but keeps the mean of the estimates: a common bias of all
// estimates is already part of the slowness that is learned for each target.
Duration EstimateModel::predictedRunTime(Duration estimate) const
{
    if (this->runCount == 0 || estimate < internal::minMeasurableTime)
        return estimate;
    const double deviation = std::log(toSeconds(estimate)) - this->meanLogEstimate;
    return fromSeconds(std::exp(this->meanLogEstimate + this->estimateWeight() * deviation));
}

double EstimateModel::estimateWeight() const
{
    const double priorWeight = internal::priorRuns * internal::priorVariance;
    const auto runCount = static_cast<double>(this->runCount);
    const double slope = (priorWeight + runCount * this->covariance)
        / (priorWeight + runCount * this->estimateVariance);
    return std::clamp(slope, 0.0, 1.0);
}

} // namespace Hibiscus
