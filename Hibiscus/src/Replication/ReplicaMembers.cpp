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

// Until the change is confirmed the next leader needs the voters from before it, too.
bool Replica::mayHandOverVote() const
{
    const bool mayHaveVote = this->activeMembership.isVoter(this->self())
        || this->confirmedMembers.isVoter(this->self());
    return this->options.desiredVoters > 0 && mayHaveVote
        && this->activeMembership.members.size() > this->options.desiredVoters;
}

void Replica::handle(const JoinRequest &request, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    if (request.lostIncarnation != 0 && request.lostIncarnation != from.incarnation)
        this->recordLostVoter({ .node = from.node, .incarnation = request.lostIncarnation }, now,
                              out);
    if (!this->isLeader() || this->activeMembership.contains(from))
        return;
    // A node that has lost its disk again sends nothing as its former incarnation any more.
    std::erase_if(this->joinRequests,
                  [&](const auto &item) { return item.first.node == from.node; });
    this->joinRequests[from] = now;
}

// Each member keeps the request, as the next leader may have to act on it. A leader that leaves has
// stepped down, so there is no reason to wait until its silence is noticed.
void Replica::handle(const LeaveRequest &, const MemberId &from, TimePoint now, ReplicaOutbox &)
{
    if (!this->activeMembership.contains(from))
        return;
    LeaveAnnouncement &announcement
        = this->leaveRequests.try_emplace(from, LeaveAnnouncement { now, now }).first->second;
    if (now >= announcement.latestAt + this->options.electionTimeout)
        announcement.firstAt = now;
    announcement.latestAt = now;
    std::erase_if(this->leaveRequests, [&](const auto &item) {
        return now >= item.second.latestAt + this->options.leaveTimeout;
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
    // After a loss of power the commit index is that of the snapshot. An entry that repeats the
    // membership tells from the disk that it was committed.
    if (!this->areVotersConfirmed()) {
        this->appendMembership(this->activeMembership, now, out);
        return;
    }
    std::optional<MembershipChange> next = this->nextChange(now);
    if (!next)
        return;
    this->appendMembership(next->membership, now, out);
    next->index = this->membershipIndex;
    this->madeChange = std::move(next);
}

void Replica::appendMembership(GroupMembership membership, TimePoint now, ReplicaOutbox &out)
{
    this->append(std::move(membership), out);
    this->adoptMembershipFromLog();
    this->trackMembers(now);
    this->sendAppends(now, out);
    this->advanceCommit(out);
}

std::optional<MembershipChange> Replica::nextChange(TimePoint now) const
{
    if (auto reduced = this->changeAfterLostDisk())
        return reduced;
    if (auto joined = this->changeAfterJoin(now))
        return joined;
    if (const auto former = this->replacedVoter(now))
        return MembershipChange { .membership = this->activeMembership.without(*former),
                                  .cause = MembershipCause::DiskLost,
                                  .member = *former };
    if (auto reduced = this->changeWithoutSurplus(now))
        return reduced;
    for (const Member &member : this->activeMembership.members)
        if (member.role == MemberRole::Learner)
            if (auto changed = this->changeAfterCatchUp(member.id, now))
                return changed;
    const auto silent = this->silentMember(MemberRole::Learner, now);
    if (silent && this->options.desiredVoters > 0)
        return MembershipChange { .membership = this->activeMembership.without(*silent),
                                  .cause = MembershipCause::LearnerSilent,
                                  .member = *silent };
    return std::nullopt;
}

std::optional<MembershipChange> Replica::changeAfterJoin(TimePoint now) const
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
        if (!replacesLearner)
            changed = changed.with({ .id = id, .role = MemberRole::Learner });
        return MembershipChange { .membership = std::move(changed),
                                  .cause = MembershipCause::Joined,
                                  .member = id };
    }
    return std::nullopt;
}

ExchangeObstacle Replica::obstacleOf(const MemberId &learner, TimePoint now) const
{
    if (!this->isHeard(learner, now))
        return ExchangeObstacle::LearnerSilent;
    if (this->isLeaving(learner, now))
        return ExchangeObstacle::LearnerLeaving;
    if (this->progress.at(learner).matchIndex < this->committedIndex)
        return ExchangeObstacle::LearnerBehind;
    return ExchangeObstacle::None;
}

std::optional<MembershipChange> Replica::changeAfterCatchUp(const MemberId &learner,
                                                            TimePoint now) const
{
    if (this->obstacleOf(learner, now) != ExchangeObstacle::None)
        return std::nullopt;
    const auto former = this->formerVoter(learner);
    if (former && this->mayRemoveVoter(*former))
        return MembershipChange { .membership = this->activeMembership.without(*former),
                                  .cause = MembershipCause::DiskLost,
                                  .member = *former };
    const std::size_t desired = this->options.desiredVoters;
    const std::size_t voters = this->activeMembership.voterCount();
    MembershipChange promotion
        = { .membership = this->activeMembership.with({ .id = learner, .role = MemberRole::Voter }),
            .cause = MembershipCause::LearnerCaughtUp,
            .member = learner };
    if (desired == 0)
        return promotion;
    if (voters > desired)
        return std::nullopt;
    if (voters < desired)
        promotion.cause = MembershipCause::TooFewVoters;
    else if (this->silentMember(MemberRole::Voter, now))
        promotion.cause = MembershipCause::VoterSilent;
    else if (this->leavingVoter(now))
        promotion.cause = MembershipCause::VoterLeaving;
    // Two voters of one node have one disk, and would make the quorum larger for nothing.
    const bool isSpare = promotion.cause == MembershipCause::LearnerCaughtUp;
    return isSpare && former ? std::nullopt : std::optional(std::move(promotion));
}

// The successor of a lost disk takes part as a learner at once, and the quorum becomes no larger
// than what remains, so there is no reason to wait until it has caught up.
std::optional<MembershipChange> Replica::changeAfterLostDisk() const
{
    const std::size_t desired = this->options.desiredVoters;
    if (desired == 0 || this->activeMembership.voterCount() != desired + 1)
        return std::nullopt;
    for (const MemberId &lost : this->knownLostVoters)
        if (this->activeMembership.isVoter(lost))
            return MembershipChange { .membership = this->activeMembership.without(lost),
                                      .cause = MembershipCause::DiskLost,
                                      .member = lost };
    return std::nullopt;
}

std::optional<MemberId> Replica::formerVoter(const MemberId &learner) const
{
    for (const Member &member : this->activeMembership.members) {
        const bool isSameNode = member.id.node == learner.node && member.id != learner;
        if (isSameNode && member.role == MemberRole::Voter)
            return member.id;
    }
    return std::nullopt;
}

// A silent voter may come back with all that was acknowledged, while those that remain lose a disk.
// So it is removed only once its successor votes. A surplus voter that neither leaves nor is silent
// stays: another one may be removed at any moment without notice.
std::optional<MembershipChange> Replica::changeWithoutSurplus(TimePoint now) const
{
    const std::size_t desired = this->options.desiredVoters;
    if (desired == 0 || this->activeMembership.voterCount() != desired + 1)
        return std::nullopt;
    if (const auto silent = this->silentMember(MemberRole::Voter, now))
        return MembershipChange { .membership = this->activeMembership.without(*silent),
                                  .cause = MembershipCause::VoterSilent,
                                  .member = *silent };
    const auto leaving = this->leavingVoter(now);
    if (!leaving)
        return std::nullopt;
    return MembershipChange { .membership = this->activeMembership.with(
                                  { .id = *leaving, .role = MemberRole::Learner }),
                              .cause = MembershipCause::VoterLeaving,
                              .member = *leaving };
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
    const TimePoint requestedAt = request->second.latestAt;
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

std::optional<PendingExchange> Replica::dueExchange(TimePoint now) const
{
    if (const auto leaving = this->leavingVoter(now))
        return PendingExchange { .voter = *leaving, .cause = MembershipCause::VoterLeaving };
    std::optional<MemberId> silent;
    for (const Member &member : this->activeMembership.members) {
        if (member.role == MemberRole::Learner) {
            if (const auto former = this->formerVoter(member.id))
                return PendingExchange { .voter = *former, .cause = MembershipCause::DiskLost };
        } else if (!silent && !this->isHeard(member.id, now)) {
            silent = member.id;
        }
    }
    if (silent)
        return PendingExchange { .voter = *silent, .cause = MembershipCause::VoterSilent };
    return std::nullopt;
}

// Only for the log: nextChange() decides.
std::optional<PendingExchange> Replica::pendingExchange(TimePoint now) const
{
    if (!this->isLeader() || this->options.desiredVoters == 0)
        return std::nullopt;
    std::optional<PendingExchange> exchange = this->dueExchange(now);
    if (!exchange)
        return std::nullopt;
    exchange->obstacle = ExchangeObstacle::NoLearner;
    for (const Member &member : this->activeMembership.members) {
        if (member.role != MemberRole::Learner)
            continue;
        const bool isSuccessor = exchange->cause != MembershipCause::DiskLost
            || member.id.node == exchange->voter.node;
        const ExchangeObstacle obstacle = this->obstacleOf(member.id, now);
        const bool isCloser = !exchange->learner || obstacle == ExchangeObstacle::None;
        if (!isSuccessor || !isCloser)
            continue;
        const std::uint64_t held = this->progress.at(member.id).matchIndex;
        exchange->learner = member.id;
        exchange->obstacle = obstacle;
        exchange->missingEntries = this->committedIndex - std::min(this->committedIndex, held);
    }
    const bool isTooEarly = exchange->cause == MembershipCause::VoterSilent
        && !this->silentMember(MemberRole::Voter, now);
    const bool isNeeded = exchange->cause == MembershipCause::DiskLost
        && exchange->obstacle == ExchangeObstacle::None && !this->mayRemoveVoter(exchange->voter);
    const bool isSuccessorVoter = this->activeMembership.voterCount() > this->options.desiredVoters;
    if (!this->isLeaderReady())
        exchange->obstacle = ExchangeObstacle::LeaderNotReady;
    else if (!this->isMembershipCommitted())
        exchange->obstacle = ExchangeObstacle::ChangeNotCommitted;
    else if (isTooEarly)
        exchange->obstacle = ExchangeObstacle::SilenceTooShort;
    else if (isNeeded)
        exchange->obstacle = ExchangeObstacle::VoterNeeded;
    else if (isSuccessorVoter)
        exchange->obstacle = ExchangeObstacle::None;
    return exchange;
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

void Replica::recordSilences(const std::vector<MemberSilence> &silences, TimePoint now)
{
    this->silentMembers.clear();
    for (const MemberSilence &silence : silences)
        this->silentMembers[silence.member]
            = now - std::clamp<Duration>(silence.span, 0s, this->options.learnerSilenceTimeout);
}

// A member that was lost would otherwise keep its vote for the whole timeout after each election,
// while its successor waits.
void Replica::adoptSilences()
{
    if (this->latestLeader)
        this->silentMembers[*this->latestLeader] = this->leaderLastSeenAt;
    for (auto &[id, memberProgress] : this->progress)
        if (const auto known = this->silentMembers.find(id); known != this->silentMembers.end())
            memberProgress.silentSince = std::min(memberProgress.silentSince, known->second);
    this->silentMembers.clear();
    this->latestLeader.reset();
}

std::vector<MemberSilence> Replica::silences(TimePoint now) const
{
    std::vector<MemberSilence> silences;
    for (const auto &[id, memberProgress] : this->progress)
        if (now >= memberProgress.silentSince + this->options.electionTimeout)
            silences.push_back({ .member = id, .span = now - memberProgress.silentSince });
    return silences;
}

// A new leader gives all members the time to reply before it goes by their earlier silence.
std::optional<MemberId> Replica::silentMember(MemberRole role, TimePoint now) const
{
    const Duration timeout = role == MemberRole::Voter ? this->options.voterSilenceTimeout
                                                       : this->options.learnerSilenceTimeout;
    for (const Member &member : this->activeMembership.members) {
        const bool isOther = member.role == role && member.id != this->self();
        if (!isOther || this->isHeard(member.id, now))
            continue;
        if (now >= this->progress.at(member.id).silentSince + timeout)
            return member.id;
    }
    return std::nullopt;
}

} // namespace Hibiscus
