#pragma once

#include "Hibiscus/src/Rules/RuleSet.h"
#include "Hibiscus/src/Rules/RulesCommand.h"
#include "Hibiscus/src/Rules/RulesDelta.h"

#include <Hibiscus/Membership>

#include <deque>

namespace Hibiscus {

/** \brief The outcome of a RulesCommand. */
enum class ApplyStatus : std::uint8_t {
    Accepted, ///< accepted as ApplyReply::version, or as ApplyReply::evacuationRevision
    Conflict, ///< another change came first; see ApplyReply::conflictingAuthor
    Invalid ///< the file has an error and was rejected as a whole
};

/** \brief The state machine's reply to a RulesCommand. */
struct ApplyReply
{
    ApplyStatus status = ApplyStatus::Invalid;
    std::uint64_t version = 0;
    RuleError error;
    std::string conflictingAuthor; ///< on a conflict: author of the current version
    std::vector<std::string>
        conflictingLines; ///< on a conflict: first lines that this author inserted
    /** \brief The revision with the change, if the command was a ChangeEvacuation. */
    std::optional<std::uint64_t> evacuationRevision;

    auto operator<=>(const ApplyReply &other) const = default;
    HIBISCUS_FIELDS(status, version, error, conflictingAuthor, conflictingLines, evacuationRevision)
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

/** \brief The state machine of the control group: the rules file, its version and its history, and
 * the evacuated failure domains.
 */
class RulesState
{
public:
    using CommandType = RulesCommand;
    using ReplyType = ApplyReply;

    // Commands.
    ApplyReply apply(const RulesCommand &command);
    ApplyReply apply(const ApplyRules &command);
    ApplyReply changeEvacuation(const ChangeEvacuation &command);
    void restore(const Bytes &bytes);

    // Queries.
    Bytes save() const;
    std::uint64_t version() const { return this->currentVersion; }
    const std::string &text() const { return this->currentText; }
    const std::string &source() const { return this->currentSource; }
    const std::deque<RulesChange> &history() const { return this->changes; }
    const Evacuations &evacuations() const { return this->currentEvacuations; }

private:
    ApplyReply conflict() const;
    void replace(const ApplyRules &command, std::uint64_t version);
    void trimHistory();

    std::uint64_t currentVersion = 0;
    std::string currentText;
    std::string currentSource;
    std::deque<RulesChange> changes;
    std::size_t historyBytes = 0; ///< encoded size of the changes
    Evacuations currentEvacuations;
};

} // namespace Hibiscus
