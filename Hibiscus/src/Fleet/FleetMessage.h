#pragma once

#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/Run.h"

#include <optional>

namespace Hibiscus {

/** \brief A target as its owner shows it to the other entry nodes. */
struct OwnedTarget
{
    TargetName name;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;
    ServiceName service;
    std::vector<std::string> labels;
    Capacity capacity;
    Capacity free;
    double slowness = 1; ///< learned run time over the caller's estimate, for targets of its kind
    bool acceptsWork = false;
    bool isReconciled = false; ///< no run of a former owner is left there

    /** \returns whether it is of \a wanted and has \a label; empty: any label. */
    bool serves(const ServiceName &wanted, const std::string &label) const
    {
        return this->service == wanted && satisfies(this->labels, label);
    }

    /** \returns how long a task that is estimated to take \a estimate is expected to run there. */
    Duration expected(Duration estimate) const
    {
        return fromSeconds(this->slowness * toSeconds(estimate));
    }

    auto operator<=>(const OwnedTarget &other) const = default;
    HIBISCUS_FIELDS(name, incarnation, fencingToken, service, labels, capacity, free, slowness,
                    acceptsWork, isReconciled)
};

/** \brief All that an owner shows of its targets at one time. */
struct OwnerReport
{
    std::vector<OwnedTarget> targets;
    std::uint32_t queued = 0; ///< tasks that wait at the owner for room
    std::int64_t queuedWork = 0; ///< what they need, in thousandths of a core times seconds

    auto operator<=>(const OwnerReport &other) const = default;
    HIBISCUS_FIELDS(targets, queued, queuedWork)
};

/** \brief Takes room for \a request out of \a report, on a target that may end it in time.
 * \returns whether there was any.
 */
bool reserveCapacity(OwnerReport &report, const RunRequest &request, const RunBounds &bounds,
                     TimePoint now);

/** \brief What an entry node says to another one, as coordinator of jobs and owner of targets.
 *
 * Each message states in full which runs its sender still wants, and which ends it has to tell, so
 * a lost message is made up for by the next one. A message that is not newer than the last one
 * from the same life of its sender is ignored, so a start that was not taken is never taken later.
 */
struct FleetMessage
{
    NodeName from;
    std::uint64_t incarnation = 0; ///< of the sender; grows with each start of its process
    DomainName domain;
    std::uint32_t weight = 1;
    std::string targetsAddress; ///< IP:port for heartbeats of targets
    std::uint64_t sequence = 0; ///< counts the sender's messages to this addressee
    std::uint64_t receiverIncarnation = 0; ///< 0 until the addressee was heard
    std::uint64_t echo = 0; ///< highest sequence that was taken from the addressee
    bool isDraining = false;
    bool watches = false; ///< whether the sender wants the addressee's reports
    bool asksAnswer = false; ///< whether the sender wants to know that the addressee is there
    std::optional<OwnerReport> report; ///< left out when nothing has changed
    std::vector<RunRequest> starts;
    std::vector<RunName> wanted; ///< every run that the sender wants at the addressee
    std::vector<RunEnd> ends; ///< each is told until the addressee does not want the run any more
    std::vector<LeasedTarget>
        transferredTargets; ///< targets that the addressee is to own from now on

    auto operator<=>(const FleetMessage &other) const = default;
    HIBISCUS_FIELDS(from, incarnation, domain, weight, targetsAddress, sequence,
                    receiverIncarnation, echo, isDraining, watches, asksAnswer, report, starts,
                    wanted, ends, transferredTargets)
};

/** \brief The heartbeat of a target, passed on to the entry node that should own it. */
struct TargetHeartbeat
{
    LeasedTarget target;
    bool isLeaving = false; ///< the target has said that it ends

    auto operator<=>(const TargetHeartbeat &other) const = default;
    HIBISCUS_FIELDS(target, isLeaving)
};

} // namespace Hibiscus
