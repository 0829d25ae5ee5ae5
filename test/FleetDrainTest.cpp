#include "test/support/FleetSimulation.h"
#include "test/support/Seeds.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetSimulation;
using Fake::FleetSimulationOptions;

namespace {

/** \brief Targets that leave while gateways are frozen, killed and drained, and that start whatever
 * they are told to start.
 */
class FleetDrainSoak : public testing::TestWithParam<std::uint64_t>
{
protected:
    std::chrono::milliseconds span(int least, int most)
    {
        return std::chrono::milliseconds(
            std::uniform_int_distribution<int>(least, most)(this->random));
    }

    std::string pick(const std::vector<std::string> &names)
    {
        return names[std::uniform_int_distribution<std::size_t>(0, names.size() - 1)(this->random)];
    }

    void submitJobs(FleetSimulation &simulation, Duration end)
    {
        constexpr Duration interval = 20ms;
        for (Duration elapsed {}; elapsed < end; elapsed += interval) {
            simulation.submit(this->pick(simulation.gatewayNames()), 1, this->span(40, 600), 3s);
            simulation.run(interval);
        }
    }

    std::mt19937_64 random { this->GetParam() };
};

TEST_P(FleetDrainSoak, LeavingAndFullTargetsGetNoWork)
{
    FleetSimulationOptions options;
    options.domains = { "a", "b" };
    options.gatewaysPerDomain = 3;
    options.targetsPerDomain = 4;
    options.targetsGuardCapacity = false;
    options.seed = this->GetParam();
    FleetSimulation simulation(options);
    simulation.run(6s);
    for (int round = 0; round < 8; ++round) {
        switch (std::uniform_int_distribution<int>(0, 2)(this->random)) {
        case 0:
            simulation.freeze(this->pick(simulation.gatewayNames()), this->span(600, 7000));
            break;
        case 1:
            simulation.kill(this->pick(simulation.gatewayNames()), this->span(100, 3000));
            break;
        default:
            const std::string gateway = this->pick(simulation.gatewayNames());
            if (simulation.gateway(gateway) != nullptr)
                simulation.drain(gateway);
            this->submitJobs(simulation, 300ms);
            simulation.kill(gateway, this->span(100, 1000));
        }
        this->submitJobs(simulation, this->span(100, 3000));
        simulation.depart(
            this->pick(simulation.targetNames()),
            { .drainTime = this->span(2000, 9000), .returnsAfter = this->span(0, 3000) });
        this->submitJobs(simulation, this->span(100, 2000));
    }
    this->submitJobs(simulation, 3s);
    for (const std::string &violation : simulation.violations())
        ADD_FAILURE() << violation << " (seed " << this->GetParam() << ")";
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetDrainSoak, testing::ValuesIn(Fake::soakSeeds(20)));

} // namespace
