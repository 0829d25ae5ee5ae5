#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"
#include "Hibiscus/src/Dispatch/OwnerChoice.h"

#include <deque>
#include <map>

namespace Hibiscus {

/** \brief Another entry node, as listed in the settings. */
struct PeerAddress
{
    NodeName node;
    DomainName domain;
    std::uint32_t weight = 1; ///< relative size of its VM

    auto operator<=>(const PeerAddress &other) const = default;
};

/** \brief Peers, the weights of their slots compared to own ones, and lifetimes of reported state.
 */
struct PeerTableOptions
{
    DomainName ownDomain;
    std::vector<PeerAddress> peers;
    std::uint32_t ownWeight = 1;
    double sameDomainWeight = 0.97;
    double otherDomainWeight = 0.93;
    double otherDomainNotRepeatableWeight = 0.75;
    Duration demandLifetime = 1s; ///< reported demand that is older is ignored
    /** \brief Slots of another domain whose last report is older may be behind a network partition;
     * tasks that are not repeatable are not sent there.
     */
    Duration remoteSlotLifetime = 1s;
    Duration probeInterval = 1s; ///< interval of probes to a peer that does not reply
    Duration peerTimeout = 3s; ///< time without a reply after which the attempts at a peer are lost
};

/** \brief A free slot at a peer. */
struct PeerSlot
{
    NodeName peer;
    double weightedSpeed = 0; ///< tasks a second, weighted by the distance to the peer

    auto operator<=>(const PeerSlot &other) const = default;
};

/** \brief The last reported state of a peer, and the times of messages from and to it. */
struct PeerView
{
    DomainName domain;
    std::uint32_t weight = 1;
    std::uint64_t incarnation = 0; ///< 0 until a message is received
    std::uint64_t startsSent = 0; ///< starts sent to this incarnation
    std::uint64_t startsReceived = 0; ///< starts received from this incarnation
    std::vector<ServiceSlots> slots;
    Demand demand;
    TimePoint demandReceivedAt;
    TimePoint lastReceivedAt;
    TimePoint lastSentAt;
    std::optional<TimePoint> unansweredSince; ///< first request for a reply that got none
    TimePoint lastProbedAt;
};

/** \brief State of the other entry nodes, updated from every message received. */
class PeerTable
{
public:
    explicit PeerTable(const PeerTableOptions &options);

    // Commands.
    /** \brief Updates the view of the sender from the slots and the demand in \a message. */
    void update(const PeerMessage &message, TimePoint now);
    /** \brief Removes the fastest free slot of \a peer for \a service from the view. */
    void removeFastestSlot(const NodeName &peer, const ServiceName &service);
    void recordOffer(const NodeName &peer);
    void recordSentMessage(const NodeName &peer, std::size_t starts, bool wantsReply,
                           TimePoint now);

    // Queries.
    bool contains(const NodeName &peer) const { return this->views.contains(peer); }
    const std::map<NodeName, PeerView> &peers() const { return this->views; }
    const PeerView &view(const NodeName &peer) const { return this->views.at(peer); }
    /** \returns whether \a message comes from the current incarnation of its sender and is
     * addressed to the current incarnation of this node.
     */
    bool isCurrent(const PeerMessage &message, std::uint64_t ownIncarnation) const;
    /** \returns the reported number of peers' tasks that wait for \a service and are more urgent
     * than \a urgency.
     */
    std::size_t waitingTasksBefore(const ServiceName &service, Urgency urgency,
                                   TimePoint now) const;
    /** \returns the free slot of a peer with the highest weighted speed. */
    std::optional<PeerSlot> bestSlot(const ServiceName &service, bool repeatable,
                                     TimePoint now) const;
    /** \returns the peer with the most urgent demand for \a service. */
    std::optional<NodeName> mostUrgentPeer(const ServiceName &service, TimePoint now) const;
    bool isDead(const NodeName &peer, TimePoint now) const;
    /** \returns the peers in this node's domain that may own targets. */
    std::vector<OwnerCandidate> ownerCandidates(TimePoint now) const;
    bool isProbeDue(const NodeName &peer, TimePoint now) const;
    /** \returns the number of peers that have sent a message and are not dead. */
    std::size_t livePeerCount(TimePoint now) const;

private:
    double speedWeightOf(const PeerView &view, bool repeatable) const;
    bool isReachable(const PeerView &view, bool repeatable, TimePoint now) const;

    PeerTableOptions options;
    std::map<NodeName, PeerView> views;
};

} // namespace Hibiscus
