#pragma once

#include <Hibiscus/Core>

#include <variant>

namespace Hibiscus {

/** \brief A command to replace the rules file, if it still has the version that the author saw. */
struct ApplyRules
{
    std::string applyId; ///< identifies the command across resends
    std::uint64_t expectedVersion = 0;
    std::string author;
    std::string text;
    TimePoint at; ///< set by the control group's leader
    /** \brief The version number, if assigned by an external system: the highest one wins, whatever
     * the order of arrival. 0: the next version is used, if expectedVersion is the current one.
     */
    std::uint64_t assignedVersion = 0;
    std::string source; ///< the document that the text was generated from, returned to readers

    auto operator<=>(const ApplyRules &other) const = default;
    HIBISCUS_FIELDS(applyId, expectedVersion, author, text, at, assignedVersion, source)
};

/** \brief A command to start or finish the evacuation of a failure domain. */
struct ChangeEvacuation
{
    DomainName domain;
    bool isEvacuated = false; ///< whether the domain is evacuated from now on
    TimePoint at; ///< set by the control group's leader

    auto operator<=>(const ChangeEvacuation &other) const = default;
    HIBISCUS_FIELDS(domain, isEvacuated, at)
};

/** \brief A command in the log of the control group.
 *
 * It is encoded as an ApplyRules, as in logs from before there were evacuations. A ChangeEvacuation
 * follows an empty one, so the encoded command must be the last value of its bytes.
 */
struct RulesCommand
{
    std::variant<ApplyRules, ChangeEvacuation> body;

    auto operator<=>(const RulesCommand &other) const = default;

    template<typename Archive>
    void save(Archive &archive) const
    {
        const auto *change = std::get_if<ChangeEvacuation>(&this->body);
        if (change == nullptr)
            archive(std::get<ApplyRules>(this->body));
        else
            archive(ApplyRules(), *change);
    }

    template<typename Archive>
    void load(Archive &archive)
    {
        archive(this->body.emplace<ApplyRules>());
        if (!archive.isAtEnd())
            archive(this->body.emplace<ChangeEvacuation>());
    }
};

} // namespace Hibiscus
