#include "Hibiscus/src/Fleet/FleetOwner.h"

#include "Hibiscus/src/Fleet/FencingToken.h"

#include <algorithm>
#include <tuple>

namespace Hibiscus {

namespace internal {

/** \brief Time after which callers send a job again over a new connection; set by the platform. */
constexpr Duration callerResendDelay = 1300ms;
static_assert(FleetOwnerOptions {}.maxOrphanTime < callerResendDelay,
              "a run ends before its job can be sent again");

} // namespace internal

void FleetOwner::updateTarget(const LeasedTarget &target, TimePoint now)
{
    const auto found = this->drivers.find(target.name);
    const bool isCurrent
        = found == this->drivers.end() || !found->second.target().isNewerThan(target);
    if (isCurrent)
        this->evacuatedTargets.recordHeartbeat(target, now);
    if (found != this->drivers.end()) {
        TargetDriver &driver = found->second;
        if (target.incarnation <= driver.target().incarnation) {
            driver.handleHeartbeat(target, now);
            return;
        }
        driver.handleRestart(target, this->newToken(now), now);
        this->recordRestart(driver, now);
        return;
    }
    if (!this->makeRoomForTarget()) {
        ++this->counts.droppedTargets;
        return;
    }
    const auto [added, isNew] = this->drivers.try_emplace(target.name, this->options.driver, target,
                                                          this->newToken(now), now);
    HIBISCUS_INVARIANT(isNew, "a target has one driver");
    ++this->counts.adoptedTargets;
    this->recordChange(added->second, "adopted");
    added->second.tick(now, this->out);
}

// A target that exists responds within a round trip, so of those that haven't the oldest is the
// least likely to exist.
bool FleetOwner::makeRoomForTarget()
{
    if (this->drivers.size() >= this->options.maxTargets)
        return false;
    std::size_t count = 0;
    const TargetDriver *oldest = nullptr;
    for (const auto &[name, driver] : this->drivers) {
        if (driver.isKnownToExist())
            continue;
        ++count;
        const bool isOlder = oldest == nullptr || driver.lastContactAt() < oldest->lastContactAt();
        if (!driver.isPollInFlight() && isOlder)
            oldest = &driver;
    }
    if (count < this->options.maxUnansweredTargets)
        return true;
    if (oldest == nullptr)
        return false;
    ++this->counts.droppedTargets;
    this->recordChange(*oldest, "dropped");
    const TargetName name = oldest->target().name;
    this->forgetTarget(name);
    this->drivers.erase(name);
    return true;
}

void FleetOwner::forgetTarget(const TargetName &target)
{
    this->runTimes.remove(target);
    this->evacuatedTargets.removeTarget(target);
}

std::uint64_t FleetOwner::newToken(TimePoint now) const
{
    return FencingToken::at(now, this->options.tokenTag);
}

void FleetOwner::recordRestart(TargetDriver &driver, TimePoint now)
{
    this->runTimes.remove(driver.target().name);
    this->recordChange(driver, "restarted");
    driver.tick(now, this->out);
}

void FleetOwner::handleDeparture(const LeasedTarget &target, TimePoint now)
{
    const auto found = this->drivers.find(target.name);
    if (found != this->drivers.end() && found->second.target().incarnation == target.incarnation)
        found->second.handleDeparture(now, this->out);
}

void FleetOwner::releaseTarget(const TargetName &target)
{
    if (const auto found = this->drivers.find(target); found != this->drivers.end())
        found->second.startRelease();
}

std::vector<LeasedTarget> FleetOwner::takeReleasedTargets()
{
    return std::exchange(this->releasedTargets, {});
}

std::optional<TargetSpeed> FleetOwner::takeReleasedSpeed(const TargetName &target)
{
    const auto found = this->releasedSpeeds.extract(target);
    return found.empty() ? std::nullopt : std::optional(found.mapped());
}

void FleetOwner::adoptSpeed(const TargetSpeed &speed)
{
    const auto found = this->drivers.find(speed.target);
    if (found == this->drivers.end() || !this->options.usesRunForecasts)
        return;
    this->runTimes.adopt(speed);
    if (speed.isSlow)
        found->second.assumeSlow();
}

void FleetOwner::requestRun(const RunRequest &request, const Requester &requester, TimePoint now)
{
    if (this->options.packsTargets)
        this->packingModels[request.service].addDemand(request.demand);
    HeldRun run;
    run.request = request;
    run.requester = requester;
    run.queuedAt = now;
    run.bounds = { .objectiveAt = now + request.untilObjective,
                   .deadlineAt = now + request.untilDeadline };
    this->runs.try_emplace(request.run, std::move(run));
}

void FleetOwner::cancelUnwantedRuns(const Requester &requester, const std::set<RunName> &wantedRuns,
                                    TimePoint now)
{
    const auto matches = [&](const HeldRun &run) {
        return run.requester == requester && !wantedRuns.contains(run.request.run);
    };
    this->cancelMatching(matches, false, now);
}

void FleetOwner::withdrawRuns(const Requester &requester, const std::set<RunName> &withdrawnRuns,
                              TimePoint now)
{
    const auto matches = [&](const HeldRun &run) {
        return run.requester == requester && withdrawnRuns.contains(run.request.run);
    };
    this->cancelMatching(matches, true, now);
}

void FleetOwner::dropOlderIncarnations(const Requester &requester, TimePoint now)
{
    const auto matches = [&](const HeldRun &run) {
        return run.requester.node == requester.node
            && run.requester.incarnation < requester.incarnation;
    };
    this->cancelMatching(matches, false, now);
}

// An unreachable node may be alive behind a network partition, so the run ends are kept for it.
void FleetOwner::cancelRunsOfNode(const NodeName &node, TimePoint now)
{
    const auto matches = [&](const HeldRun &run) { return run.requester.node == node; };
    this->cancelMatching(matches, true, now);
}

void FleetOwner::cancelMatching(const std::function<bool(const HeldRun &)> &matches, bool isWanted,
                                TimePoint now)
{
    for (auto item = this->runs.begin(); item != this->runs.end();) {
        HeldRun &run = item->second;
        if (!matches(run)) {
            ++item;
            continue;
        }
        run.isWanted = run.isWanted && isWanted;
        this->cancelRun(run, now);
        const bool isDone = !run.isWanted && !run.mayRun();
        item = isDone ? this->runs.erase(item) : ++item;
    }
}

void FleetOwner::cancelRun(HeldRun &run, TimePoint now)
{
    if (run.stage == Stage::Queued)
        endRun(run, RunEndKind::NotStarted, now);
    if (run.stage == Stage::StartPending)
        run.isStopping = true;
    if (run.stage != Stage::OnTarget || run.isStopping)
        return;
    run.isStopping = true;
    const auto found = this->drivers.find(run.target);
    HIBISCUS_INVARIANT(found != this->drivers.end(), "a run at a target has a driver");
    found->second.stop(run.request.run, now, this->out);
}

void FleetOwner::handleStartResponse(const OrderAddress &from, const RunName &run,
                                     const OrderResponse &response, TimePoint now)
{
    if (TargetDriver *driver = this->findDriver(from))
        driver->handleStartResponse(run, from.fencingToken, response, now, this->out);
    this->processRunEnds(now);
}

void FleetOwner::handleStopResponse(const OrderAddress &from, const RunName &run,
                                    const OrderResponse &response, TimePoint now)
{
    if (TargetDriver *driver = this->findDriver(from))
        driver->handleStopResponse(run, from.fencingToken, response, now);
    this->processRunEnds(now);
}

void FleetOwner::handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                                    const PollResponse &response, TimePoint now)
{
    TargetDriver *driver = this->findDriver(from);
    // Targets that do not tell their incarnation in heartbeats have incarnation 0.
    const std::uint64_t incarnation
        = from.incarnation == 0 ? 0 : response.incarnation.value_or(from.incarnation);
    if (driver != nullptr && incarnation > from.incarnation) {
        // A restarted target may respond before its first heartbeat has arrived here.
        driver->handleUnannouncedRestart(incarnation, this->newToken(now), now);
        this->recordRestart(*driver, now);
    } else if (driver != nullptr) {
        const bool wasReconciled = driver->isReconciled();
        const bool wasRegaining = driver->isRegaining();
        // The response of a former incarnation tells nothing about the present one.
        const bool isOutdated = incarnation < from.incarnation;
        driver->handlePollResponse(sentAt, isOutdated ? PollResponse() : response, now, this->out);
        driver->tick(now, this->out);
        if (!wasReconciled && driver->isReconciled())
            this->recordChange(*driver, "settled");
        this->recordPollEffects(*driver, wasRegaining);
    }
    this->processRunEnds(now);
}

void FleetOwner::tick(const LastContact &lastContact, TimePoint now)
{
    this->extendWantedRuns(lastContact);
    for (auto &[name, driver] : this->drivers)
        driver.tick(now, this->out);
    this->processRunEnds(now);
    this->stopStragglers(now);
    if (this->options.usesRunForecasts)
        this->stopByForecast(now);
    this->removeLostTargets(now);
    std::erase_if(this->runs, [&](const auto &item) {
        return item.second.stage == Stage::Ended
            && now >= item.second.endedAt + this->options.endLifetime;
    });
    this->startQueuedRuns(lastContact, now);
}

TimePoint FleetOwner::validUntil(const HeldRun &run, TimePoint wantedAt) const
{
    return std::min(wantedAt + this->options.maxOrphanTime,
                    run.bounds.deadlineAt + this->options.maxOvertime);
}

void FleetOwner::extendWantedRuns(const LastContact &lastContact)
{
    for (const auto &[name, run] : this->runs) {
        if (run.stage != Stage::OnTarget || run.isStopping)
            continue;
        const auto driver = this->drivers.find(run.target);
        const auto wantedAt = lastContact(run.requester);
        if (driver != this->drivers.end() && wantedAt)
            driver->second.extendValidity(name, this->validUntil(run, *wantedAt));
    }
}

// Runs past their objective come last, after those that can still meet it; then the higher priority
// and the earlier objective come first.
std::vector<FleetOwner::HeldRun *> FleetOwner::queuedRuns(TimePoint now)
{
    std::vector<HeldRun *> queued;
    for (auto &[name, run] : this->runs)
        if (run.stage == Stage::Queued)
            queued.push_back(&run);
    std::ranges::sort(queued, {}, [&](const HeldRun *run) {
        return std::tuple(run->bounds.objectiveAt < now, run->request.priority,
                          run->bounds.objectiveAt);
    });
    return queued;
}

void FleetOwner::startQueuedRuns(const LastContact &lastContact, TimePoint now)
{
    this->returnEvacuatedRuns(now);
    this->endInfeasibleRuns(now);
    const std::vector<HeldRun *> queued = this->queuedRuns(now);
    for (HeldRun *run : queued) {
        const auto wantedAt = lastContact(run->requester);
        if (!wantedAt || this->isTaskRunning(run->request.run))
            continue;
        const TimePoint validUntil = this->validUntil(*run, *wantedAt);
        TargetDriver *driver = this->selectTarget(*run, validUntil, now);
        if (driver == nullptr)
            continue;
        run->stage = Stage::OnTarget;
        run->target = driver->target().name;
        run->startedAt = now;
        ++this->counts.started;
        if (run->request.run.attempt > 1)
            this->recordAttempt(*run, *driver, std::nullopt, now);
        driver->start(run->request, validUntil, now, this->out);
    }
}

// A run that waits for another attempt at its task stays: another owner would start it while that
// attempt still runs.
void FleetOwner::returnQueuedRuns(const ReserveCapacity &reserveCapacity, TimePoint now)
{
    for (HeldRun *run : this->queuedRuns(now)) {
        if (this->isTaskRunning(run->request.run))
            continue;
        if (now < run->queuedAt + this->options.returnDelay
            || !reserveCapacity(run->request, run->bounds))
            continue;
        endRun(*run, RunEndKind::Returned, now);
        ++this->counts.returned;
    }
}

void FleetOwner::endRun(HeldRun &run, RunEndKind kind, TimePoint now)
{
    run.stage = Stage::Ended;
    run.end = kind;
    run.endedAt = now;
}

void FleetOwner::invalidateTargetContacts(TimePoint now)
{
    for (auto &[name, driver] : this->drivers)
        driver.invalidateContact(now);
}

OwnerReport FleetOwner::report(TimePoint now) const
{
    OwnerReport report;
    for (const auto &[name, driver] : this->drivers) {
        if (!driver.isKnownToExist())
            continue;
        report.targets.push_back(
            { .name = name,
              .incarnation = driver.target().incarnation,
              .fencingToken = driver.fencingToken(),
              .service = driver.target().service,
              .labels = driver.target().labels,
              .capacity = driver.target().capacity,
              .free = this->usableCapacity(driver, now),
              .slowness = this->runTimes.slowness(driver.target()),
              .acceptsWork = this->acceptsRuns(driver, now),
              .isWithheld = driver.acceptsWork(now)
                  && this->evacuatedTargets.isEvacuated(driver.target().domain),
              .isReconciled = driver.isReconciled() });
    }
    for (const auto &[name, run] : this->runs) {
        if (run.stage != Stage::Queued)
            continue;
        ++report.queued;
        report.queuedWork[run.request.priority] += static_cast<std::int64_t>(
            static_cast<double>(run.request.demand.cpu) * toSeconds(run.request.estimate));
    }
    return report;
}

void FleetOwner::markEndsReported(const Requester &requester)
{
    for (auto &[name, run] : this->runs)
        if (run.stage == Stage::Ended && run.requester == requester)
            run.isReported = true;
}

std::map<Requester, RequesterState> FleetOwner::requesters() const
{
    std::map<Requester, RequesterState> requesters;
    for (const auto &[name, run] : this->runs) {
        RequesterState &state = requesters[run.requester];
        if (run.stage != Stage::Ended)
            continue;
        state.hasEndedRuns = true;
        state.hasUnreportedEnds
            = state.hasUnreportedEnds || (!run.isReported && !this->canDeferReport(run));
    }
    return requesters;
}

// Dependent steps wait for all tasks of a step, so the end of a completed run may be reported
// together with that of the last run of the step at this owner.
bool FleetOwner::canDeferReport(const HeldRun &ended) const
{
    if (ended.end != RunEndKind::Completed)
        return false;
    const RunName &name = ended.request.run;
    const RunName first = { .job = name.job, .step = name.step };
    for (auto item = this->runs.lower_bound(first); item != this->runs.end(); ++item) {
        if (item->first.job != name.job || item->first.step != name.step)
            return false;
        const HeldRun &other = item->second;
        if (other.stage != Stage::Ended && other.isWanted && other.requester == ended.requester)
            return true;
    }
    return false;
}

std::vector<UncertainStart> FleetOwner::uncertainStarts(TimePoint now) const
{
    std::vector<UncertainStart> starts;
    for (const auto &[name, driver] : this->drivers)
        for (UncertainStart &start : driver.uncertainStarts(now))
            starts.push_back(std::move(start));
    return starts;
}

std::vector<DrivenTarget> FleetOwner::drivenTargets(TimePoint now) const
{
    std::vector<DrivenTarget> targets;
    for (const auto &[name, driver] : this->drivers)
        if (driver.isKnownToExist())
            targets.push_back(driver.describe(now));
    return targets;
}

std::vector<RunEnd> FleetOwner::runEndsFor(const Requester &requester) const
{
    std::vector<RunEnd> runEnds;
    for (const auto &[name, run] : this->runs)
        if (run.stage == Stage::Ended && run.requester == requester)
            runEnds.push_back({ .run = name, .kind = run.end, .runTime = run.normalizedRunTime });
    return runEnds;
}

std::vector<RunName> FleetOwner::stoppingRunsFor(const Requester &requester) const
{
    std::vector<RunName> stopping;
    for (const auto &[name, run] : this->runs)
        if (run.mayRun() && run.isStopping && run.isWanted && run.requester == requester)
            stopping.push_back(name);
    return stopping;
}

std::vector<RunName> FleetOwner::begunRunsFor(const Requester &requester) const
{
    std::vector<RunName> begun;
    for (const auto &[name, run] : this->runs) {
        if (run.stage != Stage::OnTarget || run.requester != requester)
            continue;
        const auto driver = this->drivers.find(run.target);
        if (driver != this->drivers.end() && driver->second.hasBegun(name))
            begun.push_back(name);
    }
    return begun;
}

bool FleetOwner::holdsRun(const RunName &run, const Requester &requester) const
{
    const auto found = this->runs.find(run);
    return found != this->runs.end() && found->second.requester == requester;
}

// A run of that name that is held for another requester may have run. A later attempt number tells
// them apart.
RunEnd FleetOwner::endOfUnknownRun(const RunName &run) const
{
    return { .run = run,
             .kind = this->runs.contains(run) ? RunEndKind::Superseded : RunEndKind::NotStarted };
}

std::vector<TargetName> FleetOwner::targetNames() const
{
    std::vector<TargetName> names;
    for (const auto &[name, driver] : this->drivers)
        names.push_back(name);
    return names;
}

const LeasedTarget *FleetOwner::findTarget(const TargetName &target) const
{
    const auto found = this->drivers.find(target);
    return found == this->drivers.end() ? nullptr : &found->second.target();
}

std::size_t FleetOwner::queuedRunCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->runs, [](const auto &item) { return item.second.stage == Stage::Queued; }));
}

std::size_t FleetOwner::runningRunCount() const
{
    std::size_t count = 0;
    for (const auto &[name, driver] : this->drivers)
        count += driver.runCount();
    return count;
}

void FleetOwner::recordPollEffects(TargetDriver &driver, bool wasRegaining)
{
    for (RunName &run : std::exchange(this->out.foreignRuns, {}))
        this->foreignRuns.push_back({ .run = std::move(run),
                                      .target = driver.target().name,
                                      .incarnation = driver.target().incarnation,
                                      .fencingToken = driver.fencingToken() });
    if (!wasRegaining || driver.isRegaining() || driver.isFenced())
        return;
    ++this->counts.regainedTargets;
    this->recordChange(driver, "regained");
}

void FleetOwner::processRunEnds(TimePoint now)
{
    const std::vector<ObservedRunEnd> runEnds = std::exchange(this->out.runEnds, {});
    for (const ObservedRunEnd &end : runEnds) {
        this->countRunEnd(end.kind);
        const auto found = this->runs.find(end.run);
        if (found == this->runs.end())
            continue;
        HeldRun &run = found->second;
        const auto driver = this->drivers.find(run.target);
        if (end.kind == RunEndKind::Completed && driver != this->drivers.end()) {
            const LeasedTarget &target = driver->second.target();
            const Duration runTime = now - run.startedAt;
            const Duration expected = this->runTimes.expectedRunTime(target, run.request.estimate);
            if (this->options.usesRunForecasts)
                this->recordPace(run, driver->second, paceOf(runTime, expected), now);
            run.normalizedRunTime
                = fromSeconds(toSeconds(runTime) / this->runTimes.slowness(target));
            this->runTimes.addRun(target, run.request.estimate, runTime);
        }
        if (end.kind != RunEndKind::Completed && driver != this->drivers.end())
            this->recordAttempt(run, driver->second, end, now);
        const bool isHopeless
            = end.kind == RunEndKind::Stopped && run.verdict == RunVerdict::GiveUp;
        endRun(run, isHopeless ? RunEndKind::Hopeless : end.kind, now);
        if (end.kind == RunEndKind::Stopped)
            run.normalizedRunTime = run.forecastRunTime;
        if (!run.isWanted)
            this->runs.erase(found);
    }
}

void FleetOwner::countRunEnd(RunEndKind kind)
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
    case RunEndKind::Hopeless:
        ++this->counts.stopped;
        break;
    case RunEndKind::Lost:
    case RunEndKind::Unknown:
    case RunEndKind::StartPending:
        ++this->counts.lost;
        break;
    }
}

void FleetOwner::recordChange(const TargetDriver &driver, std::string change)
{
    this->changes.push_back({ .target = driver.target().name,
                              .incarnation = driver.target().incarnation,
                              .fencingToken = driver.fencingToken(),
                              .change = std::move(change),
                              .isKnownToExist = driver.isKnownToExist() });
}

void FleetOwner::recordAttempt(const HeldRun &run, const TargetDriver &driver,
                               const std::optional<ObservedRunEnd> &end, TimePoint now)
{
    this->recordAttempt(run,
                        { .target = driver.target().name,
                          .incarnation = driver.target().incarnation,
                          .fencingToken = driver.fencingToken() },
                        end, now);
}

void FleetOwner::recordAttempt(const HeldRun &run, const OrderAddress &target,
                               const std::optional<ObservedRunEnd> &end, TimePoint now)
{
    this->attempts.push_back({ .run = run.request.run,
                               .target = target.target,
                               .incarnation = target.incarnation,
                               .fencingToken = target.fencingToken,
                               .requester = run.requester.node,
                               .end = end,
                               .sinceStart = now - run.startedAt });
}

TargetDriver *FleetOwner::findDriver(const OrderAddress &from)
{
    const auto found = this->drivers.find(from.target);
    const bool isCurrent
        = found != this->drivers.end() && found->second.target().incarnation == from.incarnation;
    return isCurrent ? &found->second : nullptr;
}

void FleetOwner::stopStragglers(TimePoint now)
{
    for (auto &[name, run] : this->runs) {
        if (run.stage != Stage::OnTarget || run.isStopping || run.isStraggler)
            continue;
        const auto found = this->drivers.find(run.target);
        if (found == this->drivers.end() || !this->isStragglingOn(run, found->second, now))
            continue;
        TargetDriver &driver = found->second;
        run.isStraggler = true;
        ++this->counts.stragglers;
        this->recordChange(driver, "straggles");
        driver.recordStraggler();
        if (driver.stragglerCount() >= this->options.stragglersToAvoid)
            driver.avoid(now + this->options.stragglerAvoidance);
        driver.stop(name, now, this->out);
    }
}

Duration FleetOwner::stragglerBound(Duration expectedRunTime) const
{
    return fromSeconds(this->options.stragglerFactor * toSeconds(expectedRunTime))
        + this->options.stragglerSlack;
}

// A run counts as a straggler only if its target itself has listed it as running that late, not if
// the target had no opportunity to report its end, and only while there is time to run it again.
bool FleetOwner::isStragglingOn(const HeldRun &run, const TargetDriver &driver, TimePoint now) const
{
    const Duration bound = this->stragglerBound(
        this->runTimes.expectedRunTime(driver.target(), run.request.estimate));
    const auto listedAt = driver.listedAt(run.request.run);
    const RunForecast *forecast = driver.forecastOf(run.request.run);
    if (this->options.usesRunForecasts && driver.listsProgress() && forecast != nullptr
        && forecast->shortestRunTime())
        return false;
    return listedAt && *listedAt >= run.startedAt + bound
        && fitnessOf(run.bounds, this->minExpectedRunTime(run.request), now) != Fitness::Infeasible;
}

// A run that can no longer meet its deadline on any target would only delay others.
void FleetOwner::endInfeasibleRuns(TimePoint now)
{
    for (auto &[name, run] : this->runs) {
        if (run.stage != Stage::Queued)
            continue;
        if (now + this->minExpectedRunTime(run.request) <= run.bounds.deadlineAt)
            continue;
        endRun(run, RunEndKind::TooLate, now);
        ++this->counts.notStarted;
    }
}

/** \returns the expected run time of \a request on the fastest own target of its service. */
Duration FleetOwner::minExpectedRunTime(const RunRequest &request) const
{
    Duration shortest = request.estimate;
    bool isFirst = true;
    for (const auto &[name, driver] : this->drivers) {
        if (driver.target().service != request.service)
            continue;
        const Duration time = this->runTimes.expectedRunTime(driver.target(), request.estimate);
        shortest = isFirst ? time : std::min(shortest, time);
        isFirst = false;
    }
    return shortest;
}

// Two coordinators may have the same job, when its caller sent it again to another node: the run of
// the first one has to end before.
bool FleetOwner::isTaskRunning(const RunName &run) const
{
    RunName first = run;
    first.attempt = 0;
    for (auto item = this->runs.lower_bound(first); item != this->runs.end(); ++item) {
        if (!item->first.isSameTask(run))
            return false;
        if (item->second.mayRun())
            return true;
    }
    return false;
}

void FleetOwner::removeLostTargets(TimePoint now)
{
    for (auto item = this->drivers.begin(); item != this->drivers.end();) {
        const TargetDriver &driver = item->second;
        std::string reason;
        if (driver.isFenced())
            reason = "fenced";
        else if (driver.isEnded() && driver.runCount() == 0)
            reason = "over";
        else if (driver.isReleased())
            reason = "released";
        else if (now >= driver.lastSeenAt() + this->options.targetSilenceTimeout)
            reason = "silent";
        else if (now >= driver.lastContactAt() + this->options.unreachableTimeout)
            reason = "unreachable";
        if (reason.empty()) {
            ++item;
            continue;
        }
        if (reason == "fenced")
            ++this->counts.fencedTargets;
        if (reason == "released")
            this->recordReleased(driver);
        this->recordChange(driver, reason);
        this->forgetTarget(item->first);
        this->endRunsOfRemovedTarget(driver, now);
        item = this->drivers.erase(item);
    }
}

void FleetOwner::recordReleased(const TargetDriver &driver)
{
    const TargetName &name = driver.target().name;
    this->releasedTargets.push_back(driver.target());
    if (!this->options.usesRunForecasts)
        return;
    TargetSpeed speed = this->runTimes.speedOf(name);
    speed.isSlow = driver.isSlow();
    this->releasedSpeeds[name] = speed;
}

// The next owner of the target stops its runs, but this node does not receive the results. A start
// that the target may execute later is no run yet: neither its lease nor the next owner ends it
// before it begins, so its task is not given back.
void FleetOwner::endRunsOfRemovedTarget(const TargetDriver &driver, TimePoint now)
{
    for (auto item = this->runs.begin(); item != this->runs.end();) {
        HeldRun &run = item->second;
        if (run.stage != Stage::OnTarget || run.target != driver.target().name) {
            ++item;
            continue;
        }
        const std::optional<std::uint64_t> startToken = driver.pendingStart(item->first);
        const RunEndKind kind = startToken ? RunEndKind::StartPending : RunEndKind::Unknown;
        this->recordAttempt(run, driver,
                            ObservedRunEnd { .run = run.request.run,
                                             .kind = kind,
                                             .evidence = RunEndEvidence::TargetRemoved,
                                             .contactAge = now - driver.lastContactAt() },
                            now);
        if (startToken) {
            run.stage = Stage::StartPending;
            run.pendingStart = { .target = run.target,
                                 .incarnation = driver.target().incarnation,
                                 .fencingToken = *startToken };
            run.startExpiresAt = now + maxStartLateness;
            ++item;
            continue;
        }
        this->countRunEnd(kind);
        endRun(run, kind, now);
        item = run.isWanted ? ++item : this->runs.erase(item);
    }
}

void FleetOwner::endPendingStarts(const HasFenced &hasFenced, TimePoint now)
{
    for (auto item = this->runs.begin(); item != this->runs.end();) {
        HeldRun &run = item->second;
        if (run.stage != Stage::StartPending) {
            ++item;
            continue;
        }
        if (hasFenced(run.target, run.pendingStart.fencingToken))
            this->endPendingStart(run, RunEndKind::Lost, RunEndEvidence::TargetFenced, now);
        else if (now >= run.startExpiresAt)
            this->endPendingStart(run, RunEndKind::Lost, RunEndEvidence::StartExpired, now);
        else if (run.isWanted
                 && now + this->minExpectedRunTime(run.request) > run.bounds.deadlineAt)
            this->endPendingStart(run, RunEndKind::StartPending, RunEndEvidence::TargetRemoved,
                                  now);
        item = run.stage == Stage::Ended && !run.isWanted ? this->runs.erase(item) : ++item;
    }
}

void FleetOwner::endPendingStart(HeldRun &run, RunEndKind kind, RunEndEvidence evidence,
                                 TimePoint now)
{
    this->recordAttempt(
        run, run.pendingStart,
        ObservedRunEnd { .run = run.request.run, .kind = kind, .evidence = evidence }, now);
    this->countRunEnd(kind);
    endRun(run, kind, now);
}

} // namespace Hibiscus
