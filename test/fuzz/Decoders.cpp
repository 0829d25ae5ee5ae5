#include "test/fuzz/Decoders.h"

#include "platform/Wire.h"

#include <Hibiscus/Net>
#include <Hibiscus/Replication>
#include <Hibiscus/Rules>

#include <array>

namespace Hibiscus::Fuzz {

namespace {

using Decoder = void (*)(const std::string &);

const ExternalProtocol &protocol()
{
    static const ExternalProtocol protocol = Platform::platformProtocol();
    return protocol;
}

void decodeWireMessage(const std::string &input)
{
    // What was decoded can be encoded, and decodes to the same bytes again.
    if (const Result<WireMessage> message = decode<WireMessage>(input)) {
        const Bytes bytes = encode(*message);
        const Result<WireMessage> again = decode<WireMessage>(bytes);
        HIBISCUS_INVARIANT(again && encode(*again) == bytes, "messages are encoded in one way");
    }
}

void decodeBatch(const std::string &input)
{
    (void)decode<RelayTransport::Batch>(input);
}

void decodeStorageWrite(const std::string &input)
{
    (void)decode<StorageWrite>(input);
}

void readJob(const std::string &input)
{
    (void)protocol().readJob("5c0e7a21d94b36f8", input);
}

/** \brief Reads a request whose path is the first line of \a input, and its body the rest. */
void readControlRequest(const std::string &input)
{
    const std::size_t end = std::min(input.find('\n'), input.size());
    (void)protocol().readControlRequest(
        { .method = "POST",
          .path = input.substr(0, end),
          .body = end < input.size() ? input.substr(end + 1) : std::string() });
}

void readResponse(const std::string &input)
{
    for (const int status : { 200, 409 }) {
        const HttpCallResult result
            = { .state = HttpCallState::Answered, .status = status, .body = input };
        (void)protocol().readPollResponse(result);
        (void)protocol().readOrderResponse(result);
    }
}

void parseRules(const std::string &input)
{
    (void)RuleSet::parse(input);
}

constexpr std::array<Decoder, 7> decoders
    = { decodeWireMessage,  decodeBatch,  decodeStorageWrite, readJob,
        readControlRequest, readResponse, parseRules };

std::string inputFor(Decoder decoder, const std::string &content)
{
    const auto found = std::find(decoders.begin(), decoders.end(), decoder);
    return std::string(1, static_cast<char>(found - decoders.begin())) + content;
}

FleetMessage fleetMessage()
{
    FleetMessage message = { .from = NodeName("10.0.0.1:7720"), .incarnation = 3, .sequence = 9 };
    message.report = OwnerReport { .targets = { { .name = TargetName("i-1") } }, .queued = 1 };
    message.runRequests = { { .run = { .job = "j", .attempt = 1 } } };
    message.specs = { { "j", "s" } };
    message.wantedRuns = { { .job = "j", .attempt = 1 } };
    message.runEnds = { { .run = { .job = "k", .attempt = 2 } } };
    message.transferredTargets = { { .name = TargetName("i-2"), .labels = { "a", "r1" } } };
    return message;
}

} // namespace

void decodeAny(const std::string &input)
{
    if (input.empty())
        return;
    const auto selected = static_cast<unsigned char>(input.front()) % decoders.size();
    decoders.at(selected)(input.substr(1));
}

std::vector<std::string> validInputs()
{
    const NodeRecord node = { .node = NodeName("10.0.0.1:7720"), .label = "g" };
    const std::vector<WireMessage> messages
        = { fleetMessage(),
            TargetHeartbeat { .target = { .name = TargetName("i-1"), .address = "10.0.0.9:80" } },
            NodeAnnouncement { .self = node },
            NodeList { .sender = node.node, .nodes = { node } },
            RulesUpdate(),
            RulesAcknowledgement { .node = node.node, .version = 7 },
            FetchRules { .node = node.node },
            ReplicaEnvelope(),
            PeerMessage(),
            JournalRequest(),
            JournalResponse() };
    std::vector<std::string> inputs;
    RelayTransport::Batch batch;
    for (const WireMessage &message : messages) {
        inputs.push_back(inputFor(decodeWireMessage, encode(message)));
        batch.push_back(encode(message));
    }
    inputs.push_back(inputFor(decodeBatch, encode(batch)));
    inputs.push_back(inputFor(decodeStorageWrite, encode(StorageWrite(SaveSnapshot()))));
    inputs.push_back(inputFor(decodeStorageWrite,
                              encode(StorageWrite(SaveEntries { .entries = { LogEntry() } }))));
    inputs.push_back(inputFor(readJob,
                              R"({"spec":"s","best_effort":true,"phases":[{"count":4,)"
                              R"("cpu":500,"mem_mb":256,"estimated_ms":900}]})"));
    inputs.push_back(inputFor(
        readControlRequest,
        "/api/instances/i-1/heartbeat\n"
        R"({"service":"s","address":"10.0.0.9:80","zone":"a","state":"ready","seq":4,"born":5,)"
        R"("clock_ms":9,"capacity":{"cpu":16000,"mem_mb":32768,"gpu":0},"labels":["a","r1"]})"));
    inputs.push_back(inputFor(
        readControlRequest,
        "/api/config/replace\n"
        R"({"version":7,"routes":[{"name":"r","host":"h.example","path_prefix":"/p/",)"
        R"("route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":60,"priority":0,)"
        R"("service":"s","max_attempts":3,"stretch":1.6}],"services":[{"name":"s"}],"limits":{}})"));
    inputs.push_back(inputFor(readResponse,
                              R"({"clock_ms":9,"born":5,"running":[["j.0.0.1",2,"",4]],)"
                              R"("ended_runs":[[58,"j.0.0.2",1,"done",""]]})"));
    inputs.push_back(inputFor(readResponse, R"({"clock_ms":9,"reason":"fence"})"));
    inputs.push_back(inputFor(parseRules, "service s\nroute r service=s\n"));
    return inputs;
}

} // namespace Hibiscus::Fuzz
