#pragma once

#include "test/support/Process.h"

#include <Hibiscus/Api>
#include <Hibiscus/Dispatch>
#include <Hibiscus/Rules>

#include <memory>
#include <unordered_map>

namespace Hibiscus::Fake {

/** \brief The sizes and times of a world. */
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
    DispatcherOptions dispatcher; ///< names and groups are filled in
    std::uint64_t seed = 1;
};

/** \brief A start at a target, as an observer outside the system sees it. */
struct ObservedStart
{
    AttemptId attempt;
    std::string target;
    TimePoint at;
};

/** \brief An answer as its caller got it. */
struct ObservedAnswer
{
    JobRequest request;
    JobAnswer answer;
    TimePoint submittedAt;
    TimePoint at;
};

class Simulation;

/** \brief A target: runs tasks whose payload is their run time in microseconds at speed 1. */
class TargetProcess : public Process
{
public:
    TargetProcess(Simulation &simulation, const std::string &name, std::string domain,
                  double speed);

    void start() override;
    void kill() override;
    void leave() { this->leaving = true; }
    void receive(const std::string &entry, const StartAttempt &command);
    void answer(const std::string &entry, const QueryAttempt &query);
    /** \brief Drops the open connections silently: what runs now reports to nobody. */
    void silenceConnections();

    double speed;
    bool shouldFailAllTasks = false;
    std::string domain;

private:
    struct RunningTask
    {
        std::uint64_t leaseId = 0;
        bool isSilent = false;
    };

    struct Ending
    {
        AttemptStatus status = AttemptStatus::NotStarted;
        std::string result;
    };

    void announce();
    void announceTo(const std::string &entry, std::uint64_t leaseId, bool isCurrent);
    void moveTo(const std::string &entry);
    void finish(const AttemptId &attempt, const std::string &entry, std::uint64_t incarnation);
    void report(const std::string &entry, const TaskReport &report);

    Simulation &simulation;
    std::map<AttemptId, RunningTask> running;
    std::map<AttemptId, Ending> ended;
    std::set<std::uint64_t> drawnLeases; ///< by this life
    std::string owner;
    std::uint64_t leaseId = 0;
    bool isSettled = false; ///< the owner was chosen by the entry nodes, not by chance
    TimePoint heardAt;
    std::map<std::uint64_t, std::string> formerOwners;
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

    /** \brief Runs \a work on the dispatcher and sends what comes out. */
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

/** \brief All processes of a deployment with its targets and callers, in virtual time. */
class Simulation
{
public:
    explicit Simulation(const SimulationOptions &options);

    /** \brief Starts everything and runs until leaders and targets stand. */
    void start();
    void run(Duration span) { this->scheduler.runUntil(this->scheduler.now() + span); }

    /** \brief A caller submits \a request through \a entry, and again elsewhere if its answer is
     * lost, at most \a resubmissions times.
     */
    void submit(const JobRequest &request, std::size_t entry, int resubmissions);
    void cancel(const JobId &id, std::size_t entry);
    /** \brief An operator applies rules through the control group; done is told the version. */
    void apply(const ApplyRules &command, std::size_t controlNode);

    JobRequest makeJob(const std::string &home, std::size_t tasks, Repeatability repeatability,
                       Duration deadline);

    void reportBrokenLink(const std::string &from, const std::string &to, Duration delay);
    void sendPeer(const std::string &from, const AddressedPeerMessage &item);
    void sendJournal(const std::string &from, const AddressedJournalRequest &item);
    void sendStart(const std::string &from, const StartAttempt &command);
    void sendQuery(const std::string &from, const QueryAttempt &query);
    void sendAcknowledged(const RulesAcknowledgement &acknowledged);
    void sendFetch(const std::string &from);
    void answerCaller(const std::string &entry, const CallerAnswer &answer);

    Duration latency(const std::string &from, const std::string &to) const;
    Process *find(const std::string &name);
    EntryProcess *entryNamed(const std::string &name);
    TargetProcess *targetNamed(const std::string &name);
    std::vector<EntryProcess *> entriesOf(const std::string &domain);
    /** \returns an error for each promise that the observed history breaks. */
    std::vector<std::string> violations() const;
    /** \returns how many callers still wait for an answer. */
    std::size_t openCallers() const { return this->callers.size(); }

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
    std::map<std::uint64_t, std::string> acceptedRules; ///< by version, as operators were told
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
    void submitNow(std::uint64_t token);
    DurableState founding(const std::string &node, const std::vector<NodeName> &group,
                          const Bytes &state) const;

    std::unordered_map<std::string, Process *> byName;
    std::unordered_map<std::string, std::string> domainOf;
    std::map<std::uint64_t, Caller> callers;
    std::uint64_t nextToken = 1;
    std::uint64_t nextJob = 1;
    std::set<JobId> singleJobs; ///< not repeatable
};

} // namespace Hibiscus::Fake
