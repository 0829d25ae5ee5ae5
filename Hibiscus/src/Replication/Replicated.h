#pragma once

#include "Hibiscus/src/Replication/Replica.h"

#include <concepts>

namespace Hibiscus {

/** \brief A deterministic state machine that a replication group can run. */
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
    { machine.restore(bytes) };
};

/** \brief Identifies a request, for routing its response: the requesting node and that node's own
 * request number.
 */
struct RequestId
{
    NodeName node;
    std::uint64_t number = 0;

    auto operator<=>(const RequestId &other) const = default;
    HIBISCUS_FIELDS(node, number)
};

/** \brief The response to a request to a replicated state machine. */
template<typename Reply>
struct ReplicatedResponse
{
    RequestId request;
    std::optional<Reply> reply; ///< no value if this member is not the leader
    std::optional<NodeName> leader; ///< node to send the request to instead, if known

    HIBISCUS_FIELDS(request, reply, leader)
};

/** \brief A state machine driven by a replicated log, with snapshots and log compaction.
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

    /** \brief The output of a step: the replica's outbox, and responses to requests. */
    struct Outbox
    {
        ReplicaOutbox replica;
        std::vector<Response> responses; ///< to be sent after the sync
    };

    /** \brief Timing of the replica, and when its log is compacted.
     *
     * A snapshot is due once the applied part of the log has one of the two sizes below, and twice
     * the size of the last snapshot.
     */
    struct Options
    {
        ReplicaOptions replica;
        std::uint64_t entriesPerSnapshot = 4096;
        std::size_t bytesPerSnapshot = 4'000'000;
    };

    Replicated(const Options &options, const DurableState &durable, std::uint64_t seed,
               TimePoint now)
        : options(options), localReplica(options.replica, durable, seed, now)
    {
        if (!durable.snapshot.state.empty())
            this->state.restore(durable.snapshot.state);
        this->appliedIndex = durable.snapshot.index;
    }

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out)
    {
        this->localReplica.receive(envelope, now, out.replica);
        this->processReplicaOutput(out);
    }

    void tick(TimePoint now, Outbox &out)
    {
        this->localReplica.tick(now, out.replica);
        this->processReplicaOutput(out);
    }

    /** \brief Proposes \a command, and responds to \a request once it is committed and applied. */
    void submit(const RequestId &request, const CommandType &command, TimePoint now, Outbox &out)
    {
        if (!this->localReplica.isLeader()) {
            out.responses.push_back(this->redirect(request));
            return;
        }
        this->localReplica.propose({ encode(command) }, now, out.replica);
        this->pendingRequests[this->localReplica.lastIndex()]
            = { .request = request, .term = this->localReplica.term() };
        this->processReplicaOutput(out);
    }

    /** \brief Starts a quorum-confirmed read; ReplicaOutbox::confirmedReads holds \a token once the
     * state machine may be read.
     */
    void requestRead(std::uint64_t token, TimePoint now, Outbox &out)
    {
        this->localReplica.requestRead(token, now, out.replica);
        this->processReplicaOutput(out);
    }

    void requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const
    {
        this->localReplica.requestJoin(nodes, out.replica);
    }

    void requestLeave(Outbox &out) const { this->localReplica.requestLeave(out.replica); }

    void stepDown(TimePoint now) { this->localReplica.stepDown(now); }

    /** \brief Suspends the replica, whose latest writes are not durable: answers all requests, also
     * those whose responses are in \a out, without a reply.
     */
    void suspend(TimePoint now, Outbox &out)
    {
        this->localReplica.suspend(now);
        for (Response &response : out.responses)
            response = this->redirect(response.request);
        this->redirectPendingRequests(out);
    }

    // Queries.
    const Replica &replica() const { return this->localReplica; }
    const Machine &stateMachine() const { return this->state; }
    Machine &stateMachine() { return this->state; }

    /** \returns a response that redirects the sender of \a request to the leader. */
    Response redirect(const RequestId &request) const
    {
        Response response;
        response.request = request;
        if (this->localReplica.leader()
            && *this->localReplica.leader() != this->localReplica.self())
            response.leader = this->localReplica.leader()->node;
        return response;
    }

private:
    /** \brief A request whose command was proposed but is not yet applied; keyed by log index. */
    struct PendingRequest
    {
        RequestId request;
        std::uint64_t term = 0;
    };

    void processReplicaOutput(Outbox &out)
    {
        if (out.replica.restoredSnapshot) {
            this->state.restore(out.replica.restoredSnapshot->state);
            this->appliedIndex = out.replica.restoredSnapshot->index;
            this->appliedBytes = 0;
            this->pendingRequests.clear();
            out.replica.restoredSnapshot.reset();
        }
        for (const LogEntry &entry : out.replica.committedEntries)
            this->applyEntry(entry, out);
        out.replica.committedEntries.clear();
        if (!this->localReplica.isLeader())
            this->redirectPendingRequests(out);
        if (this->isSnapshotDue()) {
            this->localReplica.compact(this->appliedIndex, this->state.save(), out.replica);
            this->appliedBytes = 0;
        }
    }

    // A large state is saved less often, so that the cost of snapshots stays a fixed share of the
    // writes. The state may grow with each entry, so it is the last snapshot that counts.
    bool isSnapshotDue() const
    {
        const std::uint64_t entries = this->appliedIndex - this->localReplica.snapshotIndex();
        return this->appliedBytes >= 2 * this->localReplica.snapshotBytes()
            && (entries >= this->options.entriesPerSnapshot
                || this->appliedBytes >= this->options.bytesPerSnapshot);
    }

    void applyEntry(const LogEntry &entry, Outbox &out)
    {
        HIBISCUS_INVARIANT(entry.index == this->appliedIndex + 1,
                           "entries are applied in order, each once");
        this->appliedIndex = entry.index;
        this->appliedBytes += sizeOf(entry);
        const auto *command = std::get_if<Command>(&entry.body);
        if (command == nullptr)
            return;
        const Result<CommandType> decoded = decode<CommandType>(command->bytes);
        HIBISCUS_INVARIANT(decoded.has_value(), "a committed command can be decoded");
        const ReplyType reply = this->state.apply(*decoded);
        const auto found = this->pendingRequests.find(entry.index);
        if (found == this->pendingRequests.end())
            return;
        // An entry of another term at this index is not the command of the pending request.
        if (found->second.term == entry.term)
            out.responses.push_back({ .request = found->second.request, .reply = reply });
        this->pendingRequests.erase(found);
    }

    // A deposed leader does not know whether its proposals will be committed. The client retries,
    // which is safe because commands are idempotent.
    void redirectPendingRequests(Outbox &out)
    {
        for (const auto &[index, item] : this->pendingRequests)
            out.responses.push_back(this->redirect(item.request));
        this->pendingRequests.clear();
    }

    Options options;
    Replica localReplica;
    Machine state;
    std::uint64_t appliedIndex = 0;
    std::size_t appliedBytes = 0; ///< size of the applied entries behind the last snapshot
    std::map<std::uint64_t, PendingRequest> pendingRequests;
};

} // namespace Hibiscus
