#pragma once

#include <Hibiscus/Core>

#include <optional>

namespace Hibiscus {

/** \brief Running totals of a process, as read at one time. */
struct LoadTotals
{
    Duration processorTime {}; ///< used by all threads since the start
    std::uint64_t sentBytes = 0; ///< to other processes of the system
    std::uint64_t sentMessages = 0;
    std::uint64_t receivedMessages = 0;

    auto operator<=>(const LoadTotals &other) const = default;
};

/** \brief What a process used on average between two readings. */
struct LoadReading
{
    double processorShare = 0; ///< of one core
    double sentBytesPerSecond = 0;
    double sentMessagesPerSecond = 0;
    double receivedMessagesPerSecond = 0;
    Duration maxTickDelay {}; ///< of a tick behind its time

    auto operator<=>(const LoadReading &other) const = default;
};

/** \brief Turns running totals into a reading once in a while. */
class LoadMeter
{
public:
    explicit LoadMeter(Duration interval) : interval(interval) { }

    /** \brief Takes note of a tick that came \a delay behind its time.
     * \returns a reading, when the interval is over.
     */
    std::optional<LoadReading> record(Duration delay, const LoadTotals &totals, TimePoint now);

private:
    Duration interval;
    TimePoint readAt;
    LoadTotals former;
    Duration maxTickDelay {};
};

/** \returns the processor time that this process has used. */
Duration processorTime();

/** \brief Writes \a reading to the log. */
void logLoad(const LoadReading &reading);

} // namespace Hibiscus
