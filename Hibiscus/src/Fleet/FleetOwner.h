#pragma once

#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/FleetMessage.h"
#include "Hibiscus/src/Fleet/RunTimes.h"
#include "Hibiscus/src/Fleet/TargetDriver.h"
#include <Hibiscus/Shortage>

#include <functional>
#include <set>

namespace Hibiscus {

/** \brief Timing of a FleetOwner. */
struct FleetOwnerOptions
{
    TargetDriverOptions driver;
    StartRule startRule; ///< order in which queued runs start
    /** \brief Lowest part of the owner's fencing tokens, below FencingToken::tagCount: owners that
     * take a target over in the same millisecond have different tokens.
     */
    std::uint64_t tokenTag = 0;
    /** \brief A target without heartbeat and response is removed after it. */
    Duration targetSilenceTimeout = 10s;
    /** \brief A target with heartbeats but no responses is removed after it. */
    Duration unreachableTimeout = 3s;
    /** \brief Factor on the expected run time after which a run is stopped, to be started
     * elsewhere: its target has become slow or has stalled.
     */
    double stragglerFactor = 3;
    Duration stragglerSlack = 60ms; ///< added to that bound, for the round trips of short runs
    std::uint32_t stragglersToAvoid = 2; ///< in a row: the target is at fault, not the estimate
    Duration stragglerAvoidance = 1500ms; ///< pause in new work for such a target
    /** \brief Time in the queue before a run may be returned to its coordinator: a few round trips,
     * so that runs do not follow capacity that is free only for a moment.
     */
    Duration returnDelay = 10ms;
    Duration endLifetime = 30s; ///< an unacknowledged run end is dropped after it
    /** \brief Time for which a run may go on after its coordinator was last known to want it,
     * whether its stop is answered or not. Shorter than the time after which callers send a job
     * again over a new connection.
     */
    Duration maxOrphanTime = 1200ms;
    /** \brief The same after its deadline, when its caller has stopped waiting; shorter by the time
     * that the job's messages may have been delayed.
     */
    Duration maxOvertime = 900ms;
};

/** \brief Requester of a run: one incarnation of an entry node. */
struct Requester
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Requester &other) const = default;
};

/** \brief State of the ended runs of a requester. */
struct RequesterState
{
    bool hasEndedRuns = false; ///< there are ended runs that it has not acknowledged
    bool hasUnreportedEnds = false; ///< some of them have not been reported yet

    auto operator<=>(const RequesterState &other) const = default;
};

/** \brief Counters of an owner's runs and targets, for metrics. */
struct FleetOwnerCounters
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notStarted = 0;
    std::uint64_t returned = 0; ///< returned, since another owner had free capacity
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t adoptedTargets = 0; ///< targets taken over
    std::uint64_t stragglers = 0; ///< runs stopped for taking too long
    std::uint64_t fencedTargets = 0; ///< targets lost to another owner
    std::uint64_t regainedTargets = 0; ///< targets kept after a guardian had fenced them
};

/** \brief Change of an owner's state of a target, for the log. */
struct TargetChange
{
    TargetName target;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;
    std::string change; ///< such as "adopted", "settled", "fenced", "over", "released"

    auto operator<=>(const TargetChange &other) const = default;
};

/** \brief Attempt at a task that ended without completing it, or that follows such an attempt, for
 * the log.
 */
struct AttemptRecord
{
    RunName run;
    TargetName target;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;
    NodeName requester; ///< coordinator of the job
    /** \brief How it ended; empty at its start. */
    std::optional<ObservedRunEnd> end;
    Duration sinceStart {};

    auto operator<=>(const AttemptRecord &other) const = default;
};

/** \brief Run of another owner that was found on a target, for the log. */
struct ForeignRun
{
    RunName run;
    TargetName target;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;

    auto operator<=>(const ForeignRun &other) const = default;
};

/** \brief Targets of one entry node, with the runs on them and the queued runs.
 *
 * \sa TargetDriver
 */
class FleetOwner
{
public:
    /** \brief Returns the latest time at which a requester is known to have wanted its runs, if
     * that is recent enough to start a run for it.
     */
    using LastContact = std::function<std::optional<TimePoint>(const Requester &)>;

    /** \brief Reserves capacity for a run at another owner, and returns whether there was enough.
     */
    using ReserveCapacity = std::function<bool(const RunRequest &, const RunBounds &)>;

    explicit FleetOwner(const FleetOwnerOptions &options) : options(options) { }

    // Commands.
    /** \brief Adds \a target, or updates it from a newer heartbeat. */
    void updateTarget(const LeasedTarget &target, TimePoint now);
    /** \brief Stops the runs of a target that has announced its shutdown. */
    void handleDeparture(const LeasedTarget &target, TimePoint now);
    /** \brief Stops new work for \a target; takeReleasedTargets() returns it once it is empty. */
    void releaseTarget(const TargetName &target);
    std::vector<LeasedTarget> takeReleasedTargets();
    void requestRun(const RunRequest &request, const Requester &requester, TimePoint now);
    /** \brief Cancels runs of \a requester that are not in \a wantedRuns. */
    void cancelUnwantedRuns(const Requester &requester, const std::set<RunName> &wantedRuns,
                            TimePoint now);
    /** \brief Cancels \a withdrawnRuns of \a requester, which still wants to know how they end. */
    void withdrawRuns(const Requester &requester, const std::set<RunName> &withdrawnRuns,
                      TimePoint now);
    /** \brief Cancels all runs of older incarnations of \a requester's node. */
    void dropOlderIncarnations(const Requester &requester, TimePoint now);
    /** \brief Cancels all runs of an unreachable node, but keeps their ends for it. */
    void cancelRunsOfNode(const NodeName &node, TimePoint now);
    void handleStartResponse(const OrderAddress &from, const RunName &run,
                             const OrderResponse &response, TimePoint now);
    void handleStopResponse(const OrderAddress &from, const RunName &run,
                            const OrderResponse &response, TimePoint now);
    void handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                            const PollResponse &response, TimePoint now);
    /** \brief Renews leases, removes lost targets and starts queued runs. */
    void tick(const LastContact &lastContact, TimePoint now);
    /** \brief Starts queued runs for which there is free capacity. */
    void startQueuedRuns(const LastContact &lastContact, TimePoint now);
    /** \brief Returns runs to their coordinators that have been queued for a while and for which
     * \a reserveCapacity finds capacity elsewhere.
     */
    void returnQueuedRuns(const ReserveCapacity &reserveCapacity, TimePoint now);
    /** \brief Stops new work until each target has responded again, after this node stalled. */
    void invalidateTargetContacts(TimePoint now);
    /** \brief Marks all run ends of \a requester as reported. */
    void markEndsReported(const Requester &requester);
    std::vector<TargetOrder> takeOrders() { return std::exchange(this->out.orders, {}); }
    std::vector<TargetChange> takeChanges() { return std::exchange(this->changes, {}); }
    /** \returns the starts of later attempts, and the attempts that ended without completion. */
    std::vector<AttemptRecord> takeAttempts() { return std::exchange(this->attempts, {}); }

    std::vector<ForeignRun> takeForeignRuns() { return std::exchange(this->foreignRuns, {}); }

    // Queries.
    OwnerReport report(TimePoint now) const;
    /** \returns all targets, for the guardians of this node. */
    std::vector<DrivenTarget> drivenTargets(TimePoint now) const;
    /** \returns the requesters of all queued, running and ended runs. */
    std::map<Requester, RequesterState> requesters() const;
    /** \returns the run ends that \a requester has not acknowledged. */
    std::vector<RunEnd> runEndsFor(const Requester &requester) const;
    /** \returns the cancelled runs of \a requester that are on targets still. */
    std::vector<RunName> stoppingRunsFor(const Requester &requester) const;
    bool holdsRun(const RunName &run, const Requester &requester) const;
    bool ownsTarget(const TargetName &target) const { return this->drivers.contains(target); }
    std::vector<TargetName> targetNames() const;
    const LeasedTarget *findTarget(const TargetName &target) const;
    std::size_t queuedRunCount() const;
    std::size_t runningRunCount() const;
    const FleetOwnerCounters &counters() const { return this->counts; }

private:
    enum class Stage : std::uint8_t { Queued, OnTarget, Ended };

    struct HeldRun
    {
        RunRequest request;
        Requester requester;
        Stage stage = Stage::Queued;
        TargetName target;
        TimePoint queuedAt;
        TimePoint startedAt;
        RunBounds bounds;
        TimePoint endedAt;
        RunEndKind end = RunEndKind::NotStarted;
        /** \brief Run time divided by the slowness of its target, if completed. */
        Duration normalizedRunTime {};
        bool isWanted = true; ///< whether its end has to be reported
        bool isReported = false; ///< whether its end has been sent
        bool isStopping = false;
        bool isStraggler = false;
    };

    using Runs = std::map<RunName, HeldRun>;

    std::vector<HeldRun *> queuedRuns(TimePoint now);
    void cancelRun(HeldRun &run, TimePoint now);
    void cancelMatching(const std::function<bool(const HeldRun &)> &matches, bool isWanted,
                        TimePoint now);
    bool canDeferReport(const HeldRun &ended) const;
    /** \brief Records what the response to a poll of \a driver has shown; it was regaining its
     * target before if \a wasRegaining.
     */
    void recordPollEffects(TargetDriver &driver, bool wasRegaining);
    void processRunEnds(TimePoint now);
    void countRunEnd(RunEndKind kind);
    void recordChange(const TargetDriver &driver, std::string change);
    void recordAttempt(const HeldRun &run, const TargetDriver &driver,
                       const std::optional<ObservedRunEnd> &end, TimePoint now);
    TargetDriver *findDriver(const OrderAddress &from);
    std::uint64_t newToken(TimePoint now) const;
    void recordRestart(TargetDriver &driver, TimePoint now);
    TargetDriver *selectTarget(const HeldRun &run, TimePoint validUntil, TimePoint now);
    bool canRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const;
    bool isTaskRunning(const RunName &run) const;
    bool shouldWaitForFasterTarget(const HeldRun &run, TimePoint now) const;
    void stopStragglers(TimePoint now);
    bool isStragglingOn(const HeldRun &run, const TargetDriver &driver, TimePoint now) const;
    void endInfeasibleRuns(TimePoint now);
    /** \returns how long \a run may go on if its requester wanted it at \a wantedAt. */
    TimePoint validUntil(const HeldRun &run, TimePoint wantedAt) const;
    /** \brief Extends the time that runs may go on which their requesters still want. */
    void extendWantedRuns(const LastContact &lastContact);
    Duration minExpectedRunTime(const RunRequest &request) const;
    void removeLostTargets(TimePoint now);
    void endRunsAsUnknown(const TargetDriver &driver, TimePoint now);

    FleetOwnerOptions options;
    std::map<TargetName, TargetDriver> drivers;
    std::vector<LeasedTarget> releasedTargets;
    Runs runs;
    RunTimes runTimes;
    DriverOutbox out;
    std::vector<TargetChange> changes;
    std::vector<AttemptRecord> attempts;
    std::vector<ForeignRun> foreignRuns;
    FleetOwnerCounters counts;
};

} // namespace Hibiscus
