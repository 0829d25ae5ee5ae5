#pragma once

#include "Hibiscus/src/Process/MembershipLog.h"
#include "Hibiscus/src/Process/ReplicaDisk.h"

namespace Hibiscus {

/** \brief Steps that the processes of all replicas share: requesting to join the group, handing
 * over leadership and vote before a stop, and logging changes of role and of the members.
 */
class ReplicaLifecycle
{
public:
    /** \brief Performs a timer tick of \a node, a member of \a group; its messages go to \a out.
     * While \a isDiskAvailable is false, the node itself is not ticked.
     * \returns whether the process should stop now.
     */
    template<typename Node>
    bool tick(Node &node, const std::vector<NodeName> &group, bool isDiskAvailable, TimePoint now,
              typename Node::Outbox &out)
    {
        if (isDiskAvailable)
            node.tick(now, out);
        if (isDiskAvailable && now >= this->nextJoinAt) {
            this->nextJoinAt = now + joinInterval;
            node.requestJoin(group, out);
        }
        if (stopRequests() > 0 && !this->shutdown.beginTime()) {
            logEvent("stopping",
                     { { "is_voter", isVoter(node.replica()) ? "yes" : "no" },
                       { "awaits_successor", node.replica().mayHandOverVote() ? "yes" : "no" } });
            node.stepDown(now);
            this->shutdown.begin(now);
        }
        if (isDiskAvailable && this->shutdown.takeAnnouncement(now))
            node.requestLeave(out);
        this->logRole(node.replica());
        this->membershipLog.update(node.replica(), now);
        const bool isDue = stopRequests() > 1 || this->shutdown.isDue(node.replica(), now);
        if (isDue)
            logEvent("leaving-group",
                     { { "is_voter", isVoter(node.replica()) ? "yes" : "no" },
                       { "after_ms",
                         std::to_string(toMilliseconds(now - *this->shutdown.beginTime())) } });
        return isDue;
    }

private:
    static constexpr Duration joinInterval = 500ms;

    static bool isVoter(const Replica &replica)
    {
        return replica.membership().isVoter(replica.self());
    }

    void logRole(const Replica &replica)
    {
        const bool leads = replica.isLeader();
        if (leads != this->wasLeader)
            logEvent(leads ? "became-leader" : "lost-leadership",
                     { { "term", std::to_string(replica.term()) } });
        this->wasLeader = leads;
        const bool isReady = replica.isLeaderReady();
        if (isReady && !this->wasReady)
            logEvent("leader-ready",
                     { { "term", std::to_string(replica.term()) },
                       { "commit_index", std::to_string(replica.commitIndex()) } });
        this->wasReady = isReady;
    }

    TimePoint nextJoinAt;
    ReplicaShutdown shutdown;
    MembershipLog membershipLog;
    bool wasLeader = false;
    bool wasReady = false;
};

} // namespace Hibiscus
