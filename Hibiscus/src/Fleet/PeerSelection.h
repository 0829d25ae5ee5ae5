#pragma once

#include "Hibiscus/src/Fleet/FleetMessage.h"

#include <Hibiscus/Membership>

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Number of peers that a coordinator selects, and when it replaces one. */
struct PeerSelectionOptions
{
    NodeName self;
    DomainName domain;
    std::uint32_t peerCount = 6; ///< in total, if there are enough
    /** \brief Number of them that are in other failure domains, in case the own domain is full or
     * fails.
     */
    std::uint32_t minOtherDomainPeers = 2;
    Duration fullPeerTimeout = 400ms; ///< a peer without free capacity is replaced after it
};

/** \brief Selects the peers that report their free capacity to a coordinator.
 *
 * Their number is fixed, whatever the number of nodes. Candidates lie on a hash ring, each with an
 * arc as long as its weight, and a node selects those at even distances from its own position. So
 * the number of nodes that select a peer is about proportional to its weight. A peer that has had
 * no free capacity for a while is replaced by one elsewhere on the ring.
 */
class PeerSelection
{
public:
    explicit PeerSelection(const PeerSelectionOptions &options) : options(options) { }

    // Commands.
    /** \brief Selects peers from \a live, which may or may not contain this node. */
    void select(const std::vector<NodeRecord> &live, std::uint32_t ownWeight);
    /** \brief Records whether \a peer has free capacity. */
    void recordFreeCapacity(const NodeName &peer, bool hasFreeCapacity, TimePoint now);

    // Queries.
    const std::set<NodeName> &selectedPeers() const { return this->peers; }
    bool isSelected(const NodeName &peer) const { return this->peers.contains(peer); }

private:
    struct Place
    {
        NodeName peer;
        std::uint32_t rotation = 0; ///< number of replacements so far
        std::optional<TimePoint> fullSince;
    };

    void fillPlaces(std::vector<Place> &places, const std::vector<NodeRecord> &ring,
                    double ownPosition);

    PeerSelectionOptions options;
    std::vector<Place> sameDomainPlaces;
    std::vector<Place> otherDomainPlaces;
    std::set<NodeName> peers;
};

} // namespace Hibiscus
