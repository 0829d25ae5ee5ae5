#pragma once

#include "Hibiscus/src/Rules/RuleSet.h"
#include "Hibiscus/src/Rules/RulesDelta.h"

#include <deque>

namespace Hibiscus {

/** \brief Replaces the rules file, if it still has the version that the author has seen. */
struct ApplyRules
{
    std::string applyId; ///< the same for each resend of one apply
    std::uint64_t expectedVersion = 0;
    std::string author;
    std::string text;
    TimePoint at; ///< set by the control group's leader
    /** \brief Given by a system that numbers its versions itself: the highest one counts, whatever
     * order they come in. 0: the next version, if expectedVersion is the present one.
     */
    std::uint64_t assignedVersion = 0;
    std::string source; ///< the document that the text was made from, for reading it back

    auto operator<=>(const ApplyRules &other) const = default;
    HIBISCUS_FIELDS(applyId, expectedVersion, author, text, at, assignedVersion, source)
};

/** \brief What became of an ApplyRules. */
enum class ApplyStatus : std::uint8_t {
    Accepted, ///< in force from ApplyReply::version on
    Conflict, ///< another version came first; see ApplyReply::conflictingAuthor
    Invalid ///< the file has an error; nothing of it was taken
};

/** \brief The answer to an ApplyRules. */
struct ApplyReply
{
    ApplyStatus status = ApplyStatus::Invalid;
    std::uint64_t version = 0;
    RuleError error;
    std::string conflictingAuthor; ///< on a conflict: who made the present version
    std::vector<std::string>
        conflictingLines; ///< on a conflict: the lines which that change brought

    auto operator<=>(const ApplyReply &other) const = default;
    HIBISCUS_FIELDS(status, version, error, conflictingAuthor, conflictingLines)
};

/** \brief One accepted change of the rules file. */
struct RulesChange
{
    std::uint64_t version = 0;
    std::string applyId;
    std::string author;
    TimePoint at;
    std::vector<std::string> lines; ///< the lines that the change brought

    auto operator<=>(const RulesChange &other) const = default;
    HIBISCUS_FIELDS(version, applyId, author, at, lines)
};

/** \brief The state machine of the control group: the rules file, its version and its history. */
class RulesState
{
public:
    using CommandType = ApplyRules;
    using ReplyType = ApplyReply;

    // Commands.
    ApplyReply apply(const ApplyRules &command);
    void restore(const Bytes &bytes);

    // Queries.
    Bytes save() const;
    std::uint64_t size() const { return this->changes.size(); }
    std::uint64_t version() const { return this->currentVersion; }
    const std::string &text() const { return this->currentText; }
    const std::string &source() const { return this->currentSource; }
    const std::deque<RulesChange> &history() const { return this->changes; }

private:
    ApplyReply conflict() const;
    void replace(const ApplyRules &command, std::uint64_t version);

    std::uint64_t currentVersion = 0;
    std::string currentText;
    std::string currentSource;
    std::deque<RulesChange> changes;
};

} // namespace Hibiscus
