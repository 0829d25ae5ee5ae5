#pragma once

#include "Hibiscus/src/Dispatch/TargetPool.h"

#include <deque>
#include <optional>

namespace Hibiscus {

/** \brief The report of an ended attempt with the coordinator that receives it. */
struct AddressedReport
{
    NodeName coordinator;
    TaskReport report;

    auto operator<=>(const AddressedReport &other) const = default;
};

/** \brief Timing of an owner of targets. */
struct SlotOwnerOptions
{
    TargetPoolOptions pool;
    Duration offerLifetime = 20ms; ///< time that an offered slot is reserved for its peer
    Duration reportLifetime = 30s; ///< minimum time that an outcome is kept for probes
};

/** \brief Owns the targets of an entry node and starts tasks on them.
 *
 * Starts come from this node's own coordinator and from peers. A start without a free slot is held
 * until one is free. Each attempt is started at most once, even if messages are duplicated.
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
    /** \brief Holds \a start of \a coordinator for a free slot; duplicates are ignored. */
    void accept(const NodeName &coordinator, const TaskStart &start, TimePoint now,
                std::vector<AddressedReport> &reports);
    /** \brief Starts held tasks of \a service while there are free slots. */
    void startHeldTasks(const ServiceName &service, TimePoint now, DispatchOutbox &out);
    /** \brief Ends an attempt with the outcome reported by its target or the connection to it. */
    void finish(const TaskReport &report, TimePoint now, std::vector<AddressedReport> &reports);
    /** \brief Reports the outcome of an attempt, if it has one. An attempt whose start has not
     * arrived is reported as not started and is never started later.
     */
    void answerProbe(const NodeName &coordinator, const AttemptProbe &probe, TimePoint now,
                     std::vector<AddressedReport> &reports);
    void cancel(const AttemptId &attempt, TimePoint now, std::vector<AddressedReport> &reports);
    /** \brief Returns the held starts of peers and accepts no more of them. */
    void drain(TimePoint now, std::vector<AddressedReport> &reports);
    /** \brief Reserves a slot of \a service for \a peer for a short time. */
    void offer(const NodeName &peer, const ServiceName &service, TimePoint now);
    void tick(TimePoint now, DispatchOutbox &out, std::vector<AddressedReport> &reports);

    // Queries.
    const TargetPool &targets() const { return this->pool; }
    /** \returns at most \a maxCount free slots that are not reserved by offers or held starts. */
    std::vector<FreeSlot> freeSlots(const ServiceName &service, std::size_t maxCount,
                                    TimePoint now) const;
    /** \returns the slots to report to \a peer, including those offered to it. */
    std::vector<ServiceSlots> slotsReportedTo(const NodeName &peer, TimePoint now) const;
    /** \returns the urgency of the most urgent held start of \a service. */
    std::optional<Urgency> heldUrgency(const ServiceName &service) const;
    std::size_t heldStartCount() const { return this->held.size(); }
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
        TimePoint expiresAt;
        std::optional<TaskReport> report; ///< set once the attempt has ended
    };

    struct Offer
    {
        NodeName peer;
        ServiceName service;
        TimePoint expiresAt;
    };

    using HeldStartKey = std::pair<Urgency, AttemptId>;

    void start(const HeldStart &held, const TargetName &target, TimePoint now, DispatchOutbox &out);
    void report(const NodeName &coordinator, const TaskReport &report, TimePoint now,
                std::vector<AddressedReport> &reports);
    void removeExpiredOffers(TimePoint now);

    SlotOwnerOptions options;
    NodeName self;
    TargetPool pool;
    std::map<HeldStartKey, HeldStart> held;
    std::map<AttemptId, RunningAttempt> running;
    std::map<AttemptId, SeenAttempt> seenAttempts;
    std::vector<Offer> offers;
    std::uint64_t usedOfferTotal = 0;
    bool draining = false;
    TimePoint lastSweepAt;
};

} // namespace Hibiscus
