#include "bench/OmniscientModel.h"

#include "test/support/Scheduler.h"

#include <algorithm>
#include <set>

namespace Hibiscus::Bench {

namespace {

const TimePoint modelStart = TimePoint(std::chrono::hours(24 * 365 * 50));
constexpr Duration drainTime = 300s;
/** \brief Delay of a job in the queue for each of its waiting tasks, as in the dispatcher. */
constexpr double secondsPerWaitingTask = 0.02;

/** \brief Central queue, ordered by arrival and number of waiting tasks of the jobs; within a job
 * the longest task is first.
 */
class OmniscientModel
{
public:
    OmniscientModel(const WorkloadOptions &options, const std::vector<WorkloadJob> &workload)
        : options(options), workload(workload), scheduler(modelStart), waiting(workload.size()),
          unfinished(workload.size()), isAnswered(workload.size())
    {
        const std::vector<double> all = targetSpeeds();
        for (std::size_t target = 0; target < all.size(); ++target) {
            this->speeds.push_back(all[target]);
            this->freeSlots.push_back(slotsPerTarget);
        }
    }

    RunResult run()
    {
        for (std::size_t i = 0; i < this->workload.size(); ++i)
            this->scheduler.after(this->workload[i].arrival + callerLatency,
                                  [this, i] { this->arrive(i); });
        this->scheduler.after(this->options.length / 3, [this] { this->injectDisturbance(); });
        this->scheduler.runUntil(modelStart + this->options.length + drainTime);
        return std::move(this->result);
    }

private:
    void injectDisturbance()
    {
        // The omniscient policy knows which targets fail and does not use them.
        if (this->options.disturbance == Disturbance::FailingTargets)
            for (const std::size_t target : { 15U, 31U })
                this->speeds[target] = 0;
        if (this->options.disturbance == Disturbance::Stragglers)
            for (const std::size_t target : { 14U, 30U, 46U })
                this->speeds[target] /= 10;
    }

    void arrive(std::size_t job)
    {
        const std::vector<double> &seconds = this->workload[job].seconds;
        this->unfinished[job] = seconds.size();
        this->waiting[job] = seconds;
        std::ranges::sort(this->waiting[job]);
        this->enqueue(job);
        this->serve();
        if (this->workload[job].isCancelled)
            this->scheduler.after(200ms, [this, job] { this->cancel(job); });
    }

    void cancel(std::size_t job)
    {
        if (this->isAnswered[job])
            return;
        this->queue.erase({ this->urgencyOf(job), job });
        this->waiting[job].clear();
        this->endJob(job, JobState::Failed, JobReason::Cancelled);
    }

    double urgencyOf(std::size_t job) const
    {
        return toSeconds(this->workload[job].arrival)
            + secondsPerWaitingTask * static_cast<double>(this->waiting[job].size());
    }

    void enqueue(std::size_t job) { this->queue.insert({ this->urgencyOf(job), job }); }

    void serve()
    {
        while (!this->queue.empty()) {
            std::size_t best = this->speeds.size();
            for (std::size_t i = 0; i < this->speeds.size(); ++i) {
                const bool isFree = this->freeSlots[i] > 0 && this->speeds[i] > 0;
                if (isFree && (best == this->speeds.size() || this->speeds[i] > this->speeds[best]))
                    best = i;
            }
            if (best == this->speeds.size())
                return;
            const std::size_t job = this->queue.begin()->second;
            this->queue.erase(this->queue.begin());
            const double seconds = this->waiting[job].back();
            this->waiting[job].pop_back();
            if (!this->waiting[job].empty())
                this->enqueue(job);
            --this->freeSlots[best];
            this->scheduler.after(fromSeconds(seconds / this->speeds[best]),
                                  [this, best, job, seconds] { this->finish(best, job, seconds); });
        }
    }

    void finish(std::size_t target, std::size_t job, double seconds)
    {
        ++this->freeSlots[target];
        ++this->result.tasksDone;
        const TimePoint now = this->scheduler.now();
        if (now >= modelStart + warmUp && now < modelStart + this->options.length)
            this->result.workDone += seconds;
        if (--this->unfinished[job] == 0 && !this->isAnswered[job])
            this->endJob(job, JobState::Complete, JobReason::None);
        this->serve();
    }

    void endJob(std::size_t job, JobState state, JobReason reason)
    {
        this->isAnswered[job] = true;
        const TimePoint arrival = modelStart + this->workload[job].arrival;
        this->result.jobs.push_back(
            { .job = job,
              .state = state,
              .reason = reason,
              .response = this->scheduler.now() + callerLatency - arrival });
    }

    WorkloadOptions options;
    const std::vector<WorkloadJob> &workload;
    Fake::Scheduler scheduler;
    std::vector<std::vector<double>> waiting; ///< task times by job, the longest last
    std::vector<std::size_t> unfinished;
    std::vector<bool> isAnswered;
    std::vector<double> speeds;
    std::vector<std::uint32_t> freeSlots;
    std::set<std::pair<double, std::size_t>> queue;
    RunResult result;
};

} // namespace

RunResult runOmniscient(const WorkloadOptions &options, const std::vector<WorkloadJob> &workload)
{
    return OmniscientModel(options, workload).run();
}

} // namespace Hibiscus::Bench
