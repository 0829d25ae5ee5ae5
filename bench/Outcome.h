#pragma once

#include "bench/Workload.h"

#include <map>
#include <string>

namespace Hibiscus::Bench {

/** \brief Outcome of a job in a run. */
struct JobResult
{
    std::size_t job = 0; ///< index in the workload
    JobState state = JobState::Unknown;
    JobReason reason = JobReason::None;
    Duration response; ///< time from the submission to the answer
};

/** \brief Result of a run of a policy over a workload. */
struct RunResult
{
    std::vector<JobResult> jobs;
    std::map<std::string, std::uint64_t> wastedMessages; ///< without progress of a task, by kind
    std::map<std::string, std::uint64_t> backgroundMessages; ///< independent of the load, by kind
    std::uint64_t usefulMessages = 0;
    std::uint64_t tasksDone = 0;
    std::uint64_t startsAtFailingTargets = 0; ///< later than 1 s after the disturbance began
    std::uint64_t startsAfterDisturbance = 0; ///< at any target, in the same period
    double workDone = 0; ///< seconds of task time at speed 1, within the measured period
};

/** \brief Figures computed from a run. Response times are relative to idealTime(). */
struct Figures
{
    double p50 = 0; ///< median response / ideal time; likewise the other quantiles
    double p99 = 0;
    double p999 = 0;
    double wideP50 = 0; ///< jobs of more than 60 tasks
    double wideP99 = 0;
    double wastedPerTask = 0; ///< messages per task
    double backgroundPerTask = 0; ///< messages per task
    double goodput = 0; ///< work done as a share of the capacity
    double fairness = 0; ///< Jain's index over the teams' mean response / ideal
    double refusalP99 = 0; ///< response time of refused jobs in milliseconds
    double failingTargetShare = 0; ///< share of the starts that went to failing targets
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, double> wastedPerTaskByKind; ///< messages per task
};

/** \brief Jobs that arrive earlier are not measured, since target speeds are not learned yet. */
constexpr Duration warmUp = 10s;

/** \returns the figures of \a result over \a workload. */
Figures summarise(const std::vector<WorkloadJob> &workload, const RunResult &result,
                  Duration length, std::uint32_t teams);

} // namespace Hibiscus::Bench
