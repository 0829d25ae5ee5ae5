#include "Hibiscus/src/Core/Json.h"
#include "platform/Wire.h"

#include <Hibiscus/Api>
#include <Hibiscus/Net>
#include <Hibiscus/Settings>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace Hibiscus;
using Json = nlohmann::json;

namespace {

const ExternalProtocol protocol = Platform::platformProtocol();

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

/** \returns JSON texts that no correct writer puts where a number, name or row is expected. */
const std::vector<std::string> &hostileValues()
{
    static const std::vector<std::string> values = [] {
        std::vector<std::string> texts = { "1e300",
                                           "-1e300",
                                           "1e400",
                                           "18446744073709551615",
                                           "-9223372036854775808",
                                           "99999999999999999999999999",
                                           "\"\\u0000\"",
                                           "\"a\\r\\nb: c\"",
                                           "\"\xff\xfe\"",
                                           "\"\\ud800\"",
                                           "null",
                                           "{}",
                                           "[[]]" };
        for (const std::size_t depth : { 10UL, 1'000UL, 100'000UL, 2'000'000UL })
            texts.push_back(nested(depth));
        return texts;
    }();
    return values;
}

std::string shortened(const std::string &text)
{
    constexpr std::size_t shownBytes = 40;
    return text.substr(0, shownBytes);
}

/** \returns the text of \a document, in which the string "?" is replaced by \a value. */
std::string filled(const Json &document, const std::string &value)
{
    std::string text = document.dump();
    const std::size_t place = text.find("\"?\"");
    return place == std::string::npos ? text : text.replace(place, 3, value);
}

Json heartbeatBody()
{
    return { { "service", "s1" },
             { "address", "10.0.0.9:8080" },
             { "zone", "a" },
             { "state", "ready" },
             { "capacity", { { "cpu", 64000 }, { "mem_mb", 262144 }, { "gpu", 1 } } },
             { "labels", { "b", "r1-3" } },
             { "clock_ms", 482113 },
             { "born", 1700000000000 },
             { "seq", 4 } };
}

Json jobBody()
{
    return { { "spec", "text" },
             { "best_effort", true },
             { "phases",
               { { { "count", 4 },
                   { "cpu", 500 },
                   { "mem_mb", 256 },
                   { "gpu", 0 },
                   { "anti_affinity", 1 },
                   { "estimated_ms", 900 } } } } };
}

Json rulesBody()
{
    return { { "version", 7 },
             { "routes",
               { { { "name", "r" },
                   { "host", "h.example" },
                   { "path_prefix", "/p/" },
                   { "timeout_ms", 1500 },
                   { "target_latency_ms", 60 },
                   { "priority", 2 },
                   { "service", "s1" },
                   { "max_attempts", 3 },
                   { "stretch", 1.5 } } } },
             { "services", { { { "name", "s1" } } } } };
}

ControlRequest readHeartbeat(const std::string &body, const std::string &id = "i-1")
{
    return protocol.readControlRequest(
        { .method = "POST", .path = "/api/instances/" + id + "/heartbeat", .body = body });
}

ControlRequest readRules(const std::string &body)
{
    return protocol.readControlRequest(
        { .method = "POST", .path = "/api/config/replace", .body = body });
}

HttpCallResult answered(int status, const std::string &body)
{
    return { .state = HttpCallState::Answered, .status = status, .body = body };
}

PollResponse readPoll(const std::string &running, const std::string &ended = "")
{
    return protocol.readPollResponse(answered(
        200, "{\"clock_ms\":9,\"running\":[" + running + "],\"ended_runs\":[" + ended + "]}"));
}

template<typename Value, typename Variant>
bool holds(const Variant &variant)
{
    return std::holds_alternative<Value>(variant);
}

// Guards against a heartbeat whose values overflow the sums and times that are computed from them.
TEST(HostileInput, AHeartbeatWithAnOddValueIsRefusedAndTheNextIsRead)
{
    for (const char *field :
         { "/clock_ms", "/born", "/seq", "/address", "/service", "/zone", "/state", "/capacity",
           "/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu" }) {
        for (const std::string &value : hostileValues()) {
            if (value == "{}" && field == std::string("/capacity"))
                continue; // an empty capacity is valid
            Json body = heartbeatBody();
            body[Json::json_pointer(field)] = "?";
            EXPECT_TRUE(holds<Malformed>(readHeartbeat(filled(body, value))))
                << field << " " << shortened(value);
            EXPECT_TRUE(holds<TargetHeartbeat>(readHeartbeat(heartbeatBody().dump())));
        }
    }
}

// Guards against numbers that a double or a sum cannot hold exactly, at the edge of the range.
TEST(HostileInput, NumbersOfAHeartbeatAreBounded)
{
    const auto isRefused = [](const char *field, const std::string &value) {
        Json body = heartbeatBody();
        body[Json::json_pointer(field)] = "?";
        return holds<Malformed>(readHeartbeat(filled(body, value)));
    };
    for (const char *field : { "/clock_ms", "/born", "/seq" }) {
        EXPECT_FALSE(isRefused(field, "9007199254740992")) << field;
        EXPECT_TRUE(isRefused(field, "9007199254740994")) << field;
        EXPECT_TRUE(isRefused(field, "9223372036854775807")) << field;
    }
    for (const char *field : { "/capacity/cpu", "/capacity/mem_mb", "/capacity/gpu" }) {
        EXPECT_FALSE(isRefused(field, "0")) << field;
        EXPECT_TRUE(isRefused(field, "-1")) << field;
        EXPECT_TRUE(isRefused(field, "9007199254740993")) << field;
    }
}

// Guards against an owner that sends orders to no server, or to another one than the target's.
TEST(HostileInput, AnAddressOutsideTheRangeOfPortsIsRefused)
{
    for (const char *address :
         { "10.0.0.9:0", "10.0.0.9:65536", "10.0.0.9:99999", "10.0.0.9:-1", "10.0.0.9:x",
           "10.0.0.9:", "10.0.0.9", ":80", "host:80", "10.0.0.9:80\r\n", "10.0.0.9 :80", "" }) {
        Json body = heartbeatBody();
        body["address"] = address;
        EXPECT_TRUE(holds<Malformed>(readHeartbeat(body.dump()))) << address;
    }
    Json body = heartbeatBody();
    body["address"] = std::string("10.0.0.9\0.example:80", 20);
    EXPECT_TRUE(holds<Malformed>(readHeartbeat(body.dump())));
}

// Guards against a name that adds headers to the calls of its owner, or that no JSON can contain.
TEST(HostileInput, ATargetWithAnOddNameIsRefused)
{
    const std::string body = heartbeatBody().dump();
    for (const std::string &id :
         { std::string(), std::string("a\r\nx: y"), std::string("a\0b", 3), std::string("\xff"),
           std::string("\x1b[2J"), std::string(100'000, 'a') }) {
        EXPECT_TRUE(holds<Malformed>(readHeartbeat(body, id))) << shortened(id);
        EXPECT_TRUE(holds<Malformed>(protocol.readControlRequest(
            { .method = "POST", .path = "/api/instances/" + id + "/deregister", .body = "{}" })))
            << shortened(id);
    }
    EXPECT_TRUE(holds<TargetHeartbeat>(readHeartbeat(body, "w\xc3\xb6-1")));
}

// Guards against an odd deregistration that is taken as one of the first incarnation.
TEST(HostileInput, ADeregistrationWithAnOddIncarnationIsRefused)
{
    const auto read = [](const std::string &body) {
        return protocol.readControlRequest(
            { .method = "POST", .path = "/api/instances/i-1/deregister", .body = body });
    };
    for (const std::string &value : hostileValues())
        EXPECT_TRUE(holds<Malformed>(read("{\"born\":" + value + "}"))) << shortened(value);
    EXPECT_TRUE(holds<TargetHeartbeat>(read("{\"born\":5}")));
    EXPECT_TRUE(holds<TargetHeartbeat>(read("")));
}

// Guards against one odd label that hides the others.
TEST(HostileInput, AnOddLabelIsIgnoredAndTheOthersAreUsed)
{
    for (const char *value : { "1e300", "null", "[[]]", "\"a\\r\\nb\"", "\"\"" }) {
        Json body = heartbeatBody();
        body["labels"] = { "?", "b" };
        const ControlRequest request = readHeartbeat(filled(body, value));
        ASSERT_TRUE(holds<TargetHeartbeat>(request)) << value;
        EXPECT_EQ(std::get<TargetHeartbeat>(request).target.labels,
                  (std::vector<std::string> { "b" }))
            << value;
    }
}

// Guards against a few heartbeats that fill the memory of a gateway, which keeps their labels.
TEST(HostileInput, LabelsBeyondTheLimitAreIgnored)
{
    Json body = heartbeatBody();
    body["labels"] = std::vector<std::string>(1'000, "a");
    const ControlRequest request = readHeartbeat(body.dump());
    ASSERT_TRUE(holds<TargetHeartbeat>(request));
    EXPECT_EQ(std::get<TargetHeartbeat>(request).target.labels.size(), 64U);
}

// Guards against an owner that stops following a target for one row that another writer left.
TEST(HostileInput, AnOddRowOfAPollResponseHidesNoOther)
{
    for (const std::string &value : hostileValues()) {
        // Texts that are no JSON at all leave no rows to read.
        if (!Json::accept("[" + value + "]") || value.size() > 1'000)
            continue;
        const PollResponse running
            = readPoll(value + R"(,["ab.0.1.17",2])", R"([3,"cd.0.0.9",1,"done"])");
        ASSERT_EQ(running.status, OrderStatus::Done) << value;
        EXPECT_FALSE(running.isComplete) << value;
        ASSERT_EQ(running.running.size(), 1U) << value;
        EXPECT_EQ(running.running[0].job, "ab");
        EXPECT_EQ(running.ended.size(), 1U);
        for (const std::string &row :
             { value, "[" + value + R"(,"cd.0.0.8",1,"done"])", "[2," + value + R"(,1,"done"])" }) {
            if (value == "\"a\\r\\nb: c\"" || value == "\"\\u0000\"")
                continue; // any text may name a foreign run
            const PollResponse ended = readPoll("", row + R"(,[3,"cd.0.0.9",1,"done"])");
            ASSERT_EQ(ended.status, OrderStatus::Done) << row;
            EXPECT_FALSE(ended.isComplete) << row;
            ASSERT_EQ(ended.ended.size(), 1U) << row;
            EXPECT_EQ(ended.ended[0].number, 3U);
        }
    }
    EXPECT_TRUE(readPoll(R"(["ab.0.1.17",2])").isComplete);
}

// Guards against undefined conversions of the clock, and against leases computed from them.
TEST(HostileInput, AnOddClockOrBodyOfAResponseIsIgnored)
{
    for (const std::string &value : hostileValues()) {
        const auto result = answered(200, "{\"clock_ms\":" + value + "}");
        EXPECT_EQ(protocol.readOrderResponse(result).clockMs, std::nullopt) << shortened(value);
        EXPECT_EQ(protocol.readOrderResponse(result).status, OrderStatus::Done);
        protocol.readPollResponse(answered(200, value));
        protocol.readOrderResponse(answered(409, "{\"reason\":" + value + "}"));
    }
    EXPECT_EQ(protocol.readOrderResponse(answered(200, "{\"clock_ms\":5}")).clockMs, 5);
}

// Guards against a job whose demand or times overflow at its coordinator or at a peer.
TEST(HostileInput, AJobWithAnOddValueIsRefused)
{
    for (const char *field : { "/spec", "/phases", "/phases/0", "/phases/0/count", "/phases/0/cpu",
                               "/phases/0/mem_mb", "/phases/0/gpu", "/phases/0/anti_affinity",
                               "/phases/0/estimated_ms", "/phases/0/requirements" }) {
        for (const std::string &value : hostileValues()) {
            const bool isText = value.starts_with("\"\\u0000") || value.starts_with("\"a");
            if (isText && (field == std::string("/spec") || std::string(field).ends_with("ts")))
                continue; // free text
            Json body = jobBody();
            body[Json::json_pointer(field)] = "?";
            EXPECT_FALSE(holds<TransientJob>(protocol.readJob("ab", filled(body, value))))
                << field << " " << shortened(value);
        }
    }
    for (const char *field : { "cpu", "mem_mb", "gpu", "estimated_ms" })
        for (const char *value : { "-1", "9007199254740993", "9223372036854775807" }) {
            Json body = jobBody();
            body["phases"][0][field] = "?";
            EXPECT_TRUE(holds<Malformed>(protocol.readJob("ab", filled(body, value))))
                << field << " " << value;
        }
    Json body = jobBody();
    body["phases"][0]["anti_affinity"] = 4'294'967'297;
    const ParsedJob job = protocol.readJob("ab", body.dump());
    ASSERT_TRUE(holds<TransientJob>(job));
    EXPECT_EQ(std::get<TransientJob>(job).steps[0].maxPerTarget, 4'294'967'295U);
    EXPECT_TRUE(holds<TransientJob>(protocol.readJob("ab", jobBody().dump())));
}

// Guards against the end of the coordinator and of each owner that gets a task of such a job: the
// name goes into the body of the start call.
TEST(HostileInput, AJobWithAnOddNameIsRefused)
{
    const std::string body = jobBody().dump();
    for (const std::string &id : { std::string(), std::string("a\r\nb"), std::string("a\0b", 3),
                                   std::string("\xff\xfe"), std::string(100'000, 'a') })
        EXPECT_TRUE(holds<Malformed>(protocol.readJob(id, body))) << shortened(id);
}

// Guards against the end of an owner by an order that a peer of an earlier version requested.
TEST(HostileInput, AnOrderWithAnOddNameOrAddressEndsNoProcess)
{
    StartOrder order;
    order.to = { .target = TargetName("i-1"), .address = "x:99999" };
    order.run = { .job = "\xff\xfe", .attempt = 1 };
    order.spec = "\xff";
    HttpCall call;
    EXPECT_NO_THROW(call = protocol.makeStartCall(order));
    EXPECT_TRUE(Json::accept(call.body));
    EXPECT_EQ(call.address, Address());
    EXPECT_NO_THROW(protocol.makeStopCall({ .to = order.to, .run = order.run }));
    EXPECT_NO_THROW(protocol.makePollCall({ .to = order.to }));
    EXPECT_NO_THROW(protocol.renderHeartbeatResponse("\xff"));
}

// Guards against a configuration document with a number that turns into another one.
TEST(HostileInput, RulesWithAnOddValueAreRefused)
{
    for (const char *field :
         { "/version", "/routes", "/routes/0", "/routes/0/timeout_ms",
           "/routes/0/target_latency_ms", "/routes/0/priority", "/routes/0/max_attempts",
           "/routes/0/stretch", "/services", "/services/0", "/services/0/name" }) {
        for (const std::string &value : hostileValues()) {
            if (value.starts_with("\"") && std::string(field).ends_with("name"))
                continue; // any text may be a name
            Json body = rulesBody();
            body[Json::json_pointer(field)] = "?";
            const ControlRequest request = readRules(filled(body, value));
            const auto *replacement = std::get_if<ReplaceRulesRequest>(&request);
            EXPECT_TRUE(replacement == nullptr || !RuleSet::parse(replacement->rules))
                << field << " " << shortened(value);
        }
    }
    EXPECT_TRUE(holds<ReplaceRulesRequest>(readRules(rulesBody().dump())));
}

// Guards against a wait that becomes negative when it is converted.
TEST(HostileInput, ACallersTimeoutBeyondAnyWaitIsNoLimit)
{
    const auto read = [](const std::string &text) {
        HttpRequest request;
        request.headers = { { .name = "deadline-ms", .value = text } };
        return protocol.readCallerTimeout(request);
    };
    for (const char *text :
         { "9223372036854775807", "18446744073709551615", "1e300", "-1", "0", "x", "5x", "5\r\n" })
        EXPECT_EQ(read(text), std::nullopt) << text;
    EXPECT_EQ(read("250"), 250ms);
}

// Guards against the end of an entry node by a nested list where the body is copied.
TEST(HostileInput, NestedListsInCallsOfThePublicApisAreRefused)
{
    Deployment deployment;
    deployment.domains = { DomainName("a") };
    deployment.services.emplace_back().name = ServiceName("s");
    for (const std::size_t depth : { 10UL, 1'000UL, 100'000UL, 2'000'000UL }) {
        const std::string list = nested(depth);
        std::string announcement = R"({"target":"t","address":"10.0.0.9:80","service":"s",)";
        announcement.append(R"("slots":1,"lease":1,"running":)").append(list);
        announcement.append(R"(,"avoid":)").append(list).append("}");
        EXPECT_FALSE(parseAnnouncement(announcement, deployment).has_value());
        std::string job = R"({"id":"a.1796378400000.b1","deadline_ms":1000,"service":"s",)";
        job.append(R"("team":"t","tasks":)").append(list).append("}");
        EXPECT_FALSE(parseJob(job, deployment, TimePoint()).has_value());
    }
}

// Guards against a process that runs out of memory by a document of a legal size.
TEST(HostileInput, ADocumentWithTooManyValuesIsRefused)
{
    const auto listOf = [](std::size_t count, const std::string &value) {
        std::string text = "[" + value;
        for (std::size_t i = 1; i < count; ++i)
            text += "," + value;
        return text + "]";
    };
    for (const char *value : { "{}", "[]", "0", "\"\"" }) {
        EXPECT_EQ(parseJson(listOf(maxJsonValues - 1, value)).size(), maxJsonValues - 1) << value;
        EXPECT_TRUE(parseJson(listOf(maxJsonValues, value)).is_discarded()) << value;
    }
    // Values that are nested too deep are not kept, and so don't count.
    EXPECT_EQ(parseJson("[" + nested(2'000'000) + ",1]").size(), 2U);
}

// Guards against a node that ends when its settings are reloaded.
TEST(HostileInput, SettingsWithAnOddValueAreRefused)
{
    const Json valid = { { "node", "n" },
                         { "domain", "a" },
                         { "ip", "10.0.0.1" },
                         { "peer_address", "10.0.0.1:7000" },
                         { "registry_seeds", { "10.0.0.2:7000" } },
                         { "lease_ms", 2000 },
                         { "heartbeat_ms", 500 },
                         { "stop_bound_s", 30 },
                         { "processor_share", 1 } };
    const std::string path = testing::TempDir() + "hostile-settings.json";
    const auto isValid = [&](const std::string &text) {
        std::ofstream(path) << text;
        return readNodeProfile(path).has_value();
    };
    EXPECT_TRUE(isValid(valid.dump()));
    for (const auto &[field, unused] : valid.items()) {
        for (const std::string &value : hostileValues()) {
            const bool isName = field == "node" || field == "domain" || field == "ip";
            if (isName && value.starts_with("\""))
                continue;
            Json body = valid;
            body[field] = "?";
            EXPECT_FALSE(isValid(filled(body, value))) << field << " " << shortened(value);
        }
    }
    for (const char *address :
         { "10.0.0.1:0", "10.0.0.1:65536", "10.0.0.1:99999", "999.0.0.1:80" }) {
        Json body = valid;
        body["peer_address"] = address;
        EXPECT_FALSE(isValid(body.dump())) << address;
    }
}

/** \brief Driver of a target that follows the responses in this file's format. */
class PolledTarget
{
public:
    PolledTarget() : driver({}, target(), token, this->now)
    {
        this->tick();
        this->answer("", "");
        this->answer("", ""); // the stops of other owners are over
        this->driver.start({ .run = { .job = "ab", .step = 1, .index = 17, .attempt = 2 } },
                           this->now + 10s, this->now, this->out);
        this->driver.handleStartResponse({ .job = "ab", .step = 1, .index = 17, .attempt = 2 },
                                         token, { .status = OrderStatus::Done, .clockMs = 20 },
                                         this->now, this->out);
        this->answer(R"(["ab.0.1.17",2])", "");
    }

    void answer(const std::string &running, const std::string &ended)
    {
        TimePoint sentAt;
        for (const TargetOrder &order : this->out.orders)
            if (const auto *poll = std::get_if<PollOrder>(&order))
                sentAt = poll->sentAt;
        this->driver.handlePollResponse(sentAt, readPoll(running, ended), this->now, this->out);
        this->tick();
    }

    void tick()
    {
        this->now += 500ms;
        LeasedTarget heartbeat = target();
        heartbeat.sequence = ++this->sequence;
        this->driver.handleHeartbeat(heartbeat, this->now);
        this->driver.tick(this->now, this->out);
    }

    TimePoint now = TimePoint(1000s);
    std::uint64_t sequence = 0;
    TargetDriver driver;
    static constexpr std::uint64_t token = 7;
    DriverOutbox out;

private:
    static LeasedTarget target()
    {
        return { .name = TargetName("i-1"), .incarnation = 1, .capacity = { .cpu = 64'000 } };
    }
};

// Guards against a run that is taken as lost, and repeated, for a row that could not be read.
TEST(HostileInput, NoRunIsTakenAsEndedByAResponseWithAnOddRow)
{
    for (const char *row : { "5", "null", R"(["ab.0.1.17",1e300])", R"([["ab.0.1.17"],2])" }) {
        PolledTarget polled;
        for (int i = 0; i < 5; ++i)
            polled.answer(row, "");
        EXPECT_TRUE(polled.out.runEnds.empty()) << row;
        EXPECT_TRUE(polled.driver.acceptsWork(polled.now)) << row;
        polled.answer("", std::string(row) + R"(,[1,"ab.0.1.17",2,"done"])");
        ASSERT_EQ(polled.out.runEnds.size(), 1U) << row;
        EXPECT_EQ(polled.out.runEnds[0].kind, RunEndKind::Completed) << row;
    }
}

// Guards against ends that are no longer read, since one was listed with the largest number.
TEST(HostileInput, EndsAreStillReadAfterOneWithTheLargestNumber)
{
    PolledTarget polled;
    polled.answer(R"(["ab.0.1.17",2])", R"([18446744073709551615,"x",1,"done"])");
    polled.answer("", R"([1,"ab.0.1.17",2,"done"])");
    ASSERT_EQ(polled.out.runEnds.size(), 1U);
    EXPECT_EQ(polled.out.runEnds[0].kind, RunEndKind::Completed);
}

// Guards against a message of another writer that ends the process which decodes it.
TEST(HostileInput, CorruptedMessagesBetweenNodesAreDecodedOrRefused)
{
    const std::uint64_t seed = testing::UnitTest::GetInstance()->random_seed() + 17ULL;
    RecordProperty("seed", std::to_string(seed));
    SCOPED_TRACE("seed " + std::to_string(seed));
    std::mt19937_64 random(seed);
    TargetHeartbeat heartbeat;
    heartbeat.target = { .name = TargetName("i-1"), .address = "10.0.0.9:80", .labels = { "b" } };
    NodeList list;
    list.nodes = { { .node = NodeName("10.0.0.1:7000"), .label = "n" } };
    const std::vector<Bytes> valid = { encode(WireMessage(heartbeat)), encode(WireMessage(list)) };
    std::size_t refused = 0;
    for (int i = 0; i < 20'000; ++i) {
        Bytes bytes = valid[random() % valid.size()];
        bytes[random() % bytes.size()] = static_cast<char>(random() % 4);
        bytes.resize(random() % (bytes.size() + 1));
        refused += decode<WireMessage>(bytes) ? 0 : 1;
    }
    EXPECT_GT(refused, 0U);
    for (const Bytes &bytes : valid)
        EXPECT_TRUE(decode<WireMessage>(bytes).has_value());
}

} // namespace
