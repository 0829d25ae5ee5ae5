#include <Hibiscus/Rules>
#include <algorithm>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

const NodeName self("g1");
constexpr TimePoint startedAt { 1'800'000'000s };
constexpr const char *rulesText = "refuse service=x # a\n";

RulesUpdate wholeFile(std::uint64_t version)
{
    return { .content = RulesFile { .version = version, .text = rulesText } };
}

std::size_t lastKnownRequestsIn(const std::vector<AddressedFetch> &requests)
{
    return std::ranges::count_if(
        requests, [](const AddressedFetch &item) { return item.fetch.acceptsLastKnown; });
}

// Guards against a gateway that serves with older rules right after its start, since a leader that
// stood still does not know yet that it was deposed.
TEST(GatewayRules, FirstRulesAfterAStartAreConfirmed)
{
    GatewayRules rules({}, self, startedAt);
    RulesUpdate catchUp = wholeFile(4);
    catchUp.isCatchUp = true;
    EXPECT_EQ(rules.receive(wholeFile(4), startedAt + 1s), RulesReceipt::Refused);
    EXPECT_EQ(rules.receive(catchUp, startedAt + 1s), RulesReceipt::Refused);
    EXPECT_FALSE(rules.hasRules());
    RulesUpdate confirmed = wholeFile(5);
    confirmed.isConfirmed = true;
    EXPECT_EQ(rules.receive(confirmed, startedAt + 1s), RulesReceipt::Adopted);
    EXPECT_EQ(rules.receive(wholeFile(6), startedAt + 2s), RulesReceipt::Adopted);
    EXPECT_EQ(rules.active().file().version, 6U);
}

// Guards against a gateway that stays without rules, or requests more copies of them than its link
// can carry, while no quorum can be reached.
TEST(GatewayRules, LastKnownRulesAreRequestedFromOneNodeOfEachKindInTurn)
{
    GatewayRules rules({}, self, startedAt);
    const std::vector<NodeName> registries = { NodeName("r1"), NodeName("r2"), NodeName("r3") };
    const std::vector<NodeName> peers = { NodeName("g2"), NodeName("g3") };
    EXPECT_EQ(lastKnownRequestsIn(rules.takeDueRequests(registries, peers, startedAt)), 0U);
    std::set<NodeName> asked;
    for (TimePoint now = startedAt + 3s; now < startedAt + 4s; now += 10ms) {
        const auto requests = rules.takeDueRequests(registries, peers, now);
        if (requests.empty())
            continue;
        EXPECT_EQ(lastKnownRequestsIn(requests), 2U);
        for (const AddressedFetch &request : requests)
            if (request.fetch.acceptsLastKnown)
                asked.insert(request.to);
    }
    EXPECT_EQ(asked.size(), registries.size() + peers.size());
    EXPECT_EQ(rules.receive(wholeFile(4), startedAt + 4s), RulesReceipt::Adopted);
    EXPECT_TRUE(rules.hasRules());
    const auto requests = rules.takeDueRequests(registries, peers, startedAt + 5s);
    EXPECT_EQ(requests.size(), registries.size());
    EXPECT_EQ(lastKnownRequestsIn(requests), 0U) << "these only want a confirmation";
}

} // namespace
