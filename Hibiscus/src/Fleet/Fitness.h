#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief What is asked of a run: when it should and when it must be over. */
struct RunBounds
{
    TimePoint objectiveAt;
    TimePoint deadlineAt;

    auto operator<=>(const RunBounds &other) const = default;
};

/** \brief How well a target suits a run; the higher the better. */
enum class Fitness : std::uint8_t {
    Hopeless, ///< it would not be over by the deadline, as far as estimates can be trusted
    Late, ///< over by the deadline, but not by the objective
    Risky, ///< in time, but past the deadline if the estimate is far too low
    InTime
};

/** \brief How far beyond the expected run time a run may take: callers' estimates are that wrong,
 * and a run that misses its deadline has wasted its target's time.
 */
inline constexpr double deadlineMargin = 1.4;

/** \brief How far beyond the expected run time a run may take without risk for its deadline: with
 * estimates that are 40% off, and tasks of a job that differ, fewer than one run in a hundred takes
 * longer.
 */
inline constexpr double safeMargin = 3.0;

/** \returns how a target suits where the run is expected to take \a expected from \a now. */
inline Fitness fitnessOf(const RunBounds &bounds, Duration expected, TimePoint now)
{
    if (now + fromSeconds(deadlineMargin * toSeconds(expected)) > bounds.deadlineAt)
        return Fitness::Hopeless;
    if (now + expected > bounds.objectiveAt)
        return Fitness::Late;
    const bool isSafe = now + fromSeconds(safeMargin * toSeconds(expected)) <= bounds.deadlineAt;
    return isSafe ? Fitness::InTime : Fitness::Risky;
}

} // namespace Hibiscus
