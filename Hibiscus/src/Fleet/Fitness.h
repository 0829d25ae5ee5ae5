#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief Times by which a run should end and must end. */
struct RunBounds
{
    TimePoint objectiveAt; ///< latency objective of its job
    TimePoint deadlineAt; ///< end of the caller's wait

    auto operator<=>(const RunBounds &other) const = default;
};

/** \brief Suitability of a target for a run, in ascending order. */
enum class Fitness : std::uint8_t {
    Infeasible, ///< the deadline would be missed, given the usual error of estimates
    Late, ///< the deadline would be met, but not the objective
    Risky, ///< the objective is met, but the deadline only if the estimate is not far too low
    InTime ///< the objective is met, and the deadline with a safe margin
};

/** \brief Run time over expected run time that must fit before the deadline: callers' estimates
 * are off by that much, and a run that misses its deadline wastes its target's time.
 */
inline constexpr double deadlineMargin = 1.4;

/** \brief Run time over expected run time that leaves no risk for the deadline: with estimates
 * that are 40% off and differing tasks within a job, fewer than one run in a hundred takes longer.
 */
inline constexpr double safeMargin = 3.0;

/** \returns the fitness of a target on which the run takes \a expectedRunTime from \a now. */
inline Fitness fitnessOf(const RunBounds &bounds, Duration expectedRunTime, TimePoint now)
{
    if (now + fromSeconds(deadlineMargin * toSeconds(expectedRunTime)) > bounds.deadlineAt)
        return Fitness::Infeasible;
    if (now + expectedRunTime > bounds.objectiveAt)
        return Fitness::Late;
    const bool isSafe
        = now + fromSeconds(safeMargin * toSeconds(expectedRunTime)) <= bounds.deadlineAt;
    return isSafe ? Fitness::InTime : Fitness::Risky;
}

} // namespace Hibiscus
