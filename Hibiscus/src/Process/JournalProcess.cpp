#include "Hibiscus/src/Process/JournalProcess.h"

#include "Hibiscus/src/Process/ReplicaStatus.h"

namespace Hibiscus {

namespace internal {

constexpr Duration journalTick = 10ms;
/** \brief Limit of messages of a journal: a snapshot of all stored jobs is one message. */
constexpr std::size_t maxJournalMessageBytes = 512UL * 1024 * 1024;

static Relay::Options relayOptions(const ProcessContext &context)
{
    Relay::Options options = context.relayOptions();
    options.maxMessageBytes = maxJournalMessageBytes;
    return options;
}

static JournalOptions journalOptions(const ProcessContext &context)
{
    JournalOptions options;
    options.replicated.replica.heartbeatInterval = context.deployment.timing.heartbeat;
    options.replicated.replica.electionTimeout = context.deployment.timing.electionTimeout;
    return options;
}

} // namespace internal

JournalProcess::JournalProcess(const ProcessContext &context, ReplicaDisk openedDisk)
    : context(context), disk(std::move(openedDisk)),
      node(internal::journalOptions(context), this->disk.state(), context.incarnation,
           this->loop.now()),
      relay(
          this->loop, internal::relayOptions(context), makeGrpcTransport,
          [this](const WireMessage &message) { this->onMessage(message); },
          [](const NodeName &) {}),
      http(this->loop, { .address = context.httpAddress() },
           [this](const HttpRequest &request) { this->onHttp(request); }),
      metrics(context.self.name.str())
{ }

int JournalProcess::run()
{
    if (!this->relay.listen() || !this->http.listen()) {
        logError("cannot-listen",
                 { { "rpc", this->context.self.rpc }, { "http", this->context.self.http } });
        return 1;
    }
    logEvent("started", { { "serves", this->context.self.serves.str() } });
    this->loop.run(
        internal::journalTick, [this] { this->onTick(); }, [this] { this->flushOutput(); });
    logEvent("stopped");
    this->relay.shutDown();
    return 0;
}

void JournalProcess::onHttp(const HttpRequest &request)
{
    if (request.path == "/metrics") {
        this->updateMetrics();
        this->http.respond(
            request.token,
            { .contentType = "text/plain; version=0.0.4", .body = this->metrics.text() });
        return;
    }
    this->http.respond(request.token,
                       answerReplicaQuery(request.path, this->node.replica(), this->statusJson()));
}

void JournalProcess::onMessage(const WireMessage &message)
{
    const TimePoint now = this->loop.now();
    const auto *envelope = std::get_if<ReplicaEnvelope>(&message);
    if (envelope != nullptr && this->disk.isAvailable())
        this->node.receive(*envelope, now, this->out);
    if (const auto *request = std::get_if<JournalRequest>(&message))
        this->node.receive(*request, now, this->out);
}

void JournalProcess::onTick()
{
    if (this->lifecycle.tick(this->node, groupMembers(this->context), this->disk.isAvailable(),
                             this->loop.now(), this->out))
        this->loop.stop();
}

void JournalProcess::flushOutput()
{
    const TimePoint now = this->loop.now();
    if (this->disk.storeAndSend(this->out.replica, this->relay, now) == StoreOutcome::Failed)
        this->node.suspend(now, this->out);
    for (const JournalResponse &response : std::exchange(this->out.responses, {})) {
        ++this->answeredRequests;
        if (!response.request.node.isEmpty())
            this->relay.send(response.request.node, response);
    }
}

std::string JournalProcess::statusJson() const
{
    return describeReplica(this->node.replica(),
                           { { "role", "journal" },
                             { "disk", this->disk.isAvailable() ? "available" : "unavailable" },
                             { "serves", this->context.self.serves.str() },
                             { "jobs", std::to_string(this->node.state().size()) } });
}

void JournalProcess::updateMetrics()
{
    updateReplicaMetrics(this->metrics, this->node.replica(), this->disk.syncs(),
                         this->disk.isAvailable());
    updateRelayMetrics(this->metrics, this->relay.counters());
    this->metrics.setGauge("hibiscus_journal_jobs", "Jobs on record.",
                           static_cast<double>(this->node.state().size()));
    this->metrics.setCounter("hibiscus_journal_answers_total", "Questions answered.",
                             static_cast<double>(this->answeredRequests));
}

} // namespace Hibiscus
