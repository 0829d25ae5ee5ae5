#include "test/support/FleetSimulation.h"
#include "test/support/Seeds.h"

#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::FleetSimulation;
using Fake::FleetSimulationOptions;

namespace {

const DomainName domainA("a");
const DomainName domainB("b");

/** \brief Owner of reconciled targets with capacity for two tasks each. */
class EvacuationFixture
{
public:
    explicit EvacuationFixture(const FleetOwnerOptions &options = {}) : owner(options) { }

    /** \brief Adds or updates a target, and answers its polls until it is reconciled. */
    void addTarget(const std::string &name, const DomainName &domain, Duration coldRemaining = {})
    {
        LeasedTarget target;
        target.name = TargetName(name);
        target.incarnation = 1;
        target.service = ServiceName("s");
        target.domain = domain;
        target.capacity = { .cpu = 64'000 };
        target.sequence = ++this->sequence;
        target.coldRemaining = coldRemaining;
        this->owner.updateTarget(target, this->now);
        this->answerPolls();
        this->pass(TargetDriverOptions {}.maxStopTime);
    }

    /** \brief Lets \a span pass, while the targets answer polls with the runs that they have. */
    void pass(Duration span)
    {
        const TimePoint end = this->now + span;
        for (; this->now < end; this->now += 10ms)
            this->answerPolls();
        this->answerPolls();
    }

    void requestRun(std::uint32_t index, std::int64_t cpu = 27'000)
    {
        RunRequest request;
        request.run = { .job = "j", .index = index, .attempt = 1 };
        request.service = ServiceName("s");
        request.demand = { .cpu = cpu };
        request.estimate = 1s;
        request.untilObjective = 10s;
        request.untilDeadline = 10s;
        this->owner.requestRun(request, this->requester, this->now);
        this->startRuns();
    }

    void evacuate(const std::set<DomainName> &domains)
    {
        this->owner.setEvacuatedDomains(domains, this->now);
    }

    void startRuns()
    {
        this->owner.startQueuedRuns(this->contact(), this->now);
        this->executeOrders();
    }

    OwnedTarget reported(const std::string &name) const
    {
        for (const OwnedTarget &target : this->owner.report(this->now).targets)
            if (target.name == TargetName(name))
                return target;
        return {};
    }

    TimePoint now { 1'800'000'000s };
    std::uint64_t sequence = 0;
    FleetOwner owner;
    Requester requester { .node = NodeName("r"), .incarnation = 1 };
    std::size_t stops = 0;

private:
    FleetOwner::LastContact contact() const
    {
        return [this](const Requester &) { return std::optional(this->now); };
    }

    void answerPolls()
    {
        this->owner.tick(this->contact(), this->now);
        this->executeOrders();
    }

    void executeOrders()
    {
        for (const TargetOrder &order : this->owner.takeOrders())
            std::visit([this](const auto &item) { this->execute(item); }, order);
    }

    void execute(const StartOrder &order)
    {
        this->running[order.to.target].push_back(order.run);
        this->owner.handleStartResponse(order.to, order.run,
                                        { .status = OrderStatus::Done, .clockMs = 10 }, this->now);
    }

    void execute(const StopOrder &) { ++this->stops; }

    void execute(const PollOrder &order)
    {
        PollResponse response = { .status = OrderStatus::Done, .clockMs = 10, .incarnation = 1 };
        response.running = this->running[order.to.target];
        this->owner.handlePollResponse(order.to, order.sentAt, response, this->now);
    }

    std::map<TargetName, std::vector<RunName>> running;
};

// Guards against runs that are started in an evacuated domain, or stopped there.
TEST(FleetEvacuation, NothingIsStartedAndWhatRunsGoesOn)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA);
    fixture.requestRun(1);
    ASSERT_EQ(fixture.owner.runningRunCount(), 1U);
    fixture.evacuate({ domainA });
    fixture.requestRun(2);
    EXPECT_EQ(fixture.owner.counters().started, 1U);
    EXPECT_FALSE(fixture.reported("t").acceptsWork);
    EXPECT_TRUE(fixture.reported("t").isWithheld);
    fixture.pass(500ms);
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U);
    EXPECT_EQ(fixture.stops, 0U);
    fixture.evacuate({});
    fixture.pass(10ms);
    fixture.addTarget("t", domainA);
    fixture.requestRun(3);
    EXPECT_EQ(fixture.owner.counters().started, 2U);
}

// Guards against a run that waits for an evacuated target until its deadline.
TEST(FleetEvacuation, QueuedRunsReturnAsNeverStarted)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA);
    for (const std::uint32_t index : { 1U, 2U, 3U })
        fixture.requestRun(index);
    ASSERT_EQ(fixture.owner.queuedRunCount(), 1U);
    fixture.evacuate({ domainA });
    EXPECT_EQ(fixture.owner.queuedRunCount(), 0U);
    const std::vector<RunEnd> ends = fixture.owner.runEndsFor(fixture.requester);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].kind, RunEndKind::Returned);
    EXPECT_EQ(fixture.owner.counters().evacuated, 1U);
}

// Guards against a run that is sent back although a target of another domain is here.
TEST(FleetEvacuation, QueuedRunsWaitForTargetsOfOtherDomains)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA);
    fixture.addTarget("u", domainB);
    for (std::uint32_t index = 1; index <= 5; ++index)
        fixture.requestRun(index);
    ASSERT_EQ(fixture.owner.queuedRunCount(), 1U);
    fixture.evacuate({ domainA });
    EXPECT_EQ(fixture.owner.queuedRunCount(), 1U);
}

// Guards against a restarted gateway that starts runs before it learns what is evacuated.
TEST(FleetEvacuation, NothingIsStartedBeforeTheEvacuationsAreKnown)
{
    EvacuationFixture fixture({ .awaitsEvacuations = true });
    fixture.addTarget("t", domainA);
    fixture.addTarget("u", domainB);
    fixture.requestRun(1);
    EXPECT_EQ(fixture.owner.runningRunCount(), 0U);
    EXPECT_EQ(fixture.owner.queuedRunCount(), 1U);
    EXPECT_FALSE(fixture.reported("u").acceptsWork);
    EXPECT_FALSE(fixture.reported("u").isWithheld) << "others may take it over";
    fixture.evacuate({ domainB });
    EXPECT_TRUE(fixture.reported("u").isWithheld);
    fixture.startRuns();
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U);
    EXPECT_TRUE(fixture.reported("t").acceptsWork);
    EXPECT_FALSE(fixture.reported("u").acceptsWork);
}

// Guards against a hand-over of a target after which its evacuation is forgotten.
TEST(FleetEvacuation, TargetsThatComeLaterAreEvacuatedAsWell)
{
    EvacuationFixture fixture;
    fixture.evacuate({ domainA });
    fixture.addTarget("t", domainA);
    fixture.requestRun(1);
    EXPECT_EQ(fixture.owner.runningRunCount(), 0U);
    EXPECT_EQ(fixture.owner.counters().evacuated, 1U);
}

// Guards against cold targets that are filled at once, which makes all that runs there late.
TEST(FleetEvacuation, ColdTargetsThatComeBackAreFilledStepByStep)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA);
    fixture.evacuate({ domainA });
    fixture.pass(100ms);
    fixture.evacuate({});
    EXPECT_EQ(fixture.reported("t").free.cpu, 32'000) << "no heartbeat has told how cold it is";
    fixture.pass(10ms);
    fixture.addTarget("t", domainA, 4s);
    fixture.requestRun(1);
    fixture.requestRun(2);
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U);
    EXPECT_EQ(fixture.owner.queuedRunCount(), 1U);
    fixture.pass(1s);
    fixture.addTarget("t", domainA, 2s);
    fixture.startRuns();
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U) << "three quarters are not enough for two";
    fixture.addTarget("t", domainA, 500ms);
    fixture.startRuns();
    EXPECT_EQ(fixture.owner.runningRunCount(), 2U);
    fixture.addTarget("t", domainA);
    EXPECT_EQ(fixture.reported("t").free.cpu, 10'000);
}

// Guards against a wide task that waits until a cold target, on which nothing runs, is warm.
TEST(FleetEvacuation, WideTaskRunsAloneOnAColdTarget)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA);
    fixture.evacuate({ domainA });
    fixture.pass(100ms);
    fixture.evacuate({});
    fixture.pass(10ms);
    fixture.addTarget("t", domainA, 4s);
    ASSERT_EQ(fixture.reported("t").free.cpu, 32'000);
    fixture.requestRun(1, 50'000);
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U);
    fixture.requestRun(2, 10'000);
    EXPECT_EQ(fixture.owner.runningRunCount(), 1U) << "the target is cold";
}

// Guards against small deployments that never use a cold target that was not evacuated.
TEST(FleetEvacuation, OtherColdTargetsAreFilledAtOnce)
{
    EvacuationFixture fixture;
    fixture.addTarget("t", domainA, 4s);
    EXPECT_EQ(fixture.reported("t").free.cpu, 64'000);
}

/** \brief A domain that is evacuated and taken back while gateways are frozen, killed and drained.
 */
class FleetEvacuationSoak : public testing::TestWithParam<std::uint64_t>
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
        constexpr Duration interval = 25ms;
        for (Duration elapsed {}; elapsed < end; elapsed += interval) {
            simulation.submit(this->pick(simulation.gatewayNames()), 1, this->span(40, 300), 3s);
            simulation.run(interval);
        }
    }

    FleetSimulationOptions options() const
    {
        FleetSimulationOptions options;
        options.gatewaysPerDomain = 3;
        options.node.owner.awaitsEvacuations = true;
        options.seed = this->GetParam();
        return options;
    }

    void expectNoViolations(const FleetSimulation &simulation) const
    {
        for (const std::string &violation : simulation.violations())
            ADD_FAILURE() << violation << " (seed " << this->GetParam() << ")";
    }

    std::mt19937_64 random { this->GetParam() };
};

std::size_t runsIn(const FleetSimulation &simulation, const std::string &domain)
{
    std::size_t count = 0;
    for (const std::string &name : simulation.targetNames())
        if (simulation.target(name).description.domain == DomainName(domain))
            count += simulation.target(name).running.size();
    return count;
}

// Guards against jobs that are lost or late while there is room in the other domains.
TEST_P(FleetEvacuationSoak, JobsAreServedInOtherDomains)
{
    FleetSimulation simulation(this->options());
    simulation.run(6s);
    this->submitJobs(simulation, 1s);
    simulation.setEvacuatedDomains({ "a" });
    this->submitJobs(simulation, 4s);
    EXPECT_EQ(runsIn(simulation, "a"), 0U);
    simulation.cool("a", 2s);
    simulation.setEvacuatedDomains({});
    std::size_t most = 0;
    for (int step = 0; step < 20; ++step) {
        this->submitJobs(simulation, 200ms);
        most = std::max(most, runsIn(simulation, "a"));
    }
    EXPECT_GT(most, 0U);
    simulation.run(4s);
    EXPECT_EQ(simulation.servedShare(), 1.0) << "seed " << this->GetParam();
    this->expectNoViolations(simulation);
}

TEST_P(FleetEvacuationSoak, NothingIsStartedThroughAnyHandOver)
{
    FleetSimulation simulation(this->options());
    simulation.run(6s);
    const std::vector<std::set<std::string>> choices = { {}, { "a" }, { "b" }, { "a", "b" } };
    for (int round = 0; round < 8; ++round) {
        simulation.setEvacuatedDomains(
            choices[std::uniform_int_distribution<std::size_t>(0, 3)(this->random)]);
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
        this->submitJobs(simulation, this->span(1000, 5000));
    }
    this->expectNoViolations(simulation);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FleetEvacuationSoak, testing::ValuesIn(Fake::soakSeeds(10)));

} // namespace
