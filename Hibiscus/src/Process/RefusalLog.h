#pragma once

#include <Hibiscus/Core>

#include <map>
#include <string>

namespace Hibiscus {

/** \brief Logs the entries of other writers that this process refuses.
 *
 * A writer repeats its entry with each heartbeat or response, so each source is logged at most once
 * in an interval.
 */
class RefusalLog
{
public:
    void record(const std::string &source, const std::string &reason, TimePoint now);

private:
    static constexpr Duration interval = 60s;
    static constexpr std::size_t maxSources = 1'000; ///< bounds the memory

    std::map<std::string, TimePoint> loggedAt; ///< keyed by the source
};

} // namespace Hibiscus
