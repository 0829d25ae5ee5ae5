#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

namespace Hibiscus {

/** \brief How many slots of a service there are at which speeds, free or not, in a region. */
class SpeedProfile
{
public:
    // Commands.
    void add(const std::vector<SpeedClass> &added);

    // Queries.
    /** \returns whether the last of \a waiting tasks ends sooner on a free slot of \a speed than
     * if it waits for a faster slot, behind the others.
     */
    bool isWorthTaking(double speed, std::size_t waiting) const;

private:
    std::vector<SpeedClass> classes;
};

/** \returns \a classes with those of nearly the same speed joined, to a few. */
std::vector<SpeedClass> joined(std::vector<SpeedClass> classes);

} // namespace Hibiscus
