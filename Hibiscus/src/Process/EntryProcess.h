#pragma once

#include "Hibiscus/src/Process/ProcessContext.h"

#include <Hibiscus/Api>
#include <Hibiscus/Dispatch>
#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Runs a Dispatcher with its callers, targets, peers, journal groups and rules. */
class EntryProcess
{
public:
    explicit EntryProcess(const ProcessContext &context);

    /** \brief Runs until a signal requests a stop and no job is in progress, or until the stop
     * timeout. \returns the exit code.
     */
    int run();

private:
    struct WaitingCaller
    {
        Span span;
        TimePoint arrivedAt;
    };

    /** \brief A start that was sent to a target and whose outcome is not known yet. */
    struct PendingStart
    {
        std::uint64_t call = 0;
        Span span;
    };

    void onHttp(const HttpRequest &request);
    void onSubmit(const HttpRequest &request, bool callerWaits);
    void onJob(const HttpRequest &request);
    void onCancelJobs(const HttpRequest &request);
    void onIssueId(const HttpRequest &request);
    void onAnnouncement(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void fetchRules(TimePoint now);
    void handleRulesUpdate(const RulesUpdate &update);
    void continueStop(TimePoint now);

    void send(const DispatchOutbox &out);
    void send(const StartAttempt &command);
    void send(const QueryAttempt &command);
    void finishStart(const AttemptId &attempt, const HttpCallResult &result);
    void finishQuery(const QueryAttempt &query, const HttpCallResult &result);
    void finishAttempt(const TaskReport &report);
    void respond(const CallerAnswer &answer);
    void respond(const JobStatusResponse &response);

    bool isReady() const;

    std::string statusJson() const;
    void updateMetrics();

    ProcessContext context;
    EventLoop loop;
    Dispatcher dispatcher;
    ActiveRules rules;
    Relay relay;
    HttpServer http;
    HttpClient client;
    Metrics metrics;
    SpanLog spans;
    std::map<std::uint64_t, WaitingCaller> waitingCallers;
    std::map<AttemptId, PendingStart> pendingStarts;
    TimePoint startedAt;
    TimePoint nextFetchAt;
    TimePoint stopDeadline;
    std::uint64_t issuedIds = 0;
};

} // namespace Hibiscus
