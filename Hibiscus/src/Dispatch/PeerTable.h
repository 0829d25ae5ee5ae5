#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"
#include "Hibiscus/src/Dispatch/OwnerChoice.h"

#include <deque>
#include <map>

namespace Hibiscus {

/** \brief Another entry node, as the settings name it. */
struct PeerAddress
{
    NodeName node;
    DomainName domain;
    std::uint32_t weight = 1; ///< size of its VM compared to the others

    auto operator<=>(const PeerAddress &other) const = default;
};

/** \brief How slots of peers are weighed against own ones, and for how long news is believed. */
struct PeerTableOptions
{
    DomainName ownDomain;
    std::vector<PeerAddress> peers;
    std::uint32_t ownWeight = 1;
    double sameDomainWeight = 0.97;
    double otherDomainWeight = 0.93;
    double otherDomainNotRepeatableWeight = 0.75;
    Duration demandLifetime = 1s;
    /** \brief Slots beyond the own domain that were not heard of for longer may be behind a cut:
     * tasks that are not repeatable are not sent there.
     */
    Duration farSlotLifetime = 1s;
    Duration probeInterval = 1s;
    Duration deadAfter = 3s; ///< unanswered for longer: the peer's attempts are lost
};

/** \brief A free slot at a peer. */
struct PeerSlot
{
    NodeName peer;
    double weighedSpeed = 0; ///< tasks a second, less what the distance costs

    auto operator<=>(const PeerSlot &other) const = default;
};

/** \brief What is known of a peer: its slots, its demand, and when it was heard. */
struct PeerView
{
    DomainName domain;
    std::uint32_t weight = 1;
    std::uint64_t incarnation = 0; ///< 0 until the peer was heard
    std::uint64_t startsSent = 0; ///< to this incarnation
    std::uint64_t startsReceived = 0; ///< from this incarnation
    std::vector<ServiceSlots> slots;
    Demand demand;
    TimePoint demandAt;
    TimePoint heardAt;
    TimePoint sentAt;
    std::optional<TimePoint> unansweredSince;
    TimePoint probedAt;
};

/** \brief What this entry node knows of the others, learned from the messages that flow. */
class PeerTable
{
public:
    explicit PeerTable(const PeerTableOptions &options);

    // Commands.
    /** \brief Learns from the envelope of \a message. */
    void learn(const PeerMessage &message, TimePoint now);
    /** \brief Takes the fastest slot of \a peer for \a service. */
    void takeSlot(const NodeName &peer, const ServiceName &service);
    void noteOffer(const NodeName &peer);
    void noteSent(const NodeName &peer, std::size_t starts, bool wantsReply, TimePoint now);

    // Queries.
    bool knows(const NodeName &peer) const { return this->views.contains(peer); }
    const std::map<NodeName, PeerView> &peers() const { return this->views; }
    const PeerView &view(const NodeName &peer) const { return this->views.at(peer); }
    /** \returns whether \a message is from the present life of its sender, and meant for this. */
    bool isCurrent(const PeerMessage &message, std::uint64_t ownIncarnation) const;
    /** \returns how many tasks of peers wait for \a service and are more urgent than \a urgency,
     * as far as is known.
     */
    std::size_t waitingBefore(const ServiceName &service, Urgency urgency, TimePoint now) const;
    std::optional<PeerSlot> bestSlot(const ServiceName &service, bool repeatable,
                                     TimePoint now) const;
    /** \returns the peer with the most urgent demand for \a service. */
    std::optional<NodeName> mostUrgent(const ServiceName &service, TimePoint now) const;
    bool isDead(const NodeName &peer, TimePoint now) const;
    /** \returns the peers of this node's own domain that may own targets. */
    std::vector<OwnerCandidate> ownerCandidates(TimePoint now) const;
    bool isProbeDue(const NodeName &peer, TimePoint now) const;
    /** \returns how many peers were heard lately. */
    std::size_t liveCount(TimePoint now) const;

private:
    double weightOf(const PeerView &view, bool repeatable) const;
    bool isReachable(const PeerView &view, bool repeatable, TimePoint now) const;

    PeerTableOptions options;
    std::map<NodeName, PeerView> views;
};

} // namespace Hibiscus
