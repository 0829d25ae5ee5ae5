#include "Hibiscus/src/Fleet/OwnerAssignment.h"

#include <Hibiscus/Dispatch>

#include <algorithm>

namespace Hibiscus {

std::optional<NodeRecord> OwnerAssignment::assign(const TargetName &target,
                                                  const DomainName &domain,
                                                  const std::vector<NodeRecord> &gateways,
                                                  TimePoint now)
{
    std::vector<Given> &earlier = this->given[target];
    std::erase_if(earlier, [&](const Given &g) { return now >= g.at + this->options.retryWindow; });
    std::vector<NodeRecord> usable;
    for (const NodeRecord &gateway : gateways)
        if (!gateway.isDraining)
            usable.push_back(gateway);
    const auto isNear = [&](const NodeRecord &gateway) { return gateway.domain == domain; };
    if (std::ranges::any_of(usable, isNear))
        std::erase_if(usable, [&](const NodeRecord &gateway) { return !isNear(gateway); });
    const auto wasGiven = [&](const NodeRecord &gateway) {
        return std::ranges::any_of(earlier,
                                   [&](const Given &g) { return g.owner == gateway.node; });
    };
    // When the target came back from all of them, the round begins anew.
    if (std::ranges::all_of(usable, wasGiven))
        earlier.clear();
    std::vector<OwnerCandidate> candidates;
    for (const NodeRecord &gateway : usable)
        if (!wasGiven(gateway))
            candidates.push_back({ .node = gateway.node, .weight = gateway.weight });
    const auto chosen = chooseOwner(target, candidates);
    if (!chosen)
        return std::nullopt;
    earlier.push_back({ .owner = *chosen, .at = now });
    const auto isChosen = [&](const NodeRecord &gateway) { return gateway.node == *chosen; };
    return *std::ranges::find_if(usable, isChosen);
}

} // namespace Hibiscus
