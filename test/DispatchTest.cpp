#include <Hibiscus/Dispatch>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint start = TimePoint(std::chrono::hours(24 * 365 * 50));
const ServiceName service("work");

AttemptId attempt(const std::string &job, std::uint32_t task = 0)
{
    return { .job = JobId(DomainName("a"), start, job), .task = task, .incarnation = 1 };
}

TargetAnnouncement announcement(const std::string &name, std::uint64_t leaseId = 1)
{
    return { .target = TargetName(name),
             .address = "127.0.0.1:1",
             .service = service,
             .slots = 2,
             .leaseId = leaseId };
}

TaskStart startOf(const AttemptId &id, TimePoint now, Urgency urgency = 0)
{
    return { .attempt = id,
             .service = service,
             .deadline = now + 60s,
             .validUntil = now + 10s,
             .urgency = urgency };
}

TEST(TargetPool, ExpiredLeavingOrDrainedTargetsHaveNoFreeSlots)
{
    TargetPool pool({});
    pool.announce(announcement("t"), start);
    EXPECT_EQ(pool.freeSlots(service, 9, start + 2s).size(), 2U);
    EXPECT_TRUE(pool.freeSlots(service, 9, start + 2s + 1us).empty());
    TargetAnnouncement leaving = announcement("t");
    leaving.isLeaving = true;
    pool.announce(leaving, start + 3s);
    EXPECT_TRUE(pool.freeSlots(service, 9, start + 3s).empty());
    pool.announce(announcement("t"), start + 4s);
    pool.setDrained({ TargetName("t") });
    EXPECT_TRUE(pool.freeSlots(service, 9, start + 4s).empty());
}

TEST(TargetPool, FailingTargetsAreEjectedAndReadmittedOneTaskAtATime)
{
    TargetPool pool({});
    for (const char *name : { "t1", "t2", "t3", "t4" })
        pool.announce(announcement(name), start);
    const TargetName failing("t1");
    for (int i = 0; i < 3; ++i) {
        const AttemptId id = attempt("job" + std::to_string(i));
        pool.occupy(failing, id, start);
        pool.release(failing, id, AttemptStatus::Failed, start + 1ms);
    }
    EXPECT_EQ(pool.freeSlots(service, 99, start + 2ms).size(), 6U);
    const TimePoint later = start + 1500ms;
    EXPECT_EQ(pool.freeSlots(service, 99, later).size(), 7U);
    const AttemptId trial = attempt("trial");
    pool.occupy(failing, trial, later);
    pool.release(failing, trial, AttemptStatus::Failed, later);
    EXPECT_EQ(pool.freeSlots(service, 99, later + 400ms).size(), 6U);
}

TEST(TargetPool, FailuresOfASingleJobEjectNoTarget)
{
    TargetPool pool({});
    for (const char *name : { "t1", "t2" })
        pool.announce(announcement(name), start);
    for (std::uint32_t i = 0; i < 60; ++i) {
        const TargetName target(i % 2 == 0 ? "t1" : "t2");
        pool.occupy(target, attempt("poison", i), start);
        pool.release(target, attempt("poison", i), AttemptStatus::Failed, start);
    }
    EXPECT_EQ(pool.freeSlots(service, 99, start).size(), 4U);
}

TEST(SlotOwner, DuplicateStartsRunOnce)
{
    SlotOwner owner({}, NodeName("e"));
    DispatchOutbox out;
    std::vector<AddressedReport> reports;
    owner.announce(announcement("t"), start, out);
    const TaskStart first = startOf(attempt("j"), start);
    owner.accept(NodeName("c"), first, start, reports);
    owner.accept(NodeName("c"), first, start, reports);
    owner.startHeldTasks(service, start, out);
    owner.finish({ .attempt = first.attempt, .status = AttemptStatus::Succeeded }, start + 1s,
                 reports);
    owner.accept(NodeName("c"), first, start + 5s, reports);
    owner.startHeldTasks(service, start + 1500ms, out);
    EXPECT_EQ(out.toTargets.size(), 1U);
    // A duplicate that arrives after the record has expired is refused by its age.
    owner.tick(start + 100s, out, reports);
    owner.accept(NodeName("c"), first, start + 100s, reports);
    EXPECT_EQ(owner.heldStartCount(), 0U);
    EXPECT_EQ(reports.back().report.status, AttemptStatus::NotStarted);
}

TEST(SlotOwner, ReportsNotStartedOnlyWhileItIsCertain)
{
    SlotOwner owner({}, NodeName("e"));
    DispatchOutbox out;
    std::vector<AddressedReport> reports;
    const AttemptProbe probe = { .attempt = attempt("j"), .validUntil = start + 10s };
    owner.answerProbe(NodeName("c"), probe, start + 6s, reports);
    ASSERT_EQ(reports.size(), 1U);
    EXPECT_EQ(reports[0].report.status, AttemptStatus::NotStarted);
    // A start that arrives after the probe must be rejected.
    owner.accept(NodeName("c"), startOf(attempt("j"), start), start + 7s, reports);
    EXPECT_EQ(owner.heldStartCount(), 0U);
    const AttemptProbe lateProbe = { .attempt = attempt("k"), .validUntil = start + 10s };
    owner.answerProbe(NodeName("c"), lateProbe, start + 60s, reports);
    EXPECT_EQ(reports.back().report.status, AttemptStatus::Lost);
}

TEST(TargetPool, ARefusedStartEndsTheLeaseUntilTheNextAnnouncement)
{
    TargetPool pool({});
    pool.announce(announcement("t"), start);
    pool.occupy(TargetName("t"), attempt("j"), start);
    pool.release(TargetName("t"), attempt("j"), AttemptStatus::NotStarted, start + 5ms);
    EXPECT_TRUE(pool.freeSlots(service, 9, start + 5ms).empty());
    pool.announce(announcement("t"), start + 600ms);
    EXPECT_EQ(pool.freeSlots(service, 9, start + 600ms).size(), 2U);
}

TEST(SlotOwner, DrainReturnsHeldStartsAndRejectsNewOnes)
{
    SlotOwner owner({}, NodeName("e"));
    DispatchOutbox out;
    std::vector<AddressedReport> reports;
    owner.announce(announcement("t"), start, out);
    for (std::uint32_t i = 0; i < 4; ++i)
        owner.accept(NodeName("c"), startOf(attempt("j", i), start), start, reports);
    owner.startHeldTasks(service, start, out);
    owner.drain(start, reports);
    owner.accept(NodeName("c"), startOf(attempt("j", 9), start), start, reports);
    ASSERT_EQ(reports.size(), 3U);
    for (const AddressedReport &item : reports)
        EXPECT_EQ(item.report.status, AttemptStatus::NotStarted);
    EXPECT_EQ(owner.runningAttemptCount(), 2U);
    EXPECT_TRUE(owner.slotsReportedTo(NodeName("c"), start).empty());
}

TEST(SpeedProfile, SlowSlotsAreUsedWhenEnoughTasksWait)
{
    SpeedProfile profile;
    profile.add({ { .speed = 8.0F, .slots = 10 }, { .speed = 2.0F, .slots = 10 } });
    EXPECT_TRUE(profile.isWorthTaking(8.0, 1));
    EXPECT_FALSE(profile.isWorthTaking(2.0, 1));
    EXPECT_TRUE(profile.isWorthTaking(2.0, 100));
}

TEST(Coordinator, QuotaSharesOfEntryNodesAddUpExactly)
{
    const auto rules = RuleSet::parse("quota team=t tasks=10 # test\n");
    std::uint32_t total = 0;
    for (std::uint32_t index = 0; index < 3; ++index) {
        CoordinatorOptions options;
        options.self = { .node = NodeName("e"), .incarnation = 1 };
        options.admission.entryIndex = index;
        options.admission.entryCount = 3;
        JournalClientOptions journals;
        journals.groups = { { .domain = DomainName("a"), .members = { NodeName("j") } } };
        Coordinator coordinator(options, journals);
        coordinator.applyRules(*rules);
        JobRequest request;
        request.id = JobId(DomainName("a"), start, "q");
        request.service = service;
        request.team = TeamName("t");
        request.repeatability = Repeatability::Repeatable;
        request.deadline = start + 60s;
        request.payloads.assign(50, "1");
        DispatchOutbox out;
        coordinator.submit({ .token = 1, .request = request }, 0, start, out);
        std::vector<TaskStart> starts;
        while (coordinator.mostUrgentJob(service))
            coordinator.place(request.id, NodeName("e"), 1, start, starts, out);
        total += coordinator.placedOf(TeamName("t"));
    }
    EXPECT_EQ(total, 10U);
}

TEST(Coordinator, BurstsAreRefusedAndQueuesStayBounded)
{
    CoordinatorOptions options;
    options.self = { .node = NodeName("e"), .incarnation = 1 };
    options.admission.maxWaitingTasks = 100;
    JournalClientOptions journals;
    journals.groups = { { .domain = DomainName("a"), .members = { NodeName("j") } } };
    Coordinator coordinator(options, journals);
    DispatchOutbox out;
    for (int i = 0; i < 5000; ++i) {
        JobRequest request;
        request.id = JobId(DomainName("a"), start, "b" + std::to_string(i));
        request.service = service;
        request.repeatability
            = i % 2 == 0 ? Repeatability::Repeatable : Repeatability::NotRepeatable;
        request.deadline = start + 60s;
        request.payloads.assign(10, "1");
        coordinator.submit({ .token = static_cast<std::uint64_t>(i) + 1, .request = request }, 0,
                           start, out);
    }
    EXPECT_LE(coordinator.waitingTaskCount(), 110U);
    EXPECT_LE(coordinator.jobCount(), 11U + options.maxPendingRefusals);
    // Without confirmation by the journal, no job that is not repeatable may be reported as not
    // run.
    for (const CallerAnswer &answer : out.answers)
        for (const TaskOutcome &task : answer.answer.tasks)
            EXPECT_NE(task.fate, TaskFate::NotRun);
}

TEST(Coordinator, TeamOverItsQuotaDoesNotBlockOtherTeams)
{
    CoordinatorOptions options;
    options.self = { .node = NodeName("e"), .incarnation = 1 };
    JournalClientOptions journals;
    journals.groups = { { .domain = DomainName("a"), .members = { NodeName("j") } } };
    Coordinator coordinator(options, journals);
    coordinator.applyRules(*RuleSet::parse("quota team=greedy tasks=5 # test\n"
                                           "quota team=none tasks=0 # test\n"));
    DispatchOutbox out;
    const auto submit = [&](const std::string &team, int number) {
        JobRequest request;
        request.id = JobId(DomainName("a"), start, team + std::to_string(number));
        request.service = service;
        request.team = TeamName(team);
        request.repeatability = Repeatability::Repeatable;
        request.deadline = start + 60s;
        request.payloads.assign(10, "1");
        coordinator.submit({ .token = 1, .request = request }, 0, start, out);
    };
    for (int i = 0; i < 200; ++i)
        submit("greedy", i);
    EXPECT_LE(coordinator.waitingTaskCount(), 30U);
    submit("none", 0);
    EXPECT_EQ(out.answers.back().answer.reason, JobReason::QuotaExceeded);
    const std::size_t refused = out.answers.size();
    for (int i = 0; i < 20; ++i)
        submit("modest", i);
    EXPECT_EQ(out.answers.size(), refused);
}

TEST(Coordinator, ReportsNoTaskAsNotRunWithoutTheJournal)
{
    CoordinatorOptions options;
    options.self = { .node = NodeName("e"), .incarnation = 1 };
    JournalClientOptions journals;
    journals.groups = { { .domain = DomainName("a"), .members = { NodeName("j") } } };
    Coordinator coordinator(options, journals);
    JobRequest request;
    request.id = JobId(DomainName("a"), start, "n");
    request.service = service;
    request.deadline = start + 60s;
    request.payloads.assign(30, "1");
    DispatchOutbox out;
    coordinator.submit({ .token = 1, .request = request }, 0, start, out);
    ASSERT_EQ(out.toJournals.size(), 1U);
    const JournalReply opened
        = { .status = JournalStatus::Opened, .epoch = 1, .recordedStarts = { 0 } };
    coordinator.receive({ .request = out.toJournals[0].request.request, .reply = opened }, start,
                        out);
    std::vector<TaskStart> starts;
    coordinator.place(request.id, NodeName("e"), 1, start, starts, out);
    coordinator.cancel(request.id, start + 1s, out);
    EXPECT_TRUE(out.answers.empty());
    coordinator.tick(start + 20s, out);
    ASSERT_EQ(out.answers.size(), 1U);
    for (const TaskOutcome &task : out.answers[0].answer.tasks)
        EXPECT_EQ(task.fate, TaskFate::MayHaveRun);
}

TEST(Dispatcher, QueriesPeersOnlyWhenPlacementStalls)
{
    DispatcherOptions options;
    options.coordinator.self = { .node = NodeName("e1"), .incarnation = 1 };
    options.peers.ownDomain = DomainName("a");
    options.peers.peers = { { .node = NodeName("e2"), .domain = DomainName("a") } };
    options.journals.groups = { { .domain = DomainName("a"), .members = { NodeName("j") } } };
    Dispatcher dispatcher(options);
    const PeerMessage peerMessage
        = { .from = NodeName("e2"), .incarnation = 5, .receiverIncarnation = 1 };
    DispatchOutbox initialOut;
    dispatcher.receive(peerMessage, start, initialOut);
    const auto messagesBetween = [&](TimePoint from, TimePoint to) {
        DispatchOutbox out;
        for (TimePoint now = from; now < to; now += 10ms)
            dispatcher.tick(now, out);
        return out.toPeers.size();
    };
    EXPECT_EQ(messagesBetween(start + 1s, start + 3s), 0U);
    JobRequest request;
    request.id = JobId(DomainName("a"), start, "s");
    request.service = service;
    request.repeatability = Repeatability::Repeatable;
    request.deadline = start + 60s;
    request.payloads = { "1" };
    DispatchOutbox out;
    dispatcher.submit({ .token = 1, .request = request }, start + 3s, out);
    EXPECT_EQ(messagesBetween(start + 3s, start + 3200ms), 1U);
}

TEST(RetryBudget, RetriesAreLimitedToAShareOfFirstAttempts)
{
    RetryBudget budget(0.1);
    int retries = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.recordFirstAttempt();
        if (budget.allowsRetry()) {
            budget.spendRetry();
            ++retries;
        }
    }
    EXPECT_LE(retries, 1'000 + 10);
    RetryBudget none(0.0);
    none.recordFirstAttempt();
    EXPECT_FALSE(none.allowsRetry());
}

} // namespace
