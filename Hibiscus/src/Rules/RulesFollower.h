#pragma once

#include "Hibiscus/src/Rules/RulesMessage.h"

namespace Hibiscus {

/** \brief How sure an entry node is that its rules are the newest. */
enum class RulesStanding : std::uint8_t {
    None, ///< no rules yet: the node must not serve
    LastKnown, ///< read from disk or a neighbour while the control group could not be asked
    Confirmed ///< confirmed by a quorum of the control group
};

/** \brief The rules in force on an entry node. The version never goes down. */
class RulesFollower
{
public:
    explicit RulesFollower(NodeName self) : self(std::move(self)) { }

    // Commands.
    /** \brief Takes \a update and says what is now in force; empty when the base is missing. */
    std::optional<RulesAcknowledged> receive(const RulesUpdate &update);
    /** \brief Takes rules from disk or from a neighbour, unless newer ones are in force. */
    void adoptLastKnown(const RulesFile &file);

    // Queries.
    RulesStanding standing() const { return this->currentStanding; }
    const RulesFile &file() const { return this->current; }
    const RuleSet &rules() const { return this->parsed; }
    RulesAcknowledged acknowledgement() const;

private:
    void adopt(const RulesFile &file);

    NodeName self;
    RulesStanding currentStanding = RulesStanding::None;
    RulesFile current;
    RuleSet parsed;
};

} // namespace Hibiscus
