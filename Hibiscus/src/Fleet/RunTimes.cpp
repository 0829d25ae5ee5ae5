#include "Hibiscus/src/Fleet/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run, once there are enough for a mean: estimates are 40% off, so
 * some tens of runs are averaged. */
constexpr double learningRate = 0.03;
/** \brief Shortest span that says something about speed; below it the round trip dominates. */
constexpr Duration shortestSpan = 5ms;

} // namespace internal

void RunTimes::learn(const std::string &kind, Duration estimate, Duration taken)
{
    if (estimate < internal::shortestSpan || taken < internal::shortestSpan)
        return;
    const double factor = std::log(toSeconds(taken) / toSeconds(estimate));
    Learned &learned = this->kinds[kind];
    ++learned.runs;
    const double weight = std::max(internal::learningRate, 1 / static_cast<double>(learned.runs));
    learned.logFactor += weight * (factor - learned.logFactor);
}

double RunTimes::slowness(const std::string &kind) const
{
    const auto found = this->kinds.find(kind);
    return found == this->kinds.end() ? 1 : std::exp(found->second.logFactor);
}

Duration RunTimes::expected(const std::string &kind, Duration estimate) const
{
    return fromSeconds(toSeconds(estimate) * this->slowness(kind));
}

} // namespace Hibiscus
