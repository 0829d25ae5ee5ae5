#pragma once

#include "Hibiscus/src/Fleet/FleetCoordinator.h"
#include "Hibiscus/src/Fleet/FleetOwner.h"
#include "Hibiscus/src/Fleet/OwnerFence.h"
#include "Hibiscus/src/Fleet/PeerSelection.h"

#include <deque>

namespace Hibiscus {

/** \brief Identity and timing of a FleetNode. */
struct FleetNodeOptions
{
    NodeName self;
    std::uint64_t incarnation = 0; ///< at the start of the process
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the VM relative to the others
    std::string targetsAddress; ///< IP:port where targets send heartbeats
    FleetCoordinatorOptions coordinator;
    FleetOwnerOptions owner;
    OwnerFenceOptions fence;
    JobHoldsOptions holds;
    std::uint32_t selectedPeerCount = 5; ///< selected peers, if there are enough
    /** \brief At least this many of them are in other failure domains. */
    std::uint32_t minOtherDomainPeers = 2;
    /** \brief Interval of messages on a link with runs; three fit in confirmationLifetime. */
    Duration activeMessageInterval = 190ms;
    /** \brief Interval of messages on an idle link; two fit in confirmationLifetime. */
    Duration idleMessageInterval = 290ms;
    Duration reportInterval = 100ms; ///< minimum interval of changed reports to a peer
    /** \brief Time that a peer counts as listed after a directory list with it; the time of two
     * lists and more.
     */
    Duration listingLifetime = 1200ms;
    Duration linkTimeout = 2s; ///< a peer without messages for longer has no link any more
    /** \brief A peer that has not acknowledged a message sent within it gets no tasks, and its runs
     * are not started.
     */
    Duration confirmationLifetime = 600ms;
    /** \brief Time after which the runs of a silent peer are stopped. Together with the time that a
     * stop takes it is shorter than the time after which callers send a job again over a new
     * connection.
     */
    Duration peerSilenceTimeout = 800ms;
    /** \brief A longer time between two steps is a stall of this node: its state may be outdated.
     */
    Duration stallThreshold = 500ms;
    /** \brief A peer that neither sent a message nor was listed for longer is removed. */
    Duration peerRemovalTimeout = 10s;
    /** \brief A peer that neither sent a message nor was listed for longer is not asked for a job:
     * a peer that is gone for good must not keep callers without an answer. Its own jobs have
     * reached their deadline by then, as long as routes allow less than this time.
     */
    Duration askedPeerLifetime = 2500ms;
    Duration idleConnectionTimeout = 5s; ///< a connection without messages for longer is closed
    Duration newPeerDelay = 2s; ///< a new peer gets targets only after it
    /** \brief Heartbeats and transfers that arrive within it after a stall may have waited
     * meanwhile, so no target is taken over by them.
     */
    Duration staleInputTime = 300ms;
    /** \brief Time for which an announcement that a target leaves is kept, and compared with what
     * arrives later; older messages of the target may exist as long as a node may stall.
     */
    Duration departureLifetime = 60s;
};

/** \brief Message for another entry node. */
struct AddressedFleetMessage
{
    NodeName to;
    FleetMessage message;

    auto operator<=>(const AddressedFleetMessage &other) const = default;
};

/** \brief What this node was told of a target's state by a heartbeat or another node, or told
 * another node, for the log.
 */
struct TargetStateRecord
{
    std::string event; ///< such as "leaving", "handed-over", "received"
    TargetName target;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< of the heartbeat that the state is from
    TargetState state = TargetState::Ready;
    NodeName peer; ///< the other node, if any
    std::string outcome; ///< such as "adopted", "updated", "not-owned", "ignored"

    auto operator<=>(const TargetStateRecord &other) const = default;
};

/** \brief An announcement of a held job, for one peer. */
struct AddressedJobHold
{
    NodeName to;
    JobHold hold;

    auto operator<=>(const AddressedJobHold &other) const = default;
};

/** \brief Output of a step of a FleetNode for its process. */
struct FleetOutbox
{
    std::vector<TargetOrder> orders;
    std::vector<AddressedFleetMessage> messages;
    std::vector<JobOutcome> outcomes;
    std::vector<TargetChange> targetChanges;
    std::vector<TargetStateRecord> targetStates;
    std::vector<UnsuccessfulRun> unsuccessfulRuns;
    std::vector<AttemptRecord> attempts;
    std::vector<ForeignRun> foreignRuns;
    std::vector<ForecastRecord> forecasts;
    std::vector<FenceRecord> fences;
    std::vector<JobHold> holds; ///< to be sent to all peers that may coordinate a job
    std::vector<AddressedJobHold> forwardedHolds; ///< for peers that have just started
    std::vector<NodeName> removedPeers; ///< peers removed after a long silence
    std::vector<NodeName> idlePeers; ///< peers whose connection may be closed for now
    std::optional<std::uint64_t> raisedIncarnation; ///< incarnation from now on, if it has changed
};

/** \brief Counters of messages between entry nodes, for metrics. */
struct FleetNodeCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t staleMessages = 0; ///< not newer than the last message received
    std::uint64_t stalls = 0; ///< stalls of this node
    std::uint64_t fencedForPeers = 0; ///< targets of lost peers that were fenced
};

/** \brief Entry node: coordinates transient jobs, owns targets, and offers their free capacity to
 * some of its peers.
 *
 * Two nodes have a link, and exchange messages, while one has selected the other for its reports of
 * free capacity or has runs there. A node selects a fixed number of peers, so its cost for messages
 * depends on its own work and not on the number of nodes. The selected peers are also its
 * guardians: they know its targets, and fence them if it is lost (see OwnerFence).
 *
 * Its input is events and the current time, its output orders and messages; it uses no socket,
 * clock or thread. After any number of events, flush() returns the resulting output.
 *
 * \sa FleetCoordinator, FleetOwner
 */
class FleetNode
{
public:
    explicit FleetNode(const FleetNodeOptions &options);

    // Commands.
    void submit(const TransientJob &job, const RoutePolicy &policy, std::uint64_t caller,
                TimePoint now);
    void removeCaller(std::uint64_t caller, TimePoint now);
    /** \sa FleetCoordinator::cancelJob() */
    bool cancelJob(const std::string &job, TimePoint now);
    /** \returns the peers that may coordinate a job: also those that are no longer listed, for a
     * while, since they may only be cut off from the registry nodes. The process may send them
     * requests of its own; their connections are kept open for these.
     */
    std::vector<NodeName> peersToAsk(TimePoint now);
    /** \brief Handles the heartbeat of a target that this node owns or should own. */
    void handleHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now);
    void receive(const FleetMessage &message, TimePoint now);
    void receive(const JobHold &hold, TimePoint now);
    void handleStartResponse(const OrderAddress &from, const RunName &run,
                             const OrderResponse &response, TimePoint now);
    void handleStopResponse(const OrderAddress &from, const RunName &run,
                            const OrderResponse &response, TimePoint now);
    void handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                            const PollResponse &response, TimePoint now);
    /** \brief Continues with an incarnation above \a seen, which another node has seen of this one,
     * unless it is higher already.
     */
    void raiseIncarnation(std::uint64_t seen, TimePoint now);
    /** \brief Adds or updates \a peer from its directory record. */
    void updatePeer(const NodeRecord &peer, TimePoint now);
    /** \brief Starts no run on the targets of \a domains from now on, whoever hands them over. */
    void setEvacuatedDomains(const std::set<DomainName> &domains, TimePoint now);
    /** \brief Transfers targets as they become empty, and accepts only jobs that should be answered
     * by \a shutdownAt.
     */
    void drain(TimePoint shutdownAt);
    /** \brief Renews leases, and cancels the runs of silent peers. */
    void tick(TimePoint now);
    /** \brief Assigns tasks, starts runs and returns the orders and messages to send. */
    FleetOutbox flush(TimePoint now);

    // Queries.
    const FleetCoordinator &coordinator() const { return this->jobCoordinator; }
    const FleetOwner &owner() const { return this->targetOwner; }
    const FleetNodeCounters &counters() const { return this->counts; }
    /** \returns whether there was an event since the last flush(). */
    bool hasPendingOutput() const { return this->hasNewEvents; }
    /** \returns the address for the next heartbeats of \a target; empty if it is this node. */
    std::string heartbeatRedirectOf(const TargetName &target) const;
    /** \returns the node that \a target was transferred to, for its heartbeats that still arrive
     * here.
     */
    std::optional<NodeName> newOwnerOf(const TargetName &target) const;
    /** \returns whether this node acknowledges \a heartbeat. Only its owner may acknowledge that a
     * target leaves; without that the target reports to a registry node, which informs all nodes.
     */
    bool acknowledges(const TargetHeartbeat &heartbeat) const;
    bool isIdle() const;
    std::size_t livePeerCount(TimePoint now) const;
    /** \returns whether a list of nodes has arrived recently, so that all peers are known. */
    bool knowsAllPeers(TimePoint now) const
    {
        return now < this->listReceivedAt + this->options.listingLifetime;
    }
    /** \returns the peers of the own domain that have sent a message recently, whether or not the
     * directory lists them.
     */
    std::vector<NodeName> livePeersOfDomain(TimePoint now) const;

private:
    struct SentMessage
    {
        std::uint64_t sequence = 0;
        TimePoint sentAt;
        std::uint32_t startCount = 0;
    };

    /** \brief Latest version of a state of this node that was sent to a peer. */
    struct SentState
    {
        std::uint64_t version = 0; ///< 0: none
        std::uint64_t sequence = 0; ///< sequence number of the message with it
        TimePoint sentAt;
    };

    struct Peer
    {
        std::uint64_t incarnation = 0; ///< 0 until its first message
        std::uint64_t listedIncarnation = 0; ///< that of the newest record of it; 0: none
        DomainName domain;
        std::uint32_t weight = 1;
        std::string targetsAddress;
        bool isDraining = false;
        OwnerReport report;
        /** \brief Highest sequence number received from this incarnation. */
        std::uint64_t lastReceivedSequence = 0;
        std::deque<SentMessage> unacknowledged; ///< messages that are not acknowledged yet
        TimePoint confirmedAt; ///< send time of the latest acknowledged message
        TimePoint addedAt;
        TimePoint listedAt;
        TimePoint lastSeenAt;
        TimePoint sentAt;
        TimePoint askedAt; ///< latest request by the process itself
        SentState sentReport;
        SentState sentTargets; ///< the own targets, sent to a guardian
        /** \brief Highest sequence number that the peer has received. */
        std::uint64_t lastAcknowledgedSequence = 0;
        bool wantsReports = false; ///< whether its latest message requests reports
        bool isSelected = false; ///< whether this node requests its reports
        /** \brief Whether the peer may still take itself for a guardian of this node. */
        bool isDeselectionPending = false;
        std::uint64_t deselectionSequence = 0; ///< of the first message that tells it; 0: none
        bool isConnected = false;
        bool areRunsCancelled = false;
        bool hasPendingMessage = false;
        bool shouldRequestResponse = false; ///< whether the next message requests a response
        /** \brief Latest time to acknowledge the run ends that it reported. */
        std::optional<TimePoint> acknowledgeEndsAt;
        std::vector<RunRequest> runRequests;
        std::vector<LeasedTarget> transferredTargets;
        std::vector<TargetSpeed> transferredSpeeds;
    };

    /** \brief Transfer of a target to another owner. */
    struct TargetTransfer
    {
        NodeName owner;
        std::string address; ///< IP:port of the new owner for heartbeats
        TimePoint transferredAt;
    };

    /** \brief Announcement of a target that it leaves. */
    struct Departure
    {
        LeasedTarget heartbeat;
        bool isLeaving = false; ///< whether the target has announced its shutdown
        TimePoint receivedAt;
    };

    /** \brief Runs that this node wants at its peers and runs that it has for them, at one time. */
    struct RunsByPeer
    {
        std::map<NodeName, std::vector<RunName>> wantedRuns;
        std::map<NodeName, std::vector<RunName>> withdrawnRuns;
        std::map<Requester, RequesterState> requesters;
    };

    /** \brief Has the next messages to \a owners sent at once. */
    void notifyOwners(const std::set<NodeName> &owners);
    /** \brief Records an event, and invalidates contacts if the node stalled before it. */
    void beginEvent(TimePoint now);
    /** \returns whether \a peer has acknowledged a message that was sent recently. */
    bool isConfirmed(const Peer &peer, TimePoint now) const;
    /** \returns the latest time at which \a requester is known to have wanted its runs, if a run
     * may be started for it.
     */
    std::optional<TimePoint> lastContact(const Requester &requester, TimePoint now) const;
    /** \brief Forgets what is known of former incarnations of the sender. */
    void beginIncarnation(Peer &peer, const FleetMessage &message, TimePoint now);
    void handleAcknowledgement(Peer &peer, const FleetMessage &message);
    void handleWantedRuns(Peer &peer, const FleetMessage &message, TimePoint now);
    void assignTasks(TimePoint now);
    void returnQueuedRuns(TimePoint now);
    /** \brief Ends the own runs of jobs that were cancelled or given up. */
    void endUnwantedLocalRuns(TimePoint now);
    void deliverLocalRunEnds(TimePoint now);
    void transferTargets(TimePoint now);
    void recordDeparture(const TargetHeartbeat &heartbeat, TimePoint now);
    /** \returns \a target, unless a later state of it is known: then that. */
    LeasedTarget latestState(const LeasedTarget &target) const;
    bool hasShutDown(const LeasedTarget &target) const;
    /** \returns whether what arrives \a now may have waited while this node was stalled. */
    bool isInputStale(TimePoint now) const
    {
        return now < this->lastStallAt + this->options.staleInputTime;
    }
    void adoptTransferred(const LeasedTarget &target, const NodeName &from, TimePoint now);
    void recordState(std::string event, const LeasedTarget &target, const NodeName &peer,
                     std::string outcome);
    void recordTransfer(const TargetName &target, const NodeName &owner, TimePoint now);
    /** \returns whether \a target was transferred to a peer that should still own it. */
    bool isTransferred(const TargetName &target, TimePoint now) const;
    /** \returns the node that should own \a target, of \a domain, if it is another than this. */
    std::optional<NodeName> preferredOwner(const TargetName &target, const DomainName &domain,
                                           TimePoint now) const;
    std::vector<OwnerView> ownerViews(TimePoint now) const;
    Peer &findOrAddPeer(const NodeName &name, TimePoint now);
    void selectPeers(TimePoint now);
    void handleDeselected(const NodeName &name);
    /** \returns whether the directory lists \a peer, or it has sent an acknowledgement recently. */
    bool isListed(const Peer &peer, TimePoint now) const;
    bool hasLink(const Peer &peer, TimePoint now) const;
    /** \returns the state of the runs that this node has for \a peer, if there are any. */
    static const RequesterState *runsFor(const Peer &peer, const NodeName &name,
                                         const RunsByPeer &runsByPeer);
    bool isMessageDue(const Peer &peer, const NodeName &name, const RunsByPeer &runsByPeer,
                      TimePoint now) const;
    void refreshReport(TimePoint now);
    void refreshDrivenTargets(TimePoint now);
    /** \returns whether \a peer lacks the \a latest version of the state in \a sent, or the message
     * with it seems lost.
     */
    static bool lacksState(const Peer &peer, const SentState &sent, std::uint64_t latest,
                           TimePoint now);
    /** \brief Records what \a message says of its sender's targets, if this node guards them. */
    void guard(const FleetMessage &message, TimePoint now);
    void fenceLostOwners(TimePoint now);
    /** \brief Holds the jobs that have ended with runs at owners that are lost. */
    void holdAbandonedJobs(TimePoint now);
    /** \returns the peer \a node if \a incarnation is its present one, else nullptr. */
    const Peer *findPeer(const NodeName &node, std::uint64_t incarnation) const;
    /** \returns whether \a start, which is not known as uncertain any more, has no effect. */
    bool isVoid(const UncertainStart &start, TimePoint now) const;
    /** \returns whether \a target has accepted a higher fencing token than \a token from this node
     * or one whose reports it gets, and has no run of another owner left.
     */
    bool hasFenced(const TargetName &target, std::uint64_t token) const;
    /** \brief Announces the jobs whose starts may still be executed. \sa JobHolds */
    void announceHolds(TimePoint now);
    FleetMessage composeMessage(const NodeName &to, Peer &peer, const RunsByPeer &runsByPeer,
                                TimePoint now);
    void sendMessages(TimePoint now, FleetOutbox &out);
    /** \brief Identity of this node for its own runs, also when its incarnation is raised. */
    Requester self() const
    {
        return { .node = this->options.self, .incarnation = this->options.incarnation };
    }

    FleetNodeOptions options;
    std::uint64_t currentIncarnation; ///< the one at the start, or a raised one
    std::optional<std::uint64_t> raisedIncarnation; ///< for the next output
    FleetCoordinator jobCoordinator;
    FleetOwner targetOwner;
    PeerSelection selection;
    OwnerFence ownerFence;
    JobHolds jobHolds;
    std::vector<JobHold> announcedHolds; ///< for the next output
    std::vector<AddressedJobHold> forwardedHolds; ///< for the next output
    std::vector<JobOutcome> heldOutcomes; ///< of jobs that must not be started, for the next output
    TimePoint holdsCheckedAt;
    TimePoint listReceivedAt; ///< time of the latest list of nodes
    std::vector<DrivenTarget> drivenTargets; ///< own targets, as reported to guardians
    std::uint64_t targetsVersion = 0;
    /** \brief Version since which only tokens have changed; they may wait for the next message. */
    std::uint64_t urgentTargetsVersion = 0;
    OwnerReport report; ///< state of the own targets, as reported to peers
    std::uint64_t reportVersion = 0;
    TimePoint reportRefreshedAt;
    std::map<NodeName, Peer> peers;
    /** \brief Sequence number of the latest message to any peer. A peer that was removed may know
     * this incarnation, so the numbers don't start again with it.
     */
    std::uint64_t lastSentSequence = 0;
    /** \brief Runs that a peer wants here but that are unknown here. */
    std::map<NodeName, std::vector<RunEnd>> unknownRuns;
    std::map<TargetName, TargetTransfer> transfers;
    std::map<TargetName, Departure> departures;
    std::vector<TargetStateRecord> targetStates;
    FleetNodeCounters counts;
    TimePoint lastStepAt;
    TimePoint lastStallAt; ///< time at which the latest stall was noticed
    TimePoint transfersCheckedAt;
    TimePoint peersSelectedAt;
    bool isDraining = false;
    bool hasNewEvents = false;
};

} // namespace Hibiscus
