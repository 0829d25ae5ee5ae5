#pragma once

#include "Hibiscus/src/Fleet/FleetCoordinator.h"
#include "Hibiscus/src/Fleet/FleetOwner.h"
#include "Hibiscus/src/Fleet/PeerSelection.h"

#include <deque>

namespace Hibiscus {

/** \brief The identity and timing of a FleetNode. */
struct FleetNodeOptions
{
    NodeName self;
    std::uint64_t incarnation = 0;
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the VM compared to the others
    std::string targetsAddress; ///< IP:port where targets send heartbeats
    FleetCoordinatorOptions coordinator;
    FleetOwnerOptions owner;
    std::uint32_t watchedPeers = 5; ///< whose room is known, if there are so many
    std::uint32_t farWatchedPeers = 2; ///< at least so many of them in other failure domains
    Duration beatInterval
        = 190ms; ///< between messages while runs are held; three in confirmLifetime
    Duration idleBeatInterval = 290ms; ///< between messages on another link; two in confirmLifetime
    Duration reportInterval = 100ms; ///< between reports of changed room to a peer
    Duration listedLifetime = 1200ms; ///< of a peer's place in the directory; two lists and more
    Duration linkLifetime = 2s; ///< a peer unheard for longer has no link any more
    /** \brief A peer that has echoed nothing sent within it gets no start and no task. */
    Duration confirmLifetime = 600ms;
    /** \brief After it the runs of a silent peer are stopped: with the time that a stop takes it
     * stays under the time after which callers send a job again over a new connection.
     */
    Duration dropAfter = 800ms;
    Duration stallThreshold
        = 500ms; ///< between two steps of this node: it stood still, and trusts nothing
    Duration forgetPeerAfter = 10s; ///< unheard for longer, and not listed any more
    Duration disconnectAfter = 5s; ///< a connection without a link for so long is closed
    Duration settleTime = 2s; ///< a new peer is given targets only after it
};

/** \brief A message for another entry node. */
struct AddressedFleetMessage
{
    NodeName to;
    FleetMessage message;

    auto operator<=>(const AddressedFleetMessage &other) const = default;
};

/** \brief What a step of a FleetNode asks of its process. */
struct FleetOutbox
{
    std::vector<TargetOrder> orders;
    std::vector<AddressedFleetMessage> messages;
    std::vector<JobOutcome> outcomes;
    std::vector<TargetChange> targetChanges;
    std::vector<UnsuccessfulRun> unsuccessfulRuns;
    std::vector<NodeName> removedPeers; ///< peers that are gone
    std::vector<NodeName> idlePeers; ///< peers that this node has nothing to say to for now
};

/** \brief Counts of messages between entry nodes, for metrics. */
struct FleetNodeCounters
{
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t staleMessages = 0; ///< not newer than what was known
    std::uint64_t stalls = 0; ///< times that this node found that it had stood still
};

/** \brief An entry node: coordinates transient jobs, owns targets, and shares their room with some
 * of its peers.
 *
 * Two nodes have a link, and exchange messages, while one watches the room of the other or has runs
 * there. A node watches a fixed number of peers, so what it spends on talk goes with its own work.
 *
 * Events and the present time come in, orders and messages go out; there is no socket, clock or
 * thread. After any number of events, flush() carries out what follows from them.
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
    /** \brief Takes the heartbeat of a target that this node owns or is to own. */
    void handleHeartbeat(const TargetHeartbeat &heartbeat, TimePoint now);
    void receive(const FleetMessage &message, TimePoint now);
    void handleStartResponse(const OrderAddress &from, const RunName &run,
                             const OrderResponse &answer, TimePoint now);
    void handleStopResponse(const OrderAddress &from, const RunName &run,
                            const OrderResponse &answer, TimePoint now);
    void handlePollResponse(const OrderAddress &from, TimePoint sentAt, const PollResponse &answer,
                            TimePoint now);
    /** \brief Knows \a peer from now on, as the directory names it. */
    void updatePeer(const NodeRecord &peer, TimePoint now);
    /** \brief Hands targets over as they become empty, and takes only jobs that should be answered
     * by \a endsAt.
     */
    void drain(TimePoint endsAt);
    /** \brief Renews what is due, and drops who is silent. */
    void tick(TimePoint now);
    /** \brief Places tasks, starts runs and sends messages. */
    FleetOutbox flush(TimePoint now);

    // Queries.
    const FleetCoordinator &coordinator() const { return this->coordinating; }
    const FleetOwner &owner() const { return this->owning; }
    const FleetNodeCounters &counters() const { return this->counts; }
    /** \returns whether anything has happened since the last flush(). */
    bool hasPendingOutput() const { return this->touched; }
    /** \returns where \a target should send its heartbeats instead; empty: to this node. */
    std::string heartbeatRedirectOf(const TargetName &target) const;
    bool isIdle() const;
    std::size_t livePeerCount(TimePoint now) const;

private:
    struct SentMark
    {
        std::uint64_t sequence = 0;
        TimePoint at;
        std::uint32_t starts = 0;
    };

    struct Peer
    {
        std::uint64_t incarnation = 0; ///< 0 until heard
        DomainName domain;
        std::uint32_t weight = 1;
        std::string targetsAddress;
        bool isDraining = false;
        OwnerReport report;
        std::uint64_t received = 0; ///< highest sequence taken from this life
        std::uint64_t sent = 0;
        std::deque<SentMark> unconfirmed; ///< messages that were not echoed yet
        TimePoint confirmedAt; ///< when the latest echoed message was sent
        TimePoint metAt;
        TimePoint listedAt;
        TimePoint heardAt;
        TimePoint sentAt;
        TimePoint reportedAt;
        std::uint64_t reportedVersion = 0; ///< 0: none
        std::uint64_t reportSequence = 0; ///< of the message that carried the latest report
        std::uint64_t echoed = 0; ///< highest sequence that the peer has taken
        bool watchesThis = false; ///< as it said last
        bool isConnected = false;
        bool isDropped = false;
        bool owesNews = false;
        bool isAsked = false; ///< the next message asks for an answer
        std::optional<TimePoint> acknowledgeAt; ///< ends that it told, at the latest
        std::vector<RunRequest> starts;
        std::vector<LeasedTarget> transferredTargets;
    };

    /** \brief A target that was handed to another owner. */
    struct TargetTransfer
    {
        NodeName owner;
        std::string address; ///< for its heartbeats
        TimePoint at;
    };

    /** \brief What this node wants of its peers and holds for them, at one time. */
    struct Demand
    {
        std::map<NodeName, std::vector<RunName>> wanted;
        std::map<Requester, RequesterState> held;
    };

    void noteTime(TimePoint now);
    bool isConfirmed(const Peer &peer, TimePoint now) const;
    bool isHeard(const Requester &requester, TimePoint now) const;
    void takeEcho(Peer &peer, const FleetMessage &message);
    void takeWanted(Peer &peer, const FleetMessage &message, TimePoint now);
    void placeTasks(TimePoint now);
    void returnWaiting(TimePoint now);
    void deliverOwnEnds(TimePoint now);
    void transferTargets(TimePoint now);
    void recordTransfer(const TargetName &target, const NodeName &owner, TimePoint now);
    /** \returns whether \a target was handed to a peer that should have it still. */
    bool isTransferred(const TargetName &target, TimePoint now) const;
    std::optional<NodeName> betterOwner(const TargetName &target, TimePoint now) const;
    std::vector<OwnerView> views(TimePoint now) const;
    Peer &peerNamed(const NodeName &name, TimePoint now);
    void choosePeers(TimePoint now);
    void noteUnwatched(const NodeName &name);
    /** \returns whether the directory names \a peer, or it has answered lately. */
    bool isListed(const Peer &peer, TimePoint now) const;
    bool hasLink(const Peer &peer, const NodeName &name, TimePoint now) const;
    bool isDue(const Peer &peer, const NodeName &name, const Demand &demand, TimePoint now) const;
    void refreshReport(TimePoint now);
    FleetMessage compose(const NodeName &to, Peer &peer, const Demand &demand, TimePoint now);
    void sendMessages(TimePoint now, FleetOutbox &out);
    Requester self() const
    {
        return { .node = this->options.self, .incarnation = this->options.incarnation };
    }

    FleetNodeOptions options;
    FleetCoordinator coordinating;
    FleetOwner owning;
    PeerSelection selection;
    OwnerReport report; ///< of the own targets, as told to peers
    std::uint64_t reportVersion = 0;
    TimePoint refreshedAt;
    std::map<NodeName, Peer> peers;
    std::map<NodeName, std::vector<RunEnd>> unknown; ///< wanted here, but not known here
    std::map<TargetName, TargetTransfer> transfers;
    FleetNodeCounters counts;
    TimePoint steppedAt;
    TimePoint passedOnAt;
    TimePoint choseAt;
    bool isDraining = false;
    bool touched = false;
};

} // namespace Hibiscus
