#pragma once

#include "Hibiscus/src/Rules/RulesState.h"

namespace Hibiscus {

/** \brief The whole rules file of one version. */
struct RulesFile
{
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const RulesFile &other) const = default;
    HIBISCUS_FIELDS(version, text)
};

/** \brief A new version as a delta, for nodes that hold the base of the delta. */
struct VersionedDelta
{
    std::uint64_t version = 0;
    RulesDelta delta;

    auto operator<=>(const VersionedDelta &other) const = default;
    HIBISCUS_FIELDS(version, delta)
};

/** \brief A version of the rules, sent to an entry node by a member of the control group, or by
 * another entry node.
 */
struct RulesUpdate
{
    std::variant<RulesFile, VersionedDelta> content;
    bool isConfirmed = false; ///< a quorum confirmed that this is the newest accepted version
    bool isCatchUp = false; ///< sent to an outdated node, by a member that may lag behind
    NodeName sender;
    Evacuations evacuations; ///< the newest that the sender knows

    auto operator<=>(const RulesUpdate &other) const = default;
    HIBISCUS_FIELDS(content, isConfirmed, isCatchUp, sender, evacuations)
};

/** \brief What a RulesUpdate says of its version; for the log. */
enum class RulesOffer : std::uint8_t {
    Confirmed, ///< a quorum confirmed that it is the newest accepted one
    CatchUp, ///< newer than the one of the receiver
    Unconfirmed ///< a new version from the leader, or the last known one of any node
};

RulesOffer offerOf(const RulesUpdate &update);
const char *toString(RulesOffer offer);
std::uint64_t versionOf(const RulesUpdate &update);

/** \brief An entry node's report of the version that is in force on it. */
struct RulesAcknowledgement
{
    NodeName node;
    std::uint64_t version = 0;
    std::uint64_t digest = 0; ///< digest of the file; 0: no rules are in force yet

    auto operator<=>(const RulesAcknowledgement &other) const = default;
    HIBISCUS_FIELDS(node, version, digest)
};

/** \brief An entry node's request for the newest version, confirmed by a quorum. */
struct FetchRules
{
    NodeName node;
    /** \brief Any receiver may answer, unconfirmed, since no quorum confirmed a version in time. */
    bool acceptsLastKnown = false;
    std::uint64_t heldVersion = 0; ///< the version in force on the node
    std::uint64_t heldDigest = 0; ///< digest of its file; 0: no rules are in force yet
    std::uint64_t heldRevision = 0; ///< revision of the evacuations that the node knows

    auto operator<=>(const FetchRules &other) const = default;
    HIBISCUS_FIELDS(node, acceptsLastKnown, heldVersion, heldDigest, heldRevision)
};

} // namespace Hibiscus
