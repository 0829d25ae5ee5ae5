#include "test/support/FleetLoad.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus::Fake {

namespace {

constexpr double spread = 0.4; ///< of run times and numbers of tasks, as a standard deviation
constexpr double meanCpu = 27'000; ///< of a task, in thousandths of a core
constexpr double maxCpu = 41'000;
constexpr double cpuSpread = 0.2; ///< of the tasks' needs, as a standard deviation
constexpr double unevenness = 0.15; ///< of the tasks of a job
constexpr double maxOverMean = 4; ///< bound of run times and numbers of tasks
constexpr double lateWorth = 0.2; ///< of an answer after the objective
constexpr double stretch = 1.6; ///< the objective, over the longest task
constexpr Duration slack = 60ms; ///< added to it

/** \brief A job that was sent. */
struct Sent
{
    std::string id;
    std::string route;
    Duration longest {};
    double worth = 0;
    double work = 0; ///< seconds at speed 1, over all tasks
};

double around(std::mt19937_64 &dice, double mean, double deviation)
{
    std::lognormal_distribution<double> factor(-deviation * deviation / 2, deviation);
    return mean * std::min(factor(dice), maxOverMean);
}

const FleetJobKind &draw(const std::vector<FleetJobKind> &kinds, std::mt19937_64 &dice)
{
    std::vector<double> shares;
    shares.reserve(kinds.size());
    for (const FleetJobKind &kind : kinds)
        shares.push_back(kind.share);
    std::discrete_distribution<std::size_t> pick(shares.begin(), shares.end());
    return kinds[pick(dice)];
}

Sent send(FleetSimulation &simulation, const FleetLoadOptions &load, std::mt19937_64 &dice)
{
    const FleetJobKind &kind = draw(load.kinds, dice);
    FleetJob job;
    job.route = kind.route;
    job.priority = kind.priority;
    const double seconds = around(dice, toSeconds(kind.taskTime), spread);
    const auto tasks = std::max(1L, std::lround(around(dice, kind.tasks, spread)));
    Sent sent = { .route = kind.route };
    for (long i = 0; i < tasks; ++i) {
        const Duration time = fromSeconds(around(dice, seconds, unevenness));
        job.taskTimes.push_back(time);
        sent.longest = std::max(sent.longest, time);
        sent.work += toSeconds(time);
    }
    const double cpu = std::min(around(dice, meanCpu, cpuSpread), maxCpu);
    job.demand.cpu = static_cast<std::int64_t>(cpu);
    std::normal_distribution<double> error(0, load.estimateError);
    job.estimate = fromSeconds(seconds * std::exp(error(dice)));
    const double sizeOverMean = sent.work / (kind.tasks * toSeconds(kind.taskTime));
    sent.worth = kind.worth * std::min(0.3 + 0.7 * sizeOverMean, maxOverMean);
    const std::vector<std::string> gateways = simulation.gatewayNames();
    std::uniform_int_distribution<std::size_t> pick(0, gateways.size() - 1);
    sent.id = simulation.submit(gateways[pick(dice)], job);
    return sent;
}

void slowSome(FleetSimulation &simulation, const FleetLoadOptions &load, std::mt19937_64 &dice)
{
    std::vector<std::string> targets = simulation.targetNames();
    std::ranges::shuffle(targets, dice);
    const auto count = std::lround(load.slowTargetShare * static_cast<double>(targets.size()));
    for (long i = 0; i < count; ++i)
        simulation.slowDown(targets[static_cast<std::size_t>(i)], load.slowFactor);
}

void count(FleetKindOutcome &outcome, const Sent &sent, const FleetSimulation &simulation,
           bool isLargest)
{
    ++outcome.jobs;
    outcome.owed += sent.worth;
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
    if (answer.status != TransientJobStatus::Completed)
        return;
    const bool isInTime = answer.elapsed <= fromSeconds(stretch * toSeconds(sent.longest)) + slack;
    ++(isInTime ? outcome.inTime : outcome.late);
    outcome.earned += (isInTime ? 1 : lateWorth) * sent.worth;
    outcome.largestJobsServed += isLargest ? 1 : 0;
}

} // namespace

double FleetLoadOutcome::earnedShare() const
{
    double owed = 0;
    double earned = 0;
    for (const auto &[route, outcome] : this->kinds) {
        owed += outcome.owed;
        earned += outcome.earned;
    }
    return owed > 0 ? earned / owed : 1;
}

std::vector<FleetJobKind> filingJobKinds()
{
    return { { .route = "check",
               .share = 34.4,
               .tasks = 8,
               .taskTime = 60ms,
               .priority = 0,
               .worth = 0.0291 },
             { .route = "filing",
               .share = 6.25,
               .tasks = 4,
               .taskTime = 900ms,
               .priority = 2,
               .worth = 0.16 },
             { .route = "notice",
               .share = 100,
               .tasks = 2,
               .taskTime = 200ms,
               .priority = 1,
               .worth = 0.01 } };
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
        = FleetProcessor { .shares = { small, small, small, large, small, small, small, small,
                                       large, small, small, small, large } };
    return options;
}

FleetLoadOutcome runLoad(FleetSimulation &simulation, const FleetLoadOptions &load)
{
    std::mt19937_64 dice(load.seed);
    std::vector<Sent> jobs;
    const TimePoint begin = simulation.now();
    bool isSlowed = false;
    while (simulation.now() < begin + load.span) {
        const Duration passed = simulation.now() - begin;
        const bool isBurst = passed >= load.burstAt && passed < load.burstAt + load.burstSpan;
        std::exponential_distribution<double> gap(load.jobsPerSecond
                                                  * (isBurst ? load.burstFactor : 1));
        simulation.run(fromSeconds(gap(dice)));
        if (!isSlowed && passed >= load.slowAt) {
            isSlowed = true;
            slowSome(simulation, load, dice);
        }
        jobs.push_back(send(simulation, load, dice));
    }
    simulation.run(3s);
    FleetLoadOutcome outcome;
    std::map<std::string, std::vector<double>> works;
    for (const Sent &sent : jobs)
        works[sent.route].push_back(sent.work);
    for (auto &[route, list] : works)
        std::ranges::sort(list);
    for (const Sent &sent : jobs) {
        const std::vector<double> &list = works.at(sent.route);
        const bool isLargest = sent.work >= list[list.size() * 9 / 10];
        count(outcome.kinds[sent.route], sent, simulation, isLargest);
    }
    std::size_t tasks = 0;
    for (const Sent &sent : jobs)
        tasks += simulation.taskCount(sent.id);
    outcome.startsPerTask = static_cast<double>(simulation.starts()) / static_cast<double>(tasks);
    return outcome;
}

} // namespace Hibiscus::Fake
