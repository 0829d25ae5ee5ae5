#pragma once

#include "Hibiscus/src/Fleet/Capacity.h"

#include <vector>

namespace Hibiscus {

/** \brief Expected unusable part of a target's free capacity, learned from the demands of the tasks
 * of its service.
 *
 * A gap that is smaller than usual demands stays unused; one of about a whole number of usual
 * demands does not. Only processor capacity is considered, as the resource that runs out first.
 */
class PackingModel
{
public:
    // Commands.
    void addDemand(const Capacity &demand);

    // Queries.
    /** \returns the part of \a free, in thousandths of a core, that is expected to stay unused when
     * tasks with the usual demands are started there until none fits.
     */
    double expectedWaste(const Capacity &free) const;
    /** \returns the increase in waste if a task with \a demand starts where \a free is free. */
    double wasteOf(const Capacity &free, const Capacity &demand) const;

private:
    void updateTable();

    std::vector<std::int64_t> demands; ///< latest ones, in a ring
    std::size_t nextDemand = 0; ///< position in the ring
    std::size_t demandsSinceUpdate = 0;
    double bucketSize = 0; ///< thousandths of a core between entries of the table; 0: no table
    std::vector<double> wasteByGap; ///< expected waste of gaps of 0, 1, 2... buckets
};

} // namespace Hibiscus
