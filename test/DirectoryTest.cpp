#include <Hibiscus/Membership>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint begin(1'800'000'000s);

NodeRecord recordOf(const std::string &name, MemberKind kind)
{
    return { .node = NodeName(name), .kind = kind, .life = 1, .domain = DomainName("a") };
}

// Guards against registry nodes that repeat the list of all nodes to each of them all the time.
TEST(Directory, AListThatTheOtherHoldsIsNotRepeated)
{
    const NodeRecord registry = recordOf("r", MemberKind::Registry);
    Directory atRegistry({}, registry.node);
    Directory atGateway({}, NodeName("g1"));
    atRegistry.hear(recordOf("g1", MemberKind::Gateway), begin);
    atRegistry.hear(recordOf("g2", MemberKind::Gateway), begin);
    const NodeList first = atRegistry.heard(registry, atGateway.digestOfList(registry.node), begin);
    EXPECT_EQ(first.nodes.size(), 3U);
    atGateway.learn(first, begin);
    ASSERT_EQ(atGateway.gatewaysListedBy(registry.node).size(), 1U);

    const NodeList second
        = atRegistry.heard(registry, atGateway.digestOfList(registry.node), begin + 1s);
    EXPECT_TRUE(second.nodes.empty());
    atGateway.learn(second, begin + 7s);
    atGateway.forgetGone(begin + 9s);
    EXPECT_EQ(atGateway.gateways().size(), 1U) << "an unchanged list names its nodes anew";

    atRegistry.hear(recordOf("g3", MemberKind::Gateway), begin + 1s);
    const NodeList third
        = atRegistry.heard(registry, atGateway.digestOfList(registry.node), begin + 1s);
    EXPECT_EQ(third.nodes.size(), 4U);
}

// Guards against changes of rules that do not wait for a gateway whose hello is a little late.
TEST(Directory, AGatewayThatIsLateIsKnownLongerThanItIsGivenTargets)
{
    Directory directory({}, NodeName("r"));
    directory.hear(recordOf("g1", MemberKind::Gateway), begin);
    EXPECT_EQ(directory.liveGateways(begin + 1s).size(), 1U);
    EXPECT_TRUE(directory.liveGateways(begin + 3s).empty());
    EXPECT_EQ(directory.knownGateways(begin + 3s).size(), 1U);
    EXPECT_TRUE(directory.knownGateways(begin + 9s).empty());
}

} // namespace
