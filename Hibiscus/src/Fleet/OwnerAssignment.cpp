#include "Hibiscus/src/Fleet/OwnerAssignment.h"

#include <Hibiscus/Dispatch>

#include <algorithm>

namespace Hibiscus {

// Anybody can announce targets. A target whose assignments are forgotten may be assigned once more
// to a gateway that it did not reach.
void OwnerAssignment::limitAssignments(TimePoint now)
{
    const bool isFull = this->assignments.size() >= this->options.maxTargets;
    if (!isFull && now < this->limitedAt + this->options.retryWindow)
        return;
    this->limitedAt = now;
    std::erase_if(this->assignments, [&](const auto &item) {
        return std::ranges::all_of(item.second, [&](const Assignment &assignment) {
            return now >= assignment.assignedAt + this->options.retryWindow;
        });
    });
    if (this->assignments.size() >= this->options.maxTargets)
        this->assignments.clear();
}

std::optional<NodeRecord> OwnerAssignment::assign(const TargetName &target,
                                                  const DomainName &domain,
                                                  const std::vector<NodeRecord> &gateways,
                                                  TimePoint now)
{
    this->limitAssignments(now);
    std::vector<Assignment> &recent = this->assignments[target];
    std::erase_if(recent, [&](const Assignment &assignment) {
        return now >= assignment.assignedAt + this->options.retryWindow;
    });
    std::vector<NodeRecord> usable;
    for (const NodeRecord &gateway : gateways)
        if (!gateway.isDraining)
            usable.push_back(gateway);
    const auto isInDomain = [&](const NodeRecord &gateway) { return gateway.domain == domain; };
    if (std::ranges::any_of(usable, isInDomain))
        std::erase_if(usable, [&](const NodeRecord &gateway) { return !isInDomain(gateway); });
    const auto wasAssigned = [&](const NodeRecord &gateway) {
        return std::ranges::any_of(
            recent, [&](const Assignment &assignment) { return assignment.owner == gateway.node; });
    };
    // The target has been assigned to each of them in vain: all are candidates again.
    if (std::ranges::all_of(usable, wasAssigned))
        recent.clear();
    std::vector<OwnerCandidate> candidates;
    for (const NodeRecord &gateway : usable)
        if (!wasAssigned(gateway))
            candidates.push_back({ .node = gateway.node, .weight = gateway.weight });
    const auto selected = chooseOwner(target, candidates);
    if (!selected)
        return std::nullopt;
    recent.push_back({ .owner = *selected, .assignedAt = now });
    const auto isSelected = [&](const NodeRecord &gateway) { return gateway.node == *selected; };
    return *std::ranges::find_if(usable, isSelected);
}

} // namespace Hibiscus
