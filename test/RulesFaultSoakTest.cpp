#include "test/support/RulesSimulation.h"
#include "test/support/Seeds.h"

#include <algorithm>
#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::RulesCheck;
using Fake::RulesSimulation;
using Fake::RulesSimulationOptions;

namespace {

void expectNoViolations(const RulesSimulation &simulation, RulesCheck first, RulesCheck last)
{
    for (auto check = static_cast<int>(first); check <= static_cast<int>(last); ++check)
        for (const std::string &violation : simulation.violations(static_cast<RulesCheck>(check)))
            ADD_FAILURE() << "check " << check + 1 << ", " << violation;
}

/** \brief Disruptions drawn by a seed. */
class Disruptions
{
public:
    explicit Disruptions(std::uint64_t seed, Duration evacuationInterval = {})
        : random(seed * 7919), losses(1 + seed % 2),
          simulation(this->drawOptions(seed, evacuationInterval))
    { }

    void play()
    {
        this->simulation.run(this->span(500ms, 9s));
        for (auto rounds = this->number(10, 24); rounds > 0; --rounds) {
            this->disrupt();
            const auto pace = this->number(0, 9);
            this->simulation.run(pace < 4       ? this->span(0s, 700ms)
                                     : pace < 8 ? this->span(700ms, 4s)
                                                : this->span(4s, 9s));
        }
        if (this->number(0, 3) > 0) {
            this->waitForDisks();
            this->faultFinally();
        }
        this->simulation.runUntilRecovery();
    }

    const RulesSimulation &result() const { return this->simulation; }

private:
    RulesSimulationOptions drawOptions(std::uint64_t seed, Duration evacuationInterval)
    {
        const std::uint64_t entries[] = { 4, 8, 24, 64 };
        const double lossRates[] = { 0, 0.002, 0.02 };
        return { .seed = seed,
                 .registries = this->number(2 * this->losses + 1, 8),
                 .gateways = this->number(4, 12),
                 .toleratedLosses = this->losses,
                 .entriesPerSnapshot = entries[this->number(0, 3)],
                 .changeInterval
                 = this->number(0, 1) > 0 ? this->span(150ms, 900ms) : this->span(1s, 3s),
                 .lossRate = lossRates[this->number(0, 2)],
                 .evacuationInterval = evacuationInterval };
    }

    void disrupt()
    {
        const std::size_t machine = this->number(0, this->simulation.machineCount() - 1);
        const std::size_t registry = this->number(0, this->simulation.registryCount() - 1);
        switch (this->number(0, 11)) {
        case 0:
            this->simulation.stop(machine, this->span(50ms, 5s));
            break;
        case 1:
            this->simulation.stop(this->simulation.leader(), this->span(50ms, 5s));
            break;
        case 2:
            for (auto count = this->number(2, 5); count > 0; --count)
                this->simulation.stop(this->number(0, this->simulation.machineCount() - 1),
                                      this->span(50ms, 3s));
            break;
        case 3:
            this->losePower(0, this->simulation.registryCount());
            break;
        case 4:
            this->losePower(this->simulation.registryCount(), this->simulation.machineCount());
            break;
        case 5:
            this->losePower(0, this->simulation.machineCount());
            break;
        case 6:
            this->waitForDisks();
            for (const std::size_t lost : this->drawLostDisks())
                this->simulation.loseDisk(lost, this->span(50ms, 4s));
            break;
        case 7:
            this->simulation.freeze(this->number(0, 1) > 0 ? machine : registry,
                                    this->span(100ms, 6s));
            break;
        case 8:
            this->simulation.slowDisk(registry, this->span(20ms, 900ms), this->span(500ms, 5s));
            break;
        case 9:
            this->cutLinks(machine);
            break;
        default:
            this->cutDomain();
        }
    }

    void losePower(std::size_t first, std::size_t end)
    {
        const Duration pause = this->span(100ms, 1500ms);
        for (std::size_t i = first; i < end; ++i)
            this->simulation.stop(i, pause + this->span(0ms, 400ms));
    }

    void waitForDisks()
    {
        while (!this->simulation.mayLoseDisks())
            this->simulation.run(50ms);
    }

    /** \returns as many registry nodes as may lose their disks, often the leader among them. */
    std::vector<std::size_t> drawLostDisks()
    {
        std::vector<std::size_t> order;
        for (std::size_t i = 0; i < this->simulation.registryCount(); ++i)
            order.push_back(i);
        std::ranges::shuffle(order, this->random);
        if (this->number(0, 1) > 0)
            std::iter_swap(order.begin(), std::ranges::find(order, this->simulation.leader()));
        order.resize(this->losses);
        return order;
    }

    void cutLinks(std::size_t machine)
    {
        const Duration span = this->span(200ms, 6s);
        const auto direction = this->number(0, 2);
        for (std::size_t other = 0; other < this->simulation.machineCount(); ++other) {
            if (other == machine || this->number(0, 1) > 0)
                continue;
            if (direction != 1)
                this->simulation.cut(machine, other, span);
            if (direction != 2)
                this->simulation.cut(other, machine, span);
        }
    }

    // Some gateways of the domain start anew while it is cut off.
    void cutDomain()
    {
        const std::size_t domain = this->number(0, RulesSimulation::domainCount - 1);
        if (this->simulation.isDomainCut(domain))
            return;
        this->simulation.cutDomain(domain, this->span(500ms, 14s));
        this->simulation.run(this->span(0s, 1s));
        for (std::size_t i = this->simulation.registryCount(); i < this->simulation.machineCount();
             ++i)
            if (this->simulation.domainOf(i) == domain && this->number(0, 2) == 0)
                this->simulation.stop(i, this->span(50ms, 1s));
    }

    // Either right after an acknowledgement, or with a change on its way.
    void faultFinally()
    {
        if (this->number(0, 1) > 0)
            this->simulation.runUntilAcknowledgement(5s);
        else
            this->simulation.run(this->span(0s, 1s));
        const std::vector<std::size_t> lost = this->drawLostDisks();
        this->losePower(0, this->simulation.machineCount());
        for (const std::size_t machine : lost)
            this->simulation.loseDisk(machine, this->span(100ms, 1s));
        if (this->number(0, 1) == 0)
            return;
        std::size_t still = 0;
        while (std::ranges::find(lost, still) != lost.end())
            ++still;
        this->simulation.freezeAfterStart(still, 6s);
    }

    std::uint64_t number(std::uint64_t least, std::uint64_t most)
    {
        return std::uniform_int_distribution<std::uint64_t>(least, most)(this->random);
    }

    Duration span(Duration least, Duration most)
    {
        return Duration(std::uniform_int_distribution<Duration::rep>(least.count(),
                                                                     most.count())(this->random));
    }

    std::mt19937_64 random;
    std::size_t losses;
    RulesSimulation simulation;
};

/** \returns the run with \a seed, which all tests of this file share. */
const RulesSimulation &runOf(std::uint64_t seed)
{
    static std::map<std::uint64_t, std::unique_ptr<Disruptions>> runs;
    auto &run = runs[seed];
    if (!run) {
        run = std::make_unique<Disruptions>(seed);
        run->play();
    }
    return run->result();
}

class RulesFaultSoak : public testing::TestWithParam<std::uint64_t>
{ };

// Guards against acknowledged changes that are lost, gateways that serve by older rules, and
// gateways that stop serving or stay behind.
TEST_P(RulesFaultSoak, AcknowledgedRulesAreKeptAndInForce)
{
    const RulesSimulation &simulation = runOf(this->GetParam());
    EXPECT_GT(simulation.acknowledgedVersion(), 0U);
    expectNoViolations(simulation, RulesCheck::Kept, RulesCheck::CutDomain);
}

// Guards against changes that are acknowledged while the loss of tolerated disks could undo them.
TEST_P(RulesFaultSoak, AcknowledgedChangesAreOnMoreDisksThanMayBeLost)
{
    const RulesSimulation &simulation = runOf(this->GetParam());
    expectNoViolations(simulation, RulesCheck::Copies, RulesCheck::Copies);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RulesFaultSoak, testing::ValuesIn(Fake::soakSeeds(30)));

class RulesEvacuationSoak : public testing::TestWithParam<std::uint64_t>
{ };

// Guards against acknowledged evacuations that are lost, and gateways that go back to older ones or
// do not learn of them.
TEST_P(RulesEvacuationSoak, AcknowledgedEvacuationsAreKeptAndInForce)
{
    Disruptions disruptions(this->GetParam(), 700ms);
    disruptions.play();
    const RulesSimulation &simulation = disruptions.result();
    EXPECT_GT(simulation.acknowledgedRevision(), 0U);
    expectNoViolations(simulation, RulesCheck::Copies, RulesCheck::CutDomain);
}

INSTANTIATE_TEST_SUITE_P(Seeds, RulesEvacuationSoak, testing::ValuesIn(Fake::soakSeeds(20)));

/** \brief Five registry nodes, of which two disks may be lost, with changes behind the snapshots.
 */
class RulesFault : public testing::Test
{
protected:
    void SetUp() override
    {
        this->simulation.run(9s);
        this->simulation.runUntilAcknowledgement(3s);
        ASSERT_GT(this->simulation.acknowledgedVersion(), 4U);
        for (std::size_t i = 0; i < this->simulation.registryCount(); ++i)
            ASSERT_LT(this->simulation.snapshotVersion(i), this->simulation.acknowledgedVersion());
    }

    void losePower(Duration downTime)
    {
        for (std::size_t i = 0; i < this->simulation.machineCount(); ++i)
            this->simulation.stop(i, downTime);
    }

    RulesSimulation simulation { { .entriesPerSnapshot = 8, .changeInterval = 300ms } };
};

// Guards against gateways that serve by the rules of a snapshot while one of the three registry
// nodes that are left stands still.
TEST_F(RulesFault, NothingOlderIsServedAfterTheFinalFault)
{
    this->losePower(500ms);
    this->simulation.loseDisk(0, 500ms);
    this->simulation.loseDisk(4, 500ms);
    this->simulation.freezeAfterStart(2, 6s);
    this->simulation.run(5s);
    for (std::size_t i = this->simulation.registryCount(); i < this->simulation.machineCount(); ++i)
        EXPECT_FALSE(this->simulation.serves(i)) << i;
    this->simulation.runUntilRecovery();
    expectNoViolations(this->simulation, RulesCheck::Kept, RulesCheck::CutDomain);
}

// Guards against checks that see nothing: more disks are lost than a group can survive.
TEST_F(RulesFault, LossOfTooManyDisksIsReported)
{
    this->losePower(500ms);
    for (std::size_t i = 0; i < 4; ++i)
        this->simulation.loseDisk(i, 500ms);
    this->simulation.runUntilRecovery();
    EXPECT_FALSE(this->simulation.violations(RulesCheck::Recovery).empty());
}

} // namespace
