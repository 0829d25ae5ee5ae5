#pragma once

#include <Hibiscus/Jobs>

#include <random>
#include <vector>

namespace Hibiscus::Bench {

/** \brief Size and latency of one user's deployment. */
struct Site
{
    std::string name;
    std::uint32_t entryCount = 9;
    Duration interDomainLatency = 1ms;
};

/** \brief Disturbance injected while the load runs. */
enum class Disturbance : std::uint8_t {
    None,
    FailingTargets, ///< two targets fail every task at once
    Stragglers, ///< three targets are 10 times slower
    Burst, ///< 10 times the load for 2 s
    CancelWave, ///< 30% of the jobs of 5 s are cancelled
    EntryKilled, ///< an entry VM crashes and restarts after 10 s
    DomainCut ///< a failure domain is partitioned from the others for 30 s
};

const char *toString(Disturbance disturbance);

/** \brief Parameters of the load. */
struct WorkloadOptions
{
    double load = 0.7; ///< share of the capacity of all slots
    Duration length = 60s;
    std::uint32_t teams = 8;
    double repeatableShare = 0.5;
    Disturbance disturbance = Disturbance::None;
    std::uint64_t seed = 1;
    bool teamsOverAsk = false;
};

/** \brief A job with its true run times, which no policy sees. */
struct WorkloadJob
{
    Duration arrival; ///< time after the start of the load
    std::uint32_t entry = 0;
    std::string home;
    std::uint32_t team = 0;
    bool isRepeatable = false;
    bool isCancelled = false; ///< cancelled 200 ms after its arrival
    std::vector<double> seconds; ///< true run time of each task at speed 1
};

constexpr std::uint32_t targetsPerDomain = 16;
constexpr std::uint32_t slotsPerTarget = 8;
constexpr std::uint32_t domainCount = 3;
constexpr Duration callerLatency = 3ms;
constexpr Duration intraDomainLatency = 200us;
constexpr Duration syncTime = 5ms;

/** \returns the names of the failure domains. */
std::vector<std::string> domainNames();
/** \returns the speed of each target; the fastest is 4 times as fast as the slowest. */
std::vector<double> targetSpeeds();
/** \returns the work that all slots do in a second, in seconds of task time at speed 1. */
double capacity();

/** \returns the jobs of the load in the order of their arrival; the same for the same arguments. */
std::vector<WorkloadJob> makeWorkload(const Site &site, const WorkloadOptions &options);

/** \returns the response time of \a job alone on the idle system's fastest targets. */
Duration idealTime(const WorkloadJob &job);

} // namespace Hibiscus::Bench
