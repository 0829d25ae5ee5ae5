#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief What an owner has learned of a target's speed, for its next owner. */
struct TargetSpeed
{
    TargetName target;
    double slowness = 1; ///< mean ratio of run time to estimate
    std::uint64_t runCount = 0; ///< runs that the mean was learned from
    bool isSlow = false; ///< whether runs of several jobs in a row were slow there

    auto operator<=>(const TargetSpeed &other) const = default;
    HIBISCUS_FIELDS(target, slowness, runCount, isSlow)
};

} // namespace Hibiscus
