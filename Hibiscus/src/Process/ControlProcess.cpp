#include "Hibiscus/src/Process/ControlProcess.h"

#include "Hibiscus/src/Core/Json.h"
#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

constexpr Duration controlTick = 10ms;

static ControlOptions controlOptions(const ProcessContext &context)
{
    ControlOptions options;
    options.replicated.replica.heartbeatInterval = context.deployment.timing.heartbeat;
    options.replicated.replica.electionTimeout = context.deployment.timing.electionTimeout;
    for (const NodeSettings &entry : context.deployment.nodesWithRole(NodeRole::Entry))
        options.recipients.push_back({ .node = entry.name, .domain = entry.domain });
    return options;
}

static OrderedJson entriesJson(const std::vector<RulesRecipient> &entries)
{
    OrderedJson names = OrderedJson::array();
    for (const RulesRecipient &entry : entries)
        names.push_back({ { "node", entry.node.str() }, { "domain", entry.domain.str() } });
    return names;
}

} // namespace internal

ControlProcess::ControlProcess(const ProcessContext &context, ReplicaDisk openedDisk)
    : context(context), disk(std::move(openedDisk)),
      node(internal::controlOptions(context), this->disk.state(), context.incarnation,
           this->loop.now()),
      relay(
          this->loop, context.relayOptions(), makeGrpcTransport,
          [this](const WireMessage &message) { this->onMessage(message); },
          [](const NodeName &) {}),
      http(this->loop, { .address = context.httpAddress() },
           [this](const HttpRequest &request) { this->onHttp(request); }),
      metrics(context.self.name.str())
{ }

int ControlProcess::run()
{
    if (!this->relay.listen() || !this->http.listen()) {
        logError("cannot-listen",
                 { { "rpc", this->context.self.rpc }, { "http", this->context.self.http } });
        return 1;
    }
    logEvent("started");
    this->loop.run(
        internal::controlTick, [this] { this->onTick(); }, [this] { this->flushOutput(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void ControlProcess::onHttp(const HttpRequest &request)
{
    const TimePoint now = this->loop.now();
    const RequestId id = { .node = this->context.self.name, .number = request.token };
    if (request.path == "/v1/rules" && request.method == "POST")
        this->onApply(request);
    else if (request.path == "/v1/rules")
        this->node.requestRead(id, now, this->out);
    else if (request.path == "/v1/history")
        this->http.respond(request.token, { .body = this->historyJson() });
    else if (request.path == "/metrics") {
        this->updateMetrics();
        this->http.respond(
            request.token,
            { .contentType = "text/plain; version=0.0.4", .body = this->metrics.text() });
    } else
        this->http.respond(
            request.token,
            answerReplicaQuery(request.path, this->node.replica(), this->statusJson()));
}

void ControlProcess::onApply(const HttpRequest &request)
{
    const internal::Json json = parseJson(request.body);
    const auto isString
        = [&](const char *key) { return json.contains(key) && json[key].is_string(); };
    const bool isValid = json.is_object() && isString("apply_id") && isString("author")
        && isString("text") && json.contains("expected_version")
        && json["expected_version"].is_number_unsigned();
    if (!isValid) {
        this->http.respond(request.token,
                           { .status = 400,
                             .body = "{\"error\":\"bad-request\",\"reason\":\"apply_id, author, "
                                     "text and expected_version are required\"}\n" });
        return;
    }
    ApplyRules command;
    command.applyId = json["apply_id"].get<std::string>();
    command.author = json["author"].get<std::string>();
    command.text = json["text"].get<std::string>();
    command.expectedVersion = json["expected_version"].get<std::uint64_t>();
    this->node.apply({ .node = this->context.self.name, .number = request.token }, command,
                     this->loop.now(), this->out);
}

void ControlProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    const auto *envelope = std::get_if<ReplicaEnvelope>(&message);
    if (envelope != nullptr && this->disk.isAvailable())
        this->node.receive(*envelope, now, this->out);
    if (const auto *acknowledgement = std::get_if<RulesAcknowledgement>(&message))
        this->node.receive(*acknowledgement, now, this->out);
    if (const auto *fetch = std::get_if<FetchRules>(&message))
        this->node.receive(*fetch, now, this->out);
}

void ControlProcess::onTick()
{
    if (this->lifecycle.tick(this->node, groupMembers(this->context), this->disk.isAvailable(),
                             this->loop.now(), this->out))
        this->loop.stop();
    const std::uint64_t version = this->node.state().version();
    if (version != this->loggedRulesVersion)
        logEvent("rules-accepted", { { "version", std::to_string(version) } });
    this->loggedRulesVersion = version;
}

void ControlProcess::flushOutput()
{
    const TimePoint now = this->loop.now();
    if (this->disk.storeAndSend(this->out.log.replica, this->relay, now) == StoreOutcome::Failed)
        this->node.suspend(now, this->out);
    const ControlNode::Outbox outbox = std::exchange(this->out, {});
    for (const AddressedUpdate &item : outbox.updates)
        this->relay.send(item.to, item.update);
    for (const ApplyResponse &response : outbox.applyResponses)
        this->respond(response);
    for (const RulesReadResponse &response : outbox.readResponses)
        this->respond(response);
}

void ControlProcess::respond(const ApplyResponse &response)
{
    if (!response.reply) {
        this->redirect(response.request.number, response.leader);
        return;
    }
    const ApplyReply &reply = *response.reply;
    internal::OrderedJson json;
    json["version"] = reply.version;
    int status = 200;
    if (reply.status == ApplyStatus::Accepted) {
        json["outcome"] = "accepted";
        json["in_force_at"] = internal::entriesJson(response.confirmed);
        json["not_confirmed_at"] = internal::entriesJson(response.unconfirmed);
    } else if (reply.status == ApplyStatus::Conflict) {
        status = 409;
        json["outcome"] = "conflict";
        json["winner"] = reply.conflictingAuthor;
        json["winner_lines"] = reply.conflictingLines;
    } else {
        status = 422;
        json["outcome"] = "invalid";
        json["line"] = reply.error.line;
        json["column"] = reply.error.column;
        json["reason"] = reply.error.reason;
    }
    this->http.respond(response.request.number, { .status = status, .body = json.dump() + "\n" });
}

void ControlProcess::respond(const RulesReadResponse &response)
{
    if (!response.file) {
        this->redirect(response.request.number, response.leader);
        return;
    }
    internal::OrderedJson json;
    json["version"] = response.file->version;
    json["text"] = response.file->text;
    this->http.respond(response.request.number, { .body = json.dump() + "\n" });
}

void ControlProcess::redirect(std::uint64_t token, const std::optional<NodeName> &leader)
{
    internal::OrderedJson json;
    json["error"] = "not-the-leader";
    const NodeSettings *node = leader ? this->context.deployment.find(*leader) : nullptr;
    json["leader"] = node == nullptr ? "" : node->http;
    this->http.respond(token, { .status = 503, .body = json.dump() + "\n" });
}

std::string ControlProcess::historyJson() const
{
    internal::OrderedJson json = internal::OrderedJson::array();
    for (const RulesChange &change : this->node.state().history())
        json.push_back({ { "version", change.version },
                         { "author", change.author },
                         { "at_us", change.at.time_since_epoch().count() },
                         { "lines", change.lines } });
    return json.dump() + "\n";
}

std::string ControlProcess::statusJson() const
{
    return describeReplica(this->node.replica(),
                           { { "role", "control" },
                             { "disk", this->disk.isAvailable() ? "available" : "unavailable" },
                             { "rules_version", std::to_string(this->node.state().version()) } });
}

void ControlProcess::updateMetrics()
{
    updateReplicaMetrics(this->metrics, this->node.replica(), this->disk.syncs(),
                         this->disk.isAvailable());
    updateRelayMetrics(this->metrics, this->relay.counters());
    this->metrics.setGauge("hibiscus_rules_version", "Version of the rules this member holds.",
                           static_cast<double>(this->node.state().version()));
}

} // namespace Hibiscus
