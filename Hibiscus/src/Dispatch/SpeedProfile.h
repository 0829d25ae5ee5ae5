#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

namespace Hibiscus {

/** \brief Distribution of the speeds of a service's slots, both free and busy, in a region. */
class SpeedProfile
{
public:
    // Commands.
    void add(const std::vector<SpeedClass> &added);

    // Queries.
    /** \returns whether the last of \a waiting tasks should run on a free slot of \a speed now,
     * because it would end later if it waited behind the others for a faster slot.
     */
    bool isWorthTaking(double speed, std::size_t waiting) const;

private:
    std::vector<SpeedClass> classes;
};

/** \returns \a classes in descending order of speed, with those of nearly the same speed merged. */
std::vector<SpeedClass> mergeSpeedClasses(std::vector<SpeedClass> classes);

} // namespace Hibiscus
