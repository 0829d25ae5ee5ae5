#pragma once

#include "Hibiscus/src/Fleet/DrivenTarget.h"
#include "Hibiscus/src/Fleet/JobHolds.h"
#include "Hibiscus/src/Fleet/RunForecast.h"
#include "Hibiscus/src/Fleet/TargetOrder.h"

#include <map>

namespace Hibiscus {

/** \brief Timing of a TargetDriver. */
struct TargetDriverOptions
{
    Duration lease = 1s; ///< longest lease that targets grant; set by the platform
    /** \brief Longest renewal of a lease. A lease can't be shortened, so a run is started only
     * where it ends before the run's validity does; shorter renewals allow for older contacts.
     */
    Duration maxRenewal = 800ms;
    /** \brief Share by which the steady clocks of targets may be slow; set by the platform. */
    double maxClockDrift = 0.02;
    /** \brief A target whose latest heartbeat is older gets no new work: it may have announced
     * since that it leaves, to a node that has not passed that on. Shorter than the time after the
     * acknowledgement of the announcement in which work may still be started; longer than the
     * interval of heartbeats.
     */
    Duration heartbeatLifetime = 1850ms;
    /** \brief A target whose lease is renewed for less than this gets no new work: it has a run
     * that may outlive its coordinator.
     */
    Duration minLeaseForWork = 500ms;
    /** \brief Wait of a poll while the target is idle; under half of contactLifetime, so that one
     * poll may be lost.
     */
    Duration idleWait = 450ms;
    /** \brief Wait of a poll while a run is on the target: if the response with a run's end is
     * lost, the next poll reports it.
     */
    Duration busyWait = 100ms;
    /** \brief A target whose last response is older gets no new work; a poll and its time-out. */
    Duration contactLifetime = 950ms;
    Duration retryInterval = 50ms; ///< between polls of a target that does not respond
    /** \brief Time from a target's response to a stop until the run has certainly ended: the
     * platform allows 50 ms, in which targets need not list the run as running.
     */
    Duration maxStopTime = 60ms;
    /** \brief Interval of higher fencing tokens, with which later orders fence those that are
     * executed late; the platform executes them 2 s late or more.
     */
    Duration tokenInterval = 1s;
    /** \brief Time after a start without a response, until which its stop is expected to be
     * confirmed; then the guardians are asked to fence the target.
     */
    Duration fenceDelay = 300ms;
    /** \brief A fenced target is given up, instead of continued with a higher token, if this owner
     * took it over less than this time ago, or was fenced maxRegains times within it.
     */
    Duration minTenure = 2s;
    std::uint32_t maxRegains = 3;
    Duration stopRetryInterval = 50ms; ///< delay before an unconfirmed stop is sent again
    /** \brief Delay before the stop of a previous owner's run is sent again; the run may be listed
     * until maxStopTime after the response.
     */
    Duration foreignStopInterval = 150ms;
    Duration avoidAfterRefusal = 250ms; ///< pause of an unhealthy target, doubled each time
    Duration avoidAfterTimeout = 50ms; ///< pause after one start without a response
    std::uint32_t timeoutsToAvoid = 2; ///< this many in a row count as unhealthy
    Duration maxAvoidance = 4s; ///< bounds the time until a recovered target is used again
    std::uint32_t failuresToAvoid = 2; ///< failed runs in a row, each of another job
    Duration avoidAfterFailures = 1s; ///< pause after them, doubled each time up to maxAvoidance
    std::uint32_t slowJobsToAvoid = 2; ///< jobs in a row with slow runs; one may be long by itself
    Duration avoidAfterSlowRuns = 1s; ///< pause after them, doubled each time up to maxAvoidance
    Duration insufficientCapacityPause = 30ms; ///< pause after a refusal for lack of capacity
};

/** \brief End of a run on a target, and what it is concluded from. */
struct ObservedRunEnd
{
    RunName run;
    RunEndKind kind = RunEndKind::NotStarted;
    RunEndEvidence evidence = RunEndEvidence::StartResponse;
    Duration contactAge {}; ///< time since the target's latest response

    auto operator<=>(const ObservedRunEnd &other) const = default;
};

/** \brief Output of a TargetDriver for its process and its owner. */
struct DriverOutbox
{
    std::vector<TargetOrder> orders;
    std::vector<ObservedRunEnd> runEnds;
    std::vector<RunName> foreignRuns; ///< runs of other owners that were found on the target
};

/** \brief Drives a target: renews its lease, starts and stops runs, and determines their ends.
 *
 * A run has ended only when that is certain: the target lists it as ended, refused its start, or
 * confirmed its stop and does not list it afterwards. A restart of the target under the same name
 * is no such evidence: orders name the target only, so the new incarnation may have executed them.
 *
 * A run of a previous owner counts as ended under the same conditions. As the target need not list
 * a run that is being stopped, there may be such runs until maxStopTime after the target has first
 * accepted the fencing token of this driver, and with it rejects further stops of other owners.
 * Until then it gets no new work.
 *
 * The lease covers all runs on the target, so it is renewed only as far as each of them may go on:
 * not beyond the time until which it is valid, and not while a run of a previous owner may be
 * there.
 *
 * A guardian may fence the driver's orders while it seems lost (see OwnerFence). The driver then
 * goes on with a slightly higher token; a target that rejects that as well has another owner.
 */
class TargetDriver
{
public:
    TargetDriver(const TargetDriverOptions &options, const LeasedTarget &target,
                 std::uint64_t fencingToken, TimePoint now);

    // Commands.
    /** \brief Handles a newer heartbeat of the same incarnation. */
    void handleHeartbeat(const LeasedTarget &target, TimePoint now);
    /** \brief Continues with the newer incarnation in \a target, with a higher fencing token. Its
     * lists show which runs it has; starts without a response are stopped.
     */
    void handleRestart(const LeasedTarget &target, std::uint64_t fencingToken, TimePoint now);
    /** \brief Continues with \a incarnation, of which no heartbeat has arrived yet: it gets no new
     * work before that.
     */
    void handleUnannouncedRestart(std::uint64_t incarnation, std::uint64_t fencingToken,
                                  TimePoint now);
    /** \brief Starts a run that may go on until \a validUntil unless that is extended. */
    void start(const RunRequest &request, TimePoint validUntil, TimePoint now, DriverOutbox &out);
    /** \brief Extends the time until which \a run may go on, unless it is being stopped. */
    void extendValidity(const RunName &run, TimePoint until);
    void stop(const RunName &run, TimePoint now, DriverOutbox &out);
    /** \brief Handles the response to a start that contained \a sentToken. */
    void handleStartResponse(const RunName &run, std::uint64_t sentToken,
                             const OrderResponse &response, TimePoint now, DriverOutbox &out);
    /** \brief Handles the response to a stop that contained \a sentToken. */
    void handleStopResponse(const RunName &run, std::uint64_t sentToken,
                            const OrderResponse &response, TimePoint now);
    /** \brief Handles the response to the poll of \a sentAt. */
    void handlePollResponse(TimePoint sentAt, const PollResponse &response, TimePoint now,
                            DriverOutbox &out);
    void tick(TimePoint now, DriverOutbox &out);
    /** \brief Counts a run of \a job that is slow against its expectation, and stops new work for a
     * while if runs of several jobs in a row are.
     */
    void recordSlowRun(const std::string &job, TimePoint now);
    /** \brief Records a run that goes at the usual pace. */
    void recordUsualRun();
    /** \brief Takes the target for slow, as its former owner did, until a run goes at the usual
     * pace.
     */
    void assumeSlow() { this->slowJobsInRow = this->options.slowJobsToAvoid; }
    /** \brief Stops new work for a while, as a run here makes no progress. */
    void recordStall(TimePoint now);
    /** \brief Counts a run that takes far too long. */
    void recordStraggler() { ++this->stragglersInRow; }
    /** \brief Stops new work until \a until. */
    void avoid(TimePoint until) { this->avoidUntil = std::max(this->avoidUntil, until); }
    /** \brief Stops new work from now on; runs on the target continue. */
    void startRelease() { this->isReleasing = true; }
    /** \brief Handles the announcement that the target shuts down. It may go on for a while, so its
     * runs are stopped, and have ended once that is confirmed or the lease has expired.
     */
    void handleDeparture(TimePoint now, DriverOutbox &out);
    /** \brief Stops new work until the target has answered a poll that was sent at \a now or later,
     * after this node stalled: an earlier response may have waited in a socket.
     */
    void invalidateContact(TimePoint now);

    // Queries.
    const LeasedTarget &target() const { return this->heartbeat; }
    std::uint64_t fencingToken() const { return this->token; }
    Capacity free() const { return this->heartbeat.capacity.minus(this->usedCapacity); }
    bool acceptsWork(TimePoint now) const;
    /** \returns whether the lease ends by \a time even if no further order arrives. */
    bool isLeaseOverBy(TimePoint time) const { return this->leasedUntil <= time; }
    /** \returns whether all runs on the target were started by this driver. */
    bool isReconciled() const { return this->reconciled; }
    bool isFenced() const { return this->fenced; }
    /** \returns whether this driver waits for the target to accept its orders again. */
    bool isRegaining() const { return this->regaining; }
    /** \returns what guardians need to fence the orders of this driver. */
    DrivenTarget describe(TimePoint now) const;
    /** \returns the starts that the target may still execute, a while after they were sent. */
    std::vector<UncertainStart> uncertainStarts(TimePoint now) const;
    /** \returns whether the target has ended, or has announced that and has no run left. */
    bool isEnded() const { return this->ended || (this->isDeparting && this->runs.empty()); }
    /** \returns whether the target is empty, and has accepted this driver's token since the last
     * stall, so that no other node owns it.
     */
    bool isReleased() const
    {
        return this->isReleasing && this->runs.empty() && this->isContactValid;
    }
    /** \returns the time since the target sent its latest heartbeat. */
    Duration heartbeatAge(TimePoint now) const;
    TimePoint lastSeenAt() const { return std::max(this->heartbeatAt, this->lastResponseAt); }
    /** \returns the time of the last response, or of the take-over if there was none. */
    TimePoint lastContactAt() const { return std::max(this->takenOverAt, this->lastResponseAt); }
    /** \returns whether the target has responded since its take-over, or may have a run. One that
     * hasn't may not exist.
     */
    bool isKnownToExist() const
    {
        return this->lastResponseAt != TimePoint() || !this->runs.empty();
    }
    bool isPollInFlight() const { return this->isPolling; }
    std::size_t runCount() const { return this->runs.size(); }
    bool hasRun(const RunName &run) const { return this->runs.contains(run); }
    /** \returns whether the target has confirmed the start of \a run. */
    bool hasBegun(const RunName &run) const
    {
        const auto found = this->runs.find(run);
        return found != this->runs.end() && found->second.phase == Phase::Running;
    }
    /** \returns the fencing token of the start of \a run if the target may still execute it: the
     * start was not answered, the target has confirmed no stop of the run and accepted no higher
     * token since.
     */
    std::optional<std::uint64_t> pendingStart(const RunName &run) const;
    /** \returns the send time of the last poll that listed \a run as running, if any. */
    std::optional<TimePoint> listedAt(const RunName &run) const;
    /** \returns the forecast of \a run from its progress; nullptr if there is no such run. */
    const RunForecast *forecastOf(const RunName &run) const;
    /** \returns whether the target has listed progress of a run that was neither at its start nor
     * at its end.
     */
    bool listsProgress() const { return this->hasListedProgress; }
    /** \returns whether runs of several jobs in a row were slow here. */
    bool isSlow() const { return this->slowJobsInRow >= this->options.slowJobsToAvoid; }
    /** \returns the number of stragglers in a row. */
    std::uint32_t stragglerCount() const { return this->stragglersInRow; }
    /** \returns the number of runs of a step on the target. */
    std::uint32_t runCountOf(const std::string &job, std::uint32_t step) const;

private:
    enum class Phase : std::uint8_t { Starting, Running, Unanswered };

    struct Run
    {
        Capacity demand;
        TimePoint validUntil; ///< the lease is not renewed beyond it
        Phase phase = Phase::Starting;
        TimePoint confirmedAt; ///< time of the target's response to the start
        TimePoint unansweredAt; ///< time at which the start became Unanswered
        std::uint64_t startToken = 0;
        std::optional<TimePoint> listedAt; ///< send time of the last poll that listed it
        /** \brief The target's clock in its response to the start, ms. */
        std::optional<std::int64_t> startClockMs;
        RunForecast forecast;
        /** \brief Arrival of the first list without it, after its start was confirmed. */
        std::optional<TimePoint> missingSince;
        bool isStopWanted = false;
        bool isStopInFlight = false;
        bool isStopRepeated = false; ///< whether a stop was sent before
        TimePoint stopAt; ///< earliest time of the next stop order
        std::optional<TimePoint> stopConfirmedAt;
    };

    bool isStartPending(const Run &run) const;
    bool hasPendingStart() const;
    bool isUncertain(const Run &run, TimePoint now) const;
    std::uint64_t orderToken() const;
    OrderAddress address() const;
    /** \brief Run of a previous owner. */
    struct ForeignRun
    {
        TimePoint stopAt; ///< time of the next stop order
        std::optional<TimePoint> missingSince; ///< arrival of the first list without it
    };

    /** \returns whether no run of a previous owner may be left on the target. */
    bool hasOnlyOwnRuns() const
    {
        return this->reconciled && this->areOtherStopsOver && this->foreignRuns.empty();
    }
    /** \returns the latest time until which everything on the target may go on. */
    TimePoint leaseLimit(TimePoint now) const;
    /** \returns the longest lease on the clock of this node. */
    Duration longestLease() const;
    /** \returns the reading of the target's clock at \a limit, to which the lease is renewed. */
    std::int64_t renewLease(TimePoint limit);
    void recordResponse(std::optional<std::int64_t> clockMs, TimePoint now);
    void handleFenced(std::uint64_t sentToken, TimePoint now);
    void extendAvoidance(Duration first, TimePoint now);
    void recordRefusal(TimePoint now);
    void recordTimeout(TimePoint now);
    void recordOutcome(const EndedRun &listed, TimePoint now);
    /** \returns whether the target may yet respond to a start. */
    bool hasStartInFlight() const;
    void raiseToken(TimePoint now);
    void poll(TimePoint now, DriverOutbox &out);
    void requireConfirmedStop(Run &run, TimePoint now);
    void sendStop(const RunName &name, Run &run, TimePoint now, DriverOutbox &out);
    void endRun(const RunName &run, RunEndKind kind, RunEndEvidence evidence, TimePoint now,
                DriverOutbox &out);
    void endAllRuns(TimePoint now, DriverOutbox &out);
    void stopForeignRuns(const PollResponse &response, TimePoint now, DriverOutbox &out);
    void endForeignRuns(const PollResponse &response, TimePoint now);
    /** \brief Records whether the stops of other owners are over, and with them all their runs. */
    void reconcile(const PollResponse &response, TimePoint now);
    /** \returns whether no run is known on the target, but one may be being stopped. */
    bool awaitsOnlyOtherStops() const
    {
        return !this->areOtherStopsOver && this->runs.empty() && this->foreignRuns.empty();
    }
    /** \returns whether what has been going on since \a since, and takes no longer than a stop, was
     * over when the current poll was sent.
     */
    bool isOver(const std::optional<TimePoint> &since) const
    {
        return since && *since + this->options.maxStopTime <= this->pollSentAt;
    }
    void endUnlistedRuns(const PollResponse &response, TimePoint now, DriverOutbox &out);
    void addProgress(const PollResponse &response);
    /** \returns whether \a run, which the response to the current poll does not list, has ended,
     * and how.
     */
    std::optional<ObservedRunEnd> endOfUnlisted(const RunName &name, const Run &run) const;

    TargetDriverOptions options;
    LeasedTarget heartbeat;
    std::uint64_t token;
    std::uint64_t tokenStep;
    std::uint64_t raises = 0; ///< raises of the token in orders; peers are told the token only
    TimePoint tokenRaisedAt;
    /** \brief Highest token with which the target has answered a poll: starts with lower ones are
     * rejected from then on.
     */
    std::uint64_t acceptedToken = 0;
    std::uint32_t regains = 0; ///< since regainsCountedSince
    TimePoint regainsCountedSince;
    TimePoint takenOverAt;
    TimePoint heartbeatAt;
    TimePoint lastResponseAt; ///< time of the latest response
    bool isContactValid = true; ///< false after a stall, until a later poll is answered
    TimePoint contactInvalidatedAt; ///< time of the latest stall
    /** \brief The target's clock in its latest response or first heartbeat, ms. */
    std::int64_t targetClockMs = 0;
    TimePoint targetClockReadAt;
    TimePoint leasedUntil; ///< latest expiry of the lease that an order contained
    std::map<RunName, Run> runs;
    std::map<RunName, ForeignRun> foreignRuns;
    /** \brief Time since which the target rejects the orders of other owners. */
    std::optional<TimePoint> othersRejectedSince;
    bool areOtherStopsOver = false; ///< whether their last stops have ended, too
    bool hasListedProgress = false;
    Capacity usedCapacity;
    std::uint64_t acknowledgedEnd = 0;
    bool isPolling = false;
    TimePoint pollSentAt;
    TimePoint nextPollAt;
    bool lastPollFailed = false;
    bool reconciled = false;
    bool awaitsHeartbeat = false; ///< the heartbeat is that of a former incarnation
    bool fenced = false;
    bool regaining = false; ///< fenced, and the first poll with a higher token is not answered yet
    bool ended = false;
    bool isReleasing = false;
    bool isDeparting = false; ///< the target has announced its shutdown
    TimePoint avoidUntil;
    Duration avoidance {};
    TimePoint refusalPauseEndsAt; ///< end of the latest pause after refusals or timeouts
    std::uint32_t failuresInRow = 0;
    std::uint32_t timeoutsInRow = 0;
    std::uint32_t stragglersInRow = 0;
    std::uint32_t slowJobsInRow = 0;
    std::string lastFailedJob;
    std::string lastSlowJob;
    Duration slownessAvoidance {}; ///< latest pause for slow runs
};

} // namespace Hibiscus
