#pragma once

#include "Hibiscus/src/Process/ReplicaDisk.h"

#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief What the processes of all replicas do beside their node: ask to join a group, give up
 * leadership before a stop, and log changes of role.
 */
class ReplicaLifecycle
{
public:
    /** \brief Carries \a node of \a group on, and puts what it sends into \a out.
     * \returns whether the process should stop now.
     */
    template<typename Node>
    bool tick(Node &node, const std::vector<NodeName> &group, TimePoint now,
              typename Node::Outbox &out)
    {
        node.tick(now, out);
        if (now >= this->joinAt) {
            this->joinAt = now + joinInterval;
            node.requestJoin(group, out);
        }
        if (stopRequests() > 0 && this->stopAt == TimePoint()) {
            logEvent("stopping");
            node.stepDown(now);
            this->stopAt = now + handOverTime;
        }
        this->logRole(node.replica());
        return stopRequests() > 1 || (stopRequests() > 0 && now >= this->stopAt);
    }

private:
    static constexpr Duration joinInterval = 500ms;
    /** \brief After stepping down, time for the others to elect a leader while this one votes. */
    static constexpr Duration handOverTime = 1s;

    void logRole(const Replica &replica)
    {
        const bool leads = replica.isLeader();
        if (leads != this->wasLeader)
            logEvent(leads ? "became-leader" : "lost-leadership",
                     { { "term", std::to_string(replica.term()) } });
        this->wasLeader = leads;
    }

    TimePoint joinAt;
    TimePoint stopAt;
    bool wasLeader = false;
};

} // namespace Hibiscus
