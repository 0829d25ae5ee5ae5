#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \returns an owner with one target, which by default has free capacity for two tasks. */
OwnerView ownerWith(const std::string &name, double slowness, std::int64_t freeCpu = 54'000)
{
    OwnedTarget target;
    target.name = TargetName("t-" + name);
    target.service = ServiceName("s");
    target.capacity = { .cpu = 64'000, .memory = 1'000 };
    target.free = { .cpu = freeCpu, .memory = 1'000 };
    target.slowness = slowness;
    target.acceptsWork = true;
    target.isReconciled = true;
    OwnerView view = { .node = NodeName(name), .incarnation = 1 };
    view.distance = OwnerView::Distance::SameDomain;
    view.report.targets = { target };
    return view;
}

RoutePolicy policy()
{
    return { .service = ServiceName("s"), .stretch = 1.6, .slack = 60ms, .untilDeadline = 1500ms };
}

/** \returns the owners that the tasks of one job are assigned to, in order of the tasks. */
std::vector<std::string> ownersOf(Duration estimate, std::uint32_t tasks,
                                  std::vector<OwnerView> owners)
{
    const TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    TransientJob job = { .id = "j", .spec = "spec" };
    JobStep step;
    step.taskCount = tasks;
    step.demand = { .cpu = 27'000, .memory = 64 };
    step.estimate = estimate;
    job.steps = { step };
    coordinator.submit(job, policy(), 1, owners, now);
    std::vector<std::string> names;
    for (const RunAssignment &assignment : coordinator.assignTasks(owners, now))
        names.push_back(assignment.owner.str());
    return names;
}

/** \brief Submits a job of one task whose caller waits for 5 s. \returns the number of its
 * assignments.
 */
std::size_t assignPatientJob(FleetCoordinator &coordinator, std::vector<OwnerView> &owners,
                             TimePoint now)
{
    const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 60ms };
    RoutePolicy patient = policy();
    patient.untilDeadline = 5s;
    coordinator.submit({ .id = "j", .steps = { step } }, patient, 1, owners, now);
    return coordinator.assignTasks(owners, now).size();
}

using Names = std::vector<std::string>;

// A long task whose estimate may be far too low would miss its deadline on a slow target.
TEST(FleetCoordinator, LongTasksGoToFastTargets)
{
    EXPECT_EQ(ownersOf(700ms, 2, { ownerWith("slow", 1.4), ownerWith("fast", 0.6) }),
              (Names { "fast", "fast" }));
}

TEST(FleetCoordinator, ShortTasksLeaveFastTargetsToLongOnes)
{
    EXPECT_EQ(ownersOf(60ms, 2, { ownerWith("slow", 1.4), ownerWith("fast", 0.6) }),
              (Names { "slow", "slow" }));
}

TEST(FleetCoordinator, ShortTasksUseFastTargetsWhenTheOthersAreFull)
{
    EXPECT_EQ(ownersOf(60ms, 3, { ownerWith("slow", 1.4), ownerWith("fast", 0.6) }),
              (Names { "slow", "slow", "fast" }));
}

// A slow target that can meet the deadline is preferred to waiting for a fast one.
TEST(FleetCoordinator, LongTasksUseSlowTargetsWhenTheFastOnesAreFull)
{
    EXPECT_EQ(ownersOf(700ms, 1, { ownerWith("slow", 1.4), ownerWith("fast", 0.6, 0) }),
              (Names { "slow" }));
}

/** \returns the immediate outcomes of a job at a coordinator that shuts down in \a timeLeft. */
std::vector<JobOutcome> outcomesBeforeShutdown(Duration timeLeft, Duration estimate)
{
    const TimePoint now(1'800'000'000s);
    const std::vector<OwnerView> owners = { ownerWith("a", 1) };
    FleetCoordinator coordinator({});
    coordinator.setShutdownTime(now + timeLeft);
    TransientJob job = { .id = "j", .spec = "spec" };
    JobStep step;
    step.demand = { .cpu = 27'000, .memory = 64 };
    step.estimate = estimate;
    job.steps = { step };
    coordinator.submit(job, policy(), 1, owners, now);
    return coordinator.takeOutcomes();
}

// Balancers keep sending jobs to a draining node while too few other nodes are left in its domain.
TEST(FleetCoordinator, DrainingNodeAcceptsJobsThatEndBeforeItsShutdown)
{
    EXPECT_TRUE(outcomesBeforeShutdown(1s, 60ms).empty());
    const std::vector<JobOutcome> refused = outcomesBeforeShutdown(1s, 900ms);
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_EQ(refused[0].status, TransientJobStatus::Refused);
    EXPECT_EQ(refused[0].reason, OutcomeReason::Draining);
}

// Guards against a job that waits until its deadline for a target whose domain is evacuated.
TEST(FleetCoordinator, JobThatOnlyAnEvacuatedTargetCouldRunIsRefusedAtOnce)
{
    const TimePoint now(1'800'000'000s);
    std::vector<OwnerView> owners = { ownerWith("large", 1), ownerWith("small", 1) };
    owners[1].report.targets[0].capacity.cpu = 20'000;
    owners[1].report.targets[0].free.cpu = 20'000;
    const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 60ms };
    for (const bool isEvacuated : { false, true }) {
        owners[0].report.targets[0].acceptsWork = !isEvacuated;
        owners[0].report.targets[0].isWithheld = isEvacuated;
        FleetCoordinator coordinator({});
        coordinator.submit({ .id = "j", .steps = { step } }, policy(), 1, owners, now);
        const std::vector<JobOutcome> outcomes = coordinator.takeOutcomes();
        ASSERT_EQ(outcomes.size(), isEvacuated ? 1U : 0U);
        if (isEvacuated) {
            EXPECT_EQ(outcomes[0].reason, OutcomeReason::NeverFits);
        }
    }
}

/** \returns the reason for which a job of one task of 500 ms is given up 700 ms before its
 * deadline, if it is; its owner has stopped the task, which now seems to take \a forecast.
 */
std::optional<OutcomeReason> endOfWaitingJob(std::vector<OwnerView> owners, Duration forecast)
{
    TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 500ms };
    coordinator.submit({ .id = "j", .steps = { step } }, policy(), 1, owners, now);
    const std::vector<RunAssignment> assignments = coordinator.assignTasks(owners, now);
    now += 800ms;
    coordinator.handleRunEnd(
        assignments.at(0).owner,
        { .run = assignments[0].request.run, .kind = RunEndKind::Stopped, .runTime = forecast },
        now);
    coordinator.tick(now);
    const std::vector<JobOutcome> outcomes = coordinator.takeOutcomes();
    return outcomes.empty() ? std::nullopt : std::optional(outcomes[0].reason);
}

// Guards against waiting jobs that are given up since the fastest target pauses for a moment, and
// against ones that wait for a task that is known to take too long.
TEST(FleetCoordinator, WaitingJobIsGivenUpByItsForecastOnTheFastestTarget)
{
    OwnerView paused = ownerWith("fast", 0.6);
    paused.report.targets[0].acceptsWork = false;
    const OwnerView slow = ownerWith("slow", 1.5);
    EXPECT_TRUE(endOfWaitingJob({ slow }, {}));
    EXPECT_FALSE(endOfWaitingJob({ slow, paused }, {}));
    EXPECT_TRUE(endOfWaitingJob({ slow, paused }, 1200ms));
    paused.report.targets[0].isWithheld = true;
    EXPECT_TRUE(endOfWaitingJob({ slow, paused }, {})) << "its domain is evacuated";
}

// Guards against logs that don't tell whether a job was sent again after its caller had left.
TEST(FleetCoordinator, RemembersAJobWhoseCallerLeft)
{
    TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    const std::vector<OwnerView> owners = { ownerWith("o", 1) };
    const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 60ms };
    const TransientJob job = { .id = "j", .steps = { step } };
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::Unknown);
    coordinator.submit(job, policy(), 1, owners, now);
    coordinator.submit(job, policy(), 2, owners, now);
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::InProgress);
    coordinator.removeCaller(1, now);
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::InProgress) << "another caller waits for it";
    coordinator.removeCaller(2, now);
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::CallerLeft);
    now += 4s;
    coordinator.tick(now);
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::CallerLeft);
    now += 2s;
    coordinator.tick(now);
    EXPECT_EQ(coordinator.historyOf("j"), JobHistory::Unknown);
}

// Guards against a caller that is attached to a job whose answer is already on its way.
TEST(FleetCoordinator, AnswersAJobThatIsSentAgainWhenItHasJustFinished)
{
    const TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    std::vector<OwnerView> owners = { ownerWith("a", 1) };
    const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 60ms };
    const TransientJob job = { .id = "j", .steps = { step } };
    coordinator.submit(job, policy(), 1, owners, now);
    const std::vector<RunAssignment> assignments = coordinator.assignTasks(owners, now);
    ASSERT_EQ(assignments.size(), 1U);
    coordinator.handleRunEnd(
        NodeName("a"), { .run = assignments[0].request.run, .kind = RunEndKind::Completed }, now);
    coordinator.submit(job, policy(), 2, owners, now);
    const std::vector<JobOutcome> outcomes = coordinator.takeOutcomes();
    ASSERT_EQ(outcomes.size(), 2U);
    EXPECT_EQ(outcomes[1].callerTokens, (std::vector<std::uint64_t> { 2 }));
    EXPECT_EQ(outcomes[1].status, TransientJobStatus::Completed);
}

// Guards against a second run of a task at an owner that takes this node for restarted, and may
// still be stopping the first one.
TEST(FleetCoordinator, DisownedRunIsNotRepeatedBeforeItHasEnded)
{
    TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    std::vector<OwnerView> owners = { ownerWith("o", 1) };
    ASSERT_EQ(assignPatientJob(coordinator, owners, now), 1U);
    coordinator.handleBegun(NodeName("o"), { .job = "j", .attempt = 1 });
    coordinator.disownRemoteRuns(NodeName("o"), now);
    EXPECT_EQ(coordinator.wantedRunsAt(NodeName("o")).size(), 1U) << "its own runs go on";
    coordinator.disownRemoteRuns(NodeName("self"), now);
    EXPECT_TRUE(coordinator.wantedRunsAt(NodeName("o")).empty());
    const Duration longestRun = FleetOwnerOptions {}.maxOrphanTime;
    coordinator.tick(now += longestRun);
    EXPECT_TRUE(coordinator.assignTasks(owners, now).empty());
    coordinator.tick(now += 100ms);
    EXPECT_EQ(coordinator.assignTasks(owners, now).size(), 1U);
}

// Guards against a second run of a task while the first goes on at an owner that has only raised
// its incarnation: it lives, and renews the lease for as long as the run is valid.
TEST(FleetCoordinator, RunAtAnOwnerWithAHigherIncarnationIsNotRepeatedWhileItMayBeValid)
{
    TimePoint now(1'800'000'000s);
    FleetCoordinator coordinator({});
    std::vector<OwnerView> owners = { ownerWith("o", 1) };
    ASSERT_EQ(assignPatientJob(coordinator, owners, now), 1U);
    coordinator.handleBegun(NodeName("o"), { .job = "j", .attempt = 1 });
    coordinator.updateIncarnation(NodeName("o"), 2, now);
    constexpr double slowClock = 0.98;
    const Duration longestRun
        = fromSeconds(toSeconds(FleetOwnerOptions {}.maxOrphanTime) / slowClock);
    coordinator.tick(now += longestRun);
    EXPECT_TRUE(coordinator.assignTasks(owners, now).empty());
    coordinator.tick(now += 100ms);
    EXPECT_EQ(coordinator.assignTasks(owners, now).size(), 1U);
}

/** \brief Submits a job of \a tasks tasks. \returns the reason of its refusal, or none. */
OutcomeReason submitTasks(FleetCoordinator &coordinator, std::uint64_t caller, std::uint32_t tasks)
{
    const JobStep step = { .taskCount = tasks, .demand = { .cpu = 1 }, .estimate = 10ms };
    coordinator.submit({ .id = "j" + std::to_string(caller), .steps = { step } }, policy(), caller,
                       { ownerWith("a", 1) }, TimePoint(1'800'000'000s));
    const std::vector<JobOutcome> outcomes = coordinator.takeOutcomes();
    return outcomes.empty() ? OutcomeReason::None : outcomes.front().reason;
}

TEST(FleetCoordinator, AJobOfTooManyTasksIsRefused)
{
    FleetCoordinator coordinator({ .maxTasksPerJob = 300 });
    EXPECT_EQ(submitTasks(coordinator, 1, 301), OutcomeReason::TooManyTasks);
    EXPECT_EQ(coordinator.jobCount(), 0U);
    EXPECT_EQ(submitTasks(coordinator, 2, 300), OutcomeReason::None);
}

TEST(FleetCoordinator, WideJobsLeaveRoomForTheOthers)
{
    FleetCoordinator coordinator({ .maxTasks = 1'000 });
    EXPECT_EQ(submitTasks(coordinator, 1, 500), OutcomeReason::None);
    EXPECT_EQ(submitTasks(coordinator, 2, 200), OutcomeReason::Overloaded) << "a second wide job";
    for (std::uint64_t caller = 3; caller < 7; ++caller)
        EXPECT_EQ(submitTasks(coordinator, caller, 120), OutcomeReason::None);
    EXPECT_EQ(submitTasks(coordinator, 7, 120), OutcomeReason::Overloaded);
    coordinator.removeCaller(1, TimePoint(1'800'000'000s));
    EXPECT_EQ(submitTasks(coordinator, 8, 120), OutcomeReason::None) << "once a job has ended";
}

// Guards against two runs of a task: its owner is lost, and had sent a start that its target
// executes later than any run of that owner can go on.
TEST(FleetCoordinator, TaskOfALostOwnerWaitsUntilItsStartCanHaveNoEffect)
{
    for (const bool hasBegun : { false, true }) {
        TimePoint now(1'800'000'000s);
        std::vector<OwnerView> owners = { ownerWith("a", 1) };
        FleetCoordinator coordinator({});
        const JobStep step = { .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 60ms };
        RoutePolicy patient = policy();
        patient.untilDeadline = 30s;
        coordinator.submit({ .id = "j", .steps = { step } }, patient, 1, owners, now);
        const RunName run = coordinator.assignTasks(owners, now).at(0).request.run;
        if (hasBegun)
            coordinator.handleBegun(NodeName("a"), run);
        coordinator.updateIncarnation(NodeName("a"), 2, now);
        const Duration needed
            = hasBegun ? FleetCoordinatorOptions {}.livingOwnerTimeout : Duration(maxStartLateness);
        now += needed - 1ms;
        coordinator.tick(now);
        EXPECT_TRUE(coordinator.assignTasks(owners, now).empty());
        now += 1ms;
        coordinator.tick(now);
        EXPECT_EQ(coordinator.assignTasks(owners, now).size(), 1U);
        EXPECT_TRUE(coordinator.takeAbandonedRuns().empty());
    }
}

// A job that can't wait for the start is answered at once, as one that may have run, and what it
// leaves behind is known.
TEST(FleetCoordinator, JobThatCannotWaitForAPendingStartIsUnfinished)
{
    const TimePoint now(1'800'000'000s);
    for (const bool isOwnerLost : { false, true }) {
        std::vector<OwnerView> owners = { ownerWith("a", 1) };
        FleetCoordinator coordinator({});
        ASSERT_EQ(assignPatientJob(coordinator, owners, now), 1U);
        const RunName run = { .job = "j", .attempt = 1 };
        if (isOwnerLost)
            coordinator.updateIncarnation(NodeName("a"), 2, now);
        else
            coordinator.handleRunEnd(NodeName("a"), { run, RunEndKind::StartPending }, now);
        const std::vector<JobOutcome> outcomes = coordinator.takeOutcomes();
        ASSERT_EQ(outcomes.size(), 1U);
        EXPECT_EQ(outcomes[0].status, TransientJobStatus::Unfinished);
        const std::vector<AbandonedRun> abandoned = coordinator.takeAbandonedRuns();
        ASSERT_EQ(abandoned.size(), 1U);
        EXPECT_EQ(abandoned[0].run, run);
        EXPECT_EQ(abandoned[0].owner, NodeName("a"));
    }
}

} // namespace
