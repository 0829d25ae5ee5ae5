#include "Hibiscus/src/Dispatch/SlotOwner.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxAdvertisedSlots = 16;
constexpr std::size_t unlimitedSlots = 1U << 20;
constexpr Duration sweepInterval = 200ms;

} // namespace internal

void SlotOwner::announce(const TargetAnnouncement &announcement, TimePoint now, DispatchOutbox &out)
{
    this->pool.announce(announcement, now);
    // The connections of these starts may be half-open, so the query uses a new one.
    for (const AttemptId &attempt : this->pool.missingAttempts(announcement.target, now))
        out.toTargets.emplace_back(QueryAttempt { .target = announcement.target,
                                                  .address = announcement.address,
                                                  .leaseId = this->running.at(attempt).leaseId,
                                                  .attempt = attempt });
}

void SlotOwner::accept(const NodeName &coordinator, const TaskStart &start, TimePoint now,
                       std::vector<AddressedReport> &reports)
{
    // After the record of an attempt expires, duplicates are refused by their age. Both use only
    // this node's clock.
    const TimePoint expiresAt = start.validUntil + clockSkewBound;
    const auto [item, isNew] = this->seenAttempts.try_emplace(start.attempt);
    if (!isNew)
        return;
    item->second.expiresAt = std::max(expiresAt, now + this->options.reportLifetime);
    const bool isLate = now > expiresAt;
    if (isLate || (this->draining && coordinator != this->self)) {
        this->report(coordinator,
                     { .attempt = start.attempt,
                       .status = AttemptStatus::NotStarted,
                       .result = isLate ? "arrived too late" : "draining" },
                     now, reports);
        return;
    }
    const auto offer = std::ranges::find(this->offers, coordinator, &Offer::peer);
    if (offer != this->offers.end()) {
        this->offers.erase(offer);
        ++this->usedOfferTotal;
    }
    this->held[{ start.urgency, start.attempt }] = { .coordinator = coordinator, .start = start };
}

void SlotOwner::startHeldTasks(const ServiceName &service, TimePoint now, DispatchOutbox &out)
{
    std::vector<FreeSlot> slots = this->pool.freeSlots(service, internal::unlimitedSlots, now);
    auto slot = slots.begin();
    for (auto item = this->held.begin(); item != this->held.end() && slot != slots.end();) {
        if (item->second.start.service != service) {
            ++item;
            continue;
        }
        this->start(item->second, slot->target, now, out);
        item = this->held.erase(item);
        ++slot;
    }
}

void SlotOwner::start(const HeldStart &held, const TargetName &target, TimePoint now,
                      DispatchOutbox &out)
{
    const AttemptId &attempt = held.start.attempt;
    this->pool.occupy(target, attempt, now);
    const TargetAnnouncement &announcement = this->pool.find(target)->announcement;
    const RunningAttempt started
        = { .coordinator = held.coordinator, .target = target, .leaseId = announcement.leaseId };
    const bool isNew = this->running.try_emplace(attempt, started).second;
    HIBISCUS_INVARIANT(isNew, "an attempt is started only once");
    out.toTargets.emplace_back(StartAttempt { .target = target,
                                              .address = announcement.address,
                                              .leaseId = announcement.leaseId,
                                              .start = held.start });
}

void SlotOwner::finish(const TaskReport &report, TimePoint now,
                       std::vector<AddressedReport> &reports)
{
    const auto found = this->running.find(report.attempt);
    if (found == this->running.end())
        return;
    const RunningAttempt attempt = found->second;
    this->running.erase(found);
    this->pool.release(attempt.target, report.attempt, report.status, now);
    this->report(attempt.coordinator, report, now, reports);
}

void SlotOwner::answerProbe(const NodeName &coordinator, const AttemptProbe &probe, TimePoint now,
                            std::vector<AddressedReport> &reports)
{
    const TimePoint expiresAt = probe.validUntil + clockSkewBound;
    const bool isRecordExpired = now > expiresAt && !this->seenAttempts.contains(probe.attempt);
    // Attempts are kept until expiresAt, so until then a missing record proves "not started".
    if (isRecordExpired) {
        reports.push_back({ .coordinator = coordinator,
                            .report = { .attempt = probe.attempt,
                                        .status = AttemptStatus::Lost,
                                        .result = "forgotten" } });
        return;
    }
    const auto [item, isNew] = this->seenAttempts.try_emplace(probe.attempt);
    if (isNew) {
        item->second.expiresAt = expiresAt;
        this->report(coordinator,
                     { .attempt = probe.attempt,
                       .status = AttemptStatus::NotStarted,
                       .result = "never arrived" },
                     now, reports);
    } else if (item->second.report) {
        reports.push_back({ .coordinator = coordinator, .report = *item->second.report });
    }
}

void SlotOwner::cancel(const AttemptId &attempt, TimePoint now,
                       std::vector<AddressedReport> &reports)
{
    const auto found = std::ranges::find_if(
        this->held, [&](const auto &item) { return item.first.second == attempt; });
    if (found == this->held.end())
        return;
    const NodeName coordinator = found->second.coordinator;
    this->held.erase(found);
    this->report(coordinator,
                 { .attempt = attempt, .status = AttemptStatus::NotStarted, .result = "cancelled" },
                 now, reports);
}

void SlotOwner::drain(TimePoint now, std::vector<AddressedReport> &reports)
{
    this->draining = true;
    this->offers.clear();
    std::vector<AttemptId> waiting;
    for (const auto &[key, item] : this->held)
        if (item.coordinator != this->self)
            waiting.push_back(item.start.attempt);
    for (const AttemptId &attempt : waiting)
        this->cancel(attempt, now, reports);
}

void SlotOwner::offer(const NodeName &peer, const ServiceName &service, TimePoint now)
{
    this->offers.push_back(
        { .peer = peer, .service = service, .expiresAt = now + this->options.offerLifetime });
}

void SlotOwner::tick(TimePoint now, DispatchOutbox &, std::vector<AddressedReport> &reports)
{
    this->removeExpiredOffers(now);
    if (now < this->lastSweepAt + internal::sweepInterval)
        return;
    this->lastSweepAt = now;
    std::vector<HeldStart> late;
    for (const auto &[key, held] : this->held)
        if (now > held.start.deadline)
            late.push_back(held);
    for (const HeldStart &held : late)
        this->cancel(held.start.attempt, now, reports);
    // An attempt whose target lost its lease may still be running there.
    std::vector<AttemptId> lost;
    for (const auto &[attempt, item] : this->running) {
        const Target *target = this->pool.find(item.target);
        const bool isGone
            = target == nullptr || now > target->leasedUntil + this->options.pool.leaseDuration;
        if (isGone)
            lost.push_back(attempt);
    }
    for (const AttemptId &attempt : lost)
        this->finish({ .attempt = attempt, .status = AttemptStatus::Lost, .result = "target lost" },
                     now, reports);
    this->pool.removeExpired(now);
    std::erase_if(this->seenAttempts, [&](const auto &item) {
        return now > item.second.expiresAt && item.second.report.has_value();
    });
}

std::vector<FreeSlot> SlotOwner::freeSlots(const ServiceName &service, std::size_t maxCount,
                                           TimePoint now) const
{
    const auto offered = std::ranges::count_if(this->offers, [&](const Offer &offer) {
        return offer.service == service && now <= offer.expiresAt;
    });
    const auto wanted = std::ranges::count_if(
        this->held, [&](const auto &item) { return item.second.start.service == service; });
    const auto reserved = static_cast<std::size_t>(offered + wanted);
    std::vector<FreeSlot> slots = this->pool.freeSlots(
        service, maxCount >= internal::unlimitedSlots ? maxCount : maxCount + reserved, now);
    const std::size_t dropped = std::min(reserved, slots.size());
    slots.erase(slots.begin(), slots.begin() + static_cast<std::ptrdiff_t>(dropped));
    return slots;
}

std::vector<ServiceSlots> SlotOwner::slotsReportedTo(const NodeName &peer, TimePoint now) const
{
    std::vector<ServiceSlots> report;
    if (this->draining)
        return report;
    for (const ServiceName &service : this->pool.services()) {
        ServiceSlots slots;
        slots.service = service;
        const auto kept = std::ranges::count_if(this->offers, [&](const Offer &offer) {
            return offer.peer == peer && offer.service == service && now <= offer.expiresAt;
        });
        std::vector<FreeSlot> free = this->freeSlots(service, internal::maxAdvertisedSlots, now);
        if (kept > 0) {
            const auto offered = static_cast<std::size_t>(kept);
            free = this->pool.freeSlots(service, free.size() + offered, now);
        }
        for (const FreeSlot &slot : free)
            slots.freeSpeeds.push_back(static_cast<float>(slot.speed));
        slots.usableSlots = this->pool.speedsOf(service, now);
        report.push_back(std::move(slots));
    }
    return report;
}

std::optional<Urgency> SlotOwner::heldUrgency(const ServiceName &service) const
{
    for (const auto &[key, held] : this->held)
        if (held.start.service == service)
            return key.first;
    return std::nullopt;
}

void SlotOwner::report(const NodeName &coordinator, const TaskReport &report, TimePoint now,
                       std::vector<AddressedReport> &reports)
{
    SeenAttempt &seen = this->seenAttempts[report.attempt];
    seen.report = report;
    seen.expiresAt = std::max(seen.expiresAt, now + this->options.reportLifetime);
    reports.push_back({ .coordinator = coordinator, .report = report });
}

void SlotOwner::removeExpiredOffers(TimePoint now)
{
    std::erase_if(this->offers, [&](const Offer &offer) { return now > offer.expiresAt; });
}

} // namespace Hibiscus
