#include "Hibiscus/src/Dispatch/OwnerChoice.h"

#include <cmath>
#include <xxhash.h>

namespace Hibiscus {

namespace internal {

/** \returns a number in (0, 1) that depends only on \a node and \a target. */
static double unitHash(const NodeName &node, const TargetName &target)
{
    const std::string key = node.str() + "/" + target.str();
    const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
    constexpr double range
        = 9007199254740992.0; // 2^53: a double represents every smaller whole number
    return (static_cast<double>(hash >> 11U) + 0.5) / range;
}

} // namespace internal

// Rendezvous hashing: with the score -weight / ln(hash) a node's share of the targets is
// proportional to its weight.
std::optional<NodeName> chooseOwner(const TargetName &target,
                                    const std::vector<OwnerCandidate> &candidates)
{
    std::optional<NodeName> best;
    double bestScore = 0;
    for (const OwnerCandidate &candidate : candidates) {
        const double score = -static_cast<double>(candidate.weight)
            / std::log(internal::unitHash(candidate.node, target));
        if (!best || score > bestScore) {
            best = candidate.node;
            bestScore = score;
        }
    }
    return best;
}

} // namespace Hibiscus
