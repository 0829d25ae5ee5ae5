#pragma once

#include <Hibiscus/Core>

#include <set>

namespace Hibiscus {

/** \brief The failure domains that operators evacuate: no run is started on the targets there. */
struct Evacuations
{
    /** \brief Grows with each change: its time in milliseconds since the Unix epoch, or one more
     * than the previous revision. 0: nothing was ever evacuated.
     */
    std::uint64_t revision = 0;
    std::set<DomainName> domains;

    bool isNewerThan(const Evacuations &other) const { return this->revision > other.revision; }

    auto operator<=>(const Evacuations &other) const = default;
    HIBISCUS_FIELDS(revision, domains)
};

} // namespace Hibiscus
