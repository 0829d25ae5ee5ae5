#include <Hibiscus/Membership>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint begin(1'800'000'000s);

NodeRecord recordOf(const std::string &name, NodeKind kind)
{
    return { .node = NodeName(name), .kind = kind, .incarnation = 1, .domain = DomainName("a") };
}

// Guards against registry nodes that repeat the list of all nodes to each of them all the time.
TEST(Directory, AListThatTheOtherHoldsIsNotRepeated)
{
    const NodeRecord registry = recordOf("r", NodeKind::Registry);
    Directory atRegistry({}, registry.node);
    Directory atGateway({}, NodeName("g1"));
    atRegistry.recordAnnouncement(recordOf("g1", NodeKind::Gateway), begin);
    atRegistry.recordAnnouncement(recordOf("g2", NodeKind::Gateway), begin);
    const NodeList first
        = atRegistry.buildList(registry, atGateway.digestOfList(registry.node), begin);
    EXPECT_EQ(first.nodes.size(), 3U);
    atGateway.mergeList(first, begin);
    ASSERT_EQ(atGateway.gatewaysListedBy(registry.node).size(), 1U);

    const NodeList second
        = atRegistry.buildList(registry, atGateway.digestOfList(registry.node), begin + 1s);
    EXPECT_TRUE(second.nodes.empty());
    atGateway.mergeList(second, begin + 7s);
    atGateway.removeExpired(begin + 9s);
    EXPECT_EQ(atGateway.gateways().size(), 1U) << "an unchanged list names its nodes anew";

    atRegistry.recordAnnouncement(recordOf("g3", NodeKind::Gateway), begin + 1s);
    const NodeList third
        = atRegistry.buildList(registry, atGateway.digestOfList(registry.node), begin + 1s);
    EXPECT_EQ(third.nodes.size(), 4U);
}

// Guards against changes of rules that do not wait for a gateway whose hello is a little late.
TEST(Directory, AGatewayThatIsLateIsKnownLongerThanItIsGivenTargets)
{
    Directory directory({}, NodeName("r"));
    directory.recordAnnouncement(recordOf("g1", NodeKind::Gateway), begin);
    EXPECT_EQ(directory.liveGateways(begin + 1s).size(), 1U);
    EXPECT_TRUE(directory.liveGateways(begin + 3s).empty());
    EXPECT_EQ(directory.knownGateways(begin + 3s).size(), 1U);
    EXPECT_TRUE(directory.knownGateways(begin + 9s).empty());
}

} // namespace
