#pragma once

#include "Hibiscus/src/Journal/JournalMessage.h"
#include "Hibiscus/src/Journal/JournalState.h"

namespace Hibiscus {

/** \brief Timing of a journal. */
struct JournalOptions
{
    Replicated<JournalState>::Options replicated;
    Duration coordinatorLease = 2s; ///< jobs of a coordinator silent for longer may be taken over
    Duration abandonTimeout = 30s; ///< jobs of a coordinator silent for longer are ended as failed
    Duration sweepInterval = 1s; ///< interval of the checks for abandoned and expired jobs
};

/** \brief A member of a journal group: a replica of JournalState that, as the leader, also detects
 * lost coordinators.
 */
class JournalNode
{
public:
    using Outbox = Replicated<JournalState>::Outbox;

    JournalNode(const JournalOptions &options, const DurableState &durable, std::uint64_t seed,
                TimePoint now);

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out);
    void receive(const JournalRequest &request, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);
    void requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const;
    void requestLeave(Outbox &out) const { this->replicated.requestLeave(out); }
    void stepDown(TimePoint now) { this->replicated.stepDown(now); }
    /** \brief Suspends the replica, whose disk has failed; redirects all requests.
     * \sa DiskGuard
     */
    void suspend(TimePoint now, Outbox &out);

    // Queries.
    const Replica &replica() const { return this->replicated.replica(); }
    const JournalState &state() const { return this->replicated.stateMachine(); }

private:
    struct PendingLookUp
    {
        RequestId request;
        JobId id;
    };

    void sendReplies(TimePoint now, Outbox &out);
    void sweep(TimePoint now, Outbox &out);
    bool isSilentFor(const CoordinatorId &coordinator, Duration span, TimePoint now) const;

    JournalOptions options;
    Replicated<JournalState> replicated;
    std::map<CoordinatorId, TimePoint> lastSeenAt;
    std::map<std::uint64_t, PendingLookUp> pendingLookUps;
    std::uint64_t nextToken = 1;
    std::optional<TimePoint> leaderSince;
    TimePoint nextSweepAt;
};

} // namespace Hibiscus
