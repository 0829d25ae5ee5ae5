#pragma once

#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Journal>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Runs a JournalNode with its disk, its peers and its HTTP interface. */
class JournalProcess
{
public:
    JournalProcess(const ProcessContext &context, ReplicaDisk disk);

    /** \brief Runs until a signal requests a stop. \returns the exit code. */
    int run();

private:
    void onHttp(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void flushOutput();
    std::string statusJson() const;
    void updateMetrics();

    ProcessContext context;
    EventLoop loop;
    ReplicaDisk disk;
    JournalNode node;
    JournalNode::Outbox out;
    Relay relay;
    HttpServer http;
    Metrics metrics;
    ReplicaLifecycle lifecycle;
    std::uint64_t answeredRequests = 0;
};

} // namespace Hibiscus
