#include "test/support/Simulation.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Hibiscus::Fake {

namespace {

const TimePoint simulationStart = TimePoint(std::chrono::hours(24 * 365 * 50));

Step stepOf(const JournalRequestBody &body)
{
    if (std::holds_alternative<LookUpJob>(body))
        return Step::LookUpJob;
    if (std::holds_alternative<CoordinatorHeartbeat>(body))
        return Step::Heartbeat;
    return std::visit(Overloaded {
                          [](const OpenJob &) { return Step::OpenJob; },
                          [](const RecordStarts &) { return Step::RecordStarts; },
                          [](const FinishJob &) { return Step::FinishJob; },
                          [](const TakeOverJob &) { return Step::TakeOverJob; },
                          [](const RefuseJob &) { return Step::RefuseJob; },
                          [](const AbandonJob &) { return Step::AbandonJob; },
                          [](const ExpireJobs &) { return Step::OpenJob; },
                      },
                      std::get<JournalCommand>(body));
}

Step stepOf(const PeerMessage &message)
{
    if (!message.starts.empty())
        return Step::PeerStart;
    if (!message.reports.empty())
        return Step::PeerReport;
    if (!message.cancelledAttempts.empty())
        return Step::PeerCancel;
    if (!message.probes.empty())
        return Step::PeerProbe;
    return message.isOffer ? Step::PeerOffer : Step::PeerNews;
}

std::string resultOf(const AttemptId &attempt)
{
    return attempt.job.str() + "#" + std::to_string(attempt.task);
}

} // namespace

const char *toString(Step step)
{
    static constexpr std::array<const char *, static_cast<std::size_t>(Step::Count)> names
        = { "PreVote",       "Vote",
            "VoteReply",     "Append",
            "AppendReply",   "Snapshot",
            "Join",          "DiskSync",
            "OpenJob",       "RecordStarts",
            "FinishJob",     "TakeOverJob",
            "RefuseJob",     "AbandonJob",
            "LookUpJob",     "Heartbeat",
            "JournalAnswer", "PeerStart",
            "PeerReport",    "PeerProbe",
            "PeerCancel",    "PeerOffer",
            "PeerNews",      "TargetStart",
            "TargetReport",  "Announce",
            "AnnounceReply", "AskTarget",
            "AskReply",      "Submit",
            "CallerAnswer",  "Cancel",
            "RulesUpdate",   "RulesAcknowledged",
            "FetchRules",    "Apply",
            "ApplyAnswer" };
    return names.at(static_cast<std::size_t>(step));
}

// ---- TargetProcess

TargetProcess::TargetProcess(Simulation &simulation, const std::string &name, std::string domain,
                             double speed)
    : Process(simulation.scheduler, simulation.network, name), speed(speed),
      domain(std::move(domain)), simulation(simulation), random(simulation.random())
{ }

void TargetProcess::start()
{
    if (this->isUp())
        return;
    this->markStarted();
    this->owner.clear();
    this->leaving = false;
    std::uniform_int_distribution<Duration::rep> phase(0, 500'000);
    this->scheduler.after(Duration(phase(this->random)), [this] { this->announce(); });
    this->repeat(600ms, [this] { this->announce(); });
}

void TargetProcess::kill()
{
    this->markStopped();
    this->running.clear();
    this->outcomes.clear();
    this->drawnLeaseIds.clear();
    this->previousOwners.clear();
}

void TargetProcess::makeConnectionsHalfOpen()
{
    for (auto &[attempt, task] : this->running)
        task.isSilent = true;
}

void TargetProcess::announce()
{
    if (!this->isUp() || this->isFrozen())
        return;
    const TimePoint now = this->scheduler.now();
    if (this->owner.empty() || now > this->ownerRespondedAt + 1500ms) {
        const std::vector<EntryProcess *> near = this->simulation.entriesOf(this->domain);
        this->isAssigned = false;
        this->ownerRespondedAt = now;
        std::uniform_int_distribution<std::size_t> any(0, near.size() - 1);
        this->switchOwner(near[any(this->random)]->name());
    }
    this->announceTo(this->owner, this->leaseId, true);
    for (const auto &[leaseId, entry] : this->previousOwners)
        this->announceTo(entry, leaseId, false);
}

void TargetProcess::switchOwner(const std::string &entry)
{
    if (!this->owner.empty())
        this->previousOwners[this->leaseId] = this->owner;
    this->owner = entry;
    this->leaseId = this->random() >> 1U;
    this->drawnLeaseIds.insert(this->leaseId);
    std::erase_if(this->previousOwners, [&](const auto &previous) {
        return std::ranges::none_of(
            this->running, [&](const auto &task) { return task.second.leaseId == previous.first; });
    });
}

void TargetProcess::announceTo(const std::string &entry, std::uint64_t leaseId, bool isCurrent)
{
    AnnouncementRequest request;
    request.announcement.target = TargetName(this->name());
    request.announcement.address = this->name();
    request.announcement.service = ServiceName("work");
    request.announcement.slots = this->simulation.options.slots;
    request.announcement.leaseId = leaseId;
    request.announcement.isLeaving = this->leaving || !isCurrent;
    request.isUnowned = isCurrent && !this->isAssigned;
    for (const auto &[attempt, task] : this->running)
        if (task.leaseId == leaseId)
            request.announcement.running.push_back(attempt);
    const auto reply = [this, entry, leaseId](const std::string &better) {
        this->simulation.network.send({ .step = Step::AnnounceReply,
                                        .from = entry,
                                        .to = this->name(),
                                        .latency = this->simulation.latency(entry, this->name()),
                                        .deliver = [this, entry, leaseId, better] {
                                            this->deliver([this, entry, leaseId, better] {
                                                if (leaseId != this->leaseId)
                                                    return;
                                                this->ownerRespondedAt = this->scheduler.now();
                                                this->isAssigned = true;
                                                if (!better.empty()) {
                                                    this->switchOwner(better);
                                                    this->announce();
                                                }
                                            });
                                        } });
    };
    const auto receive = [this, entry, request, reply] {
        EntryProcess *process = this->simulation.findEntry(entry);
        process->deliver([this, process, request, reply] {
            const TimePoint present = this->scheduler.now();
            const auto owner = process->dispatcher()->betterOwner(request, present);
            process->step([&](Dispatcher &dispatcher, TimePoint now, DispatchOutbox &out) {
                dispatcher.announce(request, now, out);
            });
            reply(owner ? owner->str() : "");
        });
    };
    this->network.send({ .step = Step::Announce,
                         .from = this->name(),
                         .to = entry,
                         .latency = this->simulation.latency(this->name(), entry),
                         .deliver = receive });
}

void TargetProcess::receive(const std::string &entry, const StartAttempt &command)
{
    const AttemptId &attempt = command.start.attempt;
    const bool isNew = !this->running.contains(attempt) && !this->outcomes.contains(attempt);
    // A duplicate of a request on the same connection is not a second start.
    if (!isNew)
        return;
    const bool isAccepted = command.leaseId == this->leaseId && entry == this->owner
        && !this->leaving && this->running.size() < this->simulation.options.slots;
    if (!isAccepted) {
        this->outcomes[attempt] = {};
        this->report(entry, { .attempt = attempt, .status = AttemptStatus::NotStarted });
        return;
    }
    const ObservedStart start
        = { .attempt = attempt, .target = this->name(), .at = this->scheduler.now() };
    if (this->simulation.recordsHistory)
        this->simulation.starts.push_back(start);
    if (this->simulation.onStart)
        this->simulation.onStart(start);
    this->running[attempt] = { .leaseId = command.leaseId };
    std::int64_t microseconds = 0;
    const std::string &payload = command.start.payload;
    std::from_chars(payload.data(), payload.data() + payload.size(), microseconds);
    Duration runTime = fromSeconds(static_cast<double>(microseconds) / 1e6 / this->speed);
    if (this->shouldFailAllTasks)
        runTime = 1ms;
    const std::uint64_t incarnation = this->incarnation;
    this->scheduler.after(runTime, [this, attempt, entry, incarnation] {
        this->finish(attempt, entry, incarnation);
    });
}

void TargetProcess::finish(const AttemptId &attempt, const std::string &entry,
                           std::uint64_t incarnation)
{
    if (this->incarnation != incarnation)
        return;
    this->deliver([this, attempt, entry] {
        const auto found = this->running.find(attempt);
        if (found == this->running.end())
            return;
        const bool isSilent = found->second.isSilent;
        this->running.erase(found);
        Outcome &outcome = this->outcomes[attempt];
        outcome.status
            = this->shouldFailAllTasks ? AttemptStatus::Failed : AttemptStatus::Succeeded;
        outcome.result = this->shouldFailAllTasks ? "failed" : resultOf(attempt);
        if (!isSilent)
            this->report(
                entry, { .attempt = attempt, .status = outcome.status, .result = outcome.result });
    });
}

void TargetProcess::report(const std::string &entry, const TaskReport &report)
{
    this->network.send({ .step = Step::TargetReport,
                         .from = this->name(),
                         .to = entry,
                         .latency = this->simulation.latency(this->name(), entry),
                         .deliver = [this, entry, report] {
                             EntryProcess *process = this->simulation.findEntry(entry);
                             process->deliver([process, report] {
                                 process->step(
                                     [&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                                         d.finishAttempt(report, now, out);
                                     });
                             });
                         } });
}

void TargetProcess::answerQuery(const std::string &entry, const QueryAttempt &query)
{
    if (this->running.contains(query.attempt))
        return;
    Outcome outcome = { .status = AttemptStatus::Lost };
    if (this->drawnLeaseIds.contains(query.leaseId))
        outcome = this->outcomes.try_emplace(query.attempt).first->second;
    const TaskReport report
        = { .attempt = query.attempt, .status = outcome.status, .result = outcome.result };
    this->network.send({ .step = Step::AskReply,
                         .from = this->name(),
                         .to = entry,
                         .latency = this->simulation.latency(this->name(), entry),
                         .deliver = [this, entry, report] {
                             EntryProcess *process = this->simulation.findEntry(entry);
                             process->deliver([process, report] {
                                 process->step(
                                     [&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                                         d.finishAttempt(report, now, out);
                                     });
                             });
                         } });
}

// ---- EntryProcess

EntryProcess::EntryProcess(Simulation &simulation, const std::string &name, std::string domain,
                           std::uint32_t index)
    : Process(simulation.scheduler, simulation.network, name), domain(std::move(domain)),
      simulation(simulation), index(index)
{ }

void EntryProcess::start()
{
    if (this->isUp())
        return;
    this->markStarted();
    DispatcherOptions options = this->simulation.options.dispatcher;
    const TimePoint now = this->scheduler.now();
    options.coordinator.self
        = { .node = NodeName(this->name()),
            .incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count()) };
    options.coordinator.admission.self = NodeName(this->name());
    options.coordinator.admission.entryIndex = this->index;
    options.coordinator.admission.entryCount
        = static_cast<std::uint32_t>(this->simulation.entries.size());
    options.peers.ownDomain = DomainName(this->domain);
    for (const auto &entry : this->simulation.entries)
        if (entry.get() != this)
            options.peers.peers.push_back(
                { .node = NodeName(entry->name()), .domain = DomainName(entry->domain) });
    for (const std::string &name : this->simulation.options.domains) {
        JournalGroup group = { .domain = DomainName(name) };
        for (int i = 1; i <= 3; ++i)
            group.members.emplace_back("journal-" + name + "-" + std::to_string(i));
        options.journals.groups.push_back(group);
    }
    this->core = std::make_unique<Dispatcher>(options);
    this->activeRules = std::make_unique<ActiveRules>(NodeName(this->name()));
    this->repeat(10ms, [this] {
        this->step([](Dispatcher &d, TimePoint time, DispatchOutbox &out) { d.tick(time, out); });
    });
    this->repeat(500ms, [this] {
        if (this->activeRules->status() != RulesStatus::Confirmed)
            this->simulation.sendFetchRules(this->name());
    });
}

void EntryProcess::kill()
{
    if (!this->isUp())
        return;
    this->markStopped();
    this->core.reset();
    this->activeRules.reset();
}

void EntryProcess::drain()
{
    if (this->isUp())
        this->step([](Dispatcher &d, TimePoint now, DispatchOutbox &out) { d.drain(now, out); });
}

void EntryProcess::step(const std::function<void(Dispatcher &, TimePoint, DispatchOutbox &)> &work)
{
    DispatchOutbox out;
    work(*this->core, this->scheduler.now(), out);
    this->execute(out);
}

void EntryProcess::receive(const RulesUpdate &update)
{
    const std::uint64_t previous = this->activeRules->file().version;
    const auto acknowledgement = this->activeRules->receive(update);
    if (this->activeRules->file().version != previous)
        this->step([this](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
            d.applyRules(this->activeRules->rules(), now, out);
        });
    if (acknowledgement)
        this->simulation.sendAcknowledgement(*acknowledgement);
}

void EntryProcess::execute(const DispatchOutbox &out)
{
    for (const TargetCommand &command : out.toTargets)
        std::visit(
            Overloaded {
                [this](const StartAttempt &c) { this->simulation.sendStart(this->name(), c); },
                [this](const QueryAttempt &c) { this->simulation.sendQuery(this->name(), c); },
            },
            command);
    for (const AddressedPeerMessage &item : out.toPeers)
        this->simulation.sendPeer(this->name(), item);
    for (const AddressedJournalRequest &item : out.toJournals)
        this->simulation.sendJournal(this->name(), item);
    for (const CallerAnswer &item : out.answers)
        this->simulation.answerCaller(this->name(), item);
}

// ---- Simulation

Simulation::Simulation(const SimulationOptions &options)
    : options(options), scheduler(simulationStart),
      network(this->scheduler, options.seed * 7919 + 1), random(options.seed)
{
    this->makeJournals();
    this->makeControls();
    this->makeEntriesAndTargets();
    const auto registerProcess = [this](Process *process, const std::string &domain) {
        this->byName[process->name()] = process;
        this->domainOf[process->name()] = domain;
        this->network.setDomain(process->name(), domain);
    };
    for (std::size_t i = 0; i < this->journals.size(); ++i)
        registerProcess(this->journals[i].get(), options.domains[i / 3]);
    for (std::size_t i = 0; i < this->controls.size(); ++i)
        registerProcess(this->controls[i].get(), options.domains[i % options.domains.size()]);
    for (const auto &entry : this->entries)
        registerProcess(entry.get(), entry->domain);
    for (const auto &target : this->targets)
        registerProcess(target.get(), target->domain);
}

DurableState Simulation::initialState(const std::string &node, const std::vector<NodeName> &group,
                                      const Bytes &state) const
{
    DurableState durable;
    durable.self = { .node = NodeName(node), .incarnation = 1 };
    durable.hardState.term = 1;
    durable.snapshot.index = 1;
    durable.snapshot.term = 1;
    durable.snapshot.state = state;
    for (const NodeName &member : group)
        durable.snapshot.membership
            = durable.snapshot.membership.with({ .id = { .node = member, .incarnation = 1 } });
    return durable;
}

void Simulation::makeJournals()
{
    for (const std::string &domain : this->options.domains) {
        std::vector<NodeName> group;
        for (int i = 1; i <= 3; ++i)
            group.emplace_back("journal-" + domain + "-" + std::to_string(i));
        for (const NodeName &name : group) {
            JournalProcess::Environment environment;
            JournalOptions journal;
            journal.replicated.entriesPerSnapshot = this->options.entriesPerSnapshot;
            journal.coordinatorLease = this->options.coordinatorLease;
            journal.abandonTimeout = this->options.abandonTimeout;
            environment.createNode = [this, journal](const DurableState &durable, TimePoint now) {
                return std::make_unique<JournalNode>(journal, durable, this->random(), now);
            };
            environment.replicaOutbox
                = [](JournalNode::Outbox &out) -> ReplicaOutbox & { return out.replica; };
            environment.send = [this](const ReplicaEnvelope &e) { this->sendReplica(e); };
            environment.sendResponses = [this, name](const JournalNode::Outbox &out) {
                this->sendResponses(name.str(), out);
            };
            environment.group = group;
            environment.syncTime = this->options.syncTime;
            this->journals.push_back(std::make_unique<JournalProcess>(
                this->scheduler, this->network, name.str(), environment, this->random()));
            const TimePoint createdAt = simulationStart - 1h;
            this->journals.back()->disk.format(
                this->initialState(name.str(), group, JournalState(createdAt).save()));
        }
    }
}

void Simulation::makeControls()
{
    std::vector<NodeName> group;
    for (int i = 1; i <= 3; ++i)
        group.emplace_back("control-" + std::to_string(i));
    ControlOptions control;
    control.replicated.entriesPerSnapshot = this->options.entriesPerSnapshot;
    for (std::uint32_t i = 0; i < this->options.entries; ++i) {
        const std::string &domain = this->options.domains[i % this->options.domains.size()];
        control.recipients.push_back(
            { .node = NodeName("entry-" + std::to_string(i + 1)), .domain = DomainName(domain) });
    }
    for (const NodeName &name : group) {
        ControlProcess::Environment environment;
        environment.createNode = [this, control](const DurableState &durable, TimePoint now) {
            return std::make_unique<ControlNode>(control, durable, this->random(), now);
        };
        environment.replicaOutbox
            = [](ControlNode::Outbox &out) -> ReplicaOutbox & { return out.log.replica; };
        environment.send = [this](const ReplicaEnvelope &e) { this->sendReplica(e); };
        environment.sendResponses = [this, name](const ControlNode::Outbox &out) {
            this->sendResponses(name.str(), out);
        };
        environment.group = group;
        environment.syncTime = this->options.syncTime;
        this->controls.push_back(std::make_unique<ControlProcess>(
            this->scheduler, this->network, name.str(), environment, this->random()));
        this->controls.back()->disk.format(
            this->initialState(name.str(), group, RulesState().save()));
    }
}

void Simulation::makeEntriesAndTargets()
{
    for (std::uint32_t i = 0; i < this->options.entries; ++i)
        this->entries.push_back(std::make_unique<EntryProcess>(
            *this, "entry-" + std::to_string(i + 1),
            this->options.domains[i % this->options.domains.size()], i));
    for (const std::string &domain : this->options.domains) {
        const std::uint32_t count = this->options.targetsPerDomain;
        for (std::uint32_t i = 0; i < count; ++i) {
            // The fastest target is 4 times as fast as the slowest.
            const double speed = count > 1 ? 0.5 + 1.5 * i / (count - 1) : 1.0;
            this->targets.push_back(std::make_unique<TargetProcess>(
                *this, "target-" + domain + "-" + std::to_string(i + 1), domain, speed));
        }
    }
}

void Simulation::start()
{
    for (const auto &process : this->journals)
        process->start();
    for (const auto &process : this->controls)
        process->start();
    for (const auto &process : this->entries)
        process->start();
    for (const auto &process : this->targets)
        process->start();
    this->run(3s);
}

void Simulation::submit(const JobRequest &request, std::size_t entry, int resubmissions)
{
    const std::uint64_t token = this->nextToken++;
    const TimePoint now = this->scheduler.now();
    this->callers[token] = { .request = request,
                             .entry = this->entries[entry % this->entries.size()]->name(),
                             .submittedAt = now,
                             .firstSubmittedAt = now,
                             .resubmissions = resubmissions };
    this->sendSubmission(token);
}

void Simulation::sendSubmission(std::uint64_t token)
{
    const Caller &caller = this->callers.at(token);
    const std::string name = caller.entry;
    const JobRequest request = caller.request;
    this->network.send({ .step = Step::Submit,
                         .from = "caller",
                         .to = name,
                         .latency = this->options.callerLatency,
                         .deliver = [this, name, request, token] {
                             EntryProcess *process = this->findEntry(name);
                             process->deliver([process, request, token] {
                                 process->step(
                                     [&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                                         d.submit({ .token = token, .request = request }, now, out);
                                     });
                             });
                         } });
    // A caller without an answer assumes that its job is lost and resubmits it at another entry
    // node.
    this->scheduler.at(request.deadline + 4s, [this, token] {
        const auto found = this->callers.find(token);
        if (found == this->callers.end())
            return;
        Caller again = found->second;
        this->callers.erase(found);
        if (again.resubmissions == 0)
            return;
        --again.resubmissions;
        const TimePoint now = this->scheduler.now();
        again.request.deadline = now + 8s;
        again.submittedAt = now;
        std::uniform_int_distribution<std::size_t> any(0, this->entries.size() - 1);
        again.entry = this->entries[any(this->random)]->name();
        const std::uint64_t next = this->nextToken++;
        this->callers[next] = again;
        this->sendSubmission(next);
    });
}

void Simulation::cancel(const JobId &id, std::size_t entry)
{
    EntryProcess *process = this->entries[entry % this->entries.size()].get();
    this->network.send({ .step = Step::Cancel,
                         .from = "caller",
                         .to = process->name(),
                         .latency = this->options.callerLatency,
                         .deliver = [process, id] {
                             process->deliver([process, id] {
                                 process->step(
                                     [&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                                         d.cancel(id, now, out);
                                     });
                             });
                         } });
}

void Simulation::apply(const ApplyRules &command, std::size_t controlNode)
{
    ControlProcess *process = this->controls[controlNode % this->controls.size()].get();
    this->network.send({ .step = Step::Apply,
                         .from = "operator",
                         .to = process->name(),
                         .latency = this->options.callerLatency,
                         .deliver = [process, command] {
                             process->deliver([process, command] {
                                 process->handle([command](ControlNode &node, TimePoint now,
                                                           ControlNode::Outbox &out) {
                                     node.apply({ .node = NodeName(command.applyId) }, command, now,
                                                out);
                                 });
                             });
                         } });
}

JobRequest Simulation::makeJob(const std::string &home, std::size_t tasks,
                               Repeatability repeatability, Duration deadline)
{
    std::lognormal_distribution<double> seconds(-1.5, 0.7);
    JobRequest request;
    request.id
        = JobId(DomainName(home), this->scheduler.now(), "j" + std::to_string(this->nextJob++));
    request.service = ServiceName("work");
    request.team = TeamName("team");
    request.repeatability = repeatability;
    if (!request.isRepeatable())
        this->nonRepeatableJobs.insert(request.id);
    request.deadline = this->scheduler.now() + deadline;
    for (std::size_t i = 0; i < tasks; ++i) {
        const double time = std::min(seconds(this->random), 2.0);
        request.payloads.push_back(std::to_string(static_cast<std::int64_t>(time * 1e6)));
    }
    return request;
}

void Simulation::sendPeer(const std::string &from, const AddressedPeerMessage &item)
{
    const std::string to = item.to.str();
    // As with gRPC: a call across a cut link ends with its timeout, and a stopped process refuses
    // the connection at once.
    constexpr Duration callTimeout = 2s;
    if (this->network.isCut(from, to))
        this->reportBrokenLink(from, to, callTimeout);
    this->network.send({ .step = stepOf(item.message),
                         .from = from,
                         .to = to,
                         .latency = this->latency(from, to),
                         .deliver = [this, from, to, message = item.message] {
                             EntryProcess *process = this->findEntry(to);
                             if (!process->isUp())
                                 this->reportBrokenLink(from, to, this->latency(from, to));
                             process->deliver([process, message] {
                                 process->step(
                                     [&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                                         d.receive(message, now, out);
                                     });
                             });
                         } });
}

void Simulation::reportBrokenLink(const std::string &from, const std::string &to, Duration delay)
{
    this->scheduler.after(delay, [this, from, to] {
        EntryProcess *process = this->findEntry(from);
        process->deliver([process, to] {
            process->step([&](Dispatcher &d, TimePoint now, DispatchOutbox &out) {
                d.handleBrokenLink(NodeName(to), now, out);
            });
        });
    });
}

void Simulation::sendJournal(const std::string &from, const AddressedJournalRequest &item)
{
    const std::string to = item.to.str();
    this->network.send({ .step = stepOf(item.request.body),
                         .from = from,
                         .to = to,
                         .latency = this->latency(from, to),
                         .deliver = [this, to, request = item.request] {
                             auto *process = static_cast<JournalProcess *>(this->find(to));
                             process->deliver([process, request] {
                                 process->handle([request](JournalNode &node, TimePoint now,
                                                           JournalNode::Outbox &out) {
                                     node.receive(request, now, out);
                                 });
                             });
                         } });
}

void Simulation::sendStart(const std::string &from, const StartAttempt &command)
{
    const std::string to = command.target.str();
    this->network.send({ .step = Step::TargetStart,
                         .from = from,
                         .to = to,
                         .latency = this->latency(from, to),
                         .deliver = [this, from, to, command] {
                             TargetProcess *target = this->findTarget(to);
                             target->deliver(
                                 [target, from, command] { target->receive(from, command); });
                         } });
}

void Simulation::sendQuery(const std::string &from, const QueryAttempt &query)
{
    const std::string to = query.target.str();
    this->network.send({ .step = Step::AskTarget,
                         .from = from,
                         .to = to,
                         .latency = this->latency(from, to),
                         .deliver = [this, from, to, query] {
                             TargetProcess *target = this->findTarget(to);
                             target->deliver(
                                 [target, from, query] { target->answerQuery(from, query); });
                         } });
}

void Simulation::sendAcknowledgement(const RulesAcknowledgement &acknowledgement)
{
    for (const auto &control : this->controls)
        this->network.send({ .step = Step::RulesAcknowledged,
                             .from = acknowledgement.node.str(),
                             .to = control->name(),
                             .latency = this->latency(acknowledgement.node.str(), control->name()),
                             .deliver = [process = control.get(), acknowledgement] {
                                 process->deliver([process, acknowledgement] {
                                     process->handle([acknowledgement](ControlNode &node,
                                                                       TimePoint now,
                                                                       ControlNode::Outbox &out) {
                                         node.receive(acknowledgement, now, out);
                                     });
                                 });
                             } });
}

void Simulation::sendFetchRules(const std::string &from)
{
    for (const auto &control : this->controls)
        this->network.send({ .step = Step::FetchRules,
                             .from = from,
                             .to = control->name(),
                             .latency = this->latency(from, control->name()),
                             .deliver = [process = control.get(), from] {
                                 process->deliver([process, from] {
                                     process->handle([from](ControlNode &node, TimePoint now,
                                                            ControlNode::Outbox &out) {
                                         node.receive(FetchRules { .node = NodeName(from) }, now,
                                                      out);
                                     });
                                 });
                             } });
}

void Simulation::answerCaller(const std::string &entry, const CallerAnswer &item)
{
    this->network.send({ .step = Step::CallerAnswer,
                         .from = entry,
                         .to = "caller",
                         .latency = this->options.callerLatency,
                         .deliver = [this, item] {
                             const auto found = this->callers.find(item.token);
                             if (found == this->callers.end())
                                 return;
                             const ObservedAnswer answer
                                 = { .request = found->second.request,
                                     .answer = item.answer,
                                     .submittedAt = found->second.submittedAt,
                                     .at = this->scheduler.now() };
                             this->callers.erase(found);
                             if (this->recordsHistory)
                                 this->answers.push_back(answer);
                             if (this->onAnswer)
                                 this->onAnswer(answer);
                         } });
}

void Simulation::sendResponses(const std::string &from, const JournalNode::Outbox &out)
{
    for (const JournalResponse &answer : out.responses) {
        const std::string to = answer.request.node.str();
        if (to.empty())
            continue;
        this->network.send({ .step = Step::JournalAnswer,
                             .from = from,
                             .to = to,
                             .latency = this->latency(from, to),
                             .deliver = [this, to, answer] {
                                 EntryProcess *process = this->findEntry(to);
                                 process->deliver([process, answer] {
                                     process->step(
                                         [&](Dispatcher &d, TimePoint now, DispatchOutbox &outbox) {
                                             d.receive(answer, now, outbox);
                                         });
                                 });
                             } });
    }
}

void Simulation::sendResponses(const std::string &from, const ControlNode::Outbox &out)
{
    for (const AddressedUpdate &item : out.updates) {
        const std::string to = item.to.str();
        this->network.send({ .step = Step::RulesUpdate,
                             .from = from,
                             .to = to,
                             .latency = this->latency(from, to),
                             .deliver = [this, to, update = item.update] {
                                 EntryProcess *process = this->findEntry(to);
                                 process->deliver([process, update] { process->receive(update); });
                             } });
    }
    for (const ApplyResponse &report : out.applyResponses) {
        const bool accepted = report.reply && report.reply->status == ApplyStatus::Accepted;
        this->network.send({ .step = Step::ApplyAnswer,
                             .from = from,
                             .to = "operator",
                             .latency = this->options.callerLatency,
                             .deliver = [this, report, accepted] {
                                 if (accepted)
                                     this->acceptedRules[report.reply->version]
                                         = report.request.node.str();
                             } });
    }
}

void Simulation::sendReplica(const ReplicaEnvelope &envelope)
{
    const std::string from = envelope.from.node.str();
    const std::string to = envelope.to.str();
    const auto deliver = [this, to, envelope] {
        Process *process = this->find(to);
        process->deliver([process, envelope] {
            if (auto *journal = dynamic_cast<JournalProcess *>(process))
                journal->handle(
                    [envelope](JournalNode &node, TimePoint now, JournalNode::Outbox &out) {
                        node.receive(envelope, now, out);
                    });
            if (auto *control = dynamic_cast<ControlProcess *>(process))
                control->handle(
                    [envelope](ControlNode &node, TimePoint now, ControlNode::Outbox &out) {
                        node.receive(envelope, now, out);
                    });
        });
    };
    this->network.send({ .step = Fake::stepOf(envelope.message),
                         .from = from,
                         .to = to,
                         .latency = this->latency(from, to),
                         .deliver = deliver });
}

Duration Simulation::latency(const std::string &from, const std::string &to) const
{
    const auto a = this->domainOf.find(from);
    const auto b = this->domainOf.find(to);
    const bool isNear
        = a != this->domainOf.end() && b != this->domainOf.end() && a->second == b->second;
    return isNear ? this->options.intraDomainLatency : this->options.interDomainLatency;
}

Process *Simulation::find(const std::string &name)
{
    const auto found = this->byName.find(name);
    return found == this->byName.end() ? nullptr : found->second;
}

EntryProcess *Simulation::findEntry(const std::string &name)
{
    return static_cast<EntryProcess *>(this->byName.at(name));
}

TargetProcess *Simulation::findTarget(const std::string &name)
{
    return static_cast<TargetProcess *>(this->byName.at(name));
}

std::vector<EntryProcess *> Simulation::entriesOf(const std::string &domain)
{
    std::vector<EntryProcess *> found;
    for (const auto &entry : this->entries)
        if (entry->domain == domain)
            found.push_back(entry.get());
    return found;
}

std::vector<std::string> Simulation::violations() const
{
    std::vector<std::string> found;
    std::map<std::pair<JobId, std::uint32_t>, int> startCounts;
    for (const ObservedStart &start : this->starts)
        ++startCounts[{ start.attempt.job, start.attempt.task }];
    for (const ObservedAnswer &item : this->answers) {
        const JobId &id = item.request.id;
        const bool isNonRepeatable = !item.request.isRepeatable();
        bool isComplete = item.answer.tasks.size() == item.request.taskCount();
        if (!isComplete)
            found.push_back(id.str() + ": the answer does not have one outcome per task");
        for (std::uint32_t i = 0; i < item.answer.tasks.size(); ++i) {
            const TaskOutcome &task = item.answer.tasks[i];
            const auto count = startCounts.find({ id, i });
            const int starts = count == startCounts.end() ? 0 : count->second;
            const std::string name = id.str() + "#" + std::to_string(i);
            if (isNonRepeatable && task.fate == TaskFate::NotRun && starts > 0)
                found.push_back(name + ": reported as not run, but was started");
            if (task.fate == TaskFate::Ran && starts == 0)
                found.push_back(name + ": reported as ran, but was never started");
            if (task.succeeded && task.result != name)
                found.push_back(name + ": has the result of " + task.result);
            isComplete = isComplete && task.succeeded;
        }
        if ((item.answer.state == JobState::Complete) != isComplete)
            found.push_back(id.str() + ": the job state contradicts the outcomes of the tasks");
    }
    for (const auto &[key, count] : startCounts) {
        if (this->nonRepeatableJobs.contains(key.first) && count > 1)
            found.push_back(key.first.str() + "#" + std::to_string(key.second) + ": started "
                            + std::to_string(count) + " times");
    }
    return found;
}

} // namespace Hibiscus::Fake
