#pragma once

#include "test/support/Scheduler.h"

#include <Hibiscus/Fleet>

#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace Hibiscus::Fake {

/** \brief Targets with the same hardware. */
struct FleetTargetKind
{
    std::string name = "k";
    Capacity capacity = { .cpu = 64'000, .memory = 262'144 };
    double speed = 1;
};

/** \brief Job that a simulated caller sends. */
struct FleetJob
{
    std::vector<Duration> taskTimes; ///< true run time of each task at speed 1
    Duration estimate {}; ///< the caller's estimate of each task
    Capacity demand = { .cpu = 27'000, .memory = 64 };
    std::string route = "r";
    std::uint32_t priority = 0;
    Duration timeout = 1500ms;
};

/** \brief Processor time of the gateways' work, on a whole core. */
struct FleetProcessor
{
    /** \brief Shares of a core, assigned to the gateways of a domain in turn. */
    std::vector<double> cpuShares;
    Duration perMessage = 100us; ///< message to or from another gateway, with its gRPC call
    Duration perOrder = 60us; ///< order to a target, or its response
    Duration perJob = 200us; ///< submission of a job
    Duration perTick = 20us;
};

/** \brief Shares of the orders that get no response and are executed seconds later. */
struct LateOrders
{
    double startShare = 0;
    double stopShare = 0;
    double pollShare = 0;
    bool reachesNextIncarnation = false; ///< whether a restarted target executes them too
    bool grantsFromArrival = false; ///< whether their lease time counts from their arrival
};

/** \brief Shares of the orders that are lost between a gateway and a target. */
struct PathLoss
{
    double requestShare = 0;
    double responseShare = 0; ///< of the orders that arrive: they are executed
};

/** \brief Planned end of a target. */
struct Departure
{
    Duration drainTime {}; ///< from the announcement until the target deregisters
    bool isAcknowledged = true; ///< whether the target receives the acknowledgements of its end
    Duration endsAfter = 3s; ///< time until it ends without an acknowledgement
    /** \brief Time until it starts again under its name; empty: never. */
    std::optional<Duration> returnsAfter;
};

/** \brief Sizes, times and faults of a simulation. */
struct FleetSimulationOptions
{
    std::vector<std::string> domains = { "a", "b", "c" };
    std::uint32_t gatewaysPerDomain = 2;
    std::uint32_t targetsPerDomain = 4;
    std::vector<FleetTargetKind> kinds = { {} }; ///< assigned to the targets of a domain in turn
    Duration intraDomainLatency = 200us;
    Duration interDomainLatency = 1ms;
    Duration callerLatency = 3ms;
    Duration heartbeatInterval = 1500ms;
    /** \brief Delay before a caller sends a job again after its connection broke. */
    Duration resendDelay = 1300ms;
    LateOrders lateOrders;
    double slowClockShare = 0; ///< share of targets whose clock is 2% slow
    /** \brief Whether targets reject starts for which they have no capacity left; if not, such a
     * start violates an invariant.
     */
    bool targetsGuardCapacity = true;
    double lostMessageShare = 0; ///< share of lost messages between gateways
    FleetNodeOptions node; ///< options of each gateway, except its identity and weight
    std::optional<FleetProcessor> processor; ///< if empty, work takes no time
    bool countsBytes = false; ///< whether messages between gateways are encoded to count bytes
    bool recordsTrace = false; ///< whether orders and state changes are recorded
    std::uint64_t seed = 1;
};

/** \brief Simulated target that implements leases, fencing tokens and attempt numbers.
 *
 * Orders name the target only: after a restart it executes those for its previous incarnation.
 */
struct FleetTarget
{
    struct Run
    {
        std::uint64_t eventNumber = 0; ///< number of the event that ends the run
        TimePoint startedAt;
        Duration runTime {};
        std::string gateway; ///< sender of the start
        bool isLate = false; ///< whether the start was executed late
        bool isStopping = false;
    };

    LeasedTarget description;
    bool isUp = true;
    double speed = 1;
    std::uint64_t highestFencingToken = 0;
    TimePoint startedAt;
    double clockRate = 1;
    Duration leaseExpiry {}; ///< on its own clock
    std::map<RunName, Run> running;
    std::vector<EndedRun> ended;
    /** \brief Highest ended or stopped attempt, by task with attempt 0. */
    std::map<RunName, std::uint64_t> highestEndedAttempt;
    std::uint64_t nextEndNumber = 1;
    std::string heartbeatGateway; ///< name of a gateway; empty: any
    std::optional<TimePoint> departureAcknowledgedAt; ///< of its announcement that it leaves
    TimePoint silentUntil; ///< it sends no heartbeats until then
    TimePoint coldUntil; ///< its heartbeats say so
    TimePoint cutUntil; ///< no gateway can reach it until then, nor it any gateway
    double answeredWithErrorShare = 0; ///< share of executed starts that it answers with an error
    std::set<std::string> unreachableGateways; ///< gateways that cannot reach it
    std::map<std::string, PathLoss> pathLosses; ///< by gateway
};

/** \brief Work of the runs of a job, in core-seconds. */
struct FleetWork
{
    double completed = 0;
    double unfinished = 0; ///< of runs that were stopped or whose lease expired
};

/** \brief Messages that a gateway has sent to other gateways. */
struct FleetTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< 0 unless bytes are counted
};

/** \brief First answer that a caller has received. */
struct FleetAnswer
{
    std::string job;
    TransientJobStatus status = TransientJobStatus::Failed;
    OutcomeReason reason = OutcomeReason::None;
    Duration elapsed {};
};

/** \brief Simulates gateways, targets and callers in virtual time and checks invariants from
 * outside: a task never has two concurrent runs, no task of a refused job is started, and none for
 * which its target has no capacity left, or long after it was acknowledged that the target leaves.
 */
class FleetSimulation
{
public:
    explicit FleetSimulation(const FleetSimulationOptions &options);
    ~FleetSimulation();

    // Commands.
    void run(Duration span) { this->scheduler.runUntil(this->scheduler.now() + span); }
    /** \brief Submits a job to a gateway. \returns its id. */
    std::string submit(const std::string &gateway, const FleetJob &job);
    /** \brief Submits a job of \a tasks tasks that take the same time. \returns its id. */
    std::string submit(const std::string &gateway, std::uint32_t tasks, Duration taskTime,
                       Duration timeout = 1500ms, Duration estimate = {});
    void kill(const std::string &gateway, Duration downFor);
    /** \brief Like kill(), but connections to the gateway are not refused while it is down. */
    void losePower(const std::string &gateway, Duration downFor);
    void freeze(const std::string &gateway, Duration span);
    /** \brief Sets the clock that \a gateway reads at its next start ahead by \a offset, or back.
     */
    void setClock(const std::string &gateway, Duration offset);
    void drain(const std::string &gateway);
    void disconnect(const std::string &one, const std::string &other);
    void heal();
    /** \brief Breaks the connections of callers to \a gateway. */
    void breakConnections(const std::string &gateway);
    void crash(const std::string &target, Duration downFor);
    /** \brief Makes runs that \a target starts from now on take \a factor times as long. */
    void slowDown(const std::string &target, double factor);
    void setDraining(const std::string &target);
    /** \brief Acknowledges that \a domains are evacuated from now on, and no others. Each gateway
     * learns of it a little later, or after its next start.
     */
    void setEvacuatedDomains(const std::set<std::string> &domains);
    /** \brief Makes the targets of \a domain cold for \a span. */
    void cool(const std::string &domain, Duration span);
    /** \brief Restarts \a target under its name after \a downFor. Its first heartbeat follows after
     * \a heartbeatDelay; orders reach it before.
     */
    void restart(const std::string &target, Duration downFor, Duration heartbeatDelay);
    void depart(const std::string &target, const Departure &departure);
    /** \brief Cuts \a target off from all gateways for \a span; it runs on. */
    void cutOff(const std::string &target, Duration span);
    void disturbPath(const std::string &gateway, const std::string &target, const PathLoss &loss);
    void setAnsweredWithErrorShare(const std::string &target, double share);
    /** \brief Sets the fate of the orders that are sent from now on. */
    void setLateOrders(const LateOrders &late) { this->options.lateOrders = late; }
    std::mt19937_64 &randomEngine() { return this->random; }

    // Queries.
    TimePoint now() const { return this->scheduler.now(); }
    const std::map<std::string, FleetAnswer> &answers() const { return this->receivedAnswers; }
    const std::vector<std::string> &violations() const { return this->recordedViolations; }
    const std::vector<std::string> &trace() const { return this->recordedTrace; }
    std::vector<std::string> gatewayNames() const;
    std::vector<std::string> targetNames() const;
    const FleetNode *gateway(const std::string &name) const;
    const FleetTarget &target(const std::string &name) const { return this->targets.at(name); }
    std::uint64_t starts() const { return this->startCount; }
    FleetWork workOf(const std::string &job) const;
    const FleetTraffic &traffic(const std::string &gateway) const;
    std::size_t livePeerCount(const std::string &gateway) const;
    std::size_t taskCount(const std::string &job) const { return this->taskTimes.at(job).size(); }
    bool hasStarted(const std::string &job) const { return this->startedJobs.contains(job); }
    /** \returns the share of the jobs that were answered as completed. */
    double servedShare() const;

private:
    struct Gateway;
    struct Caller
    {
        std::string gateway;
        TransientJob job;
        RoutePolicy policy;
        TimePoint sentAt;
        TimePoint deadlineAt;
        bool isFinished = false;
        std::uint32_t sendCount = 0;
    };

    void startGateway(Gateway &gateway);
    void flush(Gateway &gateway);
    NodeRecord recordOf(const Gateway &gateway) const;
    TimePoint clockOf(const Gateway &gateway) const;
    using Work = std::function<void(FleetNode &, TimePoint)>;
    void deliver(Gateway &gateway, Duration cost, const Work &work);
    void runWork(Gateway &gateway, std::uint64_t incarnation, const Work &work);
    /** \brief Occupies the processor of \a gateway. \returns the time when it is free again. */
    TimePoint occupy(Gateway &gateway, Duration cost);
    Duration costOf(Duration FleetProcessor::*item) const;
    void send(Gateway &from, const AddressedFleetMessage &item);
    void sendToAll(Gateway &from, const JobHold &hold);
    void send(Gateway &from, const std::string &to, const JobHold &hold);
    /** \brief What happens to an order on its way, and to its response. */
    struct OrderFate
    {
        bool arrives = true;
        bool isAnswered = true;
        Duration lateness {}; ///< 0 unless the order is executed late
    };
    /** \brief Sender of an order. */
    struct Sender
    {
        Gateway *gateway = nullptr;
        std::uint64_t incarnation = 0;
        bool isLate = false; ///< whether its order is executed late
    };
    struct WaitingPoll
    {
        Sender from;
        PollOrder order;
        TimePoint until;
        std::uint64_t targetIncarnation = 0;
        bool isAnswered = true;
    };
    OrderFate drawFate(const Gateway &from, const FleetTarget &target, double lateShare);
    void execute(Gateway &from, const TargetOrder &order);
    template<typename Order>
    void execute(const Sender &from, const Order &order, const OrderFate &fate);
    /** \brief Executes \a order after \a lateness. */
    template<typename Order>
    void executeLate(Sender from, Order order, Duration lateness);
    OrderResponse apply(FleetTarget &target, const StartOrder &order, const Sender &from);
    OrderResponse apply(FleetTarget &target, const StopOrder &order, const Sender &from);
    OrderResponse apply(FleetTarget &target, const PollOrder &order, const Sender &from);
    OrderResponse start(FleetTarget &target, const StartOrder &order, const Sender &from);
    void respond(const Sender &to, const StartOrder &order, const OrderResponse &response);
    void respond(const Sender &to, const StopOrder &order, const OrderResponse &response);
    void respond(const Sender &to, const PollOrder &order, const PollResponse &response);
    void poll(const Sender &from, const PollOrder &order, const OrderFate &fate);
    void respondOrWait(const std::shared_ptr<WaitingPoll> &waiting);
    std::uint32_t progressOf(const FleetTarget::Run &run) const;
    void respondLater(const Sender &to, const PollOrder &order, const PollResponse &response,
                      Duration delay);
    bool acceptsToken(FleetTarget &target, const OrderAddress &to) const;
    bool hasCapacityFor(const FleetTarget &target, const RunName &run) const;
    void renewLease(FleetTarget &target, std::optional<std::int64_t> expiryMs);
    void checkDeparture(const FleetTarget &target, const RunName &run, const Sender &from);
    void checkEvacuation(const FleetTarget &target, const RunName &run, const Sender &from);
    void sendEvacuations(Gateway &gateway);
    void checkConcurrentRuns(const FleetTarget &target, const RunName &run, const Sender &from);
    void endRun(FleetTarget &target, const RunName &run, TargetRunEnd end);
    void expireLease(FleetTarget &target);
    Duration clockOf(const FleetTarget &target) const;
    std::int64_t clockMsOf(const FleetTarget &target) const;
    void repeatHeartbeats(const std::string &name);
    void stop(const std::string &gateway, Duration downFor, bool isDark);
    void sendHeartbeat(const std::string &name);
    void sendHeartbeatToRegistry(FleetTarget &target);
    void handleHeartbeat(Gateway &gateway, FleetTarget &sender, const TargetHeartbeat &heartbeat);
    /** \returns whether registry nodes list \a gateway. */
    bool isListed(const Gateway &gateway) const;
    void sendHeartbeatTo(const std::string &gateway, const TargetHeartbeat &heartbeat,
                         const std::function<void()> &onHandled);
    /** \brief Sends \a heartbeat to all gateways, as a registry node does. */
    void sendHeartbeatToAll(const TargetHeartbeat &heartbeat);
    bool receivesHeartbeats(const std::string &gateway, const FleetTarget &target) const;
    void deregister(const std::string &name, const Departure &departure);
    void stopTarget(FleetTarget &target);
    void startTarget(FleetTarget &target);
    /** \brief Runs \a event after \a delay, unless \a target has restarted or is down by then. */
    void afterIfUp(Duration delay, const FleetTarget &target, const std::function<void()> &event);
    bool isDrawn(double share);
    double secondsSinceStart() const { return toSeconds(this->now() - simulationStart); }
    template<typename... Parts>
    void recordTrace(const Parts &...parts);
    void sendJob(std::uint64_t token, const std::string &gateway);
    /** \returns whether the caller with \a token has time to send its job again. */
    bool sendAgainLater(std::uint64_t token);
    bool isDisconnected(const std::string &one, const std::string &other) const;
    Duration delay(const std::string &one, const std::string &other) const;
    void recordViolation(const std::string &violation);

    FleetSimulationOptions options;
    static constexpr TimePoint simulationStart { 1'800'000'000s };
    Scheduler scheduler { simulationStart };
    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    std::map<std::string, FleetTarget> targets;
    std::map<DomainName, TimePoint> evacuatedAt; ///< since when each domain is evacuated
    OwnerAssignment ownerAssignment { OwnerAssignmentOptions {} }; ///< of the registry node
    std::map<std::uint64_t, Caller> callers;
    std::map<std::string, std::vector<Duration>> taskTimes; ///< run times at speed 1, by job
    std::map<std::string, FleetWork> works; ///< by job
    std::map<std::string, Capacity> demands; ///< of each task, by job
    std::map<std::string, FleetAnswer> receivedAnswers;
    std::set<std::string> startedJobs;
    std::set<std::string> refusedJobs;
    std::set<std::pair<std::string, std::string>> disconnectedPairs;
    std::vector<std::string> recordedViolations;
    std::vector<std::string> recordedTrace;
    std::uint64_t nextToken = 1;
    std::uint64_t nextRun = 1;
    std::uint64_t startCount = 0;
};

} // namespace Hibiscus::Fake
