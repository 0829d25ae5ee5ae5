#pragma once

#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief The process around a ControlNode. */
class ControlProcess
{
public:
    ControlProcess(const ProcessContext &context, ReplicaDisk disk);

    /** \brief Runs until a stop is asked for. \returns the exit code. */
    int run();

private:
    void onHttp(const HttpRequest &request);
    void onApply(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void execute();
    void respond(const ApplyResponse &report);
    void respond(const RulesReadResponse &report);
    void redirect(std::uint64_t token, const std::optional<NodeName> &leader);
    std::string historyJson() const;
    std::string statusJson() const;
    void updateMetrics();

    ProcessContext context;
    EventLoop loop;
    ReplicaDisk disk;
    ControlNode node;
    ControlNode::Outbox out;
    Relay relay;
    HttpServer http;
    Metrics metrics;
    ReplicaLifecycle lifecycle;
    std::uint64_t loggedVersion = 0;
};

} // namespace Hibiscus
