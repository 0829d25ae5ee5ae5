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
    void logRefusal(const HttpRequest &request, const char *reason);
    void onCallerLeft(std::uint64_t token);
    void onCancel(std::uint64_t token, const std::string &job);
    void onCancelRequest(const CancelJobRequest &request);
    void respondToCancels();
    void onTargetRequest(const HttpRequest &request);
    void onMetricsRequest(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void handleNodeList(const NodeList &list, TimePoint now);
    void onTick();
    void flushOutput();
    void announce(const JobHold &hold);
    void forward(const std::vector<AddressedJobHold> &holds);
    void process(const StartOrder &order);
    void process(const StopOrder &order);
    void process(const PollOrder &order);
    void sendStops();
    void sendStarts();
    /** \brief Ends a start that was not sent. */
    void giveUp(const StartOrder &order);
    void send(const NumberedStart &start);
    void send(const StopOrder &order);
    void send(const PollOrder &order);
    /** \brief Logs a response that was over the limits of the client. */
    void logExcess(const OrderAddress &from, const HttpCallResult &result);
    void respond(const JobOutcome &outcome);
    void refuse(std::uint64_t token, int status, Duration retryAfter, const char *reason);
    void requestRules(TimePoint now);
    void handleRulesUpdate(const RulesUpdate &update);
    /** \brief Puts the evacuations into force that this node has learned of with its first rules,
     * or later.
     */
    void applyEvacuations(const NodeName &sender);
    void reload(const NodeProfile &profile);
    void enforceRequestLimits();
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
    MetricsText metricsText;
    SettingsWatcher settingsWatcher;
    LoadMeter loadMeter { loadLogInterval };
    std::map<std::uint64_t, WaitingCaller> waitingCallers;
    std::map<std::string, std::uint64_t> refusalCounts; ///< number of refused requests by reason
    CancelRounds cancelRounds { {} };
    StartQueue startQueue { {} };
    StopQueue stopQueue { {} };
    std::uint64_t startsGivenUp = 0;
    RefusalLog refusalLog;
    LineLimit refusalLines;
    LineLimit departureLines;
    LineLimit unansweredTargetLines;
    LineLimit forwardedHoldLines;
    std::set<NodeName> refusedOffers; ///< nodes whose refused offer of rules was logged
    std::optional<Evacuations> evacuationsInForce;
    TimePoint stopRequestedAt;
    TimePoint lastRequestAt;
};

} // namespace Hibiscus
