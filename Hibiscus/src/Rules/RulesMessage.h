#pragma once

#include "Hibiscus/src/Rules/RulesState.h"

namespace Hibiscus {

/** \brief The whole rules file at a version. */
struct RulesFile
{
    std::uint64_t version = 0;
    std::string text;

    auto operator<=>(const RulesFile &other) const = default;
    HIBISCUS_FIELDS(version, text)
};

/** \brief A change of the rules file for nodes that hold its base. */
struct RulesChanged
{
    std::uint64_t version = 0;
    RulesDelta delta;

    auto operator<=>(const RulesChanged &other) const = default;
    HIBISCUS_FIELDS(version, delta)
};

/** \brief Rules on their way from the control group's leader to an entry node. */
struct RulesUpdate
{
    std::variant<RulesFile, RulesChanged> content;
    bool isConfirmed = false; ///< a quorum confirmed that no newer version was accepted before
    bool isCatchUp = false; ///< from a member that may be behind the others

    auto operator<=>(const RulesUpdate &other) const = default;
    HIBISCUS_FIELDS(content, isConfirmed, isCatchUp)
};

/** \brief An entry node says which version it holds in force. */
struct RulesAcknowledgement
{
    NodeName node;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    auto operator<=>(const RulesAcknowledgement &other) const = default;
    HIBISCUS_FIELDS(node, version, digest)
};

/** \brief An entry node asks for the newest version that a quorum confirms. */
struct FetchRules
{
    NodeName node;
    /** \brief The asker has waited in vain for a confirmed version: any member may answer. */
    bool acceptsLastKnown = false;

    auto operator<=>(const FetchRules &other) const = default;
    HIBISCUS_FIELDS(node, acceptsLastKnown)
};

} // namespace Hibiscus
