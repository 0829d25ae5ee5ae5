#include "Hibiscus/src/Rules/GatewayRules.h"

#include <utility>

namespace Hibiscus {

// Rules that a quorum confirms are preferred. If no quorum is reachable for a while, serving with
// the last known rules, from a registry node or from a peer of the same domain, is better than not
// serving.
std::vector<AddressedFetch> GatewayRules::takeDueRequests(const std::vector<NodeName> &registries,
                                                          const std::vector<NodeName> &peers,
                                                          TimePoint now)
{
    this->recordStep(now);
    if (this->activeRules.status() == RulesStatus::Confirmed || now < this->requestDueAt)
        return {};
    this->requestDueAt = now + this->options.requestInterval;
    const bool acceptsLastKnown = !this->acceptsOnlyConfirmed(now);
    const RulesAcknowledgement held = this->activeRules.acknowledgement();
    const FetchRules fetch = { .node = held.node,
                               .acceptsLastKnown = false,
                               .heldVersion = held.version,
                               .heldDigest = held.digest,
                               .heldRevision = this->activeRules.evacuations().revision };
    std::vector<AddressedFetch> requests;
    requests.reserve(registries.size() + 1);
    for (const NodeName &registry : registries)
        requests.push_back({ .to = registry, .fetch = fetch });
    if (!acceptsLastKnown)
        return requests;
    // Each answer is a whole file, so one node of each kind is asked at a time. The first one to
    // answer may be behind the others, so they are asked for newer rules.
    const std::size_t turn = this->lastKnownTurn++;
    if (!registries.empty())
        requests.at(turn % registries.size()).fetch.acceptsLastKnown = true;
    if (!peers.empty()) {
        requests.push_back({ .to = peers.at(turn % peers.size()), .fetch = fetch });
        requests.back().fetch.acceptsLastKnown = true;
    }
    return requests;
}

RulesReceipt GatewayRules::receive(const RulesUpdate &update, TimePoint now)
{
    this->recordStep(now);
    // Members that are behind the others may not know it: a follower that is cut off, or a leader
    // that stood still while another one was elected.
    if (!update.isConfirmed && this->acceptsOnlyConfirmed(now)
        && this->activeRules.status() == RulesStatus::None) {
        this->activeRules.recordEvacuations(update.evacuations);
        return RulesReceipt::Refused;
    }
    const std::uint64_t previousVersion = this->activeRules.file().version;
    const RulesStatus previousStatus = this->activeRules.status();
    this->activeRules.receive(update);
    if (update.isConfirmed)
        this->latestConfirmationAt = now;
    const bool isChanged = this->activeRules.file().version != previousVersion
        || this->activeRules.status() != previousStatus;
    return isChanged ? RulesReceipt::Adopted : RulesReceipt::Unchanged;
}

// Version 0 means that no rules were ever applied.
bool GatewayRules::hasRules() const
{
    return this->activeRules.status() != RulesStatus::None && this->activeRules.file().version > 0;
}

// A change is acknowledged within some hundreds of milliseconds, and callers may rely on it soon
// after. Rules that have been outdated for longer must therefore no longer be applied.
bool GatewayRules::isOutdated(TimePoint now) const
{
    const auto since = this->activeRules.outdatedSince();
    return since && now >= *since + this->options.outdatedLifetime;
}

std::optional<RulesUpdate> GatewayRules::offerTo(const FetchRules &request, TimePoint now) const
{
    const bool isNewer = this->activeRules.file().version > request.heldVersion
        || this->activeRules.evacuations().revision > request.heldRevision;
    if (!this->hasRules() || this->isOutdated(now) || !isNewer)
        return std::nullopt;
    return RulesUpdate { .content = this->activeRules.file(),
                         .sender = this->activeRules.self(),
                         .evacuations = this->activeRules.evacuations() };
}

void GatewayRules::recordStep(TimePoint now)
{
    if (now >= std::exchange(this->steppedAt, now) + this->options.stallTime)
        this->waitsSince = now;
}

bool GatewayRules::acceptsOnlyConfirmed(TimePoint now) const
{
    return now < this->waitsSince + this->options.confirmedOnlyTime;
}

} // namespace Hibiscus
