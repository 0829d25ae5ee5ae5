#include "Hibiscus/src/Replication/DiskGuard.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace Hibiscus {

StoreOutcome DiskGuard::storeAndSend(ReplicaOutbox &out, const Environment &environment,
                                     TimePoint now)
{
    ReplicaOutbox step = std::exchange(out, {});
    std::ranges::move(step.writes, std::back_inserter(this->keptWrites));
    if (!this->isAvailable())
        return this->retry(environment, now);
    for (const ReplicaEnvelope &envelope : step.sendBeforeSync)
        environment.send(envelope);
    if (const auto stored = environment.store(this->keptWrites); !stored) {
        this->failedAt = now;
        this->retryAt = now + retryInterval;
        this->latestError = stored.error();
        return StoreOutcome::Failed;
    }
    for (const ReplicaEnvelope &envelope : step.sendAfterSync)
        environment.send(envelope);
    return StoreOutcome::Stored;
}

StoreOutcome DiskGuard::retry(const Environment &environment, TimePoint now)
{
    if (now < this->retryAt)
        return StoreOutcome::Waiting;
    if (const auto stored = environment.store(this->keptWrites); !stored) {
        this->retryAt = now + retryInterval;
        this->latestError = stored.error();
        return StoreOutcome::Waiting;
    }
    this->failedAt.reset();
    return StoreOutcome::Regained;
}

} // namespace Hibiscus
