#pragma once

#include "Hibiscus/src/Fleet/EstimateModel.h"
#include "Hibiscus/src/Fleet/Fitness.h"
#include "Hibiscus/src/Fleet/FleetMessage.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Requirements of a route for its jobs. */
struct RoutePolicy
{
    RouteName route;
    ServiceName service;
    std::uint32_t priority = 0; ///< 0 is the most urgent
    std::uint32_t maxFailures = 1; ///< failures of a task after which its job has failed
    double stretch = 1; ///< factor on the critical path in the latency objective
    Duration slack {}; ///< added to the stretched critical path in the latency objective
    Duration untilDeadline {}; ///< time that the caller waits

    auto operator<=>(const RoutePolicy &other) const = default;
};

/** \brief Result of a transient job. */
enum class TransientJobStatus : std::uint8_t {
    Completed,
    Failed, ///< a task has failed too often
    /** \brief Abandoned after tasks may have run. Runs that go on are stopped, so that the caller
     * may send the job again.
     */
    Unfinished,
    Refused, ///< no task has started, and none will start
    Cancelled ///< on request; runs that go on are stopped, and none will start
};

/** \brief Reason why a job was refused, abandoned or failed. */
enum class OutcomeReason : std::uint8_t {
    None,
    NoTargets, ///< no target of the service is known
    NeverFits, ///< a task demands more than any target offers
    TooManyTasks, ///< more tasks than a job may have
    Overloaded, ///< the job cannot be answered in time, or too many tasks are in progress
    Draining, ///< this node is stopping
    TaskFailed, ///< a task has failed too often
    DeadlineExceeded,
    OwnerLost, ///< the owner of a run was lost: the run may still go on
    TaskTooLong, ///< the progress of a task shows that it can't end before the deadline
    Cancelled,
    StartUncertain ///< an earlier start may still be executed
};

/** \returns the name of \a reason for logs. */
const char *toString(OutcomeReason reason);

/** \brief Answer to all callers of a job. */
struct JobOutcome
{
    std::string job;
    std::vector<std::uint64_t> callerTokens; ///< tokens of the submissions
    TransientJobStatus status = TransientJobStatus::Failed;
    OutcomeReason reason = OutcomeReason::None;
    Duration retryAfter {}; ///< delay after which the caller may send a refused job again
    Duration elapsed {};
    std::uint32_t requestedRuns = 0; ///< runs requested, over all tasks

    auto operator<=>(const JobOutcome &other) const = default;
};

/** \brief What a coordinator knows of a job when it is submitted. */
enum class JobHistory : std::uint8_t {
    Unknown,
    InProgress, ///< another caller waits for it
    Answered,
    Cancelled,
    CallerLeft ///< its last caller left before it was answered
};

/** \returns the name of \a history for logs. */
const char *toString(JobHistory history);

/** \brief State of an owner that a coordinator bases its choice on. */
struct OwnerView
{
    enum class Distance : std::uint8_t { Self, SameDomain, OtherDomain };

    NodeName node;
    std::uint64_t incarnation = 0;
    Distance distance = Distance::OtherDomain;
    OwnerReport report;
    std::uint32_t startsSinceReport = 0; ///< runs requested since the report was made

    auto operator<=>(const OwnerView &other) const = default;
};

/** \brief Assignment of a task to an owner. */
struct RunAssignment
{
    NodeName owner;
    RunRequest request;

    auto operator<=>(const RunAssignment &other) const = default;
};

/** \brief Run that did not complete its task, for the log. */
struct UnsuccessfulRun
{
    NodeName owner;
    RunEnd end;

    auto operator<=>(const UnsuccessfulRun &other) const = default;
};

/** \brief Timing and limits of a FleetCoordinator. */
struct FleetCoordinatorOptions
{
    /** \brief Time after which a run of a lost owner has certainly ended: the lease of targets, 2%
     * for clock drift, and the time that the next owner needs to stop the run.
     */
    Duration lostOwnerTimeout = 1150ms;
    /** \brief Time after which a run has certainly ended at an owner that may live, but has heard
     * nothing of this node meanwhile: the time for which a run is valid without contact, and 2% for
     * clock drift.
     */
    Duration livingOwnerTimeout = 1250ms;
    /** \brief Time after which a run has certainly ended at an owner that is lost, and may have
     * sent the start of the run just before, without an answer.
     */
    Duration pendingStartTimeout = maxStartLateness;
    /** \brief Time after the deadline in which an answer is still sent: callers may still read it.
     */
    Duration answerGracePeriod = 250ms;
    Duration answerLifetime = 10s; ///< a job that is sent again within it gets the same answer
    std::size_t maxRoutes = 4096; ///< limit of routes with learned run times
    std::size_t maxAnswers = 4096; ///< limit of answers that are kept for jobs sent again
    Duration leftJobLifetime = 5s; ///< a job whose caller left is remembered for it
    /** \brief Time in which owners confirm that withdrawn runs have not started: a few round trips
     * between busy nodes. A caller whose job was given up waits for it at most.
     */
    Duration withdrawalTimeout = 150ms;
    /** \brief Lower limit of Retry-After; the time in which targets free capacity once. */
    Duration minRetryAfter = 200ms;
    Duration maxRetryAfter = 2s; ///< upper limit of Retry-After
    /** \brief A job is refused if the queues before it take more than this share of the time that
     * it can wait without missing its objective. The rest is for the tasks of a wide job, which
     * wait for the slowest of them, and for more urgent work that arrives meanwhile.
     */
    double maxQueueShare = 0.2;
    /** \brief That applies while there is a standing queue: for longer than this, new work had to
     * wait for more than emptyQueueDelay.
     */
    Duration standingQueueTime = 500ms;
    Duration emptyQueueDelay = 10ms;
    /** \brief Limit of the tasks of a job: many times those of the widest documented job. The time
     * to assign the tasks of a job grows with their square.
     */
    std::size_t maxTasksPerJob = 2'000;
    /** \brief Limit of the tasks of all jobs in progress; it bounds their memory. */
    std::size_t maxTasks = 10'000;
    /** \brief Wider jobs may take half of maxTasks only, so that they don't keep the others out:
     * the width of the widest documented job.
     */
    std::size_t usualTasksPerJob = 120;
};

/** \brief Run of a job that has ended, at an owner that has not confirmed its start. */
struct AbandonedRun
{
    RunName run;
    NodeName owner;
    std::uint64_t ownerIncarnation = 0;

    auto operator<=>(const AbandonedRun &other) const = default;
};

/** \brief Coordinates the transient jobs of one entry node's callers: assigns tasks to owners and
 * answers the jobs.
 */
class FleetCoordinator
{
public:
    explicit FleetCoordinator(const FleetCoordinatorOptions &options) : options(options) { }

    // Commands.
    void submit(const TransientJob &job, const RoutePolicy &policy, std::uint64_t caller,
                const std::vector<OwnerView> &owners, TimePoint now);
    /** \brief Removes a disconnected caller, and stops its job unless another caller waits for it.
     */
    void removeCaller(std::uint64_t caller, TimePoint now);
    /** \brief Ends \a job for all of its callers, and also if it is submitted again later.
     * \returns whether it was in progress here before it was first cancelled.
     */
    bool cancelJob(const std::string &job, TimePoint now);
    /** \brief Handles the end of a run that the current incarnation of \a owner reports. */
    void handleRunEnd(const NodeName &owner, const RunEnd &end, TimePoint now);
    /** \brief Handles the report of \a owner that a target has confirmed the start of \a run. */
    void handleBegun(const NodeName &owner, const RunName &run);
    /** \brief Handles the report of \a owner that a withdrawn run is on a target. */
    void handleStopping(const NodeName &owner, const RunName &run, TimePoint now);
    /** \brief Marks runs at other incarnations of \a owner as uncertain. It may still live, with a
     * raised incarnation.
     */
    void updateIncarnation(const NodeName &owner, std::uint64_t incarnation, TimePoint now);
    /** \brief Marks all runs at other nodes than \a self as uncertain. Their owners stop them, as
     * they take this node for restarted.
     */
    void disownRemoteRuns(const NodeName &self, TimePoint now);
    /** \brief Limits new jobs to those that should be answered by \a time, when this node stops. */
    void setShutdownTime(TimePoint time) { this->shutdownAt = time; }
    void tick(TimePoint now);
    /** \brief Assigns ready tasks to owners, and counts the assignments in \a owners. */
    std::vector<RunAssignment> assignTasks(std::vector<OwnerView> &owners, TimePoint now);
    std::vector<JobOutcome> takeOutcomes() { return std::exchange(this->outcomes, {}); }

    /** \returns the runs that ended jobs leave behind, at whichever node. */
    std::vector<AbandonedRun> takeAbandonedRuns() { return std::exchange(this->abandonedRuns, {}); }

    std::vector<UnsuccessfulRun> takeUnsuccessfulRuns()
    {
        return std::exchange(this->unsuccessfulRuns, {});
    }

    // Queries.
    JobHistory historyOf(const std::string &job) const;
    /** \returns the assigned runs at \a owner. */
    std::vector<RunName> wantedRunsAt(const NodeName &owner) const;
    /** \returns the assigned runs by owner. */
    std::map<NodeName, std::vector<RunName>> wantedRuns() const;
    /** \returns the assigned runs of jobs that are given up, by owner. They are among the wanted
     * runs until their owners have confirmed whether they have started.
     */
    std::map<NodeName, std::vector<RunName>> withdrawnRuns() const;
    /** \returns the owners of runs that were withdrawn since the last call. */
    std::set<NodeName> takeWithdrawalOwners() { return std::exchange(this->withdrawalOwners, {}); }
    /** \returns the owners with runs of \a job. */
    std::set<NodeName> ownersOf(const std::string &job) const;
    /** \returns the owners with runs of the job that \a caller waits for. */
    std::set<NodeName> ownersFor(std::uint64_t caller) const;
    std::size_t jobCount() const { return this->jobs.size(); }
    /** \returns whether a task can be assigned to an owner now. */
    bool hasReadyTasks(TimePoint now) const;

private:
    enum class Stage : std::uint8_t { Blocked, Ready, Assigned, Uncertain, Done };

    struct Task
    {
        Stage stage = Stage::Blocked;
        std::uint64_t attempt = 0;
        std::uint32_t failures = 0;
        NodeName owner;
        std::uint64_t ownerIncarnation = 0;
        bool hasBegun = false; ///< whether a target has confirmed the start of the present attempt
        TimePoint readyAt; ///< earliest time of the next assignment
        TimePoint assignedAt;
        Duration forecast {}; ///< run time by the progress of its last run; 0 if there is none
    };

    /** \brief Wait of a job that is given up for its owners' word on its runs. */
    struct Withdrawal
    {
        OutcomeReason reason = OutcomeReason::None;
        TimePoint until;
    };

    struct Job
    {
        TransientJob definition;
        RoutePolicy policy;
        std::vector<std::uint64_t> callerTokens;
        std::vector<std::vector<Task>> tasks; ///< tasks by step
        TimePoint arrivedAt;
        RunBounds bounds;
        std::uint32_t requestedRuns = 0;
        bool hasRun = false; ///< whether a task may have run
        bool isFinished = false;
        std::optional<Withdrawal> withdrawal; ///< set once the job is given up
    };

    struct AnsweredJob
    {
        JobOutcome outcome;
        TimePoint answeredAt;
        bool wasInProgress = true; ///< otherwise it was cancelled before it was submitted here
    };

    using Jobs = std::map<std::string, Job>;

    /** \brief Calls \a visit with the present run of each task of \a job, and with the task. */
    template<typename Visit>
    static void forEachTask(const Job &job, const Visit &visit);
    /** \brief Calls \a visit with the run and the owner of each assigned task. */
    template<typename Visit>
    void forEachAssignedTask(const Visit &visit) const;
    /** \returns the task that \a run at \a owner is the current attempt of, and its job. */
    std::pair<Job *, Task *> findAssigned(const NodeName &owner, const RunName &run);
    /** \returns the expected duration of the longest chain of dependent tasks. */
    Duration criticalPath(const TransientJob &job, const RoutePolicy &policy) const;
    /** \returns the expected wait for free capacity of new work with \a policy, from the owners'
     * queues of work that is as urgent or more.
     */
    static Duration queueDelay(const RoutePolicy &policy, const std::vector<OwnerView> &owners);
    /** \returns whether the queues of work with \a priority, which now take \a wait, have not been
     * empty for a while.
     */
    bool hasStandingQueue(std::uint32_t priority, Duration wait, TimePoint now);
    /** \returns the number of tasks of all jobs in progress. */
    std::size_t taskCount() const;
    /** \returns the reason to refuse \a job for the number of its tasks, if there is one. */
    std::optional<OutcomeReason> excessReason(const TransientJob &job) const;
    std::optional<OutcomeReason> refusalReason(const TransientJob &job, const RoutePolicy &policy,
                                               const std::vector<OwnerView> &owners, TimePoint now);
    /** \returns the latency objective of a job, counted from its arrival. */
    Duration timeToObjective(const TransientJob &job, const RoutePolicy &policy) const;
    Duration retryAfter(const RoutePolicy &policy, const std::vector<OwnerView> &owners) const;
    void recordRunTime(const Job &job, const RunEnd &end);
    Duration expectedRunTime(const RoutePolicy &policy, const JobStep &step) const;
    /** \returns the same for one task, of which there may be a forecast. */
    Duration expectedRunTime(const Job &job, const JobStep &step, const Task &task) const;
    void unblockTasks(Job &job);
    void scheduleRetry(Task &task, Duration delay, TimePoint now);
    /** \brief Marks the assigned tasks that match as uncertain: their owners may live, but no
     * longer hear of them.
     */
    template<typename Matches>
    void disownRuns(const Matches &matches, TimePoint now);
    /** \brief Records the runs of \a job whose starts may still be executed. */
    void recordAbandonedRuns(const Job &job);
    /** \brief Has \a task wait for \a timeout, in which its run ends, or gives its job up. */
    void markUncertain(Job &job, std::uint32_t step, Task &task, Duration timeout, TimePoint now);
    void finishJob(Job &job, TransientJobStatus status, OutcomeReason reason, TimePoint now);
    /** \brief Gives \a job up: answers it once it is known whether a task has started. */
    void abandonJob(Job &job, OutcomeReason reason, TimePoint now);
    /** \brief Answers a job that is given up if it is known whether a task has started. */
    void continueWithdrawal(Job &job, TimePoint now);
    /** \returns the reason to give \a job up now, if there is one. */
    std::optional<OutcomeReason> hopelessReason(const Job &job, TimePoint now) const;
    /** \returns the least expected time for the tasks of \a job that are not assigned. */
    Duration minUnassignedTime(const Job &job, TimePoint now) const;
    double fastestSlowness(const ServiceName &service) const;
    void removeFinishedJobs(TimePoint now);
    RunRequest makeRequest(const Job &job, const RunName &run, TimePoint now) const;
    static bool hasRunsAt(const Job &job, const NodeName &owner);
    OwnerView *selectOwner(const Job &job, const JobStep &step, const Task &task,
                           std::vector<OwnerView> &owners, TimePoint now) const;

    FleetCoordinatorOptions options;
    Jobs jobs;
    std::map<std::uint64_t, std::string> jobOfCaller;
    std::map<std::string, AnsweredJob> answeredJobs;
    std::map<std::string, TimePoint> leftJobs; ///< jobs whose last caller left, and when
    std::map<RouteName, EstimateModel> estimates;
    std::map<std::uint32_t, TimePoint> queueStandsSince; ///< by priority
    /** \brief Slowness of the fastest known target, also of one that gets no work at present. */
    std::map<ServiceName, double> fastestTargets;
    std::set<NodeName> withdrawalOwners; ///< owners to be told of withdrawn runs
    std::vector<JobOutcome> outcomes;
    std::vector<AbandonedRun> abandonedRuns;
    std::vector<UnsuccessfulRun> unsuccessfulRuns;
    std::optional<TimePoint> shutdownAt; ///< end of this node, once it is draining
};

} // namespace Hibiscus
