#include "Hibiscus/src/Process/RegistryProcess.h"

#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr Duration registryTick = 10ms;
/** \brief Interval of checks whether the gateways that changes wait for have changed. */
constexpr Duration recipientsInterval = 100ms;
/** \brief Time after which an accepted change is acknowledged even if some gateways are silent;
 * well under the second after which operators retry at another node.
 */
constexpr Duration confirmationTimeout = 700ms;
constexpr Duration registryHeartbeat = 80ms;
/** \brief Minimum election timeout: five heartbeats, since a member may wait for its disk or its
 * share of a processor. After a restart, callers wait for it.
 */
constexpr Duration registryElection = 400ms;
constexpr std::uint64_t changesPerSnapshot = 64;
/** \brief Size of the log at which a snapshot is due: the log is held in memory twice, and a
 * change has up to some hundreds of kilobytes.
 */
constexpr std::size_t logBytesPerSnapshot = 1'000'000;

constexpr int statusRedirect = 307;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

// If as many disks as tolerated are lost at once, the remaining members still form a quorum, and
// one of them has each acknowledged change.
static std::size_t votersFor(std::uint32_t toleratedLosses)
{
    return 2UL * toleratedLosses + 1;
}

// A committed change is on the disks of a quorum, which is too few while the group has fewer voters
// than it should, as at its first start.
static std::size_t copiesFor(std::uint32_t toleratedLosses)
{
    return 1UL + toleratedLosses;
}

static ControlOptions registryOptions(const NodeProfile &profile)
{
    ControlOptions options;
    options.replicated.replica.heartbeatInterval = registryHeartbeat;
    options.replicated.replica.electionTimeout = registryElection;
    options.replicated.replica.desiredVoters = votersFor(profile.toleratedLosses);
    options.replicated.entriesPerSnapshot = changesPerSnapshot;
    options.replicated.bytesPerSnapshot = logBytesPerSnapshot;
    options.confirmationTimeout = confirmationTimeout;
    options.recipientsReport = true;
    options.requiredCopies = copiesFor(profile.toleratedLosses);
    return options;
}

/** \returns the newest version in the log behind the snapshot, which may not be committed; 0: none.
 */
static std::uint64_t newestLoggedVersion(const Replica &replica)
{
    std::uint64_t newest = 0;
    for (const LogEntry &entry : replica.entries())
        if (const auto *command = std::get_if<Command>(&entry.body))
            if (const auto change = decode<ApplyRules>(command->bytes))
                newest = std::max(newest, change->assignedVersion);
    return newest;
}

} // namespace internal

Result<ReplicaDisk> RegistryProcess::openDisk(const NodeContext &node)
{
    const std::vector<NodeName> seeds = node.seeds();
    const std::filesystem::path folder = node.profile.dataFolder;
    const bool isFounder = node.profile.isFirstStart
        && std::ranges::find(seeds, node.name()) != seeds.end() && !DiskLog::exists(folder);
    if (isFounder) {
        const auto formatted
            = DiskLog::format(folder, initialState(node.name(), seeds, RulesState().save()));
        if (!formatted)
            return tl::unexpected<std::error_code>(formatted.error());
    }
    return ReplicaDisk::open(folder, node.name());
}

RegistryProcess::RegistryProcess(const NodeContext &nodeContext, ReplicaDisk openedDisk)
    : context(nodeContext), disk(std::move(openedDisk)),
      node(internal::registryOptions(nodeContext.profile), this->disk.state(),
           nodeContext.incarnation, this->loop.now()),
      directory({}, nodeContext.name()), ownerAssignment({}),
      relay(
          this->loop, nodeContext.relayOptions(), makeHttpTransport,
          [this](const WireMessage &message) { this->onMessage(message); },
          [](const NodeName &) {}),
      http(this->loop, { .address = *Address::parse(nodeContext.profile.operatorsAddress) },
           [this](const HttpRequest &request) { this->onRequest(request); }),
      metricsServer(this->loop,
                    { .address = *Address::parse(nodeContext.profile.metricsAddress),
                      .maxBodyBytes = HttpServer::smallBodyBytes,
                      .isNeverRefused = true },
                    [this](const HttpRequest &request) {
                        const TimePoint now = this->loop.now();
                        if (now >= this->metricsText.validUntil) {
                            this->updateMetrics();
                            this->metricsText = { .text = this->metrics.text(),
                                                  .validUntil = now + metricsLifetime };
                        }
                        this->metricsServer.respond(request.token,
                                                    { .contentType = "text/plain; version=0.0.4",
                                                      .body = this->metricsText.text });
                    }),
      metrics(nodeContext.profile.label), settingsWatcher(nodeContext.settingsPath),
      knownDomains({}, { nodeContext.profile.domains.begin(), nodeContext.profile.domains.end() },
                   this->loop.now())
{
    this->loop.memory().setLimits(this->context.connectionLimits());
    this->directory.setSeeds(this->context.seeds());
    this->knownDomains.record(this->context.profile.domain);
}

int RegistryProcess::run()
{
    const bool isListening
        = this->relay.listen() && this->http.listen() && this->metricsServer.listen();
    if (!isListening) {
        logError("cannot-listen", { { "address", this->context.profile.peerAddress } });
        return 1;
    }
    const Replica &replica = this->node.replica();
    logEvent("started",
             { { "role", "registry" },
               { "domain", this->context.profile.domain.str() },
               { "life", std::to_string(this->context.incarnation) },
               { "rules_version", std::to_string(this->node.state().version()) },
               { "logged_rules_version", std::to_string(internal::newestLoggedVersion(replica)) },
               { "snapshot_index", std::to_string(replica.snapshotIndex()) },
               { "last_index", std::to_string(replica.lastIndex()) },
               { "term", std::to_string(replica.term()) } });
    this->loop.run(
        internal::registryTick, [this] { this->onTick(); }, [this] { this->flushOutput(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void RegistryProcess::onRequest(const HttpRequest &request)
{
    const TimePoint now = this->loop.now();
    const ControlRequest parsed = this->context.protocol.readControlRequest(request);
    std::visit(Overloaded {
                   [&](const ReadRulesRequest &) {
                       this->requestPaths[request.token] = request.path;
                       this->node.requestRead(
                           { .node = this->context.name(), .number = request.token }, now,
                           this->out);
                   },
                   [&](const ReplaceRulesRequest &replacement) {
                       this->replaceRules(request, replacement);
                   },
                   [&](const ChangeEvacuationRequest &evacuation) {
                       this->changeEvacuation(request, evacuation);
                   },
                   [&](const TargetHeartbeat &heartbeat) {
                       this->handleHeartbeat(request.token, heartbeat);
                   },
                   [&](const Unsupported &unsupported) {
                       this->logRefusal(request, unsupported.feature);
                       this->http.respond(request.token, { .status = internal::statusUnavailable });
                   },
                   [&](const Malformed &malformed) {
                       this->logRefusal(request, malformed.reason);
                       this->http.respond(request.token,
                                          { .status = internal::statusBadRequest,
                                            .contentType = "text/plain",
                                            .body = malformed.reason + "\n" });
                   },
               },
               parsed);
}

void RegistryProcess::logRefusal(const HttpRequest &request, const std::string &reason)
{
    if (!this->refusalLines.take(this->loop.now()))
        return;
    logEvent("call-refused",
             { { "path", loggedText(request.path) },
               { "reason", loggedText(reason) },
               { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
}

// Invalid rules are refused whatever their version, so they are checked before the version is.
void RegistryProcess::replaceRules(const HttpRequest &request,
                                   const ReplaceRulesRequest &replacement)
{
    const auto rules = RuleSet::parse(replacement.rules);
    if (!rules) {
        if (this->refusalLines.take(this->loop.now()))
            logEvent("rules-refused",
                     { { "version", std::to_string(replacement.version) },
                       { "reason", loggedText(rules.error().reason) },
                       { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
        this->http.respond(request.token,
                           { .status = internal::statusBadRequest,
                             .contentType = "text/plain",
                             .body = rules.error().reason + "\n" });
        return;
    }
    ApplyRules command;
    command.applyId = std::to_string(replacement.version);
    command.author = "operator";
    command.text = replacement.rules;
    command.assignedVersion = replacement.version;
    command.source = replacement.source;
    this->requestPaths[request.token] = request.path;
    this->node.apply({ .node = this->context.name(), .number = request.token }, command,
                     this->loop.now(), this->out);
}

// Only the leader refuses a domain, as the others may have started later. A domain that may exist
// is refused with an answer after which operators try again.
void RegistryProcess::changeEvacuation(const HttpRequest &request,
                                       const ChangeEvacuationRequest &change)
{
    const TimePoint now = this->loop.now();
    const bool isLeader = this->node.replica().isLeader();
    const DomainStatus status = this->statusOf(change.domain, now);
    if (isLeader && status != DomainStatus::Known) {
        this->refuseEvacuation(request, change.domain, status == DomainStatus::Unknown);
        return;
    }
    if (this->evacuationLines.take(now))
        logEvent("evacuation-requested",
                 { { "domain", loggedText(change.domain.str()) },
                   { "evacuated", change.isEvacuated ? "yes" : "no" },
                   { "leader", isLeader ? "yes" : "no" },
                   { "omitted", std::to_string(this->evacuationLines.takeOmitted()) } });
    this->requestPaths[request.token] = request.path;
    const ChangeEvacuation command = { .domain = change.domain, .isEvacuated = change.isEvacuated };
    this->node.apply({ .node = this->context.name(), .number = request.token }, command, now,
                     this->out);
}

void RegistryProcess::refuseEvacuation(const HttpRequest &request, const DomainName &domain,
                                       bool isUnknown)
{
    ++this->evacuationCounts[isUnknown ? "unknown_domain" : "domain_not_known_yet"];
    if (this->evacuationLines.take(this->loop.now()))
        logEvent("evacuation-refused",
                 { { "path", loggedText(request.path) },
                   { "domain", loggedText(domain.str()) },
                   { "reason", isUnknown ? "unknown-domain" : "domain-not-known-yet" },
                   { "omitted", std::to_string(this->evacuationLines.takeOmitted()) } });
    this->http.respond(
        request.token,
        { .status = isUnknown ? internal::statusNotFound : internal::statusUnavailable,
          .contentType = "text/plain",
          .body = "no failure domain " + domain.str() + " is known\n" });
}

DomainStatus RegistryProcess::statusOf(const DomainName &domain, TimePoint now) const
{
    if (this->node.state().evacuations().domains.contains(domain))
        return DomainStatus::Known;
    return this->knownDomains.statusOf(domain, now);
}

void RegistryProcess::handleHeartbeat(std::uint64_t token, const TargetHeartbeat &heartbeat)
{
    const TimePoint now = this->loop.now();
    this->knownDomains.record(heartbeat.target.domain);
    const std::vector<NodeRecord> liveGateways = this->directory.liveGateways(now);
    const bool isLeaving = heartbeat.isLeaving || heartbeat.target.state == TargetState::Draining;
    // The owner of the target must learn this at once, and this node does not know which gateway it
    // is. A node that has just started knows no gateway that it could tell.
    if (isLeaving) {
        for (const NodeRecord &gateway : liveGateways)
            this->relay.send(gateway.node, heartbeat);
        const bool isAcknowledged = !liveGateways.empty();
        if (isAcknowledged || this->departureLines.take(now))
            logEvent(isAcknowledged ? "departure-acknowledged" : "departure-not-acknowledged",
                     { { "target", loggedText(heartbeat.target.name.str()) },
                       { "life", std::to_string(heartbeat.target.incarnation) },
                       { "sequence", std::to_string(heartbeat.target.sequence) },
                       { "state", heartbeat.isLeaving ? "shutting-down" : "draining" },
                       { "live_gateways", std::to_string(liveGateways.size()) },
                       { "omitted", std::to_string(this->departureLines.takeOmitted()) } });
        if (isAcknowledged)
            this->http.respond(token,
                               { .body = this->context.protocol.renderHeartbeatResponse("") });
        else
            this->http.respond(token, { .status = internal::statusUnavailable });
        return;
    }
    const auto owner = this->ownerAssignment.assign(heartbeat.target.name, heartbeat.target.domain,
                                                    liveGateways, now);
    if (this->assignmentLines.take(now))
        logEvent("target-assigned",
                 { { "target", heartbeat.target.name.str() },
                   { "life", std::to_string(heartbeat.target.incarnation) },
                   { "sequence", std::to_string(heartbeat.target.sequence) },
                   { "owner", owner ? owner->label : "" },
                   { "live_gateways", std::to_string(liveGateways.size()) },
                   { "omitted", std::to_string(this->assignmentLines.takeOmitted()) } });
    if (owner)
        this->relay.send(owner->node, heartbeat);
    this->http.respond(token,
                       { .body = this->context.protocol.renderHeartbeatResponse(
                             owner ? owner->targetsAddress : "") });
}

void RegistryProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    std::visit(Overloaded {
                   [&](const ReplicaEnvelope &envelope) {
                       if (this->disk.isAvailable())
                           this->node.receive(envelope, now, this->out);
                   },
                   [&](const RulesAcknowledgement &acknowledgement) {
                       this->node.receive(acknowledgement, now, this->out);
                   },
                   [&](const FetchRules &fetch) { this->node.receive(fetch, now, this->out); },
                   [&](const NodeAnnouncement &announcement) {
                       this->handleAnnouncement(announcement, now);
                   },
                   [&](const NodeList &list) {
                       this->directory.mergeList(list, now);
                       if (this->directory.listedIncarnation() > this->context.incarnation)
                           this->context.raiseIncarnation(this->directory.listedIncarnation() + 1);
                   },
                   [](const auto &) {},
               },
               message);
}

void RegistryProcess::handleAnnouncement(const NodeAnnouncement &announcement, TimePoint now)
{
    NodeList list = this->directory.answer(announcement,
                                           this->context.record(NodeKind::Registry, false), now);
    list.rulesVersion = this->node.state().version();
    list.evacuations = this->node.state().evacuations();
    this->knownDomains.record(announcement.self.domain);
    this->relay.send(announcement.self.node, list);
    if (announcement.self.kind == NodeKind::Gateway)
        this->node.receive({ .node = announcement.self.node,
                             .version = announcement.rulesVersion,
                             .digest = announcement.rulesDigest },
                           now, this->out);
}

void RegistryProcess::onTick()
{
    const TimePoint now = this->loop.now();
    reportLoad(this->loadMeter, this->loop, this->relay, this->metrics, now);
    this->relay.tick(now);
    const std::vector<NodeName> group = this->directory.registries();
    if (this->lifecycle.tick(this->node, group, this->disk.isAvailable(), now, this->out))
        this->loop.stop();
    this->directory.removeExpired(now);
    for (const NodeName &registry : this->directory.takeDueAnnouncements(now))
        this->relay.send(registry,
                         NodeAnnouncement { .self = this->context.record(NodeKind::Registry, false),
                                            .listDigest = this->directory.digestOfList(registry) });
    this->updateRecipients(now);
    if (const auto profile = this->settingsWatcher.takeChange(now)) {
        this->context.profile.registrySeeds = profile->registrySeeds;
        this->directory.setSeeds(this->context.seeds());
    }
    this->logChanges();
}

void RegistryProcess::logChanges()
{
    const std::uint64_t version = this->node.state().version();
    if (version != this->loggedRulesVersion)
        logEvent("rules-accepted", { { "version", std::to_string(version) } });
    this->loggedRulesVersion = version;
    const Evacuations &evacuations = this->node.state().evacuations();
    if (evacuations.revision != this->loggedRevision)
        logEvent("evacuations-accepted",
                 { { "revision", std::to_string(evacuations.revision) },
                   { "domains", joined(evacuations.domains) } });
    this->loggedRevision = evacuations.revision;
}

void RegistryProcess::updateRecipients(TimePoint now)
{
    if (now < this->recipientsCheckedAt + internal::recipientsInterval)
        return;
    this->recipientsCheckedAt = now;
    std::vector<RulesRecipient> recipients;
    for (const NodeRecord &gateway : this->directory.knownGateways(now))
        recipients.push_back({ .node = gateway.node, .domain = gateway.domain });
    if (recipients == this->knownGateways)
        return;
    this->knownGateways = recipients;
    this->node.setRecipients(recipients);
    logEvent("gateways-known", { { "count", std::to_string(recipients.size()) } });
}

void RegistryProcess::flushOutput()
{
    const TimePoint now = this->loop.now();
    if (this->disk.storeAndSend(this->out.log.replica, this->relay, now) == StoreOutcome::Failed)
        this->node.suspend(now, this->out);
    const ControlNode::Outbox outbox = std::exchange(this->out, {});
    for (const AddressedUpdate &item : outbox.updates) {
        if (std::holds_alternative<RulesFile>(item.update.content))
            logEvent("rules-offered",
                     { { "to", item.to.str() },
                       { "version", std::to_string(versionOf(item.update)) },
                       { "offer", toString(offerOf(item.update)) } });
        this->relay.send(item.to, item.update);
    }
    for (const ApplyResponse &response : outbox.applyResponses)
        this->respond(response);
    for (const RulesReadResponse &response : outbox.readResponses)
        this->respond(response);
}

void RegistryProcess::respond(const ApplyResponse &response)
{
    if (response.revisionWithoutCopies || (response.reply && response.reply->evacuationRevision)) {
        this->respondToEvacuation(response);
        return;
    }
    if (response.versionWithoutCopies)
        logEvent(
            "rules-not-acknowledged",
            { { "version", std::to_string(*response.versionWithoutCopies) },
              { "copies", std::to_string(response.copies) },
              { "needed",
                std::to_string(internal::copiesFor(this->context.profile.toleratedLosses)) } });
    if (!response.reply) {
        this->redirect(response.request.number, response.leader);
        return;
    }
    this->requestPaths.erase(response.request.number);
    const bool isAccepted = response.reply->status == ApplyStatus::Accepted;
    logEvent("rules-acknowledged",
             { { "version", std::to_string(response.reply->version) },
               { "accepted", isAccepted ? "yes" : "no" },
               { "in_force_at", std::to_string(response.confirmed.size()) },
               { "not_confirmed_at", std::to_string(response.unconfirmed.size()) },
               { "copies", std::to_string(response.copies) } });
    this->http.respond(response.request.number,
                       { .status = isAccepted ? 200 : internal::statusBadRequest, .body = "{}" });
}

void RegistryProcess::respondToEvacuation(const ApplyResponse &response)
{
    const std::uint64_t token = response.request.number;
    const auto path = this->requestPaths.find(token);
    const bool isAcknowledged = response.reply.has_value();
    const std::uint64_t revision
        = isAcknowledged ? *response.reply->evacuationRevision : *response.revisionWithoutCopies;
    ++this->evacuationCounts[isAcknowledged ? "acknowledged" : "not_acknowledged"];
    if (isAcknowledged || this->evacuationLines.take(this->loop.now()))
        logEvent(
            isAcknowledged ? "evacuation-acknowledged" : "evacuation-not-acknowledged",
            { { "path", path == this->requestPaths.end() ? "" : loggedText(path->second) },
              { "revision", std::to_string(revision) },
              { "copies", std::to_string(response.copies) },
              { "needed",
                std::to_string(internal::copiesFor(this->context.profile.toleratedLosses)) } });
    if (!isAcknowledged) {
        this->redirect(token, response.leader);
        return;
    }
    this->requestPaths.erase(token);
    this->http.respond(token, { .body = "{}" });
}

void RegistryProcess::respond(const RulesReadResponse &response)
{
    if (!response.file) {
        this->redirect(response.request.number, response.leader);
        return;
    }
    this->requestPaths.erase(response.request.number);
    const bool hasRules = response.file->version > 0;
    this->http.respond(
        response.request.number,
        { .status = hasRules ? 200 : internal::statusUnavailable, .body = response.source });
}

std::string RegistryProcess::redirectPath(std::uint64_t token)
{
    const auto found = this->requestPaths.find(token);
    if (found == this->requestPaths.end())
        return "/";
    std::string path = std::move(found->second);
    this->requestPaths.erase(found);
    return path;
}

// Ports are the same on every node, so the leader's address for operators follows from its name.
void RegistryProcess::redirect(std::uint64_t token, const std::optional<NodeName> &leader)
{
    const std::string path = this->redirectPath(token);
    if (!leader || *leader == this->context.name()) {
        this->http.respond(token, { .status = internal::statusUnavailable });
        return;
    }
    const std::string &ownAddress = this->context.profile.operatorsAddress;
    const std::string host = leader->str().substr(0, leader->str().rfind(':'));
    const std::string location = "http://" + host + ownAddress.substr(ownAddress.rfind(':')) + path;
    this->http.respond(token,
                       { .status = internal::statusRedirect,
                         .headers = { { .name = "location", .value = location } } });
}

void RegistryProcess::updateMetrics()
{
    updateReplicaMetrics(this->metrics, this->node.replica(), this->disk.syncs(),
                         this->disk.isAvailable());
    updateRelayMetrics(this->metrics, this->relay.counters());
    this->metrics.setGauge("hibiscus_rules_version", "Version of the rules this member holds.",
                           static_cast<double>(this->node.state().version()));
    this->metrics.setGauge("hibiscus_evacuated_domains", "Failure domains that are evacuated.",
                           static_cast<double>(this->node.state().evacuations().domains.size()));
    for (const auto &[outcome, number] : this->evacuationCounts)
        this->metrics.setCounter("hibiscus_evacuation_requests_" + outcome + "_total",
                                 "Requests to start or finish an evacuation, by outcome.",
                                 static_cast<double>(number));
    this->metrics.setGauge("hibiscus_known_gateways", "Gateways that changes wait for.",
                           static_cast<double>(this->knownGateways.size()));
}

} // namespace Hibiscus
