#pragma once

#include "Hibiscus/src/Process/ProfiledNode.h"
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
    RegistryProcess(const ProfiledNode &node, ReplicaDisk disk);

    /** \brief Opens the log, or founds the group at the first start of the system. */
    static Result<ReplicaDisk> openDisk(const ProfiledNode &node);

    /** \brief Runs until a stop is asked for. \returns the exit code. */
    int run();

private:
    void onCall(const HttpRequest &request);
    void replaceRules(const HttpRequest &request, const ReplaceRulesCall &call);
    void hearTarget(std::uint64_t token, const TargetHeard &heard);
    void onMessage(const WireMessage &message);
    void answerHello(const NodeHello &hello, TimePoint now);
    void onTick();
    void carryOut();
    void respond(const ApplyReport &report);
    void respond(const RulesReport &report);
    void redirect(std::uint64_t token, const std::optional<NodeName> &leader);
    std::string redirectPath(std::uint64_t token);
    void updateMetrics();

    ProfiledNode context;
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
    SettingsWatch settings;
    LoadMeter load { loadLogInterval };
    ReplicaLifecycle lifecycle;
    std::map<std::uint64_t, std::string> paths; ///< of calls that wait for the group
    std::uint64_t loggedVersion = 0;
    std::vector<ControlledEntry> gateways;
};

} // namespace Hibiscus
