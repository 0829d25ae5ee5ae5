#include "Hibiscus/src/Fleet/FleetCoordinator.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Hibiscus {

namespace internal {

/** \brief Delay before a task that was not started is assigned again, so that the owners' next
 * reports have arrived; two of their intervals.
 */
constexpr Duration reassignmentDelay = 20ms;
/** \brief Increment of the attempt number when the target has seen higher ones from another
 * coordinator of the same job.
 */
constexpr std::uint64_t attemptIncrement = 16;

static bool canEverRun(const OwnedTarget &target, const ServiceName &service, const JobStep &step)
{
    return target.matches(service, step.requiredLabel) && target.capacity.covers(step.demand);
}

/** \brief Requirements of a task, and the best fitness that any target offers. */
struct TaskRequirements
{
    ServiceName service;
    JobStep step;
    RunBounds bounds;
    Fitness bestFitness = Fitness::Infeasible; ///< best fitness over all owners
    double maxSlowness = 0; ///< slowness of the slowest target with the best fitness
};

static Fitness fitnessOf(const OwnedTarget &target, const TaskRequirements &requirements,
                         TimePoint now)
{
    return Hibiscus::fitnessOf(requirements.bounds,
                               target.expectedRunTime(requirements.step.estimate), now);
}

/** \brief Targets whose slowness is below this share of the slowest fit one's are reserved for
 * tasks that need them.
 */
constexpr double reservedSpeedRatio = 0.75;

/** \brief Number of tasks with one demand that fit on the targets of an owner. */
struct OwnerCapacity
{
    std::int64_t unreserved = 0; ///< now, on the fittest targets that are not reserved
    std::int64_t fittest = 0; ///< now, on the fittest targets
    std::int64_t feasible = 0; ///< now, on targets that can meet the deadline
    std::int64_t total = 0; ///< on the fittest targets when nothing runs
};

static OwnerCapacity capacityOf(const OwnerView &owner, const TaskRequirements &requirements,
                                TimePoint now)
{
    OwnerCapacity capacity;
    for (const OwnedTarget &target : owner.report.targets) {
        if (!target.acceptsWork || !canEverRun(target, requirements.service, requirements.step))
            continue;
        const Fitness fitness = fitnessOf(target, requirements, now);
        const std::int64_t free = target.free.countFitting(requirements.step.demand);
        if (fitness != Fitness::Infeasible)
            capacity.feasible += free;
        if (fitness != requirements.bestFitness)
            continue;
        capacity.fittest += free;
        capacity.total += target.capacity.countFitting(requirements.step.demand);
        if (fitness == Fitness::InTime
            && target.slowness >= reservedSpeedRatio * requirements.maxSlowness)
            capacity.unreserved += free;
    }
    return capacity;
}

/** \returns the rank of \a owner by the messages that a task costs there: none on this node, and
 * few where other tasks of its job run.
 */
static int messageCostRank(const OwnerView &owner, bool hasRunsOfJob)
{
    if (owner.distance == OwnerView::Distance::Self)
        return 0;
    if (owner.distance == OwnerView::Distance::SameDomain)
        return hasRunsOfJob ? 1 : 2;
    return hasRunsOfJob ? 3 : 4;
}

static void findBestFitness(TaskRequirements &requirements, const std::vector<OwnerView> &owners,
                            TimePoint now)
{
    for (const OwnerView &owner : owners)
        for (const OwnedTarget &target : owner.report.targets) {
            if (!target.acceptsWork || !canEverRun(target, requirements.service, requirements.step))
                continue;
            const Fitness fitness = fitnessOf(target, requirements, now);
            if (fitness > requirements.bestFitness)
                requirements.maxSlowness = 0;
            requirements.bestFitness = std::max(requirements.bestFitness, fitness);
            if (fitness == requirements.bestFitness)
                requirements.maxSlowness = std::max(requirements.maxSlowness, target.slowness);
        }
}

} // namespace internal

const char *toString(OutcomeReason reason)
{
    switch (reason) {
    case OutcomeReason::NoTargets:
        return "no-targets";
    case OutcomeReason::NeverFits:
        return "never-fits";
    case OutcomeReason::TooManyTasks:
        return "too-many-tasks";
    case OutcomeReason::Overloaded:
        return "overloaded";
    case OutcomeReason::Draining:
        return "draining";
    case OutcomeReason::TaskFailed:
        return "task-failed";
    case OutcomeReason::DeadlineExceeded:
        return "deadline-over";
    case OutcomeReason::OwnerLost:
        return "owner-lost";
    case OutcomeReason::TaskTooLong:
        return "task-too-long";
    case OutcomeReason::Cancelled:
        return "cancelled";
    case OutcomeReason::StartUncertain:
        return "start-uncertain";
    case OutcomeReason::None:
        break;
    }
    return "none";
}

const char *toString(JobHistory history)
{
    switch (history) {
    case JobHistory::InProgress:
        return "in-progress";
    case JobHistory::Answered:
        return "answered";
    case JobHistory::Cancelled:
        return "cancelled";
    case JobHistory::CallerLeft:
        return "caller-left";
    case JobHistory::Unknown:
        break;
    }
    return "unknown";
}

void FleetCoordinator::submit(const TransientJob &job, const RoutePolicy &policy,
                              std::uint64_t caller, const std::vector<OwnerView> &owners,
                              TimePoint now)
{
    const auto known = this->jobs.find(job.id);
    if (known != this->jobs.end() && !known->second.isFinished) {
        known->second.callerTokens.push_back(caller);
        this->jobOfCaller[caller] = job.id;
        return;
    }
    // The callers of a finished job have their answer already.
    if (known != this->jobs.end())
        this->removeFinishedJobs(now);
    if (const auto found = this->answeredJobs.find(job.id); found != this->answeredJobs.end()) {
        JobOutcome outcome = found->second.outcome;
        outcome.callerTokens = { caller };
        this->outcomes.push_back(outcome);
        return;
    }
    if (const auto reason = this->refusalReason(job, policy, owners, now)) {
        this->outcomes.push_back({ .job = job.id,
                                   .callerTokens = { caller },
                                   .status = TransientJobStatus::Refused,
                                   .reason = *reason,
                                   .retryAfter = this->retryAfter(policy, owners) });
        return;
    }
    Job added;
    added.definition = job;
    added.policy = policy;
    added.callerTokens = { caller };
    added.arrivedAt = now;
    added.bounds.objectiveAt = now + this->timeToObjective(job, policy);
    added.bounds.deadlineAt = now + policy.untilDeadline;
    if (this->shutdownAt)
        added.bounds.deadlineAt = std::min(added.bounds.deadlineAt, *this->shutdownAt);
    for (const JobStep &step : job.steps)
        added.tasks.emplace_back(step.taskCount);
    this->unblockTasks(added);
    this->jobOfCaller[caller] = job.id;
    this->jobs[job.id] = std::move(added);
}

void FleetCoordinator::removeCaller(std::uint64_t caller, TimePoint now)
{
    const auto callerEntry = this->jobOfCaller.find(caller);
    if (callerEntry == this->jobOfCaller.end())
        return;
    const auto found = this->jobs.find(callerEntry->second);
    this->jobOfCaller.erase(callerEntry);
    if (found == this->jobs.end())
        return;
    std::erase(found->second.callerTokens, caller);
    if (!found->second.callerTokens.empty())
        return;
    this->leftJobs[found->first] = now;
    this->recordAbandonedRuns(found->second);
    this->jobs.erase(found);
}

// A copy of the submission may still arrive, so the job is remembered also if it is unknown here.
bool FleetCoordinator::cancelJob(const std::string &job, TimePoint now)
{
    if (const auto found = this->answeredJobs.find(job); found != this->answeredJobs.end())
        return found->second.outcome.status == TransientJobStatus::Cancelled
            && found->second.wasInProgress;
    const auto found = this->jobs.find(job);
    if (found != this->jobs.end() && !found->second.isFinished) {
        this->finishJob(found->second, TransientJobStatus::Cancelled, OutcomeReason::Cancelled,
                        now);
        this->removeFinishedJobs(now);
        return true;
    }
    this->answeredJobs[job] = { .outcome = { .job = job,
                                             .status = TransientJobStatus::Cancelled,
                                             .reason = OutcomeReason::Cancelled },
                                .answeredAt = now,
                                .wasInProgress = false };
    return false;
}

JobHistory FleetCoordinator::historyOf(const std::string &job) const
{
    if (this->jobs.contains(job))
        return JobHistory::InProgress;
    if (const auto found = this->answeredJobs.find(job); found != this->answeredJobs.end())
        return found->second.outcome.status == TransientJobStatus::Cancelled ? JobHistory::Cancelled
                                                                             : JobHistory::Answered;
    return this->leftJobs.contains(job) ? JobHistory::CallerLeft : JobHistory::Unknown;
}

void FleetCoordinator::handleRunEnd(const NodeName &owner, const RunEnd &end, TimePoint now)
{
    const auto [found, assigned] = this->findAssigned(owner, end.run);
    if (assigned == nullptr)
        return;
    Job &job = *found;
    Task &task = *assigned;
    // A superseded run has not run itself, but a later attempt of its task may have.
    const bool neverRan = end.kind == RunEndKind::NotStarted || end.kind == RunEndKind::Returned
        || end.kind == RunEndKind::TooLate;
    job.hasRun = job.hasRun || !neverRan;
    if (end.kind != RunEndKind::Completed)
        this->unsuccessfulRuns.push_back({ .owner = owner, .end = end });
    switch (end.kind) {
    case RunEndKind::Completed:
        task.stage = Stage::Done;
        this->recordRunTime(job, end);
        this->unblockTasks(job);
        break;
    case RunEndKind::Failed:
        ++task.failures;
        if (task.failures >= job.policy.maxFailures)
            this->finishJob(job, TransientJobStatus::Failed, OutcomeReason::TaskFailed, now);
        else
            this->scheduleRetry(task, {}, now);
        break;
    case RunEndKind::Superseded:
        task.attempt += internal::attemptIncrement;
        this->scheduleRetry(task, internal::reassignmentDelay, now);
        break;
    case RunEndKind::NotStarted:
        this->scheduleRetry(task, internal::reassignmentDelay, now);
        break;
    case RunEndKind::TooLate:
        task.stage = Stage::Ready;
        this->abandonJob(job, OutcomeReason::Overloaded, now);
        break;
    case RunEndKind::Hopeless:
        task.stage = Stage::Ready;
        this->abandonJob(job, OutcomeReason::TaskTooLong, now);
        break;
    case RunEndKind::Stopped:
        task.forecast = end.runTime;
        this->scheduleRetry(task, {}, now);
        break;
    case RunEndKind::Returned:
    case RunEndKind::Lost:
        this->scheduleRetry(task, {}, now);
        break;
    case RunEndKind::Unknown:
        task.hasBegun = true;
        this->markUncertain(job, end.run.step, task, this->options.lostOwnerTimeout, now);
        break;
    case RunEndKind::StartPending:
        this->finishJob(job, TransientJobStatus::Unfinished, OutcomeReason::StartUncertain, now);
        break;
    }
    const auto isDone = [](const Task &t) { return t.stage == Stage::Done; };
    const bool isComplete = std::ranges::all_of(
        job.tasks, [&](const auto &tasks) { return std::ranges::all_of(tasks, isDone); });
    if (isComplete)
        this->finishJob(job, TransientJobStatus::Completed, OutcomeReason::None, now);
    else if (job.withdrawal && !job.isFinished)
        this->continueWithdrawal(job, now);
}

std::pair<FleetCoordinator::Job *, FleetCoordinator::Task *>
FleetCoordinator::findAssigned(const NodeName &owner, const RunName &run)
{
    const auto found = this->jobs.find(run.job);
    if (found == this->jobs.end() || found->second.isFinished)
        return {};
    Job &job = found->second;
    if (run.step >= job.tasks.size() || run.index >= job.tasks[run.step].size())
        return {};
    Task &task = job.tasks[run.step][run.index];
    const bool isCurrent
        = task.stage == Stage::Assigned && task.attempt == run.attempt && task.owner == owner;
    return isCurrent ? std::pair(&job, &task) : std::pair<Job *, Task *>();
}

void FleetCoordinator::handleBegun(const NodeName &owner, const RunName &run)
{
    if (const auto [job, task] = this->findAssigned(owner, run); task != nullptr)
        task->hasBegun = true;
}

void FleetCoordinator::handleStopping(const NodeName &owner, const RunName &run, TimePoint now)
{
    const auto [job, task] = this->findAssigned(owner, run);
    if (task == nullptr || !job->withdrawal)
        return;
    job->hasRun = true;
    this->continueWithdrawal(*job, now);
}

void FleetCoordinator::updateIncarnation(const NodeName &owner, std::uint64_t incarnation,
                                         TimePoint now)
{
    this->disownRuns(
        [&](const Task &task) {
            return task.owner == owner && task.ownerIncarnation != incarnation;
        },
        now);
}

void FleetCoordinator::disownRemoteRuns(const NodeName &self, TimePoint now)
{
    this->disownRuns([&](const Task &task) { return task.owner != self; }, now);
}

template<typename Matches>
void FleetCoordinator::disownRuns(const Matches &matches, TimePoint now)
{
    for (auto &[id, job] : this->jobs)
        for (std::uint32_t step = 0; step < job.tasks.size(); ++step)
            for (Task &task : job.tasks[step])
                if (!job.isFinished && task.stage == Stage::Assigned && matches(task)) {
                    job.hasRun = true;
                    const Duration timeout = task.hasBegun ? this->options.livingOwnerTimeout
                                                           : this->options.pendingStartTimeout;
                    this->markUncertain(job, step, task, timeout, now);
                }
}

void FleetCoordinator::tick(TimePoint now)
{
    for (auto &[id, job] : this->jobs) {
        if (job.isFinished)
            continue;
        if (job.withdrawal) {
            this->continueWithdrawal(job, now);
            continue;
        }
        if (const auto reason = this->hopelessReason(job, now)) {
            this->abandonJob(job, *reason, now);
            continue;
        }
        for (auto &tasks : job.tasks)
            for (Task &task : tasks)
                if (task.stage == Stage::Uncertain && now >= task.readyAt)
                    task.stage = Stage::Ready;
    }
    this->removeFinishedJobs(now);
}

// Jobs past their objective last, then by priority and objective: the order in which owners start
// runs, too.
std::vector<RunAssignment> FleetCoordinator::assignTasks(std::vector<OwnerView> &owners,
                                                         TimePoint now)
{
    std::vector<Job *> order;
    for (auto &[id, job] : this->jobs)
        if (!job.isFinished && !job.withdrawal)
            order.push_back(&job);
    std::ranges::sort(order, {}, [&](const Job *job) {
        return std::tuple(job->bounds.objectiveAt < now, job->policy.priority,
                          job->bounds.objectiveAt);
    });
    std::vector<RunAssignment> assignments;
    for (Job *job : order) {
        for (std::uint32_t step = 0; step < job->tasks.size(); ++step) {
            for (std::uint32_t index = 0; index < job->tasks[step].size(); ++index) {
                Task &task = job->tasks[step][index];
                if (task.stage != Stage::Ready || now < task.readyAt)
                    continue;
                OwnerView *owner
                    = this->selectOwner(*job, job->definition.steps[step], task, owners, now);
                if (owner == nullptr)
                    continue;
                ++task.attempt;
                ++job->requestedRuns;
                task.stage = Stage::Assigned;
                task.owner = owner->node;
                task.ownerIncarnation = owner->incarnation;
                task.assignedAt = now;
                task.hasBegun = false;
                ++owner->startsSinceReport;
                const RunName run = {
                    .job = job->definition.id, .step = step, .index = index, .attempt = task.attempt
                };
                assignments.push_back(
                    { .owner = owner->node, .request = this->makeRequest(*job, run, now) });
            }
        }
    }
    return assignments;
}

template<typename Visit>
void FleetCoordinator::forEachTask(const Job &job, const Visit &visit)
{
    RunName run = { .job = job.definition.id };
    for (run.step = 0; run.step < job.tasks.size(); ++run.step)
        for (run.index = 0; run.index < job.tasks[run.step].size(); ++run.index) {
            const Task &task = job.tasks[run.step][run.index];
            run.attempt = task.attempt;
            visit(run, task);
        }
}

template<typename Visit>
void FleetCoordinator::forEachAssignedTask(const Visit &visit) const
{
    for (const auto &[id, job] : this->jobs)
        if (!job.isFinished)
            forEachTask(job, [&](const RunName &run, const Task &task) {
                if (task.stage == Stage::Assigned)
                    visit(run, task.owner);
            });
}

std::vector<RunName> FleetCoordinator::wantedRunsAt(const NodeName &owner) const
{
    std::vector<RunName> wantedRuns;
    this->forEachAssignedTask([&](const RunName &task, const NodeName &taskOwner) {
        if (taskOwner == owner)
            wantedRuns.push_back(task);
    });
    return wantedRuns;
}

std::map<NodeName, std::vector<RunName>> FleetCoordinator::wantedRuns() const
{
    std::map<NodeName, std::vector<RunName>> wantedRuns;
    this->forEachAssignedTask(
        [&](const RunName &task, const NodeName &owner) { wantedRuns[owner].push_back(task); });
    return wantedRuns;
}

std::map<NodeName, std::vector<RunName>> FleetCoordinator::withdrawnRuns() const
{
    std::map<NodeName, std::vector<RunName>> withdrawnRuns;
    this->forEachAssignedTask([&](const RunName &task, const NodeName &owner) {
        if (this->jobs.at(task.job).withdrawal)
            withdrawnRuns[owner].push_back(task);
    });
    return withdrawnRuns;
}

std::set<NodeName> FleetCoordinator::ownersFor(std::uint64_t caller) const
{
    const auto callerEntry = this->jobOfCaller.find(caller);
    return callerEntry == this->jobOfCaller.end() ? std::set<NodeName>()
                                                  : this->ownersOf(callerEntry->second);
}

std::set<NodeName> FleetCoordinator::ownersOf(const std::string &job) const
{
    std::set<NodeName> owners;
    const auto found = this->jobs.find(job);
    if (found == this->jobs.end())
        return owners;
    for (const auto &tasks : found->second.tasks)
        for (const Task &task : tasks)
            if (task.stage == Stage::Assigned)
                owners.insert(task.owner);
    return owners;
}

bool FleetCoordinator::hasReadyTasks(TimePoint now) const
{
    const auto isReady = [&](const Task &t) { return t.stage == Stage::Ready && now >= t.readyAt; };
    return std::ranges::any_of(this->jobs, [&](const auto &item) {
        return !item.second.isFinished && !item.second.withdrawal
            && std::ranges::any_of(item.second.tasks,
                                   [&](const auto &s) { return std::ranges::any_of(s, isReady); });
    });
}

Duration FleetCoordinator::criticalPath(const TransientJob &job, const RoutePolicy &policy) const
{
    std::vector<Duration> ends(job.steps.size());
    Duration longest {};
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        Duration begin {};
        for (const std::uint32_t before : job.steps[step].dependsOn)
            begin = std::max(begin, ends.at(before));
        ends[step] = begin + this->expectedRunTime(policy, job.steps[step]);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

Duration FleetCoordinator::timeToObjective(const TransientJob &job, const RoutePolicy &policy) const
{
    const double chain = toSeconds(this->criticalPath(job, policy));
    return fromSeconds(policy.stretch * chain) + policy.slack;
}

std::size_t FleetCoordinator::taskCount() const
{
    std::size_t count = 0;
    for (const auto &[id, job] : this->jobs)
        for (const auto &tasks : job.tasks)
            count += tasks.size();
    return count;
}

std::optional<OutcomeReason> FleetCoordinator::excessReason(const TransientJob &job) const
{
    std::size_t count = 0;
    for (const JobStep &step : job.steps)
        count += step.taskCount;
    if (count > this->options.maxTasksPerJob)
        return OutcomeReason::TooManyTasks;
    const bool isWide = count > this->options.usualTasksPerJob;
    const std::size_t limit = isWide ? this->options.maxTasks / 2 : this->options.maxTasks;
    return this->taskCount() + count > limit ? std::optional(OutcomeReason::Overloaded)
                                             : std::nullopt;
}

std::optional<OutcomeReason> FleetCoordinator::refusalReason(const TransientJob &job,
                                                             const RoutePolicy &policy,
                                                             const std::vector<OwnerView> &owners,
                                                             TimePoint now)
{
    if (const auto reason = this->excessReason(job))
        return reason;
    std::optional<double> fastest;
    std::optional<double> fastestLater; // also of targets that pause for a while
    for (const OwnerView &owner : owners)
        for (const OwnedTarget &target : owner.report.targets) {
            if (target.service != policy.service || target.isWithheld)
                continue;
            fastestLater = std::min(fastestLater.value_or(target.slowness), target.slowness);
            if (target.acceptsWork)
                fastest = std::min(fastest.value_or(target.slowness), target.slowness);
        }
    if (!fastest)
        return OutcomeReason::NoTargets;
    this->fastestTargets[policy.service] = *fastestLater;
    for (const JobStep &step : job.steps) {
        const auto canEverRun = [&](const OwnedTarget &target) {
            return !target.isWithheld && internal::canEverRun(target, policy.service, step);
        };
        const bool fits = std::ranges::any_of(owners, [&](const OwnerView &owner) {
            return std::ranges::any_of(owner.report.targets, canEverRun);
        });
        if (!fits)
            return OutcomeReason::NeverFits;
    }
    const Duration chain = fromSeconds(*fastest * toSeconds(this->criticalPath(job, policy)));
    const Duration wait = queueDelay(policy, owners);
    const Duration spare = this->timeToObjective(job, policy) - this->criticalPath(job, policy);
    const bool isCrowded = this->hasStandingQueue(policy.priority, wait, now)
        && toSeconds(wait) > this->options.maxQueueShare * toSeconds(spare);
    if (isCrowded || wait + chain > policy.untilDeadline)
        return OutcomeReason::Overloaded;
    // Most jobs meet their objective once there is free capacity.
    if (this->shutdownAt && now + wait + this->timeToObjective(job, policy) > *this->shutdownAt)
        return OutcomeReason::Draining;
    return std::nullopt;
}

// A burst is absorbed by queues that are empty again soon. A queue that stands makes each job that
// is admitted late, or has it fail after its wait; wide jobs, all of whose tasks have to start,
// fail first.
bool FleetCoordinator::hasStandingQueue(std::uint32_t priority, Duration wait, TimePoint now)
{
    if (wait <= this->options.emptyQueueDelay) {
        this->queueStandsSince.erase(priority);
        return false;
    }
    const TimePoint since = this->queueStandsSince.try_emplace(priority, now).first->second;
    return now >= since + this->options.standingQueueTime;
}

Duration FleetCoordinator::queueDelay(const RoutePolicy &policy,
                                      const std::vector<OwnerView> &owners)
{
    double work = 0;
    double capacity = 0;
    for (const OwnerView &owner : owners) {
        for (const auto &[priority, queued] : owner.report.queuedWork)
            if (priority <= policy.priority)
                work += static_cast<double>(queued);
        for (const OwnedTarget &target : owner.report.targets)
            if (target.service == policy.service && target.acceptsWork)
                capacity += static_cast<double>(target.capacity.cpu) / target.slowness;
    }
    return capacity > 0 ? fromSeconds(work / capacity) : Duration();
}

// The present queues have been processed by then.
Duration FleetCoordinator::retryAfter(const RoutePolicy &policy,
                                      const std::vector<OwnerView> &owners) const
{
    const Duration wait = this->options.minRetryAfter + queueDelay(policy, owners);
    return std::min(wait, this->options.maxRetryAfter);
}

void FleetCoordinator::recordRunTime(const Job &job, const RunEnd &end)
{
    if (this->estimates.size() >= this->options.maxRoutes)
        this->estimates.clear();
    this->estimates[job.policy.route].addRun(job.definition.steps[end.run.step].estimate,
                                             end.runTime);
}

Duration FleetCoordinator::expectedRunTime(const RoutePolicy &policy, const JobStep &step) const
{
    const auto found = this->estimates.find(policy.route);
    return found == this->estimates.end() ? step.estimate
                                          : found->second.predictedRunTime(step.estimate);
}

Duration FleetCoordinator::expectedRunTime(const Job &job, const JobStep &step,
                                           const Task &task) const
{
    return task.forecast > Duration() ? task.forecast : this->expectedRunTime(job.policy, step);
}

void FleetCoordinator::unblockTasks(Job &job)
{
    const auto isDone = [](const Task &task) { return task.stage == Stage::Done; };
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        const bool isUnblocked
            = std::ranges::all_of(job.definition.steps[step].dependsOn, [&](std::uint32_t before) {
                  return std::ranges::all_of(job.tasks[before], isDone);
              });
        if (!isUnblocked)
            continue;
        for (Task &task : job.tasks[step])
            if (task.stage == Stage::Blocked)
                task.stage = Stage::Ready;
    }
}

void FleetCoordinator::scheduleRetry(Task &task, Duration delay, TimePoint now)
{
    task.stage = Stage::Ready;
    task.readyAt = now + delay;
}

void FleetCoordinator::markUncertain(Job &job, std::uint32_t step, Task &task, Duration timeout,
                                     TimePoint now)
{
    const Duration needed = timeout + job.definition.steps[step].estimate;
    if (job.withdrawal || now + needed > job.bounds.deadlineAt) {
        this->finishJob(job, TransientJobStatus::Unfinished, OutcomeReason::OwnerLost, now);
        return;
    }
    task.stage = Stage::Uncertain;
    task.readyAt = now + timeout;
}

void FleetCoordinator::finishJob(Job &job, TransientJobStatus status, OutcomeReason reason,
                                 TimePoint now)
{
    job.isFinished = true;
    this->recordAbandonedRuns(job);
    JobOutcome outcome = { .job = job.definition.id,
                           .callerTokens = job.callerTokens,
                           .status = status,
                           .reason = reason,
                           .retryAfter = this->options.minRetryAfter,
                           .elapsed = now - job.arrivedAt,
                           .requestedRuns = job.requestedRuns };
    const bool isFinal = status == TransientJobStatus::Completed
        || status == TransientJobStatus::Failed || status == TransientJobStatus::Cancelled;
    if (isFinal)
        this->answeredJobs[job.definition.id] = { .outcome = outcome, .answeredAt = now };
    this->outcomes.push_back(std::move(outcome));
}

// A task that waits for the run of a lost owner is abandoned like one that is assigned: the next
// submission of its job must not be run before that wait is over.
void FleetCoordinator::recordAbandonedRuns(const Job &job)
{
    forEachTask(job, [&](const RunName &run, const Task &task) {
        const bool isThere = task.stage == Stage::Assigned || task.stage == Stage::Uncertain;
        if (isThere && !task.hasBegun)
            this->abandonedRuns.push_back(
                { .run = run, .owner = task.owner, .ownerIncarnation = task.ownerIncarnation });
    });
}

// A job is refused only if certainly no task has run. A task that is still assigned may have
// started: only its owner knows. So its runs are withdrawn, and the answer waits for the owners.
void FleetCoordinator::abandonJob(Job &job, OutcomeReason reason, TimePoint now)
{
    if (job.isFinished || job.withdrawal)
        return;
    const TimePoint lastAnswerAt = job.bounds.deadlineAt + this->options.answerGracePeriod;
    job.withdrawal = { .reason = reason,
                       .until = std::min(now + this->options.withdrawalTimeout, lastAnswerAt) };
    this->continueWithdrawal(job, now);
    if (job.isFinished)
        return;
    for (const auto &tasks : job.tasks)
        for (const Task &task : tasks)
            if (task.stage == Stage::Assigned)
                this->withdrawalOwners.insert(task.owner);
}

void FleetCoordinator::continueWithdrawal(Job &job, TimePoint now)
{
    const auto hasTaskIn = [&](Stage stage) {
        return std::ranges::any_of(job.tasks, [&](const auto &tasks) {
            return std::ranges::any_of(tasks, [&](const Task &t) { return t.stage == stage; });
        });
    };
    const bool mayHaveRun = job.hasRun || hasTaskIn(Stage::Uncertain);
    const bool isUnconfirmed = hasTaskIn(Stage::Assigned);
    if (!mayHaveRun && isUnconfirmed && now < job.withdrawal->until)
        return;
    this->finishJob(job,
                    mayHaveRun || isUnconfirmed ? TransientJobStatus::Unfinished
                                                : TransientJobStatus::Refused,
                    job.withdrawal->reason, now);
}

double FleetCoordinator::fastestSlowness(const ServiceName &service) const
{
    const auto found = this->fastestTargets.find(service);
    return found == this->fastestTargets.end() ? 1 : found->second;
}

// Owners report queued runs that are too late, so only the tasks that no owner has are checked
// here, and runs that are expected to end when nobody waits for them any more.
std::optional<OutcomeReason> FleetCoordinator::hopelessReason(const Job &job, TimePoint now) const
{
    const TimePoint lastAnswerAt = job.bounds.deadlineAt + this->options.answerGracePeriod;
    if (now >= lastAnswerAt)
        return OutcomeReason::DeadlineExceeded;
    const Duration unassigned = this->minUnassignedTime(job, now);
    if (unassigned > Duration() && now + unassigned > job.bounds.deadlineAt)
        return job.hasRun ? OutcomeReason::DeadlineExceeded : OutcomeReason::Overloaded;
    if (now < job.bounds.deadlineAt)
        return std::nullopt;
    const double slowness = this->fastestSlowness(job.policy.service);
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        const Duration runTime = fromSeconds(
            slowness * toSeconds(this->expectedRunTime(job.policy, job.definition.steps[step])));
        for (const Task &task : job.tasks[step])
            if (task.stage == Stage::Assigned && task.assignedAt + runTime > lastAnswerAt)
                return OutcomeReason::DeadlineExceeded;
    }
    return std::nullopt;
}

Duration FleetCoordinator::minUnassignedTime(const Job &job, TimePoint now) const
{
    const double slowness = this->fastestSlowness(job.policy.service);
    std::vector<Duration> ends(job.tasks.size());
    Duration longest {};
    for (std::size_t step = 0; step < job.tasks.size(); ++step) {
        Duration begin {};
        for (const std::uint32_t before : job.definition.steps[step].dependsOn)
            begin = std::max(begin, ends.at(before));
        ends[step] = begin;
        for (const Task &task : job.tasks[step]) {
            if (task.stage == Stage::Assigned || task.stage == Stage::Done)
                continue;
            const Duration wait = std::max(Duration(), task.readyAt - now);
            const Duration runTime = this->expectedRunTime(job, job.definition.steps[step], task);
            ends[step] = std::max(
                ends[step], std::max(begin, wait) + fromSeconds(slowness * toSeconds(runTime)));
        }
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

void FleetCoordinator::removeFinishedJobs(TimePoint now)
{
    for (auto item = this->jobs.begin(); item != this->jobs.end();) {
        for (const std::uint64_t caller : item->second.callerTokens)
            if (item->second.isFinished)
                this->jobOfCaller.erase(caller);
        item = item->second.isFinished ? this->jobs.erase(item) : ++item;
    }
    const bool isFull = this->answeredJobs.size() > this->options.maxAnswers;
    std::erase_if(this->answeredJobs, [&](const auto &item) {
        const Duration lifetime
            = isFull ? this->options.answerLifetime / 4 : this->options.answerLifetime;
        return now >= item.second.answeredAt + lifetime;
    });
    std::erase_if(this->leftJobs, [&](const auto &item) {
        return now >= item.second + this->options.leftJobLifetime;
    });
}

RunRequest FleetCoordinator::makeRequest(const Job &job, const RunName &run, TimePoint now) const
{
    const JobStep &step = job.definition.steps[run.step];
    return { .run = run,
             .service = job.policy.service,
             .spec = job.definition.spec,
             .demand = step.demand,
             .estimate = this->expectedRunTime(job, step, job.tasks[run.step][run.index]),
             .untilObjective = job.bounds.objectiveAt - now,
             .untilDeadline = job.bounds.deadlineAt - now,
             .priority = job.policy.priority,
             .requiredLabel = step.requiredLabel,
             .maxPerTarget = step.maxPerTarget };
}

bool FleetCoordinator::hasRunsAt(const Job &job, const NodeName &owner)
{
    return std::ranges::any_of(job.tasks, [&](const auto &tasks) {
        return std::ranges::any_of(tasks, [&](const Task &task) {
            return task.stage == Stage::Assigned && task.owner == owner;
        });
    });
}

// Prefers free capacity nearby, on targets that are not reserved for longer tasks. Without free
// capacity, prefers the shortest queue relative to the owner's size; one in another domain only if
// it is clearly shorter.
OwnerView *FleetCoordinator::selectOwner(const Job &job, const JobStep &step, const Task &task,
                                         std::vector<OwnerView> &owners, TimePoint now) const
{
    internal::TaskRequirements requirements
        = { .service = job.policy.service, .step = step, .bounds = job.bounds };
    requirements.step.estimate = this->expectedRunTime(job, step, task);
    internal::findBestFitness(requirements, owners, now);
    OwnerView *best = nullptr;
    std::tuple<int, int, double> bestKey;
    for (OwnerView &owner : owners) {
        const internal::OwnerCapacity capacity = internal::capacityOf(owner, requirements, now);
        const std::int64_t queuedAhead = owner.report.queued + owner.startsSinceReport;
        const std::array tiers = { capacity.unreserved, capacity.fittest, capacity.feasible };
        const auto firstTier
            = std::ranges::find_if(tiers, [&](std::int64_t free) { return free > queuedAhead; });
        const bool isFull = firstTier == tiers.end();
        if (isFull && capacity.total == 0)
            continue;
        const int tier = static_cast<int>(firstTier - tiers.begin());
        const auto size = static_cast<double>(std::max<std::int64_t>(capacity.total, 1));
        const double load = static_cast<double>(queuedAhead - capacity.feasible) / size;
        // Share of an owner's capacity: about a round trip of waiting.
        constexpr double otherDomainPenalty = 0.15;
        const bool isInOtherDomain = owner.distance == OwnerView::Distance::OtherDomain;
        const int rank = isFull ? 0 : internal::messageCostRank(owner, hasRunsAt(job, owner.node));
        const std::tuple key(tier, rank,
                             load + (isInOtherDomain && isFull ? otherDomainPenalty : 0));
        if (best != nullptr && key >= bestKey)
            continue;
        best = &owner;
        bestKey = key;
    }
    return best;
}

} // namespace Hibiscus
