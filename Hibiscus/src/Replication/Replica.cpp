#include "Hibiscus/src/Replication/Replica.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Limit of the commands in an append, unless there is only one. */
constexpr std::size_t maxBytesPerAppend = 4'000'000;

} // namespace internal

Replica::Replica(const ReplicaOptions &options, DurableState durable, std::uint64_t seed,
                 TimePoint now)
    : options(options), durable(std::move(durable)), random(seed)
{
    this->committedIndex = this->durable.snapshot.index;
    this->adoptSnapshotMembership();
    this->resetElectionTimer(now);
}

void Replica::receive(const ReplicaEnvelope &envelope, TimePoint now, ReplicaOutbox &out)
{
    // Drop messages for an earlier incarnation of this node: they may rest on votes or entries that
    // were lost with the disk.
    const bool isForThisIncarnation = envelope.receiverIncarnation == this->self().incarnation
        || std::holds_alternative<JoinRequest>(envelope.message);
    if (envelope.to != this->self().node)
        return;
    if (!isForThisIncarnation) {
        this->reportLostDisk(envelope, out);
        return;
    }
    std::visit([&](const auto &message) { this->handle(message, envelope.from, now, out); },
               envelope.message);
}

void Replica::tick(TimePoint now, ReplicaOutbox &out)
{
    if (this->isLeader()) {
        if (!this->isInContactWithQuorum(now)) {
            this->becomeFollower(now);
            return;
        }
        this->changeMembers(now, out);
        if (now >= this->heartbeatDueAt)
            this->sendAppends(now, out);
        return;
    }
    if (now < this->electionDueAt)
        return;
    this->resetElectionTimer(now);
    this->knownLeader.reset();
    if (this->activeMembership.isVoter(this->self()))
        this->startElection(VoteKind::PreVote, now, out);
}

void Replica::propose(std::vector<Bytes> commands, TimePoint now, ReplicaOutbox &out)
{
    HIBISCUS_INVARIANT(this->isLeader(), "only a leader appends commands");
    for (Bytes &command : commands)
        this->append(Command { .bytes = std::move(command) }, out);
    this->sendAppends(now, out);
    this->advanceCommit(out);
}

void Replica::requestRead(std::uint64_t token, TimePoint now, ReplicaOutbox &out)
{
    HIBISCUS_INVARIANT(this->isLeader(), "only a leader serves reads");
    this->sendAppends(now, out);
    this->pendingReads.push_back({ .token = token, .round = this->round });
    this->confirmReads(out);
}

void Replica::compact(std::uint64_t index, Bytes state, ReplicaOutbox &out)
{
    HIBISCUS_INVARIANT(index <= this->committedIndex, "only committed entries are compacted");
    if (index <= this->durable.snapshot.index)
        return;
    Snapshot snapshot;
    snapshot.index = index;
    snapshot.term = *this->termAt(index);
    snapshot.membership = this->durable.snapshot.membership;
    for (const LogEntry &entry : this->durable.entries) {
        const auto *membership = std::get_if<GroupMembership>(&entry.body);
        if (entry.index <= index && membership != nullptr)
            snapshot.membership = *membership;
    }
    snapshot.state = std::move(state);
    out.writes.emplace_back(SaveSnapshot { .snapshot = std::move(snapshot) });
    applyWrite(out.writes.back(), this->durable);
}

void Replica::stepDown(TimePoint now)
{
    if (this->isLeader())
        this->becomeFollower(now);
    this->electionDueAt = now + 4 * this->options.electionTimeout;
}

bool Replica::isLeaderReady() const
{
    return this->isLeader() && this->committedIndex >= this->termStartIndex;
}

// A node that lost its disk is two members until the former one is removed. What the former one
// has acknowledged is gone, and the disk of the other counts once.
std::size_t Replica::copiesOf(std::uint64_t index, TimePoint now) const
{
    std::map<NodeName, bool> holds = { { this->self().node, this->lastIndex() >= index } };
    if (this->isLeader())
        for (const auto &[id, memberProgress] : this->progress) {
            if (id.node == this->self().node || this->isLeaving(id, now))
                continue;
            bool &nodeHolds = holds.try_emplace(id.node, true).first->second;
            nodeHolds = nodeHolds && memberProgress.matchIndex >= index;
        }
    return std::ranges::count_if(holds, [](const auto &item) { return item.second; });
}

std::uint64_t Replica::lastIndex() const
{
    return this->durable.entries.empty() ? this->durable.snapshot.index
                                         : this->durable.entries.back().index;
}

void Replica::handle(const VoteRequest &request, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    // A member in contact with a leader grants no votes, so that a partitioned or removed member
    // cannot depose the leader.
    const bool isLeaderAlive = this->isLeader()
        || (this->knownLeader && now < this->leaderLastSeenAt + this->options.electionTimeout);
    const bool isLogUpToDate = this->isUpToDate(request.lastIndex, request.lastTerm);
    if (request.kind == VoteKind::PreVote) {
        const bool granted = !isLeaderAlive && isLogUpToDate && request.term > this->term();
        this->sendAfterSync(from,
                            VoteReply { .kind = VoteKind::PreVote,
                                        .term = this->term(),
                                        .requestTerm = request.term,
                                        .granted = granted },
                            out);
        return;
    }
    if (isLeaderAlive && request.term > this->term())
        return;
    this->adoptTerm(request.term, now, out);
    const bool mayVoteForSender
        = !this->durable.hardState.votedFor || *this->durable.hardState.votedFor == from;
    const bool granted = request.term == this->term() && isLogUpToDate && mayVoteForSender
        && this->replicaRole != ReplicaRole::Leader;
    if (granted && !this->durable.hardState.votedFor) {
        this->durable.hardState.votedFor = from;
        out.writes.emplace_back(SaveHardState { .hardState = this->durable.hardState });
    }
    if (granted)
        this->resetElectionTimer(now);
    this->sendAfterSync(from,
                        VoteReply { .kind = VoteKind::Vote,
                                    .term = this->term(),
                                    .requestTerm = request.term,
                                    .granted = granted },
                        out);
}

void Replica::handle(const VoteReply &reply, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    this->adoptTerm(reply.term, now, out);
    const std::uint64_t expected
        = this->electionKind == VoteKind::PreVote ? this->term() + 1 : this->term();
    const bool isCurrent = this->replicaRole == ReplicaRole::Candidate
        && reply.kind == this->electionKind && reply.requestTerm == expected;
    if (!isCurrent || !reply.granted)
        return;
    this->votes.insert(from);
    this->countVotes(now, out);
}

void Replica::handle(const AppendRequest &request, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    AppendReply reply;
    reply.round = request.round;
    if (request.term < this->term()) {
        reply.term = this->term();
        this->sendAfterSync(from, reply, out);
        return;
    }
    this->adoptTerm(request.term, now, out);
    this->followLeader(from, now);
    this->recordSilences(request.silences, now);
    reply.term = this->term();
    const bool hasPrevious = request.previousIndex <= this->durable.snapshot.index
        || this->termAt(request.previousIndex) == request.previousTerm;
    if (!hasPrevious) {
        const bool isShort = this->lastIndex() < request.previousIndex;
        reply.lastIndex = isShort ? this->lastIndex() : this->committedIndex;
        this->sendAfterSync(from, reply, out);
        return;
    }
    SaveEntries added;
    for (const LogEntry &entry : request.entries) {
        const bool isHeld = entry.index <= this->durable.snapshot.index
            || this->termAt(entry.index) == entry.term;
        if (!added.entries.empty() || !isHeld)
            added.entries.push_back(entry);
    }
    if (!added.entries.empty()) {
        HIBISCUS_INVARIANT(added.entries.front().index > this->committedIndex,
                           "a committed entry is never replaced");
        const bool isTruncating = added.entries.front().index <= this->lastIndex();
        const bool changesMembers = std::ranges::any_of(added.entries, [](const LogEntry &e) {
            return std::holds_alternative<GroupMembership>(e.body);
        });
        out.writes.emplace_back(std::move(added));
        applyWrite(out.writes.back(), this->durable);
        if (isTruncating || changesMembers)
            this->adoptMembershipFromLog();
    }
    reply.matched = true;
    reply.lastIndex = request.previousIndex + request.entries.size();
    this->commitUpTo(std::min(request.commitIndex, reply.lastIndex), out);
    this->updateCaughtUp(request.commitIndex);
    this->sendAfterSync(from, reply, out);
}

void Replica::handle(const SnapshotRequest &request, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    if (request.term < this->term())
        return;
    this->adoptTerm(request.term, now, out);
    this->followLeader(from, now);
    if (request.snapshot.index > this->committedIndex) {
        out.writes.emplace_back(SaveSnapshot { .snapshot = request.snapshot });
        applyWrite(out.writes.back(), this->durable);
        this->committedIndex = request.snapshot.index;
        this->adoptSnapshotMembership();
        out.committedEntries.clear();
        out.restoredSnapshot = request.snapshot;
    }
    this->sendAfterSync(from,
                        AppendReply { .term = this->term(),
                                      .round = request.round,
                                      .matched = true,
                                      .lastIndex = request.snapshot.index },
                        out);
}

void Replica::handle(const AppendReply &reply, const MemberId &from, TimePoint now,
                     ReplicaOutbox &out)
{
    this->adoptTerm(reply.term, now, out);
    const auto found = this->progress.find(from);
    if (!this->isLeader() || reply.term != this->term() || found == this->progress.end())
        return;
    Progress &progress = found->second;
    progress.lastSeenAt = now;
    progress.silentSince = now;
    progress.isProbeInFlight = false;
    progress.acknowledgedRound = std::max(progress.acknowledgedRound, reply.round);
    if (reply.matched) {
        progress.matchIndex = std::max(progress.matchIndex, reply.lastIndex);
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        progress.isProbing = false;
        this->advanceCommit(out);
        if (progress.nextIndex <= this->lastIndex())
            this->sendAppend(from, now, out);
    } else if (reply.lastIndex + 1 < progress.nextIndex) {
        progress.nextIndex = std::max(progress.matchIndex + 1, reply.lastIndex + 1);
        progress.isProbing = true;
        this->sendAppend(from, now, out);
    }
    this->confirmReads(out);
}

void Replica::adoptTerm(std::uint64_t term, TimePoint now, ReplicaOutbox &out)
{
    if (term <= this->term())
        return;
    this->durable.hardState = { .term = term, .votedFor = std::nullopt };
    out.writes.emplace_back(SaveHardState { .hardState = this->durable.hardState });
    this->becomeFollower(now);
}

void Replica::followLeader(const MemberId &leader, TimePoint now)
{
    HIBISCUS_INVARIANT(!this->isLeader(), "a term has one leader");
    this->replicaRole = ReplicaRole::Follower;
    this->knownLeader = leader;
    this->latestLeader = leader;
    this->leaderLastSeenAt = now;
    this->resetElectionTimer(now);
}

// The sender knew of the former incarnation, and one node has one incarnation at a time, so the
// former one has ended for good. An unsolicited message could be older than that incarnation.
void Replica::reportLostDisk(const ReplicaEnvelope &envelope, ReplicaOutbox &out) const
{
    if (envelope.receiverIncarnation != 0)
        this->send(envelope.from, JoinRequest { .lostIncarnation = envelope.receiverIncarnation },
                   out.sendBeforeSync);
}

void Replica::recordLostVoter(const MemberId &id, TimePoint now, ReplicaOutbox &out)
{
    const bool isVoter = this->activeMembership.isVoter(id) || this->formerMembership.isVoter(id);
    if (!isVoter || id == this->self() || !this->knownLostVoters.insert(id).second)
        return;
    if (this->replicaRole == ReplicaRole::Candidate)
        this->countVotes(now, out);
}

void Replica::becomeFollower(TimePoint now)
{
    this->replicaRole = ReplicaRole::Follower;
    this->knownLeader.reset();
    this->votes.clear();
    this->pendingReads.clear();
    this->joinRequests.clear();
    this->resetElectionTimer(now);
}

void Replica::startElection(VoteKind kind, TimePoint now, ReplicaOutbox &out)
{
    this->replicaRole = ReplicaRole::Candidate;
    this->knownLeader.reset();
    this->electionKind = kind;
    this->votes = { this->self() };
    std::uint64_t requestTerm = this->term() + 1;
    if (kind == VoteKind::Vote) {
        this->lostBeforeElection = this->knownLostVoters;
        this->durable.hardState = { .term = requestTerm, .votedFor = this->self() };
        out.writes.emplace_back(SaveHardState { .hardState = this->durable.hardState });
    }
    const VoteRequest request = { .kind = kind,
                                  .term = requestTerm,
                                  .lastIndex = this->lastIndex(),
                                  .lastTerm = this->lastTerm() };
    for (const MemberId &voter : this->otherVoters())
        this->sendAfterSync(voter, request, out);
    this->countVotes(now, out);
}

std::set<MemberId> Replica::otherVoters() const
{
    std::set<MemberId> voters = this->activeMembership.voters();
    if (!this->areVotersCommitted())
        voters.merge(this->formerMembership.voters());
    voters.erase(this->self());
    return voters;
}

bool Replica::isQuorum(const std::set<MemberId> &members, const std::set<MemberId> &lost) const
{
    return QuorumRule { .membership = this->activeMembership,
                        .formerMembership = this->formerMembership,
                        .areVotersCommitted = this->areVotersCommitted(),
                        .lostVoters = lost }
        .isQuorum(members);
}

template<typename Matches>
std::set<MemberId> Replica::selfAnd(const Matches &matches) const
{
    std::set<MemberId> members = { this->self() };
    for (const auto &[id, memberProgress] : this->progress)
        if (matches(memberProgress))
            members.insert(id);
    return members;
}

void Replica::countVotes(TimePoint now, ReplicaOutbox &out)
{
    const bool isPreVote = this->electionKind == VoteKind::PreVote;
    if (!this->isQuorum(this->votes, isPreVote ? this->knownLostVoters : this->lostBeforeElection))
        return;
    if (isPreVote)
        this->startElection(VoteKind::Vote, now, out);
    else
        this->becomeLeader(now, out);
}

void Replica::becomeLeader(TimePoint now, ReplicaOutbox &out)
{
    this->replicaRole = ReplicaRole::Leader;
    this->knownLeader = this->self();
    this->progress.clear();
    this->trackMembers(now);
    this->adoptSilences();
    this->append(Noop {}, out);
    this->termStartIndex = this->lastIndex();
    this->sendAppends(now, out);
    this->advanceCommit(out);
}

void Replica::resetElectionTimer(TimePoint now)
{
    const auto minDelay = this->options.electionTimeout.count();
    std::uniform_int_distribution<Duration::rep> delay(minDelay, 2 * minDelay);
    this->electionDueAt = now + Duration(delay(this->random));
}

void Replica::append(EntryBody body, ReplicaOutbox &out)
{
    LogEntry entry
        = { .index = this->lastIndex() + 1, .term = this->term(), .body = std::move(body) };
    out.writes.emplace_back(SaveEntries { .entries = { std::move(entry) } });
    applyWrite(out.writes.back(), this->durable);
}

void Replica::sendAppends(TimePoint now, ReplicaOutbox &out)
{
    ++this->round;
    this->heartbeatDueAt = now + this->options.heartbeatInterval;
    for (const Member &member : this->activeMembership.members)
        if (member.id != this->self())
            this->sendAppend(member.id, now, out);
}

void Replica::sendAppend(const MemberId &to, TimePoint now, ReplicaOutbox &out)
{
    Progress &progress = this->progress.at(to);
    progress.sentAt = now;
    // Repeated with each heartbeat, what is sent to a silent member would fill the memory.
    const bool isProbeInFlight = progress.isProbing && progress.isProbeInFlight;
    if (isProbeInFlight)
        progress.nextIndex = std::max(progress.nextIndex, this->durable.snapshot.index + 1);
    progress.isProbeInFlight = true;
    if (progress.nextIndex <= this->durable.snapshot.index) {
        this->send(to,
                   SnapshotRequest { .term = this->term(),
                                     .round = this->round,
                                     .snapshot = this->durable.snapshot },
                   out.sendBeforeSync);
        progress.nextIndex = this->durable.snapshot.index + 1;
        progress.isProbing = true;
        return;
    }
    AppendRequest request;
    request.term = this->term();
    request.previousIndex = progress.nextIndex - 1;
    request.previousTerm = *this->termAt(request.previousIndex);
    request.commitIndex = this->committedIndex;
    request.round = this->round;
    request.silences = this->silences(now);
    const std::uint64_t remaining = this->lastIndex() + 1 - progress.nextIndex;
    const std::uint64_t limit = std::min<std::uint64_t>(remaining, this->options.entriesPerAppend);
    std::size_t bytes = 0;
    while (!isProbeInFlight && request.entries.size() < limit) {
        const LogEntry &entry = this->entryAt(progress.nextIndex + request.entries.size());
        if (const auto *command = std::get_if<Command>(&entry.body))
            bytes += command->bytes.size();
        if (bytes > internal::maxBytesPerAppend && !request.entries.empty())
            break;
        request.entries.push_back(entry);
    }
    // Once the logs are known to match, appends are pipelined without waiting for replies.
    if (!progress.isProbing)
        progress.nextIndex += request.entries.size();
    this->send(to, std::move(request), out.sendBeforeSync);
}

void Replica::advanceCommit(ReplicaOutbox &out)
{
    const std::uint64_t index = this->quorumIndex();
    // An entry of an earlier term is committed only through a later entry of the current term.
    if (index > this->committedIndex && this->termAt(index) == this->term())
        this->commitUpTo(index, out);
    this->caughtUp = this->caughtUp || this->isLeaderReady();
    this->confirmReads(out);
}

void Replica::commitUpTo(std::uint64_t index, ReplicaOutbox &out)
{
    while (this->committedIndex < index) {
        ++this->committedIndex;
        const LogEntry &entry = this->entryAt(this->committedIndex);
        if (const auto *membership = std::get_if<GroupMembership>(&entry.body))
            this->recordCommitted(*membership);
        out.committedEntries.push_back(entry);
    }
}

// A leader that has only the entry that changes the voters can't tell that it is committed, and
// needs those from before the change, too, until it has the entry that repeats it.
void Replica::recordCommitted(const GroupMembership &membership)
{
    if (membership.voters() == this->committedMembers.voters())
        this->confirmedMembers = membership;
    this->committedMembers = membership;
}

// A leader has all entries that were committed before its election, but knows that they are
// committed only once an entry of its own term is.
void Replica::updateCaughtUp(std::uint64_t leaderCommit)
{
    const bool isAtLeaderCommit = this->committedIndex >= leaderCommit;
    if (isAtLeaderCommit && this->termAt(leaderCommit) == this->term())
        this->caughtUp = true;
}

void Replica::confirmReads(ReplicaOutbox &out)
{
    if (!this->isLeaderReady())
        return;
    std::erase_if(this->pendingReads, [&](const PendingRead &read) {
        const bool confirmed = this->isQuorum(
            this->selfAnd([&](const Progress &p) { return p.acknowledgedRound >= read.round; }),
            this->lostBeforeElection);
        if (confirmed)
            out.confirmedReads.push_back(read.token);
        return confirmed;
    });
}

void Replica::adoptSnapshotMembership()
{
    this->committedMembers = this->durable.snapshot.membership;
    this->confirmedMembers = this->committedMembers;
    this->adoptMembershipFromLog();
}

void Replica::adoptMembershipFromLog()
{
    this->activeMembership = this->durable.snapshot.membership;
    this->formerMembership = this->activeMembership;
    this->membershipIndex = this->durable.snapshot.index;
    for (const LogEntry &entry : this->durable.entries) {
        if (const auto *membership = std::get_if<GroupMembership>(&entry.body)) {
            this->formerMembership = std::exchange(this->activeMembership, *membership);
            this->membershipIndex = entry.index;
        }
    }
    std::erase_if(this->knownLostVoters, [&](const MemberId &id) {
        return !this->activeMembership.isVoter(id) && !this->formerMembership.isVoter(id);
    });
}

void Replica::trackMembers(TimePoint now)
{
    for (const Member &member : this->activeMembership.members) {
        Progress initial;
        initial.nextIndex = this->lastIndex() + 1;
        initial.lastSeenAt = now;
        initial.silentSince = now;
        if (member.id != this->self())
            this->progress.try_emplace(member.id, initial);
    }
    std::erase_if(this->progress,
                  [&](const auto &item) { return !this->activeMembership.contains(item.first); });
}

void Replica::send(const MemberId &to, ReplicaMessage message,
                   std::vector<ReplicaEnvelope> &messages) const
{
    messages.push_back({ .from = this->self(),
                         .to = to.node,
                         .receiverIncarnation = to.incarnation,
                         .message = std::move(message) });
}

void Replica::sendAfterSync(const MemberId &to, ReplicaMessage message, ReplicaOutbox &out) const
{
    this->send(to, std::move(message), out.sendAfterSync);
}

std::optional<std::uint64_t> Replica::termAt(std::uint64_t index) const
{
    if (index == this->durable.snapshot.index)
        return this->durable.snapshot.term;
    if (index < this->durable.snapshot.index || index > this->lastIndex())
        return std::nullopt;
    return this->entryAt(index).term;
}

std::uint64_t Replica::lastTerm() const
{
    return *this->termAt(this->lastIndex());
}

bool Replica::isUpToDate(std::uint64_t lastIndex, std::uint64_t lastTerm) const
{
    if (lastTerm != this->lastTerm())
        return lastTerm > this->lastTerm();
    return lastIndex >= this->lastIndex();
}

bool Replica::isInContactWithQuorum(TimePoint now) const
{
    const Duration timeout = 2 * this->options.electionTimeout;
    return this->isQuorum(
        this->selfAnd([&](const Progress &p) { return now < p.lastSeenAt + timeout; }),
        this->lostBeforeElection);
}

std::uint64_t Replica::quorumIndex() const
{
    std::set<std::uint64_t, std::greater<>> indices = { this->lastIndex() };
    for (const auto &[id, memberProgress] : this->progress)
        indices.insert(memberProgress.matchIndex);
    std::erase_if(indices, [&](std::uint64_t index) { return index <= this->committedIndex; });
    const auto isHeldByQuorum = [&](std::uint64_t index) {
        return this->isQuorum(
            this->selfAnd([&](const Progress &p) { return p.matchIndex >= index; }),
            this->lostBeforeElection);
    };
    const auto highest = std::ranges::find_if(indices, isHeldByQuorum);
    return highest == indices.end() ? this->committedIndex : *highest;
}

const LogEntry &Replica::entryAt(std::uint64_t index) const
{
    return this->durable.entries.at(index - this->durable.snapshot.index - 1);
}

} // namespace Hibiscus
