#pragma once

#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/RunForecast.h"

namespace Hibiscus {

/** \brief What to do with a run on a target. */
enum class RunVerdict : std::uint8_t {
    Continue,
    RunElsewhere, ///< stop it: it is forecast to end clearly earlier on another target
    GiveUp ///< stop it: it can meet its deadline neither here nor elsewhere
};

/** \returns the name of \a verdict for logs. */
const char *toString(RunVerdict verdict);

/** \brief Pace of a run relative to its expected run time. */
enum class RunPace : std::uint8_t { Unknown, Usual, Slow };

/** \brief Run on a target, as far as its progress is judged. */
struct AssessedRun
{
    RunBounds bounds;
    TimePoint startedAt;
    RunForecast forecast;
    Duration expectedRunTime {}; ///< on its target
    /** \brief Expected run time on the fastest target that may take it, without regard to its
     * progress here.
     */
    Duration expectedElsewhere {};
    /** \brief Slowness of that target over that of its own; empty if there is none. */
    std::optional<double> slownessElsewhere;
    double slownessHere = 1; ///< of its target, as learned
    /** \brief Whether its target is slow, as other runs there show, and not the task long. */
    bool isTargetSlow = false;

    auto operator<=>(const AssessedRun &other) const = default;
};

/** \returns the pace of a run that \a forecast describes. */
RunPace paceOf(const RunForecast &forecast, Duration expectedRunTime);

/** \returns the pace of a run that has completed in \a runTime. */
RunPace paceOf(Duration runTime, Duration expectedRunTime);

/** \returns whether the run has stalled: it makes far less progress than any run that can meet a
 * deadline, so its target is at fault.
 */
bool hasStalled(const RunForecast &forecast, Duration expectedRunTime);

/** \returns what to do with \a run. */
RunVerdict assess(const AssessedRun &run, TimePoint now);

} // namespace Hibiscus
