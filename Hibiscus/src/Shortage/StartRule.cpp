#include "Hibiscus/src/Shortage/StartRule.h"

namespace Hibiscus {

StartPosition PriorityOrder::positionOf(const WaitingTask &task, TimePoint now) const
{
    return { .isPastObjective = task.objectiveAt < now,
             .priority = task.priority,
             .time = task.objectiveAt };
}

// A task that misses its objective anyway leaves the room to those that can still meet theirs. Work
// has been spent on the jobs of repeated tasks, so they go before others that are late.
StartPosition LatestStartOrder::positionOf(const WaitingTask &task, TimePoint now) const
{
    const TimePoint latestStart = task.objectiveAt - task.expectedRunTime;
    if (latestStart < now - task.expectedRunTime / 2)
        return { .isPastObjective = true,
                 .canWait = true,
                 .priority = task.priority,
                 .isFirstAttempt = !task.isRepeated,
                 .time = task.objectiveAt };
    return { .canWait = now < latestStart, .priority = task.priority, .time = latestStart };
}

StartPosition positionOf(const StartRule &rule, const WaitingTask &task, TimePoint now)
{
    return std::visit([&](const auto &kind) { return kind.positionOf(task, now); }, rule);
}

} // namespace Hibiscus
