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
    std::set<NodeName> asked;
    TimePoint now = startedAt;
    for (; now < startedAt + 3s; now += 10ms)
        EXPECT_EQ(lastKnownRequestsIn(rules.takeDueRequests(registries, peers, now)), 0U);
    for (; now < startedAt + 4s; now += 10ms) {
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
    const auto requests = rules.takeDueRequests(registries, peers, startedAt + 4500ms);
    EXPECT_EQ(requests.size(), registries.size() + 1);
    EXPECT_EQ(lastKnownRequestsIn(requests), 2U);
    for (const AddressedFetch &request : requests)
        EXPECT_EQ(request.fetch.heldVersion, 4U) << "only newer rules are requested";
    EXPECT_EQ(rules.receive(wholeFile(6), startedAt + 4500ms), RulesReceipt::Adopted);
}

// Guards against a gateway that passes rules on by which it serves no requests itself.
TEST(GatewayRules, OutdatedRulesAreNotOffered)
{
    GatewayRules rules({}, self, startedAt);
    const FetchRules request = { .node = NodeName("g2"), .acceptsLastKnown = true };
    EXPECT_FALSE(rules.offerTo(request, startedAt));
    RulesUpdate confirmed = wholeFile(0);
    confirmed.isConfirmed = true;
    rules.receive(confirmed, startedAt);
    EXPECT_FALSE(rules.offerTo(request, startedAt)) << "no rules were ever applied";
    rules.receive(wholeFile(5), startedAt);
    EXPECT_TRUE(rules.offerTo(request, startedAt));
    EXPECT_FALSE(rules.offerTo({ .node = NodeName("g2"), .heldVersion = 5 }, startedAt));
    rules.recordAcceptedVersion(6, startedAt + 1s);
    EXPECT_TRUE(rules.offerTo(request, startedAt + 1s));
    EXPECT_FALSE(rules.offerTo(request, startedAt + 3s));
}

// Guards against a gateway that adopts unconfirmed rules at once, since it stood still for the time
// in which it should have waited for confirmed ones.
TEST(GatewayRules, WaitForConfirmedRulesBeginsAnewAfterAStall)
{
    GatewayRules rules({}, self, startedAt);
    const std::vector<NodeName> registries = { NodeName("r1") };
    rules.takeDueRequests(registries, {}, startedAt);
    EXPECT_EQ(rules.receive(wholeFile(4), startedAt + 4s), RulesReceipt::Refused);
    TimePoint now = startedAt + 4s;
    for (; now < startedAt + 6500ms; now += 100ms)
        EXPECT_EQ(lastKnownRequestsIn(rules.takeDueRequests(registries, {}, now)), 0U);
    std::size_t requests = 0;
    for (; now < startedAt + 8s; now += 100ms)
        requests += lastKnownRequestsIn(rules.takeDueRequests(registries, {}, now));
    EXPECT_GT(requests, 0U);
    EXPECT_EQ(rules.receive(wholeFile(4), now), RulesReceipt::Adopted);
}

} // namespace
