#include "test/support/FleetLoad.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetLoadOptions;
using Fake::FleetLoadOutcome;
using Fake::FleetSimulation;
using Fake::FleetSimulationOptions;
using Fake::FleetTraffic;

namespace {

constexpr std::uint64_t seed = 1;

/** \returns the maximum of messages and of bytes that any gateway sends in \a span. */
FleetTraffic maxTraffic(FleetSimulation &simulation, Duration span)
{
    std::map<std::string, FleetTraffic> before;
    for (const std::string &gateway : simulation.gatewayNames())
        before[gateway] = simulation.traffic(gateway);
    simulation.run(span);
    FleetTraffic traffic;
    for (const std::string &gateway : simulation.gatewayNames()) {
        const FleetTraffic &after = simulation.traffic(gateway);
        traffic.messages = std::max(traffic.messages, after.messages - before[gateway].messages);
        traffic.bytes = std::max(traffic.bytes, after.bytes - before[gateway].bytes);
    }
    return traffic;
}

FleetTraffic idleTraffic(std::uint32_t gatewaysPerDomain)
{
    FleetSimulationOptions options = Fake::filingSiteOptions(seed);
    options.gatewaysPerDomain = gatewaysPerDomain;
    options.targetsPerDomain = 9 * gatewaysPerDomain;
    options.countsBytes = true;
    FleetSimulation simulation(options);
    simulation.run(6s);
    return maxTraffic(simulation, 2s);
}

// Guards against gateways that use up their processor and network by messages to all others.
TEST(FleetScale, MessagesOfAnIdleGatewayDoNotGrowWithTheNumberOfGateways)
{
    const FleetTraffic few = idleTraffic(4);
    const FleetTraffic many = idleTraffic(13);
    EXPECT_LE(static_cast<double>(many.messages), 1.25 * static_cast<double>(few.messages));
    constexpr std::uint64_t controlBytesPerSecond = 23'000; // the users' limit for a node
    EXPECT_LE(many.bytes, 2 * controlBytesPerSecond);
}

// Guards against targets that move back and forth between two owners.
TEST(FleetScale, TransferredTargetsStayWithTheirNewOwner)
{
    FleetSimulationOptions options = Fake::filingSiteOptions(seed);
    options.gatewaysPerDomain = 13;
    options.targetsPerDomain = 117;
    FleetSimulation simulation(options);
    const auto adoptedTargets = [&] {
        std::uint64_t sum = 0;
        for (const std::string &gateway : simulation.gatewayNames())
            sum += simulation.gateway(gateway)->owner().counters().adoptedTargets;
        return sum;
    };
    simulation.run(6s);
    const std::uint64_t before = adoptedTargets();
    simulation.run(4s);
    EXPECT_EQ(adoptedTargets(), before);
}

// Guards against a site of 39 small gateways that serves a tenth of its targets' capacity.
TEST(FleetScale, GatewaysWithSmallCpuSharesServeALargeSite)
{
    FleetSimulation simulation(Fake::grownSiteOptions(seed));
    simulation.run(6s);
    FleetLoadOptions load = { .kinds = Fake::filingJobKinds(), .jobsPerSecond = 843, .span = 3s };
    load.seed = seed;
    const FleetLoadOutcome outcome = runLoad(simulation, load);
    for (const std::string &violation : simulation.violations())
        ADD_FAILURE() << violation << " (seed " << seed << ")";
    RecordProperty("credit", std::to_string(outcome.earnedShare()));
    EXPECT_GE(outcome.earnedShare(), 0.65); // the users' objective for the mean value
}

} // namespace
