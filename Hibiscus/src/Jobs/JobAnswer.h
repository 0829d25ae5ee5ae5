#pragma once

#include <Hibiscus/Core>

#include <string>
#include <vector>

namespace Hibiscus {

/** \brief Whether a task ran, as far as the system can determine. */
enum class TaskFate : std::uint8_t {
    NotRun, ///< did not run and never will under this job id
    Ran, ///< ran to its end; see TaskOutcome::succeeded
    MayHaveRun ///< may have been started; this cannot be determined
};

/** \brief The outcome of one task. */
struct TaskOutcome
{
    TaskFate fate = TaskFate::MayHaveRun;
    bool succeeded = false;
    std::string result; ///< response of the target, or the reason for its absence

    auto operator<=>(const TaskOutcome &other) const = default;
    HIBISCUS_FIELDS(fate, succeeded, result)
};

/** \brief Final state of a job. */
enum class JobState : std::uint8_t {
    Complete, ///< every task ran and succeeded
    Failed, ///< at least one task did not succeed
    Refused, ///< not accepted; no task of this request was started
    Unknown ///< the journal of the job's home could not be reached
};

/** \brief Reason why a job is not complete. */
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

/** \returns the name of \a reason in the interface for callers. */
const char *toString(JobReason reason);
/** \returns the name of \a state in the interface for callers. */
const char *toString(JobState state);
/** \returns the name of \a fate in the interface for callers. */
const char *toString(TaskFate fate);

/** \brief The complete answer to a job, with one outcome per task in the order of the request. */
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
