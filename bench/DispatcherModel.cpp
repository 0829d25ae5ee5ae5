#include "bench/DispatcherModel.h"

#include "test/support/Simulation.h"

#include <algorithm>
#include <unordered_map>

namespace Hibiscus::Bench {

namespace {

constexpr Duration drainTime = 60s;
constexpr Duration jobDeadline = 60s;
constexpr Duration partitionTime = 30s;
constexpr Duration entryDownTime = 10s;

Fake::SimulationOptions simulationOptions(const Site &site, const WorkloadOptions &options)
{
    Fake::SimulationOptions simulation;
    simulation.domains = domainNames();
    simulation.entries = site.entryCount;
    simulation.targetsPerDomain = targetsPerDomain;
    simulation.slots = slotsPerTarget;
    simulation.interDomainLatency = site.interDomainLatency;
    simulation.intraDomainLatency = intraDomainLatency;
    simulation.callerLatency = callerLatency;
    simulation.syncTime = syncTime;
    simulation.entriesPerSnapshot = 4096;
    simulation.abandonTimeout = 30s;
    simulation.seed = options.seed;
    return simulation;
}

/** \brief Adds the messages in \a sent to \a result as wasted, background or useful messages. */
void classifyMessages(const std::map<Fake::Step, std::uint64_t> &sent, RunResult &result)
{
    using Fake::Step;
    for (const auto &[step, count] : sent) {
        switch (step) {
        case Step::PeerProbe:
        case Step::PeerCancel:
        case Step::PeerNews:
        case Step::AskTarget:
        case Step::AskReply:
        case Step::LookUpJob:
        case Step::Heartbeat:
        case Step::TakeOverJob:
        case Step::AbandonJob:
            result.wastedMessages[Fake::toString(step)] += count;
            break;
        case Step::Announce:
        case Step::AnnounceReply:
        case Step::PreVote:
        case Step::Vote:
        case Step::VoteReply:
        case Step::Append:
        case Step::AppendReply:
        case Step::FetchRules:
        case Step::RulesUpdate:
        case Step::RulesAcknowledged:
            result.backgroundMessages[Fake::toString(step)] += count;
            break;
        case Step::DiskSync:
        case Step::PeerOffer:
            break;
        default:
            result.usefulMessages += count;
            break;
        }
    }
}

/** \brief Run of the simulation under a load. */
class DispatcherRun
{
public:
    DispatcherRun(const Site &site, const WorkloadOptions &options,
                  const std::vector<WorkloadJob> &workload)
        : options(options), workload(workload), simulation(simulationOptions(site, options))
    {
        this->simulation.recordsHistory = false;
        this->simulation.onAnswer
            = [this](const Fake::ObservedAnswer &answer) { this->onAnswer(answer); };
        this->simulation.onStart
            = [this](const Fake::ObservedStart &start) { this->onStart(start); };
    }

    RunResult run()
    {
        this->simulation.start();
        const auto before = this->simulation.network.sentCounts();
        this->startTime = this->simulation.scheduler.now();
        for (std::size_t i = 0; i < this->workload.size(); ++i)
            this->simulation.scheduler.after(this->workload[i].arrival,
                                             [this, i] { this->submit(i); });
        this->simulation.scheduler.after(this->options.length / 3,
                                         [this] { this->injectDisturbance(); });
        this->simulation.run(this->options.length + drainTime);
        auto sent = this->simulation.network.sentCounts();
        for (const auto &[step, count] : before)
            sent[step] -= count;
        classifyMessages(sent, this->result);
        this->classifyOffers(sent[Fake::Step::PeerOffer]);
        return std::move(this->result);
    }

private:
    /** \brief Counts the slot offers that led to a start as useful and the others as wasted. */
    void classifyOffers(std::uint64_t sent)
    {
        std::uint64_t used = 0;
        for (const auto &entry : this->simulation.entries)
            if (entry->isUp())
                used += entry->dispatcher()->owner().usedOfferCount();
        used = std::min(used, sent);
        this->result.usefulMessages += used;
        this->result.wastedMessages["unused-offer"] += sent - used;
    }

    void submit(std::size_t index)
    {
        const WorkloadJob &job = this->workload[index];
        JobRequest request;
        request.id = JobId(DomainName(job.home), this->simulation.scheduler.now(),
                           "w" + std::to_string(index));
        request.service = ServiceName("work");
        request.team = TeamName("team-" + std::to_string(job.team));
        request.repeatability
            = job.isRepeatable ? Repeatability::Repeatable : Repeatability::NotRepeatable;
        request.deadline = this->simulation.scheduler.now() + jobDeadline;
        for (const double seconds : job.seconds)
            request.payloads.push_back(std::to_string(static_cast<std::int64_t>(seconds * 1e6)));
        this->indices[request.id.str()] = index;
        this->simulation.submit(request, job.entry, 0);
        if (job.isCancelled)
            this->simulation.scheduler.after(200ms, [this, id = request.id, entry = job.entry] {
                this->simulation.cancel(id, entry);
            });
    }

    void onAnswer(const Fake::ObservedAnswer &answer)
    {
        const std::size_t index = this->indices.at(answer.request.id.str());
        this->result.jobs.push_back({ .job = index,
                                      .state = answer.answer.state,
                                      .reason = answer.answer.reason,
                                      .response = answer.at - answer.submittedAt });
        const bool isMeasured = answer.at >= this->startTime + warmUp
            && answer.at < this->startTime + this->options.length;
        for (std::size_t i = 0; i < answer.answer.tasks.size(); ++i) {
            const TaskOutcome &task = answer.answer.tasks[i];
            if (task.succeeded)
                ++this->result.tasksDone;
            else if (task.fate == TaskFate::Ran)
                this->result.wastedMessages["failed-start"] += 2;
            if (task.succeeded && isMeasured)
                this->result.workDone += this->workload[index].seconds[i];
        }
    }

    void onStart(const Fake::ObservedStart &start)
    {
        const TimePoint from = this->startTime + this->options.length / 3 + 1s;
        if (this->failing.empty() || start.at < from
            || start.at > this->startTime + this->options.length)
            return;
        ++this->result.startsAfterDisturbance;
        if (this->failing.contains(start.target))
            ++this->result.startsAtFailingTargets;
    }

    void injectDisturbance()
    {
        const auto &targets = this->simulation.targets;
        switch (this->options.disturbance) {
        case Disturbance::FailingTargets:
            for (const std::size_t index : { 15U, 31U }) {
                targets[index]->shouldFailAllTasks = true;
                this->failing.insert(targets[index]->name());
            }
            break;
        case Disturbance::Stragglers:
            for (const std::size_t index : { 14U, 30U, 46U })
                targets[index]->speed /= 10;
            break;
        case Disturbance::EntryKilled:
            this->simulation.entries[0]->kill();
            this->simulation.scheduler.after(entryDownTime,
                                             [this] { this->simulation.entries[0]->start(); });
            break;
        case Disturbance::DomainCut:
            // Callers within the domain can still reach it.
            for (const char *other : { "a", "b" }) {
                this->simulation.network.cut("c", other);
                this->simulation.network.cut(other, "c");
            }
            this->simulation.scheduler.after(partitionTime,
                                             [this] { this->simulation.network.heal(); });
            break;
        default:
            break;
        }
    }

    WorkloadOptions options;
    const std::vector<WorkloadJob> &workload;
    Fake::Simulation simulation;
    TimePoint startTime;
    std::unordered_map<std::string, std::size_t> indices;
    std::set<std::string> failing;
    RunResult result;
};

} // namespace

RunResult runDispatcher(const Site &site, const WorkloadOptions &options,
                        const std::vector<WorkloadJob> &workload)
{
    return DispatcherRun(site, options, workload).run();
}

} // namespace Hibiscus::Bench
