#include "Hibiscus/src/Shortage/RetryDelay.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \returns a number from 0 to 1 that depends on \a id only, on all machines (FNV-1a). */
static double fractionOf(const std::string &id)
{
    std::uint64_t hash = 0xcbf29ce484222325U;
    for (const char c : id) {
        hash ^= static_cast<unsigned char>(c);
        hash *= 0x100000001b3U;
    }
    // The lower bits of similar ids differ more than the upper ones.
    constexpr std::uint64_t parts = 1'000;
    return static_cast<double>((hash ^ (hash >> 32U)) % parts) / parts;
}

} // namespace internal

// Nobody comes back before there is room, and as many in the first as in the second half of a span
// as long as the wait: the room that frees meanwhile then lasts for all.
Duration retryDelay(const RetryDelayOptions &options, const std::string &job,
                    Duration untilAdmission)
{
    const Duration earliest = std::clamp(untilAdmission, options.shortest, options.longest);
    const Duration span = std::max(earliest, options.resolution);
    return earliest + fromSeconds(internal::fractionOf(job) * toSeconds(span));
}

} // namespace Hibiscus
