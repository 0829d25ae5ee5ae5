#include "Hibiscus/src/Process/EntryProcess.h"

#include "Hibiscus/src/Core/Json.h"
#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr Duration entryTick = 10ms;
constexpr Duration rulesFetchInterval = 500ms;
/** \brief Time after its start in which an entry node accepts only rules that a quorum confirms. */
constexpr Duration confirmedRulesTimeout = 3s;
constexpr const char *rulesFileName = "rules.json";

static DispatcherOptions dispatcherOptions(const ProcessContext &context)
{
    const Deployment &deployment = context.deployment;
    DispatcherOptions options;
    options.coordinator.self = { .node = context.self.name, .incarnation = context.incarnation };
    options.coordinator.admission.self = context.self.name;
    options.coordinator.admission.maxWaitingTasks = deployment.limits.waitingTasks;
    options.owner.pool.leaseDuration = deployment.timing.targetLease;
    options.peers.ownDomain = context.self.domain;
    options.peers.ownWeight = context.self.weight;
    const std::vector<NodeSettings> entries = deployment.nodesWithRole(NodeRole::Entry);
    options.coordinator.admission.entryCount = static_cast<std::uint32_t>(entries.size());
    for (std::uint32_t i = 0; i < entries.size(); ++i) {
        if (entries[i].name == context.self.name)
            options.coordinator.admission.entryIndex = i;
        else
            options.peers.peers.push_back({ .node = entries[i].name,
                                            .domain = entries[i].domain,
                                            .weight = entries[i].weight });
    }
    for (const DomainName &domain : deployment.domains) {
        JournalGroup group = { .domain = domain };
        for (const NodeSettings &node : deployment.journalNodesOf(domain))
            group.members.push_back(node.name);
        options.journals.groups.push_back(group);
    }
    return options;
}

static HttpClient::Options clientOptions(const ProcessContext &context)
{
    HttpClient::Options options;
    options.connectionsPerServer = context.deployment.services.front().connections;
    options.idleTimeout = context.deployment.timing.maxDeadline;
    return options;
}

static std::optional<RulesFile> readRulesFile(const std::filesystem::path &folder)
{
    if (folder.empty())
        return std::nullopt;
    std::ifstream stream(folder / rulesFileName);
    const Json json = Json::parse(stream, nullptr, false);
    const bool isValid = json.is_object() && json.contains("version")
        && json["version"].is_number_unsigned() && json.contains("text")
        && json["text"].is_string();
    if (!isValid)
        return std::nullopt;
    return RulesFile { .version = json["version"].get<std::uint64_t>(),
                       .text = json["text"].get<std::string>() };
}

static void writeRulesFile(const std::filesystem::path &folder, const RulesFile &file)
{
    if (folder.empty())
        return;
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    const std::filesystem::path next = folder / "rules.json.next";
    std::ofstream stream(next);
    stream << Json({ { "version", file.version }, { "text", file.text } }).dump();
    stream.close();
    // On a full disk, the previous file is better than an incomplete one.
    if (stream)
        std::filesystem::rename(next, folder / rulesFileName, error);
    if (!stream || error)
        logError("rules-not-stored", { { "version", std::to_string(file.version) } });
}

static bool startsWith(const std::string &text, const std::string &prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

} // namespace internal

EntryProcess::EntryProcess(const ProcessContext &context)
    : context(context), dispatcher(internal::dispatcherOptions(context)), rules(context.self.name),
      relay(
          this->loop, context.relayOptions(), makeGrpcTransport,
          [this](const WireMessage &message) { this->onMessage(message); },
          [this](const NodeName &node) {
              DispatchOutbox out;
              this->dispatcher.handleBrokenLink(node, this->loop.now(), out);
              this->send(out);
          }),
      http(
          this->loop,
          { .address = context.httpAddress(), .maxBodyBytes = context.deployment.limits.bodyBytes },
          [this](const HttpRequest &request) { this->onHttp(request); }),
      client(this->loop, internal::clientOptions(context)), metrics(context.self.name.str()),
      spans(context.self.name.str(), context.spanFile, context.incarnation),
      startedAt(this->loop.now())
{ }

int EntryProcess::run()
{
    if (!this->relay.listen() || !this->http.listen()) {
        logError("cannot-listen",
                 { { "rpc", this->context.self.rpc }, { "http", this->context.self.http } });
        return 1;
    }
    logEvent("started", { { "domain", this->context.self.domain.str() } });
    this->loop.run(
        internal::entryTick, [this] { this->onTick(); }, [] {});
    logEvent("stopped",
             { { "cut-jobs", std::to_string(this->dispatcher.coordinator().jobCount()) } });
    this->relay.shutDown();
    return 0;
}

void EntryProcess::onHttp(const HttpRequest &request)
{
    const std::string &path = request.path;
    if (path == "/v1/jobs" && request.method == "POST")
        this->onSubmit(request, true);
    else if (path == "/v1/jobs/async" && request.method == "POST")
        this->onSubmit(request, false);
    else if (path == "/v1/jobs/cancel" && request.method == "POST")
        this->onCancelJobs(request);
    else if (path == "/v1/ids" && request.method == "POST")
        this->onIssueId(request);
    else if (internal::startsWith(path, "/v1/jobs/"))
        this->onJob(request);
    else if (path == "/v1/targets" && request.method == "POST")
        this->onAnnouncement(request);
    else if (path == "/healthz")
        this->http.respond(request.token, { .body = "{\"alive\":true}\n" });
    else if (path == "/readyz")
        this->http.respond(
            request.token,
            { .status = this->isReady() ? 200 : 503,
              .body = this->isReady() ? "{\"ready\":true}\n" : "{\"ready\":false}\n" });
    else if (path == "/status")
        this->http.respond(request.token, { .body = this->statusJson() });
    else if (path == "/metrics") {
        this->updateMetrics();
        this->http.respond(
            request.token,
            { .contentType = "text/plain; version=0.0.4", .body = this->metrics.text() });
    } else
        this->http.respond(
            request.token,
            { .status = 404, .body = "{\"error\":\"not-found\",\"reason\":\"no such path\"}\n" });
}

void EntryProcess::onSubmit(const HttpRequest &request, bool callerWaits)
{
    const TimePoint now = this->loop.now();
    const auto job = parseJob(request.body, this->context.deployment, now);
    if (!job) {
        const ApiReply reply = renderError(job.error());
        this->http.respond(request.token, { .status = reply.status, .body = reply.body });
        return;
    }
    if (!this->isReady() && stopRequests() == 0) {
        const ApiReply reply
            = renderAnswer(job->id,
                           JobAnswer::uniform(JobState::Unknown, JobReason::HomeUnreachable,
                                              job->taskCount(), TaskFate::MayHaveRun));
        this->http.respond(request.token, { .status = reply.status, .body = reply.body });
        return;
    }
    const Span span = this->spans.start("job", job->id.str(), request.traceparent, now);
    this->waitingCallers[request.token] = { .span = span, .arrivedAt = now };
    if (!callerWaits)
        this->http.respond(
            request.token,
            { .status = 202,
              .body = "{\"id\":\"" + job->id.str() + "\",\"state\":\"accepted\"}\n" });
    DispatchOutbox out;
    this->dispatcher.submit(
        { .token = request.token, .request = *job, .trace = span.context.traceparent() }, now, out);
    this->send(out);
}

void EntryProcess::onJob(const HttpRequest &request)
{
    const std::string text = request.path.substr(std::string("/v1/jobs/").size());
    const Result<JobId> id = JobId::parse(text);
    if (!id) {
        const ApiReply reply = renderError(
            { .status = 400, .code = "bad-request", .reason = "malformed job id", .path = "/id" });
        this->http.respond(request.token, { .status = reply.status, .body = reply.body });
        return;
    }
    DispatchOutbox out;
    if (request.method == "DELETE") {
        this->dispatcher.cancel(*id, this->loop.now(), out);
        this->http.respond(request.token, { .status = 202, .body = "{}\n" });
    } else {
        this->dispatcher.lookUp(request.token, *id, this->loop.now(), out);
    }
    this->send(out);
}

void EntryProcess::onCancelJobs(const HttpRequest &request)
{
    const internal::Json json = parseJson(request.body);
    const bool isValid = json.is_object() && json.contains("ids") && json["ids"].is_array();
    if (!isValid) {
        const ApiReply reply = renderError({ .status = 400,
                                             .code = "bad-request",
                                             .reason = "expected an array of job ids",
                                             .path = "/ids" });
        this->http.respond(request.token, { .status = reply.status, .body = reply.body });
        return;
    }
    DispatchOutbox out;
    std::size_t cancelled = 0;
    for (const internal::Json &item : json["ids"]) {
        const Result<JobId> id = item.is_string() ? JobId::parse(item.get<std::string>())
                                                  : Result<JobId>(failure(Errc::MalformedJobId));
        if (!id || this->dispatcher.coordinator().find(*id) == nullptr)
            continue;
        this->dispatcher.cancel(*id, this->loop.now(), out);
        ++cancelled;
    }
    this->http.respond(
        request.token,
        { .status = 202, .body = "{\"cancelled\":" + std::to_string(cancelled) + "}\n" });
    this->send(out);
}

void EntryProcess::onIssueId(const HttpRequest &request)
{
    const JobId id(this->context.self.domain, this->loop.now(),
                   this->context.self.name.str() + "-" + std::to_string(this->context.incarnation)
                       + "-" + std::to_string(++this->issuedIds));
    this->http.respond(request.token, { .status = 201, .body = "{\"id\":\"" + id.str() + "\"}\n" });
}

void EntryProcess::onAnnouncement(const HttpRequest &request)
{
    const auto parsed = parseAnnouncement(request.body, this->context.deployment);
    const bool hasAddress = parsed && Address::parse(parsed->announcement.address);
    if (!hasAddress) {
        const ApiError error = parsed ? ApiError { .code = "bad-announcement",
                                                   .reason = "expected IP:port",
                                                   .path = "/address" }
                                      : parsed.error();
        const ApiReply reply = renderError(error);
        this->http.respond(request.token, { .status = reply.status, .body = reply.body });
        return;
    }
    const TimePoint now = this->loop.now();
    const TargetAnnouncement &announcement = parsed->announcement;
    const std::optional<NodeName> owner = this->dispatcher.betterOwner(*parsed, now);
    const bool isNew = this->dispatcher.owner().targets().find(announcement.target) == nullptr;
    internal::OrderedJson json;
    if (owner) {
        json["owner"] = owner->str();
        json["address"] = this->context.deployment.find(*owner)->http;
    } else {
        json["lease_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                               this->context.deployment.timing.targetLease)
                               .count();
        if (isNew)
            logEvent(
                "target-leased",
                { { "target", announcement.target.str() }, { "address", announcement.address } });
    }
    this->http.respond(request.token, { .body = json.dump() + "\n" });
    DispatchOutbox out;
    this->dispatcher.announce(*parsed, now, out);
    this->send(out);
}

void EntryProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    DispatchOutbox out;
    std::visit(
        Overloaded {
            [&](const PeerMessage &peerMessage) {
                this->dispatcher.receive(peerMessage, now, out);
            },
            [&](const JournalResponse &response) { this->dispatcher.receive(response, now, out); },
            [&](const RulesUpdate &update) { this->handleRulesUpdate(update); },
            [&](const FetchRules &fetch) {
                if (this->rules.status() != RulesStatus::None)
                    this->relay.send(fetch.node, RulesUpdate { .content = this->rules.file() });
            },
            [](const auto &) {},
        },
        message);
    this->send(out);
}

void EntryProcess::onTick()
{
    const TimePoint now = this->loop.now();
    DispatchOutbox out;
    this->dispatcher.tick(now, out);
    this->send(out);
    if (this->rules.status() != RulesStatus::Confirmed && now >= this->nextFetchAt)
        this->fetchRules(now);
    if (stopRequests() > 0)
        this->continueStop(now);
}

// Rules that a quorum confirms are preferred. If no quorum is reachable for a while, serving with
// the last known rules, from the disk or from an entry node of the same domain, is better than not
// serving.
void EntryProcess::fetchRules(TimePoint now)
{
    this->nextFetchAt = now + internal::rulesFetchInterval;
    for (const NodeSettings &control : this->context.deployment.nodesWithRole(NodeRole::Control))
        this->relay.send(control.name, FetchRules { .node = this->context.self.name });
    const bool acceptsOnlyConfirmed = now < this->startedAt + internal::confirmedRulesTimeout;
    if (acceptsOnlyConfirmed || this->rules.status() != RulesStatus::None)
        return;
    for (const NodeSettings &entry : this->context.deployment.nodesWithRole(NodeRole::Entry))
        if (entry.domain == this->context.self.domain && entry.name != this->context.self.name)
            this->relay.send(entry.name, FetchRules { .node = this->context.self.name });
    if (const auto file = internal::readRulesFile(this->context.dataFolder)) {
        this->rules.adoptLastKnown(*file);
        logEvent("rules-last-known", { { "version", std::to_string(file->version) } });
        DispatchOutbox out;
        this->dispatcher.applyRules(this->rules.rules(), now, out);
        this->send(out);
    }
}

void EntryProcess::handleRulesUpdate(const RulesUpdate &update)
{
    const std::uint64_t previousVersion = this->rules.file().version;
    const RulesStatus previousStatus = this->rules.status();
    const auto acknowledged = this->rules.receive(update);
    const bool isChanged
        = this->rules.file().version != previousVersion || this->rules.status() != previousStatus;
    if (isChanged) {
        logEvent("rules-in-force", { { "version", std::to_string(this->rules.file().version) } });
        internal::writeRulesFile(this->context.dataFolder, this->rules.file());
        DispatchOutbox out;
        this->dispatcher.applyRules(this->rules.rules(), this->loop.now(), out);
        this->send(out);
    }
    if (!acknowledged)
        return;
    for (const NodeSettings &control : this->context.deployment.nodesWithRole(NodeRole::Control))
        this->relay.send(control.name, *acknowledged);
}

void EntryProcess::continueStop(TimePoint now)
{
    if (this->stopDeadline == TimePoint()) {
        logEvent("stopping");
        DispatchOutbox out;
        this->dispatcher.drain(now, out);
        this->send(out);
        this->stopDeadline = now + this->context.deployment.timing.stopTimeout;
    }
    const bool isDone = this->dispatcher.isIdle() && this->waitingCallers.empty();
    // The platform's load balancer needs some time to notice that this node is no longer ready.
    constexpr Duration balancerReactionTime = 1s;
    const bool balancerKnows = now
        >= this->stopDeadline - this->context.deployment.timing.stopTimeout + balancerReactionTime;
    if ((isDone && balancerKnows) || stopRequests() > 1 || now >= this->stopDeadline)
        this->loop.stop();
}

void EntryProcess::send(const DispatchOutbox &out)
{
    for (const TargetCommand &command : out.toTargets)
        std::visit([this](const auto &item) { this->send(item); }, command);
    for (const AddressedPeerMessage &item : out.toPeers)
        this->relay.send(item.to, item.message);
    for (const AddressedJournalRequest &item : out.toJournals)
        this->relay.send(item.to, item.request);
    for (const CallerAnswer &item : out.answers)
        this->respond(item);
    for (const JobStatusResponse &item : out.statusResponses)
        this->respond(item);
}

void EntryProcess::send(const StartAttempt &command)
{
    const AttemptId attempt = command.start.attempt;
    PendingStart &open = this->pendingStarts[attempt];
    open.span = this->spans.start("attempt", attempt.str(), command.start.trace, this->loop.now());
    HttpCall call;
    call.method = "POST";
    call.address = *Address::parse(command.address);
    call.path = "/v1/tasks";
    call.headers = { { "hibiscus-attempt", attempt.str() },
                     { "hibiscus-lease", std::to_string(command.leaseId) },
                     { "traceparent", open.span.context.traceparent() } };
    call.body = command.start.payload;
    open.call = this->client.send(call, [this, attempt](const HttpCallResult &result) {
        this->finishStart(attempt, result);
    });
}

void EntryProcess::send(const QueryAttempt &command)
{
    HttpCall call;
    call.address = *Address::parse(command.address);
    call.path = "/v1/tasks/" + command.attempt.str();
    call.headers = { { "hibiscus-lease", std::to_string(command.leaseId) } };
    call.usesNewConnection = true;
    this->client.send(call, [this, command](const HttpCallResult &result) {
        this->finishQuery(command, result);
    });
}

void EntryProcess::finishStart(const AttemptId &attempt, const HttpCallResult &result)
{
    if (!this->pendingStarts.contains(attempt))
        return;
    TaskReport report = { .attempt = attempt, .result = result.body };
    if (result.state == HttpCallState::NotSent)
        report.status = AttemptStatus::NotStarted;
    else if (result.state != HttpCallState::Answered)
        // The outcome is queried once an announcement of the target does not list the attempt.
        return;
    else if (result.status == 200)
        report.status = AttemptStatus::Succeeded;
    else
        report.status = result.status == 409 ? AttemptStatus::NotStarted : AttemptStatus::Failed;
    this->finishAttempt(report);
}

void EntryProcess::finishQuery(const QueryAttempt &query, const HttpCallResult &result)
{
    if (result.state != HttpCallState::Answered || result.status != 200)
        return;
    const internal::Json json = parseJson(result.body);
    const bool isValid = json.is_object() && json.contains("state") && json["state"].is_string()
        && (!json.contains("result") || json["result"].is_string());
    if (!isValid)
        return;
    const auto state = json["state"].get<std::string>();
    TaskReport report = { .attempt = query.attempt, .result = json.value("result", "") };
    if (state == "succeeded")
        report.status = AttemptStatus::Succeeded;
    else if (state == "failed")
        report.status = AttemptStatus::Failed;
    else if (state == "not-started")
        report.status = AttemptStatus::NotStarted;
    else if (state != "unknown")
        return;
    // The outcome is known, so the response to the start is no longer needed.
    if (const auto open = this->pendingStarts.find(query.attempt);
        open != this->pendingStarts.end())
        this->client.cancel(open->second.call);
    this->finishAttempt(report);
}

void EntryProcess::finishAttempt(const TaskReport &report)
{
    const TimePoint now = this->loop.now();
    if (const auto open = this->pendingStarts.find(report.attempt);
        open != this->pendingStarts.end()) {
        const bool succeeded = report.status == AttemptStatus::Succeeded;
        this->spans.finish(open->second.span, succeeded ? "succeeded" : "not-succeeded", now);
        this->pendingStarts.erase(open);
    }
    DispatchOutbox out;
    this->dispatcher.finishAttempt(report, now, out);
    this->send(out);
}

void EntryProcess::respond(const CallerAnswer &answer)
{
    const auto caller = this->waitingCallers.find(answer.token);
    if (caller == this->waitingCallers.end())
        return;
    const TimePoint now = this->loop.now();
    this->spans.finish(caller->second.span, toString(answer.answer.state), now);
    this->metrics.observeSeconds("hibiscus_job_seconds",
                                 "Time from a job's arrival to its answer, in seconds.",
                                 toSeconds(now - caller->second.arrivedAt));
    this->waitingCallers.erase(caller);
    const ApiReply reply = renderAnswer(answer.job, answer.answer);
    this->http.respond(answer.token, { .status = reply.status, .body = reply.body });
}

void EntryProcess::respond(const JobStatusResponse &response)
{
    if (response.answer) {
        const ApiReply reply = renderAnswer(response.job, *response.answer);
        this->http.respond(response.token, { .status = reply.status, .body = reply.body });
        return;
    }
    const bool isOpen = response.status == JournalStatus::OpenElsewhere;
    internal::OrderedJson json;
    json["id"] = response.job.str();
    json["state"] = isOpen ? "in-progress" : "unknown";
    json["retry"] = "retry-with-same-id";
    this->http.respond(response.token,
                       { .status = isOpen ? 202 : 404, .body = json.dump() + "\n" });
}

bool EntryProcess::isReady() const
{
    const bool acceptsLastKnown
        = this->loop.now() >= this->startedAt + internal::confirmedRulesTimeout;
    const bool hasRules = this->rules.status() == RulesStatus::Confirmed
        || (acceptsLastKnown && this->rules.status() == RulesStatus::LastKnown);
    return hasRules && stopRequests() == 0;
}

std::string EntryProcess::statusJson() const
{
    internal::OrderedJson json;
    json["node"] = this->context.self.name.str();
    json["role"] = "entry";
    json["domain"] = this->context.self.domain.str();
    json["ready"] = this->isReady();
    json["stopping"] = stopRequests() > 0;
    json["rules_version"] = this->rules.file().version;
    json["rules_confirmed"] = this->rules.status() == RulesStatus::Confirmed;
    json["jobs"] = this->dispatcher.coordinator().jobCount();
    json["waiting_tasks"] = this->dispatcher.coordinator().waitingTaskCount();
    json["running_attempts"] = this->dispatcher.owner().runningAttemptCount();
    json["targets"] = internal::OrderedJson::array();
    const TimePoint now = this->loop.now();
    for (const auto &[name, target] : this->dispatcher.owner().targets().targets())
        json["targets"].push_back({ { "target", name.str() },
                                    { "service", target.announcement.service.str() },
                                    { "slots", target.announcement.slots },
                                    { "running", target.running.size() },
                                    { "leased", now <= target.leasedUntil },
                                    { "ejected", now < target.ejectedUntil } });
    return json.dump() + "\n";
}

void EntryProcess::updateMetrics()
{
    const CoordinatorCounters &jobs = this->dispatcher.coordinator().counters();
    const PeerCounters &peers = this->dispatcher.counters();
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        this->metrics.setCounter(name, help, static_cast<double>(value));
    };
    const auto gauge = [&](const char *name, const char *help, std::size_t value) {
        this->metrics.setGauge(name, help, static_cast<double>(value));
    };
    count("hibiscus_jobs_submitted_total", "Jobs submitted.", jobs.submitted);
    count("hibiscus_jobs_completed_total", "Jobs answered as complete.", jobs.completed);
    count("hibiscus_jobs_failed_total", "Jobs answered as failed.", jobs.failed);
    count("hibiscus_jobs_refused_total", "Jobs refused.", jobs.refused);
    count("hibiscus_jobs_unknown_total", "Jobs answered as unknown.", jobs.unknown);
    count("hibiscus_jobs_taken_over_total", "Jobs taken over.", jobs.takenOverJobs);
    count("hibiscus_tasks_placed_total", "Attempts placed.", jobs.placedTasks);
    count("hibiscus_tasks_retried_total", "Attempts after the first.", jobs.retriedTasks);
    count("hibiscus_late_reports_total", "Reports for nobody any more.", jobs.lateReports);
    count("hibiscus_peer_start_messages_total", "Messages with starts.", peers.startMessages);
    count("hibiscus_peer_report_messages_total", "Messages with reports.", peers.reportMessages);
    count("hibiscus_peer_offers_total", "Offers of a slot.", peers.offers);
    count("hibiscus_peer_probes_total", "Probes and their answers.", peers.probes);
    count("hibiscus_peer_cancellations_total", "Cancellations.", peers.cancellations);
    gauge("hibiscus_jobs", "Jobs in progress.", this->dispatcher.coordinator().jobCount());
    gauge("hibiscus_waiting_tasks", "Tasks that wait for a slot.",
          this->dispatcher.coordinator().waitingTaskCount());
    gauge("hibiscus_targets", "Targets with a lease of this node.",
          this->dispatcher.owner().targets().targets().size());
    gauge("hibiscus_rules_version", "Version of the rules in force.", this->rules.file().version);
    updateRelayMetrics(this->metrics, this->relay.counters());
}

} // namespace Hibiscus
