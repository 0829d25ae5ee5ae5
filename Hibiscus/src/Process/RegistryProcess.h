#pragma once

#include "Hibiscus/src/Process/NodeContext.h"
#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Fleet>
#include <Hibiscus/Rules>

namespace Hibiscus {

/** \brief Runs a registry node: a member of the control group that discovers the other members,
 * keeps the list of nodes, and assigns an owner to each target.
 */
class RegistryProcess
{
public:
    RegistryProcess(const NodeContext &node, ReplicaDisk disk);

    /** \brief Opens the log, or creates the group at the first start of the system. */
    static Result<ReplicaDisk> openDisk(const NodeContext &node);

    /** \brief Runs until a signal requests a stop. \returns the exit code. */
    int run();

private:
    void onRequest(const HttpRequest &request);
    void logRefusal(const HttpRequest &request, const std::string &reason);
    void replaceRules(const HttpRequest &request, const ReplaceRulesRequest &replacement);
    void changeEvacuation(const HttpRequest &request, const ChangeEvacuationRequest &change);
    void refuseEvacuation(const HttpRequest &request, const DomainName &domain, bool isUnknown);
    /** \returns whether \a domain exists, as far as the leader can tell. */
    DomainStatus statusOf(const DomainName &domain, TimePoint now) const;
    void respondToEvacuation(const ApplyResponse &response);
    void logChanges();
    void handleHeartbeat(std::uint64_t token, const TargetHeartbeat &heartbeat);
    void onMessage(const WireMessage &message);
    void handleAnnouncement(const NodeAnnouncement &announcement, TimePoint now);
    void onTick();
    void updateRecipients(TimePoint now);
    void flushOutput();
    void respond(const ApplyResponse &response);
    void respond(const RulesReadResponse &response);
    void redirect(std::uint64_t token, const std::optional<NodeName> &leader);
    std::string redirectPath(std::uint64_t token);
    void updateMetrics();

    NodeContext context;
    EventLoop loop;
    ReplicaDisk disk;
    ControlNode node;
    ControlNode::Outbox out;
    Directory directory;
    OwnerAssignment ownerAssignment;
    Relay relay;
    HttpServer http;
    HttpServer metricsServer;
    Metrics metrics;
    MetricsText metricsText;
    SettingsWatcher settingsWatcher;
    LoadMeter loadMeter { loadLogInterval };
    ReplicaLifecycle lifecycle;
    /** \brief The paths of the requests that wait for the control group, by token. */
    std::map<std::uint64_t, std::string> requestPaths;
    std::uint64_t loggedRulesVersion = 0;
    std::uint64_t loggedRevision = 0; ///< of the evacuations
    std::map<std::string, std::uint64_t> evacuationCounts; ///< requests by what became of them
    KnownDomains knownDomains;
    std::vector<RulesRecipient> knownGateways;
    TimePoint recipientsCheckedAt;
    LineLimit refusalLines;
    LineLimit evacuationLines;
    LineLimit departureLines;
    LineLimit assignmentLines;
};

} // namespace Hibiscus
