#include "Hibiscus/src/Fleet/EstimateModel.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run once there are many: a route's mix of tasks may change within
 * some hundreds of them.
 */
constexpr double modelLearningRate = 0.005;
/** \brief Estimates are believed as if this many runs had shown them right; the tasks of one job
 * come together, so it is some jobs' worth of runs.
 */
constexpr double runsBelieved = 30;
/** \brief Variance of those runs: estimates that differ by some 40%. */
constexpr double varianceBelieved = 0.16;
/** \brief Below this the round trip to a target dominates what is measured. */
constexpr Duration minLearned = 5ms;

} // namespace internal

void EstimateModel::learn(Duration estimate, Duration runTime)
{
    if (estimate < internal::minLearned || runTime < internal::minLearned)
        return;
    ++this->runs;
    const double weight
        = std::max(internal::modelLearningRate, 1 / static_cast<double>(this->runs));
    const double estimateOff = std::log(toSeconds(estimate)) - this->meanEstimate;
    const double takenOff = std::log(toSeconds(runTime)) - this->meanTaken;
    this->meanEstimate += weight * estimateOff;
    this->meanTaken += weight * takenOff;
    this->variance = (1 - weight) * (this->variance + weight * estimateOff * estimateOff);
    this->covariance = (1 - weight) * (this->covariance + weight * estimateOff * takenOff);
}

// The slope of the regression of run times on estimates. The mean of estimates is kept: whether all
// of them are too high is learned with the speed of targets.
Duration EstimateModel::corrected(Duration estimate) const
{
    if (this->runs == 0 || estimate < internal::minLearned)
        return estimate;
    const double off = std::log(toSeconds(estimate)) - this->meanEstimate;
    return fromSeconds(std::exp(this->meanEstimate + this->trust() * off));
}

double EstimateModel::trust() const
{
    const double believed = internal::runsBelieved * internal::varianceBelieved;
    const auto seen = static_cast<double>(this->runs);
    const double slope = (believed + seen * this->covariance) / (believed + seen * this->variance);
    return std::clamp(slope, 0.0, 1.0);
}

} // namespace Hibiscus
