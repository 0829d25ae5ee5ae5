#pragma once

#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/FleetMessage.h"
#include "Hibiscus/src/Fleet/RunTimes.h"
#include "Hibiscus/src/Fleet/TargetDriver.h"

#include <functional>
#include <set>

namespace Hibiscus {

/** \brief The timing of a FleetOwner. */
struct FleetOwnerOptions
{
    TargetDriverOptions driver;
    Duration forgetAfter = 10s; ///< a target unheard for longer is gone
    Duration unreachableAfter = 3s; ///< it announces itself, but orders do not reach it
    /** \brief A run that has taken so many times its expected time is stopped, to be started
     * elsewhere: its target has turned slow, or stands still.
     */
    double straggling = 3;
    Duration stragglingSlack = 60ms; ///< added to it, for the round trips of short runs
    std::uint32_t stragglersToAvoid = 2; ///< in a row: the target, not the estimate, is wrong
    Duration avoidStraggler = 1500ms; ///< such a target gets no new work for so long
    /** \brief A run waits here for so long before it may be given back: a few round trips, so that
     * room that is free for a moment is not chased.
     */
    Duration returnAfter = 10ms;
    Duration endLifetime = 30s; ///< an end that nobody asks for any more is dropped
};

/** \brief Who asked for a run: one life of an entry node. */
struct Requester
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const Requester &other) const = default;
};

/** \brief What an owner holds for a requester. */
struct RequesterState
{
    bool hasEnds = false; ///< ended runs that the requester still wants
    bool hasNewEnds = false; ///< some of them were not told yet

    auto operator<=>(const RequesterState &other) const = default;
};

/** \brief Counts of an owner, for metrics. */
struct FleetOwnerCounters
{
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t notStarted = 0;
    std::uint64_t returned = 0; ///< given back, since another owner had room
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t adoptedTargets = 0; ///< targets taken over
    std::uint64_t stragglers = 0; ///< runs stopped for taking too long
    std::uint64_t fencedTargets = 0; ///< targets lost to another owner
};

/** \brief A change of what an owner believes about a target, for the log. */
struct TargetChange
{
    TargetName target;
    std::uint64_t incarnation = 0;
    std::uint64_t fencingToken = 0;
    std::string change; ///< such as "adopted", "settled", "fenced", "over", "released"

    auto operator<=>(const TargetChange &other) const = default;
};

/** \brief The targets that one entry node owns, the runs on them and the runs that wait for room.
 *
 * \sa TargetDriver
 */
class FleetOwner
{
public:
    /** \brief Whether a requester was heard so lately that a run may be started for it. */
    using IsHeard = std::function<bool(const Requester &)>;

    /** \brief Whether another owner has room for a run, which is then taken. */
    using ReserveCapacity = std::function<bool(const RunRequest &, const RunBounds &)>;

    explicit FleetOwner(const FleetOwnerOptions &options) : options(options) { }

    // Commands.
    /** \brief Takes \a target, or its newer heartbeat. */
    void own(const LeasedTarget &target, TimePoint now);
    /** \brief Forgets a target that has said that it ends. */
    void noteLeaving(const LeasedTarget &target);
    /** \brief Gives \a target no new work; takeReleased() names it once it is empty. */
    void release(const TargetName &target);
    std::vector<LeasedTarget> takeReleased();
    void request(const RunRequest &request, const Requester &requester, TimePoint now);
    /** \brief Ends what \a requester had asked for and does not want any more. */
    void keepOnly(const Requester &requester, const std::set<RunName> &wanted, TimePoint now);
    /** \brief Ends everything of earlier lives of \a requester's node. */
    void dropOlderIncarnations(const Requester &requester, TimePoint now);
    /** \brief Ends everything of a node that is not heard any more. */
    void dropNode(const NodeName &node, TimePoint now);
    void handleStartResponse(const OrderAddress &from, const RunName &run,
                             const OrderResponse &answer, TimePoint now);
    void handleStopResponse(const OrderAddress &from, const RunName &run,
                            const OrderResponse &answer, TimePoint now);
    void handlePollResponse(const OrderAddress &from, TimePoint sentAt, const PollResponse &answer,
                            TimePoint now);
    /** \brief Starts what fits, renews leases, and forgets what is gone. */
    void tick(const IsHeard &isHeard, TimePoint now);
    /** \brief Starts what fits. */
    void place(const IsHeard &isHeard, TimePoint now);
    /** \brief Gives back what has waited here for a while and has room elsewhere.
     * \a reserveCapacity names room for a run with a demand, at most once for the same room.
     */
    void returnWaiting(const ReserveCapacity &reserveCapacity, TimePoint now);
    void distrustTargets();
    /** \brief Takes note that \a requester is told all ends of its runs. */
    void noteTold(const Requester &requester);
    std::vector<TargetOrder> takeOrders() { return std::exchange(this->out.orders, {}); }
    std::vector<TargetChange> takeChanges() { return std::exchange(this->changes, {}); }

    // Queries.
    OwnerReport report(TimePoint now) const;
    /** \returns the requesters of the runs that are held here. */
    std::map<Requester, RequesterState> requesters() const;
    /** \returns the ends that \a requester has to be told. */
    std::vector<RunEnd> endsFor(const Requester &requester) const;
    bool knows(const RunName &run, const Requester &requester) const;
    bool owns(const TargetName &target) const { return this->drivers.contains(target); }
    std::vector<TargetName> targetNames() const;
    const LeasedTarget *find(const TargetName &target) const;
    std::size_t queuedRunCount() const;
    std::size_t runningRunCount() const;
    const FleetOwnerCounters &counters() const { return this->counts; }

private:
    enum class Stage : std::uint8_t { Queued, AtTarget, Ended };

    struct HeldRun
    {
        RunRequest request;
        Requester requester;
        Stage stage = Stage::Queued;
        TargetName target;
        TimePoint heldSince;
        TimePoint startedAt;
        RunBounds bounds;
        TimePoint endedAt;
        RunEndKind end = RunEndKind::NotStarted;
        Duration runTime {}; ///< over the slowness of its target, if it completed
        bool isWanted = true; ///< otherwise nobody has to be told of its end
        bool isTold = false; ///< of its end
        bool isStopping = false;
        bool isStraggling = false;
    };

    using Held = std::map<RunName, HeldRun>;

    std::vector<HeldRun *> waitingRuns(TimePoint now);
    void cancel(HeldRun &run, TimePoint now);
    void stopAll(const std::function<bool(const HeldRun &)> &isMeant, bool isWanted, TimePoint now);
    bool mayWait(const HeldRun &ended) const;
    void takeEnds(TimePoint now);
    void count(RunEndKind kind);
    void note(const TargetDriver &driver, std::string change);
    TargetDriver *driverOf(const OrderAddress &from);
    TargetDriver *chooseTarget(const HeldRun &run, TimePoint now);
    bool mayRunOn(const TargetDriver &driver, const HeldRun &run, TimePoint now) const;
    bool isTaskBusy(const RunName &run) const;
    bool waitsForFaster(const HeldRun &run, TimePoint now) const;
    void stopStragglers(TimePoint now);
    bool straggles(const HeldRun &run, const TargetDriver &driver, TimePoint now) const;
    void dropTooLate(TimePoint now);
    Duration shortestTime(const RunRequest &request) const;
    void watchTargets(TimePoint now);
    void abandonRuns(const TargetName &target, TimePoint now);

    FleetOwnerOptions options;
    std::map<TargetName, TargetDriver> drivers;
    std::vector<LeasedTarget> released;
    Held held;
    RunTimes runTimes;
    DriverOutbox out;
    std::vector<TargetChange> changes;
    FleetOwnerCounters counts;
};

} // namespace Hibiscus
