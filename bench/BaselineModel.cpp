#include "bench/BaselineModel.h"

#include <algorithm>

namespace Hibiscus::Bench {

namespace {

const TimePoint modelStart = TimePoint(std::chrono::hours(24 * 365 * 50));
constexpr int maxRetries = 3;
constexpr Duration drainTime = 300s;

} // namespace

BaselineModel::BaselineModel(const Policy &policy, const Site &site, const WorkloadOptions &options,
                             const std::vector<WorkloadJob> &workload)
    : policy(policy), site(site), options(options), workload(workload), scheduler(modelStart),
      random(options.seed + 1), progress(workload.size()), nextTarget(site.entryCount)
{
    for (const double speed : targetSpeeds())
        this->targets.push_back({ .speed = speed });
    this->outstanding.assign(site.entryCount, std::vector<std::uint32_t>(this->targets.size()));
}

RunResult BaselineModel::run()
{
    for (std::size_t i = 0; i < this->workload.size(); ++i)
        this->scheduler.after(this->workload[i].arrival, [this, i] { this->arrive(i); });
    this->scheduler.after(this->options.length / 3, [this] { this->injectDisturbance(); });
    this->scheduler.runUntil(modelStart + this->options.length + drainTime);
    return std::move(this->result);
}

void BaselineModel::injectDisturbance()
{
    if (this->options.disturbance == Disturbance::FailingTargets)
        for (const std::size_t target : { 15U, 31U })
            this->targets[target].fails = true;
    if (this->options.disturbance == Disturbance::Stragglers)
        for (const std::size_t target : { 14U, 30U, 46U })
            this->targets[target].speed /= 10;
}

void BaselineModel::arrive(std::size_t job)
{
    this->progress[job].unfinished = this->workload[job].seconds.size();
    this->scheduler.after(callerLatency + this->journalTime(job),
                          [this, job] { this->dispatch(job); });
    if (this->workload[job].isCancelled)
        this->scheduler.after(callerLatency + 200ms, [this, job] {
            if (!this->progress[job].isAnswered)
                this->endJob(job, JobState::Failed, JobReason::Cancelled);
        });
}

void BaselineModel::dispatch(std::size_t job)
{
    for (std::size_t task = 0; task < this->workload[job].seconds.size(); ++task)
        this->send({ .job = job, .task = task });
}

void BaselineModel::send(const Attempt &attempt)
{
    const std::size_t entry = this->workload[attempt.job].entry;
    const std::size_t target = this->selectTarget(entry);
    ++this->outstanding[entry][target];
    ++this->result.usefulMessages;
    this->scheduler.after(this->latency(entry, target), [this, target, attempt] {
        this->targets[target].queue.push_back(attempt);
        this->serve(target);
    });
}

void BaselineModel::serve(std::size_t index)
{
    TargetState &target = this->targets[index];
    while (target.running < slotsPerTarget && !target.queue.empty()) {
        const Attempt attempt = target.queue.front();
        target.queue.pop_front();
        ++target.running;
        const double seconds = this->workload[attempt.job].seconds[attempt.task] / target.speed;
        const Duration runTime = target.fails ? Duration(1ms) : fromSeconds(seconds);
        this->scheduler.after(runTime, [this, index, attempt] { this->finish(index, attempt); });
    }
}

void BaselineModel::finish(std::size_t index, const Attempt &attempt)
{
    --this->targets[index].running;
    const bool failed = this->targets[index].fails;
    this->serve(index);
    ++this->result.usefulMessages;
    const Duration delay = this->latency(this->workload[attempt.job].entry, index);
    const TimePoint now = this->scheduler.now();
    const bool isMeasured = now >= modelStart + warmUp && now < modelStart + this->options.length;
    if (!failed) {
        ++this->result.tasksDone;
        if (isMeasured)
            this->result.workDone += this->workload[attempt.job].seconds[attempt.task];
    }
    this->scheduler.after(
        delay, [this, index, attempt, failed] { this->receive(index, attempt, failed); });
}

void BaselineModel::receive(std::size_t target, const Attempt &attempt, bool failed)
{
    const WorkloadJob &job = this->workload[attempt.job];
    JobProgress &state = this->progress[attempt.job];
    --this->outstanding[job.entry][target];
    if (failed)
        this->result.wastedMessages["failed-start"] += 2;
    if (state.isAnswered)
        return;
    if (failed && job.isRepeatable && attempt.retries < maxRetries) {
        this->send({ .job = attempt.job, .task = attempt.task, .retries = attempt.retries + 1 });
        return;
    }
    state.hasFailed = state.hasFailed || failed;
    if (--state.unfinished > 0)
        return;
    const bool complete = !state.hasFailed;
    this->scheduler.after(this->journalTime(attempt.job), [this, attempt, complete] {
        if (!this->progress[attempt.job].isAnswered)
            this->endJob(attempt.job, complete ? JobState::Complete : JobState::Failed,
                         complete ? JobReason::None : JobReason::TaskFailed);
    });
}

void BaselineModel::endJob(std::size_t job, JobState state, JobReason reason)
{
    this->progress[job].isAnswered = true;
    const TimePoint arrival = modelStart + this->workload[job].arrival;
    this->result.jobs.push_back({ .job = job,
                                  .state = state,
                                  .reason = reason,
                                  .response = this->scheduler.now() + callerLatency - arrival });
}

std::size_t BaselineModel::selectTarget(std::size_t entry)
{
    std::uniform_int_distribution<std::size_t> any(0, this->targets.size() - 1);
    const std::vector<std::uint32_t> &busy = this->outstanding[entry];
    return std::visit(Overloaded {
                          [&](const RandomPolicy &) { return any(this->random); },
                          [&](const RoundRobinPolicy &) {
                              return this->nextTarget[entry]++ % this->targets.size();
                          },
                          [&](const LeastOutstandingPolicy &) {
                              const std::size_t first = any(this->random);
                              std::size_t best = first;
                              for (std::size_t i = 0; i < busy.size(); ++i) {
                                  const std::size_t target = (first + i) % busy.size();
                                  if (busy[target] < busy[best])
                                      best = target;
                              }
                              return best;
                          },
                          [&](const TwoChoicesPolicy &) {
                              const std::size_t one = any(this->random);
                              const std::size_t two = any(this->random);
                              return busy[one] <= busy[two] ? one : two;
                          },
                          [&](const auto &) { return std::size_t(0); },
                      },
                      this->policy);
}

Duration BaselineModel::latency(std::size_t entry, std::size_t target) const
{
    const bool isNear = entry % domainCount == target / targetsPerDomain;
    return isNear ? intraDomainLatency : this->site.interDomainLatency;
}

// The baselines spend the same time on journal records as the dispatcher: at the start and at the
// end of a job.
Duration BaselineModel::journalTime(std::size_t job) const
{
    return this->workload[job].isRepeatable ? Duration(0us) : syncTime + 2 * intraDomainLatency;
}

} // namespace Hibiscus::Bench
