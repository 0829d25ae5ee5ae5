#pragma once

#include <Hibiscus/Api>
#include <Hibiscus/Net>
#include <Hibiscus/Telemetry>

#include <fstream>

namespace Hibiscus {

/** \brief How a stand-in target behaves. */
struct StandInTargetOptions
{
    TargetName name;
    Address address;
    ServiceName service;
    std::uint32_t slots = 8;
    double speed = 1.0; ///< a task of 100 ms takes 100 ms / speed
    bool shouldFailAllTasks = false;
    std::vector<Address> entries; ///< entry nodes of its failure domain
    std::string historyFile; ///< gets a line for each start
    std::string spanFile; ///< gets a span for each task; none when empty
};

/** \brief A small target for tests and the demo: runs tasks whose payload is their run time in
 * milliseconds, announces itself, and keeps a history of what it started.
 */
class StandInTarget
{
public:
    StandInTarget(EventLoop &loop, const StandInTargetOptions &options);

    // Commands.
    Result<void> listen();
    void tick();
    /** \brief Takes no new tasks from now on. */
    void leave() { this->leaving = true; }

    // Queries.
    bool isIdle() const { return this->running.empty(); }

private:
    struct RunningTask
    {
        std::uint64_t token = 0;
        std::uint64_t leaseId = 0;
        TimePoint endsAt;
        std::string payload;
        Span span;
    };

    /** \brief How an attempt ended. */
    struct Ending
    {
        std::string state = "not-started";
        std::string result;
    };

    struct Owner
    {
        Address address;
        std::string node;
        std::uint64_t leaseId = 0;
    };

    void onHttp(const HttpRequest &request);
    void onStart(const HttpRequest &request);
    void onQuestion(const HttpRequest &request);
    void finishDue();
    void announceDue();
    void announceTo(const Owner &owner, bool isCurrent);
    void onAnnounced(std::uint64_t leaseId, const HttpCallResult &result);
    void findOwner();
    std::uint64_t drawLease();
    void record(const char *event, const AttemptId &attempt);

    EventLoop &loop;
    StandInTargetOptions options;
    HttpServer http;
    HttpClient client;
    std::map<AttemptId, RunningTask> running;
    std::map<AttemptId, Ending> ended;
    std::set<std::uint64_t> drawnLeases; ///< by this life of the target
    std::optional<Owner> owner;
    std::vector<Owner> formerOwners;
    std::set<NodeName> avoided;
    std::ofstream history;
    SpanLog spans;
    std::mt19937_64 random;
    std::size_t nextEntry = 0;
    std::uint32_t failedCalls = 0;
    TimePoint announceAt;
    bool leaving = false;
};

} // namespace Hibiscus
