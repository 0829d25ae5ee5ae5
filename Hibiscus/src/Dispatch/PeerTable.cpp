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

void PeerTable::update(const PeerMessage &message, TimePoint now)
{
    PeerView &view = this->views.at(message.from);
    if (message.incarnation != view.incarnation) {
        view.incarnation = message.incarnation;
        view.startsSent = 0;
        view.startsReceived = 0;
    }
    view.startsReceived += message.starts.size();
    view.slots = message.slots.services;
    // Starts that the peer had not received yet when it reported its slots will occupy some of
    // them.
    const std::uint64_t received = message.slots.startsReceived;
    const std::uint64_t inTransit = view.startsSent > received ? view.startsSent - received : 0;
    for (ServiceSlots &service : view.slots) {
        const std::size_t occupied = std::min<std::size_t>(inTransit, service.freeSpeeds.size());
        service.freeSpeeds.erase(service.freeSpeeds.begin(),
                                 service.freeSpeeds.begin()
                                     + static_cast<std::ptrdiff_t>(occupied));
    }
    view.demand = message.demand;
    view.demandReceivedAt = now;
    view.lastReceivedAt = now;
    view.unansweredSince.reset();
}

void PeerTable::removeFastestSlot(const NodeName &peer, const ServiceName &service)
{
    for (ServiceSlots &slots : this->views.at(peer).slots)
        if (slots.service == service && !slots.freeSpeeds.empty())
            slots.freeSpeeds.erase(slots.freeSpeeds.begin());
}

void PeerTable::recordOffer(const NodeName &peer)
{
    Demand &demand = this->views.at(peer).demand;
    if (demand.waitingTasks > 0)
        --demand.waitingTasks;
}

void PeerTable::recordSentMessage(const NodeName &peer, std::size_t starts, bool wantsReply,
                                  TimePoint now)
{
    PeerView &view = this->views.at(peer);
    view.startsSent += starts;
    view.lastSentAt = now;
    if (wantsReply) {
        view.lastProbedAt = now;
        if (!view.unansweredSince)
            view.unansweredSince = now;
    }
}

bool PeerTable::isCurrent(const PeerMessage &message, std::uint64_t ownIncarnation) const
{
    const auto found = this->views.find(message.from);
    if (found == this->views.end())
        return false;
    // Incarnations are start times of the process, so a later one is greater.
    const bool isFromCurrentIncarnation = message.incarnation >= found->second.incarnation;
    return isFromCurrentIncarnation
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
            if (slots.service != service || slots.freeSpeeds.empty())
                continue;
            const double speed = this->speedWeightOf(view, repeatable)
                * static_cast<double>(slots.freeSpeeds.front());
            if (!best || speed > best->weightedSpeed)
                best = PeerSlot { .peer = name, .weightedSpeed = speed };
        }
    }
    return best;
}

std::optional<NodeName> PeerTable::mostUrgentPeer(const ServiceName &service, TimePoint now) const
{
    std::optional<NodeName> best;
    for (const auto &[name, view] : this->views) {
        const bool isRecent = now <= view.demandReceivedAt + this->options.demandLifetime;
        const bool hasDemand = view.demand.waitingTasks > 0 && view.demand.service == service;
        if (!isRecent || !hasDemand)
            continue;
        if (!best || view.demand.urgency < this->views.at(*best).demand.urgency)
            best = name;
    }
    return best;
}

std::size_t PeerTable::waitingTasksBefore(const ServiceName &service, Urgency urgency,
                                          TimePoint now) const
{
    std::size_t waiting = 0;
    for (const auto &[name, view] : this->views) {
        const bool isRecent = now <= view.demandReceivedAt + this->options.demandLifetime;
        if (isRecent && view.demand.service == service && view.demand.urgency < urgency)
            waiting += view.demand.waitingTasks;
    }
    return waiting;
}

bool PeerTable::isDead(const NodeName &peer, TimePoint now) const
{
    const PeerView &view = this->views.at(peer);
    return view.unansweredSince && now > *view.unansweredSince + this->options.peerTimeout;
}

std::vector<OwnerCandidate> PeerTable::ownerCandidates(TimePoint now) const
{
    std::vector<OwnerCandidate> candidates;
    for (const auto &[name, view] : this->views) {
        const bool isSameDomain = view.domain == this->options.ownDomain;
        if (isSameDomain && view.incarnation != 0 && !this->isDead(name, now))
            candidates.push_back({ .node = name, .weight = view.weight });
    }
    return candidates;
}

bool PeerTable::isProbeDue(const NodeName &peer, TimePoint now) const
{
    return now >= this->views.at(peer).lastProbedAt + this->options.probeInterval;
}

std::size_t PeerTable::livePeerCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(this->views, [&](const auto &item) {
        return item.second.incarnation != 0 && !this->isDead(item.first, now);
    }));
}

bool PeerTable::isReachable(const PeerView &view, bool repeatable, TimePoint now) const
{
    const bool isSameDomain = view.domain == this->options.ownDomain;
    const bool isRecent = now <= view.lastReceivedAt + this->options.remoteSlotLifetime;
    return !view.unansweredSince && (repeatable || isSameDomain || isRecent);
}

// A task that is not repeatable and runs behind a network partition ends as "may have run", so a
// slot in another domain must be clearly faster to justify that risk.
double PeerTable::speedWeightOf(const PeerView &view, bool repeatable) const
{
    if (view.domain == this->options.ownDomain)
        return this->options.sameDomainWeight;
    return repeatable ? this->options.otherDomainWeight
                      : this->options.otherDomainNotRepeatableWeight;
}

} // namespace Hibiscus
