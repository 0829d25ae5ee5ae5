#pragma once

#include "test/support/Scheduler.h"

#include <Hibiscus/Fleet>

#include <map>
#include <memory>
#include <random>
#include <set>

namespace Hibiscus::Fake {

/** \brief Targets with the same hardware. */
struct FleetTargetKind
{
    std::string name = "k";
    Capacity capacity = { .cpu = 64'000, .memory = 262'144 };
    double speed = 1;
};

/** \brief A job as a caller of a FleetSimulation sends it. */
struct FleetJob
{
    std::vector<Duration> taskTimes; ///< true run time of each task at speed 1
    Duration estimate {}; ///< what the caller believes of each
    Capacity demand = { .cpu = 27'000, .memory = 64 };
    std::string route = "r";
    std::uint32_t priority = 0;
    Duration timeout = 1500ms;
};

/** \brief What gateways' work costs, in time of a whole core. */
struct FleetProcessor
{
    std::vector<double> shares; ///< of a core; the gateways of a domain take turns
    Duration perMessage = 100us; ///< to another gateway or from it, as measured with gRPC
    Duration perOrder = 60us; ///< to a target, or its answer
    Duration perJob = 200us; ///< of a caller
    Duration perTick = 20us;
};

/** \brief The sizes, times and faults of a FleetSimulation. */
struct FleetSimulationOptions
{
    std::vector<std::string> domains = { "a", "b", "c" };
    std::uint32_t gatewaysPerDomain = 2;
    std::uint32_t targetsPerDomain = 4;
    std::vector<FleetTargetKind> kinds = { {} }; ///< the targets of a domain take turns
    Duration intraDomainLatency = 200us;
    Duration interDomainLatency = 1ms;
    Duration callerLatency = 3ms;
    Duration heartbeat = 1500ms;
    Duration resend = 1300ms; ///< callers send a job again after its connection broke
    double lateOrders = 0; ///< share of orders that are not answered and carried out late
    double lostMessages = 0; ///< share of messages between gateways that are lost
    FleetNodeOptions node; ///< of each gateway, but for its names and size
    std::optional<FleetProcessor> processor; ///< none: work takes no time
    bool countsBytes = false; ///< of messages between gateways
    std::uint64_t seed = 1;
};

/** \brief A target that keeps the rules of leases, fencing and attempts, in virtual time. */
struct FleetTarget
{
    struct Run
    {
        std::uint64_t number = 0; ///< of the event that ends it
        TimePoint startedAt;
        bool isStopping = false;
    };

    LeasedTarget self;
    bool isUp = true;
    double speed = 1;
    std::uint64_t token = 0;
    TimePoint leaseUntil;
    std::map<RunName, Run> running;
    std::vector<EndedRun> ended;
    std::map<RunName, std::uint64_t> highestOver; ///< by task, with attempt 0
    std::uint64_t nextEnd = 1;
    std::string heartbeatAt; ///< a gateway's name, or empty: any
    std::set<std::string> cutFrom; ///< gateways that cannot reach it
};

/** \brief Messages of a gateway to the others. */
struct FleetTraffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< 0 unless they are counted
};

/** \brief What a caller got. */
struct FleetAnswer
{
    std::string job;
    TransientJobStatus status = TransientJobStatus::Failed;
    OutcomeReason reason = OutcomeReason::None;
    Duration elapsed {};
};

/** \brief Gateways, targets and callers in virtual time, and the promises that an observer outside
 * checks: no two runs of a task at once, nothing started of a job that was refused, no target
 * filled beyond its capacity.
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
    void freeze(const std::string &gateway, Duration span);
    void stop(const std::string &gateway);
    void cut(const std::string &one, const std::string &other);
    void heal();
    void crash(const std::string &target, Duration downFor);
    /** \brief Makes what \a target starts from now on take \a factor times as long. */
    void slowDown(const std::string &target, double factor);
    void setDraining(const std::string &target);
    std::mt19937_64 &dice() { return this->random; }

    // Queries.
    TimePoint now() const { return this->scheduler.now(); }
    const std::map<std::string, FleetAnswer> &answers() const { return this->answered; }
    const std::vector<std::string> &broken() const { return this->brokenPromises; }
    std::vector<std::string> gatewayNames() const;
    std::vector<std::string> targetNames() const;
    const FleetNode *gateway(const std::string &name) const;
    const FleetTarget &target(const std::string &name) const { return this->targets.at(name); }
    std::uint64_t starts() const { return this->startCount; }
    const FleetTraffic &traffic(const std::string &gateway) const;
    std::size_t taskCount(const std::string &job) const { return this->taskTimes.at(job).size(); }
    /** \returns the share of the jobs that were answered as completed. */
    double served() const;

private:
    struct Gateway;
    struct Caller
    {
        std::string gateway;
        TransientJob job;
        RoutePolicy policy;
        TimePoint sentAt;
        TimePoint deadlineAt;
        bool isOver = false;
        std::uint32_t sends = 0;
    };

    void startGateway(Gateway &gateway);
    void settle(Gateway &gateway);
    NodeRecord recordOf(const Gateway &gateway) const;
    using Work = std::function<void(FleetNode &, TimePoint)>;
    void deliver(Gateway &gateway, Duration cost, const Work &work);
    void act(Gateway &gateway, std::uint64_t incarnation, const Work &work);
    /** \brief Keeps the processor of \a gateway busy. \returns when it is done. */
    TimePoint occupy(Gateway &gateway, Duration cost);
    Duration costOf(Duration FleetProcessor::*item) const;
    void send(Gateway &from, const AddressedFleetMessage &item);
    void execute(Gateway &from, const TargetOrder &order);
    OrderResponse apply(FleetTarget &target, const StartOrder &order);
    OrderResponse apply(FleetTarget &target, const StopOrder &order);
    void poll(Gateway &from, const PollOrder &order, TimePoint until);
    bool obeys(FleetTarget &target, const OrderAddress &to) const;
    void endRun(FleetTarget &target, const RunName &run, TargetRunEnd end);
    void lapse(FleetTarget &target);
    void beat(const std::string &name);
    void place(std::uint64_t token, const std::string &gateway);
    void breakConnections(const std::string &gateway);
    bool isCut(const std::string &one, const std::string &other) const;
    Duration delay(const std::string &one, const std::string &other) const;
    void note(const std::string &promise);

    FleetSimulationOptions options;
    Scheduler scheduler { TimePoint(1'800'000'000s) };
    std::mt19937_64 random;
    std::map<std::string, std::unique_ptr<Gateway>> gateways;
    std::map<std::string, FleetTarget> targets;
    std::map<std::uint64_t, Caller> callers;
    std::map<std::string, std::vector<Duration>> taskTimes; ///< by job
    std::map<std::string, FleetAnswer> answered;
    std::set<std::string> startedJobs;
    std::set<std::string> refusedJobs;
    std::set<std::pair<std::string, std::string>> cuts;
    std::vector<std::string> brokenPromises;
    std::uint64_t nextToken = 1;
    std::uint64_t nextRun = 1;
    std::uint64_t startCount = 0;
};

} // namespace Hibiscus::Fake
