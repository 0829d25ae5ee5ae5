#include "Hibiscus/src/Fleet/FleetOwner.h"

namespace Hibiscus {

void FleetOwner::setEvacuatedDomains(const std::set<DomainName> &domains, TimePoint now)
{
    this->evacuatedTargets.setDomains(domains, now);
    this->returnEvacuatedRuns(now);
}

// As in returnQueuedRuns(), a run that waits for another attempt at its task stays.
void FleetOwner::returnEvacuatedRuns(TimePoint now)
{
    if (!this->evacuatedTargets.isAnyEvacuated())
        return;
    for (auto &[name, run] : this->runs) {
        const bool isReturned = run.stage == Stage::Queued && this->hasOnlyEvacuatedTargets(run)
            && !this->isTaskRunning(name);
        if (!isReturned)
            continue;
        endRun(run, RunEndKind::Returned, now);
        ++this->counts.evacuated;
    }
}

bool FleetOwner::hasOnlyEvacuatedTargets(const HeldRun &run) const
{
    bool hasTargets = false;
    for (const auto &[name, driver] : this->drivers) {
        const LeasedTarget &target = driver.target();
        const bool canRun = target.service == run.request.service
            && target.capacity.covers(run.request.demand)
            && satisfies(target.labels, run.request.requiredLabel);
        if (canRun && !this->evacuatedTargets.isEvacuated(target.domain))
            return false;
        hasTargets = hasTargets || canRun;
    }
    return hasTargets;
}

} // namespace Hibiscus
