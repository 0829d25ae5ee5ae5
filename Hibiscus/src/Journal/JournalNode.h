#pragma once

#include "Hibiscus/src/Journal/JournalMessage.h"
#include "Hibiscus/src/Journal/JournalState.h"

namespace Hibiscus {

/** \brief The timing of a journal. */
struct JournalOptions
{
    Replicated<JournalState>::Options replicated;
    Duration coordinatorLease = 2s; ///< a coordinator unheard for longer may be taken over
    Duration abandonTimeout = 30s; ///< then its jobs are ended as failed
    Duration sweepInterval = 1s;
};

/** \brief A member of a journal group: the replicated JournalState, and on its leader the watch
 * over coordinators.
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
    void stepDown(TimePoint now) { this->replicated.stepDown(now); }

    // Queries.
    const Replica &replica() const { return this->replicated.replica(); }
    const JournalState &state() const { return this->replicated.stateMachine(); }

private:
    struct PendingLookUp
    {
        RequestId request;
        JobId id;
    };

    void settle(TimePoint now, Outbox &out);
    void sweep(TimePoint now, Outbox &out);
    bool isSilentFor(const CoordinatorId &coordinator, Duration span, TimePoint now) const;

    JournalOptions options;
    Replicated<JournalState> replicated;
    std::map<CoordinatorId, TimePoint> heardAt;
    std::map<std::uint64_t, PendingLookUp> lookUps;
    std::uint64_t nextToken = 1;
    std::optional<TimePoint> leaderSince;
    TimePoint sweepAt;
};

} // namespace Hibiscus
