#pragma once

#include "Hibiscus/src/Dispatch/Coordinator.h"
#include "Hibiscus/src/Dispatch/PeerTable.h"
#include "Hibiscus/src/Dispatch/SlotOwner.h"

namespace Hibiscus {

/** \brief The settings of a Dispatcher. */
struct DispatcherOptions
{
    CoordinatorOptions coordinator;
    SlotOwnerOptions owner;
    PeerTableOptions peers;
    JournalClientOptions journals;
    Duration probeSweepInterval = 250ms;
    Duration starvingAfter = 60ms; ///< without a place for a waiting task the peers are asked
    Duration starvingInterval = 500ms; ///< between two such rounds
};

/** \brief Messages between entry nodes, by what they were for. */
struct PeerCounters
{
    std::uint64_t startMessages = 0; ///< carried starts
    std::uint64_t reportMessages = 0; ///< carried reports and no starts
    std::uint64_t offers = 0;

    std::uint64_t probes = 0; ///< probes and their answers
    std::uint64_t cancellations = 0;
    std::uint64_t staleMessages = 0; ///< from or for another life of a node
};

/** \brief An entry node: coordinates the jobs of its callers, owns targets, and shares their slots
 * with its peers.
 *
 * Events and the present time come in, messages go out; there is no socket, clock or thread.
 *
 * \sa Coordinator, SlotOwner, PeerTable
 */
class Dispatcher
{
public:
    explicit Dispatcher(const DispatcherOptions &options);

    // Commands.
    void submit(const Submission &submission, TimePoint now, DispatchOutbox &out);
    void cancel(const JobId &id, TimePoint now, DispatchOutbox &out);
    void lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out);
    /** \brief Takes or renews a target's lease, unless betterOwner() names another node: then the
     * target gets nothing more from this one.
     */
    void announce(const AnnouncementRequest &request, TimePoint now, DispatchOutbox &out);
    void finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out);
    void receive(const PeerMessage &message, TimePoint now, DispatchOutbox &out);
    void receive(const JournalResponse &answer, TimePoint now, DispatchOutbox &out);
    /** \brief Takes note that messages to \a peer may have been lost. */
    void handleBrokenLink(const NodeName &peer, TimePoint now, DispatchOutbox &out);
    void applyRules(const RuleSet &rules, TimePoint now, DispatchOutbox &out);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Takes no new jobs and no starts of peers, hands back what has not started, and tells
     * the peers. What is in progress goes on.
     */
    void drain(TimePoint now, DispatchOutbox &out);

    // Queries.
    const Coordinator &coordinator() const { return this->coordinating; }
    const SlotOwner &owner() const { return this->owning; }
    const PeerTable &peers() const { return this->peerTable; }
    const PeerCounters &counters() const { return this->counts; }
    /** \returns whether nothing is in progress, so that the process may stop. */
    bool isIdle() const;
    /** \returns the node that the target of \a request should turn to instead of this one. Only a
     * target without an owner, or whose owner is draining, is sent elsewhere, so that leases do not
     * move to and fro.
     */
    std::optional<NodeName> betterOwner(const AnnouncementRequest &request, TimePoint now) const;
    bool isDraining() const { return this->coordinating.isDraining(); }

private:
    void settle(TimePoint now, DispatchOutbox &out);
    void pump(TimePoint now, DispatchOutbox &out);
    void pumpService(const ServiceName &service, TimePoint now, DispatchOutbox &out);
    /** \brief Gives the fastest own free slot to the most urgent that should not wait longer. */
    bool useOwnSlot(const ServiceName &service, const SpeedProfile &profile, const FreeSlot &slot,
                    TimePoint now, DispatchOutbox &out);
    bool usePeerSlot(const ServiceName &service, const SpeedProfile &profile, TimePoint now,
                     DispatchOutbox &out);
    void placeFastest(const ServiceName &service, const JobId &job, const FreeSlot &own,
                      TimePoint now, DispatchOutbox &out);
    std::optional<JobId> jobFor(const ServiceName &service, const SpeedProfile &profile,
                                double speed, TimePoint now) const;
    SpeedProfile profileOf(const ServiceName &service, TimePoint now) const;
    void placeAtPeer(const ServiceName &service, const JobId &job, const PeerSlot &slot,
                     TimePoint now, DispatchOutbox &out);
    void offerTo(const NodeName &peer, const ServiceName &service, TimePoint now);
    void deliver(const std::vector<OwnedReport> &reports, TimePoint now, DispatchOutbox &out);
    void sendProbes(TimePoint now);
    void askWhenStarving(TimePoint now);
    void flush(TimePoint now, DispatchOutbox &out);
    void count(const PeerMessage &message);
    PeerMessage &draftTo(const NodeName &peer) { return this->drafts[peer]; }
    std::uint32_t visibleSlots(const ServiceName &service, TimePoint now) const;

    DispatcherOptions options;
    Coordinator coordinating;
    SlotOwner owning;
    PeerTable peerTable;
    RuleSet rules;
    std::map<NodeName, PeerMessage> drafts;

    PeerCounters counts;
    TimePoint probesSweptAt;
    TimePoint progressAt; ///< when a task was last placed, or none waited
    TimePoint starvingAskedAt;
};

} // namespace Hibiscus
