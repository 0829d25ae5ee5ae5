#pragma once

#include "Hibiscus/src/Process/ProcessContext.h"

#include <Hibiscus/Api>
#include <Hibiscus/Dispatch>
#include <Hibiscus/Rules>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief The process around a Dispatcher: callers, targets, peers, journals and rules. */
class EntryProcess
{
public:
    explicit EntryProcess(const ProcessContext &context);

    /** \brief Runs until a stop is asked for and nothing is in progress. \returns the exit code. */
    int run();

private:
    struct WaitingCaller
    {
        Span span;
        TimePoint arrivedAt;
    };

    /** \brief A start that was sent to a target and has no outcome yet. */
    struct OpenStart
    {
        std::uint64_t call = 0;
        Span span;
    };

    void onHttp(const HttpRequest &request);
    void onSubmit(const HttpRequest &request, bool waits);
    void onJob(const HttpRequest &request);
    void onCancelWave(const HttpRequest &request);
    void onIssueId(const HttpRequest &request);
    void onAnnouncement(const HttpRequest &request);
    void onMessage(const WireMessage &message);
    void onTick();
    void followRules(TimePoint now);
    void takeRules(const RulesUpdate &update);
    void continueStop(TimePoint now);

    void execute(const DispatchOutbox &out);
    void execute(const StartAttempt &command);
    void execute(const QueryAttempt &command);
    void endStart(const AttemptId &attempt, const HttpCallResult &result);
    void endQuestion(const QueryAttempt &query, const HttpCallResult &result);
    void report(const TaskReport &report);
    void answer(const CallerAnswer &answer);
    void answer(const JobStatusResponse &answer);

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
    std::map<std::uint64_t, WaitingCaller> callers;
    std::map<AttemptId, OpenStart> openStarts;
    TimePoint startedAt;
    TimePoint fetchAt;
    TimePoint stopAt;
    std::uint64_t issuedIds = 0;
};

} // namespace Hibiscus
