#include "Hibiscus/src/Fleet/PeerSelection.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace Hibiscus {

namespace internal {

/** \brief Distance on the ring, as a fraction, from a replaced peer to its replacement. By the
 * golden ratio, its multiples never coincide.
 */
constexpr double rotationStep = 0.6180339887;

static std::uint64_t ringHash(const NodeRecord &record)
{
    return XXH3_64bits(record.node.str().data(), record.node.str().size());
}

static double ringLength(const std::vector<NodeRecord> &ring)
{
    double length = 0;
    for (const NodeRecord &candidate : ring)
        length += candidate.weight;
    return length;
}

/** \returns the middle of the arc of \a node, as a fraction of the ring. */
static double ringPosition(const std::vector<NodeRecord> &ring, const NodeName &node)
{
    double offset = 0;
    for (const NodeRecord &candidate : ring) {
        if (candidate.node == node)
            return (offset + candidate.weight / 2.0) / ringLength(ring);
        offset += candidate.weight;
    }
    return 0;
}

/** \returns the candidate at \a point of the ring, or the next one that is not \a excluded. */
static const NodeRecord *candidateAt(const std::vector<NodeRecord> &ring, double point,
                                     const std::set<NodeName> &excluded)
{
    double offset = 0;
    std::size_t first = 0;
    while (first + 1 < ring.size() && offset + ring[first].weight <= point)
        offset += ring[first++].weight;
    for (std::size_t i = 0; i < ring.size(); ++i) {
        const NodeRecord &candidate = ring[(first + i) % ring.size()];
        if (!excluded.contains(candidate.node))
            return &candidate;
    }
    return nullptr;
}

} // namespace internal

void PeerSelection::select(const std::vector<NodeRecord> &live, std::uint32_t ownWeight)
{
    std::vector<NodeRecord> sameDomain;
    std::vector<NodeRecord> otherDomain;
    for (const NodeRecord &record : live)
        if (record.node != this->options.self && !record.isDraining)
            (record.domain == this->options.domain ? sameDomain : otherDomain).push_back(record);
    const std::size_t peerCount = this->options.peerCount;
    const std::size_t minOtherDomain
        = std::min<std::size_t>(this->options.minOtherDomainPeers, otherDomain.size());
    this->sameDomainPlaces.resize(std::min(peerCount - minOtherDomain, sameDomain.size()));
    this->otherDomainPlaces.resize(
        std::min(peerCount - this->sameDomainPlaces.size(), otherDomain.size()));
    this->peers.clear();
    sameDomain.push_back({ .node = this->options.self, .weight = ownWeight });
    std::ranges::sort(sameDomain, {}, internal::ringHash);
    std::ranges::sort(otherDomain, {}, internal::ringHash);
    // The position on the ring of the own domain is also used on the ring of the other domains, so
    // that the selections of the nodes of a domain are spread evenly over it.
    const double ownPosition = internal::ringPosition(sameDomain, this->options.self);
    this->fillPlaces(this->sameDomainPlaces, sameDomain, ownPosition);
    this->fillPlaces(this->otherDomainPlaces, otherDomain, ownPosition);
}

void PeerSelection::recordFreeCapacity(const NodeName &peer, bool hasFreeCapacity, TimePoint now)
{
    for (std::vector<Place> *places :
         std::array { &this->sameDomainPlaces, &this->otherDomainPlaces })
        for (Place &place : *places) {
            if (place.peer != peer)
                continue;
            if (hasFreeCapacity)
                place.fullSince.reset();
            else if (!place.fullSince)
                place.fullSince = now;
            if (!place.fullSince || now < *place.fullSince + this->options.fullPeerTimeout)
                continue;
            ++place.rotation;
            place.fullSince.reset();
        }
}

void PeerSelection::fillPlaces(std::vector<Place> &places, const std::vector<NodeRecord> &ring,
                               double ownPosition)
{
    const double total = internal::ringLength(ring);
    std::set<NodeName> excluded = { this->options.self };
    const auto steps = static_cast<double>(places.size() + 1);
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double step
            = static_cast<double>(i + 1) / steps + places[i].rotation * internal::rotationStep;
        const double point = total * std::fmod(ownPosition + step, 1);
        const NodeRecord *found = internal::candidateAt(ring, point, excluded);
        if (found == nullptr)
            break;
        if (places[i].peer != found->node)
            places[i].fullSince.reset();
        places[i].peer = found->node;
        excluded.insert(found->node);
        this->peers.insert(found->node);
    }
}

} // namespace Hibiscus
