#pragma once

#include "Hibiscus/src/Rules/RulesMessage.h"

namespace Hibiscus {

/** \brief How sure an entry node is that its rules are the newest. */
enum class RulesStatus : std::uint8_t {
    None, ///< no rules yet: the node must not serve
    LastKnown, ///< read from disk or a neighbour while the control group could not be asked
    Confirmed ///< confirmed by a quorum of the control group
};

/** \brief The rules in force on an entry node. The version never goes down. */
class ActiveRules
{
public:
    explicit ActiveRules(NodeName self) : self(std::move(self)) { }

    // Commands.
    /** \brief Takes \a update and says what is now in force; empty when the base is missing. */
    std::optional<RulesAcknowledgement> receive(const RulesUpdate &update);
    /** \brief Takes rules from disk or from a neighbour, unless newer ones are in force. */
    void adoptLastKnown(const RulesFile &file);
    /** \brief Takes note that \a version has been accepted, whether or not it has arrived here. */
    void recordAcceptedVersion(std::uint64_t version, TimePoint now);

    // Queries.
    RulesStatus status() const { return this->currentStatus; }
    const RulesFile &file() const { return this->current; }
    const RuleSet &rules() const { return this->parsed; }
    RulesAcknowledgement acknowledgement() const;
    /** \returns since when a newer version than the one in force is known to be accepted. */
    std::optional<TimePoint> outdatedSince() const;

private:
    void adopt(const RulesFile &file);

    NodeName self;
    RulesStatus currentStatus = RulesStatus::None;
    RulesFile current;
    RuleSet parsed;
    std::uint64_t newestAccepted = 0; ///< as far as this node was told
    TimePoint newestSince;
};

} // namespace Hibiscus
