#pragma once

#include "Hibiscus/src/Dispatch/Admission.h"
#include "Hibiscus/src/Dispatch/CoordinatedJob.h"
#include "Hibiscus/src/Dispatch/JobQueue.h"
#include "Hibiscus/src/Dispatch/JournalClient.h"
#include "Hibiscus/src/Dispatch/RetryBudget.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Limits and timing of a coordinator. */
struct CoordinatorOptions
{
    CoordinatorId self;
    AdmissionOptions admission;
    std::size_t maxPendingRefusals = 2048; ///< refusals not yet confirmed by the journal
    double secondsPerWaitingTask = 0.02; ///< urgency penalty of a job per waiting task
    double secondsPerPriorityLevel = 0.5; ///< urgency bonus per level of priority
    std::uint32_t recordedStartsAhead = 8; ///< placeable tasks with a recorded start, per job
    std::uint32_t maxStartsPerRecord = 24;
    std::uint32_t maxAttempts = 6; ///< attempts of one task
    double retryShare = 0.1; ///< maximum retries as a share of first attempts
    Duration startLifetime = 10s; ///< an owner discards starts older than this
    Duration firstProbeDelay = 5s; ///< age from which an attempt without a report is probed
    Duration watchInterval = 200ms; ///< interval of look-ups while another coordinator has the job
    Duration journalTimeout = 2s; ///< longest wait of a finished job for the journal
    Duration refusalTimeout = 1s; ///< longest wait of a refused job for the journal
    Duration answerLifetime = 60s; ///< time that answers to repeatable jobs are cached
    std::size_t maxCachedAnswers = 4096;
};

/** \brief A job as it arrives from a caller. */
struct Submission
{
    std::uint64_t token = 0; ///< identifies the caller's request within this process
    JobRequest request;
    std::string trace; ///< W3C traceparent
};

/** \brief A probe that is due, with the owner it goes to. */
struct DueProbe
{
    NodeName owner;
    AttemptProbe probe;
};

/** \brief A placed attempt that is no longer needed; its owner should not start it. */
struct DueCancellation
{
    NodeName owner;
    AttemptId attempt;
};

/** \brief Counters of submitted jobs by outcome, and of their attempts. */
struct CoordinatorCounters
{
    std::uint64_t submitted = 0;
    std::uint64_t completed = 0;
    std::uint64_t failed = 0;
    std::uint64_t refused = 0;
    std::uint64_t unknown = 0;
    std::uint64_t placedTasks = 0;
    std::uint64_t retriedTasks = 0;
    std::uint64_t takenOverJobs = 0;
    std::uint64_t lateReports = 0; ///< reports of attempts that are no longer current
};

/** \brief Coordinates the jobs of an entry node's callers, from submission to answer.
 *
 * It decides which task is placed next; the Dispatcher decides at which owner.
 */
class Coordinator
{
public:
    Coordinator(const CoordinatorOptions &options, const JournalClientOptions &journals);

    // Commands.
    void submit(const Submission &submission, std::uint32_t visibleSlots, TimePoint now,
                DispatchOutbox &out);
    void cancel(const JobId &id, TimePoint now, DispatchOutbox &out);
    /** \brief Looks up the state of job \a id, in the journal of its home if it is unknown here. */
    void lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out);
    void receive(const JournalResponse &response, TimePoint now, DispatchOutbox &out);
    void finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out);
    /** \brief Marks the attempts at \a owner as lost, except those placed at its
     * \a currentIncarnation.
     */
    void loseAttemptsAt(const NodeName &owner, std::optional<std::uint64_t> currentIncarnation,
                        TimePoint now, DispatchOutbox &out);
    /** \brief Schedules a probe of every attempt at \a owner, after the connection to it broke. */
    void scheduleProbes(const NodeName &owner, TimePoint now);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Places the next task of \a job at \a owner and appends its start to \a starts. */
    void place(const JobId &job, const NodeName &owner, std::uint64_t ownerIncarnation,
               TimePoint now, std::vector<TaskStart> &starts, DispatchOutbox &out);
    void applyRules(const RuleSet &newRules);
    void drain() { this->admission.drain(); }
    void recordTargetSlots(const ServiceName &service, std::uint32_t slots)
    {
        this->admission.recordTargetSlots(service, slots);
    }
    std::vector<DueProbe> takeDueProbes(TimePoint now);
    std::vector<DueCancellation> takeCancellations();

    // Queries.
    /** \returns the most urgent job that may be placed now. */
    std::optional<JobId> mostUrgentJob(const ServiceName &service) const;
    /** \returns the most urgent job that may be placed now and that \a accepts, a predicate over
     * the job's urgency and the number of waiting tasks up to and including its own.
     */
    template<typename Predicate>
    std::optional<JobId> mostUrgentJobThat(const ServiceName &service, Predicate accepts) const
    {
        std::size_t waiting = 0;
        return this->queue.first(service, [&](const JobId &id) {
            if (!this->isEligible(id))
                return false;
            waiting += this->jobs.at(id).waitingTasks();
            return accepts(this->queue.urgencyOf(id), waiting);
        });
    }
    Urgency urgencyOf(const JobId &job) const { return this->queue.urgencyOf(job); }
    bool isRepeatable(const JobId &job) const { return this->jobs.at(job).isRepeatable(); }
    std::vector<ServiceName> services() const { return this->queue.services(); }
    Demand demand() const;
    bool isDraining() const { return this->admission.isDraining(); }
    std::size_t jobCount() const { return this->jobs.size(); }
    std::size_t waitingTaskCount() const { return this->waitingTasks; }
    const CoordinatedJob *find(const JobId &job) const;
    const CoordinatorCounters &counters() const { return this->counts; }
    /** \returns the number of tasks of \a team that this node has placed. */
    std::uint32_t placedOf(const TeamName &team) const;

private:
    struct CachedAnswer
    {
        std::uint64_t contentHash = 0;
        JobAnswer answer;
        TimePoint expiresAt;
    };

    void respondToLookUps(const JobId &id, const JournalReply &reply, DispatchOutbox &out);
    Backlog backlogExcluding(const CoordinatedJob &excluded) const;
    void refuse(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out);
    void open(CoordinatedJob &job, std::uint32_t visibleSlots, TimePoint now, DispatchOutbox &out);
    void handleReply(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                     DispatchOutbox &out);
    void beginRunning(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                      DispatchOutbox &out);
    void addRecordedStarts(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                           DispatchOutbox &out);
    void watch(CoordinatedJob &job, const JournalReply &reply, TimePoint now, DispatchOutbox &out);
    void recordNextStarts(CoordinatedJob &job, TimePoint now, DispatchOutbox &out);
    void requeue(CoordinatedJob &job);
    void retryOrEndTask(CoordinatedJob &job, std::uint32_t index, const TaskReport &report,
                        TimePoint now);
    void endTask(CoordinatedJob &job, std::uint32_t index, const TaskOutcome &outcome);
    void releasePlacement(CoordinatedJob &job, CoordinatedTask &task);
    void end(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out);
    void abandon(CoordinatedJob &job, TimePoint now, DispatchOutbox &out);
    JournalCommand closingCommandOf(const CoordinatedJob &job) const;
    void answerUnconfirmed(CoordinatedJob &job, DispatchOutbox &out);
    void answer(CoordinatedJob &job, const JobAnswer &answer, DispatchOutbox &out);
    void cancelPlacedTasks(CoordinatedJob &job);
    void endWaitingTasks(CoordinatedJob &job);
    void sendToJournal(const CoordinatedJob &job, const JournalRequestBody &body, TimePoint now,
                       DispatchOutbox &out);
    RetryBudget &retryBudgetOf(const ServiceName &service);
    JobClaim claimOf(const CoordinatedJob &job) const;
    bool isEligible(const JobId &id) const;

    CoordinatorOptions options;
    JournalClient journal;
    Admission admission;
    std::map<JobId, CoordinatedJob> jobs;
    std::map<JobId, std::uint64_t> claimNumbers;
    JobQueue queue;
    std::map<ServiceName, RetryBudget> retries;
    std::map<TeamName, std::uint32_t> placedByTeam;
    std::map<ServiceName, std::uint32_t> placedByService;
    std::map<JobId, CachedAnswer> cachedAnswers;
    std::map<JobId, std::vector<std::uint64_t>> pendingLookUps;
    std::vector<DueCancellation> cancellations;
    CoordinatorCounters counts;
    std::size_t waitingTasks = 0;
    std::size_t pendingRefusals = 0;
    std::uint64_t nextClaim = 1;
};

} // namespace Hibiscus
