#include "bench/Policies.h"

#include <cstdio>
#include <fstream>
#include <future>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <thread>

DEFINE_uint64(seed, 1, "seed of the load and of all random values");
DEFINE_double(seconds, 60, "length of the load in virtual seconds");
DEFINE_string(json, "", "file for the figures as JSON; empty: none");
DEFINE_string(policies, "", "comma-separated policies to measure; empty: all");
DEFINE_string(loads, "", "comma-separated loads to measure, such as 0.85; empty: all");
DEFINE_string(troubles, "", "comma-separated disturbances to measure; empty: all");
DEFINE_string(site, "", "user to measure: association or pettigrew; empty: both");

namespace Hibiscus::Bench {
namespace {

/** \brief Cell of the result table: one run of a policy at a site. */
struct Cell
{
    Site site;
    WorkloadOptions options;
    Policy policy;
    std::future<Figures> figures;
};

std::vector<std::string> split(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

bool isSelected(const std::string &filter, const std::string &name)
{
    const std::vector<std::string> names = split(filter);
    return names.empty() || std::ranges::find(names, name) != names.end();
}

std::vector<Site> sites()
{
    return { { .name = "association", .entryCount = 9, .interDomainLatency = 1ms },
             { .name = "pettigrew", .entryCount = 7, .interDomainLatency = 500us } };
}

std::vector<Policy> policies()
{
    return { OmniscientPolicy {}, DispatcherPolicy {}, LeastOutstandingPolicy {},
             TwoChoicesPolicy {}, RoundRobinPolicy {}, RandomPolicy {} };
}

std::string loadName(double load)
{
    char text[16];
    std::snprintf(text, sizeof(text), "%.2f", load);
    return text;
}

std::vector<Cell> makeCells()
{
    std::vector<Cell> cells;
    const auto add = [&](const Site &site, double load, Disturbance disturbance) {
        for (const Policy &policy : policies()) {
            WorkloadOptions options;
            options.load = load;
            options.length = fromSeconds(FLAGS_seconds);
            options.disturbance = disturbance;
            options.seed = FLAGS_seed;
            const bool selected = isSelected(FLAGS_policies, toString(policy))
                && isSelected(FLAGS_loads, loadName(load))
                && isSelected(FLAGS_troubles, toString(disturbance))
                && isSelected(FLAGS_site, site.name) && supports(policy, disturbance);
            if (selected)
                cells.push_back({ .site = site, .options = options, .policy = policy });
        }
    };
    for (const Site &site : sites()) {
        for (const double load : { 0.50, 0.70, 0.85, 0.95, 1.30 })
            add(site, load, Disturbance::None);
        for (const Disturbance disturbance :
             { Disturbance::FailingTargets, Disturbance::Stragglers, Disturbance::Burst,
               Disturbance::CancelWave, Disturbance::EntryKilled, Disturbance::DomainCut })
            add(site, 0.85, disturbance);
    }
    return cells;
}

Figures measure(const Site &site, const WorkloadOptions &options, const Policy &policy)
{
    const std::vector<WorkloadJob> workload = makeWorkload(site, options);
    const RunResult result = runPolicy(policy, site, options, workload);
    return summarise(workload, result, options.length, options.teams);
}

nlohmann::ordered_json toJson(const Cell &cell, const Figures &figures)
{
    return { { "site", cell.site.name },
             { "load", cell.options.load },
             { "trouble", toString(cell.options.disturbance) },
             { "policy", toString(cell.policy) },
             { "p50", figures.p50 },
             { "p99", figures.p99 },
             { "p999", figures.p999 },
             { "wide_p50", figures.wideP50 },
             { "wide_p99", figures.wideP99 },
             { "wasted_per_task", figures.wastedPerTask },
             { "wasted_by_kind", figures.wastedPerTaskByKind },
             { "standing_per_task", figures.backgroundPerTask },
             { "goodput", figures.goodput },
             { "fairness", figures.fairness },
             { "refusal_p99_ms", figures.refusalP99 },
             { "failing_share", figures.failingTargetShare },
             { "outcomes", figures.outcomes } };
}

void printRow(const Cell &cell, const Figures &figures)
{
    std::uint64_t complete = 0;
    std::uint64_t other = 0;
    for (const auto &[outcome, count] : figures.outcomes)
        (outcome == "complete" ? complete : other) += count;
    std::printf(
        "%-11s %4.2f %-15s %-17s %6.2f %7.2f %7.2f | %6.2f %7.2f | %6.3f %6.3f | %5.3f %5.3f"
        " | %6llu %5llu | %6.1f %5.3f\n",
        cell.site.name.c_str(), cell.options.load, toString(cell.options.disturbance),
        toString(cell.policy), figures.p50, figures.p99, figures.p999, figures.wideP50,
        figures.wideP99, figures.wastedPerTask, figures.backgroundPerTask, figures.goodput,
        figures.fairness, static_cast<unsigned long long>(complete),
        static_cast<unsigned long long>(other), figures.refusalP99, figures.failingTargetShare);
}

int run()
{
    std::vector<Cell> cells = makeCells();
    // One cell per core runs at a time; each has its own simulation.
    const std::size_t cores = std::max(1U, std::thread::hardware_concurrency());
    nlohmann::ordered_json document = nlohmann::ordered_json::array();
    std::printf("response / ideal: p50 p99 p99.9 | jobs over 60 tasks: p50 p99 | messages a task: "
                "wasted standing | goodput fairness | jobs: complete other | refusal p99 ms, "
                "share of failing targets\n");
    std::size_t started = 0;
    for (std::size_t i = 0; i < cells.size(); ++i) {
        for (; started < cells.size() && started < i + cores; ++started)
            cells[started].figures = std::async(std::launch::async, measure, cells[started].site,
                                                cells[started].options, cells[started].policy);
        const Figures figures = cells[i].figures.get();
        printRow(cells[i], figures);
        std::fflush(stdout);
        document.push_back(toJson(cells[i], figures));
    }
    if (!FLAGS_json.empty())
        std::ofstream(FLAGS_json) << document.dump(1) << "\n";
    return 0;
}

} // namespace
} // namespace Hibiscus::Bench

/** \brief Benchmark of dispatch policies; prints one table, which depends only on the seed. */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Hibiscus::Bench::run();
}
