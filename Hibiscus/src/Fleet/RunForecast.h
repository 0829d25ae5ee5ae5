#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief Forecast of the run time of a run from the progress that its target lists.
 *
 * Progress is a whole percentage and linear in the work. Times are counted from the run's start on
 * the target's own clock, so the delays of messages do not matter.
 */
class RunForecast
{
public:
    // Commands.
    /** \brief Adds the progress listed \a elapsed after the start. */
    void addProgress(Duration elapsed, std::uint32_t percent);

    // Queries.
    /** \returns the shortest run time that agrees with the progress, at the higher of the overall
     * and the recent rate; empty until two lists are some time apart.
     */
    std::optional<Duration> shortestRunTime() const;
    /** \returns the expected run time at the overall rate; empty like shortestRunTime(). */
    std::optional<Duration> likelyRunTime() const;
    /** \returns the time from the start to the latest list. */
    Duration elapsed() const { return this->latest.elapsed; }
    /** \returns the time for which the lists have shown the same progress. */
    Duration timeWithoutProgress() const { return this->latest.elapsed - this->progressedAt; }
    std::uint32_t percent() const { return this->latest.percent; }

    auto operator<=>(const RunForecast &other) const = default;

private:
    struct Sample
    {
        Duration elapsed {};
        std::uint32_t percent = 0;

        auto operator<=>(const Sample &other) const = default;
    };

    Sample latest;
    Duration progressedAt {}; ///< time of the first list with the latest progress
    /** \brief Sample that becomes the reference of the recent rate once the latest is later by the
     * window.
     */
    std::optional<Sample> candidate;
    std::optional<Sample> reference;
};

} // namespace Hibiscus
