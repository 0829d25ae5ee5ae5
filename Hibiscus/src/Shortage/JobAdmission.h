#pragma once

#include <Hibiscus/Core>

#include <algorithm>
#include <map>

namespace Hibiscus {

/** \brief What a job needs, and by when. */
struct JobDemand
{
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t readyTasks = 1; ///< tasks that could start at once
    Duration shortest {}; ///< expected duration on the fastest targets, without waiting
    Duration usual {}; ///< expected duration on targets of average speed, without waiting
    Duration untilObjective {};
    Duration untilDeadline {};

    auto operator<=>(const JobDemand &other) const = default;
};

/** \brief Room for the tasks of a job on the targets of its service, by the owners' reports. */
struct RoomForecast
{
    std::int64_t freeTasks = 0; ///< tasks that could start now, besides those that wait already
    std::int64_t totalTasks = 0; ///< tasks that run at once when nothing else does
    /** \brief Time in which all targets do the waiting work that comes before the job. */
    Duration queueAhead {};
    Duration meanRunTime {}; ///< of the tasks that run at present
    Duration age {}; ///< of the oldest report

    auto operator<=>(const RoomForecast &other) const = default;
};

/** \brief Decision on a job that has arrived. */
enum class AdmissionVerdict : std::uint8_t {
    Admitted,
    TooLong, ///< it takes longer than its deadline, on any target
    Overloaded ///< other work needs the room until it is too late
};

/** \brief Decision on a job, with what it was based on. */
struct AdmissionDecision
{
    AdmissionVerdict verdict = AdmissionVerdict::Admitted;
    Duration expectedWait {}; ///< time until all tasks that are ready have started
    Duration allowedWait {}; ///< longest wait with which it is admitted
    std::int64_t freeTasks = 0;
    Duration reportAge {};

    /** \returns the time after which it would be admitted. */
    Duration untilAdmission() const
    {
        return std::max(Duration(), this->expectedWait - this->allowedWait);
    }

    auto operator<=>(const AdmissionDecision &other) const = default;
};

/** \brief Limits of a JobAdmission. */
struct JobAdmissionOptions
{
    /** \brief Share of the time that a job can wait without missing its objective which it may be
     * expected to wait while there is a standing queue. The rest is for the slowest of its tasks
     * and for more urgent work that arrives meanwhile.
     */
    double maxWaitShare = 0.2;
    /** \brief A queue stands that was not empty for as long; a shorter burst is absorbed. */
    Duration standingTime = 500ms;
    Duration emptyQueueDelay = 10ms; ///< a queue with less work is as good as empty

    auto operator<=>(const JobAdmissionOptions &other) const = default;
};

/** \brief Admits jobs that are expected to end in time as a whole. */
class JobAdmission
{
public:
    explicit JobAdmission(const JobAdmissionOptions &options) : options(options) { }

    AdmissionDecision decide(const JobDemand &demand, const RoomForecast &room, TimePoint now);

private:
    struct Queue
    {
        ServiceName service;
        std::uint32_t priority = 0;

        auto operator<=>(const Queue &other) const = default;
    };

    bool isStanding(const Queue &queue, const RoomForecast &room, TimePoint now);

    JobAdmissionOptions options;
    std::map<Queue, TimePoint> standsSince; ///< time since which a queue was not empty
};

/** \returns the expected time until all ready tasks of a job have started. */
Duration expectedWait(const JobDemand &demand, const RoomForecast &room);

} // namespace Hibiscus
