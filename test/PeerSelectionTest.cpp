#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const TimePoint begin(1'800'000'000s);

std::vector<NodeRecord> nodes(std::uint32_t domains, std::uint32_t perDomain)
{
    std::vector<NodeRecord> list;
    for (std::uint32_t domain = 0; domain < domains; ++domain)
        for (std::uint32_t i = 0; i < perDomain; ++i)
            list.push_back({ .node = NodeName("10." + std::to_string(domain) + ".0."
                                              + std::to_string(i) + ":7000"),
                             .domain = DomainName("d" + std::to_string(domain)),
                             .weight = i % 4 == 3 ? 30U : 9U });
    return list;
}

PeerSelection selectionOf(const NodeRecord &node, const std::vector<NodeRecord> &all)
{
    PeerSelection selection({ .self = node.node, .domain = node.domain });
    selection.select(all, node.weight);
    return selection;
}

TEST(PeerSelection, NumberOfSelectedPeersIsIndependentOfTheNumberOfNodes)
{
    for (const std::uint32_t perDomain : { 6U, 12U, 100U }) {
        const std::vector<NodeRecord> all = nodes(3, perDomain);
        for (const NodeRecord &node : all) {
            const PeerSelection selection = selectionOf(node, all);
            EXPECT_EQ(selection.selectedPeers().size(), 6U);
            EXPECT_FALSE(selection.isSelected(node.node));
        }
    }
}

// Guards against a node that half of the others report to, or that no other node selects.
TEST(PeerSelection, NodesAreSelectedInProportionToTheirWeight)
{
    const std::vector<NodeRecord> all = nodes(3, 40);
    std::map<NodeName, std::uint32_t> selectionCounts;
    for (const NodeRecord &node : all) {
        const PeerSelection selection = selectionOf(node, all);
        for (const NodeName &peer : selection.selectedPeers())
            ++selectionCounts[peer];
    }
    double meanWeight = 0;
    for (const NodeRecord &node : all)
        meanWeight += static_cast<double>(node.weight) / static_cast<double>(all.size());
    for (const NodeRecord &node : all) {
        const double fairCount = 6 * node.weight / meanWeight;
        EXPECT_GE(selectionCounts[node.node], 1U) << node.node.str();
        EXPECT_LE(selectionCounts[node.node], 2.5 * fairCount) << node.node.str();
    }
}

TEST(PeerSelection, FullPeerIsReplacedAfterTimeout)
{
    const std::vector<NodeRecord> all = nodes(1, 20);
    PeerSelection selection = selectionOf(all[0], all);
    const NodeName full = *selection.selectedPeers().begin();
    selection.recordFreeCapacity(full, false, begin);
    selection.select(all, all[0].weight);
    EXPECT_TRUE(selection.isSelected(full));
    selection.recordFreeCapacity(full, false, begin + 500ms);
    selection.select(all, all[0].weight);
    EXPECT_FALSE(selection.isSelected(full));
    EXPECT_EQ(selection.selectedPeers().size(), 6U);
}

TEST(PeerSelection, DrainingNodesAreNotSelected)
{
    std::vector<NodeRecord> all = nodes(2, 3);
    all[1].isDraining = true;
    EXPECT_FALSE(selectionOf(all[0], all).isSelected(all[1].node));
}

} // namespace
