#include "test/support/FleetLoad.h"

#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

constexpr std::int64_t cpuPerTask = 27'000;

/** \returns an owner with room for \a freeTasks of ten tasks, and \a queue waiting. */
OwnerView ownerWith(const std::string &name, std::int64_t freeTasks,
                    const ServiceName &queuedService, const ServiceQueue &queue)
{
    OwnedTarget target;
    target.name = TargetName("t-" + name);
    target.service = ServiceName("s");
    target.capacity = { .cpu = 10 * cpuPerTask, .memory = 10'000 };
    target.free = { .cpu = freeTasks * cpuPerTask, .memory = 10'000 };
    target.acceptsWork = true;
    OwnerView view = { .node = NodeName(name), .incarnation = 1 };
    view.report.targets = { target };
    view.report.queued = queue.tasks;
    view.report.queues[queuedService] = queue;
    return view;
}

/** \returns the queue of work that takes ten cores' tasks 2 s. */
ServiceQueue longQueue()
{
    return { .tasks = 40, .work = { { 0, 20 * cpuPerTask } } };
}

/** \returns the outcomes of equal jobs that arrive each 100 ms for 2 s beside \a owners. */
std::vector<JobOutcome> refusalsOver2s(const std::vector<OwnerView> &owners, Duration estimate)
{
    FleetCoordinator coordinator({ .admission = JobAdmissionOptions {} });
    const JobStep step
        = { .taskCount = 2, .demand = { .cpu = cpuPerTask, .memory = 64 }, .estimate = estimate };
    const RoutePolicy policy = { .service = ServiceName("s"),
                                 .priority = 1,
                                 .stretch = 1.6,
                                 .slack = 60ms,
                                 .untilDeadline = 1500ms };
    TimePoint now(1'800'000'000s);
    for (std::uint64_t i = 1; i <= 20; ++i, now += 100ms)
        coordinator.submit({ .id = "j" + std::to_string(i), .steps = { step } }, policy, i, owners,
                           now);
    return coordinator.takeOutcomes();
}

// Load: the queue of one service, beside idle targets of another.
TEST(JobAdmission, QueueOfAnotherServiceDoesNotCount)
{
    EXPECT_TRUE(
        refusalsOver2s({ ownerWith("a", 1, ServiceName("other"), longQueue()) }, 200ms).empty());
}

// Load: one owner has a queue and another has room, until its next report.
TEST(JobAdmission, JobIsNotRefusedWhileAnOwnerHasRoomForIt)
{
    EXPECT_TRUE(refusalsOver2s({ ownerWith("a", 0, ServiceName("s"), longQueue()),
                                 ownerWith("b", 2, ServiceName("s"), {}) },
                               200ms)
                    .empty());
}

TEST(JobAdmission, RefusalTellsWhatItWasBasedOn)
{
    const std::vector<JobOutcome> refused
        = refusalsOver2s({ ownerWith("a", 0, ServiceName("s"), longQueue()) }, 200ms);
    ASSERT_EQ(refused.size(), 20U) << "the queue ends after the deadline";
    EXPECT_EQ(refused[0].reason, OutcomeReason::Overloaded);
    ASSERT_TRUE(refused[0].admission);
    EXPECT_GE(refused[0].admission->expectedWait, 2s);
    EXPECT_GE(refused[0].retryAfter, refused[0].admission->untilAdmission());
}

// Guards against callers who are told of an overload that there isn't.
TEST(JobAdmission, JobThatIsTooLongForItsDeadlineIsToldSo)
{
    const std::vector<JobOutcome> refused
        = refusalsOver2s({ ownerWith("a", 10, ServiceName("s"), {}) }, 1600ms);
    ASSERT_EQ(refused.size(), 20U);
    EXPECT_EQ(refused[0].reason, OutcomeReason::TooLong);
}

// Load: bursts of 1.8 times the usual load, 2 s of each 3 s. No kind is starved for the others, and
// the largest tenth of each is served at least half as often as the whole kind.
TEST(JobAdmission, NoKindAndNoSizeIsStarvedInRepeatedBursts)
{
    std::map<std::string, Fake::FleetKindOutcome> kinds;
    for (const std::uint64_t seed : { 1U, 2U }) {
        Fake::FleetSimulationOptions options = Fake::filingSiteOptions(seed);
        Fake::chooseWholeJobs(options);
        Fake::FleetSimulation simulation(options);
        simulation.run(6s);
        const Fake::FleetLoadOutcome outcome = Fake::runLoad(simulation,
                                                             { .kinds = Fake::filingJobKinds(),
                                                               .jobsPerSecond = 155,
                                                               .burstFactor = 1.8,
                                                               .burstAt = 1s,
                                                               .burstSpan = 2s,
                                                               .burstInterval = 3s,
                                                               .seed = seed });
        EXPECT_TRUE(simulation.violations().empty());
        for (const auto &[route, kind] : outcome.kinds) {
            Fake::FleetKindOutcome &sum = kinds[route];
            sum.jobs += kind.jobs;
            sum.inTime += kind.inTime;
            sum.late += kind.late;
            sum.largestJobs += kind.largestJobs;
            sum.largestJobsServed += kind.largestJobsServed;
        }
    }
    for (const auto &[route, kind] : kinds) {
        EXPECT_GE(kind.servedShare(), 0.5) << route;
        EXPECT_GE(kind.largestServedShare(), kind.servedShare() / 2) << route;
    }
}

} // namespace
