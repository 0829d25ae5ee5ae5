#pragma once

#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/WarmUp.h"

#include <map>
#include <optional>
#include <set>

namespace Hibiscus {

/** \brief What an owner may start on its targets, as far as failure domains are evacuated, or were
 * until recently.
 */
class EvacuatedTargets
{
public:
    /** \brief Nothing may be started before the first setDomains(), if \a awaitsDomains. */
    explicit EvacuatedTargets(bool awaitsDomains)
    {
        if (!awaitsDomains)
            this->domains.emplace();
    }

    // Commands.
    void setDomains(const std::set<DomainName> &evacuated, TimePoint now);
    /** \brief Records the heartbeat of an own target. */
    void recordHeartbeat(const LeasedTarget &target, TimePoint now);
    void removeTarget(const TargetName &target) { this->targets.erase(target); }

    // Queries.
    bool mayStartOn(const DomainName &domain) const
    {
        return this->domains && !this->domains->contains(domain);
    }
    bool isEvacuated(const DomainName &domain) const
    {
        return this->domains && this->domains->contains(domain);
    }
    bool isAnyEvacuated() const { return this->domains && !this->domains->empty(); }
    /** \returns what may be used of the \a free capacity of \a target. */
    Capacity usableCapacity(const LeasedTarget &target, const Capacity &free, TimePoint now) const;

private:
    struct TargetRecord
    {
        TimePoint heartbeatAt;
        WarmUp warmUp;
    };

    std::optional<std::set<DomainName>> domains; ///< the evacuated ones; no value: not known yet
    /** \brief Domains that were evacuated in the life of this node, and since when they no longer
     * are.
     */
    std::map<DomainName, TimePoint> regainedAt;
    std::map<TargetName, TargetRecord> targets; ///< own targets of which a heartbeat has arrived
};

} // namespace Hibiscus
