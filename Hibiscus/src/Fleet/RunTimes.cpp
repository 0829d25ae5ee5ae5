#include "Hibiscus/src/Fleet/RunTimes.h"

#include <cmath>

namespace Hibiscus {

namespace internal {

/** \brief Weight of the newest run: estimates are 40% off, so some tens of runs are averaged. */
constexpr double learningRate = 0.03;
/** \brief Shortest span that says something about speed; below it the round trip dominates. */
constexpr Duration shortestSpan = 5ms;

} // namespace internal

void RunTimes::learn(const std::string &kind, Duration estimate, Duration taken)
{
    if (estimate < internal::shortestSpan || taken < internal::shortestSpan)
        return;
    const double factor = std::log(toSeconds(taken) / toSeconds(estimate));
    const auto [found, isNew] = this->logFactors.try_emplace(kind, factor);
    if (!isNew)
        found->second += internal::learningRate * (factor - found->second);
}

Duration RunTimes::expected(const std::string &kind, Duration estimate) const
{
    const auto found = this->logFactors.find(kind);
    if (found == this->logFactors.end())
        return estimate;
    return fromSeconds(toSeconds(estimate) * std::exp(found->second));
}

} // namespace Hibiscus
