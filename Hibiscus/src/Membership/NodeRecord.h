#pragma once

#include "Hibiscus/src/Membership/Evacuations.h"

#include <Hibiscus/Core>

#include <vector>

namespace Hibiscus {

/** \brief The function of a node in the system. */
enum class NodeKind : std::uint8_t {
    Gateway, ///< serves callers and owns targets
    Registry ///< keeps the rules and the list of nodes
};

/** \brief The description of a node, as the node itself announces it. */
struct NodeRecord
{
    NodeName node; ///< IP:port at which peers reach its relay
    NodeKind kind = NodeKind::Gateway;
    std::string label; ///< human-readable name for logs
    std::uint64_t incarnation = 0; ///< increases with each start of the process
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the VM relative to the other nodes
    std::string targetsAddress; ///< IP:port at which it receives heartbeats of targets
    bool isDraining = false;

    auto operator<=>(const NodeRecord &other) const = default;
    HIBISCUS_FIELDS(node, kind, label, incarnation, domain, weight, targetsAddress, isDraining)
};

/** \brief A node's announcement of itself to a registry node. */
struct NodeAnnouncement
{
    NodeRecord self;
    std::uint64_t listDigest = 0; ///< digest of the latest list from the receiver; 0: none
    std::uint64_t rulesVersion = 0; ///< version in force on the sender
    std::uint64_t rulesDigest = 0;

    auto operator<=>(const NodeAnnouncement &other) const = default;
    HIBISCUS_FIELDS(self, listDigest, rulesVersion, rulesDigest)
};

/** \brief The live nodes that announced themselves to a registry node, and that node itself. */
struct NodeList
{
    NodeName sender;
    std::uint64_t digest = 0; ///< digest of the node records
    std::vector<NodeRecord> nodes; ///< left empty if the receiver holds a list with this digest
    std::uint64_t rulesVersion = 0; ///< newest accepted version known to the sender
    Evacuations evacuations; ///< newest known to the sender

    auto operator<=>(const NodeList &other) const = default;
    HIBISCUS_FIELDS(sender, digest, nodes, rulesVersion, evacuations)
};

} // namespace Hibiscus
