#pragma once

#include "bench/Policies.h"
#include "test/support/Scheduler.h"

#include <deque>

namespace Hibiscus::Bench {

/** \brief Model of entry VMs that send each task to a target at once; tasks queue at the targets.
 */
class BaselineModel
{
public:
    BaselineModel(const Policy &policy, const Site &site, const WorkloadOptions &options,
                  const std::vector<WorkloadJob> &workload);

    RunResult run();

private:
    struct Attempt
    {
        std::size_t job = 0;
        std::size_t task = 0;
        int retries = 0;
    };

    struct TargetState
    {
        double speed = 1;
        bool fails = false;
        std::uint32_t running = 0;
        std::deque<Attempt> queue;
    };

    struct JobProgress
    {
        std::size_t unfinished = 0;
        bool hasFailed = false;
        bool isAnswered = false;
    };

    void arrive(std::size_t job);
    void dispatch(std::size_t job);
    void send(const Attempt &attempt);
    void serve(std::size_t target);
    void finish(std::size_t target, const Attempt &attempt);
    void receive(std::size_t target, const Attempt &attempt, bool failed);
    void endJob(std::size_t job, JobState state, JobReason reason);
    void injectDisturbance();
    std::size_t selectTarget(std::size_t entry);
    Duration latency(std::size_t entry, std::size_t target) const;
    Duration journalTime(std::size_t job) const;

    Policy policy;
    Site site;
    WorkloadOptions options;
    const std::vector<WorkloadJob> &workload;
    Fake::Scheduler scheduler;
    std::mt19937_64 random;
    std::vector<TargetState> targets;
    std::vector<JobProgress> progress;
    std::vector<std::vector<std::uint32_t>> outstanding; ///< tasks, by entry and target
    std::vector<std::size_t> nextTarget; ///< round-robin position, by entry
    RunResult result;
};

} // namespace Hibiscus::Bench
