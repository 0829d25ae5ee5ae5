#include "Hibiscus/src/Dispatch/PeerTable.h"

#include <algorithm>

namespace Hibiscus {

PeerTable::PeerTable(const PeerTableOptions &options) : options(options)
{
    for (const PeerAddress &peer : options.peers) {
        this->views[peer.node].domain = peer.domain;
        this->views[peer.node].weight = peer.weight;
    }
}

void PeerTable::learn(const PeerMessage &message, TimePoint now)
{
    PeerView &view = this->views.at(message.from);
    if (message.incarnation != view.incarnation) {
        view.incarnation = message.incarnation;
        view.startsSent = 0;
        view.startsReceived = 0;
    }
    view.startsReceived += message.starts.size();
    view.slots = message.slots.services;
    // Starts that the peer had not seen when it counted its slots have taken some since.
    const std::uint64_t seen = message.slots.startsSeen;
    const std::uint64_t unseen = view.startsSent > seen ? view.startsSent - seen : 0;
    for (ServiceSlots &service : view.slots) {
        const std::size_t taken = std::min<std::size_t>(unseen, service.speeds.size());
        service.speeds.erase(service.speeds.begin(),
                             service.speeds.begin() + static_cast<std::ptrdiff_t>(taken));
    }
    view.demand = message.demand;
    view.demandAt = now;
    view.heardAt = now;
    view.unansweredSince.reset();
}

void PeerTable::takeSlot(const NodeName &peer, const ServiceName &service)
{
    for (ServiceSlots &slots : this->views.at(peer).slots)
        if (slots.service == service && !slots.speeds.empty())
            slots.speeds.erase(slots.speeds.begin());
}

void PeerTable::noteOffer(const NodeName &peer)
{
    Demand &demand = this->views.at(peer).demand;
    if (demand.waitingTasks > 0)
        --demand.waitingTasks;
}

void PeerTable::noteSent(const NodeName &peer, std::size_t starts, bool wantsReply, TimePoint now)
{
    PeerView &view = this->views.at(peer);
    view.startsSent += starts;
    view.sentAt = now;
    if (wantsReply) {
        view.probedAt = now;
        if (!view.unansweredSince)
            view.unansweredSince = now;
    }
}

bool PeerTable::isCurrent(const PeerMessage &message, std::uint64_t ownIncarnation) const
{
    const auto found = this->views.find(message.from);
    if (found == this->views.end())
        return false;
    // Incarnations grow with the time of the process's start.
    const bool fromNow = message.incarnation >= found->second.incarnation;
    return fromNow
        && (message.receiverIncarnation == 0 || message.receiverIncarnation == ownIncarnation);
}

std::optional<PeerSlot> PeerTable::bestSlot(const ServiceName &service, bool repeatable,
                                            TimePoint now) const
{
    std::optional<PeerSlot> best;
    for (const auto &[name, view] : this->views) {
        if (!this->isReachable(view, repeatable, now))
            continue;
        for (const ServiceSlots &slots : view.slots) {
            if (slots.service != service || slots.speeds.empty())
                continue;
            const double speed
                = this->weightOf(view, repeatable) * static_cast<double>(slots.speeds.front());
            if (!best || speed > best->weighedSpeed)
                best = PeerSlot { .peer = name, .weighedSpeed = speed };
        }
    }
    return best;
}

std::optional<NodeName> PeerTable::mostUrgent(const ServiceName &service, TimePoint now) const
{
    std::optional<NodeName> most;
    for (const auto &[name, view] : this->views) {
        const bool isFresh = now <= view.demandAt + this->options.demandLifetime;
        const bool wants = view.demand.waitingTasks > 0 && view.demand.service == service;
        if (!isFresh || !wants)
            continue;
        if (!most || view.demand.urgency < this->views.at(*most).demand.urgency)
            most = name;
    }
    return most;
}

std::size_t PeerTable::waitingBefore(const ServiceName &service, Urgency urgency,
                                     TimePoint now) const
{
    std::size_t waiting = 0;
    for (const auto &[name, view] : this->views) {
        const bool isFresh = now <= view.demandAt + this->options.demandLifetime;
        if (isFresh && view.demand.service == service && view.demand.urgency < urgency)
            waiting += view.demand.waitingTasks;
    }
    return waiting;
}

bool PeerTable::isDead(const NodeName &peer, TimePoint now) const
{
    const PeerView &view = this->views.at(peer);
    return view.unansweredSince && now > *view.unansweredSince + this->options.deadAfter;
}

std::vector<OwnerCandidate> PeerTable::ownerCandidates(TimePoint now) const
{
    std::vector<OwnerCandidate> candidates;
    for (const auto &[name, view] : this->views) {
        const bool isNear = view.domain == this->options.ownDomain;
        if (isNear && view.incarnation != 0 && !this->isDead(name, now))
            candidates.push_back({ .node = name, .weight = view.weight });
    }
    return candidates;
}

bool PeerTable::isProbeDue(const NodeName &peer, TimePoint now) const
{
    return now >= this->views.at(peer).probedAt + this->options.probeInterval;
}

std::size_t PeerTable::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->views, [&](const auto &item) {
        return item.second.incarnation != 0 && !this->isDead(item.first, now);
    }));
}

bool PeerTable::isReachable(const PeerView &view, bool repeatable, TimePoint now) const
{
    const bool isNear = view.domain == this->options.ownDomain;
    const bool isFresh = now <= view.heardAt + this->options.farSlotLifetime;
    return !view.unansweredSince && (repeatable || isNear || isFresh);
}

// A task that is not repeatable and runs behind a partition ends as "may have run", so another
// domain must be clearly faster to be worth that risk.
double PeerTable::weightOf(const PeerView &view, bool repeatable) const
{
    if (view.domain == this->options.ownDomain)
        return this->options.sameDomainWeight;
    return repeatable ? this->options.otherDomainWeight
                      : this->options.otherDomainNotRepeatableWeight;
}

} // namespace Hibiscus
