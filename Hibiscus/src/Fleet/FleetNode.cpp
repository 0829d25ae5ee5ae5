#include "Hibiscus/src/Fleet/FleetNode.h"

#include "Hibiscus/src/Fleet/FencingToken.h"

#include <Hibiscus/Dispatch>

#include <algorithm>
#include <limits>
#include <xxhash.h>

namespace Hibiscus {

namespace internal {

/** \brief Limit of messages that wait for their acknowledgement; older ones are no longer needed.
 */
constexpr std::size_t maxUnacknowledged = 256;
/** \brief A report or a list of targets that is not acknowledged within it is sent again. */
constexpr Duration stateLifetime = 400ms;
/** \brief Interval of checks whether targets should move to another owner. */
constexpr Duration transferInterval = 200ms;
/** \brief Time after which a target that still sends heartbeats here was not taken over by its new
 * owner: three heartbeats.
 */
constexpr Duration transferLifetime = 4500ms;
/** \brief Interval of checks whether the report has changed; a part of the report interval. */
constexpr Duration refreshInterval = 20ms;
/** \brief Interval of checks for starts that may be executed late; short against the second after
 * which callers send a job again.
 */
constexpr Duration holdInterval = 50ms;
/** \brief Time in which an owner that is back in touch announces the starts that are uncertain. */
constexpr Duration ownAnnouncementTime = 1s;
/** \brief Interval of the selection of peers. */
constexpr Duration selectionInterval = 100ms;
/** \brief Time for which run ends are collected before they are reported: some round trips. */
constexpr Duration endBatchInterval = 5ms;
/** \brief Run ends that are not acknowledged within it are reported again. */
constexpr Duration endRepeatInterval = 100ms;
/** \brief Limit of the announcements of leaving targets that are kept. */
constexpr std::size_t maxDepartures = 4'096;
/** \brief Run ends are acknowledged within it, earlier if another message is sent anyway. */
constexpr Duration acknowledgeWithin = 40ms;

static FleetOwnerOptions ownerOptions(const FleetNodeOptions &options)
{
    FleetOwnerOptions owner = options.owner;
    const std::string &name = options.self.str();
    owner.tokenTag = XXH3_64bits(name.data(), name.size()) % FencingToken::tagCount;
    return owner;
}

} // namespace internal

FleetNode::FleetNode(const FleetNodeOptions &options)
    : options(options), currentIncarnation(options.incarnation),
      jobCoordinator(options.coordinator), targetOwner(internal::ownerOptions(options)),
      selection({ .self = options.self,
                  .domain = options.domain,
                  .peerCount = options.selectedPeerCount,
                  .minOtherDomainPeers = options.minOtherDomainPeers }),
      ownerFence(options.fence), jobHolds(options.holds, options.self)
{ }

void FleetNode::submit(const TransientJob &job, const RoutePolicy &policy, std::uint64_t caller,
                       TimePoint now)
{
    this->beginEvent(now);
    const JobHistory history = this->jobCoordinator.historyOf(job.id);
    const bool isKnown = history != JobHistory::Unknown && history != JobHistory::CallerLeft;
    if (!isKnown && this->jobHolds.isHeld(job.id, now)) {
        this->heldOutcomes.push_back({ .job = job.id,
                                       .callerTokens = { caller },
                                       .status = TransientJobStatus::Unfinished,
                                       .reason = OutcomeReason::StartUncertain });
        return;
    }
    this->jobCoordinator.submit(job, policy, caller, this->ownerViews(now), now);
}

void FleetNode::removeCaller(std::uint64_t caller, TimePoint now)
{
    this->beginEvent(now);
    const std::set<NodeName> owners = this->jobCoordinator.ownersFor(caller);
    this->jobCoordinator.removeCaller(caller, now);
    this->notifyOwners(owners);
}

bool FleetNode::cancelJob(const std::string &job, TimePoint now)
{
    this->beginEvent(now);
    const std::set<NodeName> owners = this->jobCoordinator.ownersOf(job);
    const bool wasInProgress = this->jobCoordinator.cancelJob(job, now);
    this->notifyOwners(owners);
    return wasInProgress;
}

void FleetNode::notifyOwners(const std::set<NodeName> &owners)
{
    for (const NodeName &owner : owners)
        if (const auto found = this->peers.find(owner); found != this->peers.end())
            found->second.hasPendingMessage = true;
}

std::vector<NodeName> FleetNode::peersToAsk(TimePoint now)
{
    std::vector<NodeName> names;
    for (auto &[name, peer] : this->peers) {
        const TimePoint knownAt = std::max({ peer.addedAt, peer.lastSeenAt, peer.listedAt });
        if (now >= knownAt + this->options.askedPeerLifetime)
            continue;
        peer.askedAt = now;
        peer.isConnected = true;
        names.push_back(name);
    }
    return names;
}

void FleetNode::handleHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now)
{
    this->beginEvent(now);
    const TargetName &name = heartbeat.target.name;
    if (heartbeat.isLeaving || heartbeat.target.state == TargetState::Draining)
        this->recordDeparture(heartbeat, now);
    if (heartbeat.isLeaving) {
        this->targetOwner.handleDeparture(heartbeat.target, now);
        return;
    }
    if (!this->targetOwner.ownsTarget(name)) {
        if (this->isInputStale(now) || this->hasShutDown(heartbeat.target))
            return;
        // Registry nodes send these heartbeats to all gateways, for the owner. A draining target
        // gets no new work, so nobody else has to take it over.
        if (heartbeat.target.state == TargetState::Draining)
            return;
        if (this->isDraining) {
            if (const auto newOwner = this->preferredOwner(name, heartbeat.target.domain, now))
                this->recordTransfer(name, *newOwner, now);
            return;
        }
        // The next heartbeats still arrive here, until the target has received the new address.
        if (this->isTransferred(name, now))
            return;
        // A peer that drives the target keeps it; the heartbeat was sent to the wrong node.
        for (const auto &[node, peer] : this->peers) {
            const auto isDriven = [&](const OwnedTarget &t) {
                return t.name == name && t.incarnation >= heartbeat.target.incarnation
                    && (t.acceptsWork || t.isWithheld);
            };
            if (this->isConfirmed(peer, now)
                && std::ranges::any_of(peer.report.targets, isDriven)) {
                this->recordTransfer(name, node, now);
                return;
            }
        }
    }
    this->transfers.erase(name);
    this->targetOwner.updateTarget(this->latestState(heartbeat.target), now);
}

void FleetNode::recordDeparture(const TargetHeartbeat &heartbeat, TimePoint now)
{
    const LeasedTarget &target = heartbeat.target;
    this->recordState(heartbeat.isLeaving ? "shutting-down" : "leaving", target, {},
                      this->targetOwner.ownsTarget(target.name) ? "owned" : "not-owned");
    // Without an incarnation, a target that starts again under its name can't be told from this
    // one.
    if (target.incarnation == 0)
        return;
    const auto known = this->departures.find(target.name);
    if (known != this->departures.end() && known->second.heartbeat.isNewerThan(target))
        return;
    if (known == this->departures.end() && this->departures.size() >= internal::maxDepartures)
        this->departures.erase(std::ranges::min_element(
            this->departures, {}, [](const auto &item) { return item.second.receivedAt; }));
    this->departures[target.name]
        = { .heartbeat = target, .isLeaving = heartbeat.isLeaving, .receivedAt = now };
}

// Other nodes may hold an earlier state of the target, and hand it over.
LeasedTarget FleetNode::latestState(const LeasedTarget &target) const
{
    const auto known = this->departures.find(target.name);
    const bool isOutdated
        = known != this->departures.end() && known->second.heartbeat.isNewerThan(target);
    return isOutdated ? known->second.heartbeat : target;
}

bool FleetNode::hasShutDown(const LeasedTarget &target) const
{
    const auto known = this->departures.find(target.name);
    return known != this->departures.end() && known->second.isLeaving
        && known->second.heartbeat.incarnation >= target.incarnation;
}

void FleetNode::adoptTransferred(const LeasedTarget &target, const NodeName &from, TimePoint now)
{
    if (this->isInputStale(now) || this->hasShutDown(target)) {
        this->recordState("received", target, from, "ignored");
        return;
    }
    const LeasedTarget latest = this->latestState(target);
    const char *outcome = this->targetOwner.ownsTarget(target.name) ? "updated" : "adopted";
    this->recordState("received", latest, from, outcome);
    this->targetOwner.updateTarget(latest, now);
}

void FleetNode::recordState(std::string event, const LeasedTarget &target, const NodeName &peer,
                            std::string outcome)
{
    this->targetStates.push_back({ .event = std::move(event),
                                   .target = target.name,
                                   .incarnation = target.incarnation,
                                   .sequence = target.sequence,
                                   .state = target.state,
                                   .peer = peer,
                                   .outcome = std::move(outcome) });
}

void FleetNode::receive(const FleetMessage &message, TimePoint now)
{
    this->beginEvent(now);
    this->raiseIncarnation(message.receiverIncarnation, now);
    Peer &peer = this->findOrAddPeer(message.from, now);
    const bool isStale = message.incarnation < peer.incarnation
        || (message.incarnation == peer.incarnation
            && message.sequence <= peer.lastReceivedSequence);
    if (isStale) {
        ++this->counts.staleMessages;
        // Its clock may have been set back before it started; the next message tells it.
        if (message.incarnation < peer.incarnation)
            peer.hasPendingMessage = true;
        return;
    }
    ++this->counts.receivedMessages;
    if (message.incarnation != peer.incarnation)
        this->beginIncarnation(peer, message, now);
    peer.lastReceivedSequence = message.sequence;
    peer.domain = message.domain;
    peer.weight = message.weight;
    peer.targetsAddress = message.targetsAddress;
    peer.isDraining = message.isDraining;
    peer.lastSeenAt = now;
    // A peer that has just selected this node, for the first time or again, has no report of it.
    if (message.wantsReports && !peer.wantsReports)
        peer.sentReport.version = 0;
    peer.wantsReports = message.wantsReports;
    peer.hasPendingMessage = peer.hasPendingMessage || message.requestsResponse;
    if (message.report && this->selection.isSelected(message.from))
        peer.report = *message.report;
    this->guard(message, now);
    this->handleAcknowledgement(peer, message);
    if (message.receiverIncarnation == this->currentIncarnation || message.receiverIncarnation == 0)
        this->handleWantedRuns(peer, message, now);
    for (const RunName &run : message.begunRuns)
        this->jobCoordinator.handleBegun(message.from, run);
    for (const RunEnd &end : message.runEnds)
        this->jobCoordinator.handleRunEnd(message.from, end, now);
    for (const RunName &run : message.stoppingRuns)
        this->jobCoordinator.handleStopping(message.from, run, now);
    // The acknowledgement is that the next message no longer lists the runs as wanted.
    if (!message.runEnds.empty() && !peer.acknowledgeEndsAt)
        peer.acknowledgeEndsAt = now + internal::acknowledgeWithin;
    for (const LeasedTarget &target : message.transferredTargets)
        this->adoptTransferred(target, message.from, now);
    for (const TargetSpeed &speed : message.transferredSpeeds)
        this->targetOwner.adoptSpeed(speed);
}

void FleetNode::beginIncarnation(Peer &peer, const FleetMessage &message, TimePoint now)
{
    this->ownerFence.handleLoss(message.from, FenceCause::OwnerRestarted, now);
    this->ownerFence.removeOwner(message.from);
    peer.lastReceivedSequence = 0;
    peer.report = {};
    peer.sentReport.version = 0;
    peer.sentTargets.version = 0;
    peer.incarnation = message.incarnation;
    this->targetOwner.dropOlderIncarnations(
        { .node = message.from, .incarnation = message.incarnation }, now);
    this->jobCoordinator.updateIncarnation(message.from, message.incarnation, now);
}

void FleetNode::receive(const JobHold &hold, TimePoint now)
{
    this->beginEvent(now);
    this->jobHolds.receive(hold, now);
}

void FleetNode::handleAcknowledgement(Peer &peer, const FleetMessage &message)
{
    if (message.receiverIncarnation != this->currentIncarnation)
        return;
    peer.lastAcknowledgedSequence
        = std::max(peer.lastAcknowledgedSequence, message.acknowledgedSequence);
    const bool isDeselectionKnown
        = peer.deselectionSequence != 0 && peer.deselectionSequence <= message.acknowledgedSequence;
    if (isDeselectionKnown || peer.isSelected) {
        peer.isDeselectionPending = false;
        peer.deselectionSequence = 0;
    }
    while (!peer.unacknowledged.empty()
           && peer.unacknowledged.front().sequence <= message.acknowledgedSequence) {
        if (peer.unacknowledged.front().sequence == message.acknowledgedSequence)
            peer.confirmedAt = std::max(peer.confirmedAt, peer.unacknowledged.front().sentAt);
        peer.unacknowledged.pop_front();
    }
}

void FleetNode::handleWantedRuns(Peer &peer, const FleetMessage &message, TimePoint now)
{
    const Requester requester = { .node = message.from, .incarnation = message.incarnation };
    const std::set<RunName> wantedRuns(message.wantedRuns.begin(), message.wantedRuns.end());
    this->targetOwner.cancelUnwantedRuns(requester, wantedRuns, now);
    for (RunRequest request : message.runRequests) {
        const auto spec = message.specs.find(request.run.job);
        if (this->isDraining || !wantedRuns.contains(request.run) || spec == message.specs.end())
            continue;
        request.spec = spec->second;
        this->targetOwner.requestRun(request, requester, now);
    }
    if (!message.withdrawnRuns.empty())
        this->targetOwner.withdrawRuns(
            requester, { message.withdrawnRuns.begin(), message.withdrawnRuns.end() }, now);
    peer.areRunsCancelled = false;
    // A run that is wanted but unknown was lost in transit or refused: it will not start here.
    std::vector<RunEnd> &unknownRuns = this->unknownRuns[message.from];
    unknownRuns.clear();
    for (const RunName &run : wantedRuns)
        if (!this->targetOwner.holdsRun(run, requester))
            unknownRuns.push_back(this->targetOwner.endOfUnknownRun(run));
    peer.hasPendingMessage = peer.hasPendingMessage || !unknownRuns.empty();
}

void FleetNode::handleStartResponse(const OrderAddress &from, const RunName &run,
                                    const OrderResponse &response, TimePoint now)
{
    this->beginEvent(now);
    this->targetOwner.handleStartResponse(from, run, response, now);
}

void FleetNode::handleStopResponse(const OrderAddress &from, const RunName &run,
                                   const OrderResponse &response, TimePoint now)
{
    this->beginEvent(now);
    this->targetOwner.handleStopResponse(from, run, response, now);
}

void FleetNode::handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                                   const PollResponse &response, TimePoint now)
{
    this->beginEvent(now);
    if (!this->ownerFence.handlePollResponse(from, sentAt, response, now))
        this->targetOwner.handlePollResponse(from, sentAt, response, now);
}

// Incarnations are taken from the clock, so those of a process that started after its clock was set
// back are lower than its predecessor's, and peers that know this one ignore its messages. To peers
// that have accepted the lower one it has restarted: the runs that they have here, and those that
// it has there, end on both sides.
void FleetNode::raiseIncarnation(std::uint64_t seen, TimePoint now)
{
    if (seen <= this->currentIncarnation || seen == std::numeric_limits<std::uint64_t>::max())
        return;
    this->beginEvent(now);
    this->currentIncarnation = seen + 1;
    this->raisedIncarnation = this->currentIncarnation;
    this->jobCoordinator.disownRemoteRuns(this->options.self, now);
    for (auto &[name, peer] : this->peers) {
        this->targetOwner.cancelRunsOfNode(name, now);
        peer.sentReport.version = 0;
        peer.sentTargets.version = 0;
        peer.hasPendingMessage = peer.hasPendingMessage || peer.incarnation != 0;
    }
}

void FleetNode::updatePeer(const NodeRecord &record, TimePoint now)
{
    this->listReceivedAt = now;
    if (record.node == this->options.self)
        return;
    Peer &peer = this->findOrAddPeer(record.node, now);
    peer.listedAt = now;
    if (record.incarnation < peer.incarnation)
        return;
    // The announcer may be gone by now, and then repeats nothing.
    if (record.incarnation > peer.listedIncarnation)
        for (JobHold &hold : this->jobHolds.activeHolds(now))
            this->forwardedHolds.push_back({ .to = record.node, .hold = std::move(hold) });
    peer.listedIncarnation = std::max(peer.listedIncarnation, record.incarnation);
    peer.domain = record.domain;
    peer.weight = record.weight;
    peer.targetsAddress = record.targetsAddress;
    peer.isDraining = record.isDraining;
}

FleetNode::Peer &FleetNode::findOrAddPeer(const NodeName &name, TimePoint now)
{
    const auto [found, isNew] = this->peers.try_emplace(name);
    if (isNew)
        found->second.addedAt = now;
    return found->second;
}

void FleetNode::setEvacuatedDomains(const std::set<DomainName> &domains, TimePoint now)
{
    this->beginEvent(now);
    this->targetOwner.setEvacuatedDomains(domains, now);
}

void FleetNode::drain(TimePoint shutdownAt)
{
    this->isDraining = true;
    this->jobCoordinator.setShutdownTime(shutdownAt);
}

void FleetNode::tick(TimePoint now)
{
    this->beginEvent(now);
    this->jobCoordinator.tick(now);
    this->endUnwantedLocalRuns(now);
    this->selectPeers(now);
    for (auto &[name, peer] : this->peers) {
        const bool isSilent = now >= peer.confirmedAt + this->options.peerSilenceTimeout;
        if (!isSilent || peer.areRunsCancelled)
            continue;
        peer.areRunsCancelled = true;
        this->targetOwner.cancelRunsOfNode(name, now);
    }
    this->targetOwner.tick([&](const Requester &r) { return this->lastContact(r, now); }, now);
    this->targetOwner.endPendingStarts(
        [&](const TargetName &t, std::uint64_t token) { return this->hasFenced(t, token); }, now);
    this->transferTargets(now);
    this->fenceLostOwners(now);
    this->announceHolds(now);
}

void FleetNode::announceHolds(TimePoint now)
{
    if (now < this->holdsCheckedAt + internal::holdInterval)
        return;
    this->holdsCheckedAt = now;
    this->holdAbandonedJobs(now);
    const auto isVoid = [&](const UncertainStart &start) { return this->isVoid(start, now); };
    for (JobHold &hold : this->jobHolds.update(this->targetOwner.uncertainStarts(now), isVoid, now))
        this->announcedHolds.push_back(std::move(hold));
}

// An owner in touch ends the runs that its peers want no more, and announces those whose starts may
// still be executed. For one that is lost, their coordinator has to assume that. A stall of this
// node is no loss of the others, of which it has heard nothing meanwhile.
void FleetNode::holdAbandonedJobs(TimePoint now)
{
    for (const AbandonedRun &run : this->jobCoordinator.takeAbandonedRuns()) {
        const Peer *owner = this->findPeer(run.owner, run.ownerIncarnation);
        const bool isHeard = owner != nullptr
            && now < std::max(owner->lastSeenAt, this->lastStallAt) + this->options.linkTimeout;
        if (isHeard || run.owner == this->options.self)
            continue;
        this->jobHolds.add({ .run = run.run,
                             .unansweredAt = now,
                             .owner = run.owner,
                             .ownerIncarnation = run.ownerIncarnation });
    }
}

const FleetNode::Peer *FleetNode::findPeer(const NodeName &node, std::uint64_t incarnation) const
{
    const auto found = this->peers.find(node);
    const bool isCurrent = found != this->peers.end() && found->second.incarnation == incarnation;
    return isCurrent ? &found->second : nullptr;
}

// An owner that was out of touch announces by itself what it finds uncertain, a little later.
bool FleetNode::isVoid(const UncertainStart &start, TimePoint now) const
{
    if (!start.owner.isEmpty()) {
        const Peer *owner = this->findPeer(start.owner, start.ownerIncarnation);
        return owner != nullptr && this->isConfirmed(*owner, now)
            && owner->confirmedAt > start.unansweredAt + internal::ownAnnouncementTime;
    }
    return this->targetOwner.hasSettled(start.target)
        || this->hasFenced(start.target, start.fencingToken);
}

// Each report is of a time at which its sender's token was accepted, which can't be undone.
bool FleetNode::hasFenced(const TargetName &target, std::uint64_t token) const
{
    if (this->targetOwner.hasFenced(target, token))
        return true;
    return std::ranges::any_of(this->peers, [&](const auto &peer) {
        return std::ranges::any_of(peer.second.report.targets, [&](const OwnedTarget &t) {
            return t.name == target && t.isReconciled && t.fencingToken > token;
        });
    });
}

void FleetNode::guard(const FleetMessage &message, TimePoint now)
{
    this->ownerFence.handleContact(message.from, message.incarnation);
    if (!message.wantsReports) {
        this->ownerFence.removeOwner(message.from);
        return;
    }
    if (message.drivenTargets)
        this->ownerFence.setTargets(message.from, message.incarnation, *message.drivenTargets, now);
}

// Messages that waited while this node was stalled say nothing of their senders' present state, but
// neither does the silence before.
void FleetNode::fenceLostOwners(TimePoint now)
{
    for (const auto &[name, peer] : this->peers) {
        const TimePoint contactAt = std::max(peer.lastSeenAt, this->lastStallAt);
        if (now >= contactAt + this->options.fence.silenceTimeout)
            this->ownerFence.handleLoss(name, FenceCause::OwnerSilent, now);
    }
}

FleetOutbox FleetNode::flush(TimePoint now)
{
    this->beginEvent(now);
    this->endUnwantedLocalRuns(now);
    this->assignTasks(now);
    this->targetOwner.startQueuedRuns([&](const Requester &r) { return this->lastContact(r, now); },
                                      now);
    this->returnQueuedRuns(now);
    this->deliverLocalRunEnds(now);
    // A caller waits for the owners' word, so they are asked for a response.
    for (const NodeName &owner : this->jobCoordinator.takeWithdrawalOwners())
        if (const auto found = this->peers.find(owner); found != this->peers.end())
            found->second.shouldRequestResponse = true;
    FleetOutbox out;
    this->sendMessages(now, out);
    out.orders = this->targetOwner.takeOrders();
    for (PollOrder &poll : this->ownerFence.takeDuePolls(now))
        out.orders.emplace_back(std::move(poll));
    out.foreignRuns = this->targetOwner.takeForeignRuns();
    out.forecasts = this->targetOwner.takeForecasts();
    out.fences = this->ownerFence.takeRecords();
    this->counts.fencedForPeers += static_cast<std::uint64_t>(
        std::ranges::count(out.fences, OrderStatus::Done, &FenceRecord::status));
    out.outcomes = this->jobCoordinator.takeOutcomes();
    for (JobOutcome &outcome : std::exchange(this->heldOutcomes, {}))
        out.outcomes.push_back(std::move(outcome));
    out.holds = std::exchange(this->announcedHolds, {});
    out.forwardedHolds = std::exchange(this->forwardedHolds, {});
    out.targetChanges = this->targetOwner.takeChanges();
    out.targetStates = std::exchange(this->targetStates, {});
    out.unsuccessfulRuns = this->jobCoordinator.takeUnsuccessfulRuns();
    out.attempts = this->targetOwner.takeAttempts();
    out.raisedIncarnation = std::exchange(this->raisedIncarnation, std::nullopt);
    this->hasNewEvents = false;
    return out;
}

std::string FleetNode::heartbeatRedirectOf(const TargetName &target) const
{
    const auto found = this->transfers.find(target);
    return found == this->transfers.end() ? std::string() : found->second.address;
}

std::optional<NodeName> FleetNode::newOwnerOf(const TargetName &target) const
{
    const auto found = this->transfers.find(target);
    return found == this->transfers.end() ? std::nullopt : std::optional(found->second.owner);
}

bool FleetNode::acknowledges(const TargetHeartbeat &heartbeat) const
{
    const bool isForOwner = heartbeat.isLeaving || heartbeat.target.state == TargetState::Draining;
    return !isForOwner || this->targetOwner.ownsTarget(heartbeat.target.name);
}

bool FleetNode::isIdle() const
{
    return this->jobCoordinator.jobCount() == 0 && this->targetOwner.runningRunCount() == 0
        && this->targetOwner.queuedRunCount() == 0;
}

std::size_t FleetNode::livePeerCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->peers, [&](const auto &item) { return this->isConfirmed(item.second, now); }));
}

std::vector<NodeName> FleetNode::livePeersOfDomain(TimePoint now) const
{
    std::vector<NodeName> names;
    for (const auto &[name, peer] : this->peers)
        if (peer.domain == this->options.domain && peer.incarnation != 0
            && now < peer.lastSeenAt + this->options.linkTimeout)
            names.push_back(name);
    return names;
}

// After a stall of the process, whatever its clock showed meanwhile, this node's orders and
// messages may have been given up by the others. Peers and targets have to respond again before it
// uses them.
void FleetNode::beginEvent(TimePoint now)
{
    this->hasNewEvents = true;
    const bool isStalled
        = this->lastStepAt != TimePoint() && now > this->lastStepAt + this->options.stallThreshold;
    this->lastStepAt = now;
    if (!isStalled)
        return;
    ++this->counts.stalls;
    this->lastStallAt = now;
    for (auto &[name, peer] : this->peers) {
        peer.confirmedAt = TimePoint();
        peer.unacknowledged.clear();
    }
    this->targetOwner.invalidateTargetContacts(now);
}

bool FleetNode::isConfirmed(const Peer &peer, TimePoint now) const
{
    return peer.incarnation != 0 && now < peer.confirmedAt + this->options.confirmationLifetime;
}

// Each message lists the runs that its sender wants, so the acknowledgement of a message shows that
// the peer wanted its runs when that was sent.
std::optional<TimePoint> FleetNode::lastContact(const Requester &requester, TimePoint now) const
{
    if (requester.node == this->options.self)
        return now;
    const Peer *peer = this->findPeer(requester.node, requester.incarnation);
    const bool isAlive = peer != nullptr && this->isConfirmed(*peer, now);
    return isAlive ? std::optional(peer->confirmedAt) : std::nullopt;
}

void FleetNode::assignTasks(TimePoint now)
{
    if (!this->jobCoordinator.hasReadyTasks(now))
        return;
    std::vector<OwnerView> owners = this->ownerViews(now);
    for (RunAssignment &assignment : this->jobCoordinator.assignTasks(owners, now)) {
        if (assignment.owner == this->options.self) {
            this->targetOwner.requestRun(assignment.request, this->self(), now);
            continue;
        }
        this->peers.at(assignment.owner).runRequests.push_back(std::move(assignment.request));
    }
}

// Coordinators assign tasks by reports that are some milliseconds old, so runs may queue at one
// owner while another has free capacity. As many as fit there are returned, to be assigned again.
void FleetNode::returnQueuedRuns(TimePoint now)
{
    if (this->targetOwner.queuedRunCount() == 0)
        return;
    std::vector<OwnerReport> others;
    for (const NodeName &name : this->selection.selectedPeers()) {
        const Peer &peer = this->peers.at(name);
        if (this->isConfirmed(peer, now) && !peer.isDraining && peer.report.queued == 0)
            others.push_back(peer.report);
    }
    if (others.empty())
        return;
    this->targetOwner.returnQueuedRuns(
        [&](const RunRequest &request, const RunBounds &bounds) {
            return std::ranges::any_of(others, [&](OwnerReport &report) {
                return reserveCapacity(report, request, bounds, now);
            });
        },
        now);
}

// Before any run is started, so that no run of a job starts that was cancelled or given up.
void FleetNode::endUnwantedLocalRuns(TimePoint now)
{
    const std::vector<RunName> names = this->jobCoordinator.wantedRunsAt(this->options.self);
    const std::set<RunName> wantedRuns(names.begin(), names.end());
    this->targetOwner.cancelUnwantedRuns(this->self(), wantedRuns, now);
    if (const auto withdrawn = this->jobCoordinator.withdrawnRuns();
        withdrawn.contains(this->options.self)) {
        const std::vector<RunName> &own = withdrawn.at(this->options.self);
        this->targetOwner.withdrawRuns(this->self(), { own.begin(), own.end() }, now);
        for (const RunName &run : this->targetOwner.stoppingRunsFor(this->self()))
            this->jobCoordinator.handleStopping(this->options.self, run, now);
    }
}

void FleetNode::deliverLocalRunEnds(TimePoint now)
{
    for (const RunName &run : this->jobCoordinator.wantedRunsAt(this->options.self))
        if (!this->targetOwner.holdsRun(run, this->self()))
            this->jobCoordinator.handleRunEnd(this->options.self,
                                              this->targetOwner.endOfUnknownRun(run), now);
    for (const RunEnd &end : this->targetOwner.runEndsFor(this->self()))
        this->jobCoordinator.handleRunEnd(this->options.self, end, now);
}

// Targets move to the node that rendezvous hashing selects, so that a rolling restart does not
// leave them with a few nodes. They move only while they have no runs.
void FleetNode::transferTargets(TimePoint now)
{
    for (const LeasedTarget &target : this->targetOwner.takeReleasedTargets()) {
        const auto speed = this->targetOwner.takeReleasedSpeed(target.name);
        const auto newOwner = this->preferredOwner(target.name, target.domain, now);
        if (!newOwner || !this->isConfirmed(this->peers.at(*newOwner), now))
            continue;
        Peer &peer = this->peers.at(*newOwner);
        peer.transferredTargets.push_back(target);
        if (speed)
            peer.transferredSpeeds.push_back(*speed);
        peer.hasPendingMessage = true;
        this->recordState("handed-over", target, *newOwner, "sent");
        this->recordTransfer(target.name, *newOwner, now);
    }
    if (now < this->transfersCheckedAt + internal::transferInterval)
        return;
    this->transfersCheckedAt = now;
    std::erase_if(this->transfers, [&](const auto &item) {
        return now >= item.second.transferredAt + internal::transferLifetime;
    });
    std::erase_if(this->departures, [&](const auto &item) {
        return now >= item.second.receivedAt + this->options.departureLifetime;
    });
    for (const TargetName &target : this->targetOwner.targetNames()) {
        const LeasedTarget *known = this->targetOwner.findTarget(target);
        const auto newOwner = this->preferredOwner(target, known->domain, now);
        if (!newOwner)
            continue;
        // A listed node may have failed, so it has to respond before it gets a target.
        Peer &peer = this->peers.at(*newOwner);
        if (this->isConfirmed(peer, now))
            this->targetOwner.releaseTarget(target);
        else
            peer.shouldRequestResponse = true;
    }
}

void FleetNode::recordTransfer(const TargetName &target, const NodeName &owner, TimePoint now)
{
    this->transfers[target]
        = { .owner = owner, .address = this->peers.at(owner).targetsAddress, .transferredAt = now };
}

bool FleetNode::isTransferred(const TargetName &target, TimePoint now) const
{
    const auto found = this->transfers.find(target);
    if (found == this->transfers.end()
        || now >= found->second.transferredAt + internal::transferLifetime)
        return false;
    const auto owner = this->peers.find(found->second.owner);
    return owner != this->peers.end() && this->isListed(owner->second, now);
}

std::optional<NodeName> FleetNode::preferredOwner(const TargetName &target,
                                                  const DomainName &domain, TimePoint now) const
{
    std::vector<OwnerCandidate> candidates;
    if (!this->isDraining && this->options.domain == domain)
        candidates.push_back({ .node = this->options.self, .weight = this->options.weight });
    for (const auto &[name, peer] : this->peers) {
        const bool isOldEnough = now >= peer.addedAt + this->options.newPeerDelay;
        if (peer.domain == domain && !peer.isDraining && this->isListed(peer, now) && isOldEnough)
            candidates.push_back({ .node = name, .weight = peer.weight });
    }
    const auto owner = chooseOwner(target, candidates);
    return owner == this->options.self ? std::nullopt : owner;
}

std::vector<OwnerView> FleetNode::ownerViews(TimePoint now) const
{
    std::vector<OwnerView> ownerViews;
    ownerViews.push_back({ .node = this->options.self,
                           .incarnation = this->options.incarnation,
                           .distance = OwnerView::Distance::Self,
                           .report = this->targetOwner.report(now) });
    for (const NodeName &name : this->selection.selectedPeers()) {
        const Peer &peer = this->peers.at(name);
        if (!this->isConfirmed(peer, now) || peer.isDraining)
            continue;
        OwnerView view = { .node = name, .incarnation = peer.incarnation, .report = peer.report };
        const bool isSameDomain = peer.domain == this->options.domain;
        view.distance
            = isSameDomain ? OwnerView::Distance::SameDomain : OwnerView::Distance::OtherDomain;
        for (const SentMessage &sent : peer.unacknowledged)
            view.startsSinceReport += sent.startCount;
        view.startsSinceReport += static_cast<std::uint32_t>(peer.runRequests.size());
        ownerViews.push_back(std::move(view));
    }
    return ownerViews;
}

FleetMessage FleetNode::composeMessage(const NodeName &to, Peer &peer, const RunsByPeer &runsByPeer,
                                       TimePoint now)
{
    FleetMessage message;
    message.from = this->options.self;
    message.incarnation = this->currentIncarnation;
    message.domain = this->options.domain;
    message.weight = this->options.weight;
    message.targetsAddress = this->options.targetsAddress;
    message.sequence = ++this->lastSentSequence;
    message.receiverIncarnation = peer.incarnation;
    message.acknowledgedSequence = peer.lastReceivedSequence;
    message.isDraining = this->isDraining;
    message.wantsReports = this->selection.isSelected(to);
    message.requestsResponse = std::exchange(peer.shouldRequestResponse, false);
    if (peer.wantsReports && lacksState(peer, peer.sentReport, this->reportVersion, now)) {
        message.report = this->report;
        peer.sentReport
            = { .version = this->reportVersion, .sequence = message.sequence, .sentAt = now };
    }
    if (peer.isDeselectionPending && !message.wantsReports && peer.deselectionSequence == 0)
        peer.deselectionSequence = message.sequence;
    if (message.wantsReports && lacksState(peer, peer.sentTargets, this->targetsVersion, now)) {
        message.drivenTargets = this->drivenTargets;
        peer.sentTargets
            = { .version = this->targetsVersion, .sequence = message.sequence, .sentAt = now };
    }
    message.runRequests = std::exchange(peer.runRequests, {});
    for (const RunRequest &request : message.runRequests)
        message.specs[request.run.job] = request.spec;
    if (const auto found = runsByPeer.wantedRuns.find(to); found != runsByPeer.wantedRuns.end())
        message.wantedRuns = found->second;
    if (const auto found = runsByPeer.withdrawnRuns.find(to);
        found != runsByPeer.withdrawnRuns.end())
        message.withdrawnRuns = found->second;
    message.transferredTargets = std::exchange(peer.transferredTargets, {});
    message.transferredSpeeds = std::exchange(peer.transferredSpeeds, {});
    if (peer.incarnation != 0) {
        const Requester requester = { .node = to, .incarnation = peer.incarnation };
        message.runEnds = this->targetOwner.runEndsFor(requester);
        message.stoppingRuns = this->targetOwner.stoppingRunsFor(requester);
        message.begunRuns = this->targetOwner.begunRunsFor(requester);
        this->targetOwner.markEndsReported(requester);
        const std::vector<RunEnd> lost = std::exchange(this->unknownRuns[to], {});
        message.runEnds.insert(message.runEnds.end(), lost.begin(), lost.end());
    }
    peer.unacknowledged.push_back(
        { .sequence = message.sequence,
          .sentAt = now,
          .startCount = static_cast<std::uint32_t>(message.runRequests.size()) });
    if (peer.unacknowledged.size() > internal::maxUnacknowledged)
        peer.unacknowledged.pop_front();
    peer.sentAt = now;
    peer.hasPendingMessage = false;
    peer.isConnected = true;
    peer.acknowledgeEndsAt.reset();
    return message;
}

// A peer counts as having free capacity while one of its targets is half free: less is likely used
// by the time that a run request arrives there.
void FleetNode::selectPeers(TimePoint now)
{
    if (now < this->peersSelectedAt + internal::selectionInterval)
        return;
    this->peersSelectedAt = now;
    for (const NodeName &name : std::set(this->selection.selectedPeers())) {
        const Peer &peer = this->peers.at(name);
        const bool hasFreeCapacity
            = peer.report.queued == 0
            && std::ranges::any_of(peer.report.targets, [](const OwnedTarget &target) {
                   return target.acceptsWork && 2 * target.free.cpu >= target.capacity.cpu;
               });
        this->selection.recordFreeCapacity(name, hasFreeCapacity, now);
    }
    const std::set<NodeName> previous = this->selection.selectedPeers();
    std::vector<NodeRecord> live;
    for (const auto &[name, peer] : this->peers)
        if (this->isListed(peer, now))
            live.push_back({ .node = name,
                             .domain = peer.domain,
                             .weight = peer.weight,
                             .isDraining = peer.isDraining });
    this->selection.select(live, this->options.weight);
    for (auto &[name, peer] : this->peers)
        peer.isSelected = this->selection.isSelected(name);
    for (const NodeName &name : previous)
        if (!this->selection.isSelected(name))
            this->handleDeselected(name);
}

void FleetNode::handleDeselected(const NodeName &name)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end())
        return;
    found->second.report = {};
    found->second.sentTargets.version = 0;
    found->second.isDeselectionPending = true;
    found->second.hasPendingMessage = true;
}

bool FleetNode::isListed(const Peer &peer, TimePoint now) const
{
    return now < std::max(peer.listedAt, peer.confirmedAt) + this->options.listingLifetime;
}

void FleetNode::refreshReport(TimePoint now)
{
    if (now < this->reportRefreshedAt + internal::refreshInterval)
        return;
    this->reportRefreshedAt = now;
    this->refreshDrivenTargets(now);
    OwnerReport current = this->targetOwner.report(now);
    if (current == this->report && this->reportVersion != 0)
        return;
    this->report = std::move(current);
    ++this->reportVersion;
}

void FleetNode::refreshDrivenTargets(TimePoint now)
{
    std::vector<DrivenTarget> current = this->targetOwner.drivenTargets(now);
    if (current == this->drivenTargets && this->targetsVersion != 0)
        return;
    const auto differsOnlyInToken = [](const DrivenTarget &one, const DrivenTarget &other) {
        return one.isFenceWanted == other.isFenceWanted
            && one.address.target == other.address.target
            && one.address.incarnation == other.address.incarnation
            && one.address.address == other.address.address
            && one.address.fencingToken
            <= FencingToken::raised(other.address.fencingToken, FencingToken::maxUnreportedRaises);
    };
    const bool isUrgent = !std::ranges::equal(current, this->drivenTargets, differsOnlyInToken);
    this->drivenTargets = std::move(current);
    ++this->targetsVersion;
    if (isUrgent)
        this->urgentTargetsVersion = this->targetsVersion;
}

// The state is sent again after a while if the message with it seems lost.
bool FleetNode::lacksState(const Peer &peer, const SentState &sent, std::uint64_t latest,
                           TimePoint now)
{
    const bool isLost = peer.lastAcknowledgedSequence < sent.sequence
        && now >= sent.sentAt + internal::stateLifetime;
    return sent.version != latest || isLost;
}

bool FleetNode::hasLink(const Peer &peer, TimePoint now) const
{
    const bool isRecentlySeen = now < peer.lastSeenAt + this->options.linkTimeout;
    return peer.isSelected || (peer.wantsReports && isRecentlySeen);
}

const RequesterState *FleetNode::runsFor(const Peer &peer, const NodeName &name,
                                         const RunsByPeer &runsByPeer)
{
    if (peer.incarnation == 0 || runsByPeer.requesters.empty())
        return nullptr;
    const auto found
        = runsByPeer.requesters.find({ .node = name, .incarnation = peer.incarnation });
    return found == runsByPeer.requesters.end() ? nullptr : &found->second;
}

bool FleetNode::isMessageDue(const Peer &peer, const NodeName &name, const RunsByPeer &runsByPeer,
                             TimePoint now) const
{
    if (!peer.runRequests.empty() || peer.hasPendingMessage || peer.shouldRequestResponse)
        return true;
    if (peer.acknowledgeEndsAt && now >= *peer.acknowledgeEndsAt)
        return true;
    if (peer.isSelected && peer.sentTargets.version < this->urgentTargetsVersion)
        return true;
    const Duration silence = now - peer.sentAt;
    if (peer.isDeselectionPending && silence >= this->options.idleMessageInterval)
        return true;
    const RequesterState *held = runsFor(peer, name, runsByPeer);
    if (held != nullptr && held->hasUnreportedEnds && silence >= internal::endBatchInterval)
        return true;
    if (held != nullptr && held->hasEndedRuns && silence >= internal::endRepeatInterval)
        return true;
    if (silence >= this->options.activeMessageInterval
        && (held != nullptr || runsByPeer.wantedRuns.contains(name)))
        return true;
    if (!this->hasLink(peer, now))
        return false;
    const bool isReportDue = peer.wantsReports && peer.sentReport.version != this->reportVersion
        && now >= peer.sentReport.sentAt + this->options.reportInterval;
    return isReportDue || silence >= this->options.idleMessageInterval;
}

void FleetNode::sendMessages(TimePoint now, FleetOutbox &out)
{
    this->refreshReport(now);
    const RunsByPeer runsByPeer = { .wantedRuns = this->jobCoordinator.wantedRuns(),
                                    .withdrawnRuns = this->jobCoordinator.withdrawnRuns(),
                                    .requesters = this->targetOwner.requesters() };
    for (auto item = this->peers.begin(); item != this->peers.end();) {
        auto &[name, peer] = *item;
        const TimePoint knownAt = std::max({ peer.addedAt, peer.lastSeenAt, peer.listedAt });
        if (!peer.isSelected && now >= knownAt + this->options.peerRemovalTimeout) {
            this->targetOwner.cancelRunsOfNode(name, now);
            out.removedPeers.push_back(name);
            item = this->peers.erase(item);
            continue;
        }
        if (this->isMessageDue(peer, name, runsByPeer, now)) {
            out.messages.push_back(
                { .to = name, .message = this->composeMessage(name, peer, runsByPeer, now) });
            ++this->counts.sentMessages;
        } else if (peer.isConnected
                   && now >= std::max(peer.sentAt, peer.askedAt)
                           + this->options.idleConnectionTimeout) {
            peer.isConnected = false;
            out.idlePeers.push_back(name);
        }
        ++item;
    }
}

} // namespace Hibiscus
