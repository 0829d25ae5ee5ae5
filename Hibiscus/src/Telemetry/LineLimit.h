#pragma once

#include <Hibiscus/Core>

#include <string>
#include <string_view>
#include <utility>

namespace Hibiscus {

/** \brief Length to which texts that clients choose are cut in the log; enough to recognise them.
 */
inline constexpr std::size_t maxLoggedText = 128;

/** \returns the part of \a text that is logged. */
inline std::string loggedText(std::string_view text)
{
    return std::string(text.substr(0, maxLoggedText));
}

/** \brief Bounds the log lines of an event that clients cause. */
class LineLimit
{
public:
    static constexpr Duration interval = 1s;
    /** \brief Lines in an interval; enough to see which requests are refused and why. */
    static constexpr std::uint64_t maxLines = 20;

    /** \returns whether another line may be written \a now. */
    bool take(TimePoint now)
    {
        if (now >= this->endsAt) {
            this->endsAt = now + interval;
            this->lines = 0;
        }
        if (this->lines++ < maxLines)
            return true;
        ++this->omitted;
        return false;
    }

    /** \returns the number of lines left out since the last call. */
    std::uint64_t takeOmitted() { return std::exchange(this->omitted, 0); }

private:
    TimePoint endsAt;
    std::uint64_t lines = 0;
    std::uint64_t omitted = 0;
};

} // namespace Hibiscus
