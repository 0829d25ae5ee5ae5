#pragma once

#include <Hibiscus/Jobs>

#include <random>
#include <vector>

namespace Hibiscus::Bench {

/** \brief A user of the system: its places and sizes. */
struct Site
{
    std::string name;
    std::uint32_t entries = 9;
    Duration interDomainLatency = 1ms;
};

/** \brief What goes wrong while the load runs. */
enum class Trouble : std::uint8_t {
    None,
    FailingTargets, ///< two targets fail every task at once
    Stragglers, ///< three targets are 10 times slower
    Burst, ///< 10 times the load for 2 s
    CancelWave, ///< 30% of the jobs of 5 s are cancelled
    EntryKilled, ///< an entry VM dies and comes back after 10 s
    DomainCut ///< a failure domain is cut off for 30 s
};

const char *toString(Trouble trouble);

/** \brief The shape of the load. */
struct WorkloadOptions
{
    double load = 0.7; ///< share of the capacity of all slots
    Duration length = 60s;
    std::uint32_t teams = 8;
    double repeatableShare = 0.5;
    Trouble trouble = Trouble::None;
    std::uint64_t seed = 1;
    bool teamsOverAsk = false;
};

/** \brief A job with its true run times, which no policy sees. */
struct WorkloadJob
{
    Duration arrival; ///< after the start of the load
    std::uint32_t entry = 0;
    std::string home;
    std::uint32_t team = 0;
    bool isRepeatable = false;
    bool isCancelled = false; ///< 200 ms after its arrival
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
/** \returns the speed of each target: they differ by 4 times. */
std::vector<double> targetSpeeds();
/** \returns how much work all slots do in a second, in seconds at speed 1. */
double capacity();

/** \returns the jobs of the load, in the order of their arrival; the same for the same seed. */
std::vector<WorkloadJob> makeWorkload(const Site &site, const WorkloadOptions &options);

/** \returns the response time of \a job alone on the idle system's fastest targets. */
Duration idealTime(const WorkloadJob &job);

} // namespace Hibiscus::Bench
