#pragma once

#include <Hibiscus/Core>

#include <string>
#include <string_view>
#include <vector>

namespace Hibiscus {

/** \returns the digest that tells two rules files apart. */
std::uint64_t digestOf(std::string_view text);

/** \returns the lines of \a text without their line ends. */
std::vector<std::string> linesOf(std::string_view text);

/** \brief One stretch of lines replaced: what turns one rules file into the next. */
struct RulesDelta
{
    std::uint64_t baseDigest = 0;
    std::uint32_t firstLine = 0; ///< lines kept before the change
    std::uint32_t removedLines = 0;
    std::vector<std::string> inserted;

    /** \returns the change from \a base to \a next. */
    static RulesDelta between(std::string_view base, std::string_view next);
    /** \returns the next file, or nothing when \a base is not the file the delta starts from. */
    std::optional<std::string> applyTo(std::string_view base) const;

    auto operator<=>(const RulesDelta &other) const = default;
    HIBISCUS_FIELDS(baseDigest, firstLine, removedLines, inserted)
};

} // namespace Hibiscus
