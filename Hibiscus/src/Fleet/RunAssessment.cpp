#include "Hibiscus/src/Fleet/RunAssessment.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Run time over expected run time of a slow run; estimates are rarely off by more. */
constexpr double slowPace = 3;
/** \brief Added to that bound, for the round trips of short runs. */
constexpr Duration slowPaceSlack = 60ms;
/** \brief Run time over expected run time up to which a pace is usual. */
constexpr double usualPace = 2;
/** \brief Share of the expected run time for which a run is watched before it is judged: a pause at
 * its start weighs little then.
 */
constexpr double watchedShare = 0.5;
constexpr Duration minWatchedTime = 150ms; ///< the same for short runs
/** \brief Share of the expected run time without one percentage point of progress, after which a
 * run has stalled; at this rate it would take 30 times as long as expected.
 */
constexpr double stalledShare = 0.3;
constexpr Duration minStalledTime = 200ms; ///< the same for short runs; pauses of a process
/** \brief Time until a run that is stopped here starts elsewhere: the stop, the list that confirms
 * it, and the messages to another owner.
 */
constexpr Duration restartTime = 120ms;
/** \brief Time after the deadline in which coordinators still send answers. */
constexpr Duration answerGracePeriod = 250ms;
/** \brief Share of the forecast remaining time by which a run may end earlier than forecast. */
constexpr double forecastError = 0.1;

static bool isWatchedLongEnough(const RunForecast &forecast, Duration expectedRunTime)
{
    const Duration needed
        = std::max(minWatchedTime, fromSeconds(watchedShare * toSeconds(expectedRunTime)));
    return forecast.shortestRunTime() && forecast.elapsed() >= needed;
}

/** \returns the expected run time elsewhere. The time of a task that is long by itself follows from
 * its progress here, that of others from the estimate, which is less certain.
 */
static Duration cautiousTimeElsewhere(const AssessedRun &run)
{
    if (run.isTargetSlow)
        return fromSeconds(deadlineMargin * toSeconds(run.expectedElsewhere));
    const Duration likely = run.forecast.likelyRunTime().value_or(run.expectedRunTime);
    return fromSeconds((1 + forecastError) * run.slownessElsewhere.value_or(1) * toSeconds(likely));
}

/** \returns whether \a run, which can't end in time on its slow target, may do so on a target of
 * another owner. Of those only the coordinator knows, so a usual one is assumed.
 */
static bool canEndAtOtherOwner(const AssessedRun &run, TimePoint now)
{
    if (!run.isTargetSlow || run.slownessElsewhere)
        return false;
    const double usualTime = toSeconds(run.expectedRunTime) / run.slownessHere;
    return now + restartTime + fromSeconds(deadlineMargin * usualTime) <= run.bounds.deadlineAt;
}

} // namespace internal

const char *toString(RunVerdict verdict)
{
    switch (verdict) {
    case RunVerdict::RunElsewhere:
        return "run-elsewhere";
    case RunVerdict::GiveUp:
        return "give-up";
    case RunVerdict::Continue:
        break;
    }
    return "continue";
}

RunPace paceOf(Duration runTime, Duration expectedRunTime)
{
    const auto bound = [&](double factor) {
        return fromSeconds(factor * toSeconds(expectedRunTime)) + internal::slowPaceSlack;
    };
    if (runTime > bound(internal::slowPace))
        return RunPace::Slow;
    return runTime <= bound(internal::usualPace) ? RunPace::Usual : RunPace::Unknown;
}

RunPace paceOf(const RunForecast &forecast, Duration expectedRunTime)
{
    if (!internal::isWatchedLongEnough(forecast, expectedRunTime))
        return RunPace::Unknown;
    if (paceOf(*forecast.shortestRunTime(), expectedRunTime) == RunPace::Slow)
        return RunPace::Slow;
    const bool isUsual = paceOf(*forecast.likelyRunTime(), expectedRunTime) == RunPace::Usual;
    return isUsual ? RunPace::Usual : RunPace::Unknown;
}

bool hasStalled(const RunForecast &forecast, Duration expectedRunTime)
{
    const Duration bound = std::max(
        internal::minStalledTime, fromSeconds(internal::stalledShare * toSeconds(expectedRunTime)));
    constexpr std::uint32_t almostDone = 99; // the last point takes up to the next list to show
    return forecast.percent() < almostDone && forecast.timeWithoutProgress() >= bound;
}

// A task that is long by itself takes as long elsewhere, so it is moved only if it can't end in
// time here but can on a faster target. A run on a slow target is moved if that saves time.
RunVerdict assess(const AssessedRun &run, TimePoint now)
{
    if (!internal::isWatchedLongEnough(run.forecast, run.expectedRunTime))
        return RunVerdict::Continue;
    const Duration elapsed = run.forecast.elapsed();
    const Duration remaining = *run.forecast.shortestRunTime() - elapsed;
    const TimePoint earliestEnd = run.startedAt + elapsed
        + fromSeconds((1 - internal::forecastError) * toSeconds(remaining));
    const bool canEndHere = earliestEnd <= run.bounds.deadlineAt + internal::answerGracePeriod;
    const TimePoint endElsewhere
        = now + internal::restartTime + internal::cautiousTimeElsewhere(run);
    const bool canEndElsewhere
        = run.slownessElsewhere.has_value() && endElsewhere <= run.bounds.deadlineAt;
    if (canEndHere)
        return run.isTargetSlow && canEndElsewhere && endElsewhere < earliestEnd
            ? RunVerdict::RunElsewhere
            : RunVerdict::Continue;
    return canEndElsewhere || internal::canEndAtOtherOwner(run, now) ? RunVerdict::RunElsewhere
                                                                     : RunVerdict::GiveUp;
}

} // namespace Hibiscus
