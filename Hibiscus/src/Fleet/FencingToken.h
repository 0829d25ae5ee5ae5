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

    /** \brief An owner reports its token anew when it has raised it so many times. */
    static constexpr std::uint64_t maxUnreportedRaises = 32;

    /** \returns \a token raised \a times times; each raise is as large as a millisecond. */
    static constexpr std::uint64_t raised(std::uint64_t token, std::uint64_t times)
    {
        return token + times * tagCount;
    }

    /** \returns a token above all orders of the owner that has reported \a token, also while its
     * latest reports are missing. Far below that of an owner that takes the target over seconds
     * later.
     */
    static constexpr std::uint64_t fenceOf(std::uint64_t token)
    {
        constexpr std::uint64_t raises = 4 * maxUnreportedRaises;
        return raised(token, raises);
    }

    /** \returns the token with which an owner goes on whose orders with \a token were fenced by
     * fenceOf() one of its earlier tokens.
     */
    static constexpr std::uint64_t afterFence(std::uint64_t token)
    {
        return raised(fenceOf(token), maxUnreportedRaises);
    }
};

} // namespace Hibiscus
