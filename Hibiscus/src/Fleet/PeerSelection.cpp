#include "Hibiscus/src/Fleet/PeerSelection.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace Hibiscus {

namespace internal {

/** \brief How far round the circle an exchange leads; multiples of it never meet. */
constexpr double goldenFraction = 0.6180339887;

static std::uint64_t circleHash(const NodeRecord &record)
{
    return XXH3_64bits(record.node.str().data(), record.node.str().size());
}

static double lengthOf(const std::vector<NodeRecord> &circle)
{
    double length = 0;
    for (const NodeRecord &candidate : circle)
        length += candidate.weight;
    return length;
}

/** \returns where the middle of \a node's span lies, as a fraction of the circle. */
static double fractionOf(const std::vector<NodeRecord> &circle, const NodeName &node)
{
    double passed = 0;
    for (const NodeRecord &candidate : circle) {
        if (candidate.node == node)
            return (passed + candidate.weight / 2.0) / lengthOf(circle);
        passed += candidate.weight;
    }
    return 0;
}

/** \returns the candidate at \a point of the circle, or the next one that is not \a taken. */
static const NodeRecord *candidateAt(const std::vector<NodeRecord> &circle, double point,
                                     const std::set<NodeName> &taken)
{
    double passed = 0;
    std::size_t first = 0;
    while (first + 1 < circle.size() && passed + circle[first].weight <= point)
        passed += circle[first++].weight;
    for (std::size_t i = 0; i < circle.size(); ++i) {
        const NodeRecord &candidate = circle[(first + i) % circle.size()];
        if (!taken.contains(candidate.node))
            return &candidate;
    }
    return nullptr;
}

} // namespace internal

void PeerSelection::choose(const std::vector<NodeRecord> &live, std::uint32_t ownWeight)
{
    std::vector<NodeRecord> near;
    std::vector<NodeRecord> far;
    for (const NodeRecord &record : live)
        if (record.node != this->options.self && !record.isDraining)
            (record.domain == this->options.domain ? near : far).push_back(record);
    const std::size_t watched = this->options.watched;
    const std::size_t leastFar = std::min<std::size_t>(this->options.far, far.size());
    this->nearPlaces.resize(std::min(watched - leastFar, near.size()));
    this->farPlaces.resize(std::min(watched - this->nearPlaces.size(), far.size()));
    this->chosen.clear();
    near.push_back({ .node = this->options.self, .weight = ownWeight });
    std::ranges::sort(near, {}, internal::circleHash);
    std::ranges::sort(far, {}, internal::circleHash);
    // The place among the own domain also counts in the circle of the others, so that the nodes of
    // a domain spread evenly over it.
    const double self = internal::fractionOf(near, this->options.self);
    this->fill(this->nearPlaces, near, self);
    this->fill(this->farPlaces, far, self);
}

void PeerSelection::note(const NodeName &peer, bool hasFreeCapacity, TimePoint now)
{
    for (std::vector<Place> *places : std::array { &this->nearPlaces, &this->farPlaces })
        for (Place &place : *places) {
            if (place.peer != peer)
                continue;
            if (hasFreeCapacity)
                place.fullSince.reset();
            else if (!place.fullSince)
                place.fullSince = now;
            if (!place.fullSince || now < *place.fullSince + this->options.fullFor)
                continue;
            ++place.turn;
            place.fullSince.reset();
        }
}

void PeerSelection::fill(std::vector<Place> &places, const std::vector<NodeRecord> &circle,
                         double self)
{
    const double total = internal::lengthOf(circle);
    std::set<NodeName> taken = { this->options.self };
    const auto steps = static_cast<double>(places.size() + 1);
    for (std::size_t i = 0; i < places.size(); ++i) {
        const double step
            = static_cast<double>(i + 1) / steps + places[i].turn * internal::goldenFraction;
        const double point = total * std::fmod(self + step, 1);
        const NodeRecord *found = internal::candidateAt(circle, point, taken);
        if (found == nullptr)
            break;
        if (places[i].peer != found->node)
            places[i].fullSince.reset();
        places[i].peer = found->node;
        taken.insert(found->node);
        this->chosen.insert(found->node);
    }
}

} // namespace Hibiscus
