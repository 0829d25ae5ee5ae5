#include "Hibiscus/src/Fleet/FleetNode.h"

#include <Hibiscus/Dispatch>

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Messages remembered until they are echoed; older ones confirm nothing any more. */
constexpr std::size_t mostMarks = 256;
/** \brief A report that has not changed is told again after it, in case it was lost. */
constexpr Duration reportLifetime = 1s;
/** \brief Between two looks at whether targets should move to another owner. */
constexpr Duration passOnInterval = 200ms;

} // namespace internal

FleetNode::FleetNode(const FleetNodeOptions &options)
    : options(options), coordinating(options.coordinator), owning(options.owner)
{ }

void FleetNode::submit(const TransientJob &job, const JobTerms &terms, std::uint64_t caller,
                       TimePoint now)
{
    this->noteTime(now);
    this->coordinating.submit(job, terms, caller, this->views(now), now);
}

void FleetNode::leave(std::uint64_t caller, TimePoint now)
{
    this->noteTime(now);
    const std::size_t before = this->coordinating.jobCount();
    this->coordinating.leave(caller);
    if (this->coordinating.jobCount() == before)
        return;
    for (auto &[name, peer] : this->peers)
        peer.owesNews = true;
}

void FleetNode::hear(const TargetHeard &heard, TimePoint now)
{
    this->noteTime(now);
    const TargetName &name = heard.target.name;
    if (heard.isLeaving) {
        this->owning.noteLeaving(heard.target);
        return;
    }
    if (!this->owning.owns(name)) {
        if (this->isDraining) {
            if (const auto next = this->betterOwner(name, now))
                this->passedOn[name] = this->peers.at(*next).targetsAddress;
            return;
        }
        // A peer that drives the target keeps it; the heartbeat has only strayed here.
        for (const auto &[node, peer] : this->peers) {
            const auto isIt = [&](const OwnedTarget &t) {
                return t.name == name && t.life >= heard.target.life && t.takesWork;
            };
            if (this->isConfirmed(peer, now) && std::ranges::any_of(peer.report.targets, isIt)) {
                this->passedOn[name] = peer.targetsAddress;
                return;
            }
        }
    }
    this->passedOn.erase(name);
    this->owning.own(heard.target, now);
}

void FleetNode::receive(const FleetMessage &message, TimePoint now)
{
    this->noteTime(now);
    this->meet(message.from, now);
    Peer &peer = this->peers[message.from];
    const bool isStale = message.life < peer.life
        || (message.life == peer.life && message.sequence <= peer.received);
    if (isStale) {
        ++this->counts.stale;
        return;
    }
    ++this->counts.received;
    if (message.life != peer.life) {
        peer.received = 0;
        peer.report = {};
        peer.life = message.life;
        this->owning.dropEarlierLives({ .node = message.from, .life = message.life }, now);
        this->coordinating.noteLife(message.from, message.life, now);
    }
    peer.received = message.sequence;
    peer.domain = message.domain;
    peer.weight = message.weight;
    peer.targetsAddress = message.targetsAddress;
    peer.isDraining = message.isDraining;
    peer.heardAt = now;
    if (message.report)
        peer.report = *message.report;
    this->takeEcho(peer, message);
    if (message.addresseeLife == this->options.life || message.addresseeLife == 0)
        this->takeWanted(peer, message, now);
    for (const RunEnd &end : message.ends)
        this->coordinating.finish(message.from, end, now);
    // The ends are acknowledged by what this node wants from now on.
    peer.owesNews = peer.owesNews || !message.ends.empty();
    for (const LeasedTarget &target : message.handedOver)
        this->owning.own(target, now);
}

void FleetNode::takeEcho(Peer &peer, const FleetMessage &message)
{
    if (message.addresseeLife != this->options.life)
        return;
    while (!peer.unconfirmed.empty() && peer.unconfirmed.front().sequence <= message.echo) {
        if (peer.unconfirmed.front().sequence == message.echo)
            peer.confirmedAt = std::max(peer.confirmedAt, peer.unconfirmed.front().at);
        peer.unconfirmed.pop_front();
    }
}

void FleetNode::takeWanted(Peer &peer, const FleetMessage &message, TimePoint now)
{
    const Requester requester = { .node = message.from, .life = message.life };
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

void FleetNode::finishStart(const OrderAddress &from, const RunName &run, const OrderAnswer &answer,
                            TimePoint now)
{
    this->noteTime(now);
    this->owning.finishStart(from, run, answer, now);
}

void FleetNode::finishStop(const OrderAddress &from, const RunName &run, const OrderAnswer &answer,
                           TimePoint now)
{
    this->noteTime(now);
    this->owning.finishStop(from, run, answer, now);
}

void FleetNode::finishPoll(const OrderAddress &from, TimePoint sentAt, const PollAnswer &answer,
                           TimePoint now)
{
    this->noteTime(now);
    this->owning.finishPoll(from, sentAt, answer, now);
}

void FleetNode::meet(const NodeName &peer, TimePoint now)
{
    if (peer == this->options.self)
        return;
    const auto [found, isNew] = this->peers.try_emplace(peer);
    if (isNew)
        found->second.metAt = now;
    found->second.heardAt = std::max(found->second.heardAt, found->second.metAt);
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
    for (auto &[name, peer] : this->peers) {
        const bool isSilent = now >= peer.confirmedAt + this->options.dropAfter;
        if (!isSilent || peer.isDropped)
            continue;
        peer.isDropped = true;
        this->owning.dropNode(name, now);
    }
    this->owning.tick([&](const Requester &r) { return this->isHeard(r, now); }, now);
    this->passTargetsOn(now);
}

FleetOutbox FleetNode::settle(TimePoint now)
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
    out.changes = this->owning.takeChanges();
    out.setbacks = this->coordinating.takeSetbacks();
    return out;
}

std::string FleetNode::heartbeatAddressOf(const TargetName &target) const
{
    const auto found = this->passedOn.find(target);
    return found == this->passedOn.end() ? std::string() : found->second;
}

bool FleetNode::isIdle() const
{
    return this->coordinating.jobCount() == 0 && this->owning.runningCount() == 0
        && this->owning.queuedCount() == 0;
}

std::size_t FleetNode::livePeers(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->peers, [&](const auto &item) { return this->isConfirmed(item.second, now); }));
}

// A node that stood still, whatever its clock says of it, may hold orders and messages that the
// others have long given up. Peers and targets have to answer anew before it acts on them.
void FleetNode::noteTime(TimePoint now)
{
    const bool stoodStill
        = this->steppedAt != TimePoint() && now > this->steppedAt + this->options.gap;
    this->steppedAt = now;
    if (!stoodStill)
        return;
    ++this->counts.gaps;
    for (auto &[name, peer] : this->peers) {
        peer.confirmedAt = TimePoint();
        peer.unconfirmed.clear();
    }
    this->owning.distrustTargets();
}

bool FleetNode::isConfirmed(const Peer &peer, TimePoint now) const
{
    return peer.life != 0 && now < peer.confirmedAt + this->options.confirmLifetime;
}

bool FleetNode::isHeard(const Requester &requester, TimePoint now) const
{
    if (requester.node == this->options.self)
        return true;
    const auto found = this->peers.find(requester.node);
    return found != this->peers.end() && found->second.life == requester.life
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
    if (this->owning.queuedCount() == 0)
        return;
    std::vector<OwnerReport> others;
    for (const auto &[name, peer] : this->peers)
        if (this->isConfirmed(peer, now) && !peer.isDraining && peer.report.queued == 0)
            others.push_back(peer.report);
    if (others.empty())
        return;
    this->owning.returnWaiting(
        [&](const RunRequest &request, const RunBounds &bounds) {
            return std::ranges::any_of(others, [&](OwnerReport &report) {
                return takeRoom(report, request, bounds, now);
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
void FleetNode::passTargetsOn(TimePoint now)
{
    for (const LeasedTarget &target : this->owning.takeReleased()) {
        const auto next = this->betterOwner(target.name, now);
        if (!next)
            continue;
        Peer &peer = this->peers.at(*next);
        peer.handedOver.push_back(target);
        peer.owesNews = true;
        this->passedOn[target.name] = peer.targetsAddress;
    }
    if (now < this->passedOnAt + internal::passOnInterval)
        return;
    this->passedOnAt = now;
    for (const TargetName &target : this->owning.targets())
        if (this->betterOwner(target, now))
            this->owning.release(target);
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
        if (peer.domain == domain && !peer.isDraining && this->isConfirmed(peer, now) && isSettled)
            candidates.push_back({ .node = name, .weight = peer.weight });
    }
    const auto chosen = chooseOwner(target, candidates);
    return chosen == this->options.self ? std::nullopt : chosen;
}

std::vector<OwnerView> FleetNode::views(TimePoint now) const
{
    std::vector<OwnerView> views;
    views.push_back({ .node = this->options.self,
                      .life = this->options.life,
                      .distance = OwnerView::Distance::Self,
                      .report = this->owning.report(now) });
    for (const auto &[name, peer] : this->peers) {
        if (!this->isConfirmed(peer, now) || peer.isDraining)
            continue;
        OwnerView view = { .node = name, .life = peer.life, .report = peer.report };
        const bool isNear = peer.domain == this->options.domain;
        view.distance = isNear ? OwnerView::Distance::SameDomain : OwnerView::Distance::OtherDomain;
        for (const SentMark &mark : peer.unconfirmed)
            view.unreported += mark.starts;
        view.unreported += static_cast<std::uint32_t>(peer.starts.size());
        views.push_back(std::move(view));
    }
    return views;
}

FleetMessage FleetNode::compose(const NodeName &to, Peer &peer, const OwnerReport &report,
                                TimePoint now)
{
    FleetMessage message;
    message.from = this->options.self;
    message.life = this->options.life;
    message.domain = this->options.domain;
    message.weight = this->options.weight;
    message.targetsAddress = this->options.targetsAddress;
    message.sequence = ++peer.sent;
    message.addresseeLife = peer.life;
    message.echo = peer.received;
    message.isDraining = this->isDraining;
    // Told again now and then, since a message may have been lost.
    const bool isOld = now >= peer.reportedAt + internal::reportLifetime;
    if (peer.reported != report || isOld) {
        message.report = report;
        peer.reported = report;
        peer.reportedAt = now;
    }
    message.starts = std::exchange(peer.starts, {});
    message.wanted = this->coordinating.wantedAt(to);
    message.handedOver = std::exchange(peer.handedOver, {});
    if (peer.life != 0) {
        message.ends = this->owning.endsFor({ .node = to, .life = peer.life });
        const std::vector<RunEnd> lost = std::exchange(this->unknown[to], {});
        message.ends.insert(message.ends.end(), lost.begin(), lost.end());
    }
    peer.unconfirmed.push_back({ .sequence = message.sequence,
                                 .at = now,
                                 .starts = static_cast<std::uint32_t>(message.starts.size()) });
    if (peer.unconfirmed.size() > internal::mostMarks)
        peer.unconfirmed.pop_front();
    peer.sentAt = now;
    peer.owesNews = false;
    return message;
}

void FleetNode::sendMessages(TimePoint now, FleetOutbox &out)
{
    const OwnerReport report = this->owning.report(now);
    for (auto item = this->peers.begin(); item != this->peers.end();) {
        auto &[name, peer] = *item;
        if (now >= peer.heardAt + this->options.forgetPeerAfter) {
            this->owning.dropNode(name, now);
            out.forgotten.push_back(name);
            item = this->peers.erase(item);
            continue;
        }
        const bool hasEnds
            = peer.life != 0 && this->owning.hasEndsFor({ .node = name, .life = peer.life });
        const bool isReportDue
            = peer.reported != report && now >= peer.reportedAt + this->options.reportInterval;
        const bool isBeatDue = now >= peer.sentAt + this->options.beatInterval;
        // Ends that were told a moment ago are on their way to be acknowledged.
        const bool isEndDue = hasEnds && now >= peer.sentAt + 5ms;
        if (!peer.starts.empty() || peer.owesNews || isEndDue || isReportDue || isBeatDue) {
            out.messages.push_back(
                { .to = name, .message = this->compose(name, peer, report, now) });
            ++this->counts.sent;
        }
        ++item;
    }
}

} // namespace Hibiscus
