#include "Hibiscus/src/Dispatch/Dispatcher.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Free slots looked at beyond the declared first wave of a job. */
constexpr std::size_t maxVisibleSlots = maxTasksPerJob;
/** \brief Until every peer was heard once, this is how often the others are greeted. */
constexpr Duration greetingInterval = 500ms;

} // namespace internal

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : options(options), coordinating(options.coordinator, options.journals),
      owning(options.owner, options.coordinator.self.node), peerTable(options.peers)
{ }

void Dispatcher::submit(const Submission &submission, TimePoint now, DispatchOutbox &out)
{
    const std::uint32_t visible = this->visibleSlots(submission.request.service, now);
    this->coordinating.submit(submission, visible, now, out);
    this->settle(now, out);
}

void Dispatcher::cancel(const JobId &id, TimePoint now, DispatchOutbox &out)
{
    this->coordinating.cancel(id, now, out);
    this->settle(now, out);
}

void Dispatcher::lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out)
{
    this->coordinating.lookUp(token, id, now, out);
    this->settle(now, out);
}

void Dispatcher::announce(const AnnouncementRequest &request, TimePoint now, DispatchOutbox &out)
{
    TargetAnnouncement announcement = request.announcement;
    const bool isNew = this->owning.targets().find(announcement.target) == nullptr;
    const bool moves = this->betterOwner(request, now).has_value();
    if (moves && isNew)
        return;
    announcement.isLeaving = announcement.isLeaving || moves;
    this->owning.announce(announcement, now, out);
    if (isNew)
        this->applyRules(this->rules, now, out);
    this->coordinating.noteWidestTarget(announcement.service, announcement.slots);
    this->settle(now, out);
}

std::optional<NodeName> Dispatcher::betterOwner(const AnnouncementRequest &request,
                                                TimePoint now) const
{
    const bool mayMove = request.isUnowned || this->isDraining();
    if (!mayMove || request.announcement.isLeaving)
        return std::nullopt;
    const NodeName &self = this->options.coordinator.self.node;
    std::vector<OwnerCandidate> candidates = this->peerTable.ownerCandidates(now);
    if (!this->isDraining())
        candidates.push_back({ .node = self, .weight = this->options.peers.ownWeight });
    std::erase_if(candidates, [&](const OwnerCandidate &candidate) {
        return request.avoidedOwners.contains(candidate.node);
    });
    const auto owner = chooseOwner(request.announcement.target, candidates);
    return owner == self ? std::nullopt : owner;
}

void Dispatcher::finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out)
{
    std::vector<OwnedReport> reports;
    this->owning.finish(report, now, reports);
    this->deliver(reports, now, out);
    this->settle(now, out);
}

void Dispatcher::receive(const PeerMessage &message, TimePoint now, DispatchOutbox &out)
{
    const std::uint64_t ownIncarnation = this->options.coordinator.self.incarnation;
    if (!this->peerTable.isCurrent(message, ownIncarnation)) {
        ++this->counts.staleMessages;
        // A peer that still talks to the former life of this node learns of the present one.
        if (this->peerTable.knows(message.from))
            this->draftTo(message.from);
        this->flush(now, out);
        return;
    }
    const bool isNewLife = this->peerTable.view(message.from).incarnation != message.incarnation;
    this->peerTable.learn(message, now);
    if (isNewLife)
        this->coordinating.loseOwner(message.from, message.incarnation, now, out);
    std::vector<OwnedReport> reports;
    for (const TaskStart &start : message.starts)
        this->owning.accept(message.from, start, now, reports);

    for (const AttemptProbe &probe : message.probes)
        this->owning.answer(message.from, probe, now, reports);
    for (const AttemptId &attempt : message.cancelled)
        this->owning.cancel(attempt, now, reports);
    this->deliver(reports, now, out);
    for (const TaskReport &report : message.reports)
        this->coordinating.finishAttempt(report, now, out);
    if (message.wantsReply)
        this->draftTo(message.from);
    this->settle(now, out);
}

void Dispatcher::receive(const JournalResponse &answer, TimePoint now, DispatchOutbox &out)
{
    this->coordinating.receive(answer, now, out);
    this->settle(now, out);
}

void Dispatcher::handleBrokenLink(const NodeName &peer, TimePoint now, DispatchOutbox &out)
{
    if (!this->peerTable.knows(peer))
        return;
    this->coordinating.probeSoon(peer, now);
    this->settle(now, out);
}

void Dispatcher::applyRules(const RuleSet &newRules, TimePoint now, DispatchOutbox &out)
{
    this->rules = newRules;
    this->coordinating.applyRules(newRules);
    std::set<TargetName> drained;
    for (const RuleLine &line : newRules.lines())
        if (const auto *rule = std::get_if<DrainTarget>(&line.rule))
            drained.insert(rule->target);
    this->owning.setDrained(drained);
    this->settle(now, out);
}

void Dispatcher::tick(TimePoint now, DispatchOutbox &out)
{
    std::vector<OwnedReport> reports;
    this->owning.tick(now, out, reports);
    this->deliver(reports, now, out);
    this->coordinating.tick(now, out);
    this->askWhenStarving(now);
    if (now >= this->probesSweptAt + this->options.probeSweepInterval) {
        this->probesSweptAt = now;
        this->sendProbes(now);
        for (const auto &[peer, view] : this->peerTable.peers())
            if (this->peerTable.isDead(peer, now))
                this->coordinating.loseOwner(peer, std::nullopt, now, out);
    }
    this->settle(now, out);
}

void Dispatcher::drain(TimePoint now, DispatchOutbox &out)
{
    std::vector<OwnedReport> reports;
    this->coordinating.drain();
    this->owning.drain(now, reports);
    this->deliver(reports, now, out);
    for (const auto &[peer, view] : this->peerTable.peers())
        this->draftTo(peer);
    this->settle(now, out);
}

bool Dispatcher::isIdle() const
{
    return this->coordinating.jobCount() == 0 && this->owning.runningAttemptCount() == 0
        && this->owning.heldCount() == 0;
}

void Dispatcher::settle(TimePoint now, DispatchOutbox &out)
{
    for (const DueCancellation &item : this->coordinating.takeCancellations()) {
        if (item.owner != this->options.coordinator.self.node) {
            this->draftTo(item.owner).cancelled.push_back(item.attempt);
            continue;
        }
        std::vector<OwnedReport> reports;
        this->owning.cancel(item.attempt, now, reports);
    }
    this->pump(now, out);
    this->flush(now, out);
}

void Dispatcher::pump(TimePoint now, DispatchOutbox &out)
{
    std::set<ServiceName> services;
    for (const ServiceName &service : this->owning.targets().services())
        services.insert(service);
    for (const ServiceName &service : this->coordinating.services())
        services.insert(service);
    for (const ServiceName &service : services)
        this->pumpService(service, now, out);
}

void Dispatcher::pumpService(const ServiceName &service, TimePoint now, DispatchOutbox &out)
{
    this->owning.startHeld(service, now, out);
    const SpeedProfile profile = this->profileOf(service, now);
    while (true) {
        const std::vector<FreeSlot> slots = this->owning.freeSlots(service, 1, now);
        if (slots.empty() || !this->useOwnSlot(service, profile, slots.front(), now, out))
            break;
    }
    while (this->usePeerSlot(service, profile, now, out)) { }
}

bool Dispatcher::useOwnSlot(const ServiceName &service, const SpeedProfile &profile,
                            const FreeSlot &slot, TimePoint now, DispatchOutbox &out)
{
    const std::optional<JobId> job = this->jobFor(service, profile, slot.speed, now);
    std::optional<NodeName> peer = this->peerTable.mostUrgent(service, now);
    if (peer) {
        const Demand &demand = this->peerTable.view(*peer).demand;
        const std::size_t waiting
            = demand.waitingTasks + this->peerTable.waitingBefore(service, demand.urgency, now);
        if (!profile.isWorthTaking(slot.speed, waiting))
            peer.reset();
    }
    if (!job && !peer)
        return false;
    const bool peerIsFirst = peer
        && (!job
            || this->peerTable.view(*peer).demand.urgency < this->coordinating.urgencyOf(*job));
    if (peerIsFirst)
        this->offerTo(*peer, service, now);
    else
        this->placeFastest(service, *job, slot, now, out);
    return true;
}

bool Dispatcher::usePeerSlot(const ServiceName &service, const SpeedProfile &profile, TimePoint now,
                             DispatchOutbox &out)
{
    for (const bool repeatable : { true, false }) {
        const auto slot = this->peerTable.bestSlot(service, repeatable, now);
        if (!slot)
            return false;
        const std::optional<JobId> job = this->jobFor(service, profile, slot->weighedSpeed, now);
        if (!job || this->coordinating.isRepeatable(*job) != repeatable)
            continue;
        this->placeAtPeer(service, *job, *slot, now, out);
        return true;
    }
    return false;
}

void Dispatcher::placeFastest(const ServiceName &service, const JobId &job, const FreeSlot &own,
                              TimePoint now, DispatchOutbox &out)
{
    const auto peer = this->peerTable.bestSlot(service, this->coordinating.isRepeatable(job), now);
    if (peer && peer->weighedSpeed > own.speed) {
        this->placeAtPeer(service, job, *peer, now, out);
        return;
    }
    const CoordinatorId &self = this->options.coordinator.self;
    std::vector<TaskStart> starts;
    this->coordinating.place(job, self.node, self.incarnation, now, starts, out);
    this->progressAt = now;
    std::vector<OwnedReport> reports;
    for (const TaskStart &start : starts)
        this->owning.accept(self.node, start, now, reports);
    this->owning.startHeld(service, now, out);
    this->deliver(reports, now, out);
}

// A task on a slow slot may end later than one that waited for a faster slot. Which of the two
// holds depends on how many tasks wait ahead, here and at the peers.
std::optional<JobId> Dispatcher::jobFor(const ServiceName &service, const SpeedProfile &profile,
                                        double speed, TimePoint now) const
{
    return this->coordinating.firstThat(service, [&](Urgency urgency, std::size_t waiting) {
        const std::size_t before = this->peerTable.waitingBefore(service, urgency, now);
        return profile.isWorthTaking(speed, waiting + before);
    });
}

SpeedProfile Dispatcher::profileOf(const ServiceName &service, TimePoint now) const
{
    SpeedProfile profile;
    profile.add(this->owning.targets().speedsOf(service, now));
    for (const auto &[peer, view] : this->peerTable.peers())
        for (const ServiceSlots &slots : view.slots)
            if (slots.service == service && !view.unansweredSince)
                profile.add(slots.all);
    return profile;
}

void Dispatcher::placeAtPeer(const ServiceName &service, const JobId &job, const PeerSlot &slot,
                             TimePoint now, DispatchOutbox &out)
{
    const std::uint64_t incarnation = this->peerTable.view(slot.peer).incarnation;
    std::vector<TaskStart> &starts = this->draftTo(slot.peer).starts;
    this->coordinating.place(job, slot.peer, incarnation, now, starts, out);
    this->progressAt = now;
    this->peerTable.takeSlot(slot.peer, service);
}

void Dispatcher::offerTo(const NodeName &peer, const ServiceName &service, TimePoint now)
{
    this->owning.offer(peer, service, now);
    this->peerTable.noteOffer(peer);
    this->draftTo(peer).isOffer = true;
}

void Dispatcher::deliver(const std::vector<OwnedReport> &reports, TimePoint now,
                         DispatchOutbox &out)
{
    for (const OwnedReport &item : reports) {
        if (item.coordinator == this->options.coordinator.self.node)
            this->coordinating.finishAttempt(item.report, now, out);
        else if (this->peerTable.knows(item.coordinator))
            this->draftTo(item.coordinator).reports.push_back(item.report);
    }
}

void Dispatcher::sendProbes(TimePoint now)
{
    for (const DueProbe &due : this->coordinating.takeDueProbes(now)) {
        if (!this->peerTable.knows(due.owner))
            continue;
        PeerMessage &draft = this->draftTo(due.owner);
        draft.probes.push_back(due.probe);
        draft.wantsReply = true;
    }
    for (const auto &[peer, view] : this->peerTable.peers()) {
        const bool isUnheard
            = view.incarnation == 0 && now >= view.sentAt + internal::greetingInterval;
        const bool isSilent = view.unansweredSince && this->peerTable.isProbeDue(peer, now);
        if (isUnheard || isSilent)
            this->draftTo(peer).wantsReply = true;
    }
}

// Free slots are learned from messages that flow anyway. A node that has tasks to place and hears
// of no slot would wait for ever, so it asks, and its demand makes owners offer what they have.
void Dispatcher::askWhenStarving(TimePoint now)
{
    if (this->coordinating.demand().waitingTasks == 0)
        this->progressAt = now;
    const bool isStarving = now > this->progressAt + this->options.starvingAfter
        && now >= this->starvingAskedAt + this->options.starvingInterval;
    if (!isStarving)
        return;
    this->starvingAskedAt = now;
    for (const auto &[peer, view] : this->peerTable.peers()) {
        // A peer that spoke lately told its slots, and one that was spoken to knows the demand.
        const bool isInformed = now <= view.heardAt + this->options.starvingInterval
            && now <= view.sentAt + this->options.starvingInterval;
        if (!view.unansweredSince && !isInformed)
            this->draftTo(peer).wantsReply = true;
    }
}

void Dispatcher::flush(TimePoint now, DispatchOutbox &out)
{
    for (auto &[peer, draft] : std::exchange(this->drafts, {})) {
        const PeerView &view = this->peerTable.view(peer);
        draft.from = this->options.coordinator.self.node;
        draft.incarnation = this->options.coordinator.self.incarnation;
        draft.receiverIncarnation = view.incarnation;
        draft.slots.startsSeen = view.startsReceived;
        draft.slots.services = this->owning.slotsFor(peer, now);
        draft.demand = this->coordinating.demand();
        this->peerTable.noteSent(peer, draft.starts.size(), draft.wantsReply, now);
        this->count(draft);

        out.toPeers.push_back({ .to = peer, .message = std::move(draft) });
    }
}

void Dispatcher::count(const PeerMessage &message)
{
    if (!message.starts.empty())
        ++this->counts.startMessages;
    else if (!message.reports.empty())
        ++this->counts.reportMessages;
    else if (message.isOffer)
        ++this->counts.offers;
    else if (!message.cancelled.empty())
        ++this->counts.cancellations;
    else
        ++this->counts.probes;
}

std::uint32_t Dispatcher::visibleSlots(const ServiceName &service, TimePoint now) const
{
    std::size_t visible = this->owning.freeSlots(service, internal::maxVisibleSlots, now).size();
    for (const auto &[peer, view] : this->peerTable.peers())
        for (const ServiceSlots &slots : view.slots)
            if (slots.service == service)
                visible += slots.speeds.size();
    return static_cast<std::uint32_t>(std::min(visible, internal::maxVisibleSlots));
}

} // namespace Hibiscus
