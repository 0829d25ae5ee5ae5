#include "bench/Outcome.h"

#include <algorithm>
#include <numeric>

namespace Hibiscus::Bench {

namespace {

/** \brief A job is wide with more tasks than this. */
constexpr std::size_t wideJobTasks = 60;

/** \returns the value below which \a share of the sorted \a values lies. */
double quantile(const std::vector<double> &values, double share)
{
    if (values.empty())
        return 0;
    const auto position = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[position];
}

/** \returns Jain's fairness index of \a values; 1 if all are equal. */
double jainIndex(const std::vector<double> &values)
{
    const double sum = std::accumulate(values.begin(), values.end(), 0.0);
    double squares = 0;
    for (const double value : values)
        squares += value * value;
    return squares > 0 ? sum * sum / (static_cast<double>(values.size()) * squares) : 0;
}

double perTask(const std::map<std::string, std::uint64_t> &messages, std::uint64_t tasks)
{
    std::uint64_t total = 0;
    for (const auto &[kind, count] : messages)
        total += count;
    return tasks == 0 ? 0 : static_cast<double>(total) / static_cast<double>(tasks);
}

} // namespace

Figures summarise(const std::vector<WorkloadJob> &workload, const RunResult &result,
                  Duration length, std::uint32_t teams)
{
    Figures figures;
    std::vector<double> ratios;
    std::vector<double> wide;
    std::vector<double> refusals;
    std::map<std::uint32_t, std::vector<double>> byTeam;
    for (const JobResult &item : result.jobs) {
        const WorkloadJob &job = workload[item.job];
        if (job.arrival < warmUp)
            continue;
        std::string outcome = toString(item.state);
        if (item.state != JobState::Complete)
            outcome += std::string("/") + toString(item.reason);
        ++figures.outcomes[outcome];
        if (item.state == JobState::Refused)
            refusals.push_back(toSeconds(item.response) * 1000);
        if (item.state != JobState::Complete)
            continue;
        const double ratio = toSeconds(item.response) / toSeconds(idealTime(job));
        ratios.push_back(ratio);
        byTeam[job.team].push_back(ratio);
        if (job.seconds.size() > wideJobTasks)
            wide.push_back(ratio);
    }
    std::vector<double> means;
    for (const auto &[team, values] : byTeam)
        if (team < teams)
            means.push_back(std::accumulate(values.begin(), values.end(), 0.0)
                            / static_cast<double>(values.size()));
    std::ranges::sort(ratios);
    std::ranges::sort(wide);
    std::ranges::sort(refusals);
    figures.p50 = quantile(ratios, 0.5);
    figures.p99 = quantile(ratios, 0.99);
    figures.p999 = quantile(ratios, 0.999);
    figures.wideP50 = quantile(wide, 0.5);
    figures.wideP99 = quantile(wide, 0.99);
    figures.refusalP99 = quantile(refusals, 0.99);
    figures.fairness = jainIndex(means);
    figures.wastedPerTask = perTask(result.wastedMessages, result.tasksDone);
    figures.backgroundPerTask = perTask(result.backgroundMessages, result.tasksDone);
    figures.goodput = result.workDone / (capacity() * toSeconds(length - warmUp));
    for (const auto &[kind, count] : result.wastedMessages)
        figures.wastedPerTaskByKind[kind]
            = static_cast<double>(count) / static_cast<double>(result.tasksDone);
    if (result.startsAfterDisturbance > 0)
        figures.failingTargetShare = static_cast<double>(result.startsAtFailingTargets)
            / static_cast<double>(result.startsAfterDisturbance);
    return figures;
}

} // namespace Hibiscus::Bench
