#include <Hibiscus/Journal>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint createdAt = TimePoint(std::chrono::hours(24 * 365 * 50));
const TimePoint now = createdAt + 1h;
const JobClaim first = { .coordinator = { .node = NodeName("e1"), .incarnation = 1 }, .number = 1 };
const JobClaim second
    = { .coordinator = { .node = NodeName("e2"), .incarnation = 1 }, .number = 1 };

JobId idAt(TimePoint issued)
{
    return JobId(DomainName("a"), issued, "x");
}

OpenJob openFor(const JobId &id, const JobClaim &claim)
{
    return {
        .id = id, .contentHash = 7, .taskCount = 3, .claim = claim, .firstStarts = { 0 }, .at = now
    };
}

TEST(Journal, OnlyOneClaimOpensAJobAndMayRepeatTheRequest)
{
    JournalState state(createdAt);
    const JobId id = idAt(now);
    EXPECT_EQ(state.apply(openFor(id, first)).status, JournalStatus::Opened);
    EXPECT_EQ(state.apply(openFor(id, first)).status, JournalStatus::Opened);
    EXPECT_EQ(state.apply(openFor(id, second)).status, JournalStatus::OpenElsewhere);
    // A new coordination by the same process, after it gave the job up, is another claim.
    JobClaim later = first;
    later.number = 2;
    EXPECT_EQ(state.apply(openFor(id, later)).status, JournalStatus::OpenElsewhere);
    OpenJob other = openFor(id, second);
    other.contentHash = 8;
    EXPECT_EQ(state.apply(other).status, JournalStatus::ContentDiffers);
}

TEST(Journal, TakeOverFencesThePreviousCoordinator)
{
    JournalState state(createdAt);
    const JobId id = idAt(now);
    const JournalReply opened = state.apply(openFor(id, first));
    const TakeOverJob takeOver
        = { .id = id, .contentHash = 7, .previousClaim = first, .claim = second };
    const JournalReply takenOver = state.apply(takeOver);
    EXPECT_EQ(takenOver.status, JournalStatus::Opened);
    EXPECT_GT(takenOver.epoch, opened.epoch);
    EXPECT_EQ(takenOver.recordedStarts, TaskIndices { 0 });
    const RecordStarts late = { .id = id, .epoch = opened.epoch, .starts = { 1 } };
    EXPECT_EQ(state.apply(late).status, JournalStatus::Fenced);
    // The new coordinator must not start a task whose start the previous one recorded.
    const RecordStarts again = { .id = id, .epoch = takenOver.epoch, .starts = { 0 } };
    EXPECT_EQ(state.apply(again).status, JournalStatus::Fenced);
    const RecordStarts next = { .id = id, .epoch = takenOver.epoch, .starts = { 1, 2 } };
    EXPECT_EQ(state.apply(next).status, JournalStatus::Recorded);
}

TEST(Journal, AnEndedJobRecordsNoStartAndKeepsItsFirstAnswer)
{
    JournalState state(createdAt);
    const JobId id = idAt(now);
    const JournalReply opened = state.apply(openFor(id, first));
    JobAnswer answer
        = JobAnswer::uniform(JobState::Failed, JobReason::Cancelled, 3, TaskFate::NotRun);
    answer.tasks[0].fate = TaskFate::Ran;
    const FinishJob finish = { .id = id, .epoch = opened.epoch, .answer = answer };
    EXPECT_EQ(state.apply(finish).status, JournalStatus::Finished);
    const RecordStarts late = { .id = id, .epoch = opened.epoch, .starts = { 1 } };
    EXPECT_EQ(state.apply(late).status, JournalStatus::Finished);
    FinishJob other = finish;
    other.answer.tasks[0].succeeded = true;
    EXPECT_EQ(*state.apply(other).answer, answer);
    EXPECT_EQ(*state.apply(openFor(id, second)).answer, answer);
}

TEST(Journal, AnswersThatContradictTheRecordAreFenced)
{
    JournalState state(createdAt);
    const JobId id = idAt(now);
    const JournalReply opened = state.apply(openFor(id, first));
    // Task 1 has no recorded start, so it cannot have run.
    JobAnswer answer
        = JobAnswer::uniform(JobState::Failed, JobReason::TaskFailed, 3, TaskFate::Ran);
    const FinishJob finish = { .id = id, .epoch = opened.epoch, .answer = answer };
    EXPECT_EQ(state.apply(finish).status, JournalStatus::Fenced);
}

TEST(Journal, ARefusedOrAbandonedJobNeverOpens)
{
    JournalState state(createdAt);
    const RefuseJob refuse = { .id = idAt(now), .contentHash = 7, .taskCount = 3, .at = now };
    EXPECT_EQ(state.apply(refuse).status, JournalStatus::Finished);
    EXPECT_EQ(state.apply(openFor(idAt(now), first)).status, JournalStatus::Finished);
    const JobId other = idAt(now + 1s);
    const AbandonJob abandon
        = { .id = other, .claim = first, .contentHash = 7, .taskCount = 3, .at = now };
    EXPECT_EQ(state.apply(abandon).status, JournalStatus::Finished);
    EXPECT_EQ(state.apply(openFor(other, first)).status, JournalStatus::Finished);
}

TEST(Journal, ExpiredAndUnknownOldIdsStayRefused)
{
    JournalState state(createdAt);
    EXPECT_EQ(state.apply(openFor(idAt(createdAt + 1s), first)).status, JournalStatus::UnknownPast);
    EXPECT_EQ(state.apply(openFor(idAt(now + 1min), first)).status, JournalStatus::Expired);
    const JobId id = idAt(now);
    state.apply(openFor(id, first));
    state.apply(ExpireJobs { .at = now + jobIdLifetime + 1min });
    EXPECT_EQ(state.size(), 0U);
    // The id stays refused even if the clock of a later leader is behind.
    EXPECT_EQ(state.apply(openFor(id, second)).status, JournalStatus::Expired);
}

TEST(Journal, SnapshotRestoresTheWholeState)
{
    JournalState state(createdAt);
    for (int i = 0; i < 50; ++i)
        state.apply(openFor(idAt(now + std::chrono::milliseconds(i)), first));
    JournalState copy;
    copy.restore(state.save());
    EXPECT_EQ(copy.jobs(), state.jobs());
    EXPECT_EQ(copy.creationTime(), createdAt);
}

} // namespace
