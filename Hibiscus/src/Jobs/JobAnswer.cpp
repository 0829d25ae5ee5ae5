#include "Hibiscus/src/Jobs/JobAnswer.h"

namespace Hibiscus {

const char *toString(JobReason reason)
{
    switch (reason) {
    case JobReason::None:
        return "none";
    case JobReason::TaskFailed:
        return "task-failed";
    case JobReason::DeadlinePassed:
        return "deadline-passed";
    case JobReason::Cancelled:
        return "cancelled";
    case JobReason::CoordinatorLost:
        return "coordinator-lost";
    case JobReason::Overloaded:
        return "overloaded";
    case JobReason::QuotaExceeded:
        return "quota-exceeded";
    case JobReason::ServiceRefused:
        return "service-refused";
    case JobReason::CannotRun:
        return "cannot-run";
    case JobReason::Draining:
        return "draining";
    case JobReason::HomeUnreachable:
        return "home-unreachable";
    case JobReason::ContentDiffers:
        return "content-differs";
    case JobReason::IdExpired:
        return "id-expired";
    case JobReason::IdFromUnknownPast:
        return "id-from-unknown-past";
    }
    return "unknown";
}

const char *toString(JobState state)
{
    switch (state) {
    case JobState::Complete:
        return "complete";
    case JobState::Failed:
        return "failed";
    case JobState::Refused:
        return "refused";
    case JobState::Unknown:
        return "unknown";
    }
    return "unknown";
}

const char *toString(TaskFate fate)
{
    switch (fate) {
    case TaskFate::NotRun:
        return "not-run";
    case TaskFate::Ran:
        return "ran";
    case TaskFate::MayHaveRun:
        return "may-have-run";
    }
    return "unknown";
}

JobAnswer JobAnswer::uniform(JobState state, JobReason reason, std::size_t taskCount, TaskFate fate)
{
    JobAnswer answer;
    answer.state = state;
    answer.reason = reason;
    answer.tasks.assign(taskCount, TaskOutcome { .fate = fate, .succeeded = false, .result = {} });
    return answer;
}

} // namespace Hibiscus
