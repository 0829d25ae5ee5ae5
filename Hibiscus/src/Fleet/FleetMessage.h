#pragma once

#include "Hibiscus/src/Fleet/DrivenTarget.h"
#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/Run.h"
#include "Hibiscus/src/Fleet/TargetSpeed.h"

#include <map>
#include <optional>

namespace Hibiscus {

/** \brief State of a target as its owner reports it to the other entry nodes. */
struct OwnedTarget
{
    TargetName name;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;
    ServiceName service;
    std::vector<std::string> labels;
    Capacity capacity;
    Capacity free;
    double slowness = 1; ///< learned ratio of run time to the caller's estimate
    bool acceptsWork = false;
    /** \brief Whether it would accept work if its failure domain were not evacuated. While its
     * owner does not know that, it neither accepts work nor is it withheld.
     */
    bool isWithheld = false;
    bool isReconciled = false; ///< no run of a previous owner is left on it

    /** \returns whether it offers \a wantedService and has \a label; an empty label matches all. */
    bool matches(const ServiceName &wantedService, const std::string &label) const
    {
        return this->service == wantedService && satisfies(this->labels, label);
    }

    /** \returns the expected run time on it of a task with the predicted time \a estimate. */
    Duration expectedRunTime(Duration estimate) const
    {
        return fromSeconds(this->slowness * toSeconds(estimate));
    }

    auto operator<=>(const OwnedTarget &other) const = default;
    HIBISCUS_FIELDS(name, incarnation, fencingToken, service, labels, capacity, free, slowness,
                    acceptsWork, isWithheld, isReconciled)
};

/** \brief Snapshot of an owner's targets and queue. */
struct OwnerReport
{
    std::vector<OwnedTarget> targets;
    std::uint32_t queued = 0; ///< tasks that wait at the owner for free capacity
    /** \brief Their demand in thousandths of a core times seconds, by priority. */
    std::map<std::uint32_t, std::int64_t> queuedWork;

    auto operator<=>(const OwnerReport &other) const = default;
    HIBISCUS_FIELDS(targets, queued, queuedWork)
};

/** \brief Deducts the demand of \a request in \a report from a target that can meet its deadline.
 * \returns whether there was such a target with enough free capacity.
 */
bool reserveCapacity(OwnerReport &report, const RunRequest &request, const RunBounds &bounds,
                     TimePoint now);

/** \brief Message between entry nodes, as coordinators of jobs and owners of targets.
 *
 * Each message lists in full the runs that its sender still wants and the run ends that the
 * receiver has not acknowledged, so the next message makes up for a lost one. A message whose
 * sequence number is not higher than the last one from the same incarnation of its sender is
 * ignored, so a run request that has been overtaken never takes effect.
 */
struct FleetMessage
{
    NodeName from;
    /** \brief Incarnation of the sender; grows with each start of its process. */
    std::uint64_t incarnation = 0;
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the sender's VM relative to the others
    std::string targetsAddress; ///< IP:port where targets send heartbeats to the sender
    std::uint64_t sequence = 0; ///< grows with the sender's messages
    std::uint64_t receiverIncarnation = 0; ///< 0 until a message of the receiver has arrived
    std::uint64_t acknowledgedSequence = 0; ///< highest sequence number received from the receiver
    bool isDraining = false;
    /** \brief Whether the receiver should send its reports; it is then a guardian of the sender. */
    bool wantsReports = false;
    bool requestsResponse = false; ///< whether the receiver should respond at once
    std::optional<OwnerReport> report; ///< absent if nothing has changed
    /** \brief All targets of the sender, for a guardian; absent if nothing has changed. */
    std::optional<std::vector<DrivenTarget>> drivenTargets;
    std::vector<RunRequest> runRequests;
    std::map<std::string, SharedText> specs; ///< those of runRequests, by job: it has one for all
    std::vector<RunName> wantedRuns; ///< all runs that the sender wants at the receiver
    std::vector<RunEnd> runEnds; ///< each is repeated until the receiver no longer wants the run
    std::vector<LeasedTarget> transferredTargets; ///< targets that the receiver owns from now on
    /** \brief Wanted runs whose job is given up: the receiver ends them and reports how. */
    std::vector<RunName> withdrawnRuns;
    /** \brief Runs of the receiver that may have started, and that the sender is stopping. */
    std::vector<RunName> stoppingRuns;
    std::vector<TargetSpeed> transferredSpeeds; ///< what the sender has learned of them
    /** \brief Runs of the receiver whose starts the sender's targets have confirmed. */
    std::vector<RunName> begunRuns;

    auto operator<=>(const FleetMessage &other) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->from, this->incarnation, this->domain, this->weight, this->targetsAddress,
                this->sequence, this->receiverIncarnation, this->acknowledgedSequence,
                this->isDraining, this->wantsReports, this->requestsResponse, this->report,
                this->drivenTargets, this->runRequests, this->specs, this->wantedRuns,
                this->runEnds, this->transferredTargets, this->withdrawnRuns, this->stoppingRuns,
                this->transferredSpeeds);
        serializeAddedField(archive, this->begunRuns);
    }
};

/** \brief Heartbeat of a target, forwarded to the entry node that should own it. */
struct TargetHeartbeat
{
    LeasedTarget target;
    bool isLeaving = false; ///< whether the target has announced its shutdown

    auto operator<=>(const TargetHeartbeat &other) const = default;
    HIBISCUS_FIELDS(target, isLeaving)
};

} // namespace Hibiscus
