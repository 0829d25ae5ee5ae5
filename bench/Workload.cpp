#include "bench/Workload.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus::Bench {

namespace {

constexpr double minTask = 0.05;
constexpr double maxUsualTask = 1.0;
constexpr double longTaskShare = 0.01;
constexpr double burstFactor = 10.0;

double drawSeconds(std::mt19937_64 &random)
{
    std::bernoulli_distribution isLong(longTaskShare);
    std::uniform_real_distribution<double> longSeconds(2.0, 6.0);
    std::lognormal_distribution<double> usual(std::log(0.2), 0.7);
    if (isLong(random))
        return longSeconds(random);
    return std::clamp(usual(random), minTask, maxUsualTask);
}

std::size_t drawWidth(std::mt19937_64 &random)
{
    std::uniform_real_distribution<double> logarithm(0.0, std::log(maxTasksPerJob + 1.0));
    const auto width = static_cast<std::size_t>(std::exp(logarithm(random)));
    return std::clamp<std::size_t>(width, 1, maxTasksPerJob);
}

/** \returns the mean work of a job, in seconds at speed 1, estimated from many random jobs. */
double meanWork(std::uint64_t seed)
{
    constexpr int draws = 20'000;
    std::mt19937_64 random(seed);
    double work = 0;
    for (int i = 0; i < draws; ++i) {
        const std::size_t width = drawWidth(random);
        for (std::size_t task = 0; task < width; ++task)
            work += drawSeconds(random);
    }
    return work / draws;
}

bool isBetween(Duration time, Duration from, Duration to)
{
    return time >= from && time < to;
}

} // namespace

const char *toString(Disturbance disturbance)
{
    switch (disturbance) {
    case Disturbance::None:
        return "quiet";
    case Disturbance::FailingTargets:
        return "failing-targets";
    case Disturbance::Stragglers:
        return "stragglers";
    case Disturbance::Burst:
        return "burst";
    case Disturbance::CancelWave:
        return "cancel-wave";
    case Disturbance::EntryKilled:
        return "entry-killed";
    case Disturbance::DomainCut:
        return "domain-cut";
    }
    return "unknown";
}

std::vector<std::string> domainNames()
{
    return { "a", "b", "c" };
}

std::vector<double> targetSpeeds()
{
    std::vector<double> speeds;
    for (std::uint32_t domain = 0; domain < domainCount; ++domain)
        for (std::uint32_t i = 0; i < targetsPerDomain; ++i)
            speeds.push_back(0.5 + 1.5 * i / (targetsPerDomain - 1));
    return speeds;
}

double capacity()
{
    double total = 0;
    for (const double speed : targetSpeeds())
        total += speed * slotsPerTarget;
    return total;
}

std::vector<WorkloadJob> makeWorkload(const Site &site, const WorkloadOptions &options)
{
    std::mt19937_64 random(options.seed);
    const double rate = options.load * capacity() / meanWork(options.seed);
    std::uniform_int_distribution<std::uint32_t> anyEntry(0, site.entryCount - 1);
    std::uniform_int_distribution<std::uint32_t> anyTeam(0, options.teams - 1);
    std::bernoulli_distribution repeatable(options.repeatableShare);
    std::bernoulli_distribution cancelled(0.3);
    const Duration disturbanceStart = options.length / 3;
    std::vector<WorkloadJob> jobs;
    Duration time = 0us;
    while (time < options.length) {
        const bool isBurst = options.disturbance == Disturbance::Burst
            && isBetween(time, disturbanceStart, disturbanceStart + 2s);
        std::exponential_distribution<double> gap(rate * (isBurst ? burstFactor : 1.0));
        time += fromSeconds(gap(random));
        WorkloadJob job;
        job.arrival = time;
        job.entry = anyEntry(random);
        job.home = domainNames()[job.entry % domainCount];
        job.team = anyTeam(random);
        job.isRepeatable = repeatable(random);
        const bool draw = cancelled(random);
        job.isCancelled = draw && options.disturbance == Disturbance::CancelWave
            && isBetween(time, disturbanceStart, disturbanceStart + 5s);
        const std::size_t width = drawWidth(random);
        for (std::size_t i = 0; i < width; ++i)
            job.seconds.push_back(drawSeconds(random));
        jobs.push_back(std::move(job));
    }
    return jobs;
}

Duration idealTime(const WorkloadJob &job)
{
    std::vector<double> seconds = job.seconds;
    std::vector<double> slots;
    for (const double speed : targetSpeeds())
        slots.insert(slots.end(), slotsPerTarget, speed);
    std::ranges::sort(seconds, std::greater<> {});
    std::ranges::sort(slots, std::greater<> {});
    double longest = 0;
    for (std::size_t i = 0; i < seconds.size(); ++i)
        longest = std::max(longest, seconds[i] / slots[i]);
    return fromSeconds(longest) + 2 * callerLatency + 2 * intraDomainLatency;
}

} // namespace Hibiscus::Bench
