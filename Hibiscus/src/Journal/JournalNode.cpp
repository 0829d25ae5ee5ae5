#include "Hibiscus/src/Journal/JournalNode.h"

namespace Hibiscus {

namespace internal {

/** \brief Stamps the leader's time on the commands that carry one. */
static JournalCommand stamped(JournalCommand command, TimePoint now)
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
    : options(options), replicated(options.replicated, durable, seed, now), sweepAt(now)
{ }

void JournalNode::receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
{
    this->replicated.receive(envelope, now, out);
    this->settle(now, out);
}

void JournalNode::receive(const JournalRequest &request, TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        out.responses.push_back(this->replicated.redirect(request.request));
        return;
    }
    this->heardAt[request.coordinator] = now;
    std::visit(
        Overloaded {
            [&](const JournalCommand &command) {
                this->replicated.submit(request.request, internal::stamped(command, now), now, out);
            },
            [&](const LookUpJob &lookUp) {
                const std::uint64_t token = this->nextToken++;
                this->lookUps[token] = { .request = request.request, .id = lookUp.id };
                this->replicated.requestRead(token, now, out);
            },
            [&](const CoordinatorHeartbeat &) {
                out.responses.push_back({ .request = request.request, .reply = JournalReply {} });
            },
        },
        request.body);
    this->settle(now, out);
}

void JournalNode::tick(TimePoint now, Outbox &out)
{
    this->replicated.tick(now, out);
    if (this->replica().isLeaderReady() && now >= this->sweepAt)
        this->sweep(now, out);
    this->settle(now, out);
}

void JournalNode::requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
{
    this->replicated.requestJoin(nodes, out);
}

void JournalNode::settle(TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        for (const auto &[token, lookUp] : this->lookUps)
            out.responses.push_back(this->replicated.redirect(lookUp.request));
        this->lookUps.clear();
        this->leaderSince.reset();
        this->heardAt.clear();
        return;
    }
    if (!this->leaderSince)
        this->leaderSince = now;
    for (const std::uint64_t token : out.replica.confirmedReads) {
        const auto found = this->lookUps.find(token);
        if (found == this->lookUps.end())
            continue;
        out.responses.push_back(
            { .request = found->second.request, .reply = this->state().find(found->second.id) });
        this->lookUps.erase(found);
    }
    out.replica.confirmedReads.clear();
    for (JournalResponse &answer : out.responses)
        if (answer.reply && answer.reply->status == JournalStatus::OpenElsewhere)
            answer.reply->coordinatorIsSilent = this->isSilentFor(
                answer.reply->claim.coordinator, this->options.coordinatorLease, now);
}

void JournalNode::sweep(TimePoint now, Outbox &out)
{
    this->sweepAt = now + this->options.sweepInterval;
    std::vector<AbandonJob> lost;
    for (const auto &[id, record] : this->state().jobs()) {
        const bool isLost = !record.answer
            && this->isSilentFor(record.claim.coordinator, this->options.abandonTimeout, now);
        if (isLost && lost.size() < internal::maxAbandonedPerSweep)
            lost.push_back({ .id = id, .claim = record.claim, .at = now });
    }
    for (const AbandonJob &command : lost)
        this->replicated.submit({}, command, now, out);
    const auto sinceEpoch = now.time_since_epoch();
    const bool expiryIsDue = sinceEpoch % internal::expiryInterval < this->options.sweepInterval;
    if (expiryIsDue && this->state().size() > 0)
        this->replicated.submit({}, ExpireJobs { .at = now }, now, out);
}

bool JournalNode::isSilentFor(const CoordinatorId &coordinator, Duration span, TimePoint now) const
{
    const auto found = this->heardAt.find(coordinator);
    const TimePoint since = found == this->heardAt.end()
        ? *this->leaderSince
        : std::max(found->second, *this->leaderSince);
    return now > since + span;
}

} // namespace Hibiscus
