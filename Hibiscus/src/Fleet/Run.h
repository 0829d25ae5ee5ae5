#pragma once

#include "Hibiscus/src/Fleet/TransientJob.h"

namespace Hibiscus {

/** \brief One attempt at one task of a job. */
struct RunName
{
    std::string job;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::uint64_t attempt = 0; ///< counts the starts of the task from 1

    /** \returns whether \a other is an attempt at the same task. */
    bool isSameTask(const RunName &other) const
    {
        return this->job == other.job && this->step == other.step && this->index == other.index;
    }

    auto operator<=>(const RunName &other) const = default;
    HIBISCUS_FIELDS(job, step, index, attempt)
};

/** \brief A coordinator asks an owner to run a task on one of its targets.
 *
 * Times are spans, since the clocks of two nodes may differ.
 */
struct RunRequest
{
    RunName run;
    ServiceName service;
    std::string spec;
    Capacity demand;
    Duration estimate {};
    Duration untilObjective {}; ///< until the job misses its latency objective
    Duration untilDeadline {}; ///< until nobody waits for the job any more
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::string requiredLabel;
    std::uint32_t maxPerTarget = 0;

    auto operator<=>(const RunRequest &other) const = default;
    HIBISCUS_FIELDS(run, service, spec, demand, estimate, untilObjective, untilDeadline, priority,
                    requiredLabel, maxPerTarget)
};

/** \brief How a run ended. */
enum class RunEndKind : std::uint8_t {
    Completed,
    Failed, ///< the task ran and failed
    NotStarted, ///< it never ran and never will
    Returned, ///< it never ran: it waited for room here, and another owner has some
    TooLate, ///< it never ran: it could not have ended by its deadline
    Superseded, ///< it never ran: the target has seen a later attempt of the task
    Stopped, ///< on request
    Lost, ///< the target ended it: its lease lapsed, or the target's life is over
    Unknown ///< the owner does not know the run: an earlier life of it may have started the run
};

/** \returns the name of \a kind for logs. */
const char *toString(RunEndKind kind);

/** \brief The end of a run, told by the owner of its target. */
struct RunEnd
{
    RunName run;
    RunEndKind kind = RunEndKind::NotStarted;
    /** \brief How long it took, over the slowness of its target; 0 unless it completed. */
    Duration runTime {};

    auto operator<=>(const RunEnd &other) const = default;
    HIBISCUS_FIELDS(run, kind, runTime)
};

} // namespace Hibiscus
