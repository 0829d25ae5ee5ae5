// Decisions of a FleetOwner on runs by the progress that their targets list.

#include "Hibiscus/src/Fleet/FleetOwner.h"

#include <algorithm>

namespace Hibiscus {

// Paces come first: they tell whether a target is slow, on which the verdicts on its runs depend.
void FleetOwner::stopByForecast(TimePoint now)
{
    const auto forEachRun = [&](const auto &visit) {
        for (auto &[name, run] : this->runs) {
            const auto found = this->drivers.find(run.target);
            const bool isJudged = run.stage == Stage::OnTarget && !run.isStopping
                && run.verdict == RunVerdict::Continue && found != this->drivers.end()
                && found->second.listsProgress() && found->second.forecastOf(name) != nullptr;
            if (isJudged)
                visit(run, found->second, *found->second.forecastOf(name));
        }
    };
    forEachRun([&](HeldRun &run, TargetDriver &driver, const RunForecast &forecast) {
        const Duration expected
            = this->runTimes.expectedRunTime(driver.target(), run.request.estimate);
        this->recordPace(run, driver, paceOf(forecast, expected), now);
    });
    forEachRun([&](HeldRun &run, TargetDriver &driver, const RunForecast &) {
        const AssessedRun assessed = this->describeForAssessment(run, driver, now);
        this->applyVerdict(run, driver, assessed, assess(assessed, now), now);
    });
}

// A run that was slow remains so when its target's learned speed has changed in the meantime.
void FleetOwner::recordPace(HeldRun &run, TargetDriver &driver, RunPace pace, TimePoint now)
{
    if (pace == RunPace::Unknown || pace == run.pace || run.pace == RunPace::Slow)
        return;
    run.pace = pace;
    if (pace == RunPace::Usual) {
        driver.recordUsualRun();
        return;
    }
    driver.recordSlowRun(run.request.run.job, now);
    if (!driver.isSlow())
        return;
    ++this->counts.slowTargets;
    this->recordChange(driver, "slow");
}

// A run that is moved off a slow target may wait for a free one; a long task gains only where it
// starts at once. A later attempt that seems to stall may be a task that is far longer than
// estimated.
AssessedRun FleetOwner::describeForAssessment(const HeldRun &run, const TargetDriver &driver,
                                              TimePoint now) const
{
    const double slownessHere = this->runTimes.slowness(driver.target());
    AssessedRun assessed = { .bounds = run.bounds,
                             .startedAt = run.startedAt,
                             .forecast = *driver.forecastOf(run.request.run),
                             .expectedRunTime = this->runTimes.expectedRunTime(
                                 driver.target(), run.request.estimate),
                             .slownessHere = slownessHere };
    const bool hasStalledHere
        = run.request.run.attempt == 1 && hasStalled(assessed.forecast, assessed.expectedRunTime);
    assessed.isTargetSlow = driver.isSlow() || hasStalledHere;
    for (const auto &[name, other] : this->drivers) {
        const bool isCandidate = &other != &driver
            && (assessed.isTargetSlow ? this->couldRunOn(other, run, now) && !other.isSlow()
                                      : this->canRunOn(other, run, now));
        if (!isCandidate)
            continue;
        const double ratio = this->runTimes.slowness(other.target()) / slownessHere;
        assessed.slownessElsewhere = std::min(assessed.slownessElsewhere.value_or(ratio), ratio);
    }
    if (assessed.slownessElsewhere)
        assessed.expectedElsewhere
            = fromSeconds(*assessed.slownessElsewhere * toSeconds(assessed.expectedRunTime));
    return assessed;
}

void FleetOwner::applyVerdict(HeldRun &run, TargetDriver &driver, const AssessedRun &assessed,
                              RunVerdict verdict, TimePoint now)
{
    const bool isSpared = verdict == RunVerdict::Continue && run.pace == RunPace::Slow
        && assessed.forecast.elapsed() > this->stragglerBound(assessed.expectedRunTime);
    if (verdict == RunVerdict::Continue && (!isSpared || std::exchange(run.isSpared, true)))
        return;
    const Duration forecast = assessed.forecast.shortestRunTime().value_or(Duration());
    this->forecasts.push_back({ .run = run.request.run,
                                .target = driver.target().name,
                                .verdict = verdict,
                                .isTargetSlow = assessed.isTargetSlow,
                                .percent = assessed.forecast.percent(),
                                .elapsed = assessed.forecast.elapsed(),
                                .listAge = now - driver.lastContactAt(),
                                .expectedRunTime = assessed.expectedRunTime,
                                .forecastRunTime = forecast,
                                .untilDeadline = run.bounds.deadlineAt - now });
    if (verdict == RunVerdict::Continue) {
        ++this->counts.spared;
        return;
    }
    ++(verdict == RunVerdict::GiveUp ? this->counts.hopeless : this->counts.stragglers);
    run.verdict = verdict;
    if (assessed.isTargetSlow && !driver.isSlow()) {
        driver.recordStall(now);
        ++this->counts.slowTargets;
        this->recordChange(driver, "stalled");
    }
    const Duration likely = assessed.forecast.likelyRunTime().value_or(Duration());
    if (assessed.isTargetSlow)
        this->runTimes.addRunOnSlowTarget(driver.target(), run.request.estimate, likely);
    else
        run.forecastRunTime
            = fromSeconds(toSeconds(likely) / this->runTimes.slowness(driver.target()));
    driver.stop(run.request.run, now, this->out);
}

} // namespace Hibiscus
