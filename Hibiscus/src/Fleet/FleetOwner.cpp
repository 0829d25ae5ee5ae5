#include "Hibiscus/src/Fleet/FleetOwner.h"

#include <algorithm>
#include <tuple>

namespace Hibiscus {

namespace internal {

// Tokens must grow from owner to owner without talk between them, so they come from the clock.
static std::uint64_t tokenAt(TimePoint now)
{
    return static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch()));
}

} // namespace internal

void FleetOwner::own(const LeasedTarget &target, TimePoint now)
{
    auto found = this->drivers.find(target.name);
    if (found != this->drivers.end() && target.incarnation > found->second.target().incarnation) {
        // The former life took its runs with it.
        TargetDriver &former = found->second;
        former.noteOver();
        former.tick(now, this->out);
        this->note(former, "over");
        this->runTimes.forget(target.name);
        this->drivers.erase(found);
        this->takeEnds(now);
        found = this->drivers.end();
    }
    if (found != this->drivers.end()) {
        found->second.announce(target, now);
        return;
    }
    const auto [added, isNew] = this->drivers.try_emplace(target.name, this->options.driver, target,
                                                          internal::tokenAt(now), now);
    HIBISCUS_INVARIANT(isNew, "a target has one driver");
    ++this->counts.adoptedTargets;
    this->note(added->second, "adopted");
    added->second.tick(now, this->out);
}

void FleetOwner::noteLeaving(const LeasedTarget &target)
{
    const auto found = this->drivers.find(target.name);
    if (found != this->drivers.end() && found->second.target().incarnation == target.incarnation)
        found->second.noteOver();
}

void FleetOwner::release(const TargetName &target)
{
    if (const auto found = this->drivers.find(target); found != this->drivers.end())
        found->second.release();
}

std::vector<LeasedTarget> FleetOwner::takeReleased()
{
    return std::exchange(this->released, {});
}

void FleetOwner::request(const RunRequest &request, const Requester &requester, TimePoint now)
{
    HeldRun run;
    run.request = request;
    run.requester = requester;
    run.heldSince = now;
    run.bounds = { .objectiveAt = now + request.untilObjective,
                   .deadlineAt = now + request.untilDeadline };
    this->held.try_emplace(request.run, std::move(run));
}

void FleetOwner::keepOnly(const Requester &requester, const std::set<RunName> &wanted,
                          TimePoint now)
{
    const auto isMeant = [&](const HeldRun &run) {
        return run.requester == requester && !wanted.contains(run.request.run);
    };
    this->stopAll(isMeant, false, now);
}

void FleetOwner::dropOlderIncarnations(const Requester &requester, TimePoint now)
{
    const auto isMeant = [&](const HeldRun &run) {
        return run.requester.node == requester.node
            && run.requester.incarnation < requester.incarnation;
    };
    this->stopAll(isMeant, false, now);
}

// A node that is not heard may be cut off and alive, so the ends are kept to be told.
void FleetOwner::dropNode(const NodeName &node, TimePoint now)
{
    const auto isMeant = [&](const HeldRun &run) { return run.requester.node == node; };
    this->stopAll(isMeant, true, now);
}

void FleetOwner::stopAll(const std::function<bool(const HeldRun &)> &isMeant, bool isWanted,
                         TimePoint now)
{
    for (auto item = this->held.begin(); item != this->held.end();) {
        HeldRun &run = item->second;
        if (!isMeant(run)) {
            ++item;
            continue;
        }
        run.isWanted = run.isWanted && isWanted;
        this->cancel(run, now);
        const bool isDone = !run.isWanted && run.stage != Stage::AtTarget;
        item = isDone ? this->held.erase(item) : ++item;
    }
}

void FleetOwner::cancel(HeldRun &run, TimePoint now)
{
    if (run.stage == Stage::Queued) {
        run.stage = Stage::Ended;
        run.end = RunEndKind::NotStarted;
        run.endedAt = now;
    }
    if (run.stage != Stage::AtTarget || run.isStopping)
        return;
    run.isStopping = true;
    const auto found = this->drivers.find(run.target);
    HIBISCUS_INVARIANT(found != this->drivers.end(), "a run at a target has a driver");
    found->second.stop(run.request.run, now, this->out);
}

void FleetOwner::handleStartResponse(const OrderAddress &from, const RunName &run,
                                     const OrderResponse &answer, TimePoint now)
{
    if (TargetDriver *driver = this->driverOf(from))
        driver->handleStartResponse(run, answer, now, this->out);
    this->takeEnds(now);
}

void FleetOwner::handleStopResponse(const OrderAddress &from, const RunName &run,
                                    const OrderResponse &answer, TimePoint now)
{
    if (TargetDriver *driver = this->driverOf(from))
        driver->handleStopResponse(run, answer, now);
    this->takeEnds(now);
}

void FleetOwner::handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                                    const PollResponse &answer, TimePoint now)
{
    if (TargetDriver *driver = this->driverOf(from)) {
        const bool wasReconciled = driver->isReconciled();
        driver->handlePollResponse(sentAt, answer, now, this->out);
        driver->tick(now, this->out);
        if (!wasReconciled && driver->isReconciled())
            this->note(*driver, "settled");
    }
    this->takeEnds(now);
}

void FleetOwner::tick(const IsHeard &isHeard, TimePoint now)
{
    for (auto &[name, driver] : this->drivers)
        driver.tick(now, this->out);
    this->takeEnds(now);
    this->stopStragglers(now);
    this->watchTargets(now);
    std::erase_if(this->held, [&](const auto &item) {
        return item.second.stage == Stage::Ended
            && now >= item.second.endedAt + this->options.endLifetime;
    });
    this->place(isHeard, now);
}

// What is late already goes behind what can still be in time; then the more urgent class, then the
// earlier objective.
std::vector<FleetOwner::HeldRun *> FleetOwner::waitingRuns(TimePoint now)
{
    std::vector<HeldRun *> waiting;
    for (auto &[name, run] : this->held)
        if (run.stage == Stage::Queued)
            waiting.push_back(&run);
    std::ranges::sort(waiting, {}, [&](const HeldRun *run) {
        return std::tuple(run->bounds.objectiveAt < now, run->request.priority,
                          run->bounds.objectiveAt);
    });
    return waiting;
}

void FleetOwner::place(const IsHeard &isHeard, TimePoint now)
{
    this->dropTooLate(now);
    const std::vector<HeldRun *> waiting = this->waitingRuns(now);
    for (HeldRun *run : waiting) {
        if (!isHeard(run->requester) || this->isTaskBusy(run->request.run))
            continue;
        TargetDriver *driver = this->chooseTarget(*run, now);
        if (driver == nullptr)
            continue;
        run->stage = Stage::AtTarget;
        run->target = driver->target().name;
        run->startedAt = now;
        ++this->counts.started;
        driver->start(run->request, now, this->out);
    }
}

// A run that waits for another attempt at its task stays: elsewhere it would start beside that one.
void FleetOwner::returnWaiting(const ReserveCapacity &reserveCapacity, TimePoint now)
{
    for (HeldRun *run : this->waitingRuns(now)) {
        if (this->isTaskBusy(run->request.run))
            continue;
        if (now < run->heldSince + this->options.returnAfter
            || !reserveCapacity(run->request, run->bounds))
            continue;
        run->stage = Stage::Ended;
        run->end = RunEndKind::Returned;
        run->endedAt = now;
        ++this->counts.returned;
    }
}

void FleetOwner::distrustTargets()
{
    for (auto &[name, driver] : this->drivers)
        driver.distrust();
}

OwnerReport FleetOwner::report(TimePoint now) const
{
    OwnerReport report;
    for (const auto &[name, driver] : this->drivers)
        report.targets.push_back({ .name = name,
                                   .incarnation = driver.target().incarnation,
                                   .fencingToken = driver.fencingToken(),
                                   .service = driver.target().service,
                                   .labels = driver.target().labels,
                                   .capacity = driver.target().capacity,
                                   .free = driver.free(),
                                   .slowness = this->runTimes.slowness(driver.target()),
                                   .acceptsWork = driver.acceptsWork(now),
                                   .isReconciled = driver.isReconciled() });
    for (const auto &[name, run] : this->held) {
        if (run.stage != Stage::Queued)
            continue;
        ++report.queued;
        report.queuedWork += static_cast<std::int64_t>(static_cast<double>(run.request.demand.cpu)
                                                       * toSeconds(run.request.estimate));
    }
    return report;
}

void FleetOwner::noteTold(const Requester &requester)
{
    for (auto &[name, run] : this->held)
        if (run.stage == Stage::Ended && run.requester == requester)
            run.isTold = true;
}

std::map<Requester, RequesterState> FleetOwner::requesters() const
{
    std::map<Requester, RequesterState> requesters;
    for (const auto &[name, run] : this->held) {
        RequesterState &state = requesters[run.requester];
        if (run.stage != Stage::Ended)
            continue;
        state.hasEnds = true;
        state.hasNewEnds = state.hasNewEnds || (!run.isTold && !this->mayWait(run));
    }
    return requesters;
}

// A step is done when all of its tasks are, so the end of one that completed can go with the last
// one that is held here.
bool FleetOwner::mayWait(const HeldRun &ended) const
{
    if (ended.end != RunEndKind::Completed)
        return false;
    const RunName &name = ended.request.run;
    const RunName first = { .job = name.job, .step = name.step };
    for (auto item = this->held.lower_bound(first); item != this->held.end(); ++item) {
        if (item->first.job != name.job || item->first.step != name.step)
            return false;
        const HeldRun &other = item->second;
        if (other.stage != Stage::Ended && other.isWanted && other.requester == ended.requester)
            return true;
    }
    return false;
}

std::vector<RunEnd> FleetOwner::endsFor(const Requester &requester) const
{
    std::vector<RunEnd> ends;
    for (const auto &[name, run] : this->held)
        if (run.stage == Stage::Ended && run.requester == requester)
            ends.push_back({ .run = name, .kind = run.end, .runTime = run.runTime });
    return ends;
}

bool FleetOwner::knows(const RunName &run, const Requester &requester) const
{
    const auto found = this->held.find(run);
    return found != this->held.end() && found->second.requester == requester;
}

std::vector<TargetName> FleetOwner::targetNames() const
{
    std::vector<TargetName> names;
    for (const auto &[name, driver] : this->drivers)
        names.push_back(name);
    return names;
}

const LeasedTarget *FleetOwner::find(const TargetName &target) const
{
    const auto found = this->drivers.find(target);
    return found == this->drivers.end() ? nullptr : &found->second.target();
}

std::size_t FleetOwner::queuedRunCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->held, [](const auto &item) { return item.second.stage == Stage::Queued; }));
}

std::size_t FleetOwner::runningRunCount() const
{
    std::size_t count = 0;
    for (const auto &[name, driver] : this->drivers)
        count += driver.runCount();
    return count;
}

void FleetOwner::takeEnds(TimePoint now)
{
    const std::vector<RunEnd> ends = std::exchange(this->out.ends, {});
    for (const RunEnd &end : ends) {
        this->count(end.kind);
        const auto found = this->held.find(end.run);
        if (found == this->held.end())
            continue;
        HeldRun &run = found->second;
        const auto driver = this->drivers.find(run.target);
        if (end.kind == RunEndKind::Completed && driver != this->drivers.end()) {
            const LeasedTarget &target = driver->second.target();
            const Duration runTime = now - run.startedAt;
            run.runTime = fromSeconds(toSeconds(runTime) / this->runTimes.slowness(target));
            this->runTimes.learn(target, run.request.estimate, runTime);
        }
        run.stage = Stage::Ended;
        run.end = end.kind;
        run.endedAt = now;
        if (!run.isWanted)
            this->held.erase(found);
    }
}

void FleetOwner::count(RunEndKind kind)
{
    switch (kind) {
    case RunEndKind::Completed:
        ++this->counts.completed;
        break;
    case RunEndKind::Failed:
        ++this->counts.failed;
        break;
    case RunEndKind::NotStarted:
    case RunEndKind::Returned:
    case RunEndKind::TooLate:
    case RunEndKind::Superseded:
        ++this->counts.notStarted;
        break;
    case RunEndKind::Stopped:
        ++this->counts.stopped;
        break;
    case RunEndKind::Lost:
    case RunEndKind::Unknown:
        ++this->counts.lost;
        break;
    }
}

void FleetOwner::note(const TargetDriver &driver, std::string change)
{
    this->changes.push_back({ .target = driver.target().name,
                              .incarnation = driver.target().incarnation,
                              .fencingToken = driver.fencingToken(),
                              .change = std::move(change) });
}

TargetDriver *FleetOwner::driverOf(const OrderAddress &from)
{
    const auto found = this->drivers.find(from.target);
    const bool isCurrent
        = found != this->drivers.end() && found->second.target().incarnation == from.incarnation;
    return isCurrent ? &found->second : nullptr;
}

// The slowest target that still meets the objective, so that fast ones are kept for what needs
// them; if none does, the fastest. Among equals the fullest, so that wide holes stay whole.
TargetDriver *FleetOwner::chooseTarget(const HeldRun &run, TimePoint now)
{
    TargetDriver *best = nullptr;
    Duration bestTime {};
    Fitness bestFitness = Fitness::Hopeless;
    for (auto &[name, driver] : this->drivers) {
        if (!this->mayRunOn(driver, run, now))
            continue;
        const Duration time = this->runTimes.expected(driver.target(), run.request.estimate);
        const Fitness fitness = fitnessOf(run.bounds, time, now);
        bool isBetter = best == nullptr;
        if (best != nullptr && fitness != bestFitness)
            isBetter = fitness > bestFitness;
        else if (best != nullptr && time != bestTime)
            isBetter = fitness == Fitness::InTime ? time > bestTime : time < bestTime;
        else if (best != nullptr)
            isBetter = driver.free().cpu < best->free().cpu;
        if (!isBetter)
            continue;
        best = &driver;
        bestTime = time;
        bestFitness = fitness;
    }
    if (best != nullptr && bestFitness == Fitness::Hopeless && this->waitsForFaster(run, now))
        return nullptr;
    return best;
}

// A run that would miss its deadline on what is free waits while a busy target could still do it.
bool FleetOwner::waitsForFaster(const HeldRun &run, TimePoint now) const
{
    return std::ranges::any_of(this->drivers, [&](const auto &item) {
        const LeasedTarget &target = item.second.target();
        const Duration time = this->runTimes.expected(target, run.request.estimate);
        return target.service == run.request.service && item.second.acceptsWork(now)
            && target.capacity.covers(run.request.demand)
            && satisfies(target.labels, run.request.requiredLabel)
            && fitnessOf(run.bounds, time, now) != Fitness::Hopeless;
    });
}

void FleetOwner::stopStragglers(TimePoint now)
{
    for (auto &[name, run] : this->held) {
        if (run.stage != Stage::AtTarget || run.isStopping || run.isStraggling)
            continue;
        const auto found = this->drivers.find(run.target);
        if (found == this->drivers.end() || !this->straggles(run, found->second, now))
            continue;
        TargetDriver &driver = found->second;
        run.isStraggling = true;
        ++this->counts.stragglers;
        this->note(driver, "straggles");
        driver.noteStraggler();
        if (driver.stragglers() >= this->options.stragglersToAvoid)
            driver.avoid(now + this->options.avoidStraggler);
        driver.stop(name, now, this->out);
    }
}

// Only what the target itself has listed as running so late, not what it had no chance to tell;
// and only while there is time to do it again.
bool FleetOwner::straggles(const HeldRun &run, const TargetDriver &driver, TimePoint now) const
{
    const Duration time = this->runTimes.expected(driver.target(), run.request.estimate);
    const Duration bound
        = fromSeconds(this->options.straggling * toSeconds(time)) + this->options.stragglingSlack;
    const auto listedAt = driver.listedAt(run.request.run);
    return listedAt && *listedAt >= run.startedAt + bound
        && fitnessOf(run.bounds, this->shortestTime(run.request), now) != Fitness::Hopeless;
}

// What cannot end by its deadline on any target any more would only keep others from theirs.
void FleetOwner::dropTooLate(TimePoint now)
{
    for (auto &[name, run] : this->held) {
        if (run.stage != Stage::Queued)
            continue;
        if (now + this->shortestTime(run.request) <= run.bounds.deadlineAt)
            continue;
        run.stage = Stage::Ended;
        run.end = RunEndKind::TooLate;
        run.endedAt = now;
        ++this->counts.notStarted;
    }
}

/** \returns the expected time of \a request on the fastest target of its service here. */
Duration FleetOwner::shortestTime(const RunRequest &request) const
{
    Duration shortest = request.estimate;
    bool isFirst = true;
    for (const auto &[name, driver] : this->drivers) {
        if (driver.target().service != request.service)
            continue;
        const Duration time = this->runTimes.expected(driver.target(), request.estimate);
        shortest = isFirst ? time : std::min(shortest, time);
        isFirst = false;
    }
    return shortest;
}

bool FleetOwner::mayRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const
{
    const LeasedTarget &target = driver.target();
    const std::uint32_t most = run.request.maxPerTarget;
    return target.service == run.request.service && driver.acceptsWork(now)
        && driver.free().covers(run.request.demand)
        && satisfies(target.labels, run.request.requiredLabel)
        && (most == 0 || driver.countOf(run.request.run.job, run.request.run.step) < most);
}

// Two coordinators may have the same job, when its caller sent it again to another node: the
// former one's run has to end first.
bool FleetOwner::isTaskBusy(const RunName &run) const
{
    RunName first = run;
    first.attempt = 0;
    for (auto item = this->held.lower_bound(first); item != this->held.end(); ++item) {
        if (!item->first.isSameTask(run))
            return false;
        if (item->second.stage == Stage::AtTarget)
            return true;
    }
    return false;
}

void FleetOwner::watchTargets(TimePoint now)
{
    for (auto item = this->drivers.begin(); item != this->drivers.end();) {
        const TargetDriver &driver = item->second;
        std::string reason;
        if (driver.isFenced())
            reason = "fenced";
        else if (driver.isOver() && driver.runCount() == 0)
            reason = "over";
        else if (driver.isReleased())
            reason = "released";
        else if (now >= driver.heardAt() + this->options.forgetAfter)
            reason = "silent";
        else if (now >= driver.contactedAt() + this->options.unreachableAfter)
            reason = "unreachable";
        if (reason.empty()) {
            ++item;
            continue;
        }
        if (reason == "fenced")
            ++this->counts.fencedTargets;
        if (reason == "released")
            this->released.push_back(driver.target());
        this->note(driver, reason);
        this->runTimes.forget(item->first);
        this->abandonRuns(item->first, now);
        item = this->drivers.erase(item);
    }
}

// Whoever owns the target next stops what runs there, but this node will not hear of it.
void FleetOwner::abandonRuns(const TargetName &target, TimePoint now)
{
    for (auto item = this->held.begin(); item != this->held.end();) {
        HeldRun &run = item->second;
        const bool isThere = run.stage == Stage::AtTarget && run.target == target;
        if (isThere) {
            this->count(RunEndKind::Unknown);
            run.stage = Stage::Ended;
            run.end = RunEndKind::Unknown;
            run.endedAt = now;
        }
        item = isThere && !run.isWanted ? this->held.erase(item) : ++item;
    }
}

} // namespace Hibiscus
