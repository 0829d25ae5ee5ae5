#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint startTime(1'800'000'000s);
const UncertainStart start
    = { .run = { .job = "j", .attempt = 1 }, .target = TargetName("t"), .unansweredAt = startTime };

bool ownsAll(const UncertainStart &)
{
    return true;
}

bool ownsNone(const UncertainStart &)
{
    return false;
}

// Guards against two runs of a task: a job is sent again to another node, while a start of its
// first attempt is on its way to a target that is cut off.
TEST(JobHolds, JobIsHeldAtAllNodesUntilItsStartCanHaveNoEffect)
{
    JobHolds owner({}, NodeName("a"));
    JobHolds other({}, NodeName("b"));
    const std::vector<JobHold> holds = owner.update({ start }, ownsAll, startTime);
    ASSERT_EQ(holds.size(), 1U);
    other.receive(holds[0], startTime);
    for (const JobHolds *node : { &owner, &other }) {
        EXPECT_TRUE(node->isHeld("j", startTime + 1s));
        EXPECT_FALSE(node->isHeld("k", startTime + 1s));
    }
    EXPECT_TRUE(owner.update({ start }, ownsAll, startTime + 500ms).empty());
    const std::vector<JobHold> releases = owner.update({}, ownsAll, startTime + 600ms);
    ASSERT_EQ(releases.size(), 1U);
    other.receive(releases[0], startTime + 600ms);
    for (const JobHolds *node : { &owner, &other })
        EXPECT_FALSE(node->isHeld("j", startTime + 600ms));
}

// An owner that has given the target up learns nothing more of it, so only the time decides.
TEST(JobHolds, StartAtATargetThatWasGivenUpIsHeldUntilItCanNoLongerBeExecuted)
{
    JobHolds owner({}, NodeName("a"));
    JobHolds late({}, NodeName("b"));
    owner.update({ start }, ownsAll, startTime);
    const std::vector<JobHold> repeated = owner.update({}, ownsNone, startTime + 5s);
    ASSERT_EQ(repeated.size(), 1U);
    late.receive(repeated[0], startTime + 5s);
    const Duration lateness = JobHoldsOptions {}.maxLateness;
    for (JobHolds *node : { &owner, &late }) {
        EXPECT_TRUE(node->isHeld("j", startTime + lateness - 1ms));
        EXPECT_FALSE(node->isHeld("j", startTime + lateness));
    }
    owner.update({}, ownsNone, startTime + lateness);
    EXPECT_EQ(owner.size(), 0U);
}

TEST(JobHolds, HoldsOfSeveralNodesAreIndependent)
{
    JobHolds node({}, NodeName("a"));
    node.receive({ .from = NodeName("b"), .job = "j", .span = 5s }, startTime);
    node.receive({ .from = NodeName("c"), .job = "j", .span = 5s }, startTime);
    node.receive({ .from = NodeName("b"), .job = "j" }, startTime);
    EXPECT_TRUE(node.isHeld("j", startTime));
    node.receive({ .from = NodeName("c"), .job = "j" }, startTime);
    EXPECT_FALSE(node.isHeld("j", startTime));
    EXPECT_EQ(node.size(), 0U);
}

// Guards against memory that grows with announcements.
TEST(JobHolds, NumberAndTimeOfHoldsAreBounded)
{
    JobHolds node({ .maxHolds = 2 }, NodeName("a"));
    for (const char *job : { "j", "k", "l" })
        node.receive({ .from = NodeName("b"), .job = job, .span = 1h }, startTime);
    EXPECT_EQ(node.size(), 2U);
    EXPECT_FALSE(node.isHeld("j", startTime + JobHoldsOptions {}.maxLateness));
    node.receive({ .from = NodeName("b"), .job = "m", .span = 1s }, startTime + 20s);
    EXPECT_EQ(node.size(), 1U);
}

// Guards against two runs of a task: the node that has announced the hold is gone, and the job is
// sent again to one that has started since.
TEST(JobHolds, NodeThatStartsIsToldOfTheHoldsOfOthers)
{
    FleetNode node({ .self = NodeName("a"), .domain = DomainName("d") });
    NodeRecord record
        = { .node = NodeName("c"), .incarnation = 5, .domain = DomainName("d"), .weight = 1 };
    node.updatePeer(record, startTime);
    const JobHold hold = { .from = NodeName("b"), .job = "j", .span = 5s };
    node.receive(hold, startTime);
    node.updatePeer(record, startTime + 1s);
    EXPECT_TRUE(node.flush(startTime + 1s).forwardedHolds.empty()) << "it has heard of it";
    record.incarnation = 6;
    node.updatePeer(record, startTime + 2s);
    const std::vector<AddressedJobHold> forwarded = node.flush(startTime + 2s).forwardedHolds;
    ASSERT_EQ(forwarded.size(), 1U);
    EXPECT_EQ(forwarded[0].to, record.node);
    EXPECT_EQ(forwarded[0].hold.from, hold.from);
    EXPECT_EQ(forwarded[0].hold.span, 3s);
    record.incarnation = 7;
    node.updatePeer(record, startTime + 6s);
    EXPECT_TRUE(node.flush(startTime + 6s).forwardedHolds.empty()) << "it is over";
}

TEST(JobHolds, HeldJobIsAnsweredAsUnfinishedAndNotStarted)
{
    FleetNodeOptions options;
    options.self = NodeName("a");
    options.domain = DomainName("d");
    FleetNode node(options);
    node.receive(JobHold { .from = NodeName("b"), .job = "j", .span = 5s }, startTime);
    node.submit({ .id = "j" }, {}, 7, startTime);
    const FleetOutbox out = node.flush(startTime);
    ASSERT_EQ(out.outcomes.size(), 1U);
    EXPECT_EQ(out.outcomes[0].status, TransientJobStatus::Unfinished);
    EXPECT_EQ(out.outcomes[0].reason, OutcomeReason::StartUncertain);
    EXPECT_EQ(node.coordinator().jobCount(), 0U);
}

// Guards against two runs of a task: only an owner that is out of touch knows whether it has sent a
// start, and the job is sent again after its deadline.
TEST(JobHolds, JobThatEndedWithARunAtALostOwnerIsHeldEverywhere)
{
    constexpr std::uint64_t nodeIncarnation = 3;
    TimePoint now = startTime;
    FleetNode node(
        { .self = NodeName("a"), .incarnation = nodeIncarnation, .domain = DomainName("d") });
    FleetMessage report = { .from = NodeName("b"), .incarnation = 1, .domain = DomainName("d") };
    OwnedTarget target = { .name = TargetName("t"), .service = ServiceName("s") };
    target.capacity = { .cpu = 64'000 };
    target.free = target.capacity;
    target.acceptsWork = true;
    report.report = OwnerReport { .targets = { target } };
    node.updatePeer({ .node = report.from, .incarnation = 1, .domain = report.domain, .weight = 1 },
                    now);
    std::uint64_t lastSent = 0;
    const auto exchange = [&] {
        report.receiverIncarnation = nodeIncarnation;
        report.acknowledgedSequence = lastSent;
        ++report.sequence;
        node.receive(report, now);
        node.tick(now);
        FleetOutbox out = node.flush(now);
        for (const AddressedFleetMessage &item : out.messages)
            lastSent = item.message.sequence;
        now += 50ms;
        return out;
    };
    for (int i = 0; i < 10; ++i)
        exchange();
    const JobStep step = { .demand = { .cpu = 27'000 }, .estimate = 60ms };
    node.submit({ .id = "j", .steps = { step } },
                { .service = ServiceName("s"), .untilDeadline = 2500ms }, 7, now);
    exchange();
    ASSERT_EQ(node.coordinator().ownersOf("j").size(), 1U);
    std::vector<JobHold> holds;
    for (const TimePoint end = now + 4s; now < end; now += 50ms) {
        node.tick(now);
        for (const JobHold &hold : node.flush(now).holds)
            holds.push_back(hold);
    }
    ASSERT_EQ(node.coordinator().jobCount(), 0U);
    ASSERT_FALSE(holds.empty());
    EXPECT_EQ(holds[0].job, "j");
    node.submit({ .id = "j", .steps = { step } },
                { .service = ServiceName("s"), .untilDeadline = 1500ms }, 8, now);
    const std::vector<JobOutcome> outcomes = node.flush(now).outcomes;
    ASSERT_EQ(outcomes.size(), 1U);
    EXPECT_EQ(outcomes[0].reason, OutcomeReason::StartUncertain);
    // The owner is back in touch, and announces by itself what it finds uncertain.
    bool isReleased = false;
    for (int i = 0; i < 60; ++i)
        for (const JobHold &hold : exchange().holds)
            isReleased = isReleased || hold.span == Duration();
    EXPECT_TRUE(isReleased);
}

} // namespace
