#include "Hibiscus/src/Rules/ActiveRules.h"

namespace Hibiscus {

std::optional<RulesAcknowledgement> ActiveRules::receive(const RulesUpdate &update)
{
    this->recordEvacuations(update.evacuations);
    std::optional<RulesFile> file;
    if (const auto *wholeFile = std::get_if<RulesFile>(&update.content))
        file = *wholeFile;
    if (const auto *versionedDelta = std::get_if<VersionedDelta>(&update.content)) {
        const bool isHeld = versionedDelta->version == this->currentFile.version;
        if (versionedDelta->version < this->currentFile.version || (isHeld && !update.isConfirmed))
            return this->acknowledgement();
        const std::optional<std::string> text
            = versionedDelta->delta.applyTo(this->currentFile.text);
        // The base differs: acknowledge the held version, so that the sender sends the whole file.
        if (!text)
            return this->acknowledgement();
        file = RulesFile { .version = versionedDelta->version, .text = *text };
    }
    if (file->version >= this->currentFile.version) {
        this->adopt(*file);
        if (update.isConfirmed)
            this->currentStatus = RulesStatus::Confirmed;
        else if (this->currentStatus == RulesStatus::None)
            this->currentStatus = RulesStatus::LastKnown;
    }
    return this->acknowledgement();
}

void ActiveRules::adoptLastKnown(const RulesFile &file)
{
    const bool isNewer
        = this->currentStatus == RulesStatus::None || file.version > this->currentFile.version;
    if (!isNewer)
        return;
    this->adopt(file);
    if (this->currentStatus == RulesStatus::None)
        this->currentStatus = RulesStatus::LastKnown;
}

void ActiveRules::recordAcceptedVersion(std::uint64_t version, TimePoint now)
{
    if (version <= this->newestAcceptedVersion)
        return;
    const bool wasOutdated = this->outdatedSince().has_value();
    this->newestAcceptedVersion = version;
    if (!wasOutdated)
        this->outdatedFrom = now;
}

// Each revision that a node sends is committed, so a higher one is newer, whoever sends it.
void ActiveRules::recordEvacuations(const Evacuations &evacuations)
{
    if (evacuations.isNewerThan(this->currentEvacuations))
        this->currentEvacuations = evacuations;
}

std::optional<TimePoint> ActiveRules::outdatedSince() const
{
    if (this->newestAcceptedVersion <= this->currentFile.version)
        return std::nullopt;
    return this->outdatedFrom;
}

RulesAcknowledgement ActiveRules::acknowledgement() const
{
    const bool hasFile = this->currentStatus != RulesStatus::None;
    return { .node = this->node,
             .version = this->currentFile.version,
             .digest = hasFile ? digestOf(this->currentFile.text) : 0 };
}

void ActiveRules::adopt(const RulesFile &file)
{
    HIBISCUS_INVARIANT(file.version >= this->currentFile.version,
                       "the version of the rules in force never decreases");
    const bool isSame
        = file.version == this->currentFile.version && this->currentStatus != RulesStatus::None;
    HIBISCUS_INVARIANT(!isSame || file.text == this->currentFile.text,
                       "one version of the rules has one text");
    auto rules = RuleSet::parse(file.text);
    HIBISCUS_INVARIANT(rules.has_value(), "an accepted rules file has no errors");
    this->currentFile = file;
    this->parsedRules = std::move(*rules);
}

} // namespace Hibiscus
