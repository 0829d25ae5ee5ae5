#include "test/standins/StandInTarget.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

constexpr Duration announceInterval = 600ms;
constexpr std::uint32_t failuresToChangeOwner = 2;

static Duration runTimeOf(const std::string &payload, double speed)
{
    std::int64_t milliseconds = 0;
    std::from_chars(payload.data(), payload.data() + payload.size(), milliseconds);
    return fromSeconds(static_cast<double>(milliseconds) / 1000.0 / speed);
}

} // namespace internal

StandInTarget::StandInTarget(EventLoop &loop, const StandInTargetOptions &options)
    : loop(loop), options(options),
      http(loop, { .address = options.address },
           [this](const HttpRequest &request) { this->onHttp(request); }),
      client(loop, { .connectionsPerServer = 4, .idleTimeout = 1s }),
      spans(options.name.str(), options.spanFile, std::random_device {}()),
      random(std::random_device {}())
{
    if (!options.historyFile.empty())
        this->history.open(options.historyFile, std::ios::app);
}

Result<void> StandInTarget::listen()
{
    return this->http.listen();
}

void StandInTarget::tick()
{
    this->finishDueTasks();
    if (this->loop.now() >= this->nextAnnouncementAt)
        this->announceToOwners();
}

void StandInTarget::onHttp(const HttpRequest &request)
{
    if (request.path == "/v1/tasks" && request.method == "POST")
        this->onStart(request);
    else if (request.path.starts_with("/v1/tasks/"))
        this->onAttemptQuery(request);
    else
        this->http.respond(request.token, { .status = 404, .body = "{}" });
}

void StandInTarget::onStart(const HttpRequest &request)
{
    const Result<AttemptId> attempt = AttemptId::parse(request.attempt);
    const bool isLeased = this->owner && std::to_string(this->owner->leaseId) == request.lease;
    const bool isNew
        = attempt && !this->running.contains(*attempt) && !this->outcomes.contains(*attempt);
    if (!isLeased || !isNew || this->running.size() >= this->options.slots) {
        if (attempt && isNew)
            this->outcomes[*attempt] = {};
        this->http.respond(request.token, { .status = 409, .body = "not started" });
        return;
    }
    this->record("start", *attempt);
    const Duration runTime = this->options.shouldFailAllTasks
        ? Duration(1ms)
        : internal::runTimeOf(request.body, this->options.speed);
    this->running[*attempt] = { .token = request.token,
                                .leaseId = this->owner->leaseId,
                                .endsAt = this->loop.now() + runTime,
                                .payload = request.body,
                                .span = this->spans.start("task", attempt->str(),
                                                          request.traceparent, this->loop.now()) };
}

void StandInTarget::onAttemptQuery(const HttpRequest &request)
{
    const auto attempt = AttemptId::parse(request.path.substr(std::string("/v1/tasks/").size()));
    if (!attempt) {
        this->http.respond(request.token, { .status = 400, .body = "{}" });
        return;
    }
    AttemptOutcome outcome = { .state = "running" };
    const bool isOwnLease = std::ranges::any_of(this->drawnLeaseIds, [&](std::uint64_t leaseId) {
        return std::to_string(leaseId) == request.lease;
    });
    // "not-started" is answered only if it is certain; the attempt is then never started.
    if (!isOwnLease)
        outcome.state = "unknown";
    else if (!this->running.contains(*attempt))
        outcome = this->outcomes.try_emplace(*attempt).first->second;
    const nlohmann::json json = { { "state", outcome.state }, { "result", outcome.result } };
    this->http.respond(request.token, { .body = json.dump() });
}

void StandInTarget::finishDueTasks()
{
    const TimePoint now = this->loop.now();
    for (auto item = this->running.begin(); item != this->running.end();) {
        if (now < item->second.endsAt) {
            ++item;
            continue;
        }
        const bool failed = this->options.shouldFailAllTasks;
        this->record("end", item->first);
        this->spans.finish(item->second.span, failed ? "failed" : "succeeded", now);
        const std::string result = failed ? "failed" : "done " + item->second.payload;
        this->outcomes[item->first]
            = { .state = failed ? "failed" : "succeeded", .result = result };
        this->http.respond(item->second.token, { .status = failed ? 500 : 200, .body = result });
        item = this->running.erase(item);
    }
}

void StandInTarget::announceToOwners()
{
    this->nextAnnouncementAt = this->loop.now() + internal::announceInterval;
    if (!this->owner)
        this->selectNextEntry();
    this->announceTo(*this->owner, true);
    std::erase_if(this->previousOwners, [this](const Owner &previous) {
        return std::ranges::none_of(this->running, [&](const auto &item) {
            return item.second.leaseId == previous.leaseId;
        });
    });
    for (const Owner &previous : this->previousOwners)
        this->announceTo(previous, false);
}

void StandInTarget::announceTo(const Owner &to, bool isCurrent)
{
    AnnouncementRequest request;
    request.announcement.target = this->options.name;
    request.announcement.address
        = this->options.address.host + ":" + std::to_string(this->options.address.port);
    request.announcement.service = this->options.service;
    request.announcement.slots = this->options.slots;
    request.announcement.leaseId = to.leaseId;
    request.announcement.isLeaving = this->isLeaving || !isCurrent;
    request.isUnowned = isCurrent && to.node.empty();
    request.avoidedOwners = this->avoidedOwners;
    for (const auto &[attempt, task] : this->running)
        if (task.leaseId == to.leaseId)
            request.announcement.running.push_back(attempt);
    HttpCall call;
    call.method = "POST";
    call.address = to.address;
    call.path = "/v1/targets";
    call.body = renderAnnouncement(request);
    const std::uint64_t leaseId = to.leaseId;
    this->client.send(call, [this, leaseId, isCurrent](const HttpCallResult &result) {
        if (isCurrent)
            this->onAnnouncementResponse(leaseId, result);
    });
}

void StandInTarget::onAnnouncementResponse(std::uint64_t leaseId, const HttpCallResult &result)
{
    if (!this->owner || this->owner->leaseId != leaseId)
        return;
    if (result.state != HttpCallState::Answered || result.status != 200) {
        if (++this->consecutiveFailures < internal::failuresToChangeOwner)
            return;
        this->consecutiveFailures = 0;
        if (!this->owner->node.empty())
            this->avoidedOwners = { NodeName(this->owner->node) };
        this->previousOwners.push_back(*this->owner);
        this->owner.reset();
        this->nextAnnouncementAt = TimePoint();
        return;
    }
    this->consecutiveFailures = 0;
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (json.is_object() && json.contains("owner")) {
        this->previousOwners.push_back(*this->owner);
        this->owner = Owner { .address = *Address::parse(json["address"].get<std::string>()),
                              .node = json["owner"].get<std::string>(),
                              .leaseId = this->drawLeaseId() };
        this->nextAnnouncementAt = TimePoint();
    } else if (this->owner->node.empty()) {
        this->owner->node = "here";
    }
}

void StandInTarget::selectNextEntry()
{
    const Address &entry = this->options.entries.at(this->nextEntry);
    this->nextEntry = (this->nextEntry + 1) % this->options.entries.size();
    this->owner = Owner { .address = entry, .leaseId = this->drawLeaseId() };
}

std::uint64_t StandInTarget::drawLeaseId()
{
    const std::uint64_t leaseId = this->random() >> 1U;
    this->drawnLeaseIds.insert(leaseId);
    return leaseId;
}

void StandInTarget::record(const char *event, const AttemptId &attempt)
{
    if (!this->history.is_open())
        return;
    this->history << "{\"event\":\"" << event << "\",\"attempt\":\"" << attempt.str()
                  << "\",\"target\":\"" << this->options.name.str()
                  << "\",\"at_us\":" << this->loop.now().time_since_epoch().count() << "}"
                  << std::endl;
}

} // namespace Hibiscus
