#pragma once

#include "Hibiscus/src/Fleet/TransientJob.h"

namespace Hibiscus {

/** \brief Identifies one attempt at one task of a job. */
struct RunName
{
    std::string job;
    std::uint32_t step = 0; ///< position of the step in the job
    std::uint32_t index = 0; ///< position of the task in the step
    std::uint64_t attempt = 0; ///< counts the starts of the task from 1

    /** \returns whether \a other is an attempt at the same task. */
    bool isSameTask(const RunName &other) const
    {
        return this->job == other.job && this->step == other.step && this->index == other.index;
    }

    auto operator<=>(const RunName &other) const = default;
    HIBISCUS_FIELDS(job, step, index, attempt)
};

/** \brief Request of a coordinator that an owner runs a task on one of its targets.
 *
 * Times are durations, since the clocks of two nodes may differ.
 */
struct RunRequest
{
    RunName run;
    ServiceName service;
    SharedText spec; ///< in messages, it is in FleetMessage::specs
    Capacity demand;
    Duration estimate {}; ///< predicted run time on a target of average speed
    Duration untilObjective {}; ///< time left until the job misses its latency objective
    Duration untilDeadline {}; ///< time left until the caller stops waiting
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::string requiredLabel;
    std::uint32_t maxPerTarget = 0;

    auto operator<=>(const RunRequest &other) const = default;
    HIBISCUS_FIELDS(run, service, demand, estimate, untilObjective, untilDeadline, priority,
                    requiredLabel, maxPerTarget)
};

/** \brief Time after which a start that was not answered has no effect any more: platforms execute
 * orders up to 12 s late, and the lease that the run then gets ends within 1 s.
 */
constexpr Duration maxStartLateness = 13s;

/** \brief End state of a run. */
enum class RunEndKind : std::uint8_t {
    Completed,
    Failed, ///< the task ran and failed
    NotStarted, ///< it has not run and never will
    Returned, ///< it never ran: it was queued, and another owner has free capacity
    TooLate, ///< it never ran: it could not have met its deadline
    /** \brief It never ran: the target has seen a later attempt of the task, or the owner holds a
     * run of its name for another requester.
     */
    Superseded,
    Stopped, ///< on request
    Lost, ///< the target ended it: the lease expired, or the target restarted
    /** \brief The owner lost the target after the run had begun: it may go on until its lease ends,
     * but can't begin any more.
     */
    Unknown,
    Hopeless, ///< stopped, since its progress showed that it could not meet its deadline
    /** \brief The owner lost the target, which may still execute the start, for longer than the job
     * can wait.
     */
    StartPending
};

/** \returns the name of \a kind for logs. */
const char *toString(RunEndKind kind);

/** \brief Observation from which an owner concludes that a run has ended. */
enum class RunEndEvidence : std::uint8_t {
    StartResponse, ///< the target refused the start
    ListedAsEnded, ///< a poll response listed it as ended
    NotListed, ///< a poll response listed it neither as running nor as ended
    StopConfirmed, ///< the target confirmed its stop and did not list it afterwards
    TargetEnded, ///< its target has restarted, or has announced its shutdown
    TargetRemoved, ///< this node no longer owns its target
    TargetFenced, ///< its target has accepted a higher fencing token than that of the start
    StartExpired ///< the target has not executed the start for maxStartLateness
};

/** \returns the name of \a evidence for logs. */
const char *toString(RunEndEvidence evidence);

/** \brief End of a run, as the owner of its target reports it. */
struct RunEnd
{
    RunName run;
    RunEndKind kind = RunEndKind::NotStarted;
    /** \brief Run time divided by the slowness of its target, if it completed. If it was stopped to
     * run elsewhere, a forecast of it, or 0 if there is none; 0 otherwise.
     */
    Duration runTime {};

    auto operator<=>(const RunEnd &other) const = default;
    HIBISCUS_FIELDS(run, kind, runTime)
};

} // namespace Hibiscus
