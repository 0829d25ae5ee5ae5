#include "test/support/FleetLoad.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetLoadOptions;
using Fake::FleetLoadOutcome;
using Fake::FleetTraffic;
using Fake::FleetWorld;
using Fake::FleetWorldOptions;

namespace {

constexpr std::uint64_t seed = 1;

/** \brief Traffic of the busiest gateway in \a span. */
FleetTraffic mostTraffic(FleetWorld &world, Duration span)
{
    std::map<std::string, FleetTraffic> before;
    for (const std::string &gateway : world.gatewayNames())
        before[gateway] = world.traffic(gateway);
    world.run(span);
    FleetTraffic most;
    for (const std::string &gateway : world.gatewayNames()) {
        const FleetTraffic &after = world.traffic(gateway);
        most.messages = std::max(most.messages, after.messages - before[gateway].messages);
        most.bytes = std::max(most.bytes, after.bytes - before[gateway].bytes);
    }
    return most;
}

FleetTraffic idleTraffic(std::uint32_t gatewaysPerDomain)
{
    FleetWorldOptions options = Fake::filingWorld(seed);
    options.gatewaysPerDomain = gatewaysPerDomain;
    options.targetsPerDomain = 9 * gatewaysPerDomain;
    options.countsBytes = true;
    FleetWorld world(options);
    world.run(6s);
    return mostTraffic(world, 2s);
}

// Guards against gateways that spend their processor and their link on talk with every other one.
TEST(FleetScale, MessagesOfAnIdleGatewayDoNotGrowWithTheNumberOfGateways)
{
    const FleetTraffic few = idleTraffic(4);
    const FleetTraffic many = idleTraffic(13);
    EXPECT_LE(static_cast<double>(many.messages), 1.25 * static_cast<double>(few.messages));
    constexpr std::uint64_t controlBytesPerSecond = 23'000; // the users' bound for a node
    EXPECT_LE(many.bytes, 2 * controlBytesPerSecond);
}

// Guards against targets that go to and fro between a former owner and the next one.
TEST(FleetScale, TargetsThatWereHandedOverStayWithTheirNewOwner)
{
    FleetWorldOptions options = Fake::filingWorld(seed);
    options.gatewaysPerDomain = 13;
    options.targetsPerDomain = 117;
    FleetWorld world(options);
    const auto adopted = [&] {
        std::uint64_t sum = 0;
        for (const std::string &gateway : world.gatewayNames())
            sum += world.gateway(gateway)->owner().counters().adopted;
        return sum;
    };
    world.run(6s);
    const std::uint64_t before = adopted();
    world.run(4s);
    EXPECT_EQ(adopted(), before);
}

// Guards against a site of 39 small gateways that serves a tenth of what its targets could do.
TEST(FleetScale, GatewaysWithSmallSharesOfAProcessorServeAGrownSite)
{
    FleetWorld world(Fake::grownWorld(seed));
    world.run(6s);
    FleetLoadOptions load = { .kinds = Fake::filingKinds(), .perSecond = 843, .span = 3s };
    load.seed = seed;
    const FleetLoadOutcome outcome = play(world, load);
    for (const std::string &promise : world.broken())
        ADD_FAILURE() << promise << " (seed " << seed << ")";
    RecordProperty("credit", std::to_string(outcome.credit()));
    EXPECT_GE(outcome.credit(), 0.65); // the users' target for the mean worth
}

} // namespace
