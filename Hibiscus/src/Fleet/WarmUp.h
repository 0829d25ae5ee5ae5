#pragma once

#include "Hibiscus/src/Fleet/Capacity.h"

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief Limits the use of a cold target, whose domain is no longer evacuated, until it is warm.
 *
 * Runs take longer on a cold target, so one that is filled at once makes many jobs late. The part
 * of its capacity that may be used grows in equal steps with the time since it was coldest.
 */
class WarmUp
{
public:
    /** \brief Number of steps; the first one allows the first part of the capacity. */
    static constexpr int steps = 4;
    /** \brief The same while nothing runs there: half of it, so that wide tasks find room. */
    static constexpr double idleShare = 0.5;

    /** \brief Records that the target stays cold for \a remaining from \a now on. */
    void update(Duration remaining, TimePoint now);

    /** \returns what may be used at \a now of \a free, the free part of \a capacity. */
    Capacity usable(const Capacity &free, const Capacity &capacity, TimePoint now) const;

private:
    double share(bool isIdle, TimePoint now) const;

    Duration longest {}; ///< longest remaining time since the target was warm
    TimePoint warmAt;
};

} // namespace Hibiscus
