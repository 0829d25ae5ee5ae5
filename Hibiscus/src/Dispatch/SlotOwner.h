#pragma once

#include "Hibiscus/src/Dispatch/TargetPool.h"

#include <deque>
#include <optional>

namespace Hibiscus {

/** \brief An ended attempt with the coordinator that is to be told. */
struct OwnedReport
{
    NodeName coordinator;
    TaskReport report;

    auto operator<=>(const OwnedReport &other) const = default;
};

/** \brief How an owner handles starts. */
struct SlotOwnerOptions
{
    TargetPoolOptions pool;
    Duration offerLifetime = 20ms; ///< how long an offered slot is kept for its peer
    Duration reportLifetime = 30s; ///< how long an ended attempt is remembered for probes
};

/** \brief The part of an entry node that owns targets and starts tasks on them.
 *
 * Starts come from this node's own coordinator and from peers. A start that finds no free slot
 * is held until one is free. Each attempt is started at most once, whatever arrives twice.
 */
class SlotOwner
{
public:
    SlotOwner(const SlotOwnerOptions &options, NodeName self)
        : options(options), self(std::move(self)), pool(options.pool)
    { }

    // Commands.
    void announce(const TargetAnnouncement &announcement, TimePoint now, DispatchOutbox &out);
    void setDrained(const std::set<TargetName> &drained) { this->pool.setDrained(drained); }
    /** \brief Takes \a start over from \a coordinator; a copy is ignored. */
    void accept(const NodeName &coordinator, const TaskStart &start, TimePoint now,
                std::vector<OwnedReport> &reports);
    /** \brief Starts held tasks of \a service while it has free slots. */
    void startHeld(const ServiceName &service, TimePoint now, DispatchOutbox &out);
    /** \brief Ends an attempt as its target, or the connection to it, reported. */
    void finish(const TaskReport &report, TimePoint now, std::vector<OwnedReport> &reports);
    /** \brief Says what became of an attempt; one that never arrived will never be started. */
    void answer(const NodeName &coordinator, const AttemptProbe &probe, TimePoint now,
                std::vector<OwnedReport> &reports);
    void cancel(const AttemptId &attempt, TimePoint now, std::vector<OwnedReport> &reports);
    /** \brief Hands back what peers sent and was not started, and takes no more from them. */
    void drain(TimePoint now, std::vector<OwnedReport> &reports);
    void offer(const NodeName &peer, const ServiceName &service, TimePoint now);
    void tick(TimePoint now, DispatchOutbox &out, std::vector<OwnedReport> &reports);

    // Queries.
    const TargetPool &targets() const { return this->pool; }
    /** \returns the free slots that are neither offered nor wanted by held starts. */
    std::vector<FreeSlot> freeSlots(const ServiceName &service, std::size_t most,
                                    TimePoint now) const;
    /** \returns what peer \a peer may be told of the free slots. */
    std::vector<ServiceSlots> slotsFor(const NodeName &peer, TimePoint now) const;
    std::optional<Urgency> heldUrgency(const ServiceName &service) const;
    std::size_t heldCount() const { return this->held.size(); }
    std::uint64_t usedOfferCount() const { return this->usedOfferTotal; }
    std::size_t runningAttemptCount() const { return this->running.size(); }

private:
    struct HeldStart
    {
        NodeName coordinator;
        TaskStart start;
    };

    struct RunningAttempt
    {
        NodeName coordinator;
        TargetName target;
        std::uint64_t leaseId = 0;
    };

    struct SeenAttempt
    {
        TimePoint forgetAt;
        std::optional<TaskReport> report; ///< set once the attempt has ended
    };

    struct Offer
    {
        NodeName peer;
        ServiceName service;
        TimePoint until;
    };

    using HeldKey = std::pair<Urgency, AttemptId>;

    void start(const HeldStart &held, const TargetName &target, TimePoint now, DispatchOutbox &out);
    void report(const NodeName &coordinator, const TaskReport &report, TimePoint now,
                std::vector<OwnedReport> &reports);
    void dropOffers(TimePoint now);

    SlotOwnerOptions options;
    NodeName self;
    TargetPool pool;
    std::map<HeldKey, HeldStart> held;
    std::map<AttemptId, RunningAttempt> running;
    std::map<AttemptId, SeenAttempt> seen;
    std::vector<Offer> offers;
    std::uint64_t usedOfferTotal = 0;
    bool draining = false;
    TimePoint sweptAt;
};

} // namespace Hibiscus
