#include "test/support/FleetSimulation.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetSimulation;
using Fake::FleetSimulationOptions;

namespace {

void expectNoViolations(const FleetSimulation &simulation, std::uint64_t seed)
{
    for (const std::string &violation : simulation.violations())
        ADD_FAILURE() << violation << " (seed " << seed << ")";
}

/** \brief Submits \a jobsPerSecond jobs per second to random gateways for \a span. */
void submitJobs(FleetSimulation &simulation, double jobsPerSecond, Duration span)
{
    const std::vector<std::string> gateways = simulation.gatewayNames();
    std::uniform_int_distribution<std::size_t> pick(0, gateways.size() - 1);
    std::uniform_int_distribution<std::uint32_t> tasks(1, 4);
    std::uniform_int_distribution<int> time(40, 300);
    const Duration interval = fromSeconds(1 / jobsPerSecond);
    for (Duration elapsed {}; elapsed < span; elapsed += interval) {
        simulation.submit(gateways[pick(simulation.randomEngine())],
                          tasks(simulation.randomEngine()),
                          std::chrono::milliseconds(time(simulation.randomEngine())));
        simulation.run(interval);
    }
}

TEST(Fleet, AllJobsAreServedWithoutFaults)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        FleetSimulation simulation({ .seed = seed });
        simulation.run(6s);
        submitJobs(simulation, 40, 5s);
        simulation.run(3s);
        EXPECT_EQ(simulation.servedShare(), 1.0) << "seed " << seed;
        expectNoViolations(simulation, seed);
    }
}

TEST(Fleet, DrainingTargetGetsNoNewWork)
{
    FleetSimulation simulation({ .seed = 4 });
    simulation.run(6s);
    submitJobs(simulation, 40, 1s);
    simulation.setDraining("t-a1");
    simulation.run(2s);
    submitJobs(simulation, 40, 1s);
    simulation.run(2s);
    EXPECT_TRUE(simulation.target("t-a1").running.empty());
    EXPECT_EQ(simulation.servedShare(), 1.0);
    expectNoViolations(simulation, 4);
}

// Guards against runs that were stopped on a draining target: a registry node sends its heartbeats
// to all gateways, and each of them took it over.
TEST(Fleet, OtherGatewaysDoNotTakeOverADrainingTarget)
{
    FleetNode node({ .self = NodeName("g"), .domain = DomainName("a") });
    const TimePoint now(1'800'000'000s);
    LeasedTarget target;
    target.name = TargetName("t");
    target.incarnation = 1;
    target.domain = DomainName("a");
    target.state = TargetState::Draining;
    node.handleHeartbeat({ .target = target }, now);
    EXPECT_FALSE(node.owner().ownsTarget(target.name));
    target.state = TargetState::Ready;
    target.sequence = 1;
    node.handleHeartbeat({ .target = target }, now);
    EXPECT_TRUE(node.owner().ownsTarget(target.name));
    target.state = TargetState::Draining;
    target.sequence = 2;
    node.handleHeartbeat({ .target = target }, now);
    EXPECT_EQ(node.owner().findTarget(target.name)->state, TargetState::Draining);
}

TEST(Fleet, JobTooLargeForAllTargetsIsRefusedAtOnce)
{
    FleetSimulation simulation(
        { .kinds = { { .capacity = { .cpu = 20'000, .memory = 262'144 } } }, .seed = 5 });
    simulation.run(6s);
    const std::string job = simulation.submit("g-a1", 1, 100ms);
    simulation.run(20ms);
    ASSERT_TRUE(simulation.answers().contains(job));
    EXPECT_EQ(simulation.answers().at(job).status, TransientJobStatus::Refused);
    EXPECT_EQ(simulation.answers().at(job).reason, OutcomeReason::NeverFits);
}

// A job may be reported as failed only if one of its tasks has failed too often.
TEST(Fleet, LateJobIsNotReportedAsFailed)
{
    FleetSimulation simulation({ .seed = 6 });
    simulation.run(6s);
    const std::string job = simulation.submit("g-a1", 1, 5s, 1500ms, 900ms);
    simulation.run(3s);
    const auto found = simulation.answers().find(job);
    if (found != simulation.answers().end()) {
        EXPECT_EQ(found->second.status, TransientJobStatus::Unfinished);
    }
    // Its run is stopped, since the caller no longer waits.
    for (const std::string &name : simulation.targetNames())
        EXPECT_TRUE(simulation.target(name).running.empty()) << name;
    expectNoViolations(simulation, 6);
}

TEST(Fleet, JobThatCannotMeetItsDeadlineIsRefusedAtOnce)
{
    FleetSimulation simulation({ .seed = 9 });
    simulation.run(6s);
    const std::string job = simulation.submit("g-a1", 2, 5s);
    simulation.run(20ms);
    ASSERT_TRUE(simulation.answers().contains(job));
    EXPECT_EQ(simulation.answers().at(job).status, TransientJobStatus::Refused);
    EXPECT_EQ(simulation.starts(), 0U);
}

// Polls without a response must neither make targets appear slow nor waste their capacity.
TEST(Fleet, BurstWithLostOrdersIsServed)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
        FleetSimulation simulation({ .lateOrderShare = 0.045, .seed = seed });
        simulation.run(6s);
        submitJobs(simulation, 42, 6s);
        simulation.run(3s);
        EXPECT_GT(simulation.servedShare(), 0.9) << "seed " << seed;
        expectNoViolations(simulation, seed);
    }
}

TEST(Fleet, DrainingGatewayTransfersItsTargets)
{
    FleetSimulation simulation({ .seed = 7 });
    simulation.run(6s);
    submitJobs(simulation, 30, 1s);
    simulation.drain("g-a1");
    simulation.run(4s);
    EXPECT_TRUE(simulation.gateway("g-a1")->isIdle());
    EXPECT_TRUE(simulation.gateway("g-a1")->owner().targetNames().empty());
    EXPECT_EQ(simulation.gateway("g-a2")->owner().targetNames().size(), 4U);
    EXPECT_EQ(simulation.servedShare(), 1.0);
    expectNoViolations(simulation, 7);
}

TEST(Fleet, TargetsOfAKilledGatewayAreTakenOver)
{
    FleetSimulation simulation({ .seed = 8 });
    simulation.run(6s);
    simulation.kill("g-a1", 30s);
    simulation.run(5s);
    EXPECT_EQ(simulation.gateway("g-a2")->owner().targetNames().size(), 4U);
    submitJobs(simulation, 30, 1s);
    simulation.run(2s);
    expectNoViolations(simulation, 8);
}

// Guards against a crash when a selected peer was removed during a stall of the process.
TEST(Fleet, GatewayRecoversFromStallLongerThanPeerRemovalTimeout)
{
    FleetSimulation simulation({ .seed = 10 });
    simulation.run(6s);
    for (const std::string &other : simulation.gatewayNames())
        if (other != "g-a1")
            simulation.disconnect("g-a1", other);
    simulation.freeze("g-a1", 15s);
    for (int i = 0; i < 2; ++i)
        simulation.submit("g-a1", 2, 100ms, 20s);
    simulation.run(16s);
    simulation.heal();
    simulation.run(3s);
    submitJobs(simulation, 30, 1s);
    simulation.run(3s);
    EXPECT_GT(simulation.gateway("g-a1")->livePeerCount(simulation.now()), 0U);
    expectNoViolations(simulation, 10);
}

/** \brief Random faults at random times, partly at once. */
class FleetSoak : public testing::TestWithParam<std::uint64_t>
{ };

/** \brief The same with more gateways than each selects as peers. */
class ManyGatewaysSoak : public testing::TestWithParam<std::uint64_t>
{ };

void soak(FleetSimulationOptions options, double jobsPerSecond, int rounds)
{
    const std::uint64_t seed = options.seed;
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> share(0, 1);
    options.lateOrderShare = share(random) < 0.3 ? 0.02 : 0;
    options.lostMessageShare = share(random) < 0.3 ? 0.02 : 0;
    FleetSimulation simulation(options);
    simulation.run(6s);
    const std::vector<std::string> gateways = simulation.gatewayNames();
    const std::vector<std::string> targets = simulation.targetNames();
    const auto pick = [&](const std::vector<std::string> &names) {
        std::uniform_int_distribution<std::size_t> index(0, names.size() - 1);
        return names[index(random)];
    };
    const auto span = [&](int least, int most) {
        std::uniform_int_distribution<int> milliseconds(least, most);
        return std::chrono::milliseconds(milliseconds(random));
    };
    for (int round = 0; round < rounds; ++round) {
        submitJobs(simulation, jobsPerSecond, span(300, 1500));
        const double kind = share(random);
        if (kind < 0.2)
            simulation.kill(pick(gateways), span(200, 4000));
        else if (kind < 0.4)
            simulation.freeze(pick(gateways), span(200, 5000));
        else if (kind < 0.55)
            simulation.crash(pick(targets), span(500, 4000));
        else if (kind < 0.7)
            simulation.disconnect(pick(gateways), pick(targets));
        else if (kind < 0.85)
            simulation.disconnect(pick(gateways), pick(gateways));
        else
            simulation.heal();
    }
    submitJobs(simulation, jobsPerSecond, 2s);
    simulation.heal();
    simulation.run(14s);
    const double servedShareUnderFaults = simulation.servedShare();
    submitJobs(simulation, 30, 2s);
    simulation.run(3s);
    EXPECT_GT(servedShareUnderFaults, 0.25) << "seed " << seed;
    expectNoViolations(simulation, seed);
}

TEST_P(FleetSoak, InvariantsHoldUnderFaults)
{
    soak({ .seed = this->GetParam() }, 40, 6);
}

// Gateways without a lasting link have runs at each other and transfer targets to each other.
TEST_P(ManyGatewaysSoak, InvariantsHoldUnderFaults)
{
    FleetSimulationOptions options;
    options.gatewaysPerDomain = 6;
    options.targetsPerDomain = 12;
    options.seed = this->GetParam();
    if (this->GetParam() % 2 == 0)
        options.processor = Fake::FleetProcessor { .cpuShares = { 0.09, 0.09, 0.3 } };
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
