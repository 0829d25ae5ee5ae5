#include "Hibiscus/src/Process/FleetLog.h"

#include <Hibiscus/Telemetry>

namespace Hibiscus {

namespace internal {

// Together with the lines of the job's coordinator these lines tell which observation a task was
// given away for, and when its next attempt began.
static void logAttempt(const AttemptRecord &attempt)
{
    if (!attempt.end) {
        logEvent("run-repeated",
                 { { "job", attempt.run.job },
                   { "step", std::to_string(attempt.run.step) },
                   { "task", std::to_string(attempt.run.index) },
                   { "attempt", std::to_string(attempt.run.attempt) },
                   { "coordinator", attempt.requester.str() },
                   { "target", attempt.target.str() },
                   { "life", std::to_string(attempt.incarnation) },
                   { "fencing_token", std::to_string(attempt.fencingToken) } });
        return;
    }
    logEvent("run-not-completed",
             { { "job", attempt.run.job },
               { "step", std::to_string(attempt.run.step) },
               { "task", std::to_string(attempt.run.index) },
               { "attempt", std::to_string(attempt.run.attempt) },
               { "coordinator", attempt.requester.str() },
               { "target", attempt.target.str() },
               { "life", std::to_string(attempt.incarnation) },
               { "fencing_token", std::to_string(attempt.fencingToken) },
               { "end", toString(attempt.end->kind) },
               { "evidence", toString(attempt.end->evidence) },
               { "since_start_ms", std::to_string(toMilliseconds(attempt.sinceStart)) },
               { "contact_age_ms", std::to_string(toMilliseconds(attempt.end->contactAge)) } });
}

static void logForecast(const ForecastRecord &record)
{
    const auto milliseconds
        = [](Duration duration) { return std::to_string(toMilliseconds(duration)); };
    logEvent("run-forecast",
             { { "verdict", toString(record.verdict) },
               { "job", record.run.job },
               { "step", std::to_string(record.run.step) },
               { "task", std::to_string(record.run.index) },
               { "attempt", std::to_string(record.run.attempt) },
               { "target", record.target.str() },
               { "is_target_slow", record.isTargetSlow ? "true" : "false" },
               { "percent", std::to_string(record.percent) },
               { "elapsed_ms", milliseconds(record.elapsed) },
               { "list_age_ms", milliseconds(record.listAge) },
               { "expected_ms", milliseconds(record.expectedRunTime) },
               { "forecast_ms", milliseconds(record.forecastRunTime) },
               { "until_deadline_ms", milliseconds(record.untilDeadline) } });
}

// Anybody can announce targets that don't exist, which costs a line for each.
static void logTargets(const FleetOutbox &out, LineLimit &unansweredLines, TimePoint now)
{
    for (const TargetChange &change : out.targetChanges) {
        if (!change.isKnownToExist && !unansweredLines.take(now))
            continue;
        const std::uint64_t omitted = change.isKnownToExist ? 0 : unansweredLines.takeOmitted();
        logEvent("target-" + change.change,
                 { { "target", change.target.str() },
                   { "life", std::to_string(change.incarnation) },
                   { "fencing_token", std::to_string(change.fencingToken) },
                   { "omitted", std::to_string(omitted) } });
    }
    for (const TargetStateRecord &record : out.targetStates)
        logEvent("target-" + record.event,
                 { { "target", record.target.str() },
                   { "life", std::to_string(record.incarnation) },
                   { "sequence", std::to_string(record.sequence) },
                   { "state", toString(record.state) },
                   { "peer", record.peer.str() },
                   { "outcome", record.outcome } });
}

} // namespace internal

void logDecisions(const FleetOutbox &out, LineLimit &unansweredLines, TimePoint now)
{
    internal::logTargets(out, unansweredLines, now);
    for (const UnsuccessfulRun &run : out.unsuccessfulRuns)
        logEvent("run-ended",
                 { { "job", run.end.run.job },
                   { "step", std::to_string(run.end.run.step) },
                   { "task", std::to_string(run.end.run.index) },
                   { "attempt", std::to_string(run.end.run.attempt) },
                   { "owner", run.owner.str() },
                   { "end", toString(run.end.kind) } });
    for (const AttemptRecord &attempt : out.attempts)
        internal::logAttempt(attempt);
    for (const ForecastRecord &forecast : out.forecasts)
        internal::logForecast(forecast);
    for (const ForeignRun &run : out.foreignRuns)
        logEvent("foreign-run-found",
                 { { "job", run.run.job },
                   { "step", std::to_string(run.run.step) },
                   { "task", std::to_string(run.run.index) },
                   { "attempt", std::to_string(run.run.attempt) },
                   { "target", run.target.str() },
                   { "life", std::to_string(run.incarnation) },
                   { "fencing_token", std::to_string(run.fencingToken) } });
    for (const FenceRecord &fence : out.fences)
        logEvent("peer-target-fenced",
                 { { "owner", fence.owner.str() },
                   { "target", fence.target.target.str() },
                   { "life", std::to_string(fence.target.incarnation) },
                   { "fencing_token", std::to_string(fence.target.fencingToken) },
                   { "cause", toString(fence.cause) },
                   { "verdict", toString(fence.status) },
                   { "since_cause_ms", std::to_string(toMilliseconds(fence.sinceCause)) } });
}

} // namespace Hibiscus
