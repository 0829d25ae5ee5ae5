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
    Duration probeSweepInterval = 250ms; ///< interval between checks for due probes and dead peers
    Duration placementStallTimeout = 60ms; ///< time without placements until peers are queried
    Duration slotQueryInterval = 500ms; ///< minimum interval between these queries
};

/** \brief Counters of messages between entry nodes, by purpose. */
struct PeerCounters
{
    std::uint64_t startMessages = 0; ///< sent messages with starts
    std::uint64_t reportMessages = 0; ///< sent messages with reports and no starts
    std::uint64_t offers = 0;
    std::uint64_t probes = 0; ///< probes and their replies
    std::uint64_t cancellations = 0;
    std::uint64_t staleMessages = 0; ///< received from or for an older incarnation of a node
};

/** \brief The logic of an entry node: coordinates the jobs of its callers, owns targets, and shares
 * their slots with its peers.
 *
 * Each call takes an event and the current time, and appends the messages to send to a
 * DispatchOutbox. The class uses no socket, clock or thread.
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
    /** \brief Takes or renews a target's lease. If betterOwner() names another node, this node
     * sends the target no more work.
     */
    void announce(const AnnouncementRequest &request, TimePoint now, DispatchOutbox &out);
    void finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out);
    void receive(const PeerMessage &message, TimePoint now, DispatchOutbox &out);
    void receive(const JournalResponse &response, TimePoint now, DispatchOutbox &out);
    /** \brief Probes the attempts at \a peer, since messages to it may have been lost. */
    void handleBrokenLink(const NodeName &peer, TimePoint now, DispatchOutbox &out);
    void applyRules(const RuleSet &rules, TimePoint now, DispatchOutbox &out);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Stops accepting jobs and starts of peers, returns the starts that still wait, and
     * informs the peers. Jobs and attempts in progress continue.
     */
    void drain(TimePoint now, DispatchOutbox &out);

    // Queries.
    const Coordinator &coordinator() const { return this->jobCoordinator; }
    const SlotOwner &owner() const { return this->targetOwner; }
    const PeerTable &peers() const { return this->peerTable; }
    const PeerCounters &counters() const { return this->counts; }
    /** \returns whether nothing is in progress, so that the process may stop. */
    bool isIdle() const;
    /** \returns the node that should own the target of \a request instead of this one. Only a
     * target without an owner, or whose owner is draining, is redirected, so that leases do not
     * move back and forth.
     */
    std::optional<NodeName> betterOwner(const AnnouncementRequest &request, TimePoint now) const;
    bool isDraining() const { return this->jobCoordinator.isDraining(); }

private:
    void placeAndSend(TimePoint now, DispatchOutbox &out);
    void placeTasks(TimePoint now, DispatchOutbox &out);
    void placeTasksOf(const ServiceName &service, TimePoint now, DispatchOutbox &out);
    /** \brief Uses the fastest free slot of this node for the most urgent task that should not wait
     * for a faster one, either a task of an own job or, by an offer, one of a peer.
     */
    bool useOwnSlot(const ServiceName &service, const SpeedProfile &profile, const FreeSlot &slot,
                    TimePoint now, DispatchOutbox &out);
    bool usePeerSlot(const ServiceName &service, const SpeedProfile &profile, TimePoint now,
                     DispatchOutbox &out);
    void placeOnFastestSlot(const ServiceName &service, const JobId &job, const FreeSlot &own,
                            TimePoint now, DispatchOutbox &out);
    std::optional<JobId> jobForSlot(const ServiceName &service, const SpeedProfile &profile,
                                    double speed, TimePoint now) const;
    SpeedProfile speedProfileOf(const ServiceName &service, TimePoint now) const;
    void placeAtPeer(const ServiceName &service, const JobId &job, const PeerSlot &slot,
                     TimePoint now, DispatchOutbox &out);
    void offerSlot(const NodeName &peer, const ServiceName &service, TimePoint now);
    void routeReports(const std::vector<AddressedReport> &reports, TimePoint now,
                      DispatchOutbox &out);
    void draftProbes(TimePoint now);
    void querySlotsIfStalled(TimePoint now);
    void sendDrafts(TimePoint now, DispatchOutbox &out);
    void countMessage(const PeerMessage &message);
    PeerMessage &draftTo(const NodeName &peer) { return this->drafts[peer]; }
    std::uint32_t visibleSlots(const ServiceName &service, TimePoint now) const;

    DispatcherOptions options;
    Coordinator jobCoordinator;
    SlotOwner targetOwner;
    PeerTable peerTable;
    RuleSet rules;
    std::map<NodeName, PeerMessage> drafts;

    PeerCounters counts;
    TimePoint lastProbeSweepAt;
    TimePoint lastPlacementAt; ///< last time that a task was placed or none waited
    TimePoint slotsQueriedAt;
};

} // namespace Hibiscus
