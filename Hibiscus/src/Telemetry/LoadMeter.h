#pragma once

#include <Hibiscus/Core>

#include <algorithm>
#include <optional>

namespace Hibiscus {

/** \brief Cumulative load of a process at one time. */
struct LoadTotals
{
    Duration processorTime {}; ///< total of all threads since the start of the process
    std::uint64_t sentBytes = 0; ///< to other processes of the system
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;

    auto operator<=>(const LoadTotals &other) const = default;
};

/** \brief Average load of a process between two readings. */
struct LoadReading
{
    double processorShare = 0; ///< share of one core
    double sentBytesPerSecond = 0;
    double sentMessagesPerSecond = 0;
    double receivedMessagesPerSecond = 0;
    Duration maxTickDelay {}; ///< longest delay of a tick behind its scheduled time

    auto operator<=>(const LoadReading &other) const = default;
};

/** \brief Computes a reading from cumulative totals at the end of each interval. */
class LoadMeter
{
public:
    explicit LoadMeter(Duration interval) : interval(interval) { }

    /** \brief Records a tick that ran \a delay after its scheduled time. */
    void recordTick(Duration delay) { this->maxTickDelay = std::max(this->maxTickDelay, delay); }
    /** \returns whether the interval has ended, so that the next record() gives a reading. */
    bool isDue(TimePoint now) const { return now >= this->previousReadAt + this->interval; }
    /** \brief Records a tick, and starts the next interval if the present one has ended.
     * \returns a reading when the interval has ended, except for the first one.
     */
    std::optional<LoadReading> record(Duration delay, const LoadTotals &totals, TimePoint now);

private:
    Duration interval;
    TimePoint previousReadAt;
    LoadTotals previousTotals;
    Duration maxTickDelay {};
};

/** \returns the processor time that this process has used. */
Duration processorTime();

/** \brief Writes \a reading to the log. */
void logLoad(const LoadReading &reading);

} // namespace Hibiscus
