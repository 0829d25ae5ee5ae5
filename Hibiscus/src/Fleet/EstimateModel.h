#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief How far the estimates of one route can be trusted, learned from runs.
 *
 * Callers' estimates are rough, while the tasks of a route resemble each other. What is expected of
 * a task lies between its estimate and the route's usual one, the nearer to the estimate the better
 * estimates have foretold run times so far.
 */
class EstimateModel
{
public:
    // Commands.
    /** \brief Learns from a run that was estimated to take \a estimate and took \a runTime, at the
     * usual speed of targets.
     */
    void learn(Duration estimate, Duration runTime);

    // Queries.
    /** \returns what to expect of a task that its caller estimates to take \a estimate. */
    Duration corrected(Duration estimate) const;
    /** \returns how much of an estimate's distance from the usual one is believed, 0 to 1. */
    double trust() const;

private:
    std::uint64_t runs = 0;
    double meanEstimate = 0; ///< of the natural logarithm of seconds
    double meanTaken = 0; ///< of the natural logarithm of seconds
    double variance = 0; ///< of the logarithm of estimates
    double covariance = 0; ///< of the logarithms of estimates and run times
};

} // namespace Hibiscus
