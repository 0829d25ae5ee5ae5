#pragma once

#include "Hibiscus/src/Process/ReplicaDisk.h"

#include <Hibiscus/Telemetry>

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
        if (stopRequests() > 0 && !this->stopRequestedAt) {
            logEvent("stopping");
            node.stepDown(now);
            this->stopRequestedAt = now;
        }
        if (isDiskAvailable && this->stopRequestedAt && now >= this->nextLeaveAt) {
            this->nextLeaveAt = now + leaveInterval;
            node.requestLeave(out);
        }
        this->logRole(node.replica());
        return stopRequests() > 1 || this->isStopDue(node.replica(), now);
    }

private:
    static constexpr Duration joinInterval = 500ms;
    /** \brief Time after stepping down in which the others elect a leader and this member votes. */
    static constexpr Duration leaderElectionTime = 1s;
    static constexpr Duration leaveInterval = 100ms;
    /** \brief Limit of the wait for a successor in the vote: two elections and the exchange, within
     * the time that a process is given to stop.
     */
    static constexpr Duration voteHandoverTime = 3s;

    bool isStopDue(const Replica &replica, TimePoint now) const
    {
        if (!this->stopRequestedAt)
            return false;
        const Duration limit = replica.mayHandOverVote() ? voteHandoverTime : leaderElectionTime;
        return now >= *this->stopRequestedAt + limit;
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
        if (replica.membership() != this->loggedMembership)
            logEvent("members",
                     { { "voters", membersWith(replica.membership(), MemberRole::Voter) },
                       { "learners", membersWith(replica.membership(), MemberRole::Learner) },
                       { "term", std::to_string(replica.term()) },
                       { "last_index", std::to_string(replica.lastIndex()) } });
        this->loggedMembership = replica.membership();
    }

    static std::string membersWith(const GroupMembership &membership, MemberRole role)
    {
        std::string names;
        for (const Member &member : membership.members)
            if (member.role == role)
                names += (names.empty() ? "" : " ") + member.id.node.str() + "/"
                    + std::to_string(member.id.incarnation);
        return names;
    }

    TimePoint nextJoinAt;
    TimePoint nextLeaveAt;
    std::optional<TimePoint> stopRequestedAt;
    bool wasLeader = false;
    bool wasReady = false;
    GroupMembership loggedMembership;
};

} // namespace Hibiscus
