#include "Hibiscus/src/Rules/ActiveRules.h"

namespace Hibiscus {

std::optional<RulesAcknowledgement> ActiveRules::receive(const RulesUpdate &update)
{
    std::optional<RulesFile> file;
    if (const auto *whole = std::get_if<RulesFile>(&update.content))
        file = *whole;
    if (const auto *changed = std::get_if<RulesChanged>(&update.content)) {
        if (changed->version <= this->current.version)
            return this->acknowledgement();
        const std::optional<std::string> text = changed->delta.applyTo(this->current.text);
        // Another base: answer with what is held, so that the sender sends the whole file.
        if (!text)
            return this->acknowledgement();
        file = RulesFile { .version = changed->version, .text = *text };
    }
    if (file->version >= this->current.version) {
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
    const bool isNews
        = this->currentStatus == RulesStatus::None || file.version > this->current.version;
    if (!isNews)
        return;
    this->adopt(file);
    if (this->currentStatus == RulesStatus::None)
        this->currentStatus = RulesStatus::LastKnown;
}

void ActiveRules::recordAcceptedVersion(std::uint64_t version, TimePoint now)
{
    if (version <= this->newestAccepted)
        return;
    const bool wasOutdated = this->outdatedSince().has_value();
    this->newestAccepted = version;
    if (!wasOutdated)
        this->newestSince = now;
}

std::optional<TimePoint> ActiveRules::outdatedSince() const
{
    if (this->newestAccepted <= this->current.version)
        return std::nullopt;
    return this->newestSince;
}

RulesAcknowledgement ActiveRules::acknowledgement() const
{
    return { .node = this->self,
             .version = this->current.version,
             .digest = digestOf(this->current.text) };
}

void ActiveRules::adopt(const RulesFile &file)
{
    HIBISCUS_INVARIANT(file.version >= this->current.version, "rules in force never go back");
    const bool isSame
        = file.version == this->current.version && this->currentStatus != RulesStatus::None;
    HIBISCUS_INVARIANT(!isSame || file.text == this->current.text,
                       "one version of the rules has one text");
    auto rules = RuleSet::parse(file.text);
    HIBISCUS_INVARIANT(rules.has_value(), "an accepted rules file has no errors");
    this->current = file;
    this->parsed = std::move(*rules);
}

} // namespace Hibiscus
