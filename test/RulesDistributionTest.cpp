#include <Hibiscus/Rules>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const NodeName gateway("g");

DurableState initialState(const NodeName &self, const std::vector<NodeName> &nodes)
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

/** \brief The members of a control group, with instant messages and without recipients. */
class ControlGroup
{
public:
    explicit ControlGroup(const std::vector<std::string> &names, std::size_t voters = 3)
    {
        this->options.replicated.replica.desiredVoters = voters;
        const std::vector<NodeName> nodes(names.begin(), names.end());
        for (const NodeName &node : nodes) {
            this->members.try_emplace(node, this->options, initialState(node, nodes),
                                      this->members.size() + 1, this->now);
        }
    }

    /** \brief Adds a node with an empty disk, which requests to join the group. */
    void addNode(const std::string &name)
    {
        const NodeName node(name);
        DurableState empty;
        empty.self = { .node = node, .incarnation = 2 };
        this->members.try_emplace(node, this->options, empty, this->members.size() + 1, this->now);
    }

    void removeNode(const NodeName &name) { this->members.erase(name); }

    void run(Duration span)
    {
        const TimePoint end = this->now + span;
        for (; this->now < end; this->now += 10ms)
            for (auto &[name, member] : this->members) {
                ControlNode::Outbox out;
                member.tick(this->now, out);
                if (!member.replica().isMember())
                    member.requestJoin(this->names(), out);
                this->deliverMessages(name, out);
            }
    }

    void apply(std::uint64_t version, const std::string &text)
    {
        ApplyRules command = { .applyId = std::to_string(version), .author = "a", .text = text };
        command.assignedVersion = version;
        ControlNode::Outbox out;
        this->leader().apply({ .node = NodeName("o"), .number = version }, command, this->now, out);
        this->deliverMessages(this->leaderName(), out);
    }

    /** \returns the updates that \a member sends in reply to \a acknowledgement. */
    std::vector<AddressedUpdate> updatesInReplyTo(const NodeName &member,
                                                  const RulesAcknowledgement &acknowledgement)
    {
        ControlNode::Outbox out;
        this->members.at(member).receive(acknowledgement, this->now, out);
        std::vector<AddressedUpdate> updates = out.updates;
        this->deliverMessages(member, out);
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
    void deliverMessages(const NodeName &from, ControlNode::Outbox &out)
    {
        const ReplicaOutbox output = std::exchange(out.log.replica, {});
        for (const auto *messages : { &output.sendBeforeSync, &output.sendAfterSync })
            for (const ReplicaEnvelope &envelope : *messages) {
                if (envelope.to == from || !this->members.contains(envelope.to))
                    continue;
                ControlNode::Outbox replyOut;
                this->members.at(envelope.to).receive(envelope, this->now, replyOut);
                this->deliverMessages(envelope.to, replyOut);
            }
    }

    ControlOptions options;
    TimePoint now { 1'800'000'000s };
    std::map<NodeName, ControlNode> members;
};

constexpr const char *rulesText = "refuse service=x # a\n";

// Guards against a gateway that serves with outdated rules because its announcements came too late
// for the list of recipients.
TEST(RulesDistribution, UnlistedGatewayGetsRulesWhenItAcknowledgesAnOlderVersion)
{
    ControlGroup group({ "r1", "r2", "r3" });
    group.run(3s);
    ASSERT_FALSE(group.leaderName().isEmpty());
    group.apply(5, rulesText);
    group.run(1s);
    const RulesAcknowledgement outdated = { .node = gateway, .version = 0, .digest = digestOf("") };
    const auto updates = group.updatesInReplyTo(group.leaderName(), outdated);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates[0].to, gateway);
    ActiveRules activeRules(gateway);
    activeRules.receive(updates[0].update);
    EXPECT_EQ(activeRules.file().version, 5U);
}

// Guards against distribution through the leader alone, which may be partitioned from a gateway.
TEST(RulesDistribution, AnyMemberResendsALostUpdate)
{
    ControlGroup group({ "r1", "r2", "r3" });
    group.run(3s);
    group.apply(5, rulesText);
    group.run(1s);
    const RulesAcknowledgement outdated = { .node = gateway, .version = 0, .digest = digestOf("") };
    const auto updates = group.updatesInReplyTo(group.followerName(), outdated);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_TRUE(updates[0].update.isCatchUp);
    const RulesAcknowledgement current
        = { .node = gateway, .version = 5, .digest = digestOf(rulesText) };
    EXPECT_TRUE(group.updatesInReplyTo(group.followerName(), current).empty());
}

// Guards against a group that keeps too few voters to survive the loss of two disks.
TEST(RulesDistribution, AcknowledgedChangeSurvivesTheLossOfTwoDisks)
{
    ControlGroup group({ "r1", "r2", "r3" }, 5);
    group.addNode("r4");
    group.addNode("r5");
    group.addNode("r6");
    group.run(8s);
    EXPECT_EQ(group.leader().replica().membership().voterCount(), 5U);
    group.apply(7, rulesText);
    const NodeName previousLeader = group.leaderName();
    group.removeNode(group.followerName());
    group.removeNode(previousLeader);
    group.run(5s);
    ASSERT_FALSE(group.leaderName().isEmpty());
    EXPECT_EQ(group.leader().state().version(), 7U);
}

TEST(RulesDistribution, ActiveRulesReportSinceWhenTheyAreOutdated)
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
