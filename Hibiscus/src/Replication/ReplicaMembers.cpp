// The part of Replica that changes the members of its group.
#include "Hibiscus/src/Replication/Replica.h"

#include <algorithm>

namespace Hibiscus {

void Replica::requestJoin(const std::vector<NodeName> &nodes, ReplicaOutbox &out) const
{
    // A member that knows no leader may have been replaced while it was down.
    if (this->isMember() && this->knownLeader)
        return;
    for (const NodeName &node : nodes)
        if (node != this->self().node)
            this->send({ .node = node, .incarnation = 0 }, JoinRequest {}, out.sendBeforeSync);
}

void Replica::requestLeave(ReplicaOutbox &out) const
{
    for (const Member &member : this->activeMembership.members)
        if (member.id != this->self())
            this->send(member.id, LeaveRequest {}, out.sendBeforeSync);
}

bool Replica::mayHandOverVote() const
{
    return this->options.desiredVoters > 0 && this->activeMembership.isVoter(this->self())
        && this->activeMembership.members.size() > this->options.desiredVoters;
}

void Replica::handle(const JoinRequest &, const MemberId &from, TimePoint now, ReplicaOutbox &)
{
    if (this->isLeader() && !this->activeMembership.contains(from))
        this->joinRequests[from] = now;
}

// Each member keeps the request, as the next leader may have to act on it. A leader that leaves has
// stepped down, so there is no reason to wait until its silence is noticed.
void Replica::handle(const LeaveRequest &, const MemberId &from, TimePoint now, ReplicaOutbox &)
{
    if (!this->activeMembership.contains(from))
        return;
    this->leaveRequests[from] = now;
    std::erase_if(this->leaveRequests, [&](const auto &item) {
        return now >= item.second + this->options.leaveTimeout;
    });
    if (this->knownLeader != from)
        return;
    this->knownLeader.reset();
    this->resetElectionTimer(now);
    this->electionDueAt -= this->options.electionTimeout;
}

// A node that lost its disk joins as a learner, and replaces its previous voter only once the
// learner holds all committed entries. Only one membership change is in progress at a time. A voter
// whose disk is lost is removed before its successor is added, unless the group has fewer voters
// than it should: the next removal would make the quorum smaller.
void Replica::changeMembers(TimePoint now, ReplicaOutbox &out)
{
    if (!this->isLeaderReady() || !this->isMembershipCommitted())
        return;
    const std::optional<GroupMembership> next = this->nextMembership(now);
    if (!next)
        return;
    this->append(*next, out);
    this->adoptMembershipFromLog();
    this->trackMembers(now);
    this->sendAppends(now, out);
    this->advanceCommit(out);
}

std::optional<GroupMembership> Replica::nextMembership(TimePoint now) const
{
    if (auto joined = this->membershipAfterJoin(now))
        return joined;
    if (const auto former = this->replacedVoter(now))
        return this->activeMembership.without(*former);
    if (auto reduced = this->membershipWithoutSurplus(now))
        return reduced;
    for (const Member &member : this->activeMembership.members)
        if (member.role == MemberRole::Learner)
            if (auto changed = this->membershipAfterCatchUp(member.id, now))
                return changed;
    const auto silent = this->silentMember(MemberRole::Learner, now);
    if (silent && this->options.desiredVoters > 0)
        return this->activeMembership.without(*silent);
    return std::nullopt;
}

std::optional<GroupMembership> Replica::membershipAfterJoin(TimePoint now) const
{
    for (const auto &[id, requestedAt] : this->joinRequests) {
        GroupMembership changed = this->activeMembership;
        for (const Member &member : this->activeMembership.members)
            if (member.id.node == id.node && member.role == MemberRole::Learner)
                changed = changed.without(member.id);
        const bool replacesLearner = changed != this->activeMembership;
        const bool isRecent = now < requestedAt + 4 * this->options.electionTimeout;
        if (!isRecent || this->activeMembership.contains(id))
            continue;
        return replacesLearner ? changed : changed.with({ .id = id, .role = MemberRole::Learner });
    }
    return std::nullopt;
}

std::optional<GroupMembership> Replica::membershipAfterCatchUp(const MemberId &learner,
                                                               TimePoint now) const
{
    const Progress &learnerProgress = this->progress.at(learner);
    const bool isPresent = this->isHeard(learner, now) && !this->isLeaving(learner, now);
    if (!isPresent || learnerProgress.matchIndex < this->committedIndex)
        return std::nullopt;
    for (const Member &previousVoter : this->activeMembership.members) {
        const bool isSameNode
            = previousVoter.id.node == learner.node && previousVoter.id != learner;
        const bool isRemovable
            = previousVoter.role == MemberRole::Voter && this->mayRemoveVoter(previousVoter.id);
        if (isSameNode && isRemovable)
            return this->activeMembership.without(previousVoter.id);
    }
    const std::size_t desired = this->options.desiredVoters;
    const std::size_t voters = this->activeMembership.voterCount();
    const bool replacesVoter = voters == desired
        && (this->silentMember(MemberRole::Voter, now) || this->leavingVoter(now));
    if (desired == 0 || voters < desired || replacesVoter)
        return this->activeMembership.with({ .id = learner, .role = MemberRole::Voter });
    return std::nullopt;
}

// A silent voter may come back with all that was acknowledged, while those that remain lose a disk.
// So it is removed only once its successor votes.
std::optional<GroupMembership> Replica::membershipWithoutSurplus(TimePoint now) const
{
    const std::size_t desired = this->options.desiredVoters;
    if (desired == 0 || this->activeMembership.voterCount() != desired + 1)
        return std::nullopt;
    if (const auto silent = this->silentMember(MemberRole::Voter, now))
        return this->activeMembership.without(*silent);
    if (const auto leaving = this->leavingVoter(now))
        return this->activeMembership.with({ .id = *leaving, .role = MemberRole::Learner });
    std::optional<MemberId> surplus;
    for (const Member &member : this->activeMembership.members) {
        if (member.role != MemberRole::Voter || member.id == this->self())
            continue;
        // A leader that was just elected takes all for present; only a reply tells.
        if (!this->isHeard(member.id, now) || this->progress.at(member.id).acknowledgedRound == 0)
            return std::nullopt;
        surplus = member.id;
    }
    if (!surplus)
        return std::nullopt;
    return this->activeMembership.with({ .id = *surplus, .role = MemberRole::Learner });
}

std::optional<MemberId> Replica::replacedVoter(TimePoint now) const
{
    for (const Member &former : this->activeMembership.members) {
        if (former.role != MemberRole::Voter || this->isHeard(former.id, now))
            continue;
        const auto replaces = [&](const Member &other) {
            return other.role == MemberRole::Voter && other.id != former.id
                && other.id.node == former.id.node && this->isHeard(other.id, now);
        };
        if (std::ranges::any_of(this->activeMembership.members, replaces))
            return former.id;
    }
    return std::nullopt;
}

bool Replica::isHeard(const MemberId &id, TimePoint now) const
{
    return id == this->self()
        || now < this->progress.at(id).lastSeenAt + this->options.electionTimeout;
}

// A member that is heard for longer than the last replies of a stopping process take has come back.
// A leader that was just elected has heard nobody yet, and gives all members the time to reply.
bool Replica::isLeaving(const MemberId &id, TimePoint now) const
{
    const auto request = this->leaveRequests.find(id);
    const auto found = this->progress.find(id);
    if (request == this->leaveRequests.end() || found == this->progress.end())
        return false;
    const TimePoint requestedAt = request->second;
    if (now >= requestedAt + this->options.leaveTimeout)
        return false;
    const Progress &memberProgress = found->second;
    if (memberProgress.acknowledgedRound == 0)
        return requestedAt >= memberProgress.lastSeenAt || !this->isHeard(id, now);
    return memberProgress.lastSeenAt < requestedAt + this->options.electionTimeout;
}

std::optional<MemberId> Replica::leavingVoter(TimePoint now) const
{
    for (const Member &member : this->activeMembership.members)
        if (member.role == MemberRole::Voter && this->isLeaving(member.id, now))
            return member.id;
    return std::nullopt;
}

// Two members of one node have one disk, so the nodes of the voters are counted.
bool Replica::mayRemoveVoter(const MemberId &id) const
{
    if (this->options.desiredVoters == 0)
        return true;
    const auto nodesOf = [](const GroupMembership &membership) {
        std::set<NodeName> nodes;
        for (const Member &member : membership.members)
            if (member.role == MemberRole::Voter)
                nodes.insert(member.id.node);
        return nodes.size();
    };
    const std::size_t remaining = nodesOf(this->activeMembership.without(id));
    return remaining + 1 >= this->options.desiredVoters
        || remaining == nodesOf(this->activeMembership);
}

std::optional<MemberId> Replica::silentMember(MemberRole role, TimePoint now) const
{
    const Duration timeout = role == MemberRole::Voter ? this->options.voterSilenceTimeout
                                                       : this->options.learnerSilenceTimeout;
    for (const Member &member : this->activeMembership.members) {
        const bool isOther = member.role == role && member.id != this->self();
        if (isOther && now >= this->progress.at(member.id).lastSeenAt + timeout)
            return member.id;
    }
    return std::nullopt;
}

} // namespace Hibiscus
