#include "Hibiscus/src/Process/MembershipLog.h"

namespace Hibiscus {

namespace internal {

static std::string nameOf(const MemberId &id)
{
    return id.node.str() + "/" + std::to_string(id.incarnation);
}

static std::string membersWith(const GroupMembership &membership, MemberRole role)
{
    std::string names;
    for (const Member &member : membership.members) {
        if (member.role != role)
            continue;
        if (!names.empty())
            names += ' ';
        names += nameOf(member.id);
    }
    return names;
}

static std::string roleIn(const GroupMembership &membership, const MemberId &id)
{
    if (!membership.contains(id))
        return "removed";
    return membership.isVoter(id) ? "voter" : "learner";
}

static std::string millisecondsSince(TimePoint time, TimePoint now)
{
    return std::to_string(toMilliseconds(now - time));
}

} // namespace internal

void MembershipLog::update(const Replica &replica, TimePoint now)
{
    this->logAnnouncements(replica, now);
    this->logLostVoters(replica, now);
    this->logExchange(replica, now);
    this->logChange(replica, now);
    this->logMembers(replica);
    this->logCommit(replica, now);
}

void MembershipLog::logMembers(const Replica &replica)
{
    if (replica.membership() == this->loggedMembership)
        return;
    this->loggedMembership = replica.membership();
    logEvent("members",
             { { "voters", internal::membersWith(this->loggedMembership, MemberRole::Voter) },
               { "learners", internal::membersWith(this->loggedMembership, MemberRole::Learner) },
               { "term", std::to_string(replica.term()) },
               { "last_index", std::to_string(replica.lastIndex()) } });
}

void MembershipLog::logLostVoters(const Replica &replica, TimePoint now)
{
    for (const MemberId &lost : replica.lostVoters())
        if (!this->lostVoters.contains(lost) && this->lines.take(now))
            logEvent("voter-disk-lost",
                     { { "member", internal::nameOf(lost) },
                       { "voters", std::to_string(replica.membership().voterCount()) },
                       { "term", std::to_string(replica.term()) },
                       { "omitted", std::to_string(this->lines.takeOmitted()) } });
    this->lostVoters = replica.lostVoters();
}

void MembershipLog::logChange(const Replica &replica, TimePoint now)
{
    const std::optional<MembershipChange> &change = replica.latestChange();
    if (!change || change->index == this->loggedIndex)
        return;
    this->loggedIndex = change->index;
    this->changedAt = now;
    this->uncommittedChange = change;
    logEvent("member-changed",
             { { "member", internal::nameOf(change->member) },
               { "role", internal::roleIn(change->membership, change->member) },
               { "cause", toString(change->cause) },
               { "voters", std::to_string(change->membership.voterCount()) },
               { "index", std::to_string(change->index) },
               { "term", std::to_string(replica.term()) } });
}

// The change of a leader that was deposed meanwhile is committed by another one, or lost.
void MembershipLog::logCommit(const Replica &replica, TimePoint now)
{
    if (!this->uncommittedChange)
        return;
    const bool isCommitted = replica.commitIndex() >= this->uncommittedChange->index;
    if (replica.isLeader() && !isCommitted)
        return;
    const MemberId member = this->uncommittedChange->member;
    const auto announcement = replica.leaveAnnouncements().find(member);
    const bool isHandover = this->uncommittedChange->cause == MembershipCause::VoterLeaving
        && !this->uncommittedChange->membership.isVoter(member)
        && announcement != replica.leaveAnnouncements().end();
    logEvent(
        isCommitted ? "member-change-committed" : "member-change-interrupted",
        { { "member", internal::nameOf(member) },
          { "index", std::to_string(this->uncommittedChange->index) },
          { "after_ms", internal::millisecondsSince(this->changedAt, now) },
          { "since_announcement_ms",
            isHandover ? internal::millisecondsSince(announcement->second.firstAt, now) : "" } });
    this->uncommittedChange.reset();
}

void MembershipLog::logAnnouncements(const Replica &replica, TimePoint now)
{
    for (const auto &[id, announcement] : replica.leaveAnnouncements()) {
        const auto known = this->announcements.find(id);
        const bool isNew
            = known == this->announcements.end() || known->second.firstAt != announcement.firstAt;
        if (isNew && this->lines.take(now))
            logEvent("member-leaving",
                     { { "member", internal::nameOf(id) },
                       { "role", internal::roleIn(replica.membership(), id) },
                       { "is_leader", replica.isLeader() ? "yes" : "no" },
                       { "omitted", std::to_string(this->lines.takeOmitted()) } });
    }
    this->announcements = replica.leaveAnnouncements();
    for (const auto &[id, announcement] : this->announcements)
        if (replica.isLeader() && replica.isLeaving(id, now))
            this->believedSince.try_emplace(id, now);
    std::erase_if(this->believedSince, [&](const auto &item) {
        if (replica.isLeader() && replica.isLeaving(item.first, now))
            return false;
        const char *cause = "leadership-lost";
        if (replica.isLeader())
            cause = replica.membership().contains(item.first) ? "heard-again" : "removed";
        if (this->lines.take(now))
            logEvent("member-not-leaving",
                     { { "member", internal::nameOf(item.first) },
                       { "cause", cause },
                       { "believed_ms", internal::millisecondsSince(item.second, now) },
                       { "omitted", std::to_string(this->lines.takeOmitted()) } });
        return true;
    });
}

void MembershipLog::logExchange(const Replica &replica, TimePoint now)
{
    const std::optional<PendingExchange> pending = replica.pendingExchange(now);
    const bool isSame = pending && this->exchange && pending->voter == this->exchange->logged.voter
        && pending->cause == this->exchange->logged.cause;
    if (this->exchange && !isSame) {
        const PendingExchange &ended = this->exchange->logged;
        const char *outcome = "dropped";
        if (!replica.isLeader())
            outcome = "leadership-lost";
        else if (!replica.membership().isVoter(ended.voter))
            outcome = "done";
        if (this->lines.take(now))
            logEvent("vote-exchange-ended",
                     { { "voter", internal::nameOf(ended.voter) },
                       { "cause", toString(ended.cause) },
                       { "outcome", outcome },
                       { "after_ms", internal::millisecondsSince(this->exchange->begunAt, now) },
                       { "omitted", std::to_string(this->lines.takeOmitted()) } });
        this->exchange.reset();
    }
    if (!pending || (this->exchange && this->exchange->logged.isAtSameStep(*pending)))
        return;
    const TimePoint begunAt = this->exchange ? this->exchange->begunAt : now;
    this->exchange = Exchange { .logged = *pending, .begunAt = begunAt };
    if (this->lines.take(now))
        logEvent("vote-exchange",
                 { { "voter", internal::nameOf(pending->voter) },
                   { "cause", toString(pending->cause) },
                   { "waits_for", toString(pending->obstacle) },
                   { "learner", pending->learner ? internal::nameOf(*pending->learner) : "" },
                   { "missing_entries", std::to_string(pending->missingEntries) },
                   { "voters", std::to_string(replica.membership().voterCount()) },
                   { "since_ms", internal::millisecondsSince(begunAt, now) },
                   { "omitted", std::to_string(this->lines.takeOmitted()) } });
}

} // namespace Hibiscus
