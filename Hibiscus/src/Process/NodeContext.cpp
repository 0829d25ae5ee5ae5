#include "Hibiscus/src/Process/NodeContext.h"

#include "Hibiscus/src/Process/ProcessContext.h"

#include <Hibiscus/Telemetry>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <gflags/gflags.h>
#include <malloc.h>
#include <sstream>
#include <sys/resource.h>

DEFINE_string(
    profile, "",
    "the settings file of this node (JSON); if empty, the file that the environment variable "
    "HIBISCUSSTREAM_CONFIG names");
DECLARE_bool(check_settings);

namespace Hibiscus {

namespace internal {

/** \brief Time between checks of the settings file, if no signal requests a reload. */
constexpr Duration settingsCheckInterval = 1s;
/** \brief Timeout of a batch between nodes, after which its connection counts as lost. A VM with a
 * tenth of a core takes a few hundred milliseconds for a burst of calls.
 */
constexpr Duration peerBatchTimeout = 800ms;
constexpr int invalidSettings = 2;

static std::uint32_t weightOf(double processorShare)
{
    constexpr double weightsPerCore = 100;
    return std::max(1U, static_cast<std::uint32_t>(std::lround(processorShare * weightsPerCore)));
}

/** \returns the number of descriptors that the system lets this process open. */
static std::size_t openFileLimit()
{
    rlimit limit = {};
    constexpr std::size_t usualLimit = 1'024;
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? limit.rlim_cur : usualLimit;
}

/** \brief Large blocks are returned to the system when they are freed: buffers of large requests
 * would otherwise keep the memory around them.
 */
static void configureAllocator()
{
#ifdef __GLIBC__
    constexpr int largeBlockBytes = 65'536;
    ::mallopt(M_MMAP_THRESHOLD, largeBlockBytes);
#endif
}

} // namespace internal

std::vector<NodeName> NodeContext::seeds() const
{
    const std::string port = this->profile.peerAddress.substr(this->profile.peerAddress.rfind(':'));
    std::vector<NodeName> names;
    for (const std::string &seed : this->profile.registrySeeds)
        names.emplace_back(seed.substr(0, seed.rfind(':')) + port);
    return names;
}

NodeRecord NodeContext::record(NodeKind kind, bool isDraining) const
{
    return { .node = this->name(),
             .kind = kind,
             .label = this->profile.label,
             .incarnation = this->incarnation,
             .domain = this->profile.domain,
             .weight = internal::weightOf(this->profile.processorShare),
             .targetsAddress = this->profile.targetsAddress,
             .isDraining = isDraining };
}

Relay::Options NodeContext::relayOptions() const
{
    Relay::Options options;
    options.self = this->name();
    options.address = *Address::parse(this->profile.peerAddress);
    options.namesAreAddresses = true;
    options.batchTimeout = internal::peerBatchTimeout;
    // A peer that accepts no messages for seconds, so that its queue is full, counts as lost.
    constexpr std::size_t maxQueuedMessages = 2'000;
    options.maxQueuedMessages = maxQueuedMessages;
    constexpr std::size_t maxQueuedBytes = 8'000'000;
    options.maxQueuedBytes = maxQueuedBytes;
    return options;
}

// Connections by themselves take at most half of their memory, the rest is for requests. Of the
// descriptors a quarter remains for the connections that this process opens. Where the memory
// allows it, the largest batch of a peer has room beside all connections: otherwise it would be
// given up each time.
MemoryBudget::Limits NodeContext::connectionLimits() const
{
    constexpr std::size_t megabyte = 1'000'000;
    constexpr std::size_t memoryParts = 4; // the rest is for jobs, rules and the log
    constexpr std::size_t largestMemoryParts = 3; // at least two thirds are left for them
    constexpr std::size_t reservedDescriptors = 200; // files, and what libraries open
    MemoryBudget::Limits limits;
    limits.maxBytes = this->profile.memoryMb * megabyte / memoryParts;
    const std::size_t descriptors = this->profile.maxDescriptors > 0 ? this->profile.maxDescriptors
                                                                     : internal::openFileLimit();
    const std::size_t sockets = descriptors - std::min(descriptors / 2, reservedDescriptors);
    limits.maxConnections
        = std::min(sockets * 3 / 4, limits.maxBytes / 2 / MemoryBudget::connectionBytes);
    limits.maxHandledBytes = limits.maxBytes / 2; // what is made from them takes more
    const std::size_t needed = maxMessageBytes + batchOverheadBytes
        + limits.maxConnections * MemoryBudget::connectionBytes;
    if (needed <= this->profile.memoryMb * megabyte / largestMemoryParts)
        limits.maxBytes = std::max(limits.maxBytes, needed);
    return limits;
}

void NodeContext::raiseIncarnation(std::uint64_t raised)
{
    logEvent("incarnation-raised",
             { { "from", std::to_string(this->incarnation) }, { "to", std::to_string(raised) } });
    this->incarnation = raised;
}

std::optional<NodeContext> startNode(int *argc, char ***argv, const ExternalProtocol &protocol,
                                     int &exitCode)
{
    gflags::SetUsageMessage("[--profile=FILE] [--check_settings]");
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(argc, argv, true);
    const char *fromEnvironment = std::getenv("HIBISCUSSTREAM_CONFIG");
    NodeContext node;
    node.settingsPath = FLAGS_profile;
    if (node.settingsPath.empty() && fromEnvironment != nullptr)
        node.settingsPath = fromEnvironment;
    auto profile = readNodeProfile(node.settingsPath);
    if (!profile) {
        for (const SettingsError &error : profile.error())
            std::fprintf(stderr, "%s: %s: %s\n", node.settingsPath.c_str(), error.path.c_str(),
                         error.reason.c_str());
        exitCode = internal::invalidSettings;
        return std::nullopt;
    }
    exitCode = 0;
    if (FLAGS_check_settings) {
        std::printf("%s: valid\n", node.settingsPath.c_str());
        return std::nullopt;
    }
    node.profile = std::move(*profile);
    node.incarnation = newIncarnation(node.profile.peerAddress);
    node.protocol = protocol;
    internal::configureAllocator();
    installSignals();
    initializeEventLog(node.profile.label);
    return node;
}

// One line in each interval, whatever clients do.
static void reportConnections(MemoryBudget &memory, Metrics &metrics)
{
    metrics.setGauge("hibiscus_connections", "Accepted connections.",
                     static_cast<double>(memory.connectionCount()));
    metrics.setGauge("hibiscus_connection_bytes", "Memory for accepted connections.",
                     static_cast<double>(memory.usedBytes()));
    for (const auto &[reason, count] : memory.counts()) {
        std::string name = "hibiscus_connections_closed_" + reason + "_total";
        std::ranges::replace(name, '-', '_');
        metrics.setCounter(name, "Connections closed, or requests refused, by reason.",
                           static_cast<double>(count));
    }
    std::string counts;
    for (const auto &[reason, count] : memory.takeReport())
        counts += (counts.empty() ? "" : ", ") + reason + " " + std::to_string(count);
    if (!counts.empty())
        logEvent("connections-closed",
                 { { "counts", counts },
                   { "open", std::to_string(memory.connectionCount()) },
                   { "bytes", std::to_string(memory.usedBytes()) },
                   { "max_bytes", std::to_string(memory.currentLimits().maxBytes) },
                   { "max_connections", std::to_string(memory.currentLimits().maxConnections) } });
}

void reportLoad(LoadMeter &meter, EventLoop &loop, const Relay &relay, Metrics &metrics,
                TimePoint now)
{
    meter.recordTick(loop.tickDelay());
    if (!meter.isDue(now))
        return;
    const LoadTotals totals = loadTotals(relay.counters());
    const auto reading = meter.record(loop.tickDelay(), totals, now);
    if (!reading)
        return;
    logLoad(*reading);
    reportConnections(loop.memory(), metrics);
    metrics.setCounter("hibiscus_processor_seconds_total", "Processor time of all threads.",
                       toSeconds(totals.processorTime));
    metrics.observeSeconds("hibiscus_loop_delay_seconds",
                           "Longest delay of the event loop in each 2 seconds.",
                           toSeconds(reading->maxTickDelay));
}

SettingsWatcher::SettingsWatcher(std::string path)
    : path(std::move(path)), lastText(this->readText())
{ }

std::string SettingsWatcher::readText() const
{
    std::ifstream stream(this->path);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::optional<NodeProfile> SettingsWatcher::takeChange(TimePoint now)
{
    const bool isReloadRequested = takeReloadRequest();
    if (!isReloadRequested && now < this->nextCheckAt)
        return std::nullopt;
    this->nextCheckAt = now + internal::settingsCheckInterval;
    std::string newText = this->readText();
    if (newText == this->lastText)
        return std::nullopt;
    this->lastText = std::move(newText);
    auto profile = readNodeProfile(this->path);
    if (!profile) {
        logError(
            "settings-invalid",
            { { "reason", profile.error().front().path + ": " + profile.error().front().reason } });
        return std::nullopt;
    }
    logEvent("settings-reloaded");
    return std::move(*profile);
}

std::string joined(const std::set<DomainName> &domains)
{
    std::string text;
    for (const DomainName &domain : domains)
        text += (text.empty() ? "" : ",") + domain.str();
    return text;
}

} // namespace Hibiscus
