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

/** \returns the owner of \a target by weighted rendezvous hashing, empty if there is no candidate.
 * All nodes with the same candidates choose the same owner, and a target moves only if its owner is
 * no longer a candidate or a new one ranks above it.
 */
std::optional<NodeName> chooseOwner(const TargetName &target,
                                    const std::vector<OwnerCandidate> &candidates);

} // namespace Hibiscus
