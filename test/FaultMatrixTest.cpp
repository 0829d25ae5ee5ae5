#include "test/support/Scenario.h"

#include <algorithm>
#include <cstdlib>
#include <gtest/gtest.h>

using namespace Hibiscus;
using Fake::Fault;
using Fake::PlannedFault;
using Fake::Scenario;
using Fake::ScenarioResult;
using Fake::Step;

namespace {

constexpr std::uint64_t matrixSeed = 4242;

/** \brief A combination of a step and a fault. */
struct Cell
{
    Step step;
    Fault fault;
};

std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (std::uint8_t step = 0; step < static_cast<std::uint8_t>(Step::Count); ++step)
        for (std::uint8_t fault = 0; fault < static_cast<std::uint8_t>(Fault::Count); ++fault)
            cells.push_back(
                { .step = static_cast<Step>(step), .fault = static_cast<Fault>(fault) });
    return cells;
}

/** \returns the number of messages of each step in a run without planned faults. */
const std::map<Step, std::uint64_t> &referenceSteps()
{
    static const std::map<Step, std::uint64_t> steps = Scenario(matrixSeed, {}).run().steps;
    return steps;
}

class FaultMatrix : public testing::TestWithParam<Cell>
{ };

TEST(FaultMatrixSteps, EveryStepOccurs)
{
    const ScenarioResult result = Scenario(matrixSeed, {}).run();
    for (const std::string &failure : result.failures)
        ADD_FAILURE() << failure;
    for (std::uint8_t step = 0; step < static_cast<std::uint8_t>(Step::Count); ++step) {
        const auto found = result.steps.find(static_cast<Step>(step));
        EXPECT_TRUE(found != result.steps.end() && found->second > 0)
            << Fake::toString(static_cast<Step>(step)) << " never occurs";
    }
    RecordProperty("answers", static_cast<int>(result.answers));
    EXPECT_GT(result.completeAnswers, 50U);
}

TEST_P(FaultMatrix, GuaranteesHold)
{
    const Cell cell = GetParam();
    const auto reference = referenceSteps().find(cell.step);
    ASSERT_NE(reference, referenceSteps().end());
    // The first message of the step and the one in the middle of the run.
    const std::uint64_t count = reference->second;
    for (const std::uint64_t occurrence : { std::uint64_t(1), (count + 1) / 2 }) {
        const PlannedFault fault
            = { .step = cell.step, .occurrence = occurrence, .fault = cell.fault };
        const ScenarioResult result = Scenario(matrixSeed, { fault }).run();
        EXPECT_EQ(result.injectedFaults, 1U) << "the planned fault was not injected";
        for (const std::string &failure : result.failures)
            ADD_FAILURE() << Fake::toString(cell.fault) << " at " << Fake::toString(cell.step)
                          << " number " << occurrence << ", seed " << matrixSeed << ": " << failure;
    }
}

std::string cellName(const testing::TestParamInfo<Cell> &info)
{
    return std::string(Fake::toString(info.param.step)) + "_" + Fake::toString(info.param.fault);
}

INSTANTIATE_TEST_SUITE_P(All, FaultMatrix, testing::ValuesIn(allCells()), cellName);

} // namespace
