#pragma once

#include "test/support/FleetSimulation.h"

#include <algorithm>

namespace Hibiscus::Fake {

/** \brief Kind of jobs that callers send. */
struct FleetJobKind
{
    std::string route;
    double share = 1; ///< share of all jobs, relative to the other kinds
    double tasks = 1; ///< mean number of tasks
    Duration taskTime {}; ///< mean run time of a task at speed 1
    std::uint32_t priority = 0;
    double value = 1; ///< value of a job of mean size
};

/** \brief Load with one burst. */
struct FleetLoadOptions
{
    std::vector<FleetJobKind> kinds;
    double jobsPerSecond = 100;
    Duration span = 12s;
    double burstFactor = 1; ///< factor on the load from burstAt for burstSpan
    Duration burstAt = 4s;
    Duration burstSpan = 4s;
    Duration burstInterval {}; ///< if set, the burst is repeated after it
    double slowTargetShare = 0; ///< share of the targets that are slow from slowAt on
    double slowFactor = 6;
    Duration slowAt = 3s;
    double estimateError = 0.4; ///< standard deviation of the logarithm of estimate over run time
    std::uint64_t seed = 1; ///< seed of the jobs, which do not depend on the simulation
};

/** \brief Results of the jobs of one kind. */
struct FleetKindOutcome
{
    double totalValue = 0; ///< value of all jobs
    double earnedValue = 0; ///< value of the served jobs; a fifth of it for late ones
    std::uint32_t jobs = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t refused = 0;
    std::uint32_t falselyUnfinished = 0; ///< answered as unfinished, though no task has started
    /** \brief Not served, and kept waiting for over half of the caller's timeout. */
    std::uint32_t unansweredForLong = 0;
    std::uint32_t largestJobs = 0; ///< jobs in the largest tenth
    std::uint32_t largestJobsServed = 0;

    double earnedShare() const
    {
        return this->totalValue > 0 ? this->earnedValue / this->totalValue : 1;
    }

    double servedShare() const
    {
        return static_cast<double>(this->inTime + this->late) / std::max(this->jobs, 1U);
    }

    double largestServedShare() const
    {
        return static_cast<double>(this->largestJobsServed) / std::max(this->largestJobs, 1U);
    }
};

/** \brief Results of a load, by kind of job and in total. */
struct FleetLoadOutcome
{
    std::map<std::string, FleetKindOutcome> kinds;
    double startsPerTask = 0;

    double earnedShare() const;
};

/** \returns the three kinds of jobs of a filing service: short with many tasks, long, frequent. */
std::vector<FleetJobKind> filingJobKinds();

/** \returns options for 48 targets in three domains: two small slow ones for each large fast one.
 */
FleetSimulationOptions filingSiteOptions(std::uint64_t seed);

/** \returns options for a large site: 39 gateways with small shares of a core and 351 targets. */
FleetSimulationOptions grownSiteOptions(std::uint64_t seed);

/** \brief Has the gateways choose among whole jobs under shortage. */
void chooseWholeJobs(FleetSimulationOptions &options);

/** \brief Runs \a load on \a simulation, which must have started up before.
 * \returns the results of all jobs.
 */
FleetLoadOutcome runLoad(FleetSimulation &simulation, const FleetLoadOptions &load);

} // namespace Hibiscus::Fake
