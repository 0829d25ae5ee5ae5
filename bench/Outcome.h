#pragma once

#include "bench/Workload.h"

#include <map>
#include <string>

namespace Hibiscus::Bench {

/** \brief What became of a job in a run. */
struct JobResult
{
    std::size_t job = 0; ///< index in the workload
    JobState state = JobState::Unknown;
    JobReason reason = JobReason::None;
    Duration response;
};

/** \brief What a run of a policy over a workload gave. */
struct RunResult
{
    std::vector<JobResult> jobs;
    std::map<std::string, std::uint64_t> wasted; ///< messages that moved no task forward, by kind
    std::map<std::string, std::uint64_t> standing; ///< messages that do not depend on the load
    std::uint64_t usefulMessages = 0;
    std::uint64_t tasksDone = 0;
    std::uint64_t startsAtFailing = 0; ///< after the first second of the trouble
    std::uint64_t startsInTrouble = 0; ///< at any target, over the same time
    double workDone = 0; ///< in seconds at speed 1, within the measured time
};

/** \brief The figures of a run. */
struct Figures
{
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    double wideP50 = 0; ///< jobs of more than 60 tasks
    double wideP99 = 0;
    double wasted = 0; ///< messages a task
    double standing = 0; ///< messages a task
    double goodput = 0; ///< share of the capacity
    double fairness = 0; ///< Jain's index over the teams' mean response / ideal
    double refusalP99 = 0; ///< in milliseconds
    double failingShare = 0; ///< of the starts
    std::map<std::string, std::uint64_t> outcomes;
    std::map<std::string, double> wastedByKind; ///< messages a task
};

/** \brief Jobs that arrive before this are left out: speeds are not learned yet. */
constexpr Duration warmUp = 10s;

/** \returns the figures of \a result over \a workload. */
Figures summarise(const std::vector<WorkloadJob> &workload, const RunResult &result,
                  Duration length, std::uint32_t teams);

} // namespace Hibiscus::Bench
