#pragma once

#include "Hibiscus/src/Process/NodeContext.h"

#include <Hibiscus/Membership>
#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief An entry node that finds its peers by itself: the process around a FleetNode. */
class GatewayProcess
{
public:
    explicit GatewayProcess(const NodeContext &node);

    /** \brief Runs until a stop is asked for. \returns the exit code. */
    int run();

private:
    /** \brief A job whose caller waits. */
    struct WaitingCaller
    {
        std::string job;
        std::string route;
        TimePoint arrivedAt;
    };

    void onCaller(const HttpRequest &request);
    void onSubmit(const HttpRequest &request, const RouteRule &route, const std::string &id);
    void onTargets(const HttpRequest &request);
    void onMetrics(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void takeList(const NodeList &list, TimePoint now);
    void onTick();
    void execute();
    void execute(const StartOrder &order);
    void execute(const StopOrder &order);
    void execute(const PollOrder &order);
    void answer(const JobOutcome &outcome);
    void refuse(std::uint64_t token, int status, Duration retryAfter, const char *reason);
    void followRules(TimePoint now);
    void takeRules(const RulesUpdate &update);
    void reload(const NodeProfile &profile);
    void continueStop(TimePoint now);
    bool hasRules() const;
    bool hasOldRules(TimePoint now) const;
    bool isReady() const;
    void updateMetrics();

    NodeContext context;
    EventLoop loop;
    FleetNode node;
    Directory directory;
    ActiveRules rules;
    Relay relay;
    HttpServer callers;
    HttpServer readiness;
    HttpServer targets;
    HttpServer metricsServer;
    HttpClient client;
    Metrics metrics;
    SettingsWatcher settings;
    LoadMeter load { loadLogInterval };
    std::map<std::uint64_t, WaitingCaller> waiting;
    std::map<std::string, std::uint64_t> refusals; ///< counted by reason
    TimePoint startedAt;
    TimePoint fetchAt;
    TimePoint rulesConfirmedAt; ///< when a quorum last confirmed the rules in force
    TimePoint stopAskedAt;
    TimePoint lastCallAt;
};

} // namespace Hibiscus
