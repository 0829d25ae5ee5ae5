#include "Hibiscus/src/Fleet/TargetDriver.h"

#include "Hibiscus/src/Fleet/FencingToken.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief First increment of a fencing token that is too low because a previous owner's clock was
 * ahead: five seconds; doubled until the target accepts the token.
 */
constexpr std::uint64_t firstTokenStep = 5'000 * FencingToken::tagCount;

static RunEndKind kindOf(TargetRunEnd end)
{
    switch (end) {
    case TargetRunEnd::Completed:
        return RunEndKind::Completed;
    case TargetRunEnd::Failed:
        return RunEndKind::Failed;
    case TargetRunEnd::Stopped:
        return RunEndKind::Stopped;
    case TargetRunEnd::LeaseExpired:
        break;
    }
    return RunEndKind::Lost;
}

} // namespace internal

TargetDriver::TargetDriver(const TargetDriverOptions &options, const LeasedTarget &target,
                           std::uint64_t fencingToken, TimePoint now)
    : options(options), heartbeat(target), token(fencingToken), tokenStep(internal::firstTokenStep),
      tokenRaisedAt(now), takenOverAt(now), heartbeatAt(now), targetClockMs(target.clockMs),
      targetClockReadAt(now), leasedUntil(now + this->longestLease())
{ }

void TargetDriver::handleHeartbeat(const LeasedTarget &target, TimePoint now)
{
    if (target.incarnation != this->heartbeat.incarnation
        || (!this->awaitsHeartbeat && !target.isNewerThan(this->heartbeat)))
        return;
    this->heartbeatAt = now;
    this->heartbeat = target;
    this->awaitsHeartbeat = false;
}

void TargetDriver::handleDeparture(TimePoint now, DriverOutbox &out)
{
    if (this->isDeparting)
        return;
    this->isDeparting = true;
    for (auto &[name, run] : this->runs)
        if (!std::exchange(run.isStopWanted, true))
            this->sendStop(name, run, now, out);
}

// Restarted targets know nothing of former orders and tokens, and their clocks and counts begin
// anew.
void TargetDriver::handleRestart(const LeasedTarget &target, std::uint64_t fencingToken,
                                 TimePoint now)
{
    TargetDriver restarted(this->options, target,
                           std::max(FencingToken::raised(this->orderToken(), 1), fencingToken),
                           now);
    restarted.runs = std::move(this->runs);
    restarted.usedCapacity = this->usedCapacity;
    restarted.isReleasing = this->isReleasing;
    restarted.lastPollFailed = true; // connections to the former process are broken
    for (auto &[name, run] : restarted.runs)
        restarted.requireConfirmedStop(run, now);
    *this = std::move(restarted);
}

void TargetDriver::handleUnannouncedRestart(std::uint64_t incarnation, std::uint64_t fencingToken,
                                            TimePoint now)
{
    LeasedTarget target = this->heartbeat;
    target.incarnation = incarnation;
    target.clockMs = 0;
    this->handleRestart(target, fencingToken, now);
    this->awaitsHeartbeat = true;
}

// The response to a start of the former incarnation is not awaited any more, but the start may
// still be executed. A confirmed run needs no stop: the lists of runs show whether it goes on.
void TargetDriver::requireConfirmedStop(Run &run, TimePoint now)
{
    if (run.phase == Phase::Starting) {
        run.phase = Phase::Unanswered;
        run.unansweredAt = now;
    }
    run.isStopWanted = run.isStopWanted || run.phase == Phase::Unanswered;
    run.isStopInFlight = false;
    run.stopConfirmedAt.reset();
    run.stopAt = now;
    run.listedAt.reset();
    run.missingSince.reset();
    run.startClockMs.reset();
    run.forecast = {};
}

void TargetDriver::start(const RunRequest &request, TimePoint validUntil, TimePoint now,
                         DriverOutbox &out)
{
    HIBISCUS_INVARIANT(!this->runs.contains(request.run), "an attempt is started once");
    Run run;
    run.demand = request.demand;
    run.validUntil = validUntil;
    run.startToken = this->orderToken();
    this->runs[request.run] = run;
    this->usedCapacity = this->usedCapacity.plus(request.demand);
    out.orders.emplace_back(
        StartOrder { .to = this->address(),
                     .run = request.run,
                     .spec = request.spec,
                     .leaseExpiryMs = this->renewLease(this->leaseLimit(now)) });
}

void TargetDriver::extendValidity(const RunName &run, TimePoint until)
{
    const auto found = this->runs.find(run);
    if (found != this->runs.end() && !found->second.isStopWanted)
        found->second.validUntil = std::max(found->second.validUntil, until);
}

void TargetDriver::stop(const RunName &run, TimePoint now, DriverOutbox &out)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end() || found->second.isStopWanted)
        return;
    found->second.isStopWanted = true;
    this->sendStop(found->first, found->second, now, out);
}

void TargetDriver::handleStartResponse(const RunName &run, std::uint64_t sentToken,
                                       const OrderResponse &response, TimePoint now,
                                       DriverOutbox &out)
{
    this->recordResponse(response.clockMs, now);
    const auto found = this->runs.find(run);
    if (response.status == OrderStatus::Fenced)
        this->handleFenced(sentToken, now);
    if (response.status == OrderStatus::Unhealthy || response.status == OrderStatus::NotSent)
        this->recordRefusal(now);
    if (response.status == OrderStatus::InsufficientCapacity)
        this->avoid(now + this->options.insufficientCapacityPause);
    if (response.status == OrderStatus::StaleIncarnation)
        this->ended = true;
    if (response.status != OrderStatus::Unanswered)
        this->timeoutsInRow = 0;
    if (found == this->runs.end())
        return;
    if (response.status == OrderStatus::Done) {
        if (found->second.phase == Phase::Starting)
            found->second.phase = Phase::Running;
        found->second.confirmedAt = now;
        found->second.startClockMs = response.clockMs;
        return;
    }
    // The start may still arrive: only a confirmed stop ensures that it has no effect.
    if (response.status == OrderStatus::Unanswered) {
        this->recordTimeout(now);
        found->second.phase = Phase::Unanswered;
        found->second.unansweredAt = now;
        this->stop(run, now, out);
        return;
    }
    const bool isSuperseded = response.status == OrderStatus::Superseded;
    this->endRun(run, isSuperseded ? RunEndKind::Superseded : RunEndKind::NotStarted,
                 RunEndEvidence::StartResponse, now, out);
}

void TargetDriver::handleStopResponse(const RunName &run, std::uint64_t sentToken,
                                      const OrderResponse &response, TimePoint now)
{
    this->recordResponse(response.clockMs, now);
    if (response.status == OrderStatus::Fenced)
        this->handleFenced(sentToken, now);
    if (response.status == OrderStatus::StaleIncarnation)
        this->ended = true;
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    found->second.isStopInFlight = false;
    found->second.stopAt = now + this->options.stopRetryInterval;
    if (response.status != OrderStatus::Done)
        return;
    // The target lists the end soon; the next poll shows whether the run still goes on.
    found->second.stopConfirmedAt = now;
    this->nextPollAt = now;
}

// When a target is released and taken over again, a poll of its previous driver may still be in
// flight. Its response may be older than a start that was confirmed since, so no run may be ended
// by it.
void TargetDriver::handlePollResponse(TimePoint sentAt, const PollResponse &response, TimePoint now,
                                      DriverOutbox &out)
{
    if (!this->isPolling || sentAt != this->pollSentAt)
        return;
    this->isPolling = false;
    this->nextPollAt = now;
    this->lastPollFailed = response.status != OrderStatus::Done;
    if (response.status == OrderStatus::StaleIncarnation)
        this->ended = true;
    if (this->lastPollFailed)
        this->nextPollAt = now + this->options.retryInterval;
    if (response.status == OrderStatus::Fenced)
        this->handleFenced(this->orderToken(), now);
    if (this->lastPollFailed)
        return;
    this->regaining = false;
    this->acceptedToken = this->orderToken();
    this->recordResponse(response.clockMs, now);
    if (response.clockMs && sentAt >= this->contactInvalidatedAt)
        this->isContactValid = true;
    std::vector<EndedRun> ended = response.ended;
    std::ranges::sort(ended, {}, &EndedRun::number);
    for (const EndedRun &listed : ended) {
        if (listed.number <= this->acknowledgedEnd)
            continue;
        this->acknowledgedEnd = listed.number;
        this->recordOutcome(listed, now);
        this->endRun(listed.run, internal::kindOf(listed.end), RunEndEvidence::ListedAsEnded, now,
                     out);
    }
    this->addProgress(response);
    this->endUnlistedRuns(response, now, out);
    this->stopForeignRuns(response, now, out);
    this->endForeignRuns(response, now);
    this->reconcile(response, now);
}

void TargetDriver::tick(TimePoint now, DriverOutbox &out)
{
    if (this->isDeparting && now >= this->leasedUntil && !this->hasPendingStart())
        this->ended = true;
    if (this->ended)
        this->endAllRuns(now, out);
    if (this->ended || this->fenced)
        return;
    for (auto &[name, run] : this->runs)
        if (run.isStopWanted && !run.isStopInFlight && !run.stopConfirmedAt && now >= run.stopAt)
            this->sendStop(name, run, now, out);
    if (!this->isPolling && now >= this->nextPollAt)
        this->poll(now, out);
}

bool TargetDriver::acceptsWork(TimePoint now) const
{
    return this->hasOnlyOwnRuns() && !this->awaitsHeartbeat && !this->fenced && !this->regaining
        && !this->ended && !this->isDeparting && !this->isReleasing
        && this->heartbeat.state == TargetState::Ready && this->isContactValid
        && this->heartbeatAge(now) <= this->options.heartbeatLifetime && now >= this->avoidUntil
        && now < this->lastResponseAt + this->options.contactLifetime
        && now + this->options.minLeaseForWork <= this->leaseLimit(now);
}

// A heartbeat may have waited in a socket, or have been handed over by another node, so its age is
// measured by the target's clock. Targets that tell no clock in heartbeats have clock 0.
Duration TargetDriver::heartbeatAge(TimePoint now) const
{
    if (this->heartbeat.clockMs == 0)
        return now - this->heartbeatAt;
    const std::chrono::milliseconds age(this->targetClockMs - this->heartbeat.clockMs);
    return age + (now - this->targetClockReadAt);
}

std::optional<TimePoint> TargetDriver::listedAt(const RunName &run) const
{
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? std::nullopt : found->second.listedAt;
}

const RunForecast *TargetDriver::forecastOf(const RunName &run) const
{
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? nullptr : &found->second.forecast;
}

std::uint32_t TargetDriver::runCountOf(const std::string &job, std::uint32_t step) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->runs, [&](const auto &r) { return r.first.job == job && r.first.step == step; }));
}

DrivenTarget TargetDriver::describe(TimePoint now) const
{
    OrderAddress address = this->address();
    address.fencingToken = this->token;
    const bool isFenceWanted = std::ranges::any_of(
        this->runs, [&](const auto &r) { return this->isUncertain(r.second, now); });
    return { .address = address, .isFenceWanted = isFenceWanted };
}

bool TargetDriver::isStartPending(const Run &run) const
{
    return run.phase != Phase::Running && !run.stopConfirmedAt
        && run.startToken >= this->acceptedToken;
}

bool TargetDriver::hasPendingStart() const
{
    return std::ranges::any_of(this->runs,
                               [&](const auto &r) { return this->isStartPending(r.second); });
}

std::optional<std::uint64_t> TargetDriver::pendingStart(const RunName &run) const
{
    const auto found = this->runs.find(run);
    const bool isPending
        = found != this->runs.end() && !this->fenced && this->isStartPending(found->second);
    return isPending ? std::optional(found->second.startToken) : std::nullopt;
}

bool TargetDriver::isUncertain(const Run &run, TimePoint now) const
{
    return run.phase == Phase::Unanswered && this->isStartPending(run)
        && now >= run.unansweredAt + this->options.fenceDelay;
}

std::vector<UncertainStart> TargetDriver::uncertainStarts(TimePoint now) const
{
    std::vector<UncertainStart> starts;
    for (const auto &[name, run] : this->runs)
        if (this->isUncertain(run, now))
            starts.push_back({ .run = name,
                               .target = this->heartbeat.name,
                               .fencingToken = run.startToken,
                               .unansweredAt = run.unansweredAt });
    return starts;
}

std::uint64_t TargetDriver::orderToken() const
{
    return FencingToken::raised(this->token, this->raises);
}

OrderAddress TargetDriver::address() const
{
    return { .target = this->heartbeat.name,
             .incarnation = this->heartbeat.incarnation,
             .address = this->heartbeat.address,
             .fencingToken = this->orderToken() };
}

TimePoint TargetDriver::leaseLimit(TimePoint now) const
{
    TimePoint limit = now + std::min(this->options.lease, this->options.maxRenewal);
    for (const auto &[name, run] : this->runs)
        limit = std::min(limit, run.validUntil);
    return limit;
}

Duration TargetDriver::longestLease() const
{
    return fromSeconds(toSeconds(this->options.lease) / (1 - this->options.maxClockDrift));
}

// A slow clock reaches a reading later, so the time since the clock was read counts for less.
std::int64_t TargetDriver::renewLease(TimePoint limit)
{
    this->leasedUntil = std::max(this->leasedUntil, limit);
    const double elapsed = toSeconds(limit - this->targetClockReadAt);
    return this->targetClockMs
        + toMilliseconds(fromSeconds((1 - this->options.maxClockDrift) * elapsed));
}

void TargetDriver::invalidateContact(TimePoint now)
{
    this->isContactValid = false;
    this->contactInvalidatedAt = now;
}

void TargetDriver::recordResponse(std::optional<std::int64_t> clockMs, TimePoint now)
{
    if (!clockMs)
        return;
    this->lastResponseAt = now;
    this->targetClockMs = *clockMs;
    this->targetClockReadAt = now;
}

// Before the target is reconciled, a rejected token only means that the previous owner's clock was
// ahead, since tokens are taken from clocks. Afterwards, a guardian may have taken this owner for
// lost: its token is passed by a small step, that of another owner is not. After a restart that was
// announced to another node, that node owns the target.
void TargetDriver::handleFenced(std::uint64_t sentToken, TimePoint now)
{
    if (sentToken < this->orderToken())
        return;
    if (now >= this->regainsCountedSince + this->options.minTenure) {
        this->regainsCountedSince = now;
        this->regains = 0;
    }
    const bool hasOtherOwner = this->regaining || this->regains >= this->options.maxRegains
        || now < this->takenOverAt + this->options.minTenure;
    if (this->awaitsHeartbeat || (this->reconciled && hasOtherOwner)) {
        this->fenced = true;
        return;
    }
    this->nextPollAt = now;
    this->isPolling = false;
    if (!this->reconciled) {
        this->token += this->tokenStep;
        this->tokenStep *= 2;
        return;
    }
    this->token = FencingToken::afterFence(this->orderToken());
    this->raises = 0;
    ++this->regains;
    this->regaining = true;
}

// Doubles the previous pause, and starts with \a first.
void TargetDriver::extendAvoidance(Duration first, TimePoint now)
{
    this->avoidance = std::clamp(2 * this->avoidance, first, this->options.maxAvoidance);
    this->avoid(now + this->avoidance);
}

// Nothing is started during the pause, so outcomes that arrive in it are those of starts that were
// sent before: together they are one observation.
void TargetDriver::recordRefusal(TimePoint now)
{
    if (now < this->refusalPauseEndsAt)
        return;
    this->extendAvoidance(this->options.avoidAfterRefusal, now);
    this->refusalPauseEndsAt = now + this->avoidance;
}

// A faulty job fails on every target, so only failures of different jobs in a row indicate a faulty
// target.
void TargetDriver::recordOutcome(const EndedRun &listed, TimePoint now)
{
    if (listed.end == TargetRunEnd::Completed) {
        this->failuresInRow = 0;
        this->stragglersInRow = 0;
        this->avoidance = {};
    }
    if (listed.end != TargetRunEnd::Failed || listed.run.job == this->lastFailedJob)
        return;
    this->lastFailedJob = listed.run.job;
    if (++this->failuresInRow >= this->options.failuresToAvoid)
        this->extendAvoidance(this->options.avoidAfterFailures, now);
}

// A single job may be long by itself; its tasks are then slow on every target.
void TargetDriver::recordSlowRun(const std::string &job, TimePoint now)
{
    if (job != std::exchange(this->lastSlowJob, job))
        ++this->slowJobsInRow;
    if (!this->isSlow())
        return;
    this->slownessAvoidance = std::clamp(
        2 * this->slownessAvoidance, this->options.avoidAfterSlowRuns, this->options.maxAvoidance);
    this->avoid(now + this->slownessAvoidance);
}

void TargetDriver::recordUsualRun()
{
    this->slowJobsInRow = 0;
    this->lastSlowJob.clear();
    this->slownessAvoidance = {};
}

void TargetDriver::recordStall(TimePoint now)
{
    this->avoid(now + this->options.avoidAfterSlowRuns);
}

// One lost order may be chance; a target that responds to none of several is treated as unhealthy.
void TargetDriver::recordTimeout(TimePoint now)
{
    this->avoid(now + this->options.avoidAfterTimeout);
    if (++this->timeoutsInRow >= this->options.timeoutsToAvoid)
        this->recordRefusal(now);
}

bool TargetDriver::hasStartInFlight() const
{
    return std::ranges::any_of(this->runs,
                               [](const auto &r) { return r.second.phase == Phase::Starting; });
}

// Orders without a response may be executed seconds later; a late poll would renew the lease of a
// run that nobody wants any more. A start without a response is fenced by the next poll, since the
// target may be cut off before a later one. A start in flight must not be fenced, so the token
// waits for it; a stop is sent again.
void TargetDriver::raiseToken(TimePoint now)
{
    const bool isDue = now >= this->tokenRaisedAt + this->options.tokenInterval
        || std::ranges::any_of(this->runs, [&](const auto &r) {
                           return r.second.phase == Phase::Unanswered
                               && r.second.startToken >= this->orderToken();
                       });
    if (!isDue || !this->hasOnlyOwnRuns() || this->hasStartInFlight())
        return;
    this->tokenRaisedAt = now;
    if (++this->raises < FencingToken::maxUnreportedRaises)
        return;
    this->token = this->orderToken();
    this->raises = 0;
}

void TargetDriver::poll(TimePoint now, DriverOutbox &out)
{
    this->raiseToken(now);
    this->isPolling = true;
    this->pollSentAt = now;
    const bool isResultUrgent
        = !this->hasOnlyOwnRuns() || std::ranges::any_of(this->runs, [](const auto &r) {
              return r.second.stopConfirmedAt || r.second.missingSince;
          });
    constexpr Duration shortWait = 20ms; // a stopped run is listed within tens of ms
    const TimePoint limit = this->leaseLimit(now);
    const bool isRenewing = !this->runs.empty() && this->hasOnlyOwnRuns() && !this->regaining
        && !this->isDeparting && limit > now;
    const Duration usualWait = this->runs.empty() ? this->options.idleWait : this->options.busyWait;
    const Duration wait = isResultUrgent ? shortWait : usualWait;
    out.orders.emplace_back(PollOrder {
        .to = this->address(),
        .sentAt = now,
        .acknowledgedEnd = this->acknowledgedEnd,
        .leaseExpiryMs = isRenewing ? std::optional(this->renewLease(limit)) : std::nullopt,
        .maxWait = this->awaitsOnlyOtherStops() ? Duration() : wait,
        .usesNewConnection = this->lastPollFailed });
}

void TargetDriver::sendStop(const RunName &name, Run &run, TimePoint now, DriverOutbox &out)
{
    run.isStopInFlight = true;
    run.stopAt = now + this->options.stopRetryInterval;
    out.orders.emplace_back(
        StopOrder { .to = this->address(),
                    .run = name,
                    .usesNewConnection = std::exchange(run.isStopRepeated, true) });
}

void TargetDriver::endRun(const RunName &run, RunEndKind kind, RunEndEvidence evidence,
                          TimePoint now, DriverOutbox &out)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    this->usedCapacity = this->usedCapacity.minus(found->second.demand);
    this->runs.erase(found);
    out.runEnds.push_back({ .run = run,
                            .kind = kind,
                            .evidence = evidence,
                            .contactAge = now - this->lastContactAt() });
}

void TargetDriver::endAllRuns(TimePoint now, DriverOutbox &out)
{
    while (!this->runs.empty())
        this->endRun(RunName(this->runs.begin()->first), RunEndKind::Lost,
                     RunEndEvidence::TargetEnded, now, out);
}

// The response to a poll shows a state later than its sending. If a row could not be read, it may
// be that of a run that seems to be missing.
void TargetDriver::endUnlistedRuns(const PollResponse &response, TimePoint now, DriverOutbox &out)
{
    std::vector<ObservedRunEnd> runEnds;
    for (auto &[name, run] : this->runs) {
        if (std::ranges::find(response.running, name) != response.running.end()) {
            run.listedAt = this->pollSentAt;
            run.missingSince.reset();
            continue;
        }
        if (!response.isComplete)
            continue;
        if (!run.missingSince && run.phase == Phase::Running && run.confirmedAt < this->pollSentAt)
            run.missingSince = now;
        if (const auto end = this->endOfUnlisted(name, run))
            runEnds.push_back(*end);
    }
    for (const ObservedRunEnd &item : runEnds)
        this->endRun(item.run, item.kind, item.evidence, now, out);
}

// Targets need not list a run that is being stopped. Not only this driver stops runs: another owner
// may do so just before this one learns of it. So a run that is missing goes on for up to the time
// that a stop takes.
std::optional<ObservedRunEnd> TargetDriver::endOfUnlisted(const RunName &name, const Run &run) const
{
    if (this->isOver(run.stopConfirmedAt))
        return ObservedRunEnd { .run = name,
                                .kind = RunEndKind::Stopped,
                                .evidence = RunEndEvidence::StopConfirmed };
    // The lease was not renewed beyond the validity of the run. A start that is executed later is
    // rejected only if its token is lower than that of this poll.
    const bool hasExpired = run.validUntil <= this->pollSentAt && !this->isStartPending(run);
    if (hasExpired || (!run.isStopWanted && this->isOver(run.missingSince)))
        return ObservedRunEnd { .run = name,
                                .kind = RunEndKind::Lost,
                                .evidence = RunEndEvidence::NotListed };
    return std::nullopt;
}

// The target's clock tells how long each run had gone on when the list was made.
void TargetDriver::addProgress(const PollResponse &response)
{
    for (const auto &[name, percent] : response.progress) {
        const auto found = this->runs.find(name);
        if (found == this->runs.end() || !response.clockMs || !found->second.startClockMs)
            continue;
        const std::chrono::milliseconds elapsed(*response.clockMs - *found->second.startClockMs);
        found->second.forecast.addProgress(elapsed, percent);
        constexpr std::uint32_t fullProgress = 100;
        if (percent > 0 && percent < fullProgress)
            this->hasListedProgress = true;
    }
}

void TargetDriver::stopForeignRuns(const PollResponse &response, TimePoint now, DriverOutbox &out)
{
    for (const RunName &name : response.running) {
        if (this->runs.contains(name))
            continue;
        const auto [known, isNew]
            = this->foreignRuns.try_emplace(name, ForeignRun { .stopAt = now });
        known->second.missingSince.reset();
        if (isNew)
            out.foreignRuns.push_back(name);
        if (now < known->second.stopAt)
            continue;
        known->second.stopAt = now + this->options.foreignStopInterval;
        out.orders.emplace_back(
            StopOrder { .to = this->address(), .run = name, .usesNewConnection = !isNew });
    }
}

void TargetDriver::endForeignRuns(const PollResponse &response, TimePoint now)
{
    for (const EndedRun &listed : response.ended)
        this->foreignRuns.erase(listed.run);
    if (!response.isComplete)
        return;
    std::erase_if(this->foreignRuns,
                  [&](const auto &item) { return this->isOver(item.second.missingSince); });
    for (auto &[name, run] : this->foreignRuns) {
        const bool isListed = std::ranges::find(response.running, name) != response.running.end();
        if (!isListed && !run.missingSince)
            run.missingSince = now;
    }
}

void TargetDriver::reconcile(const PollResponse &response, TimePoint now)
{
    if (this->isOver(this->othersRejectedSince) && response.isComplete)
        this->areOtherStopsOver = true;
    if (!this->othersRejectedSince)
        this->othersRejectedSince = now;
    if (this->areOtherStopsOver && this->foreignRuns.empty())
        this->reconciled = true;
    // An earlier list would not tell more.
    if (this->awaitsOnlyOtherStops())
        this->nextPollAt = *this->othersRejectedSince + this->options.maxStopTime;
}

} // namespace Hibiscus
