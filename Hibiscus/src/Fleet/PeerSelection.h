#pragma once

#include "Hibiscus/src/Fleet/FleetMessage.h"

#include <Hibiscus/Membership>

#include <map>
#include <set>

namespace Hibiscus {

/** \brief How many peers a coordinator watches, and for how long without use. */
struct PeerSelectionOptions
{
    NodeName self;
    DomainName domain;
    std::uint32_t watched = 6; ///< in all, if there are so many
    /** \brief At least so many of them are of other failure domains, for when the own one is full
     * or gone.
     */
    std::uint32_t far = 2;
    Duration fullFor = 400ms; ///< a peer without room for so long is exchanged for another one
};

/** \brief The peers whose room a coordinator is told: a fixed number, however many there are.
 *
 * Candidates stand in a circle, each with a span of its weight, and a node watches those at even
 * distances from its own place. So each is watched by about as many as its size asks for. A peer
 * that has had no room for a while gives its place to one elsewhere in the circle.
 */
class PeerSelection
{
public:
    explicit PeerSelection(const PeerSelectionOptions &options) : options(options) { }

    // Commands.
    /** \brief Fills the places from \a live, which need not name this node. */
    void choose(const std::vector<NodeRecord> &live, std::uint32_t ownWeight);
    /** \brief Takes note of whether \a peer has room. */
    void note(const NodeName &peer, bool hasFreeCapacity, TimePoint now);

    // Queries.
    const std::set<NodeName> &watched() const { return this->chosen; }
    bool watches(const NodeName &peer) const { return this->chosen.contains(peer); }

private:
    struct Place
    {
        NodeName peer;
        std::uint32_t turn = 0; ///< grows with each exchange
        std::optional<TimePoint> fullSince;
    };

    void fill(std::vector<Place> &places, const std::vector<NodeRecord> &circle, double self);

    PeerSelectionOptions options;
    std::vector<Place> nearPlaces;
    std::vector<Place> farPlaces;
    std::set<NodeName> chosen;
};

} // namespace Hibiscus
