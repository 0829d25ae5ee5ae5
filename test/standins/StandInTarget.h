#pragma once

#include <Hibiscus/Api>
#include <Hibiscus/Net>
#include <Hibiscus/Telemetry>

#include <fstream>

namespace Hibiscus {

/** \brief Options of a stand-in target. */
struct StandInTargetOptions
{
    TargetName name;
    Address address;
    ServiceName service;
    std::uint32_t slots = 8;
    double speed = 1.0; ///< a task of 100 ms takes 100 ms / speed
    bool shouldFailAllTasks = false;
    std::vector<Address> entries; ///< entry nodes of its failure domain
    std::string historyFile; ///< file for a line at each start and end of a task; may be empty
    std::string spanFile; ///< file for the spans of tasks; may be empty
};

/** \brief Target for tests and the demo: announces itself to entry nodes, runs tasks whose payload
 * is their run time in milliseconds, and records their starts and ends.
 */
class StandInTarget
{
public:
    StandInTarget(EventLoop &loop, const StandInTargetOptions &options);

    // Commands.
    Result<void> listen();
    void tick();
    /** \brief Announces from now on that the target is leaving, so that it gets no new tasks. */
    void drain() { this->isLeaving = true; }

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

    /** \brief Outcome of an attempt. */
    struct AttemptOutcome
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
    void onAttemptQuery(const HttpRequest &request);
    void finishDueTasks();
    void announceToOwners();
    void announceTo(const Owner &owner, bool isCurrent);
    void onAnnouncementResponse(std::uint64_t leaseId, const HttpCallResult &result);
    void selectNextEntry();
    std::uint64_t drawLeaseId();
    void record(const char *event, const AttemptId &attempt);

    EventLoop &loop;
    StandInTargetOptions options;
    HttpServer http;
    HttpClient client;
    std::map<AttemptId, RunningTask> running;
    std::map<AttemptId, AttemptOutcome> outcomes;
    std::set<std::uint64_t> drawnLeaseIds; ///< since the start of the target
    std::optional<Owner> owner;
    std::vector<Owner> previousOwners; ///< owners of tasks that still run
    std::set<NodeName> avoidedOwners;
    std::ofstream history;
    SpanLog spans;
    std::mt19937_64 random;
    std::size_t nextEntry = 0;
    std::uint32_t consecutiveFailures = 0; ///< failed announcements to the owner
    TimePoint nextAnnouncementAt;
    bool isLeaving = false;
};

} // namespace Hibiscus
