#pragma once

#include "Hibiscus/src/Process/NodeContext.h"
#include "Hibiscus/src/Process/RefusalLog.h"

#include <Hibiscus/Membership>
#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Runs a FleetNode: an entry node that discovers its peers through the registry nodes. */
class GatewayProcess
{
public:
    explicit GatewayProcess(const NodeContext &node);

    /** \brief Runs until a signal requests a stop. \returns the exit code. */
    int run();

private:
    /** \brief A caller's request whose job has no answer yet. */
    struct WaitingCaller
    {
        std::string job;
        std::string route;
        TimePoint arrivedAt;
    };

    void onCallerRequest(const HttpRequest &request);
    void onSubmit(const HttpRequest &request, const RouteRule &route, const std::string &id);
    void onCallerLeft(std::uint64_t token);
    void onTargetRequest(const HttpRequest &request);
    void onMetricsRequest(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void handleNodeList(const NodeList &list, TimePoint now);
    void onTick();
    void flushOutput();
    void send(const StartOrder &order);
    void send(const StopOrder &order);
    void send(const PollOrder &order);
    void recordAdmission(const JobOutcome &outcome);
    void respond(const JobOutcome &outcome);
    void refuse(std::uint64_t token, int status, Duration retryAfter, const char *reason);
    void requestRules(TimePoint now);
    void handleRulesUpdate(const RulesUpdate &update);
    void reload(const NodeProfile &profile);
    void continueStop(TimePoint now);
    bool isReady() const;
    void updateMetrics();

    NodeContext context;
    EventLoop loop;
    FleetNode node;
    Directory directory;
    GatewayRules rules;
    Relay relay;
    HttpServer callerServer;
    HttpServer readinessServer;
    HttpServer targetServer;
    HttpServer metricsServer;
    HttpClient client;
    Metrics metrics;
    SettingsWatcher settingsWatcher;
    LoadMeter loadMeter { loadLogInterval };
    std::map<std::uint64_t, WaitingCaller> waitingCallers;
    std::map<std::string, std::uint64_t> refusalCounts; ///< number of refused requests by reason
    RefusalLog refusalLog;
    std::set<NodeName> refusedOffers; ///< nodes whose refused offer of rules was logged
    TimePoint stopRequestedAt;
    TimePoint lastRequestAt;
};

} // namespace Hibiscus
