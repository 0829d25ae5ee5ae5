#include <Hibiscus/Journal>
#include <Hibiscus/Rules>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <string>

DEFINE_int32(jobs, 100000, "number of jobs in the journal");
DEFINE_int32(tasks, 8, "tasks per job");

namespace Hibiscus::Bench {
namespace {

double residentMegabytes()
{
    std::ifstream status("/proc/self/status");
    std::string word;
    while (status >> word)
        if (word == "VmRSS:") {
            double kilobytes = 0;
            status >> kilobytes;
            return kilobytes / 1024;
        }
    return 0;
}

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/** \brief Fills a journal and prints the memory, the snapshot bytes and the time for each job. */
void measureJournal()
{
    const TimePoint start = TimePoint(std::chrono::hours(24 * 365 * 50));
    JournalState state(start - 1h);
    const double memoryBefore = residentMegabytes();
    const double begin = processorSeconds();
    const auto taskCount = static_cast<std::uint32_t>(FLAGS_tasks);
    TaskIndices all;
    JobAnswer answer;
    answer.state = JobState::Complete;
    for (std::uint32_t i = 0; i < taskCount; ++i) {
        all.push_back(i);
        answer.tasks.push_back({ .fate = TaskFate::Ran, .succeeded = true, .result = "done 120" });
    }
    for (int i = 0; i < FLAGS_jobs; ++i) {
        const JobId id(DomainName("thu-duc"), start + std::chrono::microseconds(i),
                       "notice-" + std::to_string(i));
        const JobClaim claim = { .coordinator = { .node = NodeName("entry-thu-duc-1") } };
        state.apply(OpenJob { .id = id,
                              .contentHash = 7,
                              .taskCount = taskCount,
                              .claim = claim,
                              .firstStarts = all,
                              .at = start });
        state.apply(FinishJob { .id = id, .epoch = 1, .answer = answer });
    }
    const double applied = processorSeconds();
    const double memory = residentMegabytes() - memoryBefore;
    const Bytes snapshot = state.save();
    const double saved = processorSeconds();
    std::printf("journal: %d jobs of %d tasks: %.0f bytes of memory and %.0f of snapshot a job, "
                "%.1f us to apply a job, %.2f s to save all\n",
                FLAGS_jobs, FLAGS_tasks, memory * 1048576 / FLAGS_jobs,
                static_cast<double>(snapshot.size()) / FLAGS_jobs,
                1e6 * (applied - begin) / FLAGS_jobs, saved - applied);
}

/** \brief Applies many changes of a rules file with a line for each of 190 teams. */
void measureRules()
{
    constexpr int teams = 190;
    constexpr int changes = 17'000;
    RulesState state;
    const double memoryBefore = residentMegabytes();
    const double begin = processorSeconds();
    std::size_t deltaBytes = 0;
    for (int change = 0; change < changes; ++change) {
        std::string text;
        for (int team = 0; team < teams; ++team)
            text += "quota team=team-" + std::to_string(team)
                + " tasks=" + std::to_string(team == change % teams ? change : 100) + " # Lan\n";
        deltaBytes += encode(RulesDelta::between(state.text(), text)).size();
        state.apply({ .applyId = std::to_string(change),
                      .expectedVersion = state.version(),
                      .author = "Lan",
                      .text = text });
    }
    std::printf("rules: %d changes of %d lines: %.1f MB of memory, %.0f us a change, %zu bytes a "
                "delta, %zu bytes the file\n",
                changes, teams, residentMegabytes() - memoryBefore,
                1e6 * (processorSeconds() - begin) / changes, deltaBytes / changes,
                state.text().size());
}

} // namespace
} // namespace Hibiscus::Bench

/** \brief Measures the replicated state of journals and of the control group. */
int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Hibiscus::Bench::measureRules();
    Hibiscus::Bench::measureJournal();
    return 0;
}
