#include "Hibiscus/src/Membership/KnownDomains.h"

namespace Hibiscus {

void KnownDomains::record(const DomainName &domain)
{
    if (domain.isEmpty() || this->recorded.size() >= this->options.maxRecorded)
        return;
    this->recorded.insert(domain);
}

DomainStatus KnownDomains::statusOf(const DomainName &domain, TimePoint now) const
{
    if (this->configured.contains(domain) || this->recorded.contains(domain))
        return DomainStatus::Known;
    const bool isDiscovering = now < this->startedAt + this->options.discoveryTime;
    return isDiscovering ? DomainStatus::NotKnownYet : DomainStatus::Unknown;
}

} // namespace Hibiscus
