#pragma once

#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Runs a ControlNode with its disk, its peers and its HTTP interface. */
class ControlProcess
{
public:
    ControlProcess(const ProcessContext &context, ReplicaDisk disk);

    /** \brief Runs until a signal requests a stop. \returns the exit code. */
    int run();

private:
    void onHttp(const HttpRequest &request);
    void onApply(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void flushOutput();
    void respond(const ApplyResponse &response);
    void respond(const RulesReadResponse &response);
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
    std::uint64_t loggedRulesVersion = 0;
};

} // namespace Hibiscus
