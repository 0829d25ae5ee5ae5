#pragma once

#include "test/support/FleetSimulation.h"

namespace Hibiscus::Fake {

/** \brief A kind of job that callers send. */
struct FleetJobKind
{
    std::string route;
    double share = 1; ///< of all jobs
    double tasks = 1; ///< mean number
    Duration taskTime {}; ///< mean at speed 1
    std::uint32_t priority = 0;
    double worth = 1; ///< of a job of mean size
};

/** \brief A load that rises for a while. */
struct FleetLoadOptions
{
    std::vector<FleetJobKind> kinds;
    double jobsPerSecond = 100; ///< jobs
    Duration span = 12s;
    double burstFactor = 1; ///< times the load from burstAt for burstSpan
    Duration burstAt = 4s;
    Duration burstSpan = 4s;
    double slowTargetShare = 0; ///< of the targets, from slowAt on
    double slowFactor = 6;
    Duration slowAt = 3s;
    double estimateError = 0.4; ///< standard deviation of the logarithm of estimate over run time
    std::uint64_t seed = 1; ///< of the jobs, which are the same whatever the world does
};

/** \brief How the jobs of one kind were served. */
struct FleetKindOutcome
{
    double owed = 0; ///< worth
    double earned = 0; ///< a fifth of the worth for what was late
    std::uint32_t jobs = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;
    std::uint32_t unansweredForLong
        = 0; ///< not served, and kept waiting for over half of the caller's patience
    std::uint32_t largestJobs = 0; ///< jobs of the largest tenth
    std::uint32_t largestJobsServed = 0;

    double earnedShare() const { return this->owed > 0 ? this->earned / this->owed : 1; }
};

/** \brief How a load was served, by kind of job and as a whole. */
struct FleetLoadOutcome
{
    std::map<std::string, FleetKindOutcome> kinds;
    double startsPerTask = 0;

    double earnedShare() const;
};

/** \returns the three kinds of job of a filing service: short and wide, long, and frequent. */
std::vector<FleetJobKind> filingJobKinds();

/** \returns 48 targets in three domains: two small and slow ones for each large and fast one. */
FleetSimulationOptions filingSiteOptions(std::uint64_t seed);

/** \returns a site that has grown: 39 gateways with small shares of a processor, 351 targets. */
FleetSimulationOptions grownSiteOptions(std::uint64_t seed);

/** \brief Plays \a load on \a simulation, which has settled before, and counts how it was served.
 */
FleetLoadOutcome runLoad(FleetSimulation &simulation, const FleetLoadOptions &load);

} // namespace Hibiscus::Fake
