#pragma once

#include "Hibiscus/src/Replication/Replica.h"

#include <concepts>

namespace Hibiscus {

/** \brief A deterministic state machine that a replication group can carry. */
template<typename Machine>
concept StateMachine
    = requires(Machine machine, const typename Machine::CommandType &command, const Bytes &bytes)
{
    {
        machine.apply(command)
        } -> std::same_as<typename Machine::ReplyType>;
    {
        machine.save()
        } -> std::same_as<Bytes>;
    {
        machine.size()
        } -> std::convertible_to<std::uint64_t>;
    { machine.restore(bytes) };
};

/** \brief Where the answer to a command goes: the asking node and its own request number. */
struct RequestId
{
    NodeName node;
    std::uint64_t number = 0;

    auto operator<=>(const RequestId &other) const = default;
    HIBISCUS_FIELDS(node, number)
};

/** \brief The outcome of a request to a replicated state machine. */
template<typename Reply>
struct ReplicatedResponse
{
    RequestId request;
    std::optional<Reply> reply; ///< empty when this member is not the leader
    std::optional<NodeName> leader; ///< where to ask instead, if known

    HIBISCUS_FIELDS(request, reply, leader)
};

/** \brief A state machine behind a replicated log, with its snapshots.
 *
 * \tparam Machine the state machine
 * \sa Replica
 */
template<StateMachine Machine>
class Replicated
{
public:
    using CommandType = typename Machine::CommandType;
    using ReplyType = typename Machine::ReplyType;
    using Response = ReplicatedResponse<ReplyType>;

    /** \brief What a step asks of the process, on top of the replica's own outbox. */
    struct Outbox
    {
        ReplicaOutbox replica;
        std::vector<Response> responses; ///< leave after the sync
    };

    struct Options
    {
        ReplicaOptions replica;
        std::uint64_t entriesPerSnapshot = 4096;
    };

    Replicated(const Options &options, const DurableState &durable, std::uint64_t seed,
               TimePoint now)
        : options(options), core(options.replica, durable, seed, now)
    {
        if (!durable.snapshot.state.empty())
            this->state.restore(durable.snapshot.state);
        this->appliedIndex = durable.snapshot.index;
    }

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
    {
        this->core.receive(envelope, now, out.replica);
        this->settle(out);
    }

    void tick(TimePoint now, Outbox &out)
    {
        this->core.tick(now, out.replica);
        this->settle(out);
    }

    /** \brief Commits \a command and answers \a request once it is applied. */
    void submit(const RequestId &request, const CommandType &command, TimePoint now, Outbox &out)
    {
        if (!this->core.isLeader()) {
            out.responses.push_back(this->redirect(request));
            return;
        }
        this->core.propose({ encode(command) }, now, out.replica);
        this->waiting[this->core.lastIndex()] = { .request = request, .term = this->core.term() };
        this->settle(out);
    }

    /** \brief Confirms \a token when this member may answer reads; see Outbox::replica. */
    void requestRead(std::uint64_t token, TimePoint now, Outbox &out)
    {
        this->core.requestRead(token, now, out.replica);
        this->settle(out);
    }

    void requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
    {
        this->core.requestJoin(nodes, out.replica);
    }

    void stepDown(TimePoint now) { this->core.stepDown(now); }

    // Queries.
    const Replica &replica() const { return this->core; }
    const Machine &stateMachine() const { return this->state; }
    Machine &stateMachine() { return this->state; }

    /** \returns an answer that sends the asker of \a request to the leader. */
    Response redirect(const RequestId &request) const
    {
        Response answer;
        answer.request = request;
        if (this->core.leader() && *this->core.leader() != this->core.self())
            answer.leader = this->core.leader()->node;
        return answer;
    }

private:
    struct Waiting
    {
        RequestId request;
        std::uint64_t term = 0;
    };

    void settle(Outbox &out)
    {
        if (out.replica.restored) {
            this->state.restore(out.replica.restored->state);
            this->appliedIndex = out.replica.restored->index;
            this->waiting.clear();
            out.replica.restored.reset();
        }
        for (const LogEntry &entry : out.replica.committed)
            this->applyEntry(entry, out);
        out.replica.committed.clear();
        if (!this->core.isLeader())
            this->dropWaiting(out);
        // A large state is saved less often, so that snapshots stay a fixed share of the writes.
        const std::uint64_t threshold
            = std::max<std::uint64_t>(this->options.entriesPerSnapshot, 2 * this->state.size());
        if (this->core.logSize() >= threshold)
            this->core.compact(this->appliedIndex, this->state.save(), out.replica);
    }

    void applyEntry(const LogEntry &entry, Outbox &out)
    {
        HIBISCUS_INVARIANT(entry.index == this->appliedIndex + 1,
                           "entries are applied in order, each once");
        this->appliedIndex = entry.index;
        const auto *command = std::get_if<Command>(&entry.body);
        if (command == nullptr)
            return;
        const Result<CommandType> decoded = decode<CommandType>(command->bytes);
        HIBISCUS_INVARIANT(decoded.has_value(), "a committed command can be decoded");
        const ReplyType reply = this->state.apply(*decoded);
        const auto found = this->waiting.find(entry.index);
        if (found == this->waiting.end())
            return;
        // Another leader's entry at this index says nothing about the request that waits here.
        if (found->second.term == entry.term)
            out.responses.push_back({ .request = found->second.request, .reply = reply });
        this->waiting.erase(found);
    }

    // A former leader cannot tell whether what it proposed will be committed: the asker asks
    // again, and commands are idempotent.
    void dropWaiting(Outbox &out)
    {
        for (const auto &[index, item] : this->waiting)
            out.responses.push_back(this->redirect(item.request));
        this->waiting.clear();
    }

    Options options;
    Replica core;
    Machine state;
    std::uint64_t appliedIndex = 0;
    std::map<std::uint64_t, Waiting> waiting;
};

} // namespace Hibiscus
