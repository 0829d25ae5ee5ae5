#include "Hibiscus/src/Fleet/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run, once there are enough for a mean: estimates are 40% off, so
 * some tens of runs are averaged.
 */
constexpr double learningRate = 0.03;
/** \brief The guess from a target's kind counts as much as so many of its own runs. */
constexpr double kindWeight = 3;
/** \brief Shortest span that says something about speed; below it the round trip dominates. */
constexpr Duration minSpan = 5ms;

} // namespace internal

void RunTimes::Learned::learn(double factor)
{
    ++this->runs;
    const double weight = std::max(internal::learningRate, 1 / static_cast<double>(this->runs));
    this->logFactor += weight * (factor - this->logFactor);
}

void RunTimes::learn(const LeasedTarget &target, Duration estimate, Duration runTime)
{
    if (estimate < internal::minSpan || runTime < internal::minSpan)
        return;
    const double factor = std::log(toSeconds(runTime) / toSeconds(estimate));
    this->kinds[target.kind].learn(factor);
    this->targets[target.name].learn(factor);
}

double RunTimes::slowness(const LeasedTarget &target) const
{
    const auto kind = this->kinds.find(target.kind);
    const auto own = this->targets.find(target.name);
    const double guess = kind == this->kinds.end() ? 0 : kind->second.logFactor;
    if (own == this->targets.end())
        return std::exp(guess);
    const auto runs = static_cast<double>(own->second.runs);
    const double mean = (runs * own->second.logFactor + internal::kindWeight * guess)
        / (runs + internal::kindWeight);
    return std::exp(mean);
}

Duration RunTimes::expected(const LeasedTarget &target, Duration estimate) const
{
    return fromSeconds(toSeconds(estimate) * this->slowness(target));
}

} // namespace Hibiscus
