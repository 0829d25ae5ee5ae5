#include "Hibiscus/src/Fleet/EvacuatedTargets.h"

namespace Hibiscus {

namespace internal {

/** \brief Time for which a target counts as cold that has sent no heartbeat since its domain is no
 * longer evacuated: some intervals of heartbeats.
 */
constexpr Duration unknownWarmUp = 5s;

} // namespace internal

void EvacuatedTargets::setDomains(const std::set<DomainName> &evacuated, TimePoint now)
{
    if (this->domains)
        for (const DomainName &domain : *this->domains)
            this->regainedAt.try_emplace(domain, now);
    for (const DomainName &domain : evacuated)
        this->regainedAt.erase(domain);
    this->domains = evacuated;
}

void EvacuatedTargets::recordHeartbeat(const LeasedTarget &target, TimePoint now)
{
    TargetRecord &record = this->targets[target.name];
    record.heartbeatAt = now;
    record.warmUp.update(target.coldRemaining, now);
}

// Cold targets of other domains were added or replaced one by one, and their number is small.
Capacity EvacuatedTargets::usableCapacity(const LeasedTarget &target, const Capacity &free,
                                          TimePoint now) const
{
    const auto regained = this->regainedAt.find(target.domain);
    if (regained == this->regainedAt.end())
        return free;
    const auto found = this->targets.find(target.name);
    if (found != this->targets.end() && found->second.heartbeatAt > regained->second)
        return found->second.warmUp.usable(free, target.capacity, now);
    WarmUp unknown;
    unknown.update(internal::unknownWarmUp, regained->second);
    return unknown.usable(free, target.capacity, now);
}

} // namespace Hibiscus
