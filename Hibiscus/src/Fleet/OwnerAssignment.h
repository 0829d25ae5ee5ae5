#pragma once

#include <Hibiscus/Membership>

#include <map>
#include <optional>

namespace Hibiscus {

/** \brief Timing of an OwnerAssignment. */
struct OwnerAssignmentOptions
{
    /** \brief A target that asks again within this time did not reach its assigned owner; a few
     * heartbeat intervals.
     */
    Duration retryWindow = 8s;
    /** \brief Limit of the targets whose assignments are remembered: many times those of the
     * largest documented system.
     */
    std::size_t maxTargets = 16'384;
};

/** \brief Assigns gateways to targets that have no owner, on a registry node. */
class OwnerAssignment
{
public:
    explicit OwnerAssignment(const OwnerAssignmentOptions &options) : options(options) { }

    /** \returns the owner for \a target, by rendezvous hashing among the \a gateways of \a domain,
     * or among all if the domain has none. If the target asks again within the retry window, the
     * gateways that it was assigned before are left out.
     */
    std::optional<NodeRecord> assign(const TargetName &target, const DomainName &domain,
                                     const std::vector<NodeRecord> &gateways, TimePoint now);

    /** \returns the number of targets whose assignments are remembered. */
    std::size_t rememberedTargets() const { return this->assignments.size(); }

private:
    struct Assignment
    {
        NodeName owner;
        TimePoint assignedAt;
    };

    /** \brief Forgets old assignments, and all if there are still too many. */
    void limitAssignments(TimePoint now);

    OwnerAssignmentOptions options;
    std::map<TargetName, std::vector<Assignment>> assignments;
    TimePoint limitedAt;
};

} // namespace Hibiscus
