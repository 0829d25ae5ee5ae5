#include "Hibiscus/src/Rules/ControlNode.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxRecentFiles = 32;

// The operator sends the change again, which is safe because changes are idempotent, and the
// repetition waits for copies as well.
static ApplyResponse withoutReply(const ApplyResponse &response)
{
    const std::optional<std::uint64_t> revision = response.reply->evacuationRevision;
    ApplyResponse result = { .request = response.request, .copies = response.copies };
    if (revision)
        result.revisionWithoutCopies = revision;
    else
        result.versionWithoutCopies = response.reply->version;
    return result;
}

} // namespace internal

ControlNode::ControlNode(const ControlOptions &options, const DurableState &durable,
                         std::uint64_t seed, TimePoint now)
    : options(options), replicated(options.replicated, durable, seed, now)
{ }

void ControlNode::receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
{
    this->replicated.receive(envelope, now, out.log);
    this->processReplicaOutput(now, out);
}

void ControlNode::receive(const RulesAcknowledgement &acknowledgement, TimePoint now, Outbox &out)
{
    const bool isListed
        = std::ranges::any_of(this->options.recipients, [&](const RulesRecipient &recipient) {
              return recipient.node == acknowledgement.node;
          });
    if (!this->replica().isLeader() || !isListed) {
        this->sendCatchUp(acknowledgement, now, out);
        return;
    }
    RecipientState &recipientState = this->recipientStates[acknowledgement.node];
    const bool isChanged = recipientState.acknowledgement != acknowledgement;
    recipientState.acknowledgement = acknowledgement;
    // The acknowledged version is not the one sent, so the base of the delta was missing: send
    // again without waiting for the resend interval.
    if (isChanged && recipientState.sentVersion != acknowledgement.version)
        recipientState.sentVersion.reset();
    this->processReplicaOutput(now, out);
}

void ControlNode::receive(const FetchRules &fetch, TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        const bool hasNewer = this->replica().hasCaughtUp()
            && (this->state().version() > fetch.heldVersion
                || this->state().evacuations().revision > fetch.heldRevision);
        if (fetch.acceptsLastKnown && hasNewer)
            out.updates.push_back({ .to = fetch.node, .update = this->wholeFile(false) });
        return;
    }
    this->waitingFetches[fetch.node]
        = { .node = fetch.node, .version = fetch.heldVersion, .digest = fetch.heldDigest };
    this->confirmFetches(now, out);
    this->processReplicaOutput(now, out);
}

// After a loss of power every gateway asks at once and repeatedly. One read at a time confirms the
// rules for all that have asked before it.
void ControlNode::confirmFetches(TimePoint now, Outbox &out)
{
    if (this->fetchToken || this->waitingFetches.empty())
        return;
    this->confirmingFetches = std::exchange(this->waitingFetches, {});
    this->fetchToken = this->nextToken++;
    this->replicated.requestRead(*this->fetchToken, now, out.log);
}

void ControlNode::apply(const RequestId &request, ApplyRules command, TimePoint now, Outbox &out)
{
    command.at = now;
    this->replicated.submit(request, { .body = std::move(command) }, now, out.log);
    this->processReplicaOutput(now, out);
}

void ControlNode::apply(const RequestId &request, ChangeEvacuation command, TimePoint now,
                        Outbox &out)
{
    command.at = now;
    this->replicated.submit(request, { .body = std::move(command) }, now, out.log);
    this->processReplicaOutput(now, out);
}

void ControlNode::requestRead(const RequestId &request, TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        out.readResponses.push_back(
            { .request = request, .leader = this->replicated.redirect(request).leader });
        return;
    }
    const std::uint64_t token = this->nextToken++;
    this->pendingReads[token] = request;
    this->replicated.requestRead(token, now, out.log);
    this->processReplicaOutput(now, out);
}

void ControlNode::tick(TimePoint now, Outbox &out)
{
    this->replicated.tick(now, out.log);
    this->processReplicaOutput(now, out);
}

void ControlNode::requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
{
    this->replicated.requestJoin(nodes, out.log);
}

// A change whose request is redirected may still be committed by the others. The operator sends it
// again, which is safe because changes are idempotent.
void ControlNode::suspend(TimePoint now, Outbox &out)
{
    this->replicated.suspend(now, out.log);
    out.updates.clear();
    for (ApplyResponse &response : out.applyResponses)
        response = { .request = response.request };
    for (RulesReadResponse &response : out.readResponses)
        response = { .request = response.request };
    for (const auto &response : std::exchange(out.log.responses, {}))
        out.applyResponses.push_back({ .request = response.request });
    this->redirectPendingRequests(out);
}

void ControlNode::setRecipients(const std::vector<RulesRecipient> &recipients)
{
    this->options.recipients = recipients;
    std::erase_if(this->recipientStates, [&](const auto &item) {
        return std::ranges::none_of(recipients, [&](const RulesRecipient &recipient) {
            return recipient.node == item.first;
        });
    });
}

void ControlNode::processReplicaOutput(TimePoint now, Outbox &out)
{
    for (const auto &logResponse : out.log.responses) {
        ApplyResponse response;
        response.request = logResponse.request;
        response.reply = logResponse.reply;
        response.leader = logResponse.leader;
        const bool isAccepted
            = logResponse.reply && logResponse.reply->status == ApplyStatus::Accepted;
        if (isAccepted)
            this->pendingApplies.push_back(
                { .response = response,
                  .index = this->replica().commitIndex(),
                  .respondBy = now + this->options.confirmationTimeout });
        else
            out.applyResponses.push_back(response);
    }
    out.log.responses.clear();
    this->recordCurrentFile(now);
    if (!this->replica().isLeader()) {
        this->redirectPendingRequests(out);
        return;
    }
    this->respondToReads(now, out);
    if (this->replica().isLeaderReady())
        this->sendUpdates(now, out);
    this->respondToApplies(now, out);
}

// Accepted changes stay accepted, but a deposed leader no longer learns where they are in force, so
// pending requests are redirected to the new leader.
void ControlNode::redirectPendingRequests(Outbox &out)
{
    const std::optional<NodeName> leader = this->replicated.redirect({}).leader;
    for (const auto &[token, request] : this->pendingReads)
        out.readResponses.push_back({ .request = request, .leader = leader });
    for (const PendingApply &pending : this->pendingApplies)
        out.applyResponses.push_back({ .request = pending.response.request, .leader = leader });
    this->pendingReads.clear();
    this->pendingApplies.clear();
    this->waitingFetches.clear();
    this->confirmingFetches.clear();
    this->fetchToken.reset();
    this->sentCopies.clear();
    this->recipientStates.clear();
}

void ControlNode::sendUpdates(TimePoint now, Outbox &out)
{
    const std::uint64_t version = this->state().version();
    for (const RulesRecipient &recipient : this->options.recipients) {
        RecipientState &recipientState = this->recipientStates[recipient.node];
        const auto &acknowledgement = recipientState.acknowledgement;
        const bool isWithoutRules = !acknowledgement || acknowledgement->digest == 0;
        if (this->options.recipientsReport && isWithoutRules)
            continue;
        const bool isCurrent = acknowledgement && acknowledgement->version >= version;
        const bool isResendDue = now >= recipientState.sentAt + this->options.resendInterval;
        const bool isNew = recipientState.sentVersion != version;
        if (isCurrent || (!isNew && !isResendDue))
            continue;
        out.updates.push_back({ .to = recipient.node, .update = this->updateFor(acknowledgement) });
        recipientState.sentVersion = version;
        recipientState.sentAt = now;
    }
}

void ControlNode::respondToReads(TimePoint now, Outbox &out)
{
    while (!out.log.replica.confirmedReads.empty()) {
        this->respondToConfirmedReads(std::exchange(out.log.replica.confirmedReads, {}), now, out);
        this->confirmFetches(now, out);
    }
}

void ControlNode::respondToConfirmedReads(const std::vector<std::uint64_t> &tokens, TimePoint now,
                                          Outbox &out)
{
    for (const std::uint64_t token : tokens) {
        if (const auto found = this->pendingReads.find(token); found != this->pendingReads.end()) {
            const RulesFile file
                = { .version = this->state().version(), .text = this->state().text() };
            out.readResponses.push_back({ .request = found->second,
                                          .file = file,
                                          .source = this->state().source(),
                                          .evacuations = this->state().evacuations() });
            this->pendingReads.erase(found);
        }
        if (token == this->fetchToken)
            this->respondToFetches(now, out);
    }
}

void ControlNode::respondToFetches(TimePoint now, Outbox &out)
{
    const std::uint64_t version = this->state().version();
    std::erase_if(this->sentCopies, [&](const auto &item) {
        return item.second.version != version
            || now >= item.second.sentAt + this->options.copyInterval;
    });
    for (const auto &[node, held] : std::exchange(this->confirmingFetches, {})) {
        RulesUpdate update = this->updateFor(held);
        update.isConfirmed = true;
        const bool isWholeFile = std::holds_alternative<RulesFile>(update.content);
        if (isWholeFile
            && !this->sentCopies.try_emplace(node, SentCopy { .version = version, .sentAt = now })
                    .second)
            continue;
        out.updates.push_back({ .to = node, .update = std::move(update) });
    }
    this->fetchToken.reset();
}

// Entry nodes learn of an evacuation by the lists of the registry nodes, in a part of the time that
// they have for it, so its acknowledgement does not wait for them.
void ControlNode::respondToApplies(TimePoint now, Outbox &out)
{
    std::erase_if(this->pendingApplies, [&](PendingApply &pending) {
        ApplyResponse &response = pending.response;
        response.confirmed.clear();
        response.unconfirmed.clear();
        const bool awaitsRecipients = !response.reply->evacuationRevision;
        for (const RulesRecipient &recipient : this->options.recipients) {
            if (!awaitsRecipients)
                break;
            const bool isInForce = this->isInForceAt(recipient.node, response.reply->version);
            (isInForce ? response.confirmed : response.unconfirmed).push_back(recipient);
        }
        response.copies = this->replica().copiesOf(pending.index, now);
        const bool hasCopies = response.copies >= this->options.requiredCopies;
        const bool isComplete = hasCopies && response.unconfirmed.empty();
        const bool isDue = isComplete || now >= pending.respondBy;
        if (isDue)
            out.applyResponses.push_back(hasCopies ? response : internal::withoutReply(response));
        return isDue;
    });
}

void ControlNode::recordCurrentFile(TimePoint now)
{
    const std::uint64_t version = this->state().version();
    if (this->recentFiles.contains(version))
        return;
    this->currentVersionAt = now;
    this->recentFiles[version] = { .version = version, .text = this->state().text() };
    if (this->recentFiles.size() > internal::maxRecentFiles)
        this->recentFiles.erase(this->recentFiles.begin());
}

// The version that this member holds is committed, so it may be sent without contact to a quorum to
// a node that has an older one. It may be the first one of a node only if it is not from before the
// start of this member.
void ControlNode::sendCatchUp(const RulesAcknowledgement &acknowledgement, TimePoint now,
                              Outbox &out) const
{
    const bool isNewer = acknowledgement.version < this->state().version();
    const bool requestsRules = this->options.recipientsReport && acknowledgement.digest == 0;
    if (requestsRules || (acknowledgement.version == 0 && !this->replica().hasCaughtUp()))
        return;
    if (!isNewer || now < this->currentVersionAt + this->options.catchUpDelay)
        return;
    RulesUpdate update = this->updateFor(acknowledgement);
    update.isCatchUp = true;
    out.updates.push_back({ .to = acknowledgement.node, .update = std::move(update) });
}

RulesUpdate ControlNode::updateFor(const std::optional<RulesAcknowledgement> &acknowledgement) const
{
    if (!acknowledgement)
        return this->wholeFile(false);
    const auto base = this->recentFiles.find(acknowledgement->version);
    const bool hasBase
        = base != this->recentFiles.end() && digestOf(base->second.text) == acknowledgement->digest;
    if (!hasBase)
        return this->wholeFile(false);
    const RulesDelta delta = RulesDelta::between(base->second.text, this->state().text());
    return { .content = VersionedDelta { .version = this->state().version(), .delta = delta },
             .sender = this->replica().self().node,
             .evacuations = this->state().evacuations() };
}

RulesUpdate ControlNode::wholeFile(bool isConfirmed) const
{
    const RulesFile file = { .version = this->state().version(), .text = this->state().text() };
    return { .content = file,
             .isConfirmed = isConfirmed,
             .sender = this->replica().self().node,
             .evacuations = this->state().evacuations() };
}

bool ControlNode::isInForceAt(const NodeName &node, std::uint64_t version) const
{
    const auto found = this->recipientStates.find(node);
    return found != this->recipientStates.end() && found->second.acknowledgement
        && found->second.acknowledgement->version >= version;
}

} // namespace Hibiscus
