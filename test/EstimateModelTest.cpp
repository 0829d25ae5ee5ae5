#include <Hibiscus/Fleet>
#include <gtest/gtest.h>
#include <random>

using namespace Hibiscus;

namespace {

/** \returns a model after \a runs runs of a route. \a spread of run times and \a error of estimates
 * are standard deviations of logarithms.
 */
EstimateModel modelAfterRuns(std::uint64_t seed, double spread, double error, int runs)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> size(0, spread);
    std::normal_distribution<double> deviation(0, error);
    EstimateModel model;
    for (int i = 0; i < runs; ++i) {
        const double runTime = 0.2 * std::exp(size(random));
        model.addRun(fromSeconds(runTime * std::exp(deviation(random))), fromSeconds(runTime));
    }
    return model;
}

// If run times and estimate errors have the same spread, estimates get half of the weight.
TEST(EstimateModel, RoughEstimatesGetPartialWeight)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
        const EstimateModel model = modelAfterRuns(seed, 0.4, 0.4, 2000);
        EXPECT_NEAR(model.estimateWeight(), 0.5, 0.15) << "seed " << seed;
        EXPECT_GT(model.predictedRunTime(800ms), 300ms) << "seed " << seed;
        EXPECT_LT(model.predictedRunTime(800ms), 600ms) << "seed " << seed;
        EXPECT_GT(model.predictedRunTime(50ms), 70ms) << "seed " << seed;
    }
}

TEST(EstimateModel, ExactEstimatesGetFullWeight)
{
    const EstimateModel model = modelAfterRuns(5, 0.4, 0, 2000);
    EXPECT_NEAR(model.estimateWeight(), 1, 0.02);
    EXPECT_NEAR(toSeconds(model.predictedRunTime(800ms)), 0.8, 0.04);
}

TEST(EstimateModel, UncorrelatedEstimatesGetNoWeight)
{
    for (const std::uint64_t seed : { 6U, 7U }) {
        const EstimateModel model = modelAfterRuns(seed, 0.05, 0.8, 2000);
        EXPECT_LT(model.estimateWeight(), 0.1) << "seed " << seed;
    }
}

TEST(EstimateModel, EstimateIsUnchangedWithoutRuns)
{
    EXPECT_EQ(EstimateModel().predictedRunTime(300ms), 300ms);
}

} // namespace
