#include "test/support/FleetSimulation.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetSimulation;
using Fake::FleetSimulationOptions;

namespace {

/** \brief Three gateways in as many domains, with two targets each, under 20 jobs a second. */
class HandOverSite
{
public:
    explicit HandOverSite(std::uint64_t seed) : simulation(options(seed)) { }

    static FleetSimulationOptions options(std::uint64_t seed)
    {
        FleetSimulationOptions options;
        options.gatewaysPerDomain = 1;
        options.targetsPerDomain = 2;
        options.seed = seed;
        return options;
    }

    /** \brief Runs for \a span, with a job at each gateway in turn every 50 ms. */
    void runWithJobs(Duration span)
    {
        const std::vector<std::string> gateways = this->simulation.gatewayNames();
        for (const TimePoint end = this->simulation.now() + span; this->simulation.now() < end;) {
            this->jobs.push_back(
                this->simulation.submit(gateways[this->jobs.size() % gateways.size()], 1, 200ms));
            this->simulation.run(50ms);
        }
    }

    /** \returns the share of the jobs from the one with the number \a first on that completed. */
    double servedShareSince(std::size_t first) const
    {
        std::size_t served = 0;
        for (std::size_t i = first; i < this->jobs.size(); ++i) {
            const auto found = this->simulation.answers().find(this->jobs[i]);
            const bool isServed = found != this->simulation.answers().end()
                && found->second.status == TransientJobStatus::Completed;
            served += isServed ? 1 : 0;
        }
        return static_cast<double>(served) / static_cast<double>(this->jobs.size() - first);
    }

    std::uint64_t adoptedTargets() const
    {
        std::uint64_t sum = 0;
        for (const std::string &name : this->simulation.gatewayNames())
            if (const FleetNode *node = this->simulation.gateway(name))
                sum += node->owner().counters().adoptedTargets;
        return sum;
    }

    FleetSimulation simulation;
    std::vector<std::string> jobs;
};

// Guards against targets that go to and fro between two domains for good: a gateway that took them
// over while their domain had none gave them to a gateway of its own domain, or to nobody.
TEST(FleetHandOver, TargetsStayWithTheirDomainOnceItHasAGatewayAgain)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        HandOverSite site(seed);
        site.runWithJobs(6s);
        const std::vector<std::string> gateways = site.simulation.gatewayNames();
        for (std::size_t i = 0; i < gateways.size(); ++i)
            site.simulation.kill(gateways[i], i == 0 ? 1s : 2500ms);
        site.runWithJobs(12s);
        const std::uint64_t adopted = site.adoptedTargets();
        const std::size_t first = site.jobs.size();
        site.runWithJobs(10s);
        site.simulation.run(2s);
        EXPECT_EQ(site.adoptedTargets(), adopted) << "seed " << seed;
        EXPECT_GE(site.servedShareSince(first), 0.98) << "seed " << seed;
        for (const std::string &name : gateways) {
            const FleetNode &node = *site.simulation.gateway(name);
            EXPECT_EQ(node.owner().targetNames().size(), 2U) << name << ", seed " << seed;
            for (const TargetName &target : node.owner().targetNames())
                EXPECT_EQ("g-" + node.owner().findTarget(target)->domain.str() + "1", name);
        }
        for (const std::string &violation : site.simulation.violations())
            ADD_FAILURE() << violation << " (seed " << seed << ")";
    }
}

// Guards against a gateway that refuses its callers until the targets of its domain are handed
// back to it, or report to it.
TEST(FleetHandOver, NewGatewayFindsTheOwnersOfTargetsWithinASecond)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U }) {
        FleetSimulationOptions options;
        options.gatewaysPerDomain = 4;
        options.targetsPerDomain = 8;
        options.seed = seed;
        FleetSimulation simulation(options);
        simulation.run(6s);
        for (const std::string &name : simulation.gatewayNames())
            if (name.starts_with("g-a"))
                simulation.kill(name, 8s);
        simulation.run(9s);
        std::vector<std::string> jobs;
        for (const std::string &name : simulation.gatewayNames())
            if (name.starts_with("g-a"))
                jobs.push_back(simulation.submit(name, 2, 100ms));
        simulation.run(2s);
        for (const std::string &job : jobs) {
            ASSERT_TRUE(simulation.answers().contains(job)) << "seed " << seed;
            EXPECT_EQ(simulation.answers().at(job).status, TransientJobStatus::Completed)
                << toString(simulation.answers().at(job).reason) << ", seed " << seed;
        }
    }
}

} // namespace
