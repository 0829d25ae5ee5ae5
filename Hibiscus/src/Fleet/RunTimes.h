#pragma once

#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/TargetSpeed.h"

#include <map>

namespace Hibiscus {

/** \brief Ratio of run times to estimates, learned for each target and for each kind of targets.
 *
 * The ratio of a kind is the first guess for a target with few runs.
 */
class RunTimes
{
public:
    // Commands.
    /** \brief Adds a completed run on \a target. */
    void addRun(const LeasedTarget &target, Duration estimate, Duration runTime);
    /** \brief Adds a run on \a target that did not complete, since the target is slow. Its kind is
     * not, so it is not changed.
     */
    void addRunOnSlowTarget(const LeasedTarget &target, Duration estimate, Duration forecast);
    /** \brief Continues with what a former owner has learned, unless runs of a target are known. */
    void adopt(const TargetSpeed &speed);
    void remove(const TargetName &target) { this->byTarget.erase(target); }

    // Queries.
    /** \returns the expected ratio of run time to estimate on \a target. */
    double slowness(const LeasedTarget &target) const;
    /** \returns what own runs on \a target have shown, without the mean of its kind. */
    TargetSpeed speedOf(const TargetName &target) const;
    Duration expectedRunTime(const LeasedTarget &target, Duration estimate) const;

private:
    /** \brief Mean of the natural logarithm of run time over estimate. */
    struct MeanLogRatio
    {
        double meanLogRatio = 0;
        std::uint64_t runCount = 0;

        void add(double logRatio);
    };

    std::map<std::string, MeanLogRatio> byKind;
    std::map<TargetName, MeanLogRatio> byTarget;
};

} // namespace Hibiscus
