#pragma once

#include <chrono>
#include <cstdint>

namespace Hibiscus {

/** \brief A duration in microseconds. */
using Duration = std::chrono::microseconds;

/** \brief A point in time, in microseconds since the Unix epoch.
 *
 * All logic takes the current time as an argument of this type; only the event loop of a process
 * reads a clock.
 */
using TimePoint = std::chrono::time_point<std::chrono::system_clock, Duration>;

using namespace std::chrono_literals;

/** \returns \a span in seconds. */
inline double toSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/** \returns \a span in whole milliseconds, rounded towards zero. */
inline std::int64_t toMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

/** \returns \a seconds as a Duration, rounded towards zero. */
inline Duration fromSeconds(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

} // namespace Hibiscus
