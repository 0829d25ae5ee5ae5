#pragma once

#include <Hibiscus/Core>

namespace Hibiscus {

/** \brief Fencing tokens: milliseconds since the Unix epoch, then the tag of the owner.
 *
 * Tokens must grow from owner to owner without communication between them, so they are taken from
 * the clock.
 */
struct FencingToken
{
    /** \brief Tags per millisecond; the tokens stay below 2^53 and are exact as JSON numbers. */
    static constexpr std::uint64_t tagCount = 1024;

    /** \returns the token of the owner with \a tag that takes over a target at \a now. */
    static std::uint64_t at(TimePoint now, std::uint64_t tag)
    {
        const auto milliseconds
            = static_cast<std::uint64_t>(toMilliseconds(now.time_since_epoch()));
        return milliseconds * tagCount + tag;
    }
};

} // namespace Hibiscus
