#include <Hibiscus/Rules>
#include <algorithm>
#include <gtest/gtest.h>

#include <algorithm>

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

/** \brief The members of a control group, with disks and instant messages, without recipients. */
class ControlGroup
{
public:
    explicit ControlGroup(const std::vector<std::string> &names, std::size_t voters = 3,
                          std::size_t requiredCopies = 1)
    {
        this->options.requiredCopies = requiredCopies;
        this->options.replicated.replica.desiredVoters = voters;
        this->options.replicated.entriesPerSnapshot = 8;
        this->options.recipientsReport = true;
        const std::vector<NodeName> nodes(names.begin(), names.end());
        for (const NodeName &node : nodes)
            this->start(node, initialState(node, nodes));
    }

    /** \brief Adds a node with an empty disk, which requests to join the group. */
    void addNode(const std::string &name)
    {
        const NodeName node(name);
        DurableState empty;
        empty.self = { .node = node, .incarnation = this->nextIncarnation++ };
        this->start(node, empty);
    }

    /** \brief All nodes lose power; those in \a nodes start again from their disks. */
    void restart(const std::vector<NodeName> &nodes)
    {
        this->members.clear();
        for (const NodeName &node : nodes)
            this->start(node, this->disks.at(node));
    }

    void removeNode(const NodeName &name) { this->members.erase(name); }

    /** \returns the response to the change to \a version since the last call, if there is one. */
    std::optional<ApplyResponse> takeResponse(std::uint64_t version)
    {
        const auto found = this->applyResponses.find(version);
        if (found == this->applyResponses.end())
            return std::nullopt;
        const ApplyResponse response = found->second;
        this->applyResponses.erase(found);
        return response;
    }

    /** \returns the number of nodes on whose disks \a version is in the log. */
    std::size_t disksWith(std::uint64_t version) const
    {
        return std::ranges::count_if(this->disks, [&](const auto &disk) {
            return std::ranges::any_of(disk.second.entries, [&](const LogEntry &entry) {
                const auto *command = std::get_if<Command>(&entry.body);
                return command != nullptr
                    && decode<ApplyRules>(command->bytes)->assignedVersion == version;
            });
        });
    }

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

    /** \brief Starts or finishes an evacuation at \a member, as request \a number. */
    void changeEvacuation(const NodeName &member, std::uint64_t number, const std::string &domain,
                          bool isEvacuated)
    {
        const ChangeEvacuation command
            = { .domain = DomainName(domain), .isEvacuated = isEvacuated };
        ControlNode::Outbox out;
        this->members.at(member).apply({ .node = NodeName("o"), .number = number }, command,
                                       this->now, out);
        this->deliverMessages(member, out);
    }

    /** \returns the responses to a read of the rules at the leader. */
    std::vector<RulesReadResponse> read()
    {
        ControlNode::Outbox out;
        this->readResponses.clear();
        this->leader().requestRead({ .node = NodeName("o"), .number = 1 }, this->now, out);
        this->deliverMessages(this->leaderName(), out);
        return this->readResponses;
    }

    /** \returns the updates that follow from \a message to \a member, those after a confirmed read
     * among them.
     */
    template<typename Message>
    std::vector<AddressedUpdate> updatesInReplyTo(const NodeName &member, const Message &message)
    {
        this->updates.clear();
        ControlNode::Outbox out;
        this->members.at(member).receive(message, this->now, out);
        this->deliverMessages(member, out);
        return std::exchange(this->updates, {});
    }

    /** \brief A gateway announces itself to all members, which then list it as a recipient. */
    void announce(const RulesAcknowledgement &acknowledgement)
    {
        for (auto &[name, member] : this->members) {
            ControlNode::Outbox out;
            member.receive(acknowledgement, this->now, out);
            member.setRecipients({ { .node = acknowledgement.node } });
            this->deliverMessages(name, out);
        }
    }

    /** \returns the updates that all members have sent since this was last called. */
    std::vector<AddressedUpdate> takeUpdates() { return std::exchange(this->updates, {}); }

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
    const ControlNode &member(const NodeName &name) const { return this->members.at(name); }

private:
    void start(const NodeName &node, const DurableState &disk)
    {
        this->disks[node] = disk;
        this->members.try_emplace(node, this->options, disk, this->members.size() + 1, this->now);
    }

    void deliverMessages(const NodeName &from, ControlNode::Outbox &out)
    {
        std::ranges::move(std::exchange(out.updates, {}), std::back_inserter(this->updates));
        const ReplicaOutbox output = std::exchange(out.log.replica, {});
        for (const StorageWrite &write : output.writes)
            applyWrite(write, this->disks.at(from));
        for (const ApplyResponse &response : out.applyResponses)
            this->applyResponses[response.request.number] = response;
        this->readResponses.insert(this->readResponses.end(), out.readResponses.begin(),
                                   out.readResponses.end());
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
    std::map<NodeName, DurableState> disks;
    std::vector<AddressedUpdate> updates;
    std::map<std::uint64_t, ApplyResponse> applyResponses; ///< by version
    std::vector<RulesReadResponse> readResponses;
    std::uint64_t nextIncarnation = 2;
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
    EXPECT_EQ(group.leader().replica().membership().voterCount(), 6U) << "5 and one besides";
    group.apply(7, rulesText);
    const NodeName previousLeader = group.leaderName();
    group.removeNode(group.followerName());
    group.removeNode(previousLeader);
    group.run(5s);
    ASSERT_FALSE(group.leaderName().isEmpty());
    EXPECT_EQ(group.leader().state().version(), 7U);
}

/** \brief Three founders, one of them down, that wait for more nodes; two disks may be lost. */
class RulesWithoutCopies : public testing::Test
{
protected:
    void SetUp() override
    {
        this->group.run(3s);
        ASSERT_FALSE(this->group.leaderName().isEmpty());
        this->group.removeNode(this->group.followerName());
        this->group.apply(7, rulesText);
    }

    ControlGroup group { { "r1", "r2", "r3" }, 5, 3 };
};

// Guards against a change that is acknowledged while it is on two disks, both of which may be lost.
TEST_F(RulesWithoutCopies, ChangeIsNotAcknowledged)
{
    this->group.run(2s);
    EXPECT_FALSE(this->group.takeResponse(7));
    this->group.run(2s);
    const auto response = this->group.takeResponse(7);
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->reply);
    EXPECT_FALSE(response->leader);
    EXPECT_EQ(response->versionWithoutCopies, 7U);
    EXPECT_EQ(response->copies, 2U);
    EXPECT_EQ(this->group.disksWith(7), 2U);
}

// Guards against an operator who is told of success when repeating a change that is held, but still
// on two disks only.
TEST_F(RulesWithoutCopies, RepeatedChangeIsNotAcknowledgedEither)
{
    this->group.run(4s);
    this->group.takeResponse(7);
    ASSERT_EQ(this->group.leader().state().version(), 7U);
    this->group.apply(7, rulesText);
    EXPECT_FALSE(this->group.takeResponse(7));
    this->group.run(4s);
    const auto response = this->group.takeResponse(7);
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->reply);
    this->group.addNode("r4");
    this->group.apply(7, rulesText);
    this->group.run(500ms);
    const auto repeated = this->group.takeResponse(7);
    ASSERT_TRUE(repeated);
    EXPECT_TRUE(repeated->reply);
}

// Guards against a change that is refused although it is on as many disks as are needed, one of
// them that of a node that has only just joined, and against a wait for more than these.
TEST_F(RulesWithoutCopies, ChangeIsAcknowledgedOnceAThirdNodeHasIt)
{
    this->group.run(500ms);
    EXPECT_FALSE(this->group.takeResponse(7));
    this->group.addNode("r4");
    std::optional<ApplyResponse> response;
    for (int i = 0; i < 50 && !response; ++i) {
        this->group.run(10ms);
        response = this->group.takeResponse(7);
        EXPECT_EQ(response.has_value(), this->group.disksWith(7) >= 3) << "step " << i;
    }
    ASSERT_TRUE(response);
    ASSERT_TRUE(response->reply);
    EXPECT_EQ(response->reply->version, 7U);
    EXPECT_EQ(response->copies, 3U);
    EXPECT_FALSE(response->versionWithoutCopies);
}

// Guards against an operator who can't read the rules while changes lack copies.
TEST_F(RulesWithoutCopies, RulesCanBeRead)
{
    this->group.run(4s);
    const std::vector<RulesReadResponse> responses = this->group.read();
    ASSERT_EQ(responses.size(), 1U);
    ASSERT_TRUE(responses[0].file);
    EXPECT_EQ(responses[0].file->version, 7U);
}

// Guards against the loss of a version that was acknowledged as early as possible, together with
// any two disks.
TEST(RulesDistribution, AcknowledgedVersionSurvivesTheLossOfAnyTwoDisks)
{
    const std::vector<NodeName> nodes
        = { NodeName("r1"), NodeName("r2"), NodeName("r3"), NodeName("r4"), NodeName("r5") };
    for (std::size_t first = 0; first < nodes.size(); ++first)
        for (std::size_t second = first + 1; second < nodes.size(); ++second) {
            ControlGroup group({ "r1", "r2", "r3" }, 5, 3);
            group.addNode("r4");
            group.addNode("r5");
            group.run(8s);
            ASSERT_EQ(group.leader().replica().membership().voterCount(), 5U);
            group.apply(7, rulesText);
            const auto response = group.takeResponse(7);
            ASSERT_TRUE(response);
            ASSERT_TRUE(response->reply);
            EXPECT_GE(group.disksWith(7), 3U);
            std::vector<NodeName> kept = nodes;
            std::erase_if(kept, [&](const NodeName &node) {
                return node == nodes[first] || node == nodes[second];
            });
            group.restart(kept);
            group.addNode(nodes[first].str());
            group.addNode(nodes[second].str());
            group.run(8s);
            ASSERT_FALSE(group.leaderName().isEmpty());
            EXPECT_EQ(group.leader().state().version(), 7U);
            EXPECT_EQ(group.leader().replica().membership().voterCount(), 5U);
        }
}

/** \brief A group whose members lose power with an acknowledged change behind their snapshots. */
class RulesAfterPowerLoss : public testing::Test
{
protected:
    void SetUp() override
    {
        this->group.run(3s);
        for (std::uint64_t version = 1; version <= this->acknowledged; ++version)
            this->group.apply(version, rulesText);
        this->group.run(1s);
        ASSERT_EQ(this->group.leader().state().version(), this->acknowledged);
    }

    const std::uint64_t acknowledged = 19;
    const FetchRules lastKnown = { .node = gateway, .acceptsLastKnown = true };
    ControlGroup group { { "r1", "r2", "r3" } };
};

// Guards against gateways that serve with rules from before an acknowledged change, since a member
// that has just started offers those of its snapshot as the last known ones.
TEST_F(RulesAfterPowerLoss, MemberOffersNothingBeforeItKnowsWhatWasAcknowledged)
{
    const NodeName alone("r1");
    this->group.restart({ alone });
    ASSERT_LT(this->group.member(alone).state().version(), this->acknowledged);
    ASSERT_GT(this->group.member(alone).state().version(), 0U);
    this->group.run(10s);
    EXPECT_TRUE(this->group.updatesInReplyTo(alone, this->lastKnown).empty());
    const RulesAcknowledgement none = { .node = gateway, .version = 0, .digest = digestOf("") };
    EXPECT_TRUE(this->group.updatesInReplyTo(alone, none).empty());
}

// Guards against a failure domain that stops serving when it is cut off: a member that has heard
// from a leader since its start offers what it holds.
TEST_F(RulesAfterPowerLoss, MemberThatIsCutOffLaterOffersWhatItHolds)
{
    this->group.restart({ NodeName("r1"), NodeName("r2"), NodeName("r3") });
    this->group.run(3s);
    const NodeName alone = this->group.followerName();
    for (const NodeName &name : this->group.names())
        if (name != alone)
            this->group.removeNode(name);
    this->group.run(10s);
    const auto updates = this->group.updatesInReplyTo(alone, this->lastKnown);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(versionOf(updates[0].update), this->acknowledged);
    EXPECT_FALSE(updates[0].update.isConfirmed);
}

/** \returns the number of whole files among \a updates. */
std::size_t wholeFilesIn(const std::vector<AddressedUpdate> &updates)
{
    return std::ranges::count_if(updates, [](const AddressedUpdate &item) {
        return std::holds_alternative<RulesFile>(item.update.content);
    });
}

// Guards against a restart of all gateways that fills the links with copies of the rules, so that
// none arrives in time: each node that waits is sent one copy, however often it asks.
TEST_F(RulesAfterPowerLoss, WaitingGatewayIsSentOneCopyInASecond)
{
    std::size_t copies = 0;
    const RulesAcknowledgement none = { .node = gateway };
    for (int request = 0; request < 9; ++request) {
        for (const NodeName &name : this->group.names()) {
            copies += wholeFilesIn(this->group.updatesInReplyTo(name, FetchRules { gateway }));
            copies += wholeFilesIn(this->group.updatesInReplyTo(name, none));
        }
        this->group.run(100ms);
    }
    EXPECT_EQ(copies, 1U);
    this->group.run(100ms);
    const auto updates
        = this->group.updatesInReplyTo(this->group.leaderName(), FetchRules { gateway });
    EXPECT_EQ(wholeFilesIn(updates), 1U) << "a lost copy is sent again";
}

// Guards against a leader that sends each gateway the whole file as soon as it is elected, in the
// way of the copies that they request.
TEST_F(RulesAfterPowerLoss, NewLeaderSendsGatewaysNothingThatTheyHoldOrRequest)
{
    for (const std::uint64_t version : { std::uint64_t(0), this->acknowledged }) {
        this->group.restart({ NodeName("r1"), NodeName("r2"), NodeName("r3") });
        const std::uint64_t digest = version == 0 ? 0 : digestOf(rulesText);
        this->group.announce({ .node = gateway, .version = version, .digest = digest });
        ASSERT_TRUE(this->group.leaderName().isEmpty());
        this->group.takeUpdates();
        this->group.run(2s);
        ASSERT_FALSE(this->group.leaderName().isEmpty());
        EXPECT_TRUE(this->group.takeUpdates().empty()) << "the gateway has version " << version;
    }
}

// Guards against a whole file for a gateway that only lacks the confirmation of what it holds.
TEST_F(RulesAfterPowerLoss, HeldRulesAreConfirmedWithoutACopy)
{
    ActiveRules activeRules(gateway);
    activeRules.receive(
        { .content = RulesFile { .version = this->acknowledged, .text = rulesText } });
    ASSERT_EQ(activeRules.status(), RulesStatus::LastKnown);
    const RulesAcknowledgement held = activeRules.acknowledgement();
    const auto updates = this->group.updatesInReplyTo(
        this->group.leaderName(),
        FetchRules { .node = gateway, .heldVersion = held.version, .heldDigest = held.digest });
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(wholeFilesIn(updates), 0U);
    activeRules.receive(updates[0].update);
    EXPECT_EQ(activeRules.status(), RulesStatus::Confirmed);
    EXPECT_EQ(activeRules.file().version, this->acknowledged);
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

const std::set<DomainName> domainA = { DomainName("a") };

// Guards against the loss of an evacuation that was acknowledged as early as possible, together
// with any two disks, and against members that differ.
TEST(EvacuationDistribution, AcknowledgedEvacuationSurvivesTheLossOfAnyTwoDisks)
{
    const std::vector<NodeName> nodes
        = { NodeName("r1"), NodeName("r2"), NodeName("r3"), NodeName("r4"), NodeName("r5") };
    for (std::size_t first = 0; first < nodes.size(); ++first)
        for (std::size_t second = first + 1; second < nodes.size(); ++second) {
            ControlGroup group({ "r1", "r2", "r3" }, 5, 3);
            group.addNode("r4");
            group.addNode("r5");
            group.run(8s);
            group.changeEvacuation(group.leaderName(), 1, "a", true);
            const auto response = group.takeResponse(1);
            ASSERT_TRUE(response);
            ASSERT_TRUE(response->reply);
            EXPECT_GE(response->copies, 3U);
            std::vector<NodeName> kept = nodes;
            std::erase_if(kept, [&](const NodeName &node) {
                return node == nodes[first] || node == nodes[second];
            });
            group.restart(kept);
            group.addNode(nodes[first].str());
            group.addNode(nodes[second].str());
            group.run(8s);
            ASSERT_FALSE(group.leaderName().isEmpty());
            for (const NodeName &node : nodes) {
                EXPECT_EQ(group.member(node).state().evacuations().domains, domainA);
                EXPECT_EQ(group.member(node).state().evacuations().revision,
                          response->reply->evacuationRevision);
            }
        }
}

// Guards against an evacuation that is in force after its acknowledgement was refused, but may be
// lost.
TEST(EvacuationDistribution, IsNotAcknowledgedWithoutCopies)
{
    ControlGroup group({ "r1", "r2", "r3" }, 5, 3);
    group.run(3s);
    group.removeNode(group.followerName());
    group.changeEvacuation(group.leaderName(), 1, "a", true);
    EXPECT_FALSE(group.takeResponse(1));
    group.run(4s);
    const auto response = group.takeResponse(1);
    ASSERT_TRUE(response);
    EXPECT_FALSE(response->reply);
    EXPECT_TRUE(response->revisionWithoutCopies);
    EXPECT_FALSE(response->versionWithoutCopies);
    group.addNode("r4");
    group.run(1s);
    group.changeEvacuation(group.leaderName(), 2, "a", true);
    group.run(500ms);
    const auto repeated = group.takeResponse(2);
    ASSERT_TRUE(repeated);
    ASSERT_TRUE(repeated->reply);
    EXPECT_EQ(repeated->reply->evacuationRevision, response->revisionWithoutCopies)
        << "a repeated request makes no change";
}

// Guards against a member without a quorum that tells the operator of success, and against an
// acknowledgement that waits for gateways.
TEST(EvacuationDistribution, OnlyTheLeaderOfAQuorumAcknowledges)
{
    ControlGroup group({ "r1", "r2", "r3" });
    group.run(3s);
    group.announce({ .node = gateway, .version = 0, .digest = digestOf("") });
    const NodeName leader = group.leaderName();
    const NodeName follower = group.followerName();
    group.changeEvacuation(follower, 1, "a", true);
    const auto redirected = group.takeResponse(1);
    ASSERT_TRUE(redirected);
    EXPECT_FALSE(redirected->reply);
    EXPECT_EQ(redirected->leader, leader);
    group.changeEvacuation(leader, 2, "a", true);
    const auto acknowledged = group.takeResponse(2);
    ASSERT_TRUE(acknowledged);
    EXPECT_TRUE(acknowledged->reply);
    for (const NodeName &name : group.names())
        if (name != leader)
            group.removeNode(name);
    group.changeEvacuation(leader, 3, "a", false);
    group.run(5s);
    const auto refused = group.takeResponse(3);
    ASSERT_TRUE(refused);
    EXPECT_FALSE(refused->reply);
    EXPECT_FALSE(refused->leader);
    EXPECT_EQ(group.member(leader).state().evacuations().domains, domainA);
}

// Guards against crossing requests after which members differ, or a read that is older than what
// was acknowledged.
TEST(EvacuationDistribution, OrderInTheLogDecidesAndReadsAreNeverOlder)
{
    ControlGroup group({ "r1", "r2", "r3" });
    group.run(3s);
    std::uint64_t latest = 0;
    for (std::uint64_t number = 1; number <= 40; ++number) {
        group.changeEvacuation(group.leaderName(), number, number % 3 == 0 ? "b" : "a",
                               number % 2 == 0);
        const auto response = group.takeResponse(number);
        ASSERT_TRUE(response && response->reply);
        EXPECT_GE(response->reply->evacuationRevision, latest);
        latest = *response->reply->evacuationRevision;
        const std::vector<RulesReadResponse> reads = group.read();
        ASSERT_EQ(reads.size(), 1U);
        EXPECT_EQ(reads[0].evacuations.revision, latest);
    }
    group.run(1s);
    for (const NodeName &name : group.names())
        EXPECT_EQ(group.member(name).state().evacuations(), group.leader().state().evacuations());
    EXPECT_GT(group.leader().replica().snapshotIndex(), 1U) << "the log was compacted";
}

// Guards against a restarted gateway that starts runs in an evacuated domain: its first rules bring
// the evacuations, also where it holds the rules already or a member offers its last known ones.
TEST(EvacuationDistribution, FirstRulesBringTheEvacuations)
{
    ControlGroup group({ "r1", "r2", "r3" });
    group.run(3s);
    group.apply(5, rulesText);
    group.changeEvacuation(group.leaderName(), 1, "a", true);
    group.run(1s);
    const std::uint64_t digest = digestOf(rulesText);
    for (const FetchRules &fetch :
         { FetchRules { .node = gateway },
           FetchRules { .node = gateway, .heldVersion = 5, .heldDigest = digest } }) {
        const auto updates = group.updatesInReplyTo(group.leaderName(), fetch);
        ASSERT_EQ(updates.size(), 1U);
        EXPECT_TRUE(updates[0].update.isConfirmed);
        EXPECT_EQ(updates[0].update.evacuations.domains, domainA);
    }
    FetchRules lastKnown
        = { .node = gateway, .acceptsLastKnown = true, .heldVersion = 5, .heldDigest = digest };
    const auto updates = group.updatesInReplyTo(group.followerName(), lastKnown);
    ASSERT_EQ(updates.size(), 1U);
    EXPECT_EQ(updates[0].update.evacuations.domains, domainA);
    lastKnown.heldRevision = updates[0].update.evacuations.revision;
    EXPECT_TRUE(group.updatesInReplyTo(group.followerName(), lastKnown).empty());
}

} // namespace
