#include "Hibiscus/src/Rules/ControlNode.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxRecentFiles = 32;

} // namespace internal

ControlNode::ControlNode(const ControlOptions &options, const DurableState &durable,
                         std::uint64_t seed, TimePoint now)
    : options(options), replicated(options.replicated, durable, seed, now)
{ }

void ControlNode::receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
{
    this->replicated.receive(envelope, now, out.log);
    this->settle(now, out);
}

void ControlNode::receive(const RulesAcknowledgement &acknowledged, TimePoint now, Outbox &out)
{
    const bool isListed
        = std::ranges::any_of(this->options.recipients, [&](const RulesRecipient &entry) {
              return entry.node == acknowledged.node;
          });
    if (!this->replica().isLeader() || !isListed) {
        this->offer(acknowledged, now, out);
        return;
    }
    EntryView &view = this->views[acknowledged.node];
    const bool differs = view.acknowledged != acknowledged;
    view.acknowledged = acknowledged;
    // An answer with another version than the one sent: the base was missing, so send at once.
    if (differs && view.sentVersion != acknowledged.version)
        view.sentVersion.reset();
    this->settle(now, out);
}

void ControlNode::receive(const FetchRules &fetch, TimePoint now, Outbox &out)
{
    if (!this->replica().isLeader()) {
        if (fetch.acceptsLastKnown && this->state().version() > 0)
            out.updates.push_back({ .to = fetch.node, .update = this->wholeFile(false) });
        return;
    }
    const std::uint64_t token = this->nextToken++;
    this->pendingFetches[token] = fetch.node;
    this->replicated.requestRead(token, now, out.log);
    this->settle(now, out);
}

void ControlNode::apply(const RequestId &request, ApplyRules command, TimePoint now, Outbox &out)
{
    command.at = now;
    this->replicated.submit(request, command, now, out.log);
    this->settle(now, out);
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
    this->settle(now, out);
}

void ControlNode::tick(TimePoint now, Outbox &out)
{
    this->replicated.tick(now, out.log);
    this->settle(now, out);
}

void ControlNode::requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
{
    this->replicated.requestJoin(nodes, out.log);
}

void ControlNode::setRecipients(const std::vector<RulesRecipient> &recipients)
{
    this->options.recipients = recipients;
    std::erase_if(this->views, [&](const auto &view) {
        return std::ranges::none_of(
            recipients, [&](const RulesRecipient &entry) { return entry.node == view.first; });
    });
}

void ControlNode::settle(TimePoint now, Outbox &out)
{
    for (const auto &answer : out.log.responses) {
        ApplyResponse report;
        report.request = answer.request;
        report.reply = answer.reply;
        report.leader = answer.leader;
        const bool accepted = answer.reply && answer.reply->status == ApplyStatus::Accepted;
        if (accepted)
            this->pendingApplies.push_back(
                { .report = report, .giveUpAt = now + this->options.confirmationTimeout });
        else
            out.applyResponses.push_back(report);
    }
    out.log.responses.clear();
    this->rememberText(now);
    if (!this->replica().isLeader()) {
        this->dropRequests(out);
        return;
    }
    this->answerReads(out);
    if (this->replica().isLeaderReady())
        this->spread(now, out);
    this->answerApplies(now, out);
}

// What was accepted stays accepted, but a former leader cannot say where it is in force.
void ControlNode::dropRequests(Outbox &out)
{
    const std::optional<NodeName> leader = this->replicated.redirect({}).leader;
    for (const auto &[token, request] : this->pendingReads)
        out.readResponses.push_back({ .request = request, .leader = leader });
    for (const PendingApply &pending : this->pendingApplies)
        out.applyResponses.push_back({ .request = pending.report.request, .leader = leader });
    this->pendingReads.clear();
    this->pendingApplies.clear();
    this->pendingFetches.clear();
    this->views.clear();
}

void ControlNode::spread(TimePoint now, Outbox &out)
{
    const std::uint64_t version = this->state().version();
    for (const RulesRecipient &entry : this->options.recipients) {
        EntryView &view = this->views[entry.node];
        const bool isCurrent = view.acknowledged && view.acknowledged->version >= version;
        const bool isResendDue = now >= view.sentAt + this->options.resendInterval;
        const bool isNew = view.sentVersion != version;
        if (isCurrent || (!isNew && !isResendDue))
            continue;
        out.updates.push_back({ .to = entry.node, .update = this->updateFor(view.acknowledged) });
        view.sentVersion = version;
        view.sentAt = now;
    }
}

void ControlNode::answerReads(Outbox &out)
{
    for (const std::uint64_t token : out.log.replica.confirmedReads) {
        if (const auto found = this->pendingReads.find(token); found != this->pendingReads.end()) {
            const RulesFile file
                = { .version = this->state().version(), .text = this->state().text() };
            out.readResponses.push_back(
                { .request = found->second, .file = file, .source = this->state().source() });
            this->pendingReads.erase(found);
        }
        if (const auto found = this->pendingFetches.find(token);
            found != this->pendingFetches.end()) {
            out.updates.push_back({ .to = found->second, .update = this->wholeFile(true) });
            this->pendingFetches.erase(found);
        }
    }
    out.log.replica.confirmedReads.clear();
}

void ControlNode::answerApplies(TimePoint now, Outbox &out)
{
    std::erase_if(this->pendingApplies, [&](PendingApply &pending) {
        ApplyResponse &report = pending.report;
        report.confirmed.clear();
        report.unconfirmed.clear();
        for (const RulesRecipient &entry : this->options.recipients) {
            const bool inForce = this->isInForceAt(entry.node, report.reply->version);
            (inForce ? report.confirmed : report.unconfirmed).push_back(entry);
        }
        const bool isDue = report.unconfirmed.empty() || now >= pending.giveUpAt;
        if (isDue)
            out.applyResponses.push_back(report);
        return isDue;
    });
}

void ControlNode::rememberText(TimePoint now)
{
    const std::uint64_t version = this->state().version();
    if (this->recentFiles.contains(version))
        return;
    this->versionSince = now;
    this->recentFiles[version] = { .version = version, .text = this->state().text() };
    if (this->recentFiles.size() > internal::maxRecentFiles)
        this->recentFiles.erase(this->recentFiles.begin());
}

// What this member holds is committed, so it stays true whether or not this member can reach the
// others.
void ControlNode::offer(const RulesAcknowledgement &held, TimePoint now, Outbox &out) const
{
    const bool isNews = held.version < this->state().version();
    if (!isNews || now < this->versionSince + this->options.offerAfter)
        return;
    RulesUpdate update = this->updateFor(held);
    update.isCatchUp = true;
    out.updates.push_back({ .to = held.node, .update = std::move(update) });
}

RulesUpdate ControlNode::updateFor(const std::optional<RulesAcknowledgement> &held) const
{
    if (!held)
        return this->wholeFile(false);
    const auto base = this->recentFiles.find(held->version);
    const bool hasBase
        = base != this->recentFiles.end() && digestOf(base->second.text) == held->digest;
    if (!hasBase)
        return this->wholeFile(false);
    const RulesDelta delta = RulesDelta::between(base->second.text, this->state().text());
    return { .content = RulesChanged { .version = this->state().version(), .delta = delta } };
}

RulesUpdate ControlNode::wholeFile(bool isConfirmed) const
{
    const RulesFile file = { .version = this->state().version(), .text = this->state().text() };
    return { .content = file, .isConfirmed = isConfirmed };
}

bool ControlNode::isInForceAt(const NodeName &node, std::uint64_t version) const
{
    const auto found = this->views.find(node);
    return found != this->views.end() && found->second.acknowledged
        && found->second.acknowledged->version >= version;
}

} // namespace Hibiscus
