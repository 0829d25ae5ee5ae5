#include "test/support/FleetWorld.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetWorld;
using Fake::FleetWorldOptions;

namespace {

void expectPromises(const FleetWorld &world, std::uint64_t seed)
{
    for (const std::string &promise : world.broken())
        ADD_FAILURE() << promise << " (seed " << seed << ")";
}

/** \brief Submits \a perSecond jobs a second to gateways at random for \a span. */
void load(FleetWorld &world, double perSecond, Duration span)
{
    const std::vector<std::string> gateways = world.gatewayNames();
    std::uniform_int_distribution<std::size_t> pick(0, gateways.size() - 1);
    std::uniform_int_distribution<std::uint32_t> tasks(1, 4);
    std::uniform_int_distribution<int> time(40, 300);
    const Duration gap = fromSeconds(1 / perSecond);
    for (Duration done {}; done < span; done += gap) {
        world.submit(gateways[pick(world.dice())], tasks(world.dice()),
                     std::chrono::milliseconds(time(world.dice())));
        world.run(gap);
    }
}

TEST(Fleet, QuietJobsAreAllServed)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        FleetWorld world({ .seed = seed });
        world.run(6s);
        load(world, 40, 5s);
        world.run(3s);
        EXPECT_EQ(world.served(), 1.0) << "seed " << seed;
        expectPromises(world, seed);
    }
}

TEST(Fleet, ATargetThatDrainsGetsNoNewWork)
{
    FleetWorld world({ .seed = 4 });
    world.run(6s);
    load(world, 40, 1s);
    world.setDraining("t-a1");
    world.run(2s);
    load(world, 40, 1s);
    world.run(2s);
    EXPECT_TRUE(world.target("t-a1").running.empty());
    EXPECT_EQ(world.served(), 1.0);
    expectPromises(world, 4);
}

TEST(Fleet, AJobThatNoTargetCanHoldIsRefusedAtOnce)
{
    FleetWorld world(
        { .kinds = { { .capacity = { .cpu = 20'000, .memory = 262'144 } } }, .seed = 5 });
    world.run(6s);
    const std::string job = world.submit("g-a1", 1, 100ms);
    world.run(20ms);
    ASSERT_TRUE(world.answers().contains(job));
    EXPECT_EQ(world.answers().at(job).verdict, JobVerdict::Refused);
    EXPECT_EQ(world.answers().at(job).reason, OutcomeReason::NeverFits);
}

// A caller is told that its job has failed only when a task of it has failed too often.
TEST(Fleet, AJobThatIsLateIsNotCalledFailed)
{
    FleetWorld world({ .seed = 6 });
    world.run(6s);
    const std::string job = world.submit("g-a1", 1, 5s, 1500ms, 900ms);
    world.run(3s);
    const auto found = world.answers().find(job);
    if (found != world.answers().end()) {
        EXPECT_EQ(found->second.verdict, JobVerdict::Unfinished);
    }
    // Its run is stopped, since nobody waits for it any more.
    for (const std::string &name : world.targetNames())
        EXPECT_TRUE(world.target(name).running.empty()) << name;
    expectPromises(world, 6);
}

TEST(Fleet, AJobThatCannotBeInTimeIsRefusedAtOnce)
{
    FleetWorld world({ .seed = 9 });
    world.run(6s);
    const std::string job = world.submit("g-a1", 2, 5s);
    world.run(20ms);
    ASSERT_TRUE(world.answers().contains(job));
    EXPECT_EQ(world.answers().at(job).verdict, JobVerdict::Refused);
    EXPECT_EQ(world.starts(), 0U);
}

// Polls that are never answered must not make their targets look slow, nor waste their room.
TEST(Fleet, ABurstWithLostOrdersIsServed)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
        FleetWorld world({ .lateOrders = 0.045, .seed = seed });
        world.run(6s);
        load(world, 42, 6s);
        world.run(3s);
        EXPECT_GT(world.served(), 0.9) << "seed " << seed;
        expectPromises(world, seed);
    }
}

TEST(Fleet, AStoppedGatewayHandsItsTargetsOver)
{
    FleetWorld world({ .seed = 7 });
    world.run(6s);
    load(world, 30, 1s);
    world.stop("g-a1");
    world.run(4s);
    EXPECT_TRUE(world.gateway("g-a1")->isIdle());
    EXPECT_TRUE(world.gateway("g-a1")->owner().targets().empty());
    EXPECT_EQ(world.gateway("g-a2")->owner().targets().size(), 4U);
    EXPECT_EQ(world.served(), 1.0);
    expectPromises(world, 7);
}

TEST(Fleet, TargetsOfAKilledGatewayAreTakenOver)
{
    FleetWorld world({ .seed = 8 });
    world.run(6s);
    world.kill("g-a1", 30s);
    world.run(5s);
    EXPECT_EQ(world.gateway("g-a2")->owner().targets().size(), 4U);
    load(world, 30, 1s);
    world.run(2s);
    expectPromises(world, 8);
}

// Guards against a process that ends since a peer that it watches was forgotten while it stood
// still.
TEST(Fleet, AGatewayThatStoodStillForLongerThanItRemembersPeersGoesOn)
{
    FleetWorld world({ .seed = 10 });
    world.run(6s);
    for (const std::string &other : world.gatewayNames())
        if (other != "g-a1")
            world.cut("g-a1", other);
    world.freeze("g-a1", 15s);
    for (int i = 0; i < 2; ++i)
        world.submit("g-a1", 2, 100ms, 20s);
    world.run(16s);
    world.heal();
    world.run(3s);
    load(world, 30, 1s);
    world.run(3s);
    EXPECT_GT(world.gateway("g-a1")->livePeers(world.now()), 0U);
    expectPromises(world, 10);
}

/** \brief Faults at random times, some at once. */
class FleetSoak : public testing::TestWithParam<std::uint64_t>
{ };

/** \brief The same with more gateways than each watches. */
class ManyGatewaysSoak : public testing::TestWithParam<std::uint64_t>
{ };

void soak(FleetWorldOptions options, double jobsPerSecond, int rounds)
{
    const std::uint64_t seed = options.seed;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    options.lateOrders = share(random) < 0.3 ? 0.02 : 0;
    options.lostMessages = share(random) < 0.3 ? 0.02 : 0;
    FleetWorld world(options);
    world.run(6s);
    const std::vector<std::string> gateways = world.gatewayNames();
    const std::vector<std::string> targets = world.targetNames();
    const auto pick = [&](const std::vector<std::string> &names) {
        std::uniform_int_distribution<std::size_t> index(0, names.size() - 1);
        return names[index(random)];
    };
    const auto span = [&](int least, int most) {
        std::uniform_int_distribution<int> milliseconds(least, most);
        return std::chrono::milliseconds(milliseconds(random));
    };
    for (int round = 0; round < rounds; ++round) {
        load(world, jobsPerSecond, span(300, 1500));
        const double kind = share(random);
        if (kind < 0.2)
            world.kill(pick(gateways), span(200, 4000));
        else if (kind < 0.4)
            world.freeze(pick(gateways), span(200, 5000));
        else if (kind < 0.55)
            world.crash(pick(targets), span(500, 4000));
        else if (kind < 0.7)
            world.cut(pick(gateways), pick(targets));
        else if (kind < 0.85)
            world.cut(pick(gateways), pick(gateways));
        else
            world.heal();
    }
    load(world, jobsPerSecond, 2s);
    world.heal();
    world.run(14s);
    const double servedBefore = world.served();
    load(world, 30, 2s);
    world.run(3s);
    EXPECT_GT(servedBefore, 0.25) << "seed " << seed;
    expectPromises(world, seed);
}

TEST_P(FleetSoak, PromisesHoldUnderFaults)
{
    soak({ .seed = this->GetParam() }, 40, 6);
}

// Runs are held and targets handed over between gateways that have no lasting link.
TEST_P(ManyGatewaysSoak, PromisesHoldUnderFaults)
{
    FleetWorldOptions options;
    options.gatewaysPerDomain = 6;
    options.targetsPerDomain = 12;
    options.seed = this->GetParam();
    if (this->GetParam() % 2 == 0)
        options.processor = Fake::FleetProcessor { .shares = { 0.09, 0.09, 0.3 } };
    soak(options, 120, 10);
}

std::vector<std::uint64_t> soakSeeds(std::uint64_t usualCount)
{
    const char *first = std::getenv("HIBISCUS_FIRST_SEED");
    const char *runs = std::getenv("HIBISCUS_RUNS");
    const std::uint64_t begin = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
    const std::uint64_t count = runs == nullptr ? usualCount : std::strtoull(runs, nullptr, 10);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t i = 0; i < count; ++i)
        seeds.push_back(begin + i);
    return seeds;
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetSoak, testing::ValuesIn(soakSeeds(40)));
INSTANTIATE_TEST_SUITE_P(Seeds, ManyGatewaysSoak, testing::ValuesIn(soakSeeds(12)));

} // namespace
