#include "Hibiscus/src/Fleet/RunForecast.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Shortest time over which the recent rate is measured: about the interval of lists, in
 * which a run that can meet a deadline of some seconds progresses by several percent.
 */
constexpr Duration rateWindow = 90ms;
constexpr std::uint32_t fullProgress = 100; ///< percentage of a run that is done

} // namespace internal

void RunForecast::addProgress(Duration elapsed, std::uint32_t percent)
{
    if (elapsed <= this->latest.elapsed)
        return;
    const Sample sample
        = { .elapsed = elapsed, .percent = std::min(percent, internal::fullProgress) };
    if (sample.percent != this->latest.percent)
        this->progressedAt = elapsed;
    this->latest = sample;
    if (!this->candidate) {
        this->candidate = sample;
    } else if (elapsed - this->candidate->elapsed >= internal::rateWindow) {
        this->reference = this->candidate;
        this->candidate = sample;
    }
}

// The true progress is less than one percentage point above the listed one, so a rate with one more
// point is an upper bound. The recent rate allows for a target that has become faster again.
std::optional<Duration> RunForecast::shortestRunTime() const
{
    if (!this->reference)
        return std::nullopt;
    if (this->latest.percent + 1 >= internal::fullProgress)
        return this->latest.elapsed;
    const auto rateSince = [&](const Sample &start) {
        const double points = 1.0 + this->latest.percent - std::min(start.percent, this->percent());
        return points / toSeconds(this->latest.elapsed - start.elapsed);
    };
    const double rate = std::max(rateSince(Sample()), rateSince(*this->reference));
    const double pointsLeft = internal::fullProgress - 1.0 - this->latest.percent;
    return this->latest.elapsed + fromSeconds(pointsLeft / rate);
}

std::optional<Duration> RunForecast::likelyRunTime() const
{
    if (!this->reference)
        return std::nullopt;
    constexpr double meanRoundingError = 0.5; // listed percentages are rounded down
    const double done = std::min(this->latest.percent + meanRoundingError,
                                 static_cast<double>(internal::fullProgress));
    return fromSeconds(toSeconds(this->latest.elapsed) * internal::fullProgress / done);
}

} // namespace Hibiscus
