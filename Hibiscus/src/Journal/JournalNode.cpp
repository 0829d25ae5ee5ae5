#include "Hibiscus/src/Journal/JournalNode.h"

namespace Hibiscus {

namespace internal {

/** \brief Sets the leader's time in the commands that carry one. */
static JournalCommand withLeaderTime(JournalCommand command, TimePoint now)
{
    if (auto *open = std::get_if<OpenJob>(&command))
        open->at = now;
    if (auto *refuse = std::get_if<RefuseJob>(&command))
        refuse->at = now;
    if (auto *abandon = std::get_if<AbandonJob>(&command))
        abandon->at = now;
    return command;
}

constexpr std::size_t maxAbandonedPerSweep = 256;
constexpr Duration expiryInterval = 30s;

} // namespace internal

JournalNode::JournalNode(const JournalOptions &options, const DurableState &durable,
                         std::uint64_t seed, TimePoint now)
    : options(options), replicated(options.replicated, durable, seed, now), nextSweepAt(now)
{ }

void JournalNode::receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
{
    this->replicated.receive(envelope, now, out);
    this->sendReplies(now, out);
}

void JournalNode::receive(const JournalRequest &request, TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        out.responses.push_back(this->replicated.redirect(request.request));
        return;
    }
    this->lastSeenAt[request.coordinator] = now;
    std::visit(
        Overloaded {
            [&](const JournalCommand &command) {
                this->replicated.submit(request.request, internal::withLeaderTime(command, now),
                                        now, out);
            },
            [&](const LookUpJob &lookUp) {
                const std::uint64_t token = this->nextToken++;
                this->pendingLookUps[token] = { .request = request.request, .id = lookUp.id };
                this->replicated.requestRead(token, now, out);
            },
            [&](const CoordinatorHeartbeat &) {
                out.responses.push_back({ .request = request.request, .reply = JournalReply {} });
            },
        },
        request.body);
    this->sendReplies(now, out);
}

void JournalNode::tick(TimePoint now, Outbox &out)
{
    this->replicated.tick(now, out);
    if (this->replica().isLeaderReady() && now >= this->nextSweepAt)
        this->sweep(now, out);
    this->sendReplies(now, out);
}

void JournalNode::requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
{
    this->replicated.requestJoin(nodes, out);
}

void JournalNode::suspend(TimePoint now, Outbox &out)
{
    this->replicated.suspend(now, out);
    this->sendReplies(now, out);
}

void JournalNode::sendReplies(TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        for (const auto &[token, lookUp] : this->pendingLookUps)
            out.responses.push_back(this->replicated.redirect(lookUp.request));
        this->pendingLookUps.clear();
        this->leaderSince.reset();
        this->lastSeenAt.clear();
        return;
    }
    if (!this->leaderSince)
        this->leaderSince = now;
    for (const std::uint64_t token : out.replica.confirmedReads) {
        const auto found = this->pendingLookUps.find(token);
        if (found == this->pendingLookUps.end())
            continue;
        out.responses.push_back(
            { .request = found->second.request, .reply = this->state().find(found->second.id) });
        this->pendingLookUps.erase(found);
    }
    out.replica.confirmedReads.clear();
    for (JournalResponse &response : out.responses)
        if (response.reply && response.reply->status == JournalStatus::OpenElsewhere)
            response.reply->isCoordinatorSilent = this->isSilentFor(
                response.reply->claim.coordinator, this->options.coordinatorLease, now);
}

void JournalNode::sweep(TimePoint now, Outbox &out)
{
    this->nextSweepAt = now + this->options.sweepInterval;
    std::vector<AbandonJob> orphaned;
    for (const auto &[id, record] : this->state().jobs()) {
        const bool isOrphaned = !record.answer
            && this->isSilentFor(record.claim.coordinator, this->options.abandonTimeout, now);
        if (isOrphaned && orphaned.size() < internal::maxAbandonedPerSweep)
            orphaned.push_back({ .id = id, .claim = record.claim, .at = now });
    }
    for (const AbandonJob &command : orphaned)
        this->replicated.submit({}, command, now, out);
    const auto sinceEpoch = now.time_since_epoch();
    const bool expiryIsDue = sinceEpoch % internal::expiryInterval < this->options.sweepInterval;
    if (expiryIsDue && this->state().size() > 0)
        this->replicated.submit({}, ExpireJobs { .at = now }, now, out);
}

bool JournalNode::isSilentFor(const CoordinatorId &coordinator, Duration span, TimePoint now) const
{
    const auto found = this->lastSeenAt.find(coordinator);
    const TimePoint since = found == this->lastSeenAt.end()
        ? *this->leaderSince
        : std::max(found->second, *this->leaderSince);
    return now > since + span;
}

} // namespace Hibiscus
