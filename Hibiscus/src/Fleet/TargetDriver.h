#pragma once

#include "Hibiscus/src/Fleet/TargetOrder.h"

#include <map>

namespace Hibiscus {

/** \brief The timing of a TargetDriver. */
struct TargetDriverOptions
{
    Duration lease = 1s; ///< from the platform: the longest that targets grant
    Duration idleWait = 450ms; ///< of a poll; under half of the lease, so that one may be lost
    /** \brief Of a poll while something runs: an end whose poll was lost is told by the next one.
     */
    Duration busyWait = 100ms;
    Duration contactLifetime = 950ms; ///< silent for longer: no new work; a poll and its time-out
    Duration retryInterval = 50ms; ///< between orders to a target that does not answer
    /** \brief From a target's answer to a stop until the run is certainly over: the platform allows
     * 50 ms, and targets need not list a run as running meanwhile.
     */
    Duration stopTime = 60ms;
    Duration stopRetryInterval = 150ms; ///< an unanswered stop is sent again
    Duration avoidAfterRefusal = 250ms; ///< an unhealthy target is left alone, doubled each time
    Duration avoidAfterSilence = 50ms; ///< after one order that was not answered
    std::uint32_t silencesToAvoid = 2; ///< so many in a row count as unhealthy
    Duration maxAvoidance = 4s; ///< so that a target that recovered is found again
    std::uint32_t failuresToAvoid = 2; ///< failed runs in a row, each of another job
    Duration avoidAfterFailures = 1s; ///< doubled each time, up to the longest avoidance
    Duration roomRefusalPause = 30ms; ///< a target that had no room is believed for so long
};

/** \brief What a TargetDriver asks of its process and its owner. */
struct DriverOutbox
{
    std::vector<TargetOrder> orders;
    std::vector<RunEnd> ends;
};

/** \brief Drives one life of a target: its lease, what runs there, and how it ended.
 *
 * A run has ended only when that is certain: by the target's list, by a refusal of its start, or
 * by an answered stop after which it is not listed.
 */
class TargetDriver
{
public:
    TargetDriver(const TargetDriverOptions &options, const LeasedTarget &target,
                 std::uint64_t fencingToken, TimePoint now);

    // Commands.
    /** \brief Takes a newer heartbeat of the same life. */
    void announce(const LeasedTarget &target, TimePoint now);
    void start(const RunRequest &request, TimePoint now, DriverOutbox &out);
    void stop(const RunName &run, TimePoint now, DriverOutbox &out);
    void handleStartResponse(const RunName &run, const OrderResponse &answer, TimePoint now,
                             DriverOutbox &out);
    void handleStopResponse(const RunName &run, const OrderResponse &answer, TimePoint now);
    /** \brief Takes the answer to the poll of \a sentAt. */
    void handlePollResponse(TimePoint sentAt, const PollResponse &answer, TimePoint now,
                            DriverOutbox &out);
    void tick(TimePoint now, DriverOutbox &out);
    /** \brief Takes note that a run takes far too long. */
    void noteStraggler() { ++this->stragglersInRow; }
    /** \brief Gives no new work until \a until. */
    void avoid(TimePoint until) { this->avoidUntil = std::max(this->avoidUntil, until); }
    /** \brief Gives no new work from now on; what runs goes on. */
    void release() { this->isReleasing = true; }
    /** \brief Takes note that this life of the target has ended, and everything on it. */
    void noteOver() { this->over = true; }
    /** \brief Believes nothing until the target has answered again, after this node stood still. */
    void distrust() { this->contactAt = TimePoint(); }

    // Queries.
    const LeasedTarget &target() const { return this->announced; }
    std::uint64_t fencingToken() const { return this->token; }
    Capacity free() const { return this->announced.capacity.minus(this->used); }
    bool acceptsWork(TimePoint now) const;
    /** \returns whether nothing runs there but what this driver started. */
    bool isReconciled() const { return this->reconciled; }
    bool isFenced() const { return this->fenced; }
    bool isOver() const { return this->over; }
    bool isReleased() const { return this->isReleasing && this->runs.empty(); }
    TimePoint heardAt() const { return std::max(this->announcedAt, this->contactAt); }
    /** \returns when the target last answered; when it was taken over, if it never did. */
    TimePoint contactedAt() const { return std::max(this->ownedAt, this->contactAt); }
    std::size_t runCount() const { return this->runs.size(); }
    bool holds(const RunName &run) const { return this->runs.contains(run); }
    /** \returns when the target last listed \a run as running; empty if it never did. */
    std::optional<TimePoint> listedAt(const RunName &run) const;
    /** \returns the runs in a row that were found to take too long. */
    std::uint32_t stragglers() const { return this->stragglersInRow; }
    std::uint32_t countOf(const std::string &job, std::uint32_t step) const;

private:
    enum class Phase : std::uint8_t { Starting, Running, Unanswered };

    struct DrivenRun
    {
        Capacity demand;
        Phase phase = Phase::Starting;
        TimePoint confirmedAt; ///< when the target confirmed the start
        std::optional<TimePoint> listedAt; ///< when a poll that listed it as running was sent
        bool isStopWanted = false;
        bool isStopInFlight = false;
        TimePoint stopAt; ///< not before
        std::optional<TimePoint> stopAnsweredAt;
    };

    OrderAddress address() const;
    std::int64_t leaseExpiryMs(TimePoint now) const;
    void noteContact(std::optional<std::int64_t> clockMs, TimePoint now);
    void noteFence(TimePoint now);
    void avoidLonger(Duration first, TimePoint now);
    void noteRefusal(TimePoint now);
    void noteSilence(TimePoint now);
    void noteOutcome(const EndedRun &listed, TimePoint now);
    void poll(TimePoint now, DriverOutbox &out);
    void sendStop(const RunName &name, DrivenRun &run, TimePoint now, DriverOutbox &out);
    void end(const RunName &run, RunEndKind kind, DriverOutbox &out);
    void endAll(DriverOutbox &out);
    void stopForeign(const PollResponse &answer, TimePoint now, DriverOutbox &out);
    void endUnlisted(const PollResponse &answer, DriverOutbox &out);

    TargetDriverOptions options;
    LeasedTarget announced;
    std::uint64_t token;
    std::uint64_t tokenStep;
    TimePoint ownedAt;
    TimePoint announcedAt;
    TimePoint contactAt; ///< of the latest answer
    std::int64_t clockThen = 0; ///< the target's clock when it was last heard, ms
    TimePoint clockAt;
    std::map<RunName, DrivenRun> runs;
    std::map<RunName, TimePoint> foreignStopAt; ///< runs of former owners, with the next stop
    Capacity used;
    std::uint64_t acknowledgedEnd = 0;
    bool isPolling = false;
    TimePoint polledAt;
    TimePoint pollAt;
    bool lastPollFailed = false;
    bool reconciled = false;
    bool fenced = false;
    bool over = false;
    bool isReleasing = false;
    TimePoint avoidUntil;
    Duration avoidance {};
    std::uint32_t failuresInRow = 0;
    std::uint32_t silencesInRow = 0;
    std::uint32_t stragglersInRow = 0;
    std::string lastFailedJob;
};

} // namespace Hibiscus
