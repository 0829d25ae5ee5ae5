#include "Hibiscus/src/Fleet/FleetNode.h"

#include <Hibiscus/Dispatch>

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Messages remembered until they are echoed; older ones confirm nothing any more. */
constexpr std::size_t maxMarks = 256;
/** \brief A report that was not echoed within it is told again. */
constexpr Duration reportLifetime = 400ms;
/** \brief Between two looks at whether targets should move to another owner. */
constexpr Duration passOnInterval = 200ms;
/** \brief A target that still announces itself here after it was not taken over: three heartbeats.
 */
constexpr Duration transferLifetime = 4500ms;
/** \brief Between two looks at whether the report has changed; a part of the report interval. */
constexpr Duration refreshInterval = 20ms;
/** \brief Between two choices of the peers to watch. */
constexpr Duration chooseInterval = 100ms;
/** \brief Ends are gathered for so long before they are told: some round trips. */
constexpr Duration endInterval = 5ms;
/** \brief Ends that were told and not acknowledged are told again after it. */
constexpr Duration endRepeatInterval = 100ms;
/** \brief Ends are acknowledged after it, unless a message leaves anyway. */
constexpr Duration acknowledgeWithin = 40ms;

} // namespace internal

FleetNode::FleetNode(const FleetNodeOptions &options)
    : options(options), coordinating(options.coordinator), owning(options.owner),
      selection({ .self = options.self,
                  .domain = options.domain,
                  .watched = options.watchedPeers,
                  .far = options.farWatchedPeers })
{ }

void FleetNode::submit(const TransientJob &job, const RoutePolicy &policy, std::uint64_t caller,
                       TimePoint now)
{
    this->noteTime(now);
    this->coordinating.submit(job, policy, caller, this->views(now), now);
}

void FleetNode::removeCaller(std::uint64_t caller, TimePoint now)
{
    this->noteTime(now);
    const std::set<NodeName> owners = this->coordinating.ownersFor(caller);
    this->coordinating.removeCaller(caller);
    for (const NodeName &owner : owners)
        if (const auto found = this->peers.find(owner); found != this->peers.end())
            found->second.owesNews = true;
}

void FleetNode::handleHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now)
{
    this->noteTime(now);
    const TargetName &name = heartbeat.target.name;
    if (heartbeat.isLeaving) {
        this->owning.noteLeaving(heartbeat.target);
        return;
    }
    if (!this->owning.owns(name)) {
        if (this->isDraining) {
            if (const auto next = this->betterOwner(name, now))
                this->recordTransfer(name, *next, now);
            return;
        }
        // The target's next heartbeats still come here, until it has seen the new address.
        if (this->isTransferred(name, now))
            return;
        // A peer that drives the target keeps it; the heartbeat has only strayed here.
        for (const auto &[node, peer] : this->peers) {
            const auto isIt = [&](const OwnedTarget &t) {
                return t.name == name && t.incarnation >= heartbeat.target.incarnation
                    && t.acceptsWork;
            };
            if (this->isConfirmed(peer, now) && std::ranges::any_of(peer.report.targets, isIt)) {
                this->recordTransfer(name, node, now);
                return;
            }
        }
    }
    this->transfers.erase(name);
    this->owning.own(heartbeat.target, now);
}

void FleetNode::receive(const FleetMessage &message, TimePoint now)
{
    this->noteTime(now);
    Peer &peer = this->peerNamed(message.from, now);
    const bool isStale = message.incarnation < peer.incarnation
        || (message.incarnation == peer.incarnation && message.sequence <= peer.received);
    if (isStale) {
        ++this->counts.staleMessages;
        return;
    }
    ++this->counts.receivedMessages;
    if (message.incarnation != peer.incarnation) {
        peer.received = 0;
        peer.report = {};
        peer.reportedVersion = 0;
        peer.incarnation = message.incarnation;
        this->owning.dropOlderIncarnations(
            { .node = message.from, .incarnation = message.incarnation }, now);
        this->coordinating.updateIncarnation(message.from, message.incarnation, now);
    }
    peer.received = message.sequence;
    peer.domain = message.domain;
    peer.weight = message.weight;
    peer.targetsAddress = message.targetsAddress;
    peer.isDraining = message.isDraining;
    peer.heardAt = now;
    // A peer that begins to watch, or to watch anew, knows no report of this node.
    if (message.watches && !peer.watchesThis)
        peer.reportedVersion = 0;
    peer.watchesThis = message.watches;
    peer.owesNews = peer.owesNews || message.asksAnswer;
    if (message.report && this->selection.watches(message.from))
        peer.report = *message.report;
    this->takeEcho(peer, message);
    if (message.receiverIncarnation == this->options.incarnation
        || message.receiverIncarnation == 0)
        this->takeWanted(peer, message, now);
    for (const RunEnd &end : message.ends)
        this->coordinating.finish(message.from, end, now);
    // The ends are acknowledged by what this node wants from now on.
    if (!message.ends.empty() && !peer.acknowledgeAt)
        peer.acknowledgeAt = now + internal::acknowledgeWithin;
    for (const LeasedTarget &target : message.transferredTargets)
        this->owning.own(target, now);
}

void FleetNode::takeEcho(Peer &peer, const FleetMessage &message)
{
    if (message.receiverIncarnation != this->options.incarnation)
        return;
    peer.echoed = std::max(peer.echoed, message.echo);
    while (!peer.unconfirmed.empty() && peer.unconfirmed.front().sequence <= message.echo) {
        if (peer.unconfirmed.front().sequence == message.echo)
            peer.confirmedAt = std::max(peer.confirmedAt, peer.unconfirmed.front().at);
        peer.unconfirmed.pop_front();
    }
}

void FleetNode::takeWanted(Peer &peer, const FleetMessage &message, TimePoint now)
{
    const Requester requester = { .node = message.from, .incarnation = message.incarnation };
    const std::set<RunName> wanted(message.wanted.begin(), message.wanted.end());
    this->owning.keepOnly(requester, wanted, now);
    for (const RunRequest &request : message.starts) {
        if (this->isDraining || !wanted.contains(request.run))
            continue;
        this->owning.request(request, requester, now);
    }
    peer.isDropped = false;
    // What is wanted and not known was lost on its way, or refused: it will not start here.
    std::vector<RunEnd> &unknown = this->unknown[message.from];
    unknown.clear();
    for (const RunName &run : wanted)
        if (!this->owning.knows(run, requester))
            unknown.push_back({ .run = run, .kind = RunEndKind::NotStarted });
    peer.owesNews = peer.owesNews || !unknown.empty();
}

void FleetNode::handleStartResponse(const OrderAddress &from, const RunName &run,
                                    const OrderResponse &answer, TimePoint now)
{
    this->noteTime(now);
    this->owning.handleStartResponse(from, run, answer, now);
}

void FleetNode::handleStopResponse(const OrderAddress &from, const RunName &run,
                                   const OrderResponse &answer, TimePoint now)
{
    this->noteTime(now);
    this->owning.handleStopResponse(from, run, answer, now);
}

void FleetNode::handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                                   const PollResponse &answer, TimePoint now)
{
    this->noteTime(now);
    this->owning.handlePollResponse(from, sentAt, answer, now);
}

void FleetNode::updatePeer(const NodeRecord &record, TimePoint now)
{
    if (record.node == this->options.self)
        return;
    Peer &peer = this->peerNamed(record.node, now);
    peer.listedAt = now;
    if (record.incarnation < peer.incarnation)
        return;
    peer.domain = record.domain;
    peer.weight = record.weight;
    peer.targetsAddress = record.targetsAddress;
    peer.isDraining = record.isDraining;
}

FleetNode::Peer &FleetNode::peerNamed(const NodeName &name, TimePoint now)
{
    const auto [found, isNew] = this->peers.try_emplace(name);
    if (isNew)
        found->second.metAt = now;
    return found->second;
}

void FleetNode::drain(TimePoint endsAt)
{
    this->isDraining = true;
    this->coordinating.endBy(endsAt);
}

void FleetNode::tick(TimePoint now)
{
    this->noteTime(now);
    this->coordinating.tick(now);
    this->choosePeers(now);
    for (auto &[name, peer] : this->peers) {
        const bool isSilent = now >= peer.confirmedAt + this->options.dropAfter;
        if (!isSilent || peer.isDropped)
            continue;
        peer.isDropped = true;
        this->owning.dropNode(name, now);
    }
    this->owning.tick([&](const Requester &r) { return this->isHeard(r, now); }, now);
    this->transferTargets(now);
}

FleetOutbox FleetNode::flush(TimePoint now)
{
    this->noteTime(now);
    this->placeTasks(now);
    this->owning.place([&](const Requester &r) { return this->isHeard(r, now); }, now);
    this->returnWaiting(now);
    this->deliverOwnEnds(now);
    FleetOutbox out;
    this->sendMessages(now, out);
    out.orders = this->owning.takeOrders();
    out.outcomes = this->coordinating.takeOutcomes();
    out.targetChanges = this->owning.takeChanges();
    out.unsuccessfulRuns = this->coordinating.takeUnsuccessfulRuns();
    this->touched = false;
    return out;
}

std::string FleetNode::heartbeatRedirectOf(const TargetName &target) const
{
    const auto found = this->transfers.find(target);
    return found == this->transfers.end() ? std::string() : found->second.address;
}

bool FleetNode::isIdle() const
{
    return this->coordinating.jobCount() == 0 && this->owning.runningRunCount() == 0
        && this->owning.queuedRunCount() == 0;
}

std::size_t FleetNode::livePeerCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->peers, [&](const auto &item) { return this->isConfirmed(item.second, now); }));
}

// A node that stood still, whatever its clock says of it, may hold orders and messages that the
// others have long given up. Peers and targets have to answer anew before it acts on them.
void FleetNode::noteTime(TimePoint now)
{
    this->touched = true;
    const bool stoodStill
        = this->steppedAt != TimePoint() && now > this->steppedAt + this->options.stallThreshold;
    this->steppedAt = now;
    if (!stoodStill)
        return;
    ++this->counts.stalls;
    for (auto &[name, peer] : this->peers) {
        peer.confirmedAt = TimePoint();
        peer.unconfirmed.clear();
    }
    this->owning.distrustTargets();
}

bool FleetNode::isConfirmed(const Peer &peer, TimePoint now) const
{
    return peer.incarnation != 0 && now < peer.confirmedAt + this->options.confirmLifetime;
}

bool FleetNode::isHeard(const Requester &requester, TimePoint now) const
{
    if (requester.node == this->options.self)
        return true;
    const auto found = this->peers.find(requester.node);
    return found != this->peers.end() && found->second.incarnation == requester.incarnation
        && this->isConfirmed(found->second, now);
}

void FleetNode::placeTasks(TimePoint now)
{
    if (!this->coordinating.hasReady(now))
        return;
    std::vector<OwnerView> owners = this->views(now);
    for (RunAssignment &assignment : this->coordinating.place(owners, now)) {
        if (assignment.owner == this->options.self) {
            this->owning.request(assignment.request, this->self(), now);
            continue;
        }
        this->peers.at(assignment.owner).starts.push_back(std::move(assignment.request));
    }
}

// Coordinators place with reports that are some milliseconds old, so runs pile up at one owner
// while another has room. They go back to be placed anew, as many as there is room for.
void FleetNode::returnWaiting(TimePoint now)
{
    if (this->owning.queuedRunCount() == 0)
        return;
    std::vector<OwnerReport> others;
    for (const NodeName &name : this->selection.watched()) {
        const Peer &peer = this->peers.at(name);
        if (this->isConfirmed(peer, now) && !peer.isDraining && peer.report.queued == 0)
            others.push_back(peer.report);
    }
    if (others.empty())
        return;
    this->owning.returnWaiting(
        [&](const RunRequest &request, const RunBounds &bounds) {
            return std::ranges::any_of(others, [&](OwnerReport &report) {
                return reserveCapacity(report, request, bounds, now);
            });
        },
        now);
}

void FleetNode::deliverOwnEnds(TimePoint now)
{
    const std::vector<RunName> names = this->coordinating.wantedAt(this->options.self);
    const std::set<RunName> wanted(names.begin(), names.end());
    this->owning.keepOnly(this->self(), wanted, now);
    for (const RunName &run : wanted)
        if (!this->owning.knows(run, this->self()))
            this->coordinating.finish(this->options.self,
                                      { .run = run, .kind = RunEndKind::NotStarted }, now);
    for (const RunEnd &end : this->owning.endsFor(this->self()))
        this->coordinating.finish(this->options.self, end, now);
}

// Targets go to the node that rendezvous hashing names, so that a restart of nodes in turn does
// not leave them with a few. They move only while nothing runs on them.
void FleetNode::transferTargets(TimePoint now)
{
    for (const LeasedTarget &target : this->owning.takeReleased()) {
        const auto next = this->betterOwner(target.name, now);
        if (!next || !this->isConfirmed(this->peers.at(*next), now))
            continue;
        Peer &peer = this->peers.at(*next);
        peer.transferredTargets.push_back(target);
        peer.owesNews = true;
        this->recordTransfer(target.name, *next, now);
    }
    if (now < this->passedOnAt + internal::passOnInterval)
        return;
    this->passedOnAt = now;
    std::erase_if(this->transfers, [&](const auto &item) {
        return now >= item.second.at + internal::transferLifetime;
    });
    for (const TargetName &target : this->owning.targetNames()) {
        const auto next = this->betterOwner(target, now);
        if (!next)
            continue;
        // A listed node may be gone, so it has to answer before it gets a target.
        Peer &peer = this->peers.at(*next);
        if (this->isConfirmed(peer, now))
            this->owning.release(target);
        else
            peer.isAsked = true;
    }
}

void FleetNode::recordTransfer(const TargetName &target, const NodeName &owner, TimePoint now)
{
    this->transfers[target]
        = { .owner = owner, .address = this->peers.at(owner).targetsAddress, .at = now };
}

bool FleetNode::isTransferred(const TargetName &target, TimePoint now) const
{
    const auto found = this->transfers.find(target);
    if (found == this->transfers.end() || now >= found->second.at + internal::transferLifetime)
        return false;
    const auto owner = this->peers.find(found->second.owner);
    return owner != this->peers.end() && this->isListed(owner->second, now);
}

std::optional<NodeName> FleetNode::betterOwner(const TargetName &target, TimePoint now) const
{
    const LeasedTarget *known = this->owning.find(target);
    const DomainName domain = known == nullptr ? this->options.domain : known->domain;
    std::vector<OwnerCandidate> candidates;
    if (!this->isDraining && this->options.domain == domain)
        candidates.push_back({ .node = this->options.self, .weight = this->options.weight });
    for (const auto &[name, peer] : this->peers) {
        const bool isSettled = now >= peer.metAt + this->options.settleTime;
        if (peer.domain == domain && !peer.isDraining && this->isListed(peer, now) && isSettled)
            candidates.push_back({ .node = name, .weight = peer.weight });
    }
    const auto chosen = chooseOwner(target, candidates);
    return chosen == this->options.self ? std::nullopt : chosen;
}

std::vector<OwnerView> FleetNode::views(TimePoint now) const
{
    std::vector<OwnerView> views;
    views.push_back({ .node = this->options.self,
                      .incarnation = this->options.incarnation,
                      .distance = OwnerView::Distance::Self,
                      .report = this->owning.report(now) });
    for (const NodeName &name : this->selection.watched()) {
        const Peer &peer = this->peers.at(name);
        if (!this->isConfirmed(peer, now) || peer.isDraining)
            continue;
        OwnerView view = { .node = name, .incarnation = peer.incarnation, .report = peer.report };
        const bool isNear = peer.domain == this->options.domain;
        view.distance = isNear ? OwnerView::Distance::SameDomain : OwnerView::Distance::OtherDomain;
        for (const SentMark &mark : peer.unconfirmed)
            view.unreported += mark.starts;
        view.unreported += static_cast<std::uint32_t>(peer.starts.size());
        views.push_back(std::move(view));
    }
    return views;
}

FleetMessage FleetNode::compose(const NodeName &to, Peer &peer, const Demand &demand, TimePoint now)
{
    FleetMessage message;
    message.from = this->options.self;
    message.incarnation = this->options.incarnation;
    message.domain = this->options.domain;
    message.weight = this->options.weight;
    message.targetsAddress = this->options.targetsAddress;
    message.sequence = ++peer.sent;
    message.receiverIncarnation = peer.incarnation;
    message.echo = peer.received;
    message.isDraining = this->isDraining;
    message.watches = this->selection.watches(to);
    message.asksAnswer = std::exchange(peer.isAsked, false);
    // Told again after a while if the message that carried it seems lost.
    const bool isLost
        = peer.echoed < peer.reportSequence && now >= peer.reportedAt + internal::reportLifetime;
    if (peer.watchesThis && (peer.reportedVersion != this->reportVersion || isLost)) {
        message.report = this->report;
        peer.reportSequence = message.sequence;
        peer.reportedVersion = this->reportVersion;
        peer.reportedAt = now;
    }
    message.starts = std::exchange(peer.starts, {});
    if (const auto found = demand.wanted.find(to); found != demand.wanted.end())
        message.wanted = found->second;
    message.transferredTargets = std::exchange(peer.transferredTargets, {});
    if (peer.incarnation != 0) {
        const Requester requester = { .node = to, .incarnation = peer.incarnation };
        message.ends = this->owning.endsFor(requester);
        this->owning.noteTold(requester);
        const std::vector<RunEnd> lost = std::exchange(this->unknown[to], {});
        message.ends.insert(message.ends.end(), lost.begin(), lost.end());
    }
    peer.unconfirmed.push_back({ .sequence = message.sequence,
                                 .at = now,
                                 .starts = static_cast<std::uint32_t>(message.starts.size()) });
    if (peer.unconfirmed.size() > internal::maxMarks)
        peer.unconfirmed.pop_front();
    peer.sentAt = now;
    peer.owesNews = false;
    peer.isConnected = true;
    peer.acknowledgeAt.reset();
    return message;
}

// A peer has room while one of its targets is half free: less is likely taken by the time that a
// start arrives there.
void FleetNode::choosePeers(TimePoint now)
{
    if (now < this->choseAt + internal::chooseInterval)
        return;
    this->choseAt = now;
    for (const NodeName &name : std::set(this->selection.watched())) {
        const Peer &peer = this->peers.at(name);
        const bool hasFreeCapacity
            = peer.report.queued == 0
            && std::ranges::any_of(peer.report.targets, [](const OwnedTarget &target) {
                   return target.acceptsWork && 2 * target.free.cpu >= target.capacity.cpu;
               });
        this->selection.note(name, hasFreeCapacity, now);
    }
    const std::set<NodeName> former = this->selection.watched();
    std::vector<NodeRecord> live;
    for (const auto &[name, peer] : this->peers)
        if (this->isListed(peer, now))
            live.push_back({ .node = name,
                             .domain = peer.domain,
                             .weight = peer.weight,
                             .isDraining = peer.isDraining });
    this->selection.choose(live, this->options.weight);
    for (const NodeName &name : former)
        if (!this->selection.watches(name))
            this->noteUnwatched(name);
}

void FleetNode::noteUnwatched(const NodeName &name)
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end())
        return;
    found->second.report = {};
    found->second.owesNews = true;
}

bool FleetNode::isListed(const Peer &peer, TimePoint now) const
{
    return now < std::max(peer.listedAt, peer.confirmedAt) + this->options.listedLifetime;
}

void FleetNode::refreshReport(TimePoint now)
{
    if (now < this->refreshedAt + internal::refreshInterval)
        return;
    this->refreshedAt = now;
    OwnerReport present = this->owning.report(now);
    if (present == this->report && this->reportVersion != 0)
        return;
    this->report = std::move(present);
    ++this->reportVersion;
}

bool FleetNode::hasLink(const Peer &peer, const NodeName &name, TimePoint now) const
{
    const bool isHeard = now < peer.heardAt + this->options.linkLifetime;
    return this->selection.watches(name) || (peer.watchesThis && isHeard);
}

bool FleetNode::isDue(const Peer &peer, const NodeName &name, const Demand &demand,
                      TimePoint now) const
{
    if (!peer.starts.empty() || peer.owesNews || peer.isAsked)
        return true;
    if (peer.acknowledgeAt && now >= *peer.acknowledgeAt)
        return true;
    const Duration silence = now - peer.sentAt;
    const auto held = demand.held.find({ .node = name, .incarnation = peer.incarnation });
    if (peer.incarnation != 0 && held != demand.held.end()) {
        const RequesterState &state = held->second;
        if (state.hasNewEnds && silence >= internal::endInterval)
            return true;
        if (state.hasEnds && silence >= internal::endRepeatInterval)
            return true;
    }
    const bool hasRuns = held != demand.held.end() || demand.wanted.contains(name);
    if (hasRuns && silence >= this->options.beatInterval)
        return true;
    if (!this->hasLink(peer, name, now))
        return false;
    const bool isReportDue = peer.watchesThis && peer.reportedVersion != this->reportVersion
        && now >= peer.reportedAt + this->options.reportInterval;
    return isReportDue || silence >= this->options.idleBeatInterval;
}

void FleetNode::sendMessages(TimePoint now, FleetOutbox &out)
{
    this->refreshReport(now);
    const Demand demand
        = { .wanted = this->coordinating.wanted(), .held = this->owning.requesters() };
    for (auto item = this->peers.begin(); item != this->peers.end();) {
        auto &[name, peer] = *item;
        const TimePoint knownAt = std::max({ peer.metAt, peer.heardAt, peer.listedAt });
        const bool isInUse = this->selection.watches(name);
        if (!isInUse && now >= knownAt + this->options.forgetPeerAfter) {
            this->owning.dropNode(name, now);
            out.removedPeers.push_back(name);
            item = this->peers.erase(item);
            continue;
        }
        if (this->isDue(peer, name, demand, now)) {
            out.messages.push_back(
                { .to = name, .message = this->compose(name, peer, demand, now) });
            ++this->counts.sentMessages;
        } else if (peer.isConnected && now >= peer.sentAt + this->options.disconnectAfter) {
            peer.isConnected = false;
            out.idlePeers.push_back(name);
        }
        ++item;
    }
}

} // namespace Hibiscus
