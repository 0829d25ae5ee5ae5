#include "Hibiscus/src/Process/RefusalLog.h"

#include <Hibiscus/Telemetry>

namespace Hibiscus {

void RefusalLog::record(const std::string &source, const std::string &reason, TimePoint now)
{
    constexpr std::size_t maxSourceBytes = 128;
    const std::string key = source.substr(0, maxSourceBytes);
    std::erase_if(this->loggedAt, [&](const auto &item) { return now >= item.second + interval; });
    if (this->loggedAt.size() >= maxSources || !this->loggedAt.try_emplace(key, now).second)
        return;
    logEvent("entry-refused", { { "source", key }, { "reason", reason } });
}

} // namespace Hibiscus
