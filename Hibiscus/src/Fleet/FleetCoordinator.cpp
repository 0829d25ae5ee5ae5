#include "Hibiscus/src/Fleet/FleetCoordinator.h"

#include <algorithm>
#include <array>
#include <tuple>

namespace Hibiscus {

namespace internal {

/** \brief A pause before a task that was not started is given away again, so that the owners'
 * next reports are in; two of their intervals.
 */
constexpr Duration replacePause = 20ms;
/** \brief How far the attempt number jumps when the target has seen higher ones of an earlier
 * coordinator of the same job.
 */
constexpr std::uint64_t attemptJump = 16;

static bool suits(const OwnedTarget &target, const ServiceName &service, const JobStep &step)
{
    return target.serves(service, step.requiredLabel) && target.capacity.covers(step.demand);
}

/** \brief What a task asks of a target, and how well the best of them would do. */
struct Wish
{
    ServiceName service;
    JobStep step;
    RunBounds bounds;
    Fitness best = Fitness::Hopeless; ///< over all owners
    double slowest = 0; ///< slowness of the slowest target that is so fit
};

static Fitness fitnessOf(const OwnedTarget &target, const Wish &wish, TimePoint now)
{
    return Hibiscus::fitnessOf(wish.bounds, target.expected(wish.step.estimate), now);
}

/** \brief A target that is so much faster than the slowest fit one is kept for what needs it. */
constexpr double reservedFaster = 0.75;

/** \brief Room of an owner for tasks of one demand. */
struct Room
{
    std::int64_t plain = 0; ///< tasks that fit now on the fittest that are not kept for others
    std::int64_t fittest = 0; ///< tasks that fit now on the fittest targets
    std::int64_t free = 0; ///< tasks that fit now on targets that are not hopeless
    std::int64_t all = 0; ///< tasks that fit on the fittest targets when nothing runs
};

static Room roomOf(const OwnerView &owner, const Wish &wish, TimePoint now)
{
    Room room;
    for (const OwnedTarget &target : owner.report.targets) {
        if (!target.acceptsWork || !suits(target, wish.service, wish.step))
            continue;
        const Fitness fitness = fitnessOf(target, wish, now);
        const std::int64_t free = target.free.copiesOf(wish.step.demand);
        if (fitness != Fitness::Hopeless)
            room.free += free;
        if (fitness != wish.best)
            continue;
        room.fittest += free;
        room.all += target.capacity.copiesOf(wish.step.demand);
        if (fitness == Fitness::InTime && target.slowness >= reservedFaster * wish.slowest)
            room.plain += free;
    }
    return room;
}

/** \returns how many messages a task costs at \a owner, as an order: none here, and few where other
 * tasks of its job are.
 */
static int rankOf(const OwnerView &owner, bool isUsed)
{
    if (owner.distance == OwnerView::Distance::Self)
        return 0;
    if (owner.distance == OwnerView::Distance::SameDomain)
        return isUsed ? 1 : 2;
    return isUsed ? 3 : 4;
}

static void lookAround(Wish &wish, const std::vector<OwnerView> &owners, TimePoint now)
{
    for (const OwnerView &owner : owners)
        for (const OwnedTarget &target : owner.report.targets) {
            if (!target.acceptsWork || !suits(target, wish.service, wish.step))
                continue;
            const Fitness fitness = fitnessOf(target, wish, now);
            if (fitness > wish.best)
                wish.slowest = 0;
            wish.best = std::max(wish.best, fitness);
            if (fitness == wish.best)
                wish.slowest = std::max(wish.slowest, target.slowness);
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
    case OutcomeReason::None:
        break;
    }
    return "none";
}

void FleetCoordinator::submit(const TransientJob &job, const RoutePolicy &policy,
                              std::uint64_t caller, const std::vector<OwnerView> &owners,
                              TimePoint now)
{
    if (const auto found = this->jobs.find(job.id); found != this->jobs.end()) {
        found->second.callerTokens.push_back(caller);
        this->jobOfCaller[caller] = job.id;
        return;
    }
    if (const auto found = this->answered.find(job.id); found != this->answered.end()) {
        JobOutcome outcome = found->second.outcome;
        outcome.callerTokens = { caller };
        this->outcomes.push_back(outcome);
        return;
    }
    if (const auto reason = this->refusalOf(job, policy, owners, now)) {
        this->outcomes.push_back({ .job = job.id,
                                   .callerTokens = { caller },
                                   .status = TransientJobStatus::Refused,
                                   .reason = *reason,
                                   .retryAfter = this->retryAfter(policy, owners) });
        return;
    }
    Job added;
    added.job = job;
    added.policy = policy;
    added.callerTokens = { caller };
    added.arrivedAt = now;
    added.bounds.objectiveAt = now + this->objectiveOf(job, policy);
    added.bounds.deadlineAt = now + policy.untilDeadline;
    if (this->endsAt)
        added.bounds.deadlineAt = std::min(added.bounds.deadlineAt, *this->endsAt);
    for (const JobStep &step : job.steps)
        added.steps.emplace_back(step.taskCount);
    this->unblock(added);
    this->jobOfCaller[caller] = job.id;
    this->jobs[job.id] = std::move(added);
}

void FleetCoordinator::removeCaller(std::uint64_t caller)
{
    const auto named = this->jobOfCaller.find(caller);
    if (named == this->jobOfCaller.end())
        return;
    const auto found = this->jobs.find(named->second);
    this->jobOfCaller.erase(named);
    if (found == this->jobs.end())
        return;
    std::erase(found->second.callerTokens, caller);
    if (found->second.callerTokens.empty())
        this->jobs.erase(found);
}

void FleetCoordinator::finish(const NodeName &owner, const RunEnd &end, TimePoint now)
{
    const auto found = this->jobs.find(end.run.job);
    if (found == this->jobs.end())
        return;
    Job &job = found->second;
    const bool exists
        = end.run.step < job.steps.size() && end.run.index < job.steps[end.run.step].size();
    if (!exists || job.isOver)
        return;
    Task &task = job.steps[end.run.step][end.run.index];
    const bool isCurrent
        = task.stage == Stage::Assigned && task.attempt == end.run.attempt && task.owner == owner;
    if (!isCurrent)
        return;
    const bool neverRan = end.kind == RunEndKind::NotStarted || end.kind == RunEndKind::Returned
        || end.kind == RunEndKind::TooLate || end.kind == RunEndKind::Superseded;
    job.hasRun = job.hasRun || !neverRan;
    if (end.kind != RunEndKind::Completed)
        this->unsuccessfulRuns.push_back({ .owner = owner, .end = end });
    switch (end.kind) {
    case RunEndKind::Completed:
        task.stage = Stage::Done;
        this->learn(job, end);
        this->unblock(job);
        break;
    case RunEndKind::Failed:
        ++task.failures;
        if (task.failures >= job.policy.maxFailures)
            this->answer(job, TransientJobStatus::Failed, OutcomeReason::TaskFailed, now);
        else
            this->retry(task, {}, now);
        break;
    case RunEndKind::Superseded:
        task.attempt += internal::attemptJump;
        this->retry(task, internal::replacePause, now);
        break;
    case RunEndKind::NotStarted:
        this->retry(task, internal::replacePause, now);
        break;
    case RunEndKind::TooLate:
        task.stage = Stage::Ready;
        this->giveUp(job, OutcomeReason::Overloaded, now);
        break;
    case RunEndKind::Returned:
    case RunEndKind::Stopped:
    case RunEndKind::Lost:
        this->retry(task, {}, now);
        break;
    case RunEndKind::Unknown:
        this->noteUncertain(job, end.run.step, task, now);
        break;
    }
    const auto isDone = [](const Task &t) { return t.stage == Stage::Done; };
    const bool isComplete = std::ranges::all_of(
        job.steps, [&](const auto &tasks) { return std::ranges::all_of(tasks, isDone); });
    if (isComplete)
        this->answer(job, TransientJobStatus::Completed, OutcomeReason::None, now);
}

void FleetCoordinator::updateIncarnation(const NodeName &owner, std::uint64_t incarnation,
                                         TimePoint now)
{
    for (auto &[id, job] : this->jobs)
        for (std::uint32_t step = 0; step < job.steps.size(); ++step)
            for (Task &task : job.steps[step])
                if (!job.isOver && task.stage == Stage::Assigned && task.owner == owner
                    && task.ownerIncarnation != incarnation) {
                    job.hasRun = true;
                    this->noteUncertain(job, step, task, now);
                }
}

void FleetCoordinator::tick(TimePoint now)
{
    for (auto &[id, job] : this->jobs) {
        if (job.isOver)
            continue;
        if (now >= job.bounds.deadlineAt + this->options.lateAnswer) {
            this->giveUp(job, OutcomeReason::DeadlineExceeded, now);
            continue;
        }
        for (auto &tasks : job.steps)
            for (Task &task : tasks)
                if (task.stage == Stage::Uncertain && now >= task.readyAt)
                    task.stage = Stage::Ready;
    }
    this->forgetEnded(now);
}

// The class first, then the earlier objective: the order in which owners start tasks, too.
std::vector<RunAssignment> FleetCoordinator::place(std::vector<OwnerView> &owners, TimePoint now)
{
    std::vector<Job *> order;
    for (auto &[id, job] : this->jobs)
        if (!job.isOver)
            order.push_back(&job);
    std::ranges::sort(order, {}, [&](const Job *job) {
        return std::tuple(job->bounds.objectiveAt < now, job->policy.priority,
                          job->bounds.objectiveAt);
    });
    std::vector<RunAssignment> assignments;
    for (Job *job : order) {
        for (std::uint32_t step = 0; step < job->steps.size(); ++step) {
            for (std::uint32_t index = 0; index < job->steps[step].size(); ++index) {
                Task &task = job->steps[step][index];
                if (task.stage != Stage::Ready || now < task.readyAt)
                    continue;
                OwnerView *owner = this->chooseOwner(*job, job->job.steps[step], owners, now);
                if (owner == nullptr)
                    continue;
                ++task.attempt;
                ++job->requestedRuns;
                task.stage = Stage::Assigned;
                task.owner = owner->node;
                task.ownerIncarnation = owner->incarnation;
                ++owner->unreported;
                const RunName run
                    = { .job = job->job.id, .step = step, .index = index, .attempt = task.attempt };
                assignments.push_back(
                    { .owner = owner->node, .request = this->requestFor(*job, run, now) });
            }
        }
    }
    return assignments;
}

std::vector<RunName> FleetCoordinator::wantedAt(const NodeName &owner) const
{
    std::map<NodeName, std::vector<RunName>> all = this->wanted();
    const auto found = all.find(owner);
    return found == all.end() ? std::vector<RunName>() : std::move(found->second);
}

std::map<NodeName, std::vector<RunName>> FleetCoordinator::wanted() const
{
    std::map<NodeName, std::vector<RunName>> wanted;
    for (const auto &[id, job] : this->jobs) {
        if (job.isOver)
            continue;
        for (std::uint32_t step = 0; step < job.steps.size(); ++step)
            for (std::uint32_t index = 0; index < job.steps[step].size(); ++index) {
                const Task &task = job.steps[step][index];
                if (task.stage == Stage::Assigned)
                    wanted[task.owner].push_back(
                        { .job = id, .step = step, .index = index, .attempt = task.attempt });
            }
    }
    return wanted;
}

std::set<NodeName> FleetCoordinator::ownersFor(std::uint64_t caller) const
{
    std::set<NodeName> owners;
    const auto named = this->jobOfCaller.find(caller);
    if (named == this->jobOfCaller.end())
        return owners;
    const auto found = this->jobs.find(named->second);
    if (found == this->jobs.end())
        return owners;
    for (const auto &tasks : found->second.steps)
        for (const Task &task : tasks)
            if (task.stage == Stage::Assigned)
                owners.insert(task.owner);
    return owners;
}

bool FleetCoordinator::hasReady(TimePoint now) const
{
    const auto isReady = [&](const Task &t) { return t.stage == Stage::Ready && now >= t.readyAt; };
    return std::ranges::any_of(this->jobs, [&](const auto &item) {
        return !item.second.isOver && std::ranges::any_of(item.second.steps, [&](const auto &s) {
            return std::ranges::any_of(s, isReady);
        });
    });
}

Duration FleetCoordinator::longestChain(const TransientJob &job, const RoutePolicy &policy) const
{
    std::vector<Duration> ends(job.steps.size());
    Duration longest {};
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        Duration begin {};
        for (const std::uint32_t before : job.steps[step].dependsOn)
            begin = std::max(begin, ends.at(before));
        ends[step] = begin + this->expected(policy, job.steps[step]);
        longest = std::max(longest, ends[step]);
    }
    return longest;
}

Duration FleetCoordinator::objectiveOf(const TransientJob &job, const RoutePolicy &policy) const
{
    const double chain = toSeconds(this->longestChain(job, policy));
    return fromSeconds(policy.stretch * chain) + policy.slack;
}

std::optional<OutcomeReason> FleetCoordinator::refusalOf(const TransientJob &job,
                                                         const RoutePolicy &policy,
                                                         const std::vector<OwnerView> &owners,
                                                         TimePoint now) const
{
    std::optional<double> fastest;
    for (const OwnerView &owner : owners)
        for (const OwnedTarget &target : owner.report.targets)
            if (target.service == policy.service && target.acceptsWork)
                fastest = std::min(fastest.value_or(target.slowness), target.slowness);
    if (!fastest)
        return OutcomeReason::NoTargets;
    for (const JobStep &step : job.steps) {
        const auto suits = [&](const OwnedTarget &target) {
            return internal::suits(target, policy.service, step);
        };
        const bool fits = std::ranges::any_of(owners, [&](const OwnerView &owner) {
            return std::ranges::any_of(owner.report.targets, suits);
        });
        if (!fits)
            return OutcomeReason::NeverFits;
    }
    const Duration chain = fromSeconds(*fastest * toSeconds(this->longestChain(job, policy)));
    const Duration wait = backlog(policy.service, owners);
    if (wait + chain > policy.untilDeadline)
        return OutcomeReason::Overloaded;
    // Most jobs are over by their objective once they have room.
    if (this->endsAt && now + wait + this->objectiveOf(job, policy) > *this->endsAt)
        return OutcomeReason::Draining;
    return std::nullopt;
}

Duration FleetCoordinator::backlog(const ServiceName &service, const std::vector<OwnerView> &owners)
{
    double work = 0;
    double capacity = 0;
    for (const OwnerView &owner : owners) {
        work += static_cast<double>(owner.report.queuedWork);
        for (const OwnedTarget &target : owner.report.targets)
            if (target.service == service && target.acceptsWork)
                capacity += static_cast<double>(target.capacity.cpu) / target.slowness;
    }
    return capacity > 0 ? fromSeconds(work / capacity) : Duration();
}

// When the queues of today have been worked off.
Duration FleetCoordinator::retryAfter(const RoutePolicy &policy,
                                      const std::vector<OwnerView> &owners) const
{
    const Duration wait = this->options.minRetryAfter + backlog(policy.service, owners);
    return std::min(wait, this->options.maxRetryAfter);
}

void FleetCoordinator::learn(const Job &job, const RunEnd &end)
{
    if (this->estimates.size() >= this->options.maxRoutes)
        this->estimates.clear();
    this->estimates[job.policy.route].learn(job.job.steps[end.run.step].estimate, end.runTime);
}

Duration FleetCoordinator::expected(const RoutePolicy &policy, const JobStep &step) const
{
    const auto found = this->estimates.find(policy.route);
    return found == this->estimates.end() ? step.estimate : found->second.corrected(step.estimate);
}

void FleetCoordinator::unblock(Job &job)
{
    const auto isDone = [](const Task &task) { return task.stage == Stage::Done; };
    for (std::size_t step = 0; step < job.steps.size(); ++step) {
        const bool isOpen
            = std::ranges::all_of(job.job.steps[step].dependsOn, [&](std::uint32_t before) {
                  return std::ranges::all_of(job.steps[before], isDone);
              });
        if (!isOpen)
            continue;
        for (Task &task : job.steps[step])
            if (task.stage == Stage::Blocked)
                task.stage = Stage::Ready;
    }
}

void FleetCoordinator::retry(Task &task, Duration pause, TimePoint now)
{
    task.stage = Stage::Ready;
    task.readyAt = now + pause;
}

void FleetCoordinator::noteUncertain(Job &job, std::uint32_t step, Task &task, TimePoint now)
{
    const Duration needed = this->options.uncertainty + job.job.steps[step].estimate;
    if (now + needed > job.bounds.deadlineAt) {
        this->answer(job, TransientJobStatus::Unfinished, OutcomeReason::OwnerLost, now);
        return;
    }
    task.stage = Stage::Uncertain;
    task.readyAt = now + this->options.uncertainty;
}

void FleetCoordinator::answer(Job &job, TransientJobStatus status, OutcomeReason reason,
                              TimePoint now)
{
    job.isOver = true;
    JobOutcome outcome = { .job = job.job.id,
                           .callerTokens = job.callerTokens,
                           .status = status,
                           .reason = reason,
                           .retryAfter = this->options.minRetryAfter,
                           .elapsed = now - job.arrivedAt,
                           .requestedRuns = job.requestedRuns };
    if (status == TransientJobStatus::Completed || status == TransientJobStatus::Failed)
        this->answered[job.job.id] = { .outcome = outcome, .at = now };
    this->outcomes.push_back(std::move(outcome));
}

// Only what certainly has not run is refused. A task that an owner still holds may have started.
void FleetCoordinator::giveUp(Job &job, OutcomeReason reason, TimePoint now)
{
    const auto mayRun = [](const Task &task) {
        return task.stage == Stage::Assigned || task.stage == Stage::Uncertain;
    };
    const bool mayHaveRun = job.hasRun || std::ranges::any_of(job.steps, [&](const auto &tasks) {
                                return std::ranges::any_of(tasks, mayRun);
                            });
    this->answer(job, mayHaveRun ? TransientJobStatus::Unfinished : TransientJobStatus::Refused,
                 reason, now);
}

void FleetCoordinator::forgetEnded(TimePoint now)
{
    for (auto item = this->jobs.begin(); item != this->jobs.end();) {
        for (const std::uint64_t caller : item->second.callerTokens)
            if (item->second.isOver)
                this->jobOfCaller.erase(caller);
        item = item->second.isOver ? this->jobs.erase(item) : ++item;
    }
    const bool isFull = this->answered.size() > this->options.maxAnswers;
    std::erase_if(this->answered, [&](const auto &item) {
        const Duration lifetime
            = isFull ? this->options.answerLifetime / 4 : this->options.answerLifetime;
        return now >= item.second.at + lifetime;
    });
}

RunRequest FleetCoordinator::requestFor(const Job &job, const RunName &run, TimePoint now) const
{
    const JobStep &step = job.job.steps[run.step];
    return { .run = run,
             .service = job.policy.service,
             .spec = job.job.spec,
             .demand = step.demand,
             .estimate = this->expected(job.policy, step),
             .untilObjective = job.bounds.objectiveAt - now,
             .untilDeadline = job.bounds.deadlineAt - now,
             .priority = job.policy.priority,
             .requiredLabel = step.requiredLabel,
             .maxPerTarget = step.maxPerTarget };
}

bool FleetCoordinator::isUsedBy(const Job &job, const NodeName &owner)
{
    return std::ranges::any_of(job.steps, [&](const auto &tasks) {
        return std::ranges::any_of(tasks, [&](const Task &task) {
            return task.stage == Stage::Assigned && task.owner == owner;
        });
    });
}

// Free room nearby first, on targets that are not kept for longer tasks; without any, the shortest
// queue for its size, at a distance only when it is clearly shorter.
OwnerView *FleetCoordinator::chooseOwner(const Job &job, const JobStep &step,
                                         std::vector<OwnerView> &owners, TimePoint now) const
{
    internal::Wish wish = { .service = job.policy.service, .step = step, .bounds = job.bounds };
    wish.step.estimate = this->expected(job.policy, step);
    internal::lookAround(wish, owners, now);
    OwnerView *best = nullptr;
    std::tuple<int, int, double> bestKey;
    for (OwnerView &owner : owners) {
        const internal::Room room = internal::roomOf(owner, wish, now);
        const std::int64_t ahead = owner.report.queued + owner.unreported;
        const std::array rooms = { room.plain, room.fittest, room.free };
        const auto roomy
            = std::ranges::find_if(rooms, [&](std::int64_t free) { return free > ahead; });
        const bool isFull = roomy == rooms.end();
        if (isFull && room.all == 0)
            continue;
        const int tier = static_cast<int>(roomy - rooms.begin());
        const auto size = static_cast<double>(std::max<std::int64_t>(room.all, 1));
        const double load = static_cast<double>(ahead - room.free) / size;
        constexpr double farPenalty = 0.15; // of an owner's room: about a round trip of waiting
        const bool isFar = owner.distance == OwnerView::Distance::OtherDomain;
        const int rank = isFull ? 0 : internal::rankOf(owner, isUsedBy(job, owner.node));
        const std::tuple key(tier, rank, load + (isFar && isFull ? farPenalty : 0));
        if (best != nullptr && key >= bestKey)
            continue;
        best = &owner;
        bestKey = key;
    }
    return best;
}

} // namespace Hibiscus
