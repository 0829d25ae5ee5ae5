#include <Hibiscus/Shortage>
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <numeric>
#include <random>
#include <set>

using namespace Hibiscus;

namespace {

const TimePoint start(1'800'000'000s);

/** \returns the demand of a job of two tasks of 200 ms, which can wait for 180 ms. */
JobDemand shortJob()
{
    return { .service = ServiceName("s"),
             .priority = 1,
             .readyTasks = 2,
             .shortest = 120ms,
             .usual = 200ms,
             .untilObjective = 380ms,
             .untilDeadline = 1500ms };
}

RoomForecast room(std::int64_t freeTasks, Duration queueAhead)
{
    return {
        .freeTasks = freeTasks, .totalTasks = 100, .queueAhead = queueAhead, .meanRunTime = 200ms
    };
}

/** \returns the verdicts on equal jobs that arrive each 100 ms beside the same room. */
std::vector<AdmissionVerdict> verdictsOver(Duration span, const JobDemand &demand,
                                           const RoomForecast &present)
{
    JobAdmission admission({});
    std::vector<AdmissionVerdict> verdicts;
    for (Duration elapsed {}; elapsed < span; elapsed += 100ms)
        verdicts.push_back(admission.decide(demand, present, start + elapsed).verdict);
    return verdicts;
}

// Load: free room on some targets beside a queue of tasks that wait for other ones.
TEST(Shortage, JobWithRoomForAllItsTasksIsAdmittedBesideAStandingQueue)
{
    EXPECT_EQ(std::ranges::count(verdictsOver(3s, shortJob(), room(2, 400ms)),
                                 AdmissionVerdict::Admitted),
              30);
}

// Load: a burst that passes within half a second.
TEST(Shortage, ShortBurstIsAbsorbed)
{
    EXPECT_EQ(std::ranges::count(verdictsOver(400ms, shortJob(), room(0, 300ms)),
                                 AdmissionVerdict::Admitted),
              4);
}

// Load: more work than the targets can do, for seconds.
TEST(Shortage, JobBehindAStandingQueueIsRefusedAtOnce)
{
    const std::vector<AdmissionVerdict> verdicts = verdictsOver(2s, shortJob(), room(0, 300ms));
    EXPECT_EQ(verdicts.front(), AdmissionVerdict::Admitted);
    EXPECT_EQ(std::ranges::count(verdicts, AdmissionVerdict::Overloaded), 15);
}

TEST(Shortage, JobThatWouldStartTooLateForItsDeadlineIsRefusedInABurst)
{
    EXPECT_EQ(verdictsOver(100ms, shortJob(), room(0, 1400ms)).front(),
              AdmissionVerdict::Overloaded);
}

// Guards against callers who are told to come back for work that no target can do in time.
TEST(Shortage, JobLongerThanItsDeadlineIsNotCalledOverload)
{
    JobDemand demand = shortJob();
    demand.shortest = 1600ms;
    EXPECT_EQ(verdictsOver(100ms, demand, room(50, 0s)).front(), AdmissionVerdict::TooLong);
}

// The last of many tasks starts after more others have ended.
TEST(Shortage, WideJobIsExpectedToWaitLonger)
{
    JobDemand wide = shortJob();
    wide.readyTasks = 16;
    EXPECT_GT(expectedWait(wide, room(0, 50ms)), expectedWait(shortJob(), room(0, 50ms)));
    EXPECT_EQ(expectedWait(wide, room(16, 50ms)), Duration());
}

// Load: more urgent work arrives all the time. What can wait lets it go first, but not for ever.
TEST(Shortage, TaskAboutToMissItsObjectiveGoesBeforeMoreUrgentOnesThatCanWait)
{
    const WaitingTask urgent
        = { .priority = 0, .expectedRunTime = 60ms, .objectiveAt = start + 1000ms };
    WaitingTask other = { .priority = 2, .expectedRunTime = 900ms, .objectiveAt = start + 1500ms };
    const StartRule rule = LatestStartOrder();
    const TimePoint calm = start + 500ms;
    EXPECT_LT(positionOf(rule, urgent, calm), positionOf(rule, other, calm));
    const TimePoint late = start + 610ms;
    EXPECT_GT(positionOf(rule, urgent, late), positionOf(rule, other, late));
    const TimePoint critical = start + 945ms;
    other.objectiveAt = start + 1835ms;
    EXPECT_LT(positionOf(rule, urgent, critical), positionOf(rule, other, critical))
        << "both can't wait";
}

TEST(Shortage, RepeatedTaskGoesBeforeOthersThatAreLateToo)
{
    const WaitingTask first = { .priority = 1, .expectedRunTime = 100ms, .objectiveAt = start };
    WaitingTask repeated = first;
    repeated.isRepeated = true;
    const StartRule rule = LatestStartOrder();
    EXPECT_LT(positionOf(rule, repeated, start + 1s), positionOf(rule, first, start + 1s));
}

// Load: a thousand jobs are refused at one time.
TEST(Shortage, JobsRefusedTogetherDoNotComeBackTogether)
{
    std::map<long, int> jobsBySecond;
    for (int i = 0; i < 1000; ++i) {
        const Duration delay = retryDelay({}, "job-" + std::to_string(i), 2s);
        EXPECT_GE(delay, 2s);
        ++jobsBySecond[std::lround(std::ceil(toSeconds(delay)))];
    }
    for (const auto &[second, jobs] : jobsBySecond)
        EXPECT_LE(jobs, 600) << "after " << second << " s";
    EXPECT_EQ(retryDelay({}, "job", 2s), retryDelay({}, "job", 2s));
}

/** \brief Job of a small case. */
struct SmallJob
{
    Duration arrival {};
    std::uint32_t tasks = 1;
    Duration taskTime {};
    std::uint32_t priority = 0;

    Duration objective() const { return taskTime * 8 / 5 + 60ms; }
};

constexpr std::size_t smallSlots = 4;
constexpr Duration smallDeadline = 1500ms;

/** \brief Returns which of the waiting jobs starts a task next. */
using Choose = std::function<std::size_t(const std::vector<std::size_t> &, TimePoint)>;
/** \brief Returns whether an arriving job is admitted, given the ends of the running tasks and the
 * jobs that wait.
 */
using Admit = std::function<bool(std::size_t, const std::multiset<TimePoint> &,
                                 const std::vector<std::size_t> &, TimePoint)>;

/** \returns the work of the jobs that are served, and a fifth of that of late ones. */
double play(const std::vector<SmallJob> &jobs, const Admit &admit, const Choose &choose)
{
    std::multiset<TimePoint> running;
    std::vector<std::size_t> waiting;
    std::vector<std::uint32_t> left;
    std::vector<TimePoint> ends(jobs.size());
    double served = 0;
    for (const SmallJob &job : jobs)
        left.push_back(job.tasks);
    std::size_t next = 0;
    while (next < jobs.size() || !waiting.empty()) {
        TimePoint now = TimePoint::max();
        if (next < jobs.size())
            now = start + jobs[next].arrival;
        if (!waiting.empty() && !running.empty())
            now = std::min(now, *running.begin());
        while (!running.empty() && *running.begin() <= now)
            running.erase(running.begin());
        for (; next < jobs.size() && start + jobs[next].arrival <= now; ++next)
            if (admit(next, running, waiting, now))
                waiting.push_back(next);
        // A job that can't end in time any more gives up.
        std::erase_if(waiting, [&](std::size_t job) {
            return now + jobs[job].taskTime > start + jobs[job].arrival + smallDeadline;
        });
        while (!waiting.empty() && running.size() < smallSlots) {
            const std::size_t job = choose(waiting, now);
            ends[job] = std::max(ends[job], now + jobs[job].taskTime);
            running.insert(now + jobs[job].taskTime);
            if (--left[job] > 0)
                continue;
            std::erase(waiting, job);
            const Duration elapsed = ends[job] - start - jobs[job].arrival;
            const double work = jobs[job].tasks * toSeconds(jobs[job].taskTime);
            constexpr double lateShare = 0.2;
            served += elapsed <= jobs[job].objective() ? work : lateShare * work;
        }
    }
    return served;
}

/** \returns jobs of three kinds that want some two to three times the room for 300 ms. */
std::vector<SmallJob> smallCase(std::mt19937_64 &randomEngine)
{
    const std::vector<SmallJob> kinds = { { .tasks = 4, .taskTime = 55ms, .priority = 0 },
                                          { .tasks = 2, .taskTime = 180ms, .priority = 1 },
                                          { .tasks = 3, .taskTime = 830ms, .priority = 2 } };
    std::vector<SmallJob> jobs;
    for (int i = 0; i < 6; ++i) {
        SmallJob job = kinds[std::discrete_distribution<std::size_t> { 2, 3, 1 }(randomEngine)];
        job.arrival
            = std::chrono::milliseconds(std::uniform_int_distribution<int>(0, 300)(randomEngine));
        jobs.push_back(job);
    }
    std::ranges::sort(jobs, {}, &SmallJob::arrival);
    return jobs;
}

double bestInHindsight(const std::vector<SmallJob> &jobs)
{
    double best = 0;
    for (std::uint32_t admitted = 0; admitted < 1U << jobs.size(); ++admitted) {
        std::vector<std::size_t> ranks(jobs.size());
        std::iota(ranks.begin(), ranks.end(), 0);
        do {
            best = std::max(best,
                            play(
                                jobs,
                                [&](std::size_t job, const auto &, const auto &, TimePoint) {
                                    return (admitted >> job & 1U) != 0;
                                },
                                [&](const std::vector<std::size_t> &waiting, TimePoint) {
                                    return *std::ranges::min_element(
                                        waiting, {}, [&](std::size_t job) { return ranks[job]; });
                                }));
        } while (std::ranges::next_permutation(ranks).found);
    }
    return best;
}

double playWith(const std::vector<SmallJob> &jobs, const StartRule &rule,
                const std::optional<JobAdmissionOptions> &options)
{
    JobAdmission admission(options.value_or(JobAdmissionOptions {}));
    const auto position = [&](std::size_t job, TimePoint now) {
        const SmallJob &item = jobs[job];
        return positionOf(rule,
                          { .priority = item.priority,
                            .expectedRunTime = item.taskTime,
                            .objectiveAt = start + item.arrival + item.objective() },
                          now);
    };
    const auto admit = [&](std::size_t job, const std::multiset<TimePoint> &running,
                           const std::vector<std::size_t> &waiting, TimePoint now) {
        if (!options)
            return true;
        const SmallJob &item = jobs[job];
        double ahead = 0;
        double total = 0;
        for (const std::size_t other : waiting)
            if (position(other, now) < position(job, now))
                ahead += jobs[other].tasks * toSeconds(jobs[other].taskTime);
        for (const TimePoint end : running)
            total += toSeconds(end - now);
        const RoomForecast present
            = { .freeTasks = static_cast<std::int64_t>(smallSlots - running.size()),
                .totalTasks = smallSlots,
                .queueAhead = fromSeconds(ahead / smallSlots),
                .meanRunTime
                = fromSeconds(total / std::max<double>(static_cast<double>(running.size()), 1)) };
        return admission
                   .decide({ .service = ServiceName("s"),
                             .priority = item.priority,
                             .readyTasks = item.tasks,
                             .shortest = item.taskTime,
                             .usual = item.taskTime,
                             .untilObjective = item.objective(),
                             .untilDeadline = smallDeadline },
                           present, now)
                   .verdict
            == AdmissionVerdict::Admitted;
    };
    const auto choose = [&](const std::vector<std::size_t> &waiting, TimePoint now) {
        return *std::ranges::min_element(waiting, {},
                                         [&](std::size_t job) { return position(job, now); });
    };
    return play(jobs, admit, choose);
}

// Load: two to three times as much work as there is room, for 300 ms. The best choice in hindsight
// knows all arrivals; callers lose no more than a fifth of it by what could not be known.
TEST(Shortage, ChoiceComesCloseToTheBestInHindsight)
{
    std::mt19937_64 randomEngine(1);
    double best = 0;
    double chosen = 0;
    double byPriority = 0;
    for (int i = 0; i < 40; ++i) {
        const std::vector<SmallJob> jobs = smallCase(randomEngine);
        best += bestInHindsight(jobs);
        chosen += playWith(jobs, LatestStartOrder(), JobAdmissionOptions {});
        byPriority += playWith(jobs, PriorityOrder(), std::nullopt);
    }
    RecordProperty("shareOfBest", std::to_string(chosen / best));
    RecordProperty("shareByPriority", std::to_string(byPriority / best));
    std::printf("share of best %.3f, by priority %.3f\n", chosen / best, byPriority / best);
    EXPECT_GE(chosen, 0.8 * best);
    EXPECT_GE(chosen, byPriority);
}

} // namespace
