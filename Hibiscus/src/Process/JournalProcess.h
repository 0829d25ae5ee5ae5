#pragma once

#include "Hibiscus/src/Process/ReplicaLifecycle.h"

#include <Hibiscus/Journal>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief The process around a JournalNode. */
class JournalProcess
{
public:
    JournalProcess(const ProcessContext &context, ReplicaDisk disk);

    /** \brief Runs until a stop is asked for. \returns the exit code. */
    int run();

private:
    void onHttp(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void execute();
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
    std::uint64_t answered = 0;
};

} // namespace Hibiscus
