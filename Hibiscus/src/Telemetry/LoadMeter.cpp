#include "Hibiscus/src/Telemetry/LoadMeter.h"

#include "Hibiscus/src/Telemetry/EventLog.h"

#include <cmath>
#include <sys/resource.h>

namespace Hibiscus {

namespace internal {

static std::string rounded(double value)
{
    return std::to_string(std::lround(value));
}

} // namespace internal

std::optional<LoadReading> LoadMeter::record(Duration delay, const LoadTotals &totals,
                                             TimePoint now)
{
    this->recordTick(delay);
    if (!this->isDue(now))
        return std::nullopt;
    const double seconds = toSeconds(now - this->previousReadAt);
    const auto rate = [&](std::uint64_t previous, std::uint64_t current) {
        return static_cast<double>(current - previous) / seconds;
    };
    LoadReading reading;
    reading.processorShare
        = toSeconds(totals.processorTime - this->previousTotals.processorTime) / seconds;
    reading.sentBytesPerSecond = rate(this->previousTotals.sentBytes, totals.sentBytes);
    reading.sentMessagesPerSecond = rate(this->previousTotals.sentMessages, totals.sentMessages);
    reading.receivedMessagesPerSecond
        = rate(this->previousTotals.receivedMessages, totals.receivedMessages);
    reading.maxTickDelay = std::exchange(this->maxTickDelay, Duration());
    const bool isFirst = this->previousReadAt == TimePoint();
    this->previousReadAt = now;
    this->previousTotals = totals;
    return isFirst ? std::nullopt : std::optional(reading);
}

Duration processorTime()
{
    rusage usage = {};
    ::getrusage(RUSAGE_SELF, &usage);
    const auto span = [](const timeval &time) {
        return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                    + std::chrono::microseconds(time.tv_usec));
    };
    return span(usage.ru_utime) + span(usage.ru_stime);
}

void logLoad(const LoadReading &reading)
{
    constexpr double perMille = 1000;
    logEvent("load",
             { { "processor_per_mille", internal::rounded(perMille * reading.processorShare) },
               { "sent_bytes_per_s", internal::rounded(reading.sentBytesPerSecond) },
               { "sent_messages_per_s", internal::rounded(reading.sentMessagesPerSecond) },
               { "received_messages_per_s", internal::rounded(reading.receivedMessagesPerSecond) },
               { "longest_delay_ms", std::to_string(toMilliseconds(reading.maxTickDelay)) } });
}

} // namespace Hibiscus
