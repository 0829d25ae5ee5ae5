#pragma once

#include <Hibiscus/Core>

#include <string>
#include <vector>

namespace Hibiscus {

/** \brief What is known of whether a task ran. */
enum class TaskFate : std::uint8_t {
    NotRun, ///< it did not run and never will under this job id
    Ran, ///< it ran to its end; see TaskOutcome::succeeded
    MayHaveRun ///< it may have been started; nobody can tell
};

/** \brief The outcome of one task. */
struct TaskOutcome
{
    TaskFate fate = TaskFate::MayHaveRun;
    bool succeeded = false;
    std::string result; ///< the target's answer, or why there is none

    auto operator<=>(const TaskOutcome &other) const = default;
    HIBISCUS_FIELDS(fate, succeeded, result)
};

/** \brief How a job ended. */
enum class JobState : std::uint8_t {
    Complete, ///< every task ran and succeeded
    Failed, ///< at least one task did not succeed
    Refused, ///< not accepted; nothing of this request was started
    Unknown ///< the home of the job could not be asked
};

/** \brief Why a job was not complete. */
enum class JobReason : std::uint8_t {
    None,
    TaskFailed,
    DeadlinePassed,
    Cancelled,
    CoordinatorLost,
    Overloaded,
    QuotaExceeded,
    ServiceRefused,
    CannotRun,
    Draining,
    HomeUnreachable,
    ContentDiffers,
    IdExpired,
    IdFromUnknownPast
};

/** \returns the name of \a reason as the interface for callers spells it. */
const char *toString(JobReason reason);
/** \returns the name of \a state as the interface for callers spells it. */
const char *toString(JobState state);
/** \returns the name of \a fate as the interface for callers spells it. */
const char *toString(TaskFate fate);

/** \brief The whole answer to a job, one outcome a task in the order of the request. */
struct JobAnswer
{
    JobState state = JobState::Unknown;
    JobReason reason = JobReason::None;
    std::vector<TaskOutcome> tasks;

    /** \returns an answer in which all \a taskCount tasks share \a fate. */
    static JobAnswer uniform(JobState state, JobReason reason, std::size_t taskCount,
                             TaskFate fate);

    auto operator<=>(const JobAnswer &other) const = default;
    HIBISCUS_FIELDS(state, reason, tasks)
};

} // namespace Hibiscus
