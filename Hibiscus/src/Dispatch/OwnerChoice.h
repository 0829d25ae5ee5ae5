#pragma once

#include <Hibiscus/Core>

#include <optional>
#include <vector>

namespace Hibiscus {

/** \brief A candidate for the lease of a target. */
struct OwnerCandidate
{
    NodeName node;
    std::uint32_t weight = 1;

    auto operator<=>(const OwnerCandidate &other) const = default;
};

/** \returns the owner of \a target: the same for every node that sees the same candidates, spread
 * by their weights, and moved only if its own owner goes. Empty if there is no candidate.
 */
std::optional<NodeName> chooseOwner(const TargetName &target,
                                    const std::vector<OwnerCandidate> &candidates);

} // namespace Hibiscus
