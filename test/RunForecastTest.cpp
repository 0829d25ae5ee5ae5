#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

constexpr Duration usualTime = 800ms; ///< estimate of each task

/** \returns the forecast of a run of \a total, of which lists arrive each 100 ms until \a elapsed.
 */
RunForecast forecastAt(Duration elapsed, Duration total)
{
    RunForecast forecast;
    for (Duration at = 100ms; at <= elapsed; at += 100ms)
        forecast.addProgress(at, static_cast<std::uint32_t>(100 * at / total));
    return forecast;
}

AssessedRun assessedRun(const RunForecast &forecast)
{
    const TimePoint startedAt(1'800'000'000s);
    return { .bounds = { .objectiveAt = startedAt + 1300ms, .deadlineAt = startedAt + 1500ms },
             .startedAt = startedAt,
             .forecast = forecast,
             .expectedRunTime = usualTime,
             .expectedElsewhere = usualTime,
             .slownessElsewhere = 1 };
}

RunVerdict verdictOn(const AssessedRun &run)
{
    return assess(run, run.startedAt + run.forecast.elapsed());
}

TEST(RunForecast, CoarseProgressBoundsTheRunTime)
{
    for (const Duration total : { 700ms, 1300ms, 5600ms }) {
        const RunForecast forecast = forecastAt(500ms, total);
        EXPECT_LE(*forecast.shortestRunTime(), total);
        EXPECT_GE(*forecast.shortestRunTime(), total / 2);
        EXPECT_NEAR(toSeconds(*forecast.likelyRunTime()), toSeconds(total), toSeconds(total) / 10);
    }
}

// A target that was slow and is fast again may end a run in time in spite of its overall rate.
TEST(RunForecast, RecentRateCountsIfItIsHigher)
{
    RunForecast forecast;
    forecast.addProgress(400ms, 4);
    forecast.addProgress(500ms, 24);
    forecast.addProgress(600ms, 44);
    EXPECT_LE(*forecast.shortestRunTime(), 900ms);
}

// Tasks of 0.8 s of which some take 7 times as long: their callers' 1.5 s can't suffice.
TEST(RunForecast, TaskThatIsSevenTimesAsLongIsGivenUpAtHalfItsExpectedTime)
{
    EXPECT_EQ(verdictOn(assessedRun(forecastAt(500ms, 7 * usualTime))), RunVerdict::GiveUp);
    EXPECT_EQ(verdictOn(assessedRun(forecastAt(500ms, 1400ms))), RunVerdict::Continue);
}

// A pause of the target right after the start looks like a long task for some lists.
TEST(RunForecast, RunIsNotGivenUpForAPauseAtItsStart)
{
    RunForecast forecast;
    for (Duration at = 100ms; at <= 500ms; at += 100ms)
        forecast.addProgress(at, at <= 300ms ? 0 : static_cast<std::uint32_t>((at - 300ms) / 8ms));
    EXPECT_EQ(verdictOn(assessedRun(forecast)), RunVerdict::Continue);
}

TEST(RunForecast, OnlyRunsOfSlowTargetsAreMovedToSaveTime)
{
    AssessedRun run = assessedRun(forecastAt(200ms, 900ms));
    run.expectedRunTime = 100ms;
    run.expectedElsewhere = 100ms;
    EXPECT_EQ(verdictOn(run), RunVerdict::Continue);
    run.isTargetSlow = true;
    EXPECT_EQ(verdictOn(run), RunVerdict::RunElsewhere);
    run.slownessElsewhere.reset();
    EXPECT_EQ(verdictOn(run), RunVerdict::Continue);
}

// A long task that would miss its deadline on a slow target may meet it on a fast one.
TEST(RunForecast, LongTaskIsMovedIfAFastTargetEndsItInTime)
{
    AssessedRun run = assessedRun(forecastAt(500ms, 2200ms));
    EXPECT_EQ(verdictOn(run), RunVerdict::GiveUp);
    run.slownessElsewhere = 0.35;
    EXPECT_EQ(verdictOn(run), RunVerdict::RunElsewhere);
}

// Guards against a job that is given up for the only target of its owner, while other owners have
// usual ones.
TEST(RunForecast, RunOnTheOnlyTargetOfItsOwnerIsLeftToOtherOwnersIfThatIsSlow)
{
    AssessedRun run = assessedRun(forecastAt(500ms, 7 * usualTime));
    run.expectedRunTime = 900ms;
    run.slownessHere = 3;
    run.slownessElsewhere.reset();
    EXPECT_EQ(verdictOn(run), RunVerdict::GiveUp) << "the task is long by itself";
    run.isTargetSlow = true;
    EXPECT_EQ(verdictOn(run), RunVerdict::RunElsewhere);
    run.slownessHere = 1;
    EXPECT_EQ(verdictOn(run), RunVerdict::GiveUp) << "too late for any target";
}

/** \brief Owner of targets whose runs progress at a given speed; they respond at once. */
class TargetsFixture
{
public:
    explicit TargetsFixture(const std::vector<std::string> &names)
    {
        for (const std::string &name : names)
            this->targets[TargetName(name)] = {};
        this->sendHeartbeats();
        this->run(300ms);
    }

    void run(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end; this->now += 10ms) {
            if (this->now >= this->heartbeatAt + 1s)
                this->sendHeartbeats();
            this->endRuns();
            this->owner.tick([&](const Requester &) { return std::optional(this->now); },
                             this->now);
            for (const TargetOrder &order : this->owner.takeOrders())
                std::visit([&](const auto &item) { this->execute(item); }, order);
            for (const TargetChange &change : this->owner.takeChanges())
                this->changes.push_back(change.target.str() + " " + change.change);
            for (const RunEnd &end : this->owner.runEndsFor(this->requester))
                this->ends.try_emplace(end.run.job, end.kind, this->now - this->begin);
        }
    }

    void request(const std::string &job, Duration estimate, Duration runTime)
    {
        this->runTimes[job] = runTime;
        this->owner.requestRun({ .run = { .job = job, .attempt = 1 },
                                 .service = ServiceName("s"),
                                 .demand = { .cpu = 27'000 },
                                 .estimate = estimate,
                                 .untilObjective = 1300ms,
                                 .untilDeadline = 1500ms },
                               this->requester, this->now);
    }

    struct Target
    {
        double slowness = 1;
        std::optional<TimePoint> frozenSince; ///< its runs make no progress from then on
        std::map<RunName, TimePoint> running;
        std::vector<EndedRun> ended;
        std::uint64_t endCount = 0;
        std::uint32_t startCount = 0;
    };

    TimePoint now { 1'800'000'000s };
    TimePoint begin = now;
    FleetOwner owner { { .usesRunForecasts = true } };
    Requester requester { .node = NodeName("a"), .incarnation = 1 };
    std::map<TargetName, Target> targets;
    std::map<std::string, Duration> runTimes; ///< at usual speed, by job
    /** \brief End of the run of each job, and when it was known. */
    std::map<std::string, std::pair<RunEndKind, Duration>> ends;
    std::vector<std::string> changes;

private:
    std::int64_t clockMs() const { return 1 + toMilliseconds(this->now - this->begin); }

    void sendHeartbeats()
    {
        this->heartbeatAt = this->now;
        for (const auto &[name, target] : this->targets)
            this->owner.updateTarget({ .name = name,
                                       .incarnation = 1,
                                       .service = ServiceName("s"),
                                       .kind = "k",
                                       .capacity = { .cpu = 64'000 },
                                       .sequence = ++this->sequence,
                                       .clockMs = this->clockMs() },
                                     this->now);
    }

    void endRuns()
    {
        for (auto &entry : this->targets) {
            Target &target = entry.second;
            std::erase_if(target.running, [&](const auto &item) {
                const bool isDone = this->progress(target, item.first) >= fullProgress;
                if (isDone)
                    target.ended.push_back({ .number = ++target.endCount,
                                             .run = item.first,
                                             .end = TargetRunEnd::Completed });
                return isDone;
            });
        }
    }

    std::uint32_t progress(const Target &target, const RunName &run) const
    {
        const Duration elapsed = target.frozenSince.value_or(this->now) - target.running.at(run);
        const double share
            = toSeconds(elapsed) / (target.slowness * toSeconds(this->runTimes.at(run.job)));
        return std::min(static_cast<std::uint32_t>(fullProgress * share), fullProgress);
    }

    void execute(const StartOrder &order)
    {
        Target &target = this->targets.at(order.to.target);
        target.running[order.run] = this->now;
        ++target.startCount;
        this->owner.handleStartResponse(order.to, order.run,
                                        { .status = OrderStatus::Done, .clockMs = this->clockMs() },
                                        this->now);
    }

    void execute(const StopOrder &order)
    {
        Target &target = this->targets.at(order.to.target);
        if (target.running.erase(order.run) > 0)
            target.ended.push_back(
                { .number = ++target.endCount, .run = order.run, .end = TargetRunEnd::Stopped });
        this->owner.handleStopResponse(order.to, order.run,
                                       { .status = OrderStatus::Done, .clockMs = this->clockMs() },
                                       this->now);
    }

    void execute(const PollOrder &order)
    {
        Target &target = this->targets.at(order.to.target);
        PollResponse response
            = { .status = OrderStatus::Done, .clockMs = this->clockMs(), .ended = target.ended };
        for (const auto &[run, startedAt] : target.running) {
            response.running.push_back(run);
            response.progress[run] = this->progress(target, run);
        }
        this->owner.handlePollResponse(order.to, order.sentAt, response, this->now);
    }

    static constexpr std::uint32_t fullProgress = 100;
    TimePoint heartbeatAt;
    std::uint64_t sequence = 0;
};

// 3% of the tasks take 7 times as long by themselves. The caller's time is over after 1.5 s; then
// its other tasks have used their targets for nothing.
TEST(RunForecast, HopelessRunEndsLongBeforeItsDeadline)
{
    TargetsFixture fixture({ "t", "u" });
    const Duration requestedAt = fixture.now - fixture.begin;
    fixture.request("long", usualTime, 7 * usualTime);
    fixture.request("usual", usualTime, usualTime);
    fixture.run(1500ms);
    EXPECT_EQ(fixture.ends.at("long").first, RunEndKind::Hopeless);
    EXPECT_LE(fixture.ends.at("long").second - requestedAt, 600ms);
    EXPECT_EQ(fixture.ends.at("usual").first, RunEndKind::Completed);
    EXPECT_EQ(fixture.owner.counters().hopeless, 1U);
}

// Started again elsewhere, a task that is long by itself takes as long, and its work is lost.
TEST(RunForecast, LongTaskThatMeetsItsDeadlineIsNotStartedAgain)
{
    TargetsFixture fixture({ "t", "u" });
    fixture.request("long", 180ms, 7 * 180ms);
    fixture.run(1500ms);
    EXPECT_EQ(fixture.ends.at("long").first, RunEndKind::Completed);
    EXPECT_EQ(fixture.owner.counters().stragglers, 0U);
    EXPECT_EQ(fixture.owner.counters().spared, 1U);
}

// A target that has become slow gets no new work after two jobs were slow there, and runs that end
// earlier elsewhere leave it.
TEST(RunForecast, SlowTargetIsLeftOutAndTriedAgainAfterAPause)
{
    TargetsFixture fixture({ "t" });
    fixture.targets.at(TargetName("t")).slowness = 8;
    fixture.request("j1", 100ms, 100ms);
    fixture.request("j2", 100ms, 100ms);
    fixture.run(400ms);
    ASSERT_EQ(fixture.changes.back(), "t slow");
    fixture.request("j3", 100ms, 100ms);
    fixture.run(500ms);
    EXPECT_EQ(fixture.targets.at(TargetName("t")).startCount, 2U);
    fixture.run(400ms);
    fixture.request("j4", 100ms, 100ms);
    fixture.run(50ms);
    EXPECT_EQ(fixture.targets.at(TargetName("t")).startCount, 3U);
}

TEST(RunForecast, StalledRunIsStoppedToStartElsewhere)
{
    TargetsFixture fixture({ "t", "u" });
    fixture.request("j1", 300ms, 300ms);
    fixture.run(150ms);
    for (auto &[name, target] : fixture.targets)
        if (!target.running.empty())
            target.frozenSince = fixture.now;
    fixture.run(700ms);
    EXPECT_EQ(fixture.ends.at("j1").first, RunEndKind::Stopped);
    EXPECT_EQ(fixture.owner.counters().stragglers, 1U);
}

// A target that is transferred while it is slow goes on being slow.
TEST(RunForecast, SlownessIsHandedOverWithTheTarget)
{
    TargetsFixture fixture({ "t" });
    const TargetName name("t");
    fixture.targets.at(name).slowness = 8;
    fixture.request("j1", 100ms, 100ms);
    fixture.request("j2", 100ms, 100ms);
    fixture.run(1s);
    fixture.owner.releaseTarget(name);
    fixture.run(100ms);
    ASSERT_EQ(fixture.owner.takeReleasedTargets().size(), 1U);
    const auto speed = fixture.owner.takeReleasedSpeed(name);
    ASSERT_TRUE(speed);
    EXPECT_TRUE(speed->isSlow);
    TargetsFixture next({ "t" });
    next.targets.at(name).slowness = 8;
    next.owner.adoptSpeed(*speed);
    next.request("j3", 100ms, 100ms);
    next.run(500ms);
    EXPECT_EQ(next.changes.back(), "t slow") << "after one more slow run";
}

} // namespace
