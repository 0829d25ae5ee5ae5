#include "platform/Wire.h"

#include <Hibiscus/Net>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace Hibiscus;
using Json = nlohmann::json;

namespace {

const ExternalProtocol protocol = Platform::platformProtocol();

Json heartbeatBody()
{
    return { { "service", "s1" },
             { "address", "10.0.0.9:8080" },
             { "zone", "a" },
             { "version", "v1" },
             { "slots", 8 },
             { "state", "ready" },
             { "cold_remaining_ms", 0 },
             { "capacity", { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 1 } } },
             { "labels", { "b", "r1-3" } },
             { "clock_ms", 482113 },
             { "born", 1700000000000 },
             { "seq", 4 } };
}

ControlRequest parseHeartbeat(const std::string &body)
{
    return protocol.readControlRequest(
        { .method = "POST", .path = "/api/instances/i-1/heartbeat", .body = body });
}

Json rulesBody()
{
    return { { "version", 7 },
             { "routes",
               { { { "name", "r 1" },
                   { "host", "h.example" },
                   { "path_prefix", "/p#1/" },
                   { "route_type", "non_idempotent" },
                   { "timeout_ms", 1500 },
                   { "target_latency_ms", 60 },
                   { "priority", 2 },
                   { "service", "s1" },
                   { "max_attempts", 3 },
                   { "stretch", 1.6 } } } },
             { "services", { { { "name", "s1" }, { "max_connections", 64 } } } },
             { "limits", Json::object() } };
}

ControlRequest parseReplacement(const std::string &body)
{
    return protocol.readControlRequest(
        { .method = "POST", .path = "/api/config/replace", .body = body });
}

Json jobBody()
{
    return { { "spec", "text" },
             { "best_effort", true },
             { "phases",
               { { { "count", 4 }, { "cpu", 500 }, { "mem_mb", 256 }, { "estimated_ms", 900 } },
                 { { "count", 2 },
                   { "cpu", 2000 },
                   { "estimated_ms", 70.5 },
                   { "depends_on", { 0 } },
                   { "requirements", "b" } } } } };
}

TEST(Platform, AHeartbeatDescribesATarget)
{
    const ControlRequest request = parseHeartbeat(heartbeatBody().dump());
    ASSERT_TRUE(std::holds_alternative<TargetHeartbeat>(request));
    const LeasedTarget &target = std::get<TargetHeartbeat>(request).target;
    EXPECT_EQ(target.name, TargetName("i-1"));
    EXPECT_EQ(target.incarnation, 1700000000000U);
    EXPECT_EQ(target.kind, "b");
    EXPECT_EQ(target.capacity, (Capacity { .cpu = 64000, .memory = 262144, .accelerators = 1 }));
    EXPECT_EQ(target.state, TargetState::Ready);
    EXPECT_FALSE(std::get<TargetHeartbeat>(request).isLeaving);
}

ControlRequest parseEvacuation(const std::string &path, const std::string &method = "POST")
{
    return protocol.readControlRequest({ .method = method, .path = path });
}

TEST(Platform, EvacuationsAreStartedAndFinished)
{
    EXPECT_EQ(parseEvacuation("/api/evacuate/thu-duc/start"),
              ControlRequest(ChangeEvacuationRequest { .domain = DomainName("thu-duc"),
                                                       .isEvacuated = true }));
    EXPECT_EQ(parseEvacuation("/api/evacuate/a/finish"),
              ControlRequest(ChangeEvacuationRequest { .domain = DomainName("a") }));
}

// Guards against an evacuation of another domain than the operator means, and against a final
// refusal of calls that are not known here.
TEST(Platform, UnreadableEvacuationsAreMalformed)
{
    for (const char *path :
         { "/api/evacuate/", "/api/evacuate/a", "/api/evacuate//start", "/api/evacuate/a/",
           "/api/evacuate/a/stop", "/api/evacuate/a/start/", "/api/evacuate/a/b/start",
           "/api/evacuate/a\"/start", "/api/evacuate/\xff/start" })
        EXPECT_TRUE(std::holds_alternative<Malformed>(parseEvacuation(path))) << path;
    const std::string longName(300, 'a');
    EXPECT_TRUE(
        std::holds_alternative<Malformed>(parseEvacuation("/api/evacuate/" + longName + "/start")));
    EXPECT_TRUE(
        std::holds_alternative<Unsupported>(parseEvacuation("/api/evacuate/a/start", "GET")));
    EXPECT_TRUE(std::holds_alternative<Unsupported>(parseEvacuation("/api/evacuate")));
}

TEST(Platform, AHeartbeatTellsHowLongATargetStaysCold)
{
    Json body = heartbeatBody();
    body["cold_remaining_ms"] = 2500;
    const ControlRequest request = parseHeartbeat(body.dump());
    ASSERT_TRUE(std::holds_alternative<TargetHeartbeat>(request));
    EXPECT_EQ(std::get<TargetHeartbeat>(request).target.coldRemaining, 2500ms);
}

TEST(Platform, ADeregistrationDescribesALeavingTarget)
{
    const ControlRequest request = protocol.readControlRequest(
        { .method = "POST", .path = "/api/instances/i-1/deregister", .body = "{\"born\":5}" });
    ASSERT_TRUE(std::holds_alternative<TargetHeartbeat>(request));
    EXPECT_TRUE(std::get<TargetHeartbeat>(request).isLeaving);
    EXPECT_EQ(std::get<TargetHeartbeat>(request).target.incarnation, 5U);
}

// Heartbeats may come from other programs: one with a missing field or a field of another type is
// refused, and describes no target.
TEST(Platform, AHeartbeatOfAnotherFormatIsMalformed)
{
    for (const char *field : { "service", "address", "zone", "state", "capacity", "seq" }) {
        Json missing = heartbeatBody();
        missing.erase(field);
        EXPECT_TRUE(std::holds_alternative<Malformed>(parseHeartbeat(missing.dump()))) << field;
        for (const Json &other : { Json(nullptr), Json(-1.5), Json::array(), Json(true) }) {
            Json mistyped = heartbeatBody();
            mistyped[field] = other;
            EXPECT_TRUE(std::holds_alternative<Malformed>(parseHeartbeat(mistyped.dump())))
                << field << " " << other.dump();
        }
    }
    Json unknownState = heartbeatBody();
    unknownState["state"] = "asleep";
    EXPECT_TRUE(std::holds_alternative<Malformed>(parseHeartbeat(unknownState.dump())));
}

TEST(Platform, CorruptedInputDoesNotCrashTheParsers)
{
    std::mt19937_64 random(11);
    const std::vector<std::string> validBodies
        = { heartbeatBody().dump(), rulesBody().dump(), jobBody().dump() };
    for (int i = 0; i < 3000; ++i) {
        std::string bytes = validBodies[random() % validBodies.size()];
        for (int changes = 0; changes < 3; ++changes)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        bytes.resize(random() % (bytes.size() + 1));
        parseHeartbeat(bytes);
        parseReplacement(bytes);
        protocol.readJob("id", bytes);
        protocol.readPollResponse(
            { .state = HttpCallState::Answered, .status = 200, .body = bytes });
        protocol.readOrderResponse(
            { .state = HttpCallState::Answered, .status = 409, .body = bytes });
    }
}

/** \brief Share of the maximum size that the test documents have; the rules grow in proportion. */
constexpr std::size_t documentShare = 20;

/** \returns a document of that size, made of copies of \a item in \a list. */
std::string largeDocument(const std::string &list, const std::string &item)
{
    std::string head = R"({"version":7,"routes":[)";
    std::string tail = R"(],"services":[]})";
    if (list == "services") {
        head = R"({"version":7,"routes":[],"services":[)";
        tail = "]}";
    }
    std::string body = head + item;
    while (body.size() + 1 + item.size() + tail.size()
           <= HttpServer::defaultMaxBodyBytes / documentShare)
        body += "," + item;
    return body + tail;
}

// Guards against rules that are accepted, and then are in no message that another node accepts.
TEST(Platform, RulesOfTheLargestDocumentsFitInAMessage)
{
    const std::string route
        = R"({"name":" ","host":" ","path_prefix":"/","service":" ","timeout_ms":1})";
    const std::vector<std::string> documents
        = { largeDocument("routes", route), largeDocument("services", R"({"name":" "})"),
            largeDocument("services", R"({"name":")" + std::string(190'000, ' ') + "\"}") };
    for (const std::string &document : documents) {
        const ControlRequest request = parseReplacement(document);
        ASSERT_TRUE(std::holds_alternative<ReplaceRulesRequest>(request));
        const auto &replacement = std::get<ReplaceRulesRequest>(request);
        const ApplyRules command = { .text = replacement.rules,
                                     .assignedVersion = replacement.version,
                                     .source = replacement.source };
        const LogEntry entry = { .index = 1, .term = 1, .body = Command { encode(command) } };
        // Without the history, of which 4,000,000 bytes are kept.
        const Snapshot snapshot = { .state = encode(command) };
        const std::vector<WireMessage> messages
            = { ReplicaEnvelope { .message = AppendRequest { .entries = { entry } } },
                ReplicaEnvelope { .message = SnapshotRequest { .snapshot = snapshot } },
                RulesUpdate { .content = RulesFile { .version = 7, .text = replacement.rules } } };
        for (const WireMessage &message : messages)
            EXPECT_LT(documentShare * encode(message).size() + 4'000'000U, maxMessageBytes);
    }
}

TEST(Platform, RulesAreTranslatedAndTheirSourceIsKept)
{
    const std::string body = rulesBody().dump();
    const ControlRequest request = parseReplacement(body);
    ASSERT_TRUE(std::holds_alternative<ReplaceRulesRequest>(request));
    const auto &replacement = std::get<ReplaceRulesRequest>(request);
    EXPECT_EQ(replacement.version, 7U);
    EXPECT_EQ(replacement.source, body);
    const auto rules = RuleSet::parse(replacement.rules);
    ASSERT_TRUE(rules.has_value()) << rules.error().reason;
    const RouteRule *route = rules->routeFor("h.example", "/p#1/0123");
    ASSERT_NE(route, nullptr);
    EXPECT_EQ(route->name, "r 1");
    EXPECT_EQ(route->service, ServiceName("s1"));
    EXPECT_EQ(route->deadlineMs, 1500U);
    EXPECT_EQ(route->stretchPercent, 160U);
    EXPECT_EQ(rules->routeFor("other.example", "/p#1/0123"), nullptr);
}

TEST(Platform, LimitsOfRequestsAreTranslated)
{
    const auto limitsOf = [](const Json &limits) -> std::optional<RequestLimits> {
        Json body = rulesBody();
        body["limits"] = limits;
        const ControlRequest request = parseReplacement(body.dump());
        const auto *replacement = std::get_if<ReplaceRulesRequest>(&request);
        EXPECT_NE(replacement, nullptr) << limits;
        if (replacement == nullptr)
            return std::nullopt;
        const auto rules = RuleSet::parse(replacement->rules);
        EXPECT_TRUE(rules.has_value()) << limits;
        return rules ? rules->requestLimits() : std::nullopt;
    };
    const RequestLimits expected
        = { .maxHeaderBytes = 16'384, .maxBodyBytes = 262'144, .headerTimeoutMs = 3'000 };
    EXPECT_EQ(limitsOf({ { "max_header_bytes", 16'384 },
                         { "max_body_bytes", 262'144 },
                         { "header_timeout_ms", 3'000 },
                         { "idle_timeout_ms", 15'000 } }),
              expected);
    EXPECT_EQ(limitsOf(Json::object()), std::nullopt);
    const RequestLimits bodyOnly = { .maxBodyBytes = 1'000'000'000 };
    EXPECT_EQ(limitsOf({ { "max_body_bytes", 1ULL << 40U } }), bodyOnly);
}

TEST(Platform, IncompleteRulesAreMalformed)
{
    const std::string body = rulesBody().dump();
    for (std::size_t length = 0; length < body.size(); ++length)
        EXPECT_TRUE(std::holds_alternative<Malformed>(parseReplacement(body.substr(0, length))));
    for (const char *field : { "name", "host", "path_prefix", "service", "timeout_ms" }) {
        Json missing = rulesBody();
        missing["routes"][0].erase(field);
        EXPECT_TRUE(std::holds_alternative<Malformed>(parseReplacement(missing.dump()))) << field;
    }
}

TEST(Platform, InconsistentRulesAreInvalid)
{
    const auto isInvalid = [](const Json &body) {
        const ControlRequest request = parseReplacement(body.dump());
        return std::holds_alternative<ReplaceRulesRequest>(request)
            && !RuleSet::parse(std::get<ReplaceRulesRequest>(request).rules).has_value();
    };
    Json unknownService = rulesBody();
    unknownService["routes"][0]["service"] = "s2";
    EXPECT_TRUE(isInvalid(unknownService));
    Json duplicateRoute = rulesBody();
    duplicateRoute["routes"].push_back(duplicateRoute["routes"][0]);
    EXPECT_TRUE(isInvalid(duplicateRoute));
    Json withoutTimeout = rulesBody();
    withoutTimeout["routes"][0]["timeout_ms"] = 0;
    EXPECT_TRUE(isInvalid(withoutTimeout));
}

TEST(Platform, AJobIsParsedWithItsSteps)
{
    const ParsedJob body = protocol.readJob("0123456789abcdef", jobBody().dump());
    ASSERT_TRUE(std::holds_alternative<TransientJob>(body));
    const auto &job = std::get<TransientJob>(body);
    ASSERT_EQ(job.steps.size(), 2U);
    EXPECT_EQ(job.steps[0].taskCount, 4U);
    EXPECT_EQ(job.steps[0].estimate, 900ms);
    EXPECT_EQ(job.steps[1].dependsOn, (std::vector<std::uint32_t> { 0 }));
    EXPECT_EQ(job.steps[1].requiredLabel, "b");
}

TEST(Platform, UnsupportedFeaturesAreReported)
{
    Json stored = jobBody();
    stored.erase("best_effort");
    EXPECT_TRUE(std::holds_alternative<Unsupported>(protocol.readJob("id", stored.dump())));
    Json gang = jobBody();
    gang["phases"][1]["gang"] = true;
    EXPECT_TRUE(std::holds_alternative<Unsupported>(protocol.readJob("id", gang.dump())));
    Json dependsOnLaterStep = jobBody();
    dependsOnLaterStep["phases"][0]["depends_on"] = { 1 };
    EXPECT_TRUE(
        std::holds_alternative<Malformed>(protocol.readJob("id", dependsOnLaterStep.dump())));
}

TEST(Platform, ResponsesOfTargetsAreParsed)
{
    const auto answered = [](int status, const std::string &body) {
        return HttpCallResult { .state = HttpCallState::Answered, .status = status, .body = body };
    };
    const auto orderStatus = [&](int status, const std::string &body) {
        return protocol.readOrderResponse(answered(status, body)).status;
    };
    EXPECT_EQ(orderStatus(200, "{\"clock_ms\":5}"), OrderStatus::Done);
    EXPECT_EQ(orderStatus(409, "{\"reason\":\"fence\"}"), OrderStatus::Fenced);
    EXPECT_EQ(orderStatus(409, "{\"reason\":\"old\"}"), OrderStatus::Superseded);
    EXPECT_EQ(orderStatus(409, "{\"reason\":\"late\"}"), OrderStatus::LeaseExpired);
    EXPECT_EQ(orderStatus(409, "{\"reason\":\"room\"}"), OrderStatus::InsufficientCapacity);
    EXPECT_EQ(orderStatus(421, ""), OrderStatus::StaleIncarnation);
    EXPECT_EQ(orderStatus(503, ""), OrderStatus::Unhealthy);
    EXPECT_EQ(orderStatus(429, ""), OrderStatus::Unhealthy);
    EXPECT_EQ(orderStatus(400, ""), OrderStatus::Rejected);
    const PollResponse poll = protocol.readPollResponse(answered(
        200,
        R"({"clock_ms":9,"running":[["ab.0.1.17",2,"x",41]],"ended_runs":[[58,"cd.0.0.9",1,"done",""],[59,"odd",3,"lapsed",""]]})"));
    ASSERT_EQ(poll.status, OrderStatus::Done);
    ASSERT_EQ(poll.running.size(), 1U);
    EXPECT_EQ(poll.running[0], (RunName { .job = "ab", .step = 1, .index = 17, .attempt = 2 }));
    EXPECT_EQ(poll.progress.at(poll.running[0]), 41U);
    ASSERT_EQ(poll.ended.size(), 2U);
    EXPECT_EQ(poll.ended[0].end, TargetRunEnd::Completed);
    EXPECT_EQ(poll.ended[1].run.job, "odd");
    EXPECT_EQ(poll.ended[1].end, TargetRunEnd::LeaseExpired);
}

// A run counts as listed also if its progress could not be read.
TEST(Platform, RunWithoutReadableProgressIsListed)
{
    for (const char *row :
         { R"(["ab.0.0.0",1])", R"(["ab.0.0.0",1,"x","41"])", R"(["ab.0.0.0",1,"x",-1])",
           R"(["ab.0.0.0",1,"x",101])", R"(["ab.0.0.0",1,"x",4.5])" }) {
        const PollResponse poll = protocol.readPollResponse(
            { .state = HttpCallState::Answered,
              .status = 200,
              .body = R"({"clock_ms":9,"ended_runs":[],"running":[)" + std::string(row) + "]}" });
        EXPECT_EQ(poll.running.size(), 1U) << row;
        EXPECT_TRUE(poll.progress.empty()) << row;
        EXPECT_TRUE(poll.isComplete) << row;
    }
}

// Guards against two runs of one task: after a status that the protocol does not name the order may
// have been executed, so the task must not be given away before a stop is confirmed.
TEST(Platform, StatusThatDoesNotExcludeExecutionIsNoRefusal)
{
    for (const int status : { 404, 408, 500, 502, 504 })
        EXPECT_EQ(protocol.readOrderResponse({ .state = HttpCallState::Answered, .status = status })
                      .status,
                  OrderStatus::Unanswered)
            << status;
}

TEST(Platform, IncarnationInTheListsOfRunsIsParsed)
{
    const auto poll = [](const char *born) {
        return protocol.readPollResponse(
            { .state = HttpCallState::Answered,
              .status = 200,
              .body = R"({"clock_ms":9,"running":[],"ended_runs":[])" + std::string(born) + "}" });
    };
    EXPECT_EQ(poll("").incarnation, std::nullopt);
    EXPECT_EQ(poll(",\"born\":1700000000000").incarnation, 1700000000000U);
    EXPECT_EQ(poll(",\"born\":-1").status, OrderStatus::Rejected);
}

TEST(Platform, AStartCallContainsTaskAttemptAndToken)
{
    StartOrder order;
    order.to = {
        .target = TargetName("i-1"), .incarnation = 5, .address = "10.0.0.9:80", .fencingToken = 77
    };
    order.run = { .job = "ab", .step = 1, .index = 17, .attempt = 2 };
    order.spec = "text";
    order.leaseExpiryMs = 486000;
    const HttpCall call = protocol.makeStartCall(order);
    const Json body = Json::parse(call.body);
    EXPECT_EQ(body["task"], "ab.0.1.17");
    EXPECT_EQ(body["run_id"], 2);
    EXPECT_EQ(body["fencing_token"], 77);
    EXPECT_EQ(body["expires_ms"], 486000);
    EXPECT_EQ(call.path, "/api/run-start");
}

} // namespace
