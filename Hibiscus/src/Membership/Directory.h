#pragma once

#include "Hibiscus/src/Membership/NodeRecord.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Intervals and timeouts of a Directory. */
struct DirectoryOptions
{
    Duration announcementInterval = 480ms; ///< interval of announcements to each registry node
    Duration liveTimeout = 1500ms; ///< three announcements; then a silent node gets no targets
    Duration expiryTimeout = 8s; ///< a node silent for longer is removed
    Duration expiryCheckInterval = 100ms;
    /** \brief Time for which an unchanged list is sent again without looking for silent nodes. */
    Duration listInterval = 50ms;
};

/** \brief The known nodes, from seeds, announcements and the lists of registry nodes.
 *
 * Every node announces itself to the registry nodes that it knows; a registry node replies with
 * the nodes that announced themselves to it. This needs no consensus, so each side of a partition
 * continues with the nodes that it can reach.
 */
class Directory
{
public:
    Directory(const DirectoryOptions &options, const NodeName &self) : options(options), self(self)
    { }

    // Commands.
    /** \brief Sets the registry nodes that are always contacted; replaces earlier seeds. */
    void setSeeds(const std::vector<NodeName> &seeds);
    /** \brief Records a node's own announcement, unless an older incarnation sent it. */
    void recordAnnouncement(const NodeRecord &record, TimePoint now);
    /** \brief Records \a announcement. \returns the list for its sender, with the record of its
     * predecessor if that had a higher incarnation.
     */
    NodeList answer(const NodeAnnouncement &announcement, const NodeRecord &own, TimePoint now);
    /** \brief Merges the list of a registry node. */
    void mergeList(const NodeList &list, TimePoint now);
    void removeExpired(TimePoint now);
    /** \returns the registry nodes to announce this node to; empty until the interval is over. */
    std::vector<NodeName> takeDueAnnouncements(TimePoint now);
    /** \returns the live nodes that have announced themselves here, and \a own; without the records
     * if the receiver already holds the list, as \a heldDigest shows.
     */
    NodeList buildList(const NodeRecord &own, std::uint64_t heldDigest, TimePoint now);

    // Queries.
    /** \returns the digest of the latest list from \a registry; 0 if there is none. */
    std::uint64_t digestOfList(const NodeName &registry) const;
    /** \returns the gateways whose own announcement is recent enough to give them targets. */
    std::vector<NodeRecord> liveGateways(TimePoint now) const;
    /** \returns the gateways that announced themselves here and have not expired. */
    std::vector<NodeRecord> knownGateways(TimePoint now) const;
    std::vector<NodeRecord> gateways() const;
    /** \returns the gateways in the latest list from \a registry. */
    std::vector<NodeRecord> gatewaysListedBy(const NodeName &registry) const;
    std::vector<NodeName> registries() const;
    /** \returns the highest incarnation of this node that a registry node has listed; 0: none. */
    std::uint64_t listedIncarnation() const { return this->ownListedIncarnation; }
    const NodeRecord *find(const NodeName &node) const;

private:
    struct Entry
    {
        NodeRecord record;
        TimePoint lastSeenAt; ///< last announcement by the node itself
        TimePoint listedAt; ///< last announcement, or last list that names the node
    };

    /** \brief The latest list received from a registry node. */
    struct ReceivedList
    {
        std::uint64_t digest = 0;
        std::vector<NodeName> nodes;
    };

    std::vector<NodeRecord> gatewaysSeenWithin(Duration span, TimePoint now) const;
    std::set<NodeName> knownRegistries() const;
    void rebuildList(const NodeRecord &own, TimePoint now);

    DirectoryOptions options;
    NodeName self;
    std::set<NodeName> seeds;
    /** \brief The registry nodes known last, while none is known any more but the seeds. */
    std::set<NodeName> formerRegistries;
    std::map<NodeName, Entry> entries;
    std::map<NodeName, ReceivedList> lists; ///< keyed by the registry node that sent the list
    std::uint64_t ownListedIncarnation = 0;
    TimePoint announcementDueAt;
    TimePoint expiryCheckedAt;
    NodeList builtList; ///< the list that buildList() sends
    TimePoint builtListAt;
    bool hasChanged = false; ///< whether a node has appeared or changed since builtListAt
};

} // namespace Hibiscus
