#include "test/support/FleetLoad.h"

#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \returns an owner of one target with capacity for \a free tasks. */
OwnerView ownerWith(const std::string &name, std::int64_t free)
{
    constexpr std::int64_t cpuPerTask = 27'000;
    OwnedTarget target;
    target.name = TargetName("t-" + name);
    target.service = ServiceName("s");
    target.capacity = { .cpu = free * cpuPerTask, .memory = 1'000 };
    target.free = target.capacity;
    target.acceptsWork = true;
    OwnerView view = { .node = NodeName(name), .incarnation = 1 };
    view.report.targets = { target };
    return view;
}

/** \brief Coordinator of a job with two tasks, one at each of two owners. */
class WithdrawalFixture
{
public:
    WithdrawalFixture()
    {
        const JobStep step
            = { .taskCount = 2, .demand = { .cpu = 27'000, .memory = 64 }, .estimate = 100ms };
        const RoutePolicy policy = {
            .service = ServiceName("s"), .stretch = 1.6, .slack = 60ms, .untilDeadline = 1500ms
        };
        this->coordinator.submit({ .id = "j", .steps = { step } }, policy, 1, this->owners,
                                 this->now);
        for (const RunAssignment &assignment :
             this->coordinator.assignTasks(this->owners, this->now))
            this->runs[assignment.owner] = assignment.request.run;
        this->now += 1380ms;
    }

    void end(const std::string &owner, RunEndKind kind)
    {
        this->coordinator.handleRunEnd(
            NodeName(owner), { .run = this->runs.at(NodeName(owner)), .kind = kind }, this->now);
    }

    /** \returns the status of the job's answer, if it has been answered since the last call. */
    std::optional<TransientJobStatus> answer()
    {
        this->coordinator.tick(this->now);
        const std::vector<JobOutcome> outcomes = this->coordinator.takeOutcomes();
        return outcomes.empty() ? std::nullopt : std::optional(outcomes[0].status);
    }

    TimePoint now { 1'800'000'000s };
    FleetCoordinator coordinator { FleetCoordinatorOptions {} };
    std::vector<OwnerView> owners = { ownerWith("a", 1), ownerWith("b", 1) };
    std::map<NodeName, RunName> runs; ///< by owner
};

// Guards against answers that a job may have run while its tasks were only queued.
TEST(JobWithdrawal, JobWhoseOwnersConfirmThatNothingStartedIsRefused)
{
    WithdrawalFixture fixture;
    ASSERT_EQ(fixture.runs.size(), 2U);
    fixture.end("a", RunEndKind::TooLate);
    EXPECT_FALSE(fixture.answer()) << "the owner of the other task has not been asked";
    EXPECT_EQ(fixture.coordinator.takeWithdrawalOwners(), (std::set { NodeName("b") }));
    EXPECT_EQ(fixture.coordinator.withdrawnRuns().at(NodeName("b")),
              (std::vector { fixture.runs.at(NodeName("b")) }));
    fixture.end("b", RunEndKind::NotStarted);
    EXPECT_EQ(fixture.answer(), TransientJobStatus::Refused);
    EXPECT_TRUE(fixture.coordinator.wantedRuns().empty());
}

TEST(JobWithdrawal, JobWithARunOnATargetIsUnfinishedAtOnce)
{
    WithdrawalFixture fixture;
    fixture.end("a", RunEndKind::TooLate);
    ASSERT_FALSE(fixture.answer());
    fixture.coordinator.handleStopping(NodeName("b"), fixture.runs.at(NodeName("b")), fixture.now);
    EXPECT_EQ(fixture.answer(), TransientJobStatus::Unfinished);
}

TEST(JobWithdrawal, JobIsUnfinishedIfItsOwnerDoesNotConfirmInTime)
{
    WithdrawalFixture fixture;
    fixture.end("a", RunEndKind::TooLate);
    fixture.now += FleetCoordinatorOptions {}.withdrawalTimeout - 1ms;
    EXPECT_FALSE(fixture.answer());
    fixture.now += 1ms;
    EXPECT_EQ(fixture.answer(), TransientJobStatus::Unfinished);
}

TEST(JobWithdrawal, JobWithASupersededRunIsNotRefused)
{
    WithdrawalFixture fixture;
    fixture.end("a", RunEndKind::Superseded);
    fixture.end("b", RunEndKind::TooLate);
    EXPECT_EQ(fixture.answer(), TransientJobStatus::Unfinished);
}

TEST(JobWithdrawal, WithdrawnJobIsNotAssignedAgain)
{
    WithdrawalFixture fixture;
    fixture.end("a", RunEndKind::TooLate);
    EXPECT_FALSE(fixture.coordinator.hasReadyTasks(fixture.now));
    EXPECT_TRUE(fixture.coordinator.assignTasks(fixture.owners, fixture.now).empty());
}

// Guards against callers that wait beyond their deadline for a job that no target can run in time.
TEST(JobWithdrawal, JobThatCannotEndInTimeIsAnsweredBeforeItsDeadline)
{
    WithdrawalFixture fixture;
    fixture.end("a", RunEndKind::NotStarted);
    fixture.end("b", RunEndKind::NotStarted);
    fixture.now += 20ms;
    EXPECT_FALSE(fixture.answer()) << "the 100 ms that are left are enough";
    fixture.now += 1ms;
    EXPECT_EQ(fixture.answer(), TransientJobStatus::Refused);
}

// Guards against an owner that starts withdrawn runs, or that does not tell whether they started.
TEST(JobWithdrawal, OwnerEndsQueuedRunsAndNamesThoseThatItStops)
{
    const TimePoint now(1'800'000'000s);
    const Requester requester = { .node = NodeName("a"), .incarnation = 1 };
    FleetOwner owner { {} };
    const RunName run = { .job = "j", .attempt = 1 };
    owner.requestRun({ .run = run, .service = ServiceName("s"), .untilDeadline = 1s }, requester,
                     now);
    owner.withdrawRuns(requester, { run }, now);
    EXPECT_EQ(owner.runEndsFor(requester),
              (std::vector { RunEnd { .run = run, .kind = RunEndKind::NotStarted } }));
    EXPECT_TRUE(owner.stoppingRunsFor(requester).empty());
}

// Guards against a job that is refused although its run of the same name, for another coordinator,
// has run.
TEST(JobWithdrawal, RunThatIsHeldForAnotherRequesterIsNotReportedAsNeverStarted)
{
    const TimePoint now(1'800'000'000s);
    FleetNode node({ .self = NodeName("g"), .domain = DomainName("a") });
    const RunName shared = { .job = "j", .attempt = 1 };
    const RunName lost = { .job = "k", .attempt = 1 };
    FleetMessage message;
    message.incarnation = 1;
    message.sequence = 1;
    message.domain = DomainName("a");
    message.from = NodeName("a");
    message.wantedRuns = { shared };
    message.runRequests
        = { { .run = shared, .service = ServiceName("s"), .untilDeadline = Duration(1s) } };
    message.specs = { { "j", "spec" } };
    node.receive(message, now);
    message.from = NodeName("b");
    message.wantedRuns = { shared, lost };
    node.receive(message, now);
    std::vector<RunEnd> ends;
    for (const AddressedFleetMessage &sent : node.flush(now).messages)
        if (sent.to == NodeName("b"))
            ends = sent.message.runEnds;
    EXPECT_EQ(ends,
              (std::vector { RunEnd { .run = shared, .kind = RunEndKind::Superseded },
                             RunEnd { .run = lost, .kind = RunEndKind::NotStarted } }));
}

// Load: a burst of 1.8 times the usual load fills all queues, so that jobs of several tasks are
// given up while some of their tasks wait at other owners.
TEST(JobWithdrawal, JobsThatNeverStartedInABurstAreRefused)
{
    std::uint32_t refused = 0;
    std::uint32_t falselyUnfinished = 0;
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        Fake::FleetSimulation simulation(Fake::filingSiteOptions(seed));
        simulation.run(6s);
        const Fake::FleetLoadOutcome outcome = Fake::runLoad(simulation,
                                                             { .kinds = Fake::filingJobKinds(),
                                                               .jobsPerSecond = 155,
                                                               .burstFactor = 1.8,
                                                               .seed = seed });
        for (const auto &[route, kind] : outcome.kinds) {
            refused += kind.refused;
            falselyUnfinished += kind.falselyUnfinished;
        }
        EXPECT_TRUE(simulation.violations().empty());
    }
    EXPECT_GT(refused, 0U);
    EXPECT_EQ(falselyUnfinished, 0U);
}

} // namespace
