#include "Hibiscus/src/Core/JobId.h"

#include <algorithm>
#include <charconv>

namespace Hibiscus {

namespace internal {

constexpr std::size_t maxIdPartLength = 64;

static bool isIdPart(std::string_view part)
{
    const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_'; };
    return !part.empty() && part.size() <= maxIdPartLength
        && std::all_of(part.begin(), part.end(), allowed);
}

} // namespace internal

JobId::JobId(DomainName home, TimePoint issued, std::string unique)
    : homeDomain(std::move(home)), issueTime(std::chrono::floor<std::chrono::milliseconds>(issued)),
      unique(std::move(unique))
{ }

Result<JobId> JobId::parse(std::string_view text)
{
    const std::size_t first = text.find('.');
    if (first == std::string_view::npos)
        return failure(Errc::MalformedJobId);
    const std::size_t second = text.find('.', first + 1);
    if (second == std::string_view::npos)
        return failure(Errc::MalformedJobId);
    const std::string_view home = text.substr(0, first);
    const std::string_view issued = text.substr(first + 1, second - first - 1);
    const std::string_view unique = text.substr(second + 1);
    // 13 digits suffice until the year 2286; more could overflow the microseconds of TimePoint.
    constexpr std::size_t maxTimeDigits = 13;
    std::int64_t milliseconds = 0;
    const auto [end, error]
        = std::from_chars(issued.data(), issued.data() + issued.size(), milliseconds);
    const bool timeIsNumber = error == std::errc() && end == issued.data() + issued.size();
    if (!timeIsNumber || milliseconds < 0 || issued.size() > maxTimeDigits)
        return failure(Errc::MalformedJobId);
    if (!internal::isIdPart(home) || !internal::isIdPart(unique))
        return failure(Errc::MalformedJobId);
    return JobId(DomainName(std::string(home)), TimePoint(std::chrono::milliseconds(milliseconds)),
                 std::string(unique));
}

std::string JobId::str() const
{
    const auto sinceEpoch = this->issueTime.time_since_epoch();
    const auto issued = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
    return this->homeDomain.str() + "." + std::to_string(issued.count()) + "." + this->unique;
}

} // namespace Hibiscus
