#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief Regression of the run times of one route on the callers' estimates.
 *
 * Callers' estimates are rough, while the tasks of a route resemble each other. The predicted run
 * time of a task lies between its estimate and the mean estimate of the route: the better past
 * estimates correlate with run times, the closer it is to the task's own estimate.
 */
class EstimateModel
{
public:
    // Commands.
    /** \brief Adds a completed run.
     *
     * \a runTime is normalized to a target of average speed.
     */
    void addRun(Duration estimate, Duration runTime);

    // Queries.
    /** \returns the predicted run time of a task with the caller's \a estimate. */
    Duration predictedRunTime(Duration estimate) const;
    /** \returns the weight of an estimate's deviation from the mean estimate, from 0 to 1. */
    double estimateWeight() const;

private:
    std::uint64_t runCount = 0;
    double meanLogEstimate = 0; ///< mean of the natural logarithm, in seconds
    double meanLogRunTime = 0; ///< mean of the natural logarithm, in seconds
    double estimateVariance = 0; ///< variance of the logarithms of estimates
    double covariance = 0; ///< covariance of the logarithms of estimates and run times
};

} // namespace Hibiscus
