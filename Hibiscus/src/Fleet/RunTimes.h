#pragma once

#include "Hibiscus/src/Fleet/LeasedTarget.h"

#include <map>

namespace Hibiscus {

/** \brief How run times compare to their estimates, learned for each target and, as a first guess
 * for a target that is not known yet, for each kind of target.
 */
class RunTimes
{
public:
    // Commands.
    /** \brief Learns from a run on \a target that was estimated to take \a estimate. */
    void learn(const LeasedTarget &target, Duration estimate, Duration runTime);
    void forget(const TargetName &target) { this->targets.erase(target); }

    // Queries.
    /** \returns the expected run time on \a target over the estimate. */
    double slowness(const LeasedTarget &target) const;
    Duration expected(const LeasedTarget &target, Duration estimate) const;

private:
    /** \brief The mean of the natural logarithm of run time over estimate. */
    struct Learned
    {
        double logFactor = 0;
        std::uint64_t runs = 0;

        void learn(double factor);
    };

    std::map<std::string, Learned> kinds;
    std::map<TargetName, Learned> targets;
};

} // namespace Hibiscus
