#pragma once

#include "test/support/Process.h"

#include <Hibiscus/Api>
#include <Hibiscus/Dispatch>
#include <Hibiscus/Rules>

#include <memory>
#include <unordered_map>

namespace Hibiscus::Fake {

/** \brief Size, latencies and timeouts of a simulated deployment. */
struct SimulationOptions
{
    std::vector<std::string> domains = { "a", "b", "c" };
    std::uint32_t entries = 6;
    std::uint32_t targetsPerDomain = 3;
    std::uint32_t slots = 4;
    Duration interDomainLatency = 1ms;
    Duration intraDomainLatency = 200us;
    Duration callerLatency = 3ms;
    Duration syncTime = 5ms;
    std::uint64_t entriesPerSnapshot = 64;
    Duration coordinatorLease = 2s;
    Duration abandonTimeout = 8s;
    DispatcherOptions dispatcher; ///< node names and groups are set by the simulation
    std::uint64_t seed = 1;
};

/** \brief A start of a task at a target, recorded by the simulation. */
struct ObservedStart
{
    AttemptId attempt;
    std::string target;
    TimePoint at;
};

/** \brief An answer as received by its caller. */
struct ObservedAnswer
{
    JobRequest request;
    JobAnswer answer;
    TimePoint submittedAt;
    TimePoint at;
};

class Simulation;

/** \brief A target whose tasks' payload is their run time in microseconds at speed 1. */
class TargetProcess : public Process
{
public:
    TargetProcess(Simulation &simulation, const std::string &name, std::string domain,
                  double speed);

    void start() override;
    void kill() override;
    void leave() { this->leaving = true; }
    void receive(const std::string &entry, const StartAttempt &command);
    void answerQuery(const std::string &entry, const QueryAttempt &query);
    /** \brief Makes the open connections half-open: reports of the running tasks are lost. */
    void makeConnectionsHalfOpen();

    double speed;
    bool shouldFailAllTasks = false;
    std::string domain;

private:
    struct RunningTask
    {
        std::uint64_t leaseId = 0;
        bool isSilent = false;
    };

    struct Outcome
    {
        AttemptStatus status = AttemptStatus::NotStarted;
        std::string result;
    };

    void announce();
    void announceTo(const std::string &entry, std::uint64_t leaseId, bool isCurrent);
    void switchOwner(const std::string &entry);
    void finish(const AttemptId &attempt, const std::string &entry, std::uint64_t incarnation);
    void report(const std::string &entry, const TaskReport &report);

    Simulation &simulation;
    std::map<AttemptId, RunningTask> running;
    std::map<AttemptId, Outcome> outcomes;
    std::set<std::uint64_t> drawnLeaseIds; ///< lease ids drawn by this incarnation
    std::string owner;
    std::uint64_t leaseId = 0;
    bool isAssigned = false; ///< the owner was chosen by the entry nodes, not at random
    TimePoint ownerRespondedAt;
    std::map<std::uint64_t, std::string> previousOwners;
    std::mt19937_64 random;
    bool leaving = false;
};

/** \brief An entry node. */
class EntryProcess : public Process
{
public:
    EntryProcess(Simulation &simulation, const std::string &name, std::string domain,
                 std::uint32_t index);

    void start() override;
    void kill() override;
    void drain();

    /** \brief Runs \a work on the dispatcher and sends the resulting messages. */
    void step(const std::function<void(Dispatcher &, TimePoint, DispatchOutbox &)> &work);
    void receive(const RulesUpdate &update);

    Dispatcher *dispatcher() { return this->core.get(); }
    const ActiveRules *rules() const { return this->activeRules.get(); }
    std::string domain;

private:
    void execute(const DispatchOutbox &out);

    Simulation &simulation;
    std::uint32_t index;
    std::unique_ptr<Dispatcher> core;
    std::unique_ptr<ActiveRules> activeRules;
};

/** \brief Simulates all processes, targets and callers of a deployment in virtual time. */
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);

    /** \brief Starts all processes and runs until leaders are elected and targets have owners. */
    void start();
    void run(Duration span) { this->scheduler.runUntil(this->scheduler.now() + span); }

    /** \brief Submits \a request as a caller through \a entry. If its answer is lost, the caller
     * resubmits it through a random entry node, at most \a resubmissions times.
     */
    void submit(const JobRequest &request, std::size_t entry, int resubmissions);
    void cancel(const JobId &id, std::size_t entry);
    /** \brief Applies rules as an operator through \a controlNode. */
    void apply(const ApplyRules &command, std::size_t controlNode);

    JobRequest makeJob(const std::string &home, std::size_t tasks, Repeatability repeatability,
                       Duration deadline);

    void reportBrokenLink(const std::string &from, const std::string &to, Duration delay);
    void sendPeer(const std::string &from, const AddressedPeerMessage &item);
    void sendJournal(const std::string &from, const AddressedJournalRequest &item);
    void sendStart(const std::string &from, const StartAttempt &command);
    void sendQuery(const std::string &from, const QueryAttempt &query);
    void sendAcknowledgement(const RulesAcknowledgement &acknowledgement);
    void sendFetchRules(const std::string &from);
    void answerCaller(const std::string &entry, const CallerAnswer &answer);

    Duration latency(const std::string &from, const std::string &to) const;
    Process *find(const std::string &name);
    EntryProcess *findEntry(const std::string &name);
    TargetProcess *findTarget(const std::string &name);
    std::vector<EntryProcess *> entriesOf(const std::string &domain);
    /** \returns a message for each guarantee that the observed history violates. */
    std::vector<std::string> violations() const;
    /** \returns the number of callers that still wait for an answer. */
    std::size_t waitingCallerCount() const { return this->callers.size(); }

    using JournalProcess = ReplicaProcess<JournalNode>;
    using ControlProcess = ReplicaProcess<ControlNode>;

    SimulationOptions options;
    Scheduler scheduler;
    Network network;
    std::mt19937_64 random;
    std::vector<std::unique_ptr<EntryProcess>> entries;
    std::vector<std::unique_ptr<JournalProcess>> journals;
    std::vector<std::unique_ptr<ControlProcess>> controls;
    std::vector<std::unique_ptr<TargetProcess>> targets;
    std::vector<ObservedStart> starts;
    std::vector<ObservedAnswer> answers;
    /** \brief Ids of the accepted applies by version, as reported to operators. */
    std::map<std::uint64_t, std::string> acceptedRules;
    bool recordsHistory = true;
    std::function<void(const ObservedAnswer &)> onAnswer;
    std::function<void(const ObservedStart &)> onStart;

private:
    struct Caller
    {
        JobRequest request;
        std::string entry;
        TimePoint submittedAt;
        TimePoint firstSubmittedAt;
        int resubmissions = 0;
    };

    void makeJournals();
    void makeControls();
    void makeEntriesAndTargets();
    void sendResponses(const std::string &from, const JournalNode::Outbox &out);
    void sendResponses(const std::string &from, const ControlNode::Outbox &out);
    void sendReplica(const ReplicaEnvelope &envelope);
    void sendSubmission(std::uint64_t token);
    DurableState initialState(const std::string &node, const std::vector<NodeName> &group,
                              const Bytes &state) const;

    std::unordered_map<std::string, Process *> byName;
    std::unordered_map<std::string, std::string> domainOf;
    std::map<std::uint64_t, Caller> callers;
    std::uint64_t nextToken = 1;
    std::uint64_t nextJob = 1;
    std::set<JobId> nonRepeatableJobs;
};

} // namespace Hibiscus::Fake
