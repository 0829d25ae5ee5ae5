#pragma once

#include "Hibiscus/src/Process/NodeContext.h"
#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Fleet>
#include <Hibiscus/Rules>

namespace Hibiscus {

/** \brief A node of the registry: a member of the control group that finds the others by itself,
 * lists the nodes, and gives targets their owners.
 */
class RegistryProcess
{
public:
    RegistryProcess(const NodeContext &node, ReplicaDisk disk);

    /** \brief Opens the log, or founds the group at the first start of the system. */
    static Result<ReplicaDisk> openDisk(const NodeContext &node);

    /** \brief Runs until a stop is asked for. \returns the exit code. */
    int run();

private:
    void onCall(const HttpRequest &request);
    void replaceRules(const HttpRequest &request, const ReplaceRulesCall &call);
    void handleHeartbeat(std::uint64_t token, const TargetHeartbeat &heartbeat);
    void onMessage(const WireMessage &message);
    void handleAnnouncement(const NodeAnnouncement &announcement, TimePoint now);
    void onTick();
    void execute();
    void respond(const ApplyResponse &report);
    void respond(const RulesReadResponse &report);
    void redirect(std::uint64_t token, const std::optional<NodeName> &leader);
    std::string redirectPath(std::uint64_t token);
    void updateMetrics();

    NodeContext context;
    EventLoop loop;
    ReplicaDisk disk;
    ControlNode node;
    ControlNode::Outbox out;
    Directory directory;
    OwnerAssignment owners;
    Relay relay;
    HttpServer http;
    HttpServer metricsServer;
    Metrics metrics;
    SettingsWatcher settings;
    LoadMeter load { loadLogInterval };
    ReplicaLifecycle lifecycle;
    std::map<std::uint64_t, std::string> paths; ///< of calls that wait for the group
    std::uint64_t loggedVersion = 0;
    std::vector<RulesRecipient> gateways;
};

} // namespace Hibiscus
