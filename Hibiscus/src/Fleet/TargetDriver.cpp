#include "Hibiscus/src/Fleet/TargetDriver.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief First raise of a fencing token that a former owner's faster clock has outrun, in the
 * token's unit of milliseconds; doubled until the target obeys.
 */
constexpr std::uint64_t firstTokenStep = 5'000;

} // namespace internal

TargetDriver::TargetDriver(const TargetDriverOptions &options, const LeasedTarget &target,
                           std::uint64_t fencingToken, TimePoint now)
    : options(options), announced(target), token(fencingToken), tokenStep(internal::firstTokenStep),
      ownedAt(now), announcedAt(now), clockThen(target.clockMs), clockAt(now)
{ }

void TargetDriver::announce(const LeasedTarget &target, TimePoint now)
{
    this->announcedAt = now;
    if (target.incarnation != this->announced.incarnation || !target.isNewerThan(this->announced))
        return;
    this->announced = target;
}

void TargetDriver::start(const RunRequest &request, TimePoint now, DriverOutbox &out)
{
    HIBISCUS_INVARIANT(!this->runs.contains(request.run), "an attempt is started once");
    DrivenRun run;
    run.demand = request.demand;
    this->runs[request.run] = run;
    this->used = this->used.plus(request.demand);
    out.orders.emplace_back(StartOrder { .to = this->address(),
                                         .run = request.run,
                                         .spec = request.spec,
                                         .leaseExpiryMs = this->leaseExpiryMs(now) });
}

void TargetDriver::stop(const RunName &run, TimePoint now, DriverOutbox &out)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end() || found->second.isStopWanted)
        return;
    found->second.isStopWanted = true;
    this->sendStop(found->first, found->second, now, out);
}

void TargetDriver::handleStartResponse(const RunName &run, const OrderResponse &answer,
                                       TimePoint now, DriverOutbox &out)
{
    this->noteContact(answer.clockMs, now);
    const auto found = this->runs.find(run);
    if (answer.status == OrderStatus::Fenced)
        this->noteFence(now);
    if (answer.status == OrderStatus::Unhealthy || answer.status == OrderStatus::NotSent)
        this->noteRefusal(now);
    if (answer.status == OrderStatus::InsufficientCapacity)
        this->avoid(now + this->options.roomRefusalPause);
    if (answer.status == OrderStatus::StaleIncarnation)
        this->over = true;
    if (answer.status != OrderStatus::Unanswered)
        this->silencesInRow = 0;
    if (found == this->runs.end())
        return;
    if (answer.status == OrderStatus::Done) {
        if (found->second.phase == Phase::Starting)
            found->second.phase = Phase::Running;
        found->second.confirmedAt = now;
        return;
    }
    // The start may still arrive: only an answered stop makes sure that it does nothing.
    if (answer.status == OrderStatus::Unanswered) {
        this->noteSilence(now);
        found->second.phase = Phase::Unanswered;
        this->stop(run, now, out);
        return;
    }
    const bool isSuperseded = answer.status == OrderStatus::Superseded;
    this->end(run, isSuperseded ? RunEndKind::Superseded : RunEndKind::NotStarted, out);
}

void TargetDriver::handleStopResponse(const RunName &run, const OrderResponse &answer,
                                      TimePoint now)
{
    this->noteContact(answer.clockMs, now);
    if (answer.status == OrderStatus::Fenced)
        this->noteFence(now);
    if (answer.status == OrderStatus::StaleIncarnation)
        this->over = true;
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    found->second.isStopInFlight = false;
    found->second.stopAt = now + this->options.stopRetryInterval;
    if (answer.status != OrderStatus::Done)
        return;
    // The end is listed within moments; the next poll that begins after now shows what is left.
    found->second.stopAnsweredAt = now;
    this->pollAt = now;
}

// When a target is released and comes back, a poll of its former driver may still be under way. Its
// answer may be older than a start that was confirmed since, so it must not say what has ended.
void TargetDriver::handlePollResponse(TimePoint sentAt, const PollResponse &answer, TimePoint now,
                                      DriverOutbox &out)
{
    if (!this->isPolling || sentAt != this->polledAt)
        return;
    this->isPolling = false;
    this->pollAt = now;
    this->lastPollFailed = answer.status != OrderStatus::Done;
    if (answer.status == OrderStatus::Fenced)
        this->noteFence(now);
    if (answer.status == OrderStatus::StaleIncarnation)
        this->over = true;
    if (this->lastPollFailed) {
        this->pollAt = now + this->options.retryInterval;
        return;
    }
    this->noteContact(answer.clockMs, now);
    std::vector<EndedRun> ended = answer.ended;
    std::ranges::sort(ended, {}, &EndedRun::number);
    for (const EndedRun &listed : ended) {
        if (listed.number <= this->acknowledgedEnd)
            continue;
        this->acknowledgedEnd = listed.number;
        this->noteOutcome(listed, now);
        switch (listed.end) {
        case TargetRunEnd::Completed:
            this->end(listed.run, RunEndKind::Completed, out);
            break;
        case TargetRunEnd::Failed:
            this->end(listed.run, RunEndKind::Failed, out);
            break;
        case TargetRunEnd::Stopped:
            this->end(listed.run, RunEndKind::Stopped, out);
            break;
        case TargetRunEnd::LeaseExpired:
            this->end(listed.run, RunEndKind::Lost, out);
            break;
        }
    }
    this->endUnlisted(answer, out);
    this->stopForeign(answer, now, out);
}

void TargetDriver::tick(TimePoint now, DriverOutbox &out)
{
    if (this->over)
        this->endAll(out);
    if (this->over || this->fenced)
        return;
    for (auto &[name, run] : this->runs)
        if (run.isStopWanted && !run.isStopInFlight && !run.stopAnsweredAt && now >= run.stopAt)
            this->sendStop(name, run, now, out);
    if (!this->isPolling && now >= this->pollAt)
        this->poll(now, out);
}

bool TargetDriver::acceptsWork(TimePoint now) const
{
    return this->reconciled && !this->fenced && !this->over && !this->isReleasing
        && this->announced.state == TargetState::Ready && now >= this->avoidUntil
        && now < this->contactAt + this->options.contactLifetime;
}

std::optional<TimePoint> TargetDriver::listedAt(const RunName &run) const
{
    const auto found = this->runs.find(run);
    return found == this->runs.end() ? std::nullopt : found->second.listedAt;
}

std::uint32_t TargetDriver::countOf(const std::string &job, std::uint32_t step) const
{
    return static_cast<std::uint32_t>(std::ranges::count_if(
        this->runs, [&](const auto &r) { return r.first.job == job && r.first.step == step; }));
}

OrderAddress TargetDriver::address() const
{
    return { .target = this->announced.name,
             .incarnation = this->announced.incarnation,
             .address = this->announced.address,
             .fencingToken = this->token };
}

std::int64_t TargetDriver::leaseExpiryMs(TimePoint now) const
{
    return this->clockThen + toMilliseconds(now - this->clockAt + this->options.lease);
}

void TargetDriver::noteContact(std::optional<std::int64_t> clockMs, TimePoint now)
{
    if (!clockMs)
        return;
    this->contactAt = now;
    this->clockThen = *clockMs;
    this->clockAt = now;
}

// Before the target is settled a fence only says that the former owner's clock ran ahead, since
// tokens come from clocks. Afterwards it says that another node owns the target now.
void TargetDriver::noteFence(TimePoint now)
{
    if (this->reconciled) {
        this->fenced = true;
        return;
    }
    this->token += this->tokenStep;
    this->tokenStep *= 2;
    this->pollAt = now;
}

// Twice as long as the last time, from \a first on.
void TargetDriver::avoidLonger(Duration first, TimePoint now)
{
    this->avoidance = std::clamp(2 * this->avoidance, first, this->options.maxAvoidance);
    this->avoid(now + this->avoidance);
}

void TargetDriver::noteRefusal(TimePoint now)
{
    this->avoidLonger(this->options.avoidAfterRefusal, now);
}

// A job that fails by itself fails everywhere, so only failures of different jobs in a row speak
// against the target.
void TargetDriver::noteOutcome(const EndedRun &listed, TimePoint now)
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
        this->avoidLonger(this->options.avoidAfterFailures, now);
}

// One lost order says little; a target that answers none of them should be left alone.
void TargetDriver::noteSilence(TimePoint now)
{
    this->avoid(now + this->options.avoidAfterSilence);
    if (++this->silencesInRow >= this->options.silencesToAvoid)
        this->noteRefusal(now);
}

void TargetDriver::poll(TimePoint now, DriverOutbox &out)
{
    this->isPolling = true;
    this->polledAt = now;
    const bool hasNoPatience = !this->reconciled
        || std::ranges::any_of(this->runs,
                               [](const auto &r) { return r.second.stopAnsweredAt.has_value(); });
    constexpr Duration shortWait = 20ms; // a stopped run is listed within some tens of these
    const Duration wait = this->runs.empty() ? this->options.idleWait : this->options.busyWait;
    out.orders.emplace_back(PollOrder { .to = this->address(),
                                        .sentAt = now,
                                        .acknowledgedEnd = this->acknowledgedEnd,
                                        .leaseExpiryMs = this->leaseExpiryMs(now),
                                        .maxWait = hasNoPatience ? shortWait : wait,
                                        .usesNewConnection = this->lastPollFailed });
}

void TargetDriver::sendStop(const RunName &name, DrivenRun &run, TimePoint now, DriverOutbox &out)
{
    run.isStopInFlight = true;
    run.stopAt = now + this->options.stopRetryInterval;
    out.orders.emplace_back(StopOrder { .to = this->address(), .run = name });
}

void TargetDriver::end(const RunName &run, RunEndKind kind, DriverOutbox &out)
{
    const auto found = this->runs.find(run);
    if (found == this->runs.end())
        return;
    this->used = this->used.minus(found->second.demand);
    this->runs.erase(found);
    out.ends.push_back({ .run = run, .kind = kind });
}

void TargetDriver::endAll(DriverOutbox &out)
{
    while (!this->runs.empty())
        this->end(RunName(this->runs.begin()->first), RunEndKind::Lost, out);
}

// What a poll lists was true after it was sent. A run that was confirmed before, or whose stop was
// answered before, and that is neither listed as running nor as ended, is over.
void TargetDriver::endUnlisted(const PollResponse &answer, DriverOutbox &out)
{
    std::vector<RunEnd> over;
    for (auto &[name, run] : this->runs) {
        if (std::ranges::find(answer.running, name) != answer.running.end()) {
            run.listedAt = this->polledAt;
            continue;
        }
        const bool isStopped
            = run.stopAnsweredAt && *run.stopAnsweredAt + this->options.stopTime <= this->polledAt;
        if (isStopped)
            over.push_back({ .run = name, .kind = RunEndKind::Stopped });
        else if (!run.isStopWanted && run.phase == Phase::Running
                 && run.confirmedAt < this->polledAt)
            over.push_back({ .run = name, .kind = RunEndKind::Lost });
    }
    for (const RunEnd &item : over)
        this->end(item.run, item.kind, out);
}

void TargetDriver::stopForeign(const PollResponse &answer, TimePoint now, DriverOutbox &out)
{
    bool isForeignLeft = false;
    for (const RunName &name : answer.running) {
        if (this->runs.contains(name))
            continue;
        isForeignLeft = true;
        TimePoint &stopAt = this->foreignStopAt[name];
        if (now < stopAt)
            continue;
        stopAt = now + this->options.stopRetryInterval;
        out.orders.emplace_back(StopOrder { .to = this->address(), .run = name });
    }
    if (isForeignLeft)
        return;
    this->foreignStopAt.clear();
    this->reconciled = true;
}

} // namespace Hibiscus
