#pragma once

#include "Hibiscus/src/Rules/RulesMessage.h"

namespace Hibiscus {

/** \brief Whether the rules in force on an entry node were confirmed as the newest. */
enum class RulesStatus : std::uint8_t {
    None, ///< no rules yet; the node must not serve
    LastKnown, ///< taken from disk, a peer or one member; not confirmed by a quorum
    Confirmed ///< confirmed by a quorum of the control group
};

/** \brief The rules in force on an entry node. Their version never decreases. */
class ActiveRules
{
public:
    explicit ActiveRules(NodeName self) : node(std::move(self)) { }

    // Commands.
    /** \brief Applies \a update, unless it is older or its base is not held here.
     * \returns an acknowledgement of the version that is in force afterwards.
     */
    std::optional<RulesAcknowledgement> receive(const RulesUpdate &update);
    /** \brief Adopts rules from disk or from a peer, unless this or a newer version is in force. */
    void adoptLastKnown(const RulesFile &file);
    /** \brief Records that the control group accepted \a version, even if it is not held here yet.
     */
    void recordAcceptedVersion(std::uint64_t version, TimePoint now);
    /** \brief Adopts \a evacuations, unless this or a newer revision is known here. */
    void recordEvacuations(const Evacuations &evacuations);

    // Queries.
    const NodeName &self() const { return this->node; }
    RulesStatus status() const { return this->currentStatus; }
    const RulesFile &file() const { return this->currentFile; }
    const RuleSet &rules() const { return this->parsedRules; }
    /** \returns the newest evacuations that this node has learned of, also before it has rules. */
    const Evacuations &evacuations() const { return this->currentEvacuations; }
    RulesAcknowledgement acknowledgement() const;
    /** \returns the time since which a newer version than the one in force is known to be accepted,
     * or nothing if none is.
     */
    std::optional<TimePoint> outdatedSince() const;

private:
    void adopt(const RulesFile &file);

    NodeName node;
    RulesStatus currentStatus = RulesStatus::None;
    RulesFile currentFile;
    RuleSet parsedRules;
    std::uint64_t newestAcceptedVersion = 0; ///< newest one that this node knows of
    TimePoint outdatedFrom; ///< valid while a newer version is known
    Evacuations currentEvacuations;
};

} // namespace Hibiscus
