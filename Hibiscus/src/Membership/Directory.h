#pragma once

#include "Hibiscus/src/Membership/NodeRecord.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief The timing of a Directory. */
struct DirectoryOptions
{
    Duration announcementInterval = 480ms; ///< between a node's announcements to each registry node
    Duration liveFor = 1500ms; ///< a node unheard for longer is not given targets; three hellos
    Duration listedFor = 8s; ///< a node unheard for longer is not listed any more
};

/** \brief Which nodes there are, learned from seeds and from what nodes say.
 *
 * Every node announces itself to the registry nodes that it knows; a registry node answers with
 * the nodes that it heard itself. This needs no agreement, so each side of a partition goes on
 * with the nodes that it can reach.
 */
class Directory
{
public:
    Directory(const DirectoryOptions &options, const NodeName &self) : options(options), self(self)
    { }

    // Commands.
    /** \brief Registry nodes to turn to, whatever else is known; replaces earlier seeds. */
    void setSeeds(const std::vector<NodeName> &seeds);
    /** \brief Takes a node's own word. */
    void recordAnnouncement(const NodeRecord &record, TimePoint now);
    /** \brief Takes what a registry node heard. */
    void mergeList(const NodeList &list, TimePoint now);
    void removeExpired(TimePoint now);
    /** \returns the registry nodes to announce to now; empty until the interval is over. */
    std::vector<NodeName> takeDueAnnouncements(TimePoint now);

    // Queries.
    /** \returns the nodes that this one heard itself lately, and \a own, for a node that holds the
     * list with \a heldDigest.
     */
    NodeList buildList(const NodeRecord &own, std::uint64_t heldDigest, TimePoint now) const;
    /** \returns the digest of the latest list of \a registry; 0 if there is none. */
    std::uint64_t digestOfList(const NodeName &registry) const;
    /** \returns the gateways that were heard directly and live. */
    std::vector<NodeRecord> liveGateways(TimePoint now) const;
    /** \returns the gateways that were heard directly and may still be there. */
    std::vector<NodeRecord> knownGateways(TimePoint now) const;
    std::vector<NodeRecord> gateways() const;
    /** \returns the gateways in the latest list of \a registry. */
    std::vector<NodeRecord> gatewaysListedBy(const NodeName &registry) const;
    std::vector<NodeName> registries() const;
    const NodeRecord *find(const NodeName &node) const;

private:
    struct Entry
    {
        NodeRecord record;
        TimePoint heardAt; ///< directly
        TimePoint listedAt; ///< directly, or by a registry node
    };

    /** \brief A list as a registry node sent it. */
    struct ListOf
    {
        std::uint64_t digest = 0;
        std::vector<NodeName> nodes;
    };

    std::vector<NodeRecord> gatewaysHeardWithin(Duration span, TimePoint now) const;

    DirectoryOptions options;
    NodeName self;
    std::set<NodeName> seeds;
    std::map<NodeName, Entry> entries;
    std::map<NodeName, ListOf> lists; ///< by the registry node that sent it
    TimePoint helloAt;
};

} // namespace Hibiscus
