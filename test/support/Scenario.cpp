#include "test/support/Scenario.h"

#include <algorithm>
#include <array>

namespace Hibiscus::Fake {

namespace {

constexpr Duration faultDuration = 4s;
constexpr Duration restartDelay = 1s;
constexpr Duration loadDuration = 10s;
constexpr Duration recoveryDuration = 36s;

SimulationOptions scenarioOptions(std::uint64_t seed)
{
    SimulationOptions options;
    options.seed = seed;
    options.dispatcher.coordinator.admission.maxWaitingTasks = 60;
    return options;
}

} // namespace

const char *toString(Fault fault)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(Fault::Count)> names
        = { "LoseMessage",   "DoubleMessage",   "DelayMessage",    "ReorderMessage",
            "KillSender",    "KillReceiver",    "WipeSender",      "WipeReceiver",
            "FreezeSender",  "FreezeReceiver",  "CutForward",      "CutBothWays",
            "IsolateSender", "IsolateReceiver", "CutSenderDomain", "SilentConnections",
            "FailingTarget", "Straggler",       "OperatorRace",    "ApplyResent" };
    return names.at(static_cast<std::size_t>(fault));
}

Scenario::Scenario(std::uint64_t seed, std::vector<PlannedFault> faults, NetworkOptions network)
    : seed(seed), faults(std::move(faults)), simulation(scenarioOptions(seed)), random(seed + 17)
{
    this->simulation.network.options = network;
    this->simulation.network.hook
        = [this](const Packet &packet) { return this->handlePacket(packet); };
}

ScenarioResult Scenario::run()
{
    this->simulation.start();
    this->isActive = true;
    this->schedule();
    this->simulation.run(loadDuration);
    this->healAll();
    this->simulation.run(recoveryDuration);
    this->result.failures = this->simulation.violations();
    if (this->simulation.waitingCallerCount() > 0)
        this->result.failures.push_back(std::to_string(this->simulation.waitingCallerCount())
                                        + " callers got no answer");
    this->checkProgress();
    this->checkRules();
    this->result.steps = this->stepCounts;
    this->result.answers = this->simulation.answers.size();
    this->result.starts = this->simulation.starts.size();
    this->result.completeAnswers = static_cast<std::size_t>(
        std::ranges::count_if(this->simulation.answers, [](const ObservedAnswer &item) {
            return item.answer.state == JobState::Complete;
        }));
    return this->result;
}

void Scenario::schedule()
{
    const auto in = [this](Duration delay, Scheduler::Event event) {
        this->simulation.scheduler.after(delay, std::move(event));
    };
    for (Duration at = 0ms; at < loadDuration; at += 40ms)
        in(at, [this] { this->submitJobs(); });
    for (Duration at = 100ms; at < loadDuration; at += 450ms)
        in(at, [this] { this->applyRules(); });
    in(1s, [this] {
        for (const auto &target : this->simulation.targets)
            target->makeConnectionsHalfOpen();
    });
    in(2s, [this] {
        for (const char *other : { "a", "b" }) {
            this->simulation.network.cut("c", other);
            this->simulation.network.cut(other, "c");
        }
    });
    in(6s, [this] { this->simulation.network.heal(); });
    in(4s, [this] { this->killTemporarily("entry-1", false); });
    in(5s, [this] { this->killTemporarily("journal-b-2", true); });
    in(7s, [this] {
        for (int i = 0; i < 80; ++i)
            this->submitJobs();
    });
    in(8s, [this] { this->simulation.targets[4]->leave(); });
    // A planned restart: the entry node drains and is later killed and started again.
    in(3s, [this] { this->simulation.entries[4]->drain(); });
    in(9s, [this] { this->killTemporarily("entry-5", false); });
}

void Scenario::submitJobs()
{
    std::uniform_int_distribution<std::size_t> anyEntry(0, this->simulation.entries.size() - 1);
    std::uniform_int_distribution<int> percent(0, 99);
    std::uniform_int_distribution<std::size_t> narrow(1, 6);
    std::uniform_int_distribution<std::size_t> wide(10, 40);
    const std::size_t entry = anyEntry(this->random);
    const std::string &near = this->simulation.entries[entry]->domain;
    const std::string &home = percent(this->random) < 70
        ? near
        : this->simulation.options.domains[static_cast<std::size_t>(percent(this->random)) % 3];
    const bool isRepeatable = percent(this->random) < 25;
    const std::size_t tasks
        = percent(this->random) < 10 ? wide(this->random) : narrow(this->random);
    const Duration deadline = percent(this->random) < 30 ? Duration(2s) : Duration(7s);
    const JobRequest job = this->simulation.makeJob(
        home, tasks, isRepeatable ? Repeatability::Repeatable : Repeatability::NotRepeatable,
        deadline);
    this->simulation.submit(job, entry, 2);
    if (percent(this->random) < 30)
        this->simulation.submit(job, anyEntry(this->random), 1);
    if (percent(this->random) < 15)
        this->simulation.scheduler.after(
            200ms, [this, job, entry] { this->simulation.cancel(job.id, entry); });
}

void Scenario::applyRules()
{
    std::uniform_int_distribution<std::size_t> anyControl(0, 2);
    const std::uint64_t expected = this->simulation.acceptedRules.empty()
        ? 0
        : this->simulation.acceptedRules.rbegin()->first;
    // Two operators apply rules to the same version at the same time.
    for (int i = 0; i < 2; ++i) {
        const std::string id = "apply-" + std::to_string(this->nextApply++);
        const ApplyRules command = { .applyId = id,
                                     .expectedVersion = expected,
                                     .author = "operator",
                                     .text = "quota team=" + id + " tasks=9 # operator\n" };
        this->sentApplies.push_back(command);
        const std::size_t control = anyControl(this->random);
        this->simulation.apply(command, control);
        // An operator without a reply sends the same apply to the next control node.
        for (int again = 1; again <= 4; ++again)
            this->simulation.scheduler.after(again * 700ms, [this, command, control, again] {
                const auto isReported
                    = std::ranges::any_of(this->simulation.acceptedRules, [&](const auto &item) {
                          return item.second == command.applyId;
                      });
                if (!isReported)
                    this->simulation.apply(command, control + static_cast<std::size_t>(again));
            });
    }
}

bool Scenario::handlePacket(const Packet &packet)
{
    if (!this->isActive)
        return true;
    const std::uint64_t occurrence = ++this->stepCounts[packet.step];
    bool passes = true;
    for (const PlannedFault &planned : this->faults)
        if (planned.step == packet.step && planned.occurrence == occurrence)
            passes = this->injectFault(planned.fault, packet) && passes;
    return passes;
}

/** \returns whether the network should carry \a packet as usual. */
bool Scenario::injectFault(Fault fault, const Packet &packet)
{
    ++this->result.injectedFaults;
    const bool hasSender = this->simulation.find(packet.from) != nullptr;
    const bool hasReceiver = this->simulation.find(packet.to) != nullptr;
    const auto count = [this](bool isInside) {
        this->result.inapplicableFaults += isInside ? 0 : 1;
        return isInside;
    };
    switch (fault) {
    case Fault::LoseMessage:
        // For a disk, the loss of a sync means that it hangs for a while.
        if (packet.step == Step::DiskSync)
            this->simulation.network.transmit(packet, faultDuration);
        return false;
    case Fault::DoubleMessage:
        this->simulation.network.transmit(packet, 300us);
        return true;
    case Fault::DelayMessage:
        this->simulation.network.transmit(packet, 3s);
        return false;
    case Fault::ReorderMessage:
        this->simulation.network.transmit(packet, 30ms);
        return false;
    case Fault::KillSender:
    case Fault::WipeSender:
        // The sender is killed right after sending, so the message still arrives.
        if (count(hasSender))
            this->simulation.scheduler.after(0us, [this, packet, fault] {
                this->killTemporarily(packet.from, fault == Fault::WipeSender);
            });
        return true;
    case Fault::KillReceiver:
    case Fault::WipeReceiver:
        if (count(hasReceiver))
            this->simulation.scheduler.after(packet.latency + 1us, [this, packet, fault] {
                this->killTemporarily(packet.to, fault == Fault::WipeReceiver);
            });
        return true;
    case Fault::FreezeSender:
        if (count(hasSender))
            this->simulation.scheduler.after(
                0us, [this, packet] { this->freezeTemporarily(packet.from); });
        return true;
    case Fault::FreezeReceiver:
        if (count(hasReceiver))
            this->freezeTemporarily(packet.to);
        return true;
    default:
        this->injectOutage(fault, packet);
        return true;
    }
}

void Scenario::injectOutage(Fault fault, const Packet &packet)
{
    switch (fault) {
    case Fault::CutForward:
        this->cutTemporarily(packet.from, packet.to);
        break;
    case Fault::CutBothWays:
        this->cutTemporarily(packet.from, packet.to);
        this->cutTemporarily(packet.to, packet.from);
        break;
    case Fault::IsolateSender:
        this->cutTemporarily(packet.from, "*");
        this->cutTemporarily("*", packet.from);
        break;
    case Fault::IsolateReceiver:
        this->cutTemporarily(packet.to, "*");
        this->cutTemporarily("*", packet.to);
        break;
    case Fault::CutSenderDomain:
        this->cutTemporarily("a", "*");
        this->cutTemporarily("*", "a");
        break;
    case Fault::SilentConnections:
        for (const auto &target : this->simulation.targets)
            target->makeConnectionsHalfOpen();
        break;
    case Fault::FailingTarget:
        this->simulation.targets[1]->shouldFailAllTasks = true;
        this->simulation.scheduler.after(
            faultDuration, [this] { this->simulation.targets[1]->shouldFailAllTasks = false; });
        break;
    case Fault::Straggler:
        this->simulation.targets[3]->speed /= 10;
        this->simulation.scheduler.after(faultDuration,
                                         [this] { this->simulation.targets[3]->speed *= 10; });
        break;
    case Fault::OperatorRace:
        this->applyRules();
        break;
    case Fault::ApplyResent:
        if (!this->sentApplies.empty())
            this->simulation.apply(this->sentApplies.back(), this->sentApplies.size());
        break;
    default:
        break;
    }
}

void Scenario::killTemporarily(const std::string &name, bool wipes)
{
    Process *process = this->simulation.find(name);
    if (!process->isUp())
        return;
    process->kill();
    if (auto *journal = dynamic_cast<Simulation::JournalProcess *>(process); journal && wipes) {
        journal->wipe();
        this->wipedNodes.insert(name);
    }
    if (auto *control = dynamic_cast<Simulation::ControlProcess *>(process); control && wipes) {
        control->wipe();
        this->wipedNodes.insert(name);
    }
    this->simulation.scheduler.after(restartDelay, [process] { process->start(); });
}

void Scenario::freezeTemporarily(const std::string &name)
{
    Process *process = this->simulation.find(name);
    if (!process->isUp() || process->isFrozen())
        return;
    process->freeze();
    this->simulation.scheduler.after(faultDuration, [process] {
        if (process->isFrozen())
            process->thaw();
    });
}

void Scenario::cutTemporarily(const std::string &from, const std::string &to)
{
    this->simulation.network.cut(from, to);
    this->simulation.scheduler.after(faultDuration, [this] { this->simulation.network.heal(); });
}

void Scenario::healAll()
{
    this->simulation.network.heal();
    this->simulation.network.options = {};
    const auto revive = [](Process &process) {
        if (process.isFrozen())
            process.thaw();
        process.start();
    };
    for (const auto &process : this->simulation.journals)
        revive(*process);
    for (const auto &process : this->simulation.controls)
        revive(*process);
    for (const auto &process : this->simulation.entries)
        revive(*process);
    for (const auto &process : this->simulation.targets)
        revive(*process);
}

std::size_t Scenario::wipedVoters(const std::string &prefix) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->wipedNodes, [&](const std::string &name) { return name.starts_with(prefix); }));
}

// A group of three does not survive the loss of two disks before the first is replaced: it must
// stay safe, but need not stay available.
bool Scenario::hasQuorum(const std::string &domain)
{
    if (this->wipedVoters("journal-" + domain) < 2)
        return true;
    return std::ranges::any_of(this->simulation.journals, [&](const auto &journal) {
        return journal->name().starts_with("journal-" + domain) && journal->get()
            && journal->get()->replica().isLeaderReady();
    });
}

void Scenario::checkProgress()
{
    std::vector<JobId> probes;
    for (const std::string &domain : this->simulation.options.domains) {
        if (!this->hasQuorum(domain))
            continue;
        const JobRequest job
            = this->simulation.makeJob(domain, 3, Repeatability::NotRepeatable, 10s);
        probes.push_back(job.id);
        this->simulation.submit(job,
                                std::ranges::find(this->simulation.options.domains, domain)
                                    - this->simulation.options.domains.begin(),
                                0);
    }
    this->simulation.run(12s);
    for (const JobId &id : probes) {
        const bool isComplete
            = std::ranges::any_of(this->simulation.answers, [&](const auto &item) {
                  return item.request.id == id && item.answer.state == JobState::Complete;
              });
        if (!isComplete)
            this->result.failures.push_back("after healing, a job at " + id.home().str()
                                            + " was not completed");
    }
}

void Scenario::checkRules()
{
    const auto leader = std::ranges::find_if(this->simulation.controls, [](const auto &control) {
        return control->get() && control->get()->replica().isLeaderReady();
    });
    if (leader == this->simulation.controls.end()) {
        if (this->wipedVoters("control") < 2)
            this->result.failures.push_back("the control group has no leader after healing");
        return;
    }
    const RulesState &state = (*leader)->get()->state();
    for (const auto &accepted : this->simulation.acceptedRules) {
        const std::uint64_t version = accepted.first;
        const std::string &applyId = accepted.second;
        const bool isInHistory
            = std::ranges::any_of(state.history(), [&](const RulesChange &change) {
                  return change.version == version && change.applyId == applyId;
              });
        if (!isInHistory)
            this->result.failures.push_back("accepted rules version " + std::to_string(version)
                                            + " is missing from the history");
    }
    for (const auto &entry : this->simulation.entries)
        if (entry->rules()->file().version != state.version())
            this->result.failures.push_back(entry->name() + " does not have the latest rules");
}

} // namespace Hibiscus::Fake
