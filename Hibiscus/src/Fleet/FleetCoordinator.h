#pragma once

#include "Hibiscus/src/Fleet/EstimateModel.h"
#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/FleetMessage.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief What the route of a job asks for. */
struct RoutePolicy
{
    RouteName route;
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxFailures = 1; ///< a task that failed so often has failed for good
    double stretch = 1; ///< of the longest chain of tasks, towards the latency objective
    Duration slack {}; ///< added to the stretched chain for the latency objective
    Duration untilDeadline {}; ///< how long the caller waits

    auto operator<=>(const RoutePolicy &other) const = default;
};

/** \brief How a transient job ended. */
enum class TransientJobStatus : std::uint8_t {
    Completed,
    Failed, ///< a task has failed too often
    /** \brief Given up: tasks may have run. What still runs is stopped, so that the job may be sent
     * again.
     */
    Unfinished,
    Refused ///< no task has started, and none will
};

/** \brief Why a job was refused or failed. */
enum class OutcomeReason : std::uint8_t {
    None,
    NoTargets, ///< no target of the service is known
    NeverFits, ///< a task asks for more than any target has
    Overloaded, ///< it could not be answered in time
    Draining, ///< this node is stopping
    TaskFailed, ///< a task failed too often
    DeadlineExceeded,
    OwnerLost ///< the owner of a run was lost, and with it whether the run is over
};

/** \returns the name of \a reason for logs. */
const char *toString(OutcomeReason reason);

/** \brief The answer to every caller of a job. */
struct JobOutcome
{
    std::string job;
    std::vector<std::uint64_t> callerTokens; ///< tokens given with the submissions
    TransientJobStatus status = TransientJobStatus::Failed;
    OutcomeReason reason = OutcomeReason::None;
    Duration retryAfter {}; ///< when the caller may come back, for a refusal
    Duration elapsed {};
    std::uint32_t requestedRuns = 0; ///< runs asked for, over all tasks

    auto operator<=>(const JobOutcome &other) const = default;
};

/** \brief An owner as a coordinator sees it. */
struct OwnerView
{
    enum class Distance : std::uint8_t { Self, SameDomain, OtherDomain };

    NodeName node;
    std::uint64_t incarnation = 0;
    Distance distance = Distance::OtherDomain;
    OwnerReport report;
    std::uint32_t unreported = 0; ///< starts sent since the report was made

    auto operator<=>(const OwnerView &other) const = default;
};

/** \brief A task given to an owner. */
struct RunAssignment
{
    NodeName owner;
    RunRequest request;

    auto operator<=>(const RunAssignment &other) const = default;
};

/** \brief A run that did not complete its task, for the log. */
struct UnsuccessfulRun
{
    NodeName owner;
    RunEnd end;

    auto operator<=>(const UnsuccessfulRun &other) const = default;
};

/** \brief The timing and bounds of a FleetCoordinator. */
struct FleetCoordinatorOptions
{
    /** \brief After this a run whose owner is lost is over: the lease of targets, and 2% for their
     * clocks, and the time that the next owner needs to stop it.
     */
    Duration uncertainty = 1150ms;
    /** \brief Answers leave a little after the deadline too: callers may still read them. */
    Duration lateAnswer = 250ms;
    Duration answerLifetime = 10s; ///< a job sent again within it gets the same answer
    std::size_t maxRoutes = 4096; ///< whose run times are learned
    std::size_t maxAnswers = 4096; ///< kept for jobs that are sent again
    Duration minRetryAfter = 200ms; ///< of Retry-After; one round of targets freeing room
    Duration maxRetryAfter = 2s;
};

/** \brief The transient jobs of one entry node's callers: which task goes to which owner, and when
 * a job is answered.
 */
class FleetCoordinator
{
public:
    explicit FleetCoordinator(const FleetCoordinatorOptions &options) : options(options) { }

    // Commands.
    void submit(const TransientJob &job, const RoutePolicy &policy, std::uint64_t caller,
                const std::vector<OwnerView> &owners, TimePoint now);
    /** \brief Stops the job of a caller who is gone, unless another one waits for it. */
    void removeCaller(std::uint64_t caller);
    /** \brief Takes the end of a run that the present life of \a owner tells. */
    void finish(const NodeName &owner, const RunEnd &end, TimePoint now);
    /** \brief Takes note that \a owner lives its life \a incarnation. */
    void updateIncarnation(const NodeName &owner, std::uint64_t incarnation, TimePoint now);
    /** \brief Takes only jobs that should be answered by \a time, when this node ends. */
    void endBy(TimePoint time) { this->endsAt = time; }
    void tick(TimePoint now);
    /** \brief Gives tasks that are ready to owners; \a owners is kept up to date meanwhile. */
    std::vector<RunAssignment> place(std::vector<OwnerView> &owners, TimePoint now);
    std::vector<JobOutcome> takeOutcomes() { return std::exchange(this->outcomes, {}); }

    std::vector<UnsuccessfulRun> takeUnsuccessfulRuns()
    {
        return std::exchange(this->unsuccessfulRuns, {});
    }

    // Queries.
    /** \returns the runs that are wanted at \a owner. */
    std::vector<RunName> wantedAt(const NodeName &owner) const;
    /** \returns the runs that are wanted at each owner that has some. */
    std::map<NodeName, std::vector<RunName>> wanted() const;
    /** \returns the owners that hold runs of the job that \a caller waits for. */
    std::set<NodeName> ownersFor(std::uint64_t caller) const;
    std::size_t jobCount() const { return this->jobs.size(); }
    /** \returns whether a task waits to be given to an owner. */
    bool hasReady(TimePoint now) const;

private:
    enum class Stage : std::uint8_t { Blocked, Ready, Assigned, Uncertain, Done };

    struct Task
    {
        Stage stage = Stage::Blocked;
        std::uint64_t attempt = 0;
        std::uint32_t failures = 0;
        NodeName owner;
        std::uint64_t ownerIncarnation = 0;
        TimePoint readyAt; ///< not before
    };

    struct Job
    {
        TransientJob job;
        RoutePolicy policy;
        std::vector<std::uint64_t> callerTokens;
        std::vector<std::vector<Task>> steps;
        TimePoint arrivedAt;
        RunBounds bounds;
        std::uint32_t requestedRuns = 0;
        bool hasRun = false; ///< a task of it has run, or may have
        bool isOver = false;
    };

    struct Answered
    {
        JobOutcome outcome;
        TimePoint at;
    };

    using Jobs = std::map<std::string, Job>;

    Duration longestChain(const TransientJob &job, const RoutePolicy &policy) const;
    /** \returns how long new work waits for room, as far as the owners' queues tell. */
    static Duration backlog(const ServiceName &service, const std::vector<OwnerView> &owners);
    std::optional<OutcomeReason> refusalOf(const TransientJob &job, const RoutePolicy &policy,
                                           const std::vector<OwnerView> &owners,
                                           TimePoint now) const;
    /** \returns how long after its arrival a job should be answered. */
    Duration objectiveOf(const TransientJob &job, const RoutePolicy &policy) const;
    Duration retryAfter(const RoutePolicy &policy, const std::vector<OwnerView> &owners) const;
    void learn(const Job &job, const RunEnd &end);
    Duration expected(const RoutePolicy &policy, const JobStep &step) const;
    void unblock(Job &job);
    void retry(Task &task, Duration pause, TimePoint now);
    void noteUncertain(Job &job, std::uint32_t step, Task &task, TimePoint now);
    void answer(Job &job, TransientJobStatus status, OutcomeReason reason, TimePoint now);
    void giveUp(Job &job, OutcomeReason reason, TimePoint now);
    void forgetEnded(TimePoint now);
    RunRequest requestFor(const Job &job, const RunName &run, TimePoint now) const;
    static bool isUsedBy(const Job &job, const NodeName &owner);
    OwnerView *chooseOwner(const Job &job, const JobStep &step, std::vector<OwnerView> &owners,
                           TimePoint now) const;

    FleetCoordinatorOptions options;
    Jobs jobs;
    std::map<std::uint64_t, std::string> jobOfCaller;
    std::map<std::string, Answered> answered;
    std::map<RouteName, EstimateModel> estimates;
    std::vector<JobOutcome> outcomes;
    std::vector<UnsuccessfulRun> unsuccessfulRuns;
    std::optional<TimePoint> endsAt; ///< of this node, once it is stopping
};

} // namespace Hibiscus
