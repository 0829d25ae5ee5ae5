#include "Hibiscus/src/Rules/RulesState.h"

#include <algorithm>
#include <cereal/types/deque.hpp>

namespace Hibiscus {

namespace internal {

/** \brief Maximum of changes kept, for the history and for detecting a resent ApplyRules. */
constexpr std::size_t maxChanges = 20'000;
/** \brief Maximum of inserted lines kept per change. */
constexpr std::size_t maxLinesPerChange = 20;
/** \brief Limit of the history, which is part of each snapshot. */
constexpr std::size_t maxHistoryBytes = 4'000'000;
/** \brief Maximum of characters kept of such a line. */
constexpr std::size_t maxLineBytes = 1'000;

static std::vector<std::string> insertedLinesOf(std::string_view base, std::string_view next)
{
    std::vector<std::string> lines = RulesDelta::between(base, next).insertedLines;
    if (lines.size() > maxLinesPerChange)
        lines.resize(maxLinesPerChange);
    for (std::string &line : lines)
        if (line.size() > maxLineBytes)
            line.resize(maxLineBytes);
    return lines;
}

} // namespace internal

ApplyReply RulesState::apply(const RulesCommand &command)
{
    return std::visit(
        Overloaded {
            [this](const ApplyRules &rules) { return this->apply(rules); },
            [this](const ChangeEvacuation &change) { return this->changeEvacuation(change); },
        },
        command.body);
}

// A change that was committed on too few disks may be lost after some nodes have learned of it. As
// revisions follow the clock, a later change still has a higher one.
ApplyReply RulesState::changeEvacuation(const ChangeEvacuation &command)
{
    const bool isRepeated
        = this->currentEvacuations.domains.contains(command.domain) == command.isEvacuated;
    if (!isRepeated) {
        const auto time = static_cast<std::uint64_t>(
            std::max<std::int64_t>(0, toMilliseconds(command.at.time_since_epoch())));
        this->currentEvacuations.revision = std::max(this->currentEvacuations.revision + 1, time);
        if (command.isEvacuated)
            this->currentEvacuations.domains.insert(command.domain);
        else
            this->currentEvacuations.domains.erase(command.domain);
    }
    return { .status = ApplyStatus::Accepted,
             .version = this->currentVersion,
             .evacuationRevision = this->currentEvacuations.revision };
}

ApplyReply RulesState::apply(const ApplyRules &command)
{
    const bool isAssigned = command.assignedVersion > 0;
    if (!isAssigned) {
        const auto hasSameId = [&](const RulesChange &c) { return c.applyId == command.applyId; };
        const auto first = std::ranges::find_if(this->changes, hasSameId);
        if (first != this->changes.end())
            return { .status = ApplyStatus::Accepted, .version = first->version };
        if (command.expectedVersion != this->currentVersion)
            return this->conflict();
    }
    const auto rules = RuleSet::parse(command.text);
    if (!rules)
        return { .status = ApplyStatus::Invalid,
                 .version = this->currentVersion,
                 .error = rules.error() };
    const std::uint64_t version = isAssigned ? command.assignedVersion : this->currentVersion + 1;
    if (version > this->currentVersion)
        this->replace(command, version);
    return { .status = ApplyStatus::Accepted, .version = this->currentVersion };
}

void RulesState::replace(const ApplyRules &command, std::uint64_t version)
{
    this->currentVersion = version;
    this->changes.push_back(
        { .version = this->currentVersion,
          .applyId = command.applyId,
          .author = command.author,
          .at = command.at,
          .lines = internal::insertedLinesOf(this->currentText, command.text) });
    this->currentText = command.text;
    this->currentSource = command.source;
    this->historyBytes += encode(this->changes.back()).size();
    this->trimHistory();
}

void RulesState::trimHistory()
{
    while (this->changes.size() > internal::maxChanges
           || (this->historyBytes > internal::maxHistoryBytes && this->changes.size() > 1)) {
        this->historyBytes -= encode(this->changes.front()).size();
        this->changes.pop_front();
    }
}

ApplyReply RulesState::conflict() const
{
    ApplyReply reply;
    reply.status = ApplyStatus::Conflict;
    reply.version = this->currentVersion;
    if (!this->changes.empty()) {
        reply.conflictingAuthor = this->changes.back().author;
        reply.conflictingLines = this->changes.back().lines;
    }
    return reply;
}

Bytes RulesState::save() const
{
    Bytes bytes;
    internal::BinaryWriter archive(bytes);
    archive(this->currentVersion, this->currentText, this->currentSource, this->changes,
            this->currentEvacuations);
    return bytes;
}

// Snapshots from before there were evacuations end with the history.
void RulesState::restore(const Bytes &bytes)
{
    internal::BinaryReader archive(bytes);
    const std::uint64_t previousVersion = this->currentVersion;
    const std::uint64_t previousRevision = this->currentEvacuations.revision;
    archive(this->currentVersion, this->currentText, this->currentSource, this->changes);
    if (!archive.isAtEnd())
        archive(this->currentEvacuations);
    HIBISCUS_INVARIANT(this->currentVersion >= previousVersion,
                       "the version of the rules never decreases");
    HIBISCUS_INVARIANT(this->currentEvacuations.revision >= previousRevision,
                       "the revision of the evacuations never decreases");
    this->historyBytes = 0;
    for (const RulesChange &change : this->changes)
        this->historyBytes += encode(change).size();
}

} // namespace Hibiscus
