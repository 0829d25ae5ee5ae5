#pragma once

#include "test/support/Network.h"

#include <Hibiscus/Replication>

namespace Hibiscus::Fake {

/** \brief A simulated process that can be killed, frozen (paused) and thawed (resumed). */
class Process
{
public:
    Process(Scheduler &scheduler, Network &network, std::string name)
        : scheduler(scheduler), network(network), processName(std::move(name))
    { }
    virtual ~Process() = default;

    virtual void start() = 0;
    virtual void kill() = 0;

    void freeze() { this->frozen = true; }

    void thaw()
    {
        this->frozen = false;
        for (const auto &work : std::exchange(this->backlog, {}))
            if (this->isUp())
                work();
    }

    /** \brief Runs \a work now; after thaw() if the process is frozen, never if it is down. */
    void deliver(const std::function<void()> &work)
    {
        if (!this->isUp())
            return;
        if (this->frozen)
            this->backlog.push_back(work);
        else
            work();
    }

    const std::string &name() const { return this->processName; }
    bool isUp() const { return this->up; }
    bool isFrozen() const { return this->frozen; }

protected:
    /** \brief Repeats \a work every \a interval until this incarnation ends. */
    void repeat(Duration interval, const std::function<void()> &work)
    {
        const std::uint64_t incarnation = this->incarnation;
        this->scheduler.after(interval, [this, interval, work, incarnation] {
            if (!this->up || this->incarnation != incarnation)
                return;
            if (!this->frozen)
                work();
            this->repeat(interval, work);
        });
    }

    void markStarted()
    {
        this->up = true;
        this->frozen = false;
        ++this->incarnation;
    }

    void markStopped()
    {
        this->up = false;
        this->frozen = false;
        this->backlog.clear();
    }

    Scheduler &scheduler;
    Network &network;
    std::uint64_t incarnation = 0;

private:
    std::string processName;
    std::vector<std::function<void()>> backlog;
    bool up = false;
    bool frozen = false;
};

/** \brief A simulated disk; a crash may lose any suffix of the unsynced writes. */
class Disk
{
public:
    void format(const DurableState &state)
    {
        this->synced = state;
        this->pending.clear();
        this->formatted = true;
    }

    void write(const std::vector<StorageWrite> &writes)
    {
        this->pending.insert(this->pending.end(), writes.begin(), writes.end());
    }

    void sync()
    {
        for (const StorageWrite &write : this->pending)
            applyWrite(write, this->synced);
        this->pending.clear();
    }

    /** \brief Simulates a crash: a random prefix of the unsynced writes reaches the disk. */
    void crash(std::mt19937_64 &random)
    {
        std::uniform_int_distribution<std::size_t> count(0, this->pending.size());
        this->pending.resize(count(random));
        this->sync();
    }

    void wipe()
    {
        this->formatted = false;
        this->pending.clear();
    }

    bool isFormatted() const { return this->formatted; }
    const DurableState &state() const { return this->synced; }

private:
    DurableState synced;
    std::vector<StorageWrite> pending;
    bool formatted = false;
};

inline Step stepOf(const ReplicaMessage &message)
{
    return std::visit(Overloaded {
                          [](const VoteRequest &request) {
                              return request.kind == VoteKind::PreVote ? Step::PreVote : Step::Vote;
                          },
                          [](const VoteReply &) { return Step::VoteReply; },
                          [](const AppendRequest &) { return Step::Append; },
                          [](const SnapshotRequest &) { return Step::Snapshot; },
                          [](const AppendReply &) { return Step::AppendReply; },
                          [](const JoinRequest &) { return Step::Join; },
                          [](const LeaveRequest &) { return Step::Join; },
                      },
                      message);
}

/** \brief The simulated process of a replica; \a Node is a JournalNode or a ControlNode.
 *
 * Events that arrive during a sync are queued, and then share the next sync, as on a real disk.
 */
template<typename Node>
class ReplicaProcess : public Process
{
public:
    using Outbox = typename Node::Outbox;
    using CreateNode = std::function<std::unique_ptr<Node>(const DurableState &, TimePoint)>;
    using SendResponses = std::function<void(const Outbox &)>;
    using SendReplica = std::function<void(const ReplicaEnvelope &)>;

    struct Environment
    {
        CreateNode createNode;
        std::function<ReplicaOutbox &(Outbox &)> replicaOutbox;
        SendReplica send;
        SendResponses sendResponses; ///< sends the responses, after the sync
        std::vector<NodeName> group;
        Duration syncTime = 5ms;
    };

    ReplicaProcess(Scheduler &scheduler, Network &network, const std::string &name,
                   Environment environment, std::uint64_t seed)
        : Process(scheduler, network, name), environment(std::move(environment)), random(seed)
    { }

    void start() override
    {
        if (this->isUp())
            return;
        if (!this->disk.isFormatted()) {
            DurableState empty;
            empty.self = { .node = NodeName(this->name()), .incarnation = this->random() | 2U };
            this->disk.format(empty);
        }
        this->markStarted();
        this->isSyncing = false;
        this->queuedWork.clear();
        this->node = this->environment.createNode(this->disk.state(), this->scheduler.now());
        this->repeat(10ms, [this] {
            this->handle([](Node &n, TimePoint now, Outbox &out) { n.tick(now, out); });
        });
        this->repeat(500ms, [this] {
            this->handle([this](Node &n, TimePoint, Outbox &out) {
                n.requestJoin(this->environment.group, out);
            });
        });
    }

    void kill() override
    {
        if (!this->isUp())
            return;
        this->markStopped();
        this->disk.crash(this->random);
        this->node.reset();
    }

    void wipe()
    {
        this->kill();
        this->disk.wipe();
    }

    using Work = std::function<void(Node &, TimePoint, Outbox &)>;

    void handle(const Work &work)
    {
        this->queuedWork.push_back(work);
        this->processQueue();
    }

    Node *get() { return this->node.get(); }
    Disk disk;

private:
    void processQueue()
    {
        if (this->isSyncing || !this->isUp())
            return;
        Outbox out;
        for (const Work &work : std::exchange(this->queuedWork, {}))
            work(*this->node, this->scheduler.now(), out);
        ReplicaOutbox &replica = this->environment.replicaOutbox(out);
        for (const ReplicaEnvelope &envelope : replica.sendBeforeSync)
            this->environment.send(envelope);
        if (replica.writes.empty()) {
            this->sendOutput(out);
            return;
        }
        this->disk.write(replica.writes);
        this->isSyncing = true;
        const std::uint64_t incarnation = this->incarnation;
        const auto done = [this, out, incarnation] {
            if (this->incarnation != incarnation || !this->isUp())
                return;
            this->deliver([this, out, incarnation] {
                if (this->incarnation != incarnation)
                    return;
                this->disk.sync();
                this->isSyncing = false;
                Outbox copy = out;
                this->sendOutput(copy);
                if (!this->queuedWork.empty())
                    this->processQueue();
            });
        };
        this->network.send({ .step = Step::DiskSync,
                             .from = this->name(),
                             .to = this->name(),
                             .latency = this->environment.syncTime,
                             .deliver = done });
    }

    void sendOutput(Outbox &out)
    {
        for (const ReplicaEnvelope &envelope : this->environment.replicaOutbox(out).sendAfterSync)
            this->environment.send(envelope);
        this->environment.sendResponses(out);
    }

    Environment environment;
    std::mt19937_64 random;
    std::unique_ptr<Node> node;
    std::vector<Work> queuedWork;
    bool isSyncing = false;
};

} // namespace Hibiscus::Fake
