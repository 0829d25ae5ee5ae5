#include "Hibiscus/src/Shortage/JobAdmission.h"

#include <algorithm>

namespace Hibiscus {

// The tasks that have no room yet start as running ones end, after the work that comes first.
Duration expectedWait(const JobDemand &demand, const RoomForecast &room)
{
    const std::int64_t missing = demand.readyTasks - std::max<std::int64_t>(room.freeTasks, 0);
    if (missing <= 0)
        return {};
    const auto total = static_cast<double>(std::max<std::int64_t>(room.totalTasks, 1));
    const double ends = static_cast<double>(missing) / total * toSeconds(room.meanRunTime);
    return room.queueAhead + fromSeconds(ends);
}

// A queue that stands makes each job that is admitted late; wide jobs, all of whose tasks have to
// start, most of all. The waits of the priorities differ, so each keeps its own time.
AdmissionDecision JobAdmission::decide(const JobDemand &demand, const RoomForecast &room,
                                       TimePoint now)
{
    const Duration spare = std::max(Duration(), demand.untilObjective - demand.usual);
    AdmissionDecision decision
        = { .expectedWait = expectedWait(demand, room),
            .allowedWait = fromSeconds(this->options.maxWaitShare * toSeconds(spare)),
            .freeTasks = room.freeTasks,
            .reportAge = room.age };
    if (demand.shortest > demand.untilDeadline) {
        decision.verdict = AdmissionVerdict::TooLong;
        return decision;
    }
    const bool isLong = decision.expectedWait > decision.allowedWait;
    const Queue queue = { .service = demand.service, .priority = demand.priority };
    const bool isStanding = this->isStanding(queue, room, now);
    const bool isTooLate = decision.expectedWait + demand.shortest > demand.untilDeadline;
    if (isTooLate || (isLong && isStanding))
        decision.verdict = AdmissionVerdict::Overloaded;
    return decision;
}

bool JobAdmission::isStanding(const Queue &queue, const RoomForecast &room, TimePoint now)
{
    if (room.queueAhead <= this->options.emptyQueueDelay) {
        this->standsSince.erase(queue);
        return false;
    }
    const TimePoint since = this->standsSince.try_emplace(queue, now).first->second;
    return now >= since + this->options.standingTime;
}

} // namespace Hibiscus
