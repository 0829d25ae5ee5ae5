#pragma once

#include "Hibiscus/src/Fleet/EvacuatedTargets.h"
#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/FleetMessage.h"
#include "Hibiscus/src/Fleet/PackingModel.h"
#include "Hibiscus/src/Fleet/RunAssessment.h"
#include "Hibiscus/src/Fleet/RunTimes.h"
#include "Hibiscus/src/Fleet/TargetDriver.h"

#include <functional>
#include <set>

namespace Hibiscus {

/** \brief Timing of a FleetOwner. */
struct FleetOwnerOptions
{
    TargetDriverOptions driver;
    /** \brief Lowest part of the owner's fencing tokens, below FencingToken::tagCount: owners that
     * take a target over in the same millisecond have different tokens.
     */
    std::uint64_t tokenTag = 0;
    /** \brief A target without heartbeat and response is removed after it. */
    Duration targetSilenceTimeout = 10s;
    /** \brief A target with heartbeats but no responses is removed after it. */
    Duration unreachableTimeout = 3s;
    /** \brief Limit of the targets that have sent heartbeats but no response yet, which anybody can
     * invent: more than start in a failure domain within a round trip. For another target the first
     * one whose poll has failed is dropped. A poll in flight takes a connection, so while all have
     * one, no further target is taken over.
     */
    std::size_t maxUnansweredTargets = 128;
    /** \brief Limit of all targets of an owner: several times those of the largest documented
     * system.
     */
    std::size_t maxTargets = 8'192;
    /** \brief Factor on the expected run time after which a run is stopped, to be started
     * elsewhere: its target has become slow or has stalled.
     */
    double stragglerFactor = 3;
    Duration stragglerSlack = 60ms; ///< added to that bound, for the round trips of short runs
    std::uint32_t stragglersToAvoid = 2; ///< in a row: the target is at fault, not the estimate
    Duration stragglerAvoidance = 1500ms; ///< pause in new work for such a target
    /** \brief Whether runs are stopped by forecasts from their progress, where targets list it,
     * instead of by stragglerFactor.
     */
    bool usesRunForecasts = false;
    /** \brief Whether a task goes, among targets that suit it about equally, where it leaves the
     * least capacity that no usual task fits in.
     */
    bool packsTargets = false;
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
    /** \brief Whether nothing is started before the first setEvacuatedDomains(), since the node may
     * have known of an evacuation before its restart.
     */
    bool awaitsEvacuations = false;
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
    std::uint64_t evacuated = 0; ///< returned, since only evacuated targets could run them
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t adoptedTargets = 0; ///< targets taken over
    std::uint64_t droppedTargets
        = 0; ///< targets dropped, or not taken over, as there were too many
    std::uint64_t stragglers = 0; ///< runs stopped for taking too long
    std::uint64_t hopeless = 0; ///< runs stopped, since they could not meet their deadline
    std::uint64_t packed = 0; ///< starts for which packing chose another target
    std::uint64_t spared = 0; ///< runs that were slow, but forecast to end earliest where they were
    std::uint64_t slowTargets = 0; ///< times that a target was avoided for slow runs or a stall
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
    bool isKnownToExist = false; ///< whether the target has ever responded to this owner

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

/** \brief Decision on a run by its progress, for the log. */
struct ForecastRecord
{
    RunName run;
    TargetName target;
    RunVerdict verdict = RunVerdict::Continue;
    bool isTargetSlow = false;
    std::uint32_t percent = 0; ///< progress of the run in the latest list
    Duration elapsed {}; ///< time of that list since the run's start
    Duration listAge {}; ///< time since the target's latest response
    Duration expectedRunTime {}; ///< before the start
    Duration forecastRunTime {}; ///< shortest run time that agrees with the progress
    Duration untilDeadline {};

    auto operator<=>(const ForecastRecord &other) const = default;
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

    explicit FleetOwner(const FleetOwnerOptions &options)
        : options(options), evacuatedTargets(options.awaitsEvacuations)
    { }

    // Commands.
    /** \brief Adds \a target, or updates it from a newer heartbeat. */
    void updateTarget(const LeasedTarget &target, TimePoint now);
    /** \brief Stops the runs of a target that has announced its shutdown. */
    void handleDeparture(const LeasedTarget &target, TimePoint now);
    /** \brief Stops new work for \a target; takeReleasedTargets() returns it once it is empty. */
    void releaseTarget(const TargetName &target);
    std::vector<LeasedTarget> takeReleasedTargets();
    /** \returns what was learned of a released target's speed, if its next owner should know it. */
    std::optional<TargetSpeed> takeReleasedSpeed(const TargetName &target);
    /** \brief Continues with what the former owner of an own target has learned. */
    void adoptSpeed(const TargetSpeed &speed);
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
    /** \brief Returns whether a target has certainly accepted a higher fencing token than the given
     * one, and so rejects starts with that.
     */
    using HasFenced = std::function<bool(const TargetName &, std::uint64_t)>;
    /** \brief Ends runs whose starts were pending when their targets were removed, once these can
     * have no effect any more, or their jobs can't wait any longer.
     */
    void endPendingStarts(const HasFenced &hasFenced, TimePoint now);
    /** \brief Renews leases, removes lost targets and starts queued runs. */
    void tick(const LastContact &lastContact, TimePoint now);
    /** \brief Starts queued runs for which there is free capacity. */
    void startQueuedRuns(const LastContact &lastContact, TimePoint now);
    /** \brief Returns runs to their coordinators that have been queued for a while and for which
     * \a reserveCapacity finds capacity elsewhere.
     */
    void returnQueuedRuns(const ReserveCapacity &reserveCapacity, TimePoint now);
    /** \brief Starts no run in \a domains from now on. Runs there go on; queued ones that have no
     * other target here are returned to their coordinators.
     */
    void setEvacuatedDomains(const std::set<DomainName> &domains, TimePoint now);
    /** \brief Stops new work until each target has responded again, after this node stalled. */
    void invalidateTargetContacts(TimePoint now);
    /** \brief Marks all run ends of \a requester as reported. */
    void markEndsReported(const Requester &requester);
    std::vector<TargetOrder> takeOrders() { return std::exchange(this->out.orders, {}); }
    std::vector<TargetChange> takeChanges() { return std::exchange(this->changes, {}); }
    /** \returns the starts of later attempts, and the attempts that ended without completion. */
    std::vector<AttemptRecord> takeAttempts() { return std::exchange(this->attempts, {}); }

    /** \returns the decisions to stop runs by their progress, and to spare slow ones. */
    std::vector<ForecastRecord> takeForecasts() { return std::exchange(this->forecasts, {}); }
    std::vector<ForeignRun> takeForeignRuns() { return std::exchange(this->foreignRuns, {}); }

    // Queries.
    OwnerReport report(TimePoint now) const;
    /** \returns all targets, for the guardians of this node. */
    std::vector<DrivenTarget> drivenTargets(TimePoint now) const;
    std::vector<UncertainStart> uncertainStarts(TimePoint now) const;
    /** \returns the requesters of all queued, running and ended runs. */
    std::map<Requester, RequesterState> requesters() const;
    /** \returns the run ends that \a requester has not acknowledged. */
    std::vector<RunEnd> runEndsFor(const Requester &requester) const;
    /** \returns the cancelled runs of \a requester that are on targets still, or may yet begin. */
    std::vector<RunName> stoppingRunsFor(const Requester &requester) const;
    /** \returns the runs of \a requester that are on targets and have certainly begun. */
    std::vector<RunName> begunRunsFor(const Requester &requester) const;
    bool holdsRun(const RunName &run, const Requester &requester) const;
    /** \returns the end of \a run, which a requester wants but this owner does not hold for it. */
    RunEnd endOfUnknownRun(const RunName &run) const;
    bool ownsTarget(const TargetName &target) const { return this->drivers.contains(target); }
    /** \returns whether \a target is an own one that has accepted this owner's orders, and so
     * refuses those of earlier owners.
     */
    bool hasSettled(const TargetName &target) const
    {
        const auto found = this->drivers.find(target);
        return found != this->drivers.end() && found->second.isReconciled();
    }
    /** \returns whether \a target has done so with a higher fencing token than \a token. */
    bool hasFenced(const TargetName &target, std::uint64_t token) const
    {
        return this->hasSettled(target) && this->drivers.at(target).fencingToken() > token;
    }
    std::vector<TargetName> targetNames() const;
    const LeasedTarget *findTarget(const TargetName &target) const;
    std::size_t queuedRunCount() const;
    std::size_t runningRunCount() const;
    const FleetOwnerCounters &counters() const { return this->counts; }

private:
    enum class Stage : std::uint8_t {
        Queued,
        OnTarget,
        StartPending, ///< the target was removed, but may still execute the start
        Ended
    };

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
        RunPace pace = RunPace::Unknown; ///< latest pace by its progress
        RunVerdict verdict = RunVerdict::Continue;
        bool isSpared = false; ///< whether it was counted as spared
        OrderAddress pendingStart; ///< address of a start that may still be executed
        TimePoint startExpiresAt; ///< time after which a pending start has no effect
        Duration forecastRunTime {}; ///< forecast, normalized, if it was stopped by its progress

        /** \returns whether it may be on its target, or get there yet. */
        bool mayRun() const
        {
            return this->stage == Stage::OnTarget || this->stage == Stage::StartPending;
        }
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
    void recordAttempt(const HeldRun &run, const OrderAddress &target,
                       const std::optional<ObservedRunEnd> &end, TimePoint now);
    /** \brief Ends a run whose start was pending. */
    void endPendingStart(HeldRun &run, RunEndKind kind, RunEndEvidence evidence, TimePoint now);
    TargetDriver *findDriver(const OrderAddress &from);
    /** \brief Drops a target that may not exist if there are too many of these.
     * \returns whether another one may be taken over.
     */
    bool makeRoomForTarget();
    void forgetTarget(const TargetName &target);
    std::uint64_t newToken(TimePoint now) const;
    void recordRestart(TargetDriver &driver, TimePoint now);
    TargetDriver *selectTarget(const HeldRun &run, TimePoint validUntil, TimePoint now);
    /** \returns the target, as suitable as one with \a bestTime and \a bestFitness, where the task
     * leaves the least waste.
     */
    TargetDriver *selectByPacking(const HeldRun &run, TimePoint validUntil, Duration bestTime,
                                  Fitness bestFitness, TimePoint now);
    bool canRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const;
    /** \returns whether \a run can start on the target once it has room. */
    bool couldRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const;
    bool acceptsRuns(const TargetDriver &driver, TimePoint now) const
    {
        return driver.acceptsWork(now) && this->evacuatedTargets.mayStartOn(driver.target().domain);
    }
    Capacity usableCapacity(const TargetDriver &driver, TimePoint now) const
    {
        return this->evacuatedTargets.usableCapacity(driver.target(), driver.free(), now);
    }
    /** \returns whether all own targets that could ever execute \a run are being evacuated, and
     * there are any.
     */
    bool hasOnlyEvacuatedTargets(const HeldRun &run) const;
    void returnEvacuatedRuns(TimePoint now);
    static void endRun(HeldRun &run, RunEndKind kind, TimePoint now);
    bool isTaskRunning(const RunName &run) const;
    bool shouldWaitForFasterTarget(const HeldRun &run, TimePoint now) const;
    void stopStragglers(TimePoint now);
    /** \returns the run time after which a run counts as a straggler. */
    Duration stragglerBound(Duration expectedRunTime) const;
    bool isStragglingOn(const HeldRun &run, const TargetDriver &driver, TimePoint now) const;
    /** \brief Stops runs by their progress. */
    void stopByForecast(TimePoint now);
    void recordPace(HeldRun &run, TargetDriver &driver, RunPace pace, TimePoint now);
    AssessedRun describeForAssessment(const HeldRun &run, const TargetDriver &driver,
                                      TimePoint now) const;
    void applyVerdict(HeldRun &run, TargetDriver &driver, const AssessedRun &assessed,
                      RunVerdict verdict, TimePoint now);
    void endInfeasibleRuns(TimePoint now);
    /** \returns how long \a run may go on if its requester wanted it at \a wantedAt. */
    TimePoint validUntil(const HeldRun &run, TimePoint wantedAt) const;
    /** \brief Extends the time that runs may go on which their requesters still want. */
    void extendWantedRuns(const LastContact &lastContact);
    Duration minExpectedRunTime(const RunRequest &request) const;
    void removeLostTargets(TimePoint now);
    void recordReleased(const TargetDriver &driver);
    /** \brief Ends the runs on a target that this node owns no longer, except for those whose
     * starts may still be executed.
     */
    void endRunsOfRemovedTarget(const TargetDriver &driver, TimePoint now);

    FleetOwnerOptions options;
    std::map<TargetName, TargetDriver> drivers;
    std::vector<LeasedTarget> releasedTargets;
    std::map<TargetName, TargetSpeed> releasedSpeeds;
    Runs runs;
    RunTimes runTimes;
    EvacuatedTargets evacuatedTargets;
    std::map<ServiceName, PackingModel> packingModels;
    DriverOutbox out;
    std::vector<TargetChange> changes;
    std::vector<AttemptRecord> attempts;
    std::vector<ForecastRecord> forecasts;
    std::vector<ForeignRun> foreignRuns;
    FleetOwnerCounters counts;
};

} // namespace Hibiscus
