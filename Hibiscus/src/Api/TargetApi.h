#pragma once

#include "Hibiscus/src/Api/CallerApi.h"

#include <Hibiscus/Dispatch>

namespace Hibiscus {

/** \brief A target's announcement with what only the first one carries. */
struct AnnouncementRequest
{
    TargetAnnouncement announcement;
    bool isUnowned = false; ///< the target looks for an owner
    std::set<NodeName> avoided; ///< owners that did not answer the target

    auto operator<=>(const AnnouncementRequest &other) const = default;
};

/** \returns the announcement in the JSON \a body, or what is wrong. */
tl::expected<AnnouncementRequest, ApiError> parseAnnouncement(const std::string &body,
                                                              const Deployment &deployment);

/** \returns \a request as a target sends it. */
std::string renderAnnouncement(const AnnouncementRequest &request);

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
