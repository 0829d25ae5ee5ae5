#include <Hibiscus/Fleet>
#include <gtest/gtest.h>
#include <random>

using namespace Hibiscus;

namespace {

/** \brief Runs of a route whose run times differ by \a spread and whose estimates are off by
 * \a error, as standard deviations of logarithms.
 */
EstimateModel taught(std::uint64_t seed, double spread, double error, int runs)
{
    std::mt19937_64 random(seed);
    std::normal_distribution<double> size(0, spread);
    std::normal_distribution<double> off(0, error);
    EstimateModel model;
    for (int i = 0; i < runs; ++i) {
        const double runTime = 0.2 * std::exp(size(random));
        model.learn(fromSeconds(runTime * std::exp(off(random))), fromSeconds(runTime));
    }
    return model;
}

// With run times and estimates that are off alike, the truth lies half-way.
TEST(EstimateModel, RoughEstimatesAreBelievedInPart)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U }) {
        const EstimateModel model = taught(seed, 0.4, 0.4, 2000);
        EXPECT_NEAR(model.trust(), 0.5, 0.15) << "seed " << seed;
        EXPECT_GT(model.corrected(800ms), 300ms) << "seed " << seed;
        EXPECT_LT(model.corrected(800ms), 600ms) << "seed " << seed;
        EXPECT_GT(model.corrected(50ms), 70ms) << "seed " << seed;
    }
}

TEST(EstimateModel, ExactEstimatesAreBelieved)
{
    const EstimateModel model = taught(5, 0.4, 0, 2000);
    EXPECT_NEAR(model.trust(), 1, 0.02);
    EXPECT_NEAR(toSeconds(model.corrected(800ms)), 0.8, 0.04);
}

TEST(EstimateModel, EstimatesThatSayNothingAreNotBelieved)
{
    for (const std::uint64_t seed : { 6U, 7U }) {
        const EstimateModel model = taught(seed, 0.05, 0.8, 2000);
        EXPECT_LT(model.trust(), 0.1) << "seed " << seed;
    }
}

TEST(EstimateModel, WithoutRunsAnEstimateIsTakenAsItIs)
{
    EXPECT_EQ(EstimateModel().corrected(300ms), 300ms);
}

} // namespace
