#include "test/support/FleetLoad.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus::Fake {

namespace {

/** \brief Standard deviation of the logarithm of run times and task counts. */
constexpr double sizeSpread = 0.4;
constexpr double meanCpu = 27'000; ///< mean demand of a task, in thousandths of a core
constexpr double maxCpu = 41'000; ///< limit of a task's demand
constexpr double cpuSpread = 0.2; ///< standard deviation of the logarithm of demands
/** \brief Standard deviation of the logarithm of the run times within a job. */
constexpr double taskTimeSpread = 0.15;
constexpr double maxOverMean = 4; ///< limit of run times and task counts, over the mean
constexpr double lateValueShare = 0.2; ///< share of the value for an answer after the objective
constexpr double stretch = 1.6; ///< factor on the longest task in the objective
constexpr Duration slack = 60ms; ///< added to that in the objective

/** \brief Job that was sent. */
struct SentJob
{
    std::string id;
    std::string route;
    Duration longest {}; ///< run time of the longest task at speed 1
    double value = 0; ///< value if served in time
    double work = 0; ///< seconds at speed 1, over all tasks
};

double sampleLogNormal(std::mt19937_64 &randomEngine, double mean, double deviation)
{
    std::lognormal_distribution<double> factor(-deviation * deviation / 2, deviation);
    return mean * std::min(factor(randomEngine), maxOverMean);
}

const FleetJobKind &pickJobKind(const std::vector<FleetJobKind> &kinds,
                                std::mt19937_64 &randomEngine)
{
    std::vector<double> shares;
    shares.reserve(kinds.size());
    for (const FleetJobKind &kind : kinds)
        shares.push_back(kind.share);
    std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
    return kinds[pick(randomEngine)];
}

SentJob sendJob(FleetSimulation &simulation, const FleetLoadOptions &load,
                std::mt19937_64 &randomEngine)
{
    const FleetJobKind &kind = pickJobKind(load.kinds, randomEngine);
    FleetJob job;
    job.route = kind.route;
    job.priority = kind.priority;
    const double seconds = sampleLogNormal(randomEngine, toSeconds(kind.taskTime), sizeSpread);
    const auto tasks
        = std::max(1L, std::lround(sampleLogNormal(randomEngine, kind.tasks, sizeSpread)));
    SentJob sent = { .route = kind.route };
    for (long i = 0; i < tasks; ++i) {
        const Duration time = fromSeconds(sampleLogNormal(randomEngine, seconds, taskTimeSpread));
        job.taskTimes.push_back(time);
        sent.longest = std::max(sent.longest, time);
        sent.work += toSeconds(time);
    }
    const double cpu = std::min(sampleLogNormal(randomEngine, meanCpu, cpuSpread), maxCpu);
    job.demand.cpu = static_cast<std::int64_t>(cpu);
    std::normal_distribution<double> error(0, load.estimateError);
    job.estimate = fromSeconds(seconds * std::exp(error(randomEngine)));
    const double sizeOverMean = sent.work / (kind.tasks * toSeconds(kind.taskTime));
    sent.value = kind.value * std::min(0.3 + 0.7 * sizeOverMean, maxOverMean);
    const std::vector<std::string> gateways = simulation.gatewayNames();
    std::uniform_int_distribution<std::size_t> pick(0, gateways.size() - 1);
    sent.id = simulation.submit(gateways[pick(randomEngine)], job);
    return sent;
}

void slowTargetsDown(FleetSimulation &simulation, const FleetLoadOptions &load,
                     std::mt19937_64 &randomEngine)
{
    std::vector<std::string> targets = simulation.targetNames();
    std::ranges::shuffle(targets, randomEngine);
    const auto count = std::lround(load.slowTargetShare * static_cast<double>(targets.size()));
    for (long i = 0; i < count; ++i)
        simulation.slowDown(targets[static_cast<std::size_t>(i)], load.slowFactor);
}

void addJob(FleetKindOutcome &outcome, const SentJob &sent, const FleetSimulation &simulation,
            bool isLargest)
{
    ++outcome.jobs;
    outcome.totalValue += sent.value;
    outcome.largestJobs += isLargest ? 1 : 0;
    const auto found = simulation.answers().find(sent.id);
    if (found == simulation.answers().end()) {
        ++outcome.unansweredForLong;
        return;
    }
    const FleetAnswer &answer = found->second;
    const bool isUnserved = answer.status != TransientJobStatus::Completed;
    outcome.unansweredForLong += isUnserved && answer.elapsed > FleetJob().timeout / 2 ? 1 : 0;
    if (answer.status == TransientJobStatus::Refused)
        ++outcome.refused;
    if (answer.status == TransientJobStatus::Unfinished && !simulation.hasStarted(sent.id))
        ++outcome.falselyUnfinished;
    if (answer.status != TransientJobStatus::Completed)
        return;
    const bool isInTime = answer.elapsed <= fromSeconds(stretch * toSeconds(sent.longest)) + slack;
    ++(isInTime ? outcome.inTime : outcome.late);
    outcome.earnedValue += (isInTime ? 1 : lateValueShare) * sent.value;
    outcome.largestJobsServed += isLargest ? 1 : 0;
}

} // namespace

double FleetLoadOutcome::earnedShare() const
{
    double totalValue = 0;
    double earnedValue = 0;
    for (const auto &[route, outcome] : this->kinds) {
        totalValue += outcome.totalValue;
        earnedValue += outcome.earnedValue;
    }
    return totalValue > 0 ? earnedValue / totalValue : 1;
}

std::vector<FleetJobKind> filingJobKinds()
{
    return { { .route = "check",
               .share = 34.4,
               .tasks = 8,
               .taskTime = 60ms,
               .priority = 0,
               .value = 0.0291 },
             { .route = "filing",
               .share = 6.25,
               .tasks = 4,
               .taskTime = 900ms,
               .priority = 2,
               .value = 0.16 },
             { .route = "notice",
               .share = 100,
               .tasks = 2,
               .taskTime = 200ms,
               .priority = 1,
               .value = 0.01 } };
}

FleetSimulationOptions filingSiteOptions(std::uint64_t seed)
{
    const FleetTargetKind small = { .name = "small", .speed = 0.7 };
    const FleetTargetKind large
        = { .name = "large", .capacity = { .cpu = 96'000, .memory = 393'216 }, .speed = 1.7 };
    return { .targetsPerDomain = 16, .kinds = { small, small, large }, .seed = seed };
}

FleetSimulationOptions grownSiteOptions(std::uint64_t seed)
{
    FleetSimulationOptions options = filingSiteOptions(seed);
    options.gatewaysPerDomain = 13;
    options.targetsPerDomain = 117;
    const double small = 0.09;
    const double large = 0.3;
    options.processor
        = FleetProcessor { .cpuShares = { small, small, small, large, small, small, small, small,
                                          large, small, small, small, large } };
    return options;
}

void chooseWholeJobs(FleetSimulationOptions &options)
{
    options.node.coordinator.admission = JobAdmissionOptions {};
    options.node.coordinator.startRule = LatestStartOrder {};
    options.node.owner.startRule = LatestStartOrder {};
}

FleetLoadOutcome runLoad(FleetSimulation &simulation, const FleetLoadOptions &load)
{
    std::mt19937_64 randomEngine(load.seed);
    std::vector<SentJob> jobs;
    const TimePoint begin = simulation.now();
    bool isSlowed = false;
    while (simulation.now() < begin + load.span) {
        const Duration elapsed = simulation.now() - begin;
        Duration sinceBurst = elapsed - load.burstAt;
        if (load.burstInterval > Duration() && sinceBurst >= Duration())
            sinceBurst %= load.burstInterval;
        const bool isBurst = sinceBurst >= Duration() && sinceBurst < load.burstSpan;
        std::exponential_distribution<double> interval(load.jobsPerSecond
                                                       * (isBurst ? load.burstFactor : 1));
        simulation.run(fromSeconds(interval(randomEngine)));
        if (!isSlowed && elapsed >= load.slowAt) {
            isSlowed = true;
            slowTargetsDown(simulation, load, randomEngine);
        }
        jobs.push_back(sendJob(simulation, load, randomEngine));
    }
    simulation.run(3s);
    FleetLoadOutcome outcome;
    std::map<std::string, std::vector<double>> workByRoute;
    for (const SentJob &sent : jobs)
        workByRoute[sent.route].push_back(sent.work);
    for (auto &[route, sizes] : workByRoute)
        std::ranges::sort(sizes);
    for (const SentJob &sent : jobs) {
        const std::vector<double> &sizes = workByRoute.at(sent.route);
        const bool isLargest = sent.work >= sizes[sizes.size() * 9 / 10];
        addJob(outcome.kinds[sent.route], sent, simulation, isLargest);
    }
    std::size_t tasks = 0;
    for (const SentJob &sent : jobs)
        tasks += simulation.taskCount(sent.id);
    outcome.startsPerTask = static_cast<double>(simulation.starts()) / static_cast<double>(tasks);
    return outcome;
}

} // namespace Hibiscus::Fake
