#include "Hibiscus/src/Rules/RulesFollower.h"

namespace Hibiscus {

std::optional<RulesAcknowledged> RulesFollower::receive(const RulesUpdate &update)
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
            this->currentStanding = RulesStanding::Confirmed;
        else if (this->currentStanding == RulesStanding::None)
            this->currentStanding = RulesStanding::LastKnown;
    }
    return this->acknowledgement();
}

void RulesFollower::adoptLastKnown(const RulesFile &file)
{
    const bool isNews
        = this->currentStanding == RulesStanding::None || file.version > this->current.version;
    if (!isNews)
        return;
    this->adopt(file);
    if (this->currentStanding == RulesStanding::None)
        this->currentStanding = RulesStanding::LastKnown;
}

void RulesFollower::noteAccepted(std::uint64_t version, TimePoint now)
{
    if (version <= this->newestAccepted)
        return;
    const bool wasOutdated = this->outdatedSince().has_value();
    this->newestAccepted = version;
    if (!wasOutdated)
        this->newestSince = now;
}

std::optional<TimePoint> RulesFollower::outdatedSince() const
{
    if (this->newestAccepted <= this->current.version)
        return std::nullopt;
    return this->newestSince;
}

RulesAcknowledged RulesFollower::acknowledgement() const
{
    return { .node = this->self,
             .version = this->current.version,
             .digest = digestOf(this->current.text) };
}

void RulesFollower::adopt(const RulesFile &file)
{
    HIBISCUS_INVARIANT(file.version >= this->current.version, "rules in force never go back");
    const bool isSame
        = file.version == this->current.version && this->currentStanding != RulesStanding::None;
    HIBISCUS_INVARIANT(!isSame || file.text == this->current.text,
                       "one version of the rules has one text");
    auto rules = RuleSet::parse(file.text);
    HIBISCUS_INVARIANT(rules.has_value(), "an accepted rules file has no errors");
    this->current = file;
    this->parsed = std::move(*rules);
}

} // namespace Hibiscus
