#include <Hibiscus/Rules>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const NodeName gateway("g");

DurableState foundingState(const NodeName &self, const std::vector<NodeName> &nodes)
{
    DurableState state;
    state.self = { .node = self, .incarnation = 1 };
    state.hardState.term = 1;
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    for (const NodeName &node : nodes)
        state.snapshot.membership
            = state.snapshot.membership.with({ .id = { .node = node, .incarnation = 1 } });
    state.snapshot.state = RulesState().save();
    return state;
}

/** \brief Members of a control group that hear each other at once, and know of no gateway. */
class Group
{
public:
    explicit Group(const std::vector<std::string> &names, std::size_t voters = 3)
    {
        this->options.replicated.replica.desiredVoters = voters;
        const std::vector<NodeName> nodes(names.begin(), names.end());
        for (const NodeName &node : nodes) {
            this->members.try_emplace(node, this->options, foundingState(node, nodes),
                                      this->members.size() + 1, this->now);
        }
    }

    /** \brief Adds a member with an empty disk, which asks the others to take it in. */
    void join(const std::string &name)
    {
        const NodeName node(name);
        DurableState empty;
        empty.self = { .node = node, .incarnation = 2 };
        this->members.try_emplace(node, this->options, empty, this->members.size() + 1, this->now);
    }

    void lose(const NodeName &name) { this->members.erase(name); }

    void run(Duration span)
    {
        const TimePoint end = this->now + span;
        for (; this->now < end; this->now += 10ms)
            for (auto &[name, member] : this->members) {
                ControlNode::Outbox out;
                member.tick(this->now, out);
                if (!member.replica().isMember())
                    member.requestJoin(this->names(), out);
                this->execute(name, out);
            }
    }

    void apply(std::uint64_t version, const std::string &text)
    {
        ApplyRules command = { .applyId = std::to_string(version), .author = "a", .text = text };
        command.assignedVersion = version;
        ControlNode::Outbox out;
        this->leader().apply({ .node = NodeName("o"), .number = version }, command, this->now, out);
        this->execute(this->leaderName(), out);
    }

    /** \returns what \a member sends when \a gateway says that it holds \a held. */
    std::vector<AddressedUpdate> updatesAfter(const NodeName &member,
                                              const RulesAcknowledgement &held)
    {
        ControlNode::Outbox out;
        this->members.at(member).receive(held, this->now, out);
        std::vector<AddressedUpdate> updates = out.updates;
        this->execute(member, out);
        return updates;
    }

    NodeName leaderName() const
    {
        for (const auto &[name, member] : this->members)
            if (member.replica().isLeader())
                return name;
        return {};
    }

    NodeName followerName() const
    {
        for (const auto &[name, member] : this->members)
            if (!member.replica().isLeader())
                return name;
        return {};
    }

    std::vector<NodeName> names() const
    {
        std::vector<NodeName> names;
        for (const auto &[name, member] : this->members)
            names.push_back(name);
        return names;
    }

    ControlNode &leader() { return this->members.at(this->leaderName()); }

private:
    void execute(const NodeName &from, ControlNode::Outbox &out)
    {
        const ReplicaOutbox sent = std::exchange(out.log.replica, {});
        for (const auto *messages : { &sent.sendBeforeSync, &sent.sendAfterSync })
            for (const ReplicaEnvelope &envelope : *messages) {
                if (envelope.to == from || !this->members.contains(envelope.to))
                    continue;
                ControlNode::Outbox next;
                this->members.at(envelope.to).receive(envelope, this->now, next);
                this->execute(envelope.to, next);
            }
    }

    ControlOptions options;
    TimePoint now { 1'800'000'000s };
    std::map<NodeName, ControlNode> members;
};

constexpr const char *rulesText = "refuse service=x # a\n";

// Guards against a gateway that serves by old rules because its hellos came too late to be listed.
TEST(RulesSpread, AGatewayThatIsNotListedIsToldWhenItIsHeard)
{
    Group group({ "r1", "r2", "r3" });
    group.run(3s);
    ASSERT_FALSE(group.leaderName().isEmpty());
    group.apply(5, rulesText);
    group.run(1s);
    const RulesAcknowledgement old = { .node = gateway, .version = 0, .digest = digestOf("") };
    const auto updates = group.updatesAfter(group.leaderName(), old);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates[0].to, gateway);
    ActiveRules activeRules(gateway);
    activeRules.receive(updates[0].update);
    EXPECT_EQ(activeRules.file().version, 5U);
}

// Guards against a single path of rules to a gateway: the leader may be cut off from it.
TEST(RulesSpread, EveryMemberMakesUpForALostUpdate)
{
    Group group({ "r1", "r2", "r3" });
    group.run(3s);
    group.apply(5, rulesText);
    group.run(1s);
    const RulesAcknowledgement old = { .node = gateway, .version = 0, .digest = digestOf("") };
    const auto updates = group.updatesAfter(group.followerName(), old);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_TRUE(updates[0].update.isCatchUp);
    const RulesAcknowledgement current
        = { .node = gateway, .version = 5, .digest = digestOf(rulesText) };
    EXPECT_TRUE(group.updatesAfter(group.followerName(), current).empty());
}

// Guards against a group that is sized for the loss of one disk where two may be lost.
TEST(RulesSpread, AnAcknowledgedChangeOutlivesTwoLostDisks)
{
    Group group({ "r1", "r2", "r3" }, 5);
    group.join("r4");
    group.join("r5");
    group.join("r6");
    group.run(8s);
    EXPECT_EQ(group.leader().replica().membership().voterCount(), 5U);
    group.apply(7, rulesText);
    const NodeName former = group.leaderName();
    group.lose(group.followerName());
    group.lose(former);
    group.run(5s);
    ASSERT_FALSE(group.leaderName().isEmpty());
    EXPECT_EQ(group.leader().state().version(), 7U);
}

TEST(RulesSpread, AGatewayKnowsThatItsRulesAreOld)
{
    const TimePoint now(1'800'000'000s);
    ActiveRules activeRules(gateway);
    activeRules.receive(
        { .content = RulesFile { .version = 5, .text = rulesText }, .isConfirmed = true });
    activeRules.recordAcceptedVersion(5, now);
    EXPECT_FALSE(activeRules.outdatedSince());
    activeRules.recordAcceptedVersion(7, now + 1s);
    activeRules.recordAcceptedVersion(8, now + 2s);
    EXPECT_EQ(activeRules.outdatedSince(), now + 1s);
    activeRules.receive({ .content = RulesFile { .version = 8, .text = "" }, .isConfirmed = true });
    EXPECT_FALSE(activeRules.outdatedSince());
}

} // namespace
