#pragma once

#include <Hibiscus/Core>

#include <vector>

namespace Hibiscus {

/** \brief What a node does in the system. */
enum class NodeKind : std::uint8_t {
    Gateway, ///< serves callers and owns targets
    Registry ///< keeps the rules and the list of nodes
};

/** \brief A node as it describes itself. Its name is the address where its peers reach it. */
struct NodeRecord
{
    NodeName node; ///< IP:port of its relay
    NodeKind kind = NodeKind::Gateway;
    std::string label; ///< for logs
    std::uint64_t incarnation = 0; ///< grows with each start of the process
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the VM compared to the others
    std::string targetsAddress; ///< IP:port for heartbeats of targets
    bool isDraining = false;

    auto operator<=>(const NodeRecord &other) const = default;
    HIBISCUS_FIELDS(node, kind, label, incarnation, domain, weight, targetsAddress, isDraining)
};

/** \brief A node announces itself to a registry node. */
struct NodeAnnouncement
{
    NodeRecord self;
    std::uint64_t listDigest = 0; ///< of the addressee's latest list that arrived; 0: none
    std::uint64_t rulesVersion = 0; ///< that the sender has in force
    std::uint64_t rulesDigest = 0;

    auto operator<=>(const NodeAnnouncement &other) const = default;
    HIBISCUS_FIELDS(self, listDigest, rulesVersion, rulesDigest)
};

/** \brief The nodes that a registry node heard lately, itself among them. */
struct NodeList
{
    NodeName sender;
    std::uint64_t digest = 0; ///< of the nodes
    std::vector<NodeRecord> nodes; ///< empty: as in the former list with this digest
    std::uint64_t rulesVersion = 0; ///< accepted, as far as the sender knows

    auto operator<=>(const NodeList &other) const = default;
    HIBISCUS_FIELDS(sender, digest, nodes, rulesVersion)
};

} // namespace Hibiscus
