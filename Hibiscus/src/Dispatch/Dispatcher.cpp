#include "Hibiscus/src/Dispatch/Dispatcher.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Limit of the free slots that are counted when a job is submitted. */
constexpr std::size_t maxVisibleSlots = maxTasksPerJob;
/** \brief Interval of messages to a peer from which no message has been received yet. */
constexpr Duration firstContactInterval = 500ms;

} // namespace internal

Dispatcher::Dispatcher(const DispatcherOptions &options)
    : options(options), jobCoordinator(options.coordinator, options.journals),
      targetOwner(options.owner, options.coordinator.self.node), peerTable(options.peers)
{ }

void Dispatcher::submit(const Submission &submission, TimePoint now, DispatchOutbox &out)
{
    const std::uint32_t visible = this->visibleSlots(submission.request.service, now);
    this->jobCoordinator.submit(submission, visible, now, out);
    this->placeAndSend(now, out);
}

void Dispatcher::cancel(const JobId &id, TimePoint now, DispatchOutbox &out)
{
    this->jobCoordinator.cancel(id, now, out);
    this->placeAndSend(now, out);
}

void Dispatcher::lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out)
{
    this->jobCoordinator.lookUp(token, id, now, out);
    this->placeAndSend(now, out);
}

void Dispatcher::announce(const AnnouncementRequest &request, TimePoint now, DispatchOutbox &out)
{
    TargetAnnouncement announcement = request.announcement;
    const bool isNew = this->targetOwner.targets().find(announcement.target) == nullptr;
    const bool isRedirected = this->betterOwner(request, now).has_value();
    if (isRedirected && isNew)
        return;
    announcement.isLeaving = announcement.isLeaving || isRedirected;
    this->targetOwner.announce(announcement, now, out);
    if (isNew)
        this->applyRules(this->rules, now, out);
    this->jobCoordinator.recordTargetSlots(announcement.service, announcement.slots);
    this->placeAndSend(now, out);
}

std::optional<NodeName> Dispatcher::betterOwner(const AnnouncementRequest &request,
                                                TimePoint now) const
{
    const bool mayRedirect = request.isUnowned || this->isDraining();
    if (!mayRedirect || request.announcement.isLeaving)
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
    std::vector<AddressedReport> reports;
    this->targetOwner.finish(report, now, reports);
    this->routeReports(reports, now, out);
    this->placeAndSend(now, out);
}

void Dispatcher::receive(const PeerMessage &message, TimePoint now, DispatchOutbox &out)
{
    const std::uint64_t ownIncarnation = this->options.coordinator.self.incarnation;
    if (!this->peerTable.isCurrent(message, ownIncarnation)) {
        ++this->counts.staleMessages;
        // The reply informs a peer that still addresses an older incarnation of this node.
        if (this->peerTable.contains(message.from))
            this->draftTo(message.from);
        this->sendDrafts(now, out);
        return;
    }
    const bool isNewIncarnation
        = this->peerTable.view(message.from).incarnation != message.incarnation;
    this->peerTable.update(message, now);
    if (isNewIncarnation)
        this->jobCoordinator.loseAttemptsAt(message.from, message.incarnation, now, out);
    std::vector<AddressedReport> reports;
    for (const TaskStart &start : message.starts)
        this->targetOwner.accept(message.from, start, now, reports);

    for (const AttemptProbe &probe : message.probes)
        this->targetOwner.answerProbe(message.from, probe, now, reports);
    for (const AttemptId &attempt : message.cancelledAttempts)
        this->targetOwner.cancel(attempt, now, reports);
    this->routeReports(reports, now, out);
    for (const TaskReport &report : message.reports)
        this->jobCoordinator.finishAttempt(report, now, out);
    if (message.wantsReply)
        this->draftTo(message.from);
    this->placeAndSend(now, out);
}

void Dispatcher::receive(const JournalResponse &response, TimePoint now, DispatchOutbox &out)
{
    this->jobCoordinator.receive(response, now, out);
    this->placeAndSend(now, out);
}

void Dispatcher::handleBrokenLink(const NodeName &peer, TimePoint now, DispatchOutbox &out)
{
    if (!this->peerTable.contains(peer))
        return;
    this->jobCoordinator.scheduleProbes(peer, now);
    this->placeAndSend(now, out);
}

void Dispatcher::applyRules(const RuleSet &newRules, TimePoint now, DispatchOutbox &out)
{
    this->rules = newRules;
    this->jobCoordinator.applyRules(newRules);
    std::set<TargetName> drained;
    for (const RuleLine &line : newRules.lines())
        if (const auto *rule = std::get_if<DrainTarget>(&line.rule))
            drained.insert(rule->target);
    this->targetOwner.setDrained(drained);
    this->placeAndSend(now, out);
}

void Dispatcher::tick(TimePoint now, DispatchOutbox &out)
{
    std::vector<AddressedReport> reports;
    this->targetOwner.tick(now, out, reports);
    this->routeReports(reports, now, out);
    this->jobCoordinator.tick(now, out);
    this->querySlotsIfStalled(now);
    if (now >= this->lastProbeSweepAt + this->options.probeSweepInterval) {
        this->lastProbeSweepAt = now;
        this->draftProbes(now);
        for (const auto &[peer, view] : this->peerTable.peers())
            if (this->peerTable.isDead(peer, now))
                this->jobCoordinator.loseAttemptsAt(peer, std::nullopt, now, out);
    }
    this->placeAndSend(now, out);
}

void Dispatcher::drain(TimePoint now, DispatchOutbox &out)
{
    std::vector<AddressedReport> reports;
    this->jobCoordinator.drain();
    this->targetOwner.drain(now, reports);
    this->routeReports(reports, now, out);
    for (const auto &[peer, view] : this->peerTable.peers())
        this->draftTo(peer);
    this->placeAndSend(now, out);
}

bool Dispatcher::isIdle() const
{
    return this->jobCoordinator.jobCount() == 0 && this->targetOwner.runningAttemptCount() == 0
        && this->targetOwner.heldStartCount() == 0;
}

void Dispatcher::placeAndSend(TimePoint now, DispatchOutbox &out)
{
    for (const DueCancellation &item : this->jobCoordinator.takeCancellations()) {
        if (item.owner != this->options.coordinator.self.node) {
            this->draftTo(item.owner).cancelledAttempts.push_back(item.attempt);
            continue;
        }
        std::vector<AddressedReport> reports;
        this->targetOwner.cancel(item.attempt, now, reports);
    }
    this->placeTasks(now, out);
    this->sendDrafts(now, out);
}

void Dispatcher::placeTasks(TimePoint now, DispatchOutbox &out)
{
    std::set<ServiceName> services;
    for (const ServiceName &service : this->targetOwner.targets().services())
        services.insert(service);
    for (const ServiceName &service : this->jobCoordinator.services())
        services.insert(service);
    for (const ServiceName &service : services)
        this->placeTasksOf(service, now, out);
}

void Dispatcher::placeTasksOf(const ServiceName &service, TimePoint now, DispatchOutbox &out)
{
    this->targetOwner.startHeldTasks(service, now, out);
    const SpeedProfile profile = this->speedProfileOf(service, now);
    while (true) {
        const std::vector<FreeSlot> slots = this->targetOwner.freeSlots(service, 1, now);
        if (slots.empty() || !this->useOwnSlot(service, profile, slots.front(), now, out))
            break;
    }
    while (this->usePeerSlot(service, profile, now, out)) { }
}

bool Dispatcher::useOwnSlot(const ServiceName &service, const SpeedProfile &profile,
                            const FreeSlot &slot, TimePoint now, DispatchOutbox &out)
{
    const std::optional<JobId> job = this->jobForSlot(service, profile, slot.speed, now);
    std::optional<NodeName> peer = this->peerTable.mostUrgentPeer(service, now);
    if (peer) {
        const Demand &demand = this->peerTable.view(*peer).demand;
        const std::size_t waiting = demand.waitingTasks
            + this->peerTable.waitingTasksBefore(service, demand.urgency, now);
        if (!profile.isWorthTaking(slot.speed, waiting))
            peer.reset();
    }
    if (!job && !peer)
        return false;
    const bool peerIsFirst = peer
        && (!job
            || this->peerTable.view(*peer).demand.urgency < this->jobCoordinator.urgencyOf(*job));
    if (peerIsFirst)
        this->offerSlot(*peer, service, now);
    else
        this->placeOnFastestSlot(service, *job, slot, now, out);
    return true;
}

bool Dispatcher::usePeerSlot(const ServiceName &service, const SpeedProfile &profile, TimePoint now,
                             DispatchOutbox &out)
{
    for (const bool repeatable : { true, false }) {
        const auto slot = this->peerTable.bestSlot(service, repeatable, now);
        if (!slot)
            return false;
        const std::optional<JobId> job
            = this->jobForSlot(service, profile, slot->weightedSpeed, now);
        if (!job || this->jobCoordinator.isRepeatable(*job) != repeatable)
            continue;
        this->placeAtPeer(service, *job, *slot, now, out);
        return true;
    }
    return false;
}

void Dispatcher::placeOnFastestSlot(const ServiceName &service, const JobId &job,
                                    const FreeSlot &own, TimePoint now, DispatchOutbox &out)
{
    const auto peer
        = this->peerTable.bestSlot(service, this->jobCoordinator.isRepeatable(job), now);
    if (peer && peer->weightedSpeed > own.speed) {
        this->placeAtPeer(service, job, *peer, now, out);
        return;
    }
    const CoordinatorId &self = this->options.coordinator.self;
    std::vector<TaskStart> starts;
    this->jobCoordinator.place(job, self.node, self.incarnation, now, starts, out);
    this->lastPlacementAt = now;
    std::vector<AddressedReport> reports;
    for (const TaskStart &start : starts)
        this->targetOwner.accept(self.node, start, now, reports);
    this->targetOwner.startHeldTasks(service, now, out);
    this->routeReports(reports, now, out);
}

// A task on a slow slot may end later than if it waits for a faster slot. Which is the case depends
// on the number of tasks that wait ahead of it, here and at the peers.
std::optional<JobId> Dispatcher::jobForSlot(const ServiceName &service, const SpeedProfile &profile,
                                            double speed, TimePoint now) const
{
    return this->jobCoordinator.mostUrgentJobThat(
        service, [&](Urgency urgency, std::size_t waiting) {
            const std::size_t before = this->peerTable.waitingTasksBefore(service, urgency, now);
            return profile.isWorthTaking(speed, waiting + before);
        });
}

SpeedProfile Dispatcher::speedProfileOf(const ServiceName &service, TimePoint now) const
{
    SpeedProfile profile;
    profile.add(this->targetOwner.targets().speedsOf(service, now));
    for (const auto &[peer, view] : this->peerTable.peers())
        for (const ServiceSlots &slots : view.slots)
            if (slots.service == service && !view.unansweredSince)
                profile.add(slots.usableSlots);
    return profile;
}

void Dispatcher::placeAtPeer(const ServiceName &service, const JobId &job, const PeerSlot &slot,
                             TimePoint now, DispatchOutbox &out)
{
    const std::uint64_t incarnation = this->peerTable.view(slot.peer).incarnation;
    std::vector<TaskStart> &starts = this->draftTo(slot.peer).starts;
    this->jobCoordinator.place(job, slot.peer, incarnation, now, starts, out);
    this->lastPlacementAt = now;
    this->peerTable.removeFastestSlot(slot.peer, service);
}

void Dispatcher::offerSlot(const NodeName &peer, const ServiceName &service, TimePoint now)
{
    this->targetOwner.offer(peer, service, now);
    this->peerTable.recordOffer(peer);
    this->draftTo(peer).isOffer = true;
}

void Dispatcher::routeReports(const std::vector<AddressedReport> &reports, TimePoint now,
                              DispatchOutbox &out)
{
    for (const AddressedReport &item : reports) {
        if (item.coordinator == this->options.coordinator.self.node)
            this->jobCoordinator.finishAttempt(item.report, now, out);
        else if (this->peerTable.contains(item.coordinator))
            this->draftTo(item.coordinator).reports.push_back(item.report);
    }
}

void Dispatcher::draftProbes(TimePoint now)
{
    for (const DueProbe &due : this->jobCoordinator.takeDueProbes(now)) {
        if (!this->peerTable.contains(due.owner))
            continue;
        PeerMessage &draft = this->draftTo(due.owner);
        draft.probes.push_back(due.probe);
        draft.wantsReply = true;
    }
    for (const auto &[peer, view] : this->peerTable.peers()) {
        const bool isUncontacted
            = view.incarnation == 0 && now >= view.lastSentAt + internal::firstContactInterval;
        const bool isSilent = view.unansweredSince && this->peerTable.isProbeDue(peer, now);
        if (isUncontacted || isSilent)
            this->draftTo(peer).wantsReply = true;
    }
}

// Free slots are normally reported in messages sent for other purposes. A node with tasks to place
// that receives no such message would wait forever, so it queries its peers; the demand in the
// query makes owners offer their free slots.
void Dispatcher::querySlotsIfStalled(TimePoint now)
{
    if (this->jobCoordinator.demand().waitingTasks == 0)
        this->lastPlacementAt = now;
    const bool isQueryDue = now > this->lastPlacementAt + this->options.placementStallTimeout
        && now >= this->slotsQueriedAt + this->options.slotQueryInterval;
    if (!isQueryDue)
        return;
    this->slotsQueriedAt = now;
    for (const auto &[peer, view] : this->peerTable.peers()) {
        // A recent message from the peer reported its slots, and a recent one to it the demand.
        const bool isInformed = now <= view.lastReceivedAt + this->options.slotQueryInterval
            && now <= view.lastSentAt + this->options.slotQueryInterval;
        if (!view.unansweredSince && !isInformed)
            this->draftTo(peer).wantsReply = true;
    }
}

void Dispatcher::sendDrafts(TimePoint now, DispatchOutbox &out)
{
    for (auto &[peer, draft] : std::exchange(this->drafts, {})) {
        const PeerView &view = this->peerTable.view(peer);
        draft.from = this->options.coordinator.self.node;
        draft.incarnation = this->options.coordinator.self.incarnation;
        draft.receiverIncarnation = view.incarnation;
        draft.slots.startsReceived = view.startsReceived;
        draft.slots.services = this->targetOwner.slotsReportedTo(peer, now);
        draft.demand = this->jobCoordinator.demand();
        this->peerTable.recordSentMessage(peer, draft.starts.size(), draft.wantsReply, now);
        this->countMessage(draft);

        out.toPeers.push_back({ .to = peer, .message = std::move(draft) });
    }
}

void Dispatcher::countMessage(const PeerMessage &message)
{
    if (!message.starts.empty())
        ++this->counts.startMessages;
    else if (!message.reports.empty())
        ++this->counts.reportMessages;
    else if (message.isOffer)
        ++this->counts.offers;
    else if (!message.cancelledAttempts.empty())
        ++this->counts.cancellations;
    else
        ++this->counts.probes;
}

std::uint32_t Dispatcher::visibleSlots(const ServiceName &service, TimePoint now) const
{
    std::size_t visible
        = this->targetOwner.freeSlots(service, internal::maxVisibleSlots, now).size();
    for (const auto &[peer, view] : this->peerTable.peers())
        for (const ServiceSlots &slots : view.slots)
            if (slots.service == service)
                visible += slots.freeSpeeds.size();
    return static_cast<std::uint32_t>(std::min(visible, internal::maxVisibleSlots));
}

} // namespace Hibiscus
