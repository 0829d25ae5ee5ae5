#pragma once

#include "Hibiscus/src/Core/Error.h"
#include "Hibiscus/src/Core/Name.h"
#include "Hibiscus/src/Core/Time.h"

#include <string>
#include <string_view>

namespace Hibiscus {

/** \brief Lifetime of an id after its issue; an older id is refused as expired. */
inline constexpr Duration jobIdLifetime = 1h;

/** \brief Maximum difference between the clocks of callers and nodes. */
inline constexpr Duration clockSkewBound = 5s;

/** \brief The identity of a job: `<home domain>.<issued, ms since the Unix epoch>.<unique>`.
 *
 * The id names the home of the job: the failure domain whose journal records it. So every entry VM
 * finds the same journal for the same id.
 */
class JobId
{
public:
    JobId() = default;
    JobId(DomainName home, TimePoint issued, std::string unique);

    /** \returns the id written in \a text, or Errc::MalformedJobId. */
    static Result<JobId> parse(std::string_view text);

    const DomainName &home() const { return this->homeDomain; }
    TimePoint issued() const { return this->issueTime; }
    bool isExpired(TimePoint now) const { return now > this->issueTime + jobIdLifetime; }
    bool isFromFuture(TimePoint now) const { return this->issueTime > now + clockSkewBound; }
    std::string str() const;

    auto operator<=>(const JobId &other) const = default;

    /** \brief Serialization for the cereal library. */
    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(this->homeDomain, this->issueTime, this->unique);
    }

private:
    DomainName homeDomain;
    TimePoint issueTime;
    std::string unique;
};

} // namespace Hibiscus
