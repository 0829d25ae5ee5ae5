#include "Hibiscus/src/Process/RegistryProcess.h"

#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr Duration registryTick = 10ms;
/** \brief An accepted change is acknowledged at the latest after this, with silent gateways left
 * out; well under the second after which operators ask another node.
 */
constexpr Duration changeConfirmation = 700ms;
constexpr Duration registryHeartbeat = 80ms;
/** \brief Shortest silence after which a member stands for election: five heartbeats, since a
 * member may wait for its disk or its share of a processor. Callers wait for it after a restart.
 */
constexpr Duration registryElection = 400ms;
constexpr std::uint64_t changesPerSnapshot = 64;

constexpr int statusRedirect = 307;
constexpr int statusBadRequest = 400;
constexpr int statusUnavailable = 503;

// With the disks that may be lost at once taken away, a member that has each acknowledged change is
// left, and so is a quorum.
static std::size_t votersFor(std::uint32_t toleratedLosses)
{
    return 2UL * toleratedLosses + 1;
}

static ControlOptions registryOptions(const NodeProfile &profile)
{
    ControlOptions options;
    options.replicated.replica.heartbeatInterval = registryHeartbeat;
    options.replicated.replica.electionTimeout = registryElection;
    options.replicated.replica.desiredVoters = votersFor(profile.toleratedLosses);
    options.replicated.entriesPerSnapshot = changesPerSnapshot;
    options.confirmationTimeout = changeConfirmation;
    return options;
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
            = DiskLog::format(folder, foundingState(node.name(), seeds, RulesState().save()));
        if (!formatted)
            return tl::unexpected<std::error_code>(formatted.error());
    }
    return ReplicaDisk::open(folder, node.name());
}

RegistryProcess::RegistryProcess(const NodeContext &profiled, ReplicaDisk openedDisk)
    : context(profiled), disk(std::move(openedDisk)),
      node(internal::registryOptions(profiled.profile), this->disk.state(), profiled.incarnation,
           this->loop.now()),
      directory({}, profiled.name()), owners({}),
      relay(
          this->loop, profiled.relayOptions(),
          [this](const WireMessage &message) { this->onMessage(message); },
          [](const NodeName &) {}),
      http(this->loop, { .address = *Address::parse(profiled.profile.operatorsAddress) },
           [this](const HttpRequest &request) { this->onCall(request); }),
      metricsServer(this->loop, { .address = *Address::parse(profiled.profile.metricsAddress) },
                    [this](const HttpRequest &request) {
                        this->updateMetrics();
                        this->metricsServer.respond(request.token,
                                                    { .contentType = "text/plain; version=0.0.4",
                                                      .body = this->metrics.text() });
                    }),
      metrics(profiled.profile.label), settings(profiled.settingsPath)
{
    this->directory.setSeeds(this->context.seeds());
}

int RegistryProcess::run()
{
    const bool listening
        = this->relay.listen() && this->http.listen() && this->metricsServer.listen();
    if (!listening) {
        logError("cannot-listen", { { "address", this->context.profile.peerAddress } });
        return 1;
    }
    logEvent("started",
             { { "role", "registry" },
               { "domain", this->context.profile.domain.str() },
               { "life", std::to_string(this->context.incarnation) },
               { "rules_version", std::to_string(this->node.state().version()) } });
    this->loop.run(
        internal::registryTick, [this] { this->onTick(); }, [this] { this->execute(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void RegistryProcess::onCall(const HttpRequest &request)
{
    const TimePoint now = this->loop.now();
    const ControlCall call = this->context.protocol.readControlCall(request);
    std::visit(Overloaded {
                   [&](const ReadRulesCall &) {
                       this->paths[request.token] = request.path;
                       this->node.requestRead(
                           { .node = this->context.name(), .number = request.token }, now,
                           this->out);
                   },
                   [&](const ReplaceRulesCall &replace) { this->replaceRules(request, replace); },
                   [&](const TargetHeartbeat &heartbeat) {
                       this->handleHeartbeat(request.token, heartbeat);
                   },
                   [&](const Unsupported &unsupported) {
                       logEvent("call-refused",
                                { { "path", request.path }, { "feature", unsupported.feature } });
                       this->http.respond(request.token, { .status = internal::statusUnavailable });
                   },
                   [&](const Malformed &malformed) {
                       logEvent("call-refused",
                                { { "path", request.path }, { "reason", malformed.reason } });
                       this->http.respond(request.token,
                                          { .status = internal::statusBadRequest,
                                            .contentType = "text/plain",
                                            .body = malformed.reason + "\n" });
                   },
               },
               call);
}

// What is invalid is refused whatever its version, so it is checked before the version counts.
void RegistryProcess::replaceRules(const HttpRequest &request, const ReplaceRulesCall &call)
{
    const auto rules = RuleSet::parse(call.rules);
    if (!rules) {
        logEvent(
            "rules-refused",
            { { "version", std::to_string(call.version) }, { "reason", rules.error().reason } });
        this->http.respond(request.token,
                           { .status = internal::statusBadRequest,
                             .contentType = "text/plain",
                             .body = rules.error().reason + "\n" });
        return;
    }
    ApplyRules command;
    command.applyId = std::to_string(call.version);
    command.author = "operator";
    command.text = call.rules;
    command.assignedVersion = call.version;
    command.source = call.source;
    this->paths[request.token] = request.path;
    this->node.apply({ .node = this->context.name(), .number = request.token }, command,
                     this->loop.now(), this->out);
}

void RegistryProcess::handleHeartbeat(std::uint64_t token, const TargetHeartbeat &heartbeat)
{
    const TimePoint now = this->loop.now();
    const std::vector<NodeRecord> live = this->directory.liveGateways(now);
    const bool isLeaving = heartbeat.isLeaving || heartbeat.target.state == TargetState::Draining;
    // Whoever owns the target has to know at once, and this node does not know who does.
    if (isLeaving) {
        for (const NodeRecord &gateway : live)
            this->relay.send(gateway.node, heartbeat);
        this->http.respond(token, { .body = this->context.protocol.renderHeartbeatResponse("") });
        return;
    }
    const auto owner
        = this->owners.assign(heartbeat.target.name, heartbeat.target.domain, live, now);
    logEvent("target-assigned",
             { { "target", heartbeat.target.name.str() },
               { "life", std::to_string(heartbeat.target.incarnation) },
               { "sequence", std::to_string(heartbeat.target.sequence) },
               { "owner", owner ? owner->label : "" },
               { "live_gateways", std::to_string(live.size()) } });
    if (owner)
        this->relay.send(owner->node, heartbeat);
    this->http.respond(token,
                       { .body = this->context.protocol.renderHeartbeatResponse(
                             owner ? owner->targetsAddress : "") });
}

void RegistryProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    std::visit(
        Overloaded {
            [&](const ReplicaEnvelope &envelope) { this->node.receive(envelope, now, this->out); },
            [&](const RulesAcknowledgement &acknowledged) {
                this->node.receive(acknowledged, now, this->out);
            },
            [&](const FetchRules &fetch) { this->node.receive(fetch, now, this->out); },
            [&](const NodeAnnouncement &announcement) {
                this->handleAnnouncement(announcement, now);
            },
            [&](const NodeList &list) { this->directory.mergeList(list, now); },
            [](const auto &) {},
        },
        message);
}

void RegistryProcess::handleAnnouncement(const NodeAnnouncement &announcement, TimePoint now)
{
    this->directory.recordAnnouncement(announcement.self, now);
    NodeList list = this->directory.buildList(this->context.record(NodeKind::Registry, false),
                                              announcement.listDigest, now);
    list.rulesVersion = this->node.state().version();
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
    noteLoad(this->load, this->loop, this->relay, this->metrics, now);
    const std::vector<NodeName> group = this->directory.registries();
    if (this->lifecycle.tick(this->node, group, now, this->out))
        this->loop.stop();
    this->directory.removeExpired(now);
    const NodeRecord self = this->context.record(NodeKind::Registry, false);
    for (const NodeName &registry : this->directory.takeDueAnnouncements(now))
        this->relay.send(registry,
                         NodeAnnouncement { .self = self,
                                            .listDigest = this->directory.digestOfList(registry) });
    std::vector<RulesRecipient> known;
    for (const NodeRecord &gateway : this->directory.knownGateways(now))
        known.push_back({ .node = gateway.node, .domain = gateway.domain });
    if (known != this->gateways) {
        this->gateways = known;
        this->node.setRecipients(known);
        logEvent("gateways-known", { { "count", std::to_string(known.size()) } });
    }
    if (const auto profile = this->settings.takeChange(now)) {
        this->context.profile.registrySeeds = profile->registrySeeds;
        this->directory.setSeeds(this->context.seeds());
    }
    const std::uint64_t version = this->node.state().version();
    if (version != this->loggedVersion)
        logEvent("rules-accepted", { { "version", std::to_string(version) } });
    this->loggedVersion = version;
}

void RegistryProcess::execute()
{
    this->disk.execute(this->out.log.replica, this->relay);
    const ControlNode::Outbox done = std::exchange(this->out, {});
    for (const AddressedUpdate &item : done.updates)
        this->relay.send(item.to, item.update);
    for (const ApplyResponse &report : done.applyResponses)
        this->respond(report);
    for (const RulesReadResponse &report : done.readResponses)
        this->respond(report);
}

void RegistryProcess::respond(const ApplyResponse &report)
{
    if (!report.reply) {
        this->redirect(report.request.number, report.leader);
        return;
    }
    this->paths.erase(report.request.number);
    const bool isAccepted = report.reply->status == ApplyStatus::Accepted;
    logEvent("rules-acknowledged",
             { { "version", std::to_string(report.reply->version) },
               { "accepted", isAccepted ? "yes" : "no" },
               { "in_force_at", std::to_string(report.confirmed.size()) },
               { "not_confirmed_at", std::to_string(report.unconfirmed.size()) } });
    this->http.respond(report.request.number,
                       { .status = isAccepted ? 200 : internal::statusBadRequest, .body = "{}" });
}

void RegistryProcess::respond(const RulesReadResponse &report)
{
    if (!report.file) {
        this->redirect(report.request.number, report.leader);
        return;
    }
    this->paths.erase(report.request.number);
    const bool isKnown = report.file->version > 0;
    this->http.respond(
        report.request.number,
        { .status = isKnown ? 200 : internal::statusUnavailable, .body = report.source });
}

std::string RegistryProcess::redirectPath(std::uint64_t token)
{
    const auto found = this->paths.find(token);
    if (found == this->paths.end())
        return "/";
    std::string path = std::move(found->second);
    this->paths.erase(found);
    return path;
}

// Ports are the same on every node, so the leader's operators' address follows from its name.
void RegistryProcess::redirect(std::uint64_t token, const std::optional<NodeName> &leader)
{
    const std::string path = this->redirectPath(token);
    if (!leader || *leader == this->context.name()) {
        this->http.respond(token, { .status = internal::statusUnavailable });
        return;
    }
    const std::string &own = this->context.profile.operatorsAddress;
    const std::string host = leader->str().substr(0, leader->str().rfind(':'));
    const std::string location = "http://" + host + own.substr(own.rfind(':')) + path;
    this->http.respond(token,
                       { .status = internal::statusRedirect,
                         .headers = { { .name = "location", .value = location } } });
}

void RegistryProcess::updateMetrics()
{
    updateReplicaMetrics(this->metrics, this->node.replica(), this->disk.syncs());
    updateRelayMetrics(this->metrics, this->relay.counters());
    this->metrics.setGauge("hibiscus_rules_version", "Version of the rules this member holds.",
                           static_cast<double>(this->node.state().version()));
    this->metrics.setGauge("hibiscus_known_gateways", "Gateways that changes wait for.",
                           static_cast<double>(this->gateways.size()));
}

} // namespace Hibiscus
