#pragma once

#include "Hibiscus/src/Rules/RuleSet.h"
#include "Hibiscus/src/Rules/RulesDelta.h"

#include <deque>

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

/** \brief The outcome of an ApplyRules command. */
enum class ApplyStatus : std::uint8_t {
    Accepted, ///< accepted as ApplyReply::version
    Conflict, ///< another change came first; see ApplyReply::conflictingAuthor
    Invalid ///< the file has an error and was rejected as a whole
};

/** \brief The state machine's reply to an ApplyRules command. */
struct ApplyReply
{
    ApplyStatus status = ApplyStatus::Invalid;
    std::uint64_t version = 0;
    RuleError error;
    std::string conflictingAuthor; ///< on a conflict: author of the current version
    std::vector<std::string>
        conflictingLines; ///< on a conflict: first lines that this author inserted

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
    std::vector<std::string> lines; ///< the first lines that the change inserted

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
    std::uint64_t version() const { return this->currentVersion; }
    const std::string &text() const { return this->currentText; }
    const std::string &source() const { return this->currentSource; }
    const std::deque<RulesChange> &history() const { return this->changes; }

private:
    ApplyReply conflict() const;
    void replace(const ApplyRules &command, std::uint64_t version);
    void trimHistory();

    std::uint64_t currentVersion = 0;
    std::string currentText;
    std::string currentSource;
    std::deque<RulesChange> changes;
    std::size_t historyBytes = 0; ///< encoded size of the changes
};

} // namespace Hibiscus
