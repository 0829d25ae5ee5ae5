#pragma once

#include <Hibiscus/Replication>

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

namespace Hibiscus::Fake {

/** \brief Replicas that exchange messages without delay. */
class ReplicaGroup
{
public:
    explicit ReplicaGroup(const std::vector<const char *> &names,
                          const ReplicaOptions &options = {})
        : options(options)
    {
        DurableState durable;
        for (const char *name : names)
            durable.snapshot.membership.members.push_back(
                { .id = { .node = NodeName(name), .incarnation = 1 } });
        for (const Member &member : durable.snapshot.membership.members) {
            durable.self = member.id;
            this->replicas.try_emplace(member.id.node, this->options, durable,
                                       this->replicas.size() + 1, this->now);
        }
    }

    Replica &leader()
    {
        for (int i = 0; i < 10'000; ++i) {
            for (auto &[name, replica] : this->replicas)
                if (replica.isLeader())
                    return replica;
            this->step();
        }
        throw std::runtime_error("no leader is elected");
    }

    void step()
    {
        this->now += 10ms;
        ReplicaOutbox out;
        for (auto &[name, replica] : this->replicas) {
            replica.tick(this->now, out);
            if (!replica.isMember())
                replica.requestJoin(this->names(), out);
            if (this->leaving.contains(name))
                replica.requestLeave(out);
        }
        this->deliver(std::move(out));
    }

    void run(Duration span)
    {
        for (const TimePoint end = this->now + span; this->now < end;)
            this->step();
    }

    /** \brief The node \a name loses its disk, and is back at once. */
    void loseDisk(const NodeName &name)
    {
        DurableState empty;
        empty.self = { .node = name, .incarnation = this->nextIncarnation++ };
        this->replicas.erase(name);
        this->replicas.try_emplace(name, this->options, empty, empty.self.incarnation, this->now);
    }

    std::vector<NodeName> names() const
    {
        std::vector<NodeName> names;
        for (const auto &[name, replica] : this->replicas)
            names.push_back(name);
        return names;
    }

    static std::size_t voterNodes(const GroupMembership &membership)
    {
        std::set<NodeName> nodes;
        for (const Member &member : membership.members)
            if (member.role == MemberRole::Voter)
                nodes.insert(member.id.node);
        return nodes.size();
    }

    /** \returns the voters that are the present members of their nodes. */
    std::size_t presentVoters(const GroupMembership &membership) const
    {
        return std::ranges::count_if(this->replicas, [&](const auto &item) {
            return membership.isVoter(item.second.self());
        });
    }

    void deliver(ReplicaOutbox out)
    {
        while (!out.sendBeforeSync.empty() || !out.sendAfterSync.empty()) {
            ReplicaOutbox next;
            for (const auto *envelopes : { &out.sendBeforeSync, &out.sendAfterSync })
                for (const ReplicaEnvelope &envelope : *envelopes) {
                    const std::size_t size = encode(envelope).size();
                    this->largestMessage = std::max(this->largestMessage, size);
                    if (this->silent.contains(envelope.to))
                        this->bytesToSilent += size;
                    if (this->silent.contains(envelope.to)
                        || this->silent.contains(envelope.from.node))
                        continue;
                    this->replicas.at(envelope.to).receive(envelope, this->now, next);
                }
            out = std::move(next);
        }
    }

    ReplicaOptions options;
    std::uint64_t nextIncarnation = 2;
    TimePoint now { 1'800'000'000s };
    std::map<NodeName, Replica> replicas;
    std::set<NodeName> silent; ///< members that neither send nor receive
    std::set<NodeName> leaving; ///< members that announce at each step that they stop soon
    std::size_t largestMessage = 0;
    std::size_t bytesToSilent = 0;
};

} // namespace Hibiscus::Fake
