#include <Hibiscus/Membership>
#include <Hibiscus/Rules>
#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

constexpr TimePoint startedAt { 1'800'000'000s };
constexpr const char *rulesText = "refuse service=x # a\n";
const DomainName domainA("a");
const DomainName domainB("b");

ChangeEvacuation change(const DomainName &domain, bool isEvacuated, TimePoint at = startedAt)
{
    return { .domain = domain, .isEvacuated = isEvacuated, .at = at };
}

// Guards against an evacuation that depends on how often or in which order requests are repeated.
TEST(Evacuation, EachChangeHasARevisionAndRepeatedOnesHaveThatOfTheFirst)
{
    RulesState state;
    const auto first = state.changeEvacuation(change(domainA, true)).evacuationRevision;
    ASSERT_TRUE(first);
    EXPECT_EQ(state.changeEvacuation(change(domainA, true, startedAt + 1s)).evacuationRevision,
              first);
    const auto second = state.changeEvacuation(change(domainB, true)).evacuationRevision;
    EXPECT_GT(second, first);
    EXPECT_EQ(state.evacuations().domains, (std::set { domainA, domainB }));
    const auto third = state.changeEvacuation(change(domainA, false)).evacuationRevision;
    EXPECT_GT(third, second);
    EXPECT_EQ(state.changeEvacuation(change(domainA, false)).evacuationRevision, third);
    EXPECT_EQ(state.evacuations().domains, std::set { domainB });
    EXPECT_EQ(state.version(), 0U) << "the rules have not changed";
}

// Guards against gateways that keep an evacuation which only they know of, since it was lost before
// its acknowledgement: a later one must have a higher revision.
TEST(Evacuation, LaterChangeIsNewerThanOneThatWasLost)
{
    RulesState lost;
    lost.changeEvacuation(change(domainA, true));
    lost.changeEvacuation(change(domainB, true));
    RulesState kept;
    kept.changeEvacuation(change(domainB, true, startedAt + 1s));
    EXPECT_TRUE(kept.evacuations().isNewerThan(lost.evacuations()));
}

// Guards against an evacuation that is forgotten with the log that it was in.
TEST(Evacuation, SnapshotHasTheEvacuations)
{
    RulesState state;
    state.apply({ .text = rulesText, .assignedVersion = 4 });
    state.changeEvacuation(change(domainA, true));
    RulesState restored;
    restored.restore(state.save());
    EXPECT_EQ(restored.evacuations(), state.evacuations());
    EXPECT_EQ(restored.version(), 4U);
}

// Guards against an update of the program that can't read its disks.
TEST(Evacuation, LogsAndSnapshotsFromBeforeAreRead)
{
    const ApplyRules apply = { .applyId = "7", .text = rulesText, .assignedVersion = 7 };
    const auto command = decode<RulesCommand>(encode(apply));
    ASSERT_TRUE(command);
    EXPECT_EQ(std::get<ApplyRules>(command->body), apply);
    RulesState state;
    state.apply(apply);
    Bytes snapshot = state.save();
    const std::size_t added = encode(Evacuations()).size() - 1;
    snapshot.resize(snapshot.size() - added);
    RulesState restored;
    restored.restore(snapshot);
    EXPECT_EQ(restored.version(), 7U);
    EXPECT_EQ(restored.evacuations(), Evacuations());
}

TEST(Evacuation, CommandsAreEncodedAndDecoded)
{
    for (const RulesCommand &command :
         { RulesCommand { .body = change(domainA, true) },
           RulesCommand { .body = ApplyRules { .applyId = "7", .text = rulesText } } }) {
        const Bytes bytes = encode(command);
        const auto decoded = decode<RulesCommand>(bytes);
        ASSERT_TRUE(decoded);
        EXPECT_EQ(*decoded, command);
        EXPECT_FALSE(decode<RulesCommand>(bytes.substr(0, bytes.size() - 1)));
    }
}

RulesUpdate updateWith(std::uint64_t version, const Evacuations &evacuations)
{
    return { .content = RulesFile { .version = version, .text = rulesText },
             .evacuations = evacuations };
}

// Guards against a gateway that starts runs in an evacuated domain again, since a node that lags
// behind has told it of an older state.
TEST(Evacuation, GatewayNeverGoesBackToAnOlderRevision)
{
    GatewayRules rules({}, NodeName("g1"), startedAt);
    const Evacuations newer = { .revision = 5, .domains = { domainA } };
    RulesUpdate confirmed = updateWith(3, newer);
    confirmed.isConfirmed = true;
    rules.receive(confirmed, startedAt);
    EXPECT_EQ(rules.active().evacuations(), newer);
    rules.receive(updateWith(4, { .revision = 4 }), startedAt + 1s);
    EXPECT_EQ(rules.active().file().version, 4U);
    EXPECT_EQ(rules.active().evacuations(), newer);
    rules.recordEvacuations({});
    EXPECT_EQ(rules.active().evacuations(), newer);
    rules.recordEvacuations({ .revision = 6 });
    EXPECT_TRUE(rules.active().evacuations().domains.empty());
}

// Guards against a gateway that learns of no evacuation, since it refuses or already has the rules
// that it comes with.
TEST(Evacuation, IsLearnedWhateverBecomesOfTheRules)
{
    GatewayRules rules({}, NodeName("g1"), startedAt);
    const Evacuations first = { .revision = 5, .domains = { domainA } };
    EXPECT_EQ(rules.receive(updateWith(3, first), startedAt), RulesReceipt::Refused);
    EXPECT_EQ(rules.active().evacuations(), first);
    RulesUpdate confirmed = updateWith(3, first);
    confirmed.isConfirmed = true;
    rules.receive(confirmed, startedAt);
    const Evacuations second = { .revision = 6, .domains = { domainA, domainB } };
    RulesUpdate wrongBase = { .content = VersionedDelta { .version = 4 }, .evacuations = second };
    wrongBase.isConfirmed = true;
    rules.receive(wrongBase, startedAt);
    EXPECT_EQ(rules.active().file().version, 3U);
    EXPECT_EQ(rules.active().evacuations(), second);
}

// Guards against a restarted gateway, cut off with its peers, that starts runs in an evacuated
// domain: the peers' rules may be no newer than its own.
TEST(Evacuation, PeerOffersWhatItHasLearned)
{
    GatewayRules peer({}, NodeName("g2"), startedAt);
    RulesUpdate confirmed = updateWith(3, {});
    confirmed.isConfirmed = true;
    peer.receive(confirmed, startedAt);
    const Evacuations evacuations = { .revision = 5, .domains = { domainA } };
    peer.recordEvacuations(evacuations);

    GatewayRules restarted({}, NodeName("g1"), startedAt);
    TimePoint now = startedAt;
    std::vector<AddressedFetch> requests;
    for (; now < startedAt + 4s; now += 10ms)
        for (const AddressedFetch &request : restarted.takeDueRequests({}, { NodeName("g2") }, now))
            requests.push_back(request);
    ASSERT_FALSE(requests.empty());
    const auto offer = peer.offerTo(requests.back().fetch, now);
    ASSERT_TRUE(offer);
    EXPECT_EQ(restarted.receive(*offer, now), RulesReceipt::Adopted);
    EXPECT_EQ(restarted.active().evacuations(), evacuations);

    requests = restarted.takeDueRequests({}, { NodeName("g2") }, now + 500ms);
    ASSERT_FALSE(requests.empty());
    EXPECT_FALSE(peer.offerTo(requests.back().fetch, now)) << "it holds everything";
    peer.recordEvacuations({ .revision = 6 });
    EXPECT_TRUE(peer.offerTo(requests.back().fetch, now)) << "the rules are the same";
}

// Guards against a final refusal of a domain that exists, by a node that has just started.
TEST(Evacuation, DomainIsUnknownOnlyAfterTheTimeOfDiscovery)
{
    KnownDomains domains({}, { domainA }, startedAt);
    EXPECT_EQ(domains.statusOf(domainA, startedAt), DomainStatus::Known);
    EXPECT_EQ(domains.statusOf(domainB, startedAt + 9s), DomainStatus::NotKnownYet);
    EXPECT_EQ(domains.statusOf(domainB, startedAt + 10s), DomainStatus::Unknown);
    domains.record(domainB);
    EXPECT_EQ(domains.statusOf(domainB, startedAt + 10s), DomainStatus::Known);
    domains.record({});
    EXPECT_EQ(domains.statusOf({}, startedAt + 10s), DomainStatus::Unknown);
}

// Guards against a node that remembers every name that something on the network sends.
TEST(Evacuation, RecordedDomainsAreBounded)
{
    KnownDomains domains({ .maxRecorded = 2 }, {}, startedAt);
    for (const char *name : { "a", "b", "c" })
        domains.record(DomainName(name));
    EXPECT_EQ(domains.statusOf(domainB, startedAt + 10s), DomainStatus::Known);
    EXPECT_EQ(domains.statusOf(DomainName("c"), startedAt + 10s), DomainStatus::Unknown);
}

} // namespace
