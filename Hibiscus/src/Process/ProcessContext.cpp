#include "Hibiscus/src/Process/ProcessContext.h"

#include "Hibiscus/src/Process/ReplicaDisk.h"

#include <Hibiscus/Telemetry>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>
#include <xxhash.h>

DEFINE_string(settings, "", "the settings file of the deployment (JSON)");
DEFINE_string(node, "", "the name of this node in the settings file");
DEFINE_string(data, "", "the data folder of this process");
DEFINE_string(spans, "", "a file for the spans of traces (JSON lines); if empty, none are written");
DEFINE_bool(check_settings, false, "check the settings file and exit");
DEFINE_bool(format, false, "create an empty log in the data folder, once per member, and exit");
DEFINE_bool(first_deployment, false,
            "with --format: the group never had a log, so no earlier job ids exist");

namespace Hibiscus {

namespace internal {

static std::atomic<int> stopSignals = 0;

static std::atomic<bool> reloadSignal = false;

static void onReloadSignal(int)
{
    reloadSignal = true;
}

static void onStopSignal(int)
{
    ++stopSignals;
}

// The number grows with each start of a node, and differs between nodes that start in the same
// microsecond.
static std::uint64_t incarnationOf(const std::string &node,
                                   std::chrono::system_clock::duration sinceEpoch)
{
    constexpr unsigned nodeBits = 10;
    const auto microseconds = std::chrono::duration_cast<Duration>(sinceEpoch).count();
    const std::uint64_t nodeHash = XXH3_64bits(node.data(), node.size());
    const std::uint64_t mask = (std::uint64_t(1) << nodeBits) - 1;
    return (static_cast<std::uint64_t>(microseconds) << nodeBits) | (nodeHash & mask);
}

static StartDecision failed(const std::string &reason)
{
    std::fprintf(stderr, "%s\n", reason.c_str());
    constexpr int usageError = 2;
    return { .exitCode = usageError };
}

static StartDecision formatLog(const ProcessContext &context)
{
    const TimePoint now = std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
    const TimePoint createdAt = FLAGS_first_deployment ? TimePoint() : now;
    const auto formatted = DiskLog::format(context.dataFolder, initialState(context, createdAt));
    if (!formatted)
        return failed("--format: cannot create a log in " + context.dataFolder.string()
                      + ": the folder contains one already, or is not writable");
    return {};
}

} // namespace internal

Address ProcessContext::httpAddress() const
{
    return *Address::parse(this->self.http);
}

Address ProcessContext::rpcAddress() const
{
    return *Address::parse(this->self.rpc);
}

Relay::Options ProcessContext::relayOptions() const
{
    Relay::Options options;
    options.self = this->self.name;
    options.address = this->rpcAddress();
    for (const NodeSettings &node : this->deployment.nodes)
        if (node.name != this->self.name)
            options.nodes[node.name] = *Address::parse(node.rpc);
    return options;
}

StartDecision startProcess(int *argc, char ***argv, NodeRole role)
{
    gflags::SetUsageMessage("--settings=FILE --node=NAME [--data=FOLDER] [--spans=FILE], or "
                            "--settings=FILE --check_settings, or --settings=FILE --node=NAME "
                            "--data=FOLDER --format [--first_deployment]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(argc, argv, true);
    const auto deployment = readDeployment(FLAGS_settings);
    if (!deployment) {
        std::string reasons;
        for (const SettingsError &error : deployment.error())
            reasons
                += "--settings=" + FLAGS_settings + ": " + error.path + ": " + error.reason + "\n";
        return internal::failed(reasons);
    }
    for (const NodeSettings &node : deployment->nodes)
        if (!Address::parse(node.rpc) || !Address::parse(node.http))
            return internal::failed("--settings=" + FLAGS_settings + ": node " + node.name.str()
                                    + ": rpc and http must be IP:port, but are " + node.rpc
                                    + " and " + node.http);
    if (FLAGS_check_settings) {
        std::printf("%s: %zu nodes, valid\n", FLAGS_settings.c_str(), deployment->nodes.size());
        return {};
    }
    const NodeSettings *self = deployment->find(NodeName(FLAGS_node));
    if (self == nullptr || self->role != role)
        return internal::failed("--node=" + FLAGS_node + ": " + FLAGS_settings
                                + " has no node of this name with the role of this program");
    const bool needsData = role != NodeRole::Entry;
    if (needsData && FLAGS_data.empty())
        return internal::failed("--data=FOLDER is required: node " + FLAGS_node
                                + " keeps its log there");
    StartDecision decision;
    decision.context = { .deployment = *deployment,
                         .self = *self,
                         .dataFolder = FLAGS_data,
                         .spanFile = FLAGS_spans,
                         .incarnation = newIncarnation(FLAGS_node) };
    if (FLAGS_format)
        return needsData ? internal::formatLog(decision.context)
                         : internal::failed("--format: node " + FLAGS_node
                                            + " is an entry node, which has no log");
    installSignals();
    initializeLog(self->name.str());
    decision.shouldRun = true;
    return decision;
}

std::uint64_t newIncarnation(const std::string &node)
{
    return internal::incarnationOf(node, std::chrono::system_clock::now().time_since_epoch());
}

void installSignals()
{
    struct sigaction action = {};
    action.sa_handler = internal::onStopSignal;
    ::sigaction(SIGTERM, &action, nullptr);
    ::sigaction(SIGINT, &action, nullptr);
    action.sa_handler = internal::onReloadSignal;
    ::sigaction(SIGHUP, &action, nullptr);
    action.sa_handler = SIG_IGN;
    ::sigaction(SIGPIPE, &action, nullptr);
    ::sigaction(SIGXFSZ, &action, nullptr);
}

bool takeReloadRequest()
{
    return internal::reloadSignal.exchange(false);
}

int stopRequests()
{
    return internal::stopSignals;
}

} // namespace Hibiscus
