#include "Hibiscus/src/Dispatch/CoordinatedJob.h"

#include <algorithm>

namespace Hibiscus {

std::uint32_t CoordinatedJob::waitingTasks() const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->tasks, [](const CoordinatedTask &t) { return t.phase == TaskPhase::Waiting; }));
}

JobAnswer CoordinatedJob::currentAnswer() const
{
    JobAnswer answer;
    bool allSucceeded = true;
    for (const CoordinatedTask &task : this->tasks) {
        TaskOutcome outcome;
        if (task.phase == TaskPhase::Done)
            outcome = task.outcome;
        else if (task.phase == TaskPhase::Waiting)
            outcome.fate = TaskFate::NotRun;
        allSucceeded = allSucceeded && outcome.succeeded;
        answer.tasks.push_back(outcome);
    }
    answer.state = allSucceeded ? JobState::Complete : JobState::Failed;
    const JobReason failure
        = this->endReason == JobReason::None ? JobReason::TaskFailed : this->endReason;
    answer.reason = allSucceeded ? JobReason::None : failure;
    return answer;
}

} // namespace Hibiscus
