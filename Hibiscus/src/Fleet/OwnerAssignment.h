#pragma once

#include <Hibiscus/Membership>

#include <map>
#include <optional>

namespace Hibiscus {

/** \brief The timing of an OwnerAssignment. */
struct OwnerAssignmentOptions
{
    /** \brief A target that asks again within it has not reached the owner that it was given; a few
     * of its heartbeats.
     */
    Duration retryWindow = 8s;
};

/** \brief Which gateway should own a target that has none, as a registry node sees it. */
class OwnerAssignment
{
public:
    explicit OwnerAssignment(const OwnerAssignmentOptions &options) : options(options) { }

    /** \returns the owner for \a target: by rendezvous hashing among \a gateways of \a domain, or
     * of all when none is there; another one when the target comes back soon.
     */
    std::optional<NodeRecord> assign(const TargetName &target, const DomainName &domain,
                                     const std::vector<NodeRecord> &gateways, TimePoint now);

private:
    struct Given
    {
        NodeName owner;
        TimePoint at;
    };

    OwnerAssignmentOptions options;
    std::map<TargetName, std::vector<Given>> given;
};

} // namespace Hibiscus
