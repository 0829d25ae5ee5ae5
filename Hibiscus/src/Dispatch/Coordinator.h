#pragma once

#include "Hibiscus/src/Dispatch/Admission.h"
#include "Hibiscus/src/Dispatch/CoordinatedJob.h"
#include "Hibiscus/src/Dispatch/JobQueue.h"
#include "Hibiscus/src/Dispatch/JournalClient.h"
#include "Hibiscus/src/Dispatch/RetryBudget.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief The bounds and timing of a coordinator. */
struct CoordinatorOptions
{
    CoordinatorId self;
    AdmissionOptions admission;
    std::size_t maxRefusing = 2048; ///< refusals that may wait for the journal at once
    double secondsPerWaitingTask = 0.02; ///< how much a waiting task delays its job's turn
    double secondsPerPriorityLevel = 0.5;
    std::uint32_t recordAhead = 8; ///< recorded starts kept ready a job
    std::uint32_t startsPerRecord = 24;
    std::uint32_t maxAttempts = 6; ///< of one task
    double retryShare = 0.1; ///< retries as a share of first attempts
    Duration startLifetime = 10s; ///< a start that arrives later is void
    Duration firstProbe = 5s; ///< after this an attempt without word is asked for
    Duration watchInterval = 200ms;
    Duration journalPatience = 2s; ///< how long a finished job waits for the journal
    Duration refusalPatience = 1s;
    Duration answerLifetime = 60s; ///< of the answers to repeatable jobs
    std::size_t maxKeptAnswers = 4096;
};

/** \brief A job as it arrives from a caller. */
struct Submission
{
    std::uint64_t token = 0; ///< names the caller's request in this process
    JobRequest request;
    std::string trace; ///< W3C traceparent
};

/** \brief An attempt that should be asked for at its owner. */
struct DueProbe
{
    NodeName owner;
    AttemptProbe probe;
};

/** \brief An attempt that its owner need not start any more. */
struct DueCancellation
{
    NodeName owner;
    AttemptId attempt;
};

/** \brief What callers submitted and how it ended, in numbers. */
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
    std::uint64_t lateReports = 0;
};

/** \brief The part of an entry node that carries jobs from submission to answer.
 *
 * It decides which task may be placed next; the Dispatcher decides where.
 */
class Coordinator
{
public:
    Coordinator(const CoordinatorOptions &options, const JournalClientOptions &journals);

    // Commands.
    void submit(const Submission &submission, std::uint32_t visibleSlots, TimePoint now,
                DispatchOutbox &out);
    void cancel(const JobId &id, TimePoint now, DispatchOutbox &out);
    /** \brief Finds out how far job \a id is, at its home if need be. */
    void lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out);
    void receive(const JournalResponse &answer, TimePoint now, DispatchOutbox &out);
    void finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out);
    /** \brief Ends the attempts at \a owner, unless they belong to \a presentIncarnation. */
    void loseOwner(const NodeName &owner, std::optional<std::uint64_t> presentIncarnation,
                   TimePoint now, DispatchOutbox &out);
    /** \brief Probes the attempts at \a owner soon: the link to it broke. */
    void probeSoon(const NodeName &owner, TimePoint now);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Takes the next task of \a job for \a owner and appends its start to \a starts. */
    void place(const JobId &job, const NodeName &owner, std::uint64_t ownerIncarnation,
               TimePoint now, std::vector<TaskStart> &starts, DispatchOutbox &out);
    void applyRules(const RuleSet &newRules);
    void drain() { this->admission.drain(); }
    void noteWidestTarget(const ServiceName &service, std::uint32_t slots)
    {
        this->admission.noteWidestTarget(service, slots);
    }
    std::vector<DueProbe> takeDueProbes(TimePoint now);
    std::vector<DueCancellation> takeCancellations();

    // Queries.
    /** \returns the most urgent job with a task that may be placed now. */
    std::optional<JobId> head(const ServiceName &service) const;
    /** \returns the most urgent job that may be placed now and for which \a accepts holds, given
     * its urgency and how many tasks wait up to and with its own.
     */
    template<typename Predicate>
    std::optional<JobId> firstThat(const ServiceName &service, Predicate accepts) const
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
    /** \returns how many tasks of \a team are placed by this node. */
    std::uint32_t placedOf(const TeamName &team) const;

private:
    struct KeptAnswer
    {
        std::uint64_t contentHash = 0;
        JobAnswer answer;
        TimePoint until;
    };

    void answerLookUps(const JobId &id, const JournalReply &reply, DispatchOutbox &out);
    Backlog backlogWithout(const CoordinatedJob &without) const;
    void refuse(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out);
    void open(CoordinatedJob &job, std::uint32_t visibleSlots, TimePoint now, DispatchOutbox &out);
    void handle(CoordinatedJob &job, const JournalReply &reply, TimePoint now, DispatchOutbox &out);
    void beginRunning(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                      DispatchOutbox &out);
    void takeRecorded(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                      DispatchOutbox &out);
    void watch(CoordinatedJob &job, const JournalReply &reply, TimePoint now, DispatchOutbox &out);
    void recordAhead(CoordinatedJob &job, TimePoint now, DispatchOutbox &out);
    void requeue(CoordinatedJob &job);
    void retryOrEnd(CoordinatedJob &job, std::uint32_t index, const TaskReport &report,
                    TimePoint now);
    void endTask(CoordinatedJob &job, std::uint32_t index, const TaskOutcome &outcome);
    void unplace(CoordinatedJob &job, CoordinatedTask &task);
    void end(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out);
    void giveUp(CoordinatedJob &job, TimePoint now, DispatchOutbox &out);
    JournalCommand farewellOf(const CoordinatedJob &job) const;
    void answerWithoutProof(CoordinatedJob &job, DispatchOutbox &out);
    void answer(CoordinatedJob &job, const JobAnswer &answer, DispatchOutbox &out);
    void dropPlaced(CoordinatedJob &job);
    void dropWaiting(CoordinatedJob &job);
    void ask(const CoordinatedJob &job, const JournalRequestBody &body, TimePoint now,
             DispatchOutbox &out);
    RetryBudget &retryBudgetOf(const ServiceName &service);
    JobClaim claimOf(const CoordinatedJob &job) const;
    bool isEligible(const JobId &id) const;

    CoordinatorOptions options;
    JournalClient journal;
    Admission admission;
    std::map<JobId, CoordinatedJob> jobs;
    std::map<JobId, std::uint64_t> claims;
    JobQueue queue;
    std::map<ServiceName, RetryBudget> retries;
    std::map<TeamName, std::uint32_t> placedByTeam;
    std::map<ServiceName, std::uint32_t> placedByService;
    std::map<JobId, KeptAnswer> keptAnswers;
    std::map<JobId, std::vector<std::uint64_t>> lookUps;
    std::vector<DueCancellation> cancellations;
    CoordinatorCounters counts;
    std::size_t waitingTasks = 0;
    std::size_t refusing = 0;
    std::uint64_t nextClaim = 1;
};

} // namespace Hibiscus
