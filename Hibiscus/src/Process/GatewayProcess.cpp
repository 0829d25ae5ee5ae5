#include "Hibiscus/src/Process/GatewayProcess.h"

#include "Hibiscus/src/Process/FleetLog.h"
#include "Hibiscus/src/Process/ProcessContext.h"
#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

constexpr Duration gatewayTick = 10ms;
/** \brief Timeout of an order to a target: some tens of round trips, and a small part of a short
 * task's objective.
 */
constexpr Duration orderTimeout = 80ms;
/** \brief Least rate at which a large start is expected to reach its target, in bytes per
 * millisecond: a few of them share the link of a VM.
 */
constexpr std::size_t minStartBytesPerMillisecond = 1'000;
/** \brief Limit of the timeout of a large start. Guardians can fence its target after it, long
 * before the platform executes orders late.
 */
constexpr Duration maxStartTimeout = 500ms;
/** \brief Limit of a target's response; many times the longest list of runs. */
constexpr std::size_t maxResponseBytes = 2'000'000;
constexpr std::size_t maxOpenResponseBytes = 8'000'000; ///< of all that have arrived in part
/** \brief Added to the wait that a poll requests; their sum is the timeout of the poll. */
constexpr Duration pollTimeoutMargin = 100ms;
/** \brief Time after which the load balancer sends no new requests: it checks the readiness once a
 * second, and acts on the second failed check.
 */
constexpr Duration balancerReactionTime = 2200ms;
constexpr Duration stopMargin = 500ms; ///< last part of the stop timeout, for a clean exit
/** \brief Time between the latest answer to a job and the exit; late answers and the stops of the
 * runs need it.
 */
constexpr Duration finalAnswerMargin = 500ms;
/** \brief Length of the longest id of a job. Ids are kept for a while after a request to cancel
 * them, whether or not there is such a job.
 */
constexpr std::size_t maxJobIdBytes = 256;
constexpr Duration quietPeriod = 400ms; ///< time without requests, before a drained gateway exits

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
    options.owner.usesRunForecasts = context.profile.scheduling.usesRunForecasts;
    options.owner.awaitsEvacuations = true;
    options.owner.packsTargets = context.profile.scheduling.packsTargets;
    constexpr Duration startMargin = 150ms; // for the way of a start, and for the drift of clocks
    constexpr Duration heartbeatMargin = 200ms; // heartbeats come approximately at their interval
    options.owner.driver.heartbeatLifetime = std::max(context.profile.drainTime - startMargin,
                                                      context.profile.heartbeat + heartbeatMargin);
    return options;
}

/** \returns the timeout of a start with a spec of \a bytes, counted from its sending. */
static Duration startTimeout(std::size_t bytes)
{
    const std::chrono::milliseconds transfer(bytes / minStartBytesPerMillisecond);
    return std::min<Duration>(orderTimeout + transfer, maxStartTimeout);
}

static const char *toString(TransientJobStatus status)
{
    if (status == TransientJobStatus::Completed)
        return "completed";
    if (status == TransientJobStatus::Failed)
        return "failed";
    if (status == TransientJobStatus::Cancelled)
        return "cancelled";
    return status == TransientJobStatus::Unfinished ? "unfinished" : "refused";
}

} // namespace internal

GatewayProcess::GatewayProcess(const NodeContext &node)
    : context(node), node(internal::fleetOptions(node)), directory({}, node.name()),
      rules({}, node.name(), this->loop.now()),
      relay(
          this->loop, node.relayOptions(), makeHttpTransport,
          [this](const WireMessage &message) { this->onMessage(message); },
          [](const NodeName &) {}),
      callerServer(this->loop,
                   { .address = *Address::parse(node.profile.callersAddress),
                     .keptHeaders = node.protocol.callerHeaders,
                     .onDisconnect = [this](std::uint64_t token) { this->onCallerLeft(token); } },
                   [this](const HttpRequest &request) { this->onCallerRequest(request); }),
      readinessServer(this->loop,
                      { .address = *Address::parse(node.profile.readinessAddress),
                        .maxBodyBytes = HttpServer::smallBodyBytes,
                        .isNeverRefused = true },
                      [this](const HttpRequest &request) {
                          const bool isReady = this->isReady();
                          this->readinessServer.respond(request.token,
                                                        { .status = isReady
                                                              ? internal::StatusOk
                                                              : internal::StatusUnavailable });
                      }),
      targetServer(this->loop,
                   { .address = *Address::parse(node.profile.targetsAddress), .isEssential = true },
                   [this](const HttpRequest &request) { this->onTargetRequest(request); }),
      metricsServer(this->loop,
                    { .address = *Address::parse(node.profile.metricsAddress),
                      .maxBodyBytes = HttpServer::smallBodyBytes,
                      .isNeverRefused = true },
                    [this](const HttpRequest &request) { this->onMetricsRequest(request); }),
      client(this->loop,
             { .maxBodyBytes = internal::maxResponseBytes,
               .maxOpenBodyBytes = internal::maxOpenResponseBytes }),
      metrics(node.profile.label), settingsWatcher(node.settingsPath)
{
    this->loop.memory().setLimits(this->context.connectionLimits());
    this->directory.setSeeds(this->context.seeds());
}

int GatewayProcess::run()
{
    const bool isListening = this->relay.listen() && this->callerServer.listen()
        && this->readinessServer.listen() && this->targetServer.listen()
        && this->metricsServer.listen();
    if (!isListening) {
        logError("cannot-listen", { { "address", this->context.profile.peerAddress } });
        return 1;
    }
    logEvent("started",
             { { "role", "gateway" },
               { "domain", this->context.profile.domain.str() },
               { "life", std::to_string(this->context.incarnation) } });
    this->loop.run(
        internal::gatewayTick, [this] { this->onTick(); }, [this] { this->flushOutput(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void GatewayProcess::onCallerRequest(const HttpRequest &request)
{
    this->lastRequestAt = this->loop.now();
    const TimePoint now = this->loop.now();
    if (!this->rules.hasRules() || this->rules.isOutdated(now)) {
        const char *reason = this->rules.hasRules() ? "old-rules" : "no-rules";
        this->logRefusal(request, reason);
        this->refuse(request.token, internal::StatusUnavailable, 1s, reason);
        return;
    }
    const RouteRule *route = this->rules.active().rules().routeFor(request.host, request.path);
    if (route == nullptr) {
        ++this->refusalCounts["no-route"];
        this->logRefusal(request, "no-route");
        this->callerServer.respond(request.token, { .status = internal::StatusNotFound });
        return;
    }
    const std::string id = request.path.substr(route->prefix.size());
    if (id.size() > internal::maxJobIdBytes) {
        this->logRefusal(request, "no-id");
        ++this->refusalCounts["no-id"];
        this->callerServer.respond(request.token,
                                   { .status = request.method == "POST" ? internal::StatusBadRequest
                                                                        : internal::StatusGone });
        return;
    }
    if (request.method == "POST" && !id.empty()) {
        this->onSubmit(request, *route, id);
        return;
    }
    if (request.method == "GET" && id.empty()) {
        this->callerServer.respond(request.token,
                                   { .body = this->context.protocol.renderPendingCount(0) });
        return;
    }
    if (request.method == "DELETE" && !id.empty()) {
        this->onCancel(request.token, id);
        return;
    }
    // Transient jobs are not kept after their answer, so there is nothing to show.
    const bool isLookUp = request.method == "GET" || request.method == "DELETE";
    this->callerServer.respond(
        request.token, { .status = isLookUp ? internal::StatusGone : internal::StatusNotAllowed });
}

// The request is passed on also if the job is in progress here, since after a broken connection it
// may be in progress at another node, too.
void GatewayProcess::onCancel(std::uint64_t token, const std::string &job)
{
    const TimePoint now = this->loop.now();
    const bool wasInProgress = this->node.cancelJob(job, now);
    // A job that was in progress here is answered at once, and needs no room for its round.
    if (!wasInProgress && this->cancelRounds.isFull()) {
        logEvent("cancel-refused", { { "job", job }, { "reason", "too-many-cancels" } });
        this->refuse(token, internal::StatusUnavailable, 1s, "too-many-cancels");
        return;
    }
    const std::vector<NodeName> peers = this->node.peersToAsk(now);
    CancelJobRequest request = this->cancelRounds.begin(token, job, wasInProgress, peers,
                                                        this->node.knowsAllPeers(now), now);
    request.from = this->context.name();
    for (const NodeName &peer : peers)
        this->relay.send(peer, request);
    this->respondToCancels();
}

void GatewayProcess::onCancelRequest(const CancelJobRequest &request)
{
    const bool wasInProgress = this->node.cancelJob(request.job, this->loop.now());
    if (wasInProgress)
        logEvent("job-cancelled",
                 { { "job", request.job }, { "requested_by", request.from.str() } });
    this->relay.send(request.from,
                     CancelJobReply { .from = this->context.name(),
                                      .number = request.number,
                                      .wasInProgress = wasInProgress });
}

void GatewayProcess::respondToCancels()
{
    for (const CancelDecision &decision : this->cancelRounds.takeDecisions(this->loop.now())) {
        logEvent("cancel-answered",
                 { { "job", decision.job },
                   { "verdict", toString(decision.verdict) },
                   { "silent_peers", std::to_string(decision.silentPeers) } });
        if (decision.verdict == CancelVerdict::Unconfirmed)
            this->refuse(decision.caller, internal::StatusUnavailable, 1s, "cancel-unconfirmed");
        else if (decision.verdict == CancelVerdict::Unknown)
            this->callerServer.respond(decision.caller, { .status = internal::StatusGone });
        else
            this->callerServer.respond(
                decision.caller,
                { .body = this->context.protocol.renderJobStatus(TransientJobStatus::Cancelled) });
    }
}

void GatewayProcess::logRefusal(const HttpRequest &request, const char *reason)
{
    if (!this->refusalLines.take(this->loop.now()))
        return;
    logEvent("request-refused",
             { { "path", loggedText(request.path) },
               { "reason", reason },
               { "rules_version", std::to_string(this->rules.active().file().version) },
               { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
}

void GatewayProcess::onSubmit(const HttpRequest &request, const RouteRule &route,
                              const std::string &id)
{
    const ParsedJob body = this->context.protocol.readJob(id, request.body);
    if (const auto *malformed = std::get_if<Malformed>(&body)) {
        ++this->refusalCounts["malformed"];
        if (this->refusalLines.take(this->loop.now()))
            logEvent("job-refused",
                     { { "job", loggedText(id) },
                       { "reason", loggedText(malformed->reason) },
                       { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
        this->callerServer.respond(request.token, { .status = internal::StatusBadRequest });
        return;
    }
    if (const auto *unsupported = std::get_if<Unsupported>(&body)) {
        if (this->refusalLines.take(this->loop.now()))
            logEvent("job-refused",
                     { { "job", loggedText(id) },
                       { "reason", "not-offered" },
                       { "feature", loggedText(unsupported->feature) },
                       { "omitted", std::to_string(this->refusalLines.takeOmitted()) } });
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
    const JobHistory history = this->node.coordinator().historyOf(id);
    if (history != JobHistory::Unknown)
        logEvent("job-submitted-again",
                 { { "job", id }, { "route", route.name }, { "known_as", toString(history) } });
    this->waitingCallers[request.token] = { .job = id, .route = route.name, .arrivedAt = now };
    this->node.submit(std::get<TransientJob>(body), policy, request.token, now);
}

void GatewayProcess::onCallerLeft(std::uint64_t token)
{
    const auto found = this->waitingCallers.find(token);
    if (found == this->waitingCallers.end())
        return;
    const TimePoint now = this->loop.now();
    const std::size_t owners = this->node.coordinator().ownersFor(token).size();
    logEvent("caller-left",
             { { "job", found->second.job },
               { "route", found->second.route },
               { "waited_ms", std::to_string(toMilliseconds(now - found->second.arrivedAt)) },
               { "owners", std::to_string(owners) } });
    this->waitingCallers.erase(found);
    this->node.removeCaller(token, now);
}

void GatewayProcess::onTargetRequest(const HttpRequest &request)
{
    const ControlRequest parsed = this->context.protocol.readControlRequest(request);
    const auto *heartbeat = std::get_if<TargetHeartbeat>(&parsed);
    if (heartbeat == nullptr) {
        const auto *malformed = std::get_if<Malformed>(&parsed);
        ++this->refusalCounts["malformed-announcement"];
        this->refusalLog.record(request.path,
                                malformed != nullptr ? malformed->reason : "unknown call",
                                this->loop.now());
        this->targetServer.respond(request.token, { .status = internal::StatusBadRequest });
        return;
    }
    this->node.handleHeartbeat(*heartbeat, this->loop.now());
    // The target needs another interval to send its heartbeats to the new owner.
    if (const auto owner = this->node.newOwnerOf(heartbeat->target.name))
        this->relay.send(*owner, *heartbeat);
    const std::string next = this->node.heartbeatRedirectOf(heartbeat->target.name);
    if (!this->node.acknowledges(*heartbeat)) {
        if (this->departureLines.take(this->loop.now()))
            logEvent("departure-not-acknowledged",
                     { { "target", loggedText(heartbeat->target.name.str()) },
                       { "life", std::to_string(heartbeat->target.incarnation) },
                       { "sequence", std::to_string(heartbeat->target.sequence) },
                       { "omitted", std::to_string(this->departureLines.takeOmitted()) } });
        this->targetServer.respond(request.token, { .status = internal::StatusUnavailable });
        return;
    }
    this->targetServer.respond(request.token,
                               { .body = this->context.protocol.renderHeartbeatResponse(next) });
}

void GatewayProcess::onMetricsRequest(const HttpRequest &request)
{
    const TimePoint now = this->loop.now();
    if (now >= this->metricsText.validUntil) {
        this->updateMetrics();
        this->metricsText = { .text = this->metrics.text(), .validUntil = now + metricsLifetime };
    }
    this->metricsServer.respond(
        request.token,
        { .contentType = "text/plain; version=0.0.4", .body = this->metricsText.text });
}

void GatewayProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    std::visit(
        Overloaded {
            [&](const FleetMessage &fleetMessage) { this->node.receive(fleetMessage, now); },
            [&](const TargetHeartbeat &heartbeat) { this->node.handleHeartbeat(heartbeat, now); },
            [&](const NodeList &list) { this->handleNodeList(list, now); },
            [&](const CancelJobRequest &request) { this->onCancelRequest(request); },
            [&](const JobHold &hold) { this->node.receive(hold, now); },
            [&](const CancelJobReply &reply) {
                this->cancelRounds.handleReply(reply);
                this->respondToCancels();
            },
            [&](const RulesUpdate &update) { this->handleRulesUpdate(update); },
            [&](const FetchRules &fetch) {
                if (const auto offer = this->rules.offerTo(fetch, now))
                    this->relay.send(fetch.node, *offer);
            },
            [](const auto &) {},
        },
        message);
}

void GatewayProcess::handleNodeList(const NodeList &list, TimePoint now)
{
    this->directory.mergeList(list, now);
    this->node.raiseIncarnation(this->directory.listedIncarnation(), now);
    this->rules.recordAcceptedVersion(list.rulesVersion, now);
    this->rules.recordEvacuations(list.evacuations);
    this->applyEvacuations(list.sender);
    for (const NodeRecord &gateway : this->directory.gatewaysListedBy(list.sender))
        this->node.updatePeer(gateway, now);
}

void GatewayProcess::onTick()
{
    const TimePoint now = this->loop.now();
    reportLoad(this->loadMeter, this->loop, this->relay, this->metrics, now);
    this->relay.tick(now);
    this->client.tick(now);
    for (const StartOrder &order : this->startQueue.takeExpired(now))
        this->giveUp(order);
    this->node.tick(now);
    this->directory.removeExpired(now);
    if (const std::vector<NodeName> dueRegistries = this->directory.takeDueAnnouncements(now);
        !dueRegistries.empty()) {
        const NodeRecord self = this->context.record(NodeKind::Gateway, stopRequests() > 0);
        const RulesAcknowledgement acknowledgement = this->rules.active().acknowledgement();
        for (const NodeName &registry : dueRegistries)
            this->relay.send(
                registry,
                NodeAnnouncement { .self = self,
                                   .listDigest = this->directory.digestOfList(registry),
                                   .rulesVersion = acknowledgement.version,
                                   .rulesDigest = acknowledgement.digest });
    }
    this->requestRules(now);
    this->respondToCancels();
    if (const auto profile = this->settingsWatcher.takeChange(now))
        this->reload(*profile);
    if (stopRequests() > 0)
        this->continueStop(now);
}

void GatewayProcess::flushOutput()
{
    if (!this->node.hasPendingOutput())
        return;
    const FleetOutbox out = this->node.flush(this->loop.now());
    if (out.raisedIncarnation)
        this->context.raiseIncarnation(*out.raisedIncarnation);
    for (const TargetOrder &order : out.orders)
        std::visit([this](const auto &item) { this->process(item); }, order);
    this->sendStops();
    this->sendStarts();
    for (const AddressedFleetMessage &item : out.messages)
        this->relay.send(item.to, item.message);
    for (const JobOutcome &outcome : out.outcomes)
        this->respond(outcome);
    logDecisions(out, this->unansweredTargetLines, this->loop.now());
    for (const JobHold &hold : out.holds)
        this->announce(hold);
    this->forward(out.forwardedHolds);
    for (const NodeName &peer : out.idlePeers)
        this->relay.disconnect(peer);
    for (const NodeName &peer : out.removedPeers) {
        logEvent("peer-forgotten", { { "peer", peer.str() } });
        this->relay.disconnect(peer);
    }
}

void GatewayProcess::announce(const JobHold &hold)
{
    const std::vector<NodeName> peers = this->node.peersToAsk(this->loop.now());
    logEvent("job-held",
             { { "job", hold.job },
               { "span_ms", std::to_string(toMilliseconds(hold.span)) },
               { "peers", std::to_string(peers.size()) } });
    for (const NodeName &peer : peers)
        this->relay.send(peer, hold);
}

void GatewayProcess::forward(const std::vector<AddressedJobHold> &holds)
{
    for (const AddressedJobHold &item : holds) {
        this->relay.send(item.to, item.hold);
        if (this->forwardedHoldLines.take(this->loop.now()))
            logEvent("job-hold-forwarded",
                     { { "job", item.hold.job },
                       { "from", item.hold.from.str() },
                       { "to", item.to.str() },
                       { "span_ms", std::to_string(toMilliseconds(item.hold.span)) },
                       { "omitted", std::to_string(this->forwardedHoldLines.takeOmitted()) } });
    }
}

void GatewayProcess::process(const StartOrder &order)
{
    this->startQueue.add(order, this->loop.now());
}

// Nothing has to be stopped where the start was not sent. After a restart of the target its owner
// expects the answer to the stop all the same.
void GatewayProcess::process(const StopOrder &order)
{
    const auto start = this->startQueue.withdraw(order.to.target, order.run);
    if (start && start->to.incarnation == order.to.incarnation)
        this->giveUp(*start);
    else
        this->stopQueue.add(order);
}

void GatewayProcess::process(const PollOrder &order)
{
    this->send(order);
}

void GatewayProcess::sendStops()
{
    for (const StopOrder &order : this->stopQueue.takeSendable())
        this->send(order);
}

void GatewayProcess::sendStarts()
{
    for (const NumberedStart &start : this->startQueue.takeSendable())
        this->send(start);
}

// The target would find that its lease has expired.
void GatewayProcess::giveUp(const StartOrder &order)
{
    ++this->startsGivenUp;
    this->node.handleStartResponse(order.to, order.run, { .status = OrderStatus::LeaseExpired },
                                   this->loop.now());
}

void GatewayProcess::send(const NumberedStart &start)
{
    const StartOrder &order = start.order;
    HttpCall call = this->context.protocol.makeStartCall(order);
    call.timeout = internal::startTimeout(order.spec.size());
    this->client.send(call,
                      [this, number = start.number, to = order.to,
                       run = order.run](const HttpCallResult &result) {
                          this->startQueue.finish(number);
                          this->logExcess(to, result);
                          const OrderResponse response
                              = this->context.protocol.readOrderResponse(result);
                          if (response.status != OrderStatus::Done)
                              logEvent("start-not-done",
                                       { { "job", run.job },
                                         { "step", std::to_string(run.step) },
                                         { "task", std::to_string(run.index) },
                                         { "attempt", std::to_string(run.attempt) },
                                         { "target", to.target.str() },
                                         { "life", std::to_string(to.incarnation) },
                                         { "fencing_token", std::to_string(to.fencingToken) },
                                         { "status", std::to_string(result.status) },
                                         { "verdict", toString(response.status) } });
                          this->node.handleStartResponse(to, run, response, this->loop.now());
                          this->sendStarts();
                      });
}

void GatewayProcess::send(const StopOrder &order)
{
    HttpCall call = this->context.protocol.makeStopCall(order);
    call.timeout = internal::orderTimeout;
    call.usesNewConnection = order.usesNewConnection;
    this->client.send(call, [this, to = order.to, run = order.run](const HttpCallResult &result) {
        this->stopQueue.finish(to.target);
        this->logExcess(to, result);
        const OrderResponse response = this->context.protocol.readOrderResponse(result);
        logEvent("stop-sent",
                 { { "job", run.job },
                   { "step", std::to_string(run.step) },
                   { "task", std::to_string(run.index) },
                   { "attempt", std::to_string(run.attempt) },
                   { "target", to.target.str() },
                   { "life", std::to_string(to.incarnation) },
                   { "fencing_token", std::to_string(to.fencingToken) },
                   { "status", std::to_string(result.status) },
                   { "verdict", toString(response.status) } });
        this->node.handleStopResponse(to, run, response, this->loop.now());
        this->sendStops();
    });
}

void GatewayProcess::send(const PollOrder &order)
{
    HttpCall call = this->context.protocol.makePollCall(order);
    call.timeout = order.maxWait + internal::pollTimeoutMargin;
    call.usesNewConnection = order.usesNewConnection;
    this->client.send(
        call, [this, to = order.to, sentAt = order.sentAt](const HttpCallResult &result) {
            this->logExcess(to, result);
            const PollResponse response = this->context.protocol.readPollResponse(result);
            if (!response.isComplete)
                this->refusalLog.record(to.target.str(), "unreadable row in the list of runs",
                                        this->loop.now());
            this->node.handlePollResponse(to, sentAt, response, this->loop.now());
        });
}

void GatewayProcess::logExcess(const OrderAddress &from, const HttpCallResult &result)
{
    if (result.state == HttpCallState::TooLarge)
        this->refusalLog.record(from.target.str(), "response over the limits", this->loop.now());
}

void GatewayProcess::respond(const JobOutcome &outcome)
{
    for (const std::uint64_t token : outcome.callerTokens) {
        const auto found = this->waitingCallers.find(token);
        if (found == this->waitingCallers.end())
            continue;
        const Duration elapsed = this->loop.now() - found->second.arrivedAt;
        logEvent("job-answered",
                 { { "job", outcome.job },
                   { "route", found->second.route },
                   { "outcome", internal::toString(outcome.status) },
                   { "reason", toString(outcome.reason) },
                   { "took_ms", std::to_string(toMilliseconds(elapsed)) },
                   { "attempts", std::to_string(outcome.requestedRuns) },
                   { "rules_version", std::to_string(this->rules.active().file().version) } });
        this->metrics.observeSeconds("hibiscus_job_seconds",
                                     "Time from a job's arrival to its answer, in seconds.",
                                     toSeconds(elapsed));
        this->waitingCallers.erase(found);
        if (outcome.status == TransientJobStatus::Refused)
            this->refuse(token, internal::StatusUnavailable, outcome.retryAfter,
                         toString(outcome.reason));
        else if (outcome.status == TransientJobStatus::Unfinished)
            this->callerServer.respond(token, { .status = internal::StatusTimeout });
        else
            this->callerServer.respond(
                token, { .body = this->context.protocol.renderJobStatus(outcome.status) });
    }
}

void GatewayProcess::refuse(std::uint64_t token, int status, Duration retryAfter,
                            const char *reason)
{
    ++this->refusalCounts[reason];
    const auto seconds = std::max(1L, std::lround(std::ceil(toSeconds(retryAfter))));
    this->callerServer.respond(
        token,
        { .status = status,
          .headers = { { .name = "retry-after", .value = std::to_string(seconds) } } });
}

// A gateway that starts while all registry nodes are down has no list of the others, but may have
// messages of them.
void GatewayProcess::requestRules(TimePoint now)
{
    if (this->rules.active().status() == RulesStatus::Confirmed)
        return;
    std::vector<NodeName> peers;
    for (const NodeRecord &gateway : this->directory.gateways())
        if (gateway.domain == this->context.profile.domain)
            peers.push_back(gateway.node);
    for (const NodeName &peer : this->node.livePeersOfDomain(now))
        if (std::ranges::find(peers, peer) == peers.end())
            peers.push_back(peer);
    for (const AddressedFetch &request :
         this->rules.takeDueRequests(this->directory.registries(), peers, now))
        this->relay.send(request.to, request.fetch);
}

void GatewayProcess::handleRulesUpdate(const RulesUpdate &update)
{
    const std::uint64_t previousVersion = this->rules.active().file().version;
    const RulesReceipt receipt = this->rules.receive(update, this->loop.now());
    this->applyEvacuations(update.sender);
    const RulesAcknowledgement acknowledgement = this->rules.active().acknowledgement();
    if (receipt == RulesReceipt::Refused) {
        if (this->refusedOffers.insert(update.sender).second)
            logEvent("rules-not-adopted",
                     { { "version", std::to_string(versionOf(update)) },
                       { "sender", update.sender.str() },
                       { "offer", toString(offerOf(update)) } });
        return;
    }
    if (receipt == RulesReceipt::Adopted) {
        this->enforceRequestLimits();
        const bool isConfirmed = this->rules.active().status() == RulesStatus::Confirmed;
        logEvent("rules-in-force",
                 { { "version", std::to_string(acknowledgement.version) },
                   { "former", std::to_string(previousVersion) },
                   { "confirmed", isConfirmed ? "yes" : "no" },
                   { "sender", update.sender.str() },
                   { "offer", toString(offerOf(update)) } });
    }
    // Every registry node may offer the same version; acknowledging it once is enough.
    if (update.isCatchUp && acknowledgement.version == previousVersion)
        return;
    for (const NodeName &registry : this->directory.registries())
        this->relay.send(registry, acknowledgement);
}

// The first list of a registry node that lags behind may lack an evacuation that the first rules
// bring.
void GatewayProcess::applyEvacuations(const NodeName &sender)
{
    const Evacuations &evacuations = this->rules.active().evacuations();
    const bool hasFirstRules = this->rules.active().status() != RulesStatus::None;
    if (!hasFirstRules || this->evacuationsInForce == evacuations)
        return;
    logEvent(
        "evacuations-in-force",
        { { "revision", std::to_string(evacuations.revision) },
          { "former",
            std::to_string(this->evacuationsInForce ? this->evacuationsInForce->revision : 0) },
          { "domains", joined(evacuations.domains) },
          { "sender", sender.str() },
          { "running", std::to_string(this->node.owner().runningRunCount()) },
          { "queued", std::to_string(this->node.owner().queuedRunCount()) } });
    this->evacuationsInForce = evacuations;
    this->node.setEvacuatedDomains(evacuations.domains, this->loop.now());
}

// Bodies are refused from exactly the limit that callers keep. Of headers and their time, callers
// and this process may take a different view of what counts, so that they get a margin.
void GatewayProcess::enforceRequestLimits()
{
    const RequestLimits limits
        = this->rules.active().rules().requestLimits().value_or(RequestLimits());
    MemoryBudget::Limits changed = this->context.connectionLimits();
    constexpr std::size_t margin = 2;
    changed.headerTimeout = std::max<Duration>(
        changed.headerTimeout, margin * std::chrono::milliseconds(limits.headerTimeoutMs));
    this->loop.memory().setLimits(changed);
    this->callerServer.setMaxHeaderBytes(margin * limits.maxHeaderBytes);
    this->callerServer.setMaxBodyBytes(limits.maxBodyBytes > 0 ? limits.maxBodyBytes
                                                               : HttpServer::defaultMaxBodyBytes);
}

// Addresses stay the same until the process exits; the settings below may change.
void GatewayProcess::reload(const NodeProfile &profile)
{
    this->context.profile.registrySeeds = profile.registrySeeds;
    this->context.profile.lease = profile.lease;
    this->context.profile.stopTimeout = profile.stopTimeout;
    this->directory.setSeeds(this->context.seeds());
}

void GatewayProcess::continueStop(TimePoint now)
{
    if (this->stopRequestedAt == TimePoint()) {
        logEvent("stopping");
        const Duration remaining = this->context.profile.stopTimeout - internal::stopMargin;
        this->node.drain(now + remaining - internal::finalAnswerMargin);
        this->stopRequestedAt = now;
    }
    const Duration sinceStopRequest = now - this->stopRequestedAt;
    if (sinceStopRequest >= internal::balancerReactionTime)
        this->callerServer.closeAfterResponses();
    const bool isQuiet = sinceStopRequest >= internal::balancerReactionTime + 1s
        && this->node.isIdle() && this->callerServer.openRequests() == 0
        && now >= this->lastRequestAt + internal::quietPeriod;
    const bool isOverdue
        = sinceStopRequest >= this->context.profile.stopTimeout - internal::stopMargin;
    if (isQuiet || isOverdue || stopRequests() > 1)
        this->loop.stop();
}

bool GatewayProcess::isReady() const
{
    return this->rules.hasRules() && !this->rules.isOutdated(this->loop.now())
        && stopRequests() == 0;
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
    count("hibiscus_starts_given_up_total", "Starts that were not sent, as others took too long.",
          this->startsGivenUp);
    gauge("hibiscus_waiting_starts", "Starts that wait for others to be answered.",
          this->startQueue.waitingCount());
    count("hibiscus_runs_returned_total", "Waiting runs given back, since another owner had room.",
          owner.returned);
    count("hibiscus_runs_evacuated_total",
          "Waiting runs given back, since only evacuated targets could execute them.",
          owner.evacuated);
    count("hibiscus_runs_straggling_total", "Runs stopped for taking too long.", owner.stragglers);
    count("hibiscus_runs_hopeless_total",
          "Runs stopped, since their progress showed that they would miss their deadline.",
          owner.hopeless);
    count("hibiscus_runs_spared_total",
          "Slow runs that went on, since they would not have ended earlier elsewhere.",
          owner.spared);
    count("hibiscus_tasks_packed_total",
          "Starts that leave less capacity unusable than on the otherwise best target.",
          owner.packed);
    count("hibiscus_targets_slow_total", "Times that a target was avoided for slow runs.",
          owner.slowTargets);
    count("hibiscus_runs_stopped_total", "Runs stopped on request.", owner.stopped);
    count("hibiscus_runs_lost_total", "Runs lost with a target or its lease.", owner.lost);
    count("hibiscus_targets_adopted_total", "Targets taken over.", owner.adoptedTargets);
    count("hibiscus_targets_dropped_total",
          "Targets dropped, or not taken over, as too many had not responded.",
          owner.droppedTargets);
    count("hibiscus_targets_fenced_total", "Targets lost to another owner.", owner.fencedTargets);
    count("hibiscus_targets_regained_total", "Targets kept after a guardian had fenced them.",
          owner.regainedTargets);
    count("hibiscus_peer_targets_fenced_total", "Targets of lost peers that were fenced.",
          peers.fencedForPeers);
    count("hibiscus_peer_messages_sent_total", "Messages to peers.", peers.sentMessages);
    count("hibiscus_peer_messages_received_total", "Messages of peers.", peers.receivedMessages);
    count("hibiscus_peer_messages_stale_total", "Messages that came too late.",
          peers.staleMessages);
    count("hibiscus_gaps_total", "Times that this node stood still.", peers.stalls);
    for (const auto &[reason, number] : this->refusalCounts) {
        std::string name = "hibiscus_refused_" + reason + "_total";
        std::ranges::replace(name, '-', '_');
        count(name.c_str(), "Refused requests, by reason.", number);
    }
    count("hibiscus_refused_body_size_total", "Requests refused for the size of their body.",
          this->callerServer.refusedBodies());
    gauge("hibiscus_jobs", "Jobs in progress.", this->node.coordinator().jobCount());
    gauge("hibiscus_queued_runs", "Runs that wait here for room.",
          this->node.owner().queuedRunCount());
    gauge("hibiscus_running_runs", "Runs on own targets.", this->node.owner().runningRunCount());
    gauge("hibiscus_targets", "Own targets.", this->node.owner().targetNames().size());
    gauge("hibiscus_live_peers", "Peers that answer.", this->node.livePeerCount(this->loop.now()));
    gauge("hibiscus_evacuated_domains", "Failure domains where nothing is started.",
          this->rules.active().evacuations().domains.size());
    gauge("hibiscus_rules_version", "Version of the rules in force.",
          this->rules.active().file().version);
    this->metrics.setGauge("hibiscus_rules_confirmation_age_seconds",
                           "Time since a quorum confirmed the rules in force.",
                           toSeconds(this->loop.now() - this->rules.confirmedAt()));
    updateRelayMetrics(this->metrics, this->relay.counters());
}

} // namespace Hibiscus
