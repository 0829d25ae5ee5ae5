#include "Hibiscus/src/Fleet/PackingModel.h"

#include <cmath>
#include <numeric>

namespace Hibiscus {

namespace internal {

constexpr std::size_t rememberedDemands = 64; ///< enough for the spread of a service's demands
constexpr std::size_t updateInterval = 32; ///< demands between updates of the table
constexpr double bucketsPerDemand = 16; ///< resolution, relative to the mean demand
/** \brief Largest gap in the table, in mean demands. The waste of larger gaps hardly differs. */
constexpr std::size_t demandsInTable = 6;

} // namespace internal

void PackingModel::addDemand(const Capacity &demand)
{
    if (demand.cpu <= 0)
        return;
    if (this->demands.size() < internal::rememberedDemands)
        this->demands.push_back(demand.cpu);
    else
        this->demands[this->nextDemand] = demand.cpu;
    this->nextDemand = (this->nextDemand + 1) % internal::rememberedDemands;
    if (this->wasteByGap.empty() || ++this->demandsSinceUpdate >= internal::updateInterval)
        this->updateTable();
}

// A gap is filled with usual demands in turn until the next one does not fit.
void PackingModel::updateTable()
{
    this->demandsSinceUpdate = 0;
    const auto count = static_cast<double>(this->demands.size());
    const double mean = std::accumulate(this->demands.begin(), this->demands.end(), 0.0) / count;
    this->bucketSize = mean / internal::bucketsPerDemand;
    std::vector<std::size_t> demandBuckets;
    for (const std::int64_t demand : this->demands)
        demandBuckets.push_back(
            static_cast<std::size_t>(std::lround(static_cast<double>(demand) / this->bucketSize)));
    const auto buckets
        = static_cast<std::size_t>(internal::demandsInTable * internal::bucketsPerDemand);
    this->wasteByGap.assign(buckets + 1, 0);
    for (std::size_t gap = 1; gap <= buckets; ++gap) {
        double sum = 0;
        for (const std::size_t demand : demandBuckets)
            sum += demand <= gap ? this->wasteByGap[gap - demand]
                                 : static_cast<double>(gap) * this->bucketSize;
        this->wasteByGap[gap] = sum / count;
    }
}

double PackingModel::expectedWaste(const Capacity &free) const
{
    if (this->wasteByGap.empty() || free.cpu <= 0)
        return 0;
    const double position = static_cast<double>(free.cpu) / this->bucketSize;
    const auto bucket = static_cast<std::size_t>(position);
    if (bucket + 1 >= this->wasteByGap.size())
        return this->wasteByGap.back();
    const double share = position - static_cast<double>(bucket);
    return (1 - share) * this->wasteByGap[bucket] + share * this->wasteByGap[bucket + 1];
}

double PackingModel::wasteOf(const Capacity &free, const Capacity &demand) const
{
    return this->expectedWaste(free.minus(demand)) - this->expectedWaste(free);
}

} // namespace Hibiscus
