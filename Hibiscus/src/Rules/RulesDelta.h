#pragma once

#include <Hibiscus/Core>

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/** \returns the digest by which versions of the rules file are compared. */
std::uint64_t digestOf(std::string_view text);

/** \returns the lines of \a text without their line feeds. */
std::vector<std::string> linesOf(std::string_view text);

/** \brief The replacement of one range of lines that turns one rules file into the next. */
struct RulesDelta
{
    std::uint64_t baseDigest = 0;
    std::uint32_t firstLine = 0; ///< index of the first replaced line
    std::uint32_t removedLineCount = 0;
    std::vector<std::string> insertedLines;

    /** \returns the delta from \a base to \a next. */
    static RulesDelta between(std::string_view base, std::string_view next);
    /** \returns the next file, or nothing if the delta was made from another file than \a base. */
    std::optional<std::string> applyTo(std::string_view base) const;

    auto operator<=>(const RulesDelta &other) const = default;
    HIBISCUS_FIELDS(baseDigest, firstLine, removedLineCount, insertedLines)
};

} // namespace Hibiscus
