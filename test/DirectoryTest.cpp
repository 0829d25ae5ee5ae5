#include <Hibiscus/Membership>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint startTime(1'800'000'000s);

NodeRecord recordOf(const std::string &name, NodeKind kind)
{
    return { .node = NodeName(name), .kind = kind, .incarnation = 1, .domain = DomainName("a") };
}

// Guards against registry nodes that send the full list to every node at every announcement.
TEST(Directory, UnchangedListIsNotSentAgain)
{
    const NodeRecord registry = recordOf("r", NodeKind::Registry);
    Directory registryDirectory({}, registry.node);
    Directory gatewayDirectory({}, NodeName("g1"));
    registryDirectory.recordAnnouncement(recordOf("g1", NodeKind::Gateway), startTime);
    registryDirectory.recordAnnouncement(recordOf("g2", NodeKind::Gateway), startTime);
    const NodeList first = registryDirectory.buildList(
        registry, gatewayDirectory.digestOfList(registry.node), startTime);
    EXPECT_EQ(first.nodes.size(), 3U);
    gatewayDirectory.mergeList(first, startTime);
    ASSERT_EQ(gatewayDirectory.gatewaysListedBy(registry.node).size(), 1U);

    const NodeList second = registryDirectory.buildList(
        registry, gatewayDirectory.digestOfList(registry.node), startTime + 1s);
    EXPECT_TRUE(second.nodes.empty());
    gatewayDirectory.mergeList(second, startTime + 7s);
    gatewayDirectory.removeExpired(startTime + 9s);
    EXPECT_EQ(gatewayDirectory.gateways().size(), 1U)
        << "an unchanged list renews the expiry of its nodes";

    registryDirectory.recordAnnouncement(recordOf("g3", NodeKind::Gateway), startTime + 1s);
    const NodeList third = registryDirectory.buildList(
        registry, gatewayDirectory.digestOfList(registry.node), startTime + 1s);
    EXPECT_EQ(third.nodes.size(), 4U);
}

// Guards against rule changes that are confirmed without waiting for a gateway whose announcement
// is a little late.
TEST(Directory, GatewayIsKnownLongerThanItIsLive)
{
    Directory directory({}, NodeName("r"));
    directory.recordAnnouncement(recordOf("g1", NodeKind::Gateway), startTime);
    EXPECT_EQ(directory.liveGateways(startTime + 1s).size(), 1U);
    EXPECT_TRUE(directory.liveGateways(startTime + 3s).empty());
    EXPECT_EQ(directory.knownGateways(startTime + 3s).size(), 1U);
    EXPECT_TRUE(directory.knownGateways(startTime + 9s).empty());
}

// Guards against a gateway that no list names, since its clock was set back before it started and
// its announcements count as those of a former process.
TEST(Directory, NodeWithALowerIncarnationThanBeforeIsToldSo)
{
    const NodeRecord registry = recordOf("r", NodeKind::Registry);
    Directory registryDirectory({}, registry.node);
    NodeRecord former = recordOf("g1", NodeKind::Gateway);
    former.incarnation = 9;
    registryDirectory.answer({ .self = former }, registry, startTime);
    NodeRecord restarted = former;
    restarted.incarnation = 4;
    for (const Duration downtime : { 100ms, 3000ms }) {
        Directory gatewayDirectory({}, restarted.node);
        gatewayDirectory.mergeList(
            registryDirectory.answer({ .self = restarted }, registry, startTime + downtime),
            startTime + downtime);
        EXPECT_EQ(gatewayDirectory.listedIncarnation(), former.incarnation);
        EXPECT_EQ(gatewayDirectory.digestOfList(registry.node), 0U)
            << "the list names a node that may be gone, so it is not kept";
    }
    restarted.incarnation = 10;
    const NodeList list
        = registryDirectory.answer({ .self = restarted }, registry, startTime + 3200ms);
    Directory gatewayDirectory({}, restarted.node);
    gatewayDirectory.mergeList(list, startTime + 3200ms);
    EXPECT_EQ(gatewayDirectory.listedIncarnation(), restarted.incarnation);
    EXPECT_EQ(registryDirectory.liveGateways(startTime + 3200ms).size(), 1U);
}

// Guards against a node that is alone for good, since it was cut off for longer than the expiry and
// all registry nodes that its settings name have been replaced meanwhile.
TEST(Directory, RegistryNodesThatWereKnownAreStillContactedAfterALongSilence)
{
    const NodeRecord successor = recordOf("r4", NodeKind::Registry);
    Directory registryDirectory({}, successor.node);
    registryDirectory.recordAnnouncement(recordOf("r5", NodeKind::Registry), startTime);
    Directory directory({}, NodeName("g1"));
    directory.setSeeds({ NodeName("r1") });
    directory.mergeList(registryDirectory.buildList(successor, 0, startTime), startTime);
    const std::vector<NodeName> all = { NodeName("r1"), NodeName("r4"), NodeName("r5") };
    for (TimePoint now = startTime; now < startTime + 60s; now += 1s) {
        directory.removeExpired(now);
        EXPECT_EQ(directory.registries(), all);
    }
    EXPECT_TRUE(directory.gateways().empty());
    const NodeRecord another = recordOf("r6", NodeKind::Registry);
    Directory anotherDirectory({}, another.node);
    directory.mergeList(anotherDirectory.buildList(another, 0, startTime + 60s), startTime + 60s);
    directory.removeExpired(startTime + 61s);
    EXPECT_EQ(directory.registries(), (std::vector<NodeName> { NodeName("r1"), NodeName("r6") }))
        << "those that were replaced are forgotten once another is known";
}

} // namespace
