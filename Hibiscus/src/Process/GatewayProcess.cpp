#include "Hibiscus/src/Process/GatewayProcess.h"

#include "Hibiscus/src/Process/ProcessContext.h"
#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

constexpr Duration gatewayTick = 10ms;
constexpr Duration rulesFetchInterval = 300ms;
/** \brief How long a starting gateway looks for confirmed rules before it takes older ones. */
constexpr Duration rulesPatience = 3s;
/** \brief How long older rules are used after a newer version is known to be accepted; a part of
 * the two seconds or more in which a change has to be in force.
 */
constexpr Duration oldRulesLifetime = 1s;
/** \brief An order that is not answered for so long counts as unanswered: some tens of round
 * trips, and a small part of a short task's objective.
 */
constexpr Duration orderTimeout = 80ms;
constexpr Duration pollSlack = 100ms; ///< beyond the wait that a poll asks for
/** \brief The balancer looks once a second and takes two misses; then nobody new comes. */
constexpr Duration balancerTime = 2200ms;
constexpr Duration stopMargin = 500ms; ///< left of the time to stop, to end by itself
/** \brief Jobs are answered so long before the end, which leaves their late answers and the stops
 * of their runs the time that they need.
 */
constexpr Duration lastAnswerMargin = 500ms;
constexpr Duration quietTime = 400ms; ///< without calls, before a drained gateway ends

enum HttpStatus : int {
    StatusOk = 200,
    StatusBadRequest = 400,
    StatusNotFound = 404,
    StatusNotAllowed = 405,
    StatusGone = 410,
    StatusUnavailable = 503,
    StatusTimeout = 504
};

static FleetNodeOptions fleetOptions(const NodeContext &context)
{
    const NodeRecord record = context.record(NodeKind::Gateway, false);
    FleetNodeOptions options;
    options.self = record.node;
    options.incarnation = record.incarnation;
    options.domain = record.domain;
    options.weight = record.weight;
    options.targetsAddress = record.targetsAddress;
    options.owner.driver.lease = context.profile.lease;
    return options;
}

static const char *toString(TransientJobStatus status)
{
    if (status == TransientJobStatus::Completed)
        return "completed";
    if (status == TransientJobStatus::Failed)
        return "failed";
    return status == TransientJobStatus::Unfinished ? "unfinished" : "refused";
}

} // namespace internal

GatewayProcess::GatewayProcess(const NodeContext &node)
    : context(node), node(internal::fleetOptions(node)), directory({}, node.name()),
      rules(node.name()), relay(
                              this->loop, node.relayOptions(),
                              [this](const WireMessage &message) { this->onMessage(message); },
                              [](const NodeName &) {}),
      callers(this->loop,
              { .address = *Address::parse(node.profile.callersAddress),
                .keptHeaders = node.protocol.callerHeaders,
                .onDisconnect =
                    [this](std::uint64_t token) {
                        this->waiting.erase(token);
                        this->node.removeCaller(token, this->loop.now());
                    } },
              [this](const HttpRequest &request) { this->onCaller(request); }),
      readiness(this->loop, { .address = *Address::parse(node.profile.readinessAddress) },
                [this](const HttpRequest &request) {
                    const bool ready = this->isReady();
                    this->readiness.respond(
                        request.token,
                        { .status = ready ? internal::StatusOk : internal::StatusUnavailable });
                }),
      targets(this->loop, { .address = *Address::parse(node.profile.targetsAddress) },
              [this](const HttpRequest &request) { this->onTargets(request); }),
      metricsServer(this->loop, { .address = *Address::parse(node.profile.metricsAddress) },
                    [this](const HttpRequest &request) { this->onMetrics(request); }),
      client(this->loop, {}), metrics(node.profile.label), settings(node.settingsPath),
      startedAt(this->loop.now())
{
    this->directory.setSeeds(this->context.seeds());
}

int GatewayProcess::run()
{
    const bool listening = this->relay.listen() && this->callers.listen()
        && this->readiness.listen() && this->targets.listen() && this->metricsServer.listen();
    if (!listening) {
        logError("cannot-listen", { { "address", this->context.profile.peerAddress } });
        return 1;
    }
    logEvent("started",
             { { "role", "gateway" },
               { "domain", this->context.profile.domain.str() },
               { "life", std::to_string(this->context.incarnation) } });
    this->loop.run(
        internal::gatewayTick, [this] { this->onTick(); }, [this] { this->execute(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void GatewayProcess::onCaller(const HttpRequest &request)
{
    this->lastCallAt = this->loop.now();
    const TimePoint now = this->loop.now();
    if (!this->hasRules() || this->hasOldRules(now)) {
        const char *reason = this->hasRules() ? "old-rules" : "no-rules";
        logEvent("request-refused",
                 { { "path", request.path },
                   { "reason", reason },
                   { "rules_version", std::to_string(this->rules.file().version) } });
        this->refuse(request.token, internal::StatusUnavailable, 1s, reason);
        return;
    }
    const RouteRule *route = this->rules.rules().routeFor(request.host, request.path);
    if (route == nullptr) {
        ++this->refusals["no-route"];
        logEvent("request-refused",
                 { { "path", request.path },
                   { "reason", "no-route" },
                   { "rules_version", std::to_string(this->rules.file().version) } });
        this->callers.respond(request.token, { .status = internal::StatusNotFound });
        return;
    }
    const std::string id = request.path.substr(route->prefix.size());
    if (request.method == "POST" && !id.empty()) {
        this->onSubmit(request, *route, id);
        return;
    }
    if (request.method == "GET" && id.empty()) {
        this->callers.respond(request.token, { .body = this->context.protocol.renderPending(0) });
        return;
    }
    // No job outlives its answer here, so there is nothing to show or to cancel.
    const bool isLookUp = request.method == "GET" || request.method == "DELETE";
    this->callers.respond(
        request.token, { .status = isLookUp ? internal::StatusGone : internal::StatusNotAllowed });
}

void GatewayProcess::onSubmit(const HttpRequest &request, const RouteRule &route,
                              const std::string &id)
{
    const JobBody body = this->context.protocol.readJob(id, request.body);
    if (const auto *malformed = std::get_if<Malformed>(&body)) {
        ++this->refusals["malformed"];
        logEvent("job-refused", { { "job", id }, { "reason", malformed->reason } });
        this->callers.respond(request.token, { .status = internal::StatusBadRequest });
        return;
    }
    if (const auto *unsupported = std::get_if<Unsupported>(&body)) {
        logEvent(
            "job-refused",
            { { "job", id }, { "reason", "not-offered" }, { "feature", unsupported->feature } });
        this->refuse(request.token, internal::StatusUnavailable, 2s, "not-offered");
        return;
    }
    const TimePoint now = this->loop.now();
    RoutePolicy policy;
    policy.route = RouteName(route.name);
    policy.service = route.service;
    policy.priority = route.priority;
    policy.maxFailures = std::max(1U, route.attempts);
    constexpr double percent = 100;
    policy.stretch = route.stretchPercent / percent;
    policy.slack = std::chrono::milliseconds(route.objectiveMs);
    policy.untilDeadline = std::chrono::milliseconds(route.deadlineMs);
    if (const auto timeout = this->context.protocol.readCallerTimeout(request))
        policy.untilDeadline = std::min(policy.untilDeadline, *timeout);
    this->waiting[request.token] = { .job = id, .route = route.name, .arrivedAt = now };
    this->node.submit(std::get<TransientJob>(body), policy, request.token, now);
}

void GatewayProcess::onTargets(const HttpRequest &request)
{
    const ControlCall call = this->context.protocol.readControlCall(request);
    const auto *heartbeat = std::get_if<TargetHeartbeat>(&call);
    if (heartbeat == nullptr) {
        ++this->refusals["malformed-announcement"];
        this->targets.respond(request.token, { .status = internal::StatusBadRequest });
        return;
    }
    this->node.handleHeartbeat(*heartbeat, this->loop.now());
    const std::string next = this->node.heartbeatRedirectOf(heartbeat->target.name);
    this->targets.respond(request.token,
                          { .body = this->context.protocol.renderHeartbeatResponse(next) });
}

void GatewayProcess::onMetrics(const HttpRequest &request)
{
    this->updateMetrics();
    this->metricsServer.respond(
        request.token,
        { .contentType = "text/plain; version=0.0.4", .body = this->metrics.text() });
}

void GatewayProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    std::visit(
        Overloaded {
            [&](const FleetMessage &peer) { this->node.receive(peer, now); },
            [&](const TargetHeartbeat &heartbeat) { this->node.handleHeartbeat(heartbeat, now); },
            [&](const NodeList &list) { this->takeList(list, now); },
            [&](const RulesUpdate &update) { this->takeRules(update); },
            [&](const FetchRules &fetch) {
                if (this->rules.status() != RulesStatus::None)
                    this->relay.send(fetch.node, RulesUpdate { .content = this->rules.file() });
            },
            [](const auto &) {},
        },
        message);
}

void GatewayProcess::takeList(const NodeList &list, TimePoint now)
{
    this->directory.mergeList(list, now);
    this->rules.recordAcceptedVersion(list.rulesVersion, now);
    for (const NodeRecord &gateway : this->directory.gatewaysListedBy(list.sender))
        this->node.updatePeer(gateway, now);
}

void GatewayProcess::onTick()
{
    const TimePoint now = this->loop.now();
    noteLoad(this->load, this->loop, this->relay, this->metrics, now);
    this->client.failOverdueCalls(now);
    this->node.tick(now);
    this->directory.removeExpired(now);
    const NodeRecord self = this->context.record(NodeKind::Gateway, stopRequests() > 0);
    if (const std::vector<NodeName> due = this->directory.takeDueAnnouncements(now); !due.empty()) {
        const RulesAcknowledgement held = this->rules.acknowledgement();
        for (const NodeName &registry : due)
            this->relay.send(
                registry,
                NodeAnnouncement { .self = self,
                                   .listDigest = this->directory.digestOfList(registry),
                                   .rulesVersion = held.version,
                                   .rulesDigest = held.digest });
    }
    if (this->rules.status() != RulesStatus::Confirmed && now >= this->fetchAt)
        this->followRules(now);
    if (const auto profile = this->settings.takeChange(now))
        this->reload(*profile);
    if (stopRequests() > 0)
        this->continueStop(now);
}

void GatewayProcess::execute()
{
    if (!this->node.hasPendingOutput())
        return;
    const FleetOutbox out = this->node.flush(this->loop.now());
    for (const TargetOrder &order : out.orders)
        std::visit([this](const auto &o) { this->execute(o); }, order);
    for (const AddressedFleetMessage &item : out.messages)
        this->relay.send(item.to, item.message);
    for (const JobOutcome &outcome : out.outcomes)
        this->answer(outcome);
    for (const TargetChange &change : out.targetChanges)
        logEvent("target-" + change.change,
                 { { "target", change.target.str() },
                   { "life", std::to_string(change.incarnation) },
                   { "fencing_token", std::to_string(change.fencingToken) } });
    for (const UnsuccessfulRun &run : out.unsuccessfulRuns)
        logEvent("run-ended",
                 { { "job", run.end.run.job },
                   { "step", std::to_string(run.end.run.step) },
                   { "task", std::to_string(run.end.run.index) },
                   { "attempt", std::to_string(run.end.run.attempt) },
                   { "owner", run.owner.str() },
                   { "end", toString(run.end.kind) } });
    for (const NodeName &peer : out.idlePeers)
        this->relay.disconnect(peer);
    for (const NodeName &peer : out.removedPeers) {
        logEvent("peer-forgotten", { { "peer", peer.str() } });
        this->relay.disconnect(peer);
    }
}

void GatewayProcess::execute(const StartOrder &order)
{
    HttpCall call = this->context.protocol.startCall(order);
    call.timeout = internal::orderTimeout;
    this->client.send(call, [this, to = order.to, run = order.run](const HttpCallResult &result) {
        const OrderResponse answer = this->context.protocol.readOrderResponse(result);
        if (answer.status != OrderStatus::Done)
            logEvent("start-not-done",
                     { { "job", run.job },
                       { "attempt", std::to_string(run.attempt) },
                       { "target", to.target.str() },
                       { "verdict", toString(answer.status) } });
        this->node.handleStartResponse(to, run, answer, this->loop.now());
    });
}

void GatewayProcess::execute(const StopOrder &order)
{
    HttpCall call = this->context.protocol.stopCall(order);
    call.timeout = internal::orderTimeout;
    this->client.send(call, [this, to = order.to, run = order.run](const HttpCallResult &result) {
        const OrderResponse answer = this->context.protocol.readOrderResponse(result);
        logEvent("stop-sent",
                 { { "job", run.job },
                   { "attempt", std::to_string(run.attempt) },
                   { "target", to.target.str() },
                   { "verdict", toString(answer.status) } });
        this->node.handleStopResponse(to, run, answer, this->loop.now());
    });
}

void GatewayProcess::execute(const PollOrder &order)
{
    HttpCall call = this->context.protocol.pollCall(order);
    call.timeout = order.maxWait + internal::pollSlack;
    call.usesNewConnection = order.usesNewConnection;
    this->client.send(
        call, [this, to = order.to, sentAt = order.sentAt](const HttpCallResult &result) {
            this->node.handlePollResponse(
                to, sentAt, this->context.protocol.readPollResponse(result), this->loop.now());
        });
}

void GatewayProcess::answer(const JobOutcome &outcome)
{
    for (const std::uint64_t token : outcome.callerTokens) {
        const auto found = this->waiting.find(token);
        if (found == this->waiting.end())
            continue;
        const Duration elapsed = this->loop.now() - found->second.arrivedAt;
        logEvent("job-answered",
                 { { "job", outcome.job },
                   { "route", found->second.route },
                   { "outcome", internal::toString(outcome.status) },
                   { "reason", toString(outcome.reason) },
                   { "took_ms", std::to_string(toMilliseconds(elapsed)) },
                   { "attempts", std::to_string(outcome.requestedRuns) },
                   { "rules_version", std::to_string(this->rules.file().version) } });
        this->metrics.observeSeconds("hibiscus_job_seconds",
                                     "Time from a job's arrival to its answer, in seconds.",
                                     toSeconds(elapsed));
        this->waiting.erase(found);
        if (outcome.status == TransientJobStatus::Refused)
            this->refuse(token, internal::StatusUnavailable, outcome.retryAfter,
                         toString(outcome.reason));
        else if (outcome.status == TransientJobStatus::Unfinished)
            this->callers.respond(token, { .status = internal::StatusTimeout });
        else
            this->callers.respond(
                token, { .body = this->context.protocol.renderJobStatus(outcome.status) });
    }
}

void GatewayProcess::refuse(std::uint64_t token, int status, Duration retryAfter,
                            const char *reason)
{
    ++this->refusals[reason];
    const auto seconds = std::max(1L, std::lround(std::ceil(toSeconds(retryAfter))));
    this->callers.respond(
        token,
        { .status = status,
          .headers = { { .name = "retry-after", .value = std::to_string(seconds) } } });
}

// Rules that a quorum confirms come first. When none can be reached for a while, what a registry
// node or a peer of the same domain last knew is better than not serving.
void GatewayProcess::followRules(TimePoint now)
{
    this->fetchAt = now + internal::rulesFetchInterval;
    const bool isPatient = now < this->startedAt + internal::rulesPatience
        || this->rules.status() != RulesStatus::None;
    const FetchRules fetch = { .node = this->context.name(), .acceptsLastKnown = !isPatient };
    for (const NodeName &registry : this->directory.registries())
        this->relay.send(registry, fetch);
    if (isPatient)
        return;
    for (const NodeRecord &gateway : this->directory.gateways())
        if (gateway.domain == this->context.profile.domain)
            this->relay.send(gateway.node, fetch);
}

void GatewayProcess::takeRules(const RulesUpdate &update)
{
    // A member that may be behind is no source for the first rules of a life.
    const bool isEarly = this->loop.now() < this->startedAt + internal::rulesPatience;
    if (update.isCatchUp && isEarly && this->rules.status() == RulesStatus::None)
        return;
    const std::uint64_t former = this->rules.file().version;
    const RulesStatus previousStatus = this->rules.status();
    const auto acknowledged = this->rules.receive(update);
    if (update.isConfirmed)
        this->rulesConfirmedAt = this->loop.now();
    if (this->rules.file().version != former || this->rules.status() != previousStatus)
        logEvent(
            "rules-in-force",
            { { "version", std::to_string(this->rules.file().version) },
              { "former", std::to_string(former) },
              { "confirmed", this->rules.status() == RulesStatus::Confirmed ? "yes" : "no" } });
    // Every registry node may offer the same version; one acknowledgement of it is enough.
    const bool isNews = this->rules.file().version != former;
    if (!acknowledged || (update.isCatchUp && !isNews))
        return;
    for (const NodeName &registry : this->directory.registries())
        this->relay.send(registry, *acknowledged);
}

// Addresses stay for the life of a process; what may change is where the registry nodes are.
void GatewayProcess::reload(const NodeProfile &profile)
{
    this->context.profile.registrySeeds = profile.registrySeeds;
    this->context.profile.lease = profile.lease;
    this->context.profile.stopBound = profile.stopBound;
    this->directory.setSeeds(this->context.seeds());
}

void GatewayProcess::continueStop(TimePoint now)
{
    if (this->stopAskedAt == TimePoint()) {
        logEvent("stopping");
        const Duration left = this->context.profile.stopBound - internal::stopMargin;
        this->node.drain(now + left - internal::lastAnswerMargin);
        this->stopAskedAt = now;
    }
    const Duration asked = now - this->stopAskedAt;
    if (asked >= internal::balancerTime)
        this->callers.closeAfterResponses();
    const bool isQuiet = asked >= internal::balancerTime + 1s && this->node.isIdle()
        && this->callers.openRequests() == 0 && now >= this->lastCallAt + internal::quietTime;
    const bool isForced = asked >= this->context.profile.stopBound - internal::stopMargin;
    if (isQuiet || isForced || stopRequests() > 1)
        this->loop.stop();
}

// Version 0 is the state of a system that nobody has given rules yet.
bool GatewayProcess::hasRules() const
{
    return this->rules.status() != RulesStatus::None && this->rules.file().version > 0;
}

// A change is acknowledged within some hundreds of milliseconds, and callers may rely on it soon
// after, so rules that have been older for longer must not decide any more.
bool GatewayProcess::hasOldRules(TimePoint now) const
{
    const auto since = this->rules.outdatedSince();
    return since && now >= *since + internal::oldRulesLifetime;
}

bool GatewayProcess::isReady() const
{
    return this->hasRules() && !this->hasOldRules(this->loop.now()) && stopRequests() == 0;
}

void GatewayProcess::updateMetrics()
{
    const FleetOwnerCounters &owner = this->node.owner().counters();
    const FleetNodeCounters &peers = this->node.counters();
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        this->metrics.setCounter(name, help, static_cast<double>(value));
    };
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        this->metrics.setGauge(name, help, static_cast<double>(value));
    };
    count("hibiscus_runs_started_total", "Runs started on own targets.", owner.started);
    count("hibiscus_runs_completed_total", "Runs completed.", owner.completed);
    count("hibiscus_runs_failed_total", "Runs failed.", owner.failed);
    count("hibiscus_runs_not_started_total", "Starts that targets refused.", owner.notStarted);
    count("hibiscus_runs_returned_total", "Waiting runs given back, since another owner had room.",
          owner.returned);
    count("hibiscus_runs_straggling_total", "Runs stopped for taking too long.", owner.stragglers);
    count("hibiscus_runs_stopped_total", "Runs stopped on request.", owner.stopped);
    count("hibiscus_runs_lost_total", "Runs lost with a target or its lease.", owner.lost);
    count("hibiscus_targets_adopted_total", "Targets taken over.", owner.adoptedTargets);
    count("hibiscus_targets_fenced_total", "Targets lost to another owner.", owner.fencedTargets);
    count("hibiscus_peer_messages_sent_total", "Messages to peers.", peers.sentMessages);
    count("hibiscus_peer_messages_received_total", "Messages of peers.", peers.receivedMessages);
    count("hibiscus_peer_messages_stale_total", "Messages that came too late.",
          peers.staleMessages);
    count("hibiscus_gaps_total", "Times that this node stood still.", peers.stalls);
    for (const auto &[reason, number] : this->refusals) {
        std::string name = "hibiscus_refused_" + reason + "_total";
        std::ranges::replace(name, '-', '_');
        count(name.c_str(), "Refused requests, by reason.", number);
    }
    gauge("hibiscus_jobs", "Jobs in progress.", this->node.coordinator().jobCount());
    gauge("hibiscus_queued_runs", "Runs that wait here for room.",
          this->node.owner().queuedRunCount());
    gauge("hibiscus_running_runs", "Runs on own targets.", this->node.owner().runningRunCount());
    gauge("hibiscus_targets", "Own targets.", this->node.owner().targetNames().size());
    gauge("hibiscus_live_peers", "Peers that answer.", this->node.livePeerCount(this->loop.now()));
    gauge("hibiscus_rules_version", "Version of the rules in force.", this->rules.file().version);
    this->metrics.setGauge("hibiscus_rules_confirmation_age_seconds",
                           "Time since a quorum confirmed the rules in force.",
                           toSeconds(this->loop.now() - this->rulesConfirmedAt));
    updateRelayMetrics(this->metrics, this->relay.counters());
}

} // namespace Hibiscus
