#pragma once

#include <Hibiscus/Core>

#include <vector>

namespace Hibiscus {

/** \brief What a node does in the system. */
enum class MemberKind : std::uint8_t {
    Gateway, ///< serves callers and owns targets
    Registry ///< keeps the rules and the list of nodes
};

/** \brief A node as it describes itself. Its name is the address where its peers reach it. */
struct NodeRecord
{
    NodeName node; ///< IP:port of its relay
    MemberKind kind = MemberKind::Gateway;
    std::string label; ///< for logs
    std::uint64_t life = 0; ///< grows with each start of the process
    DomainName domain;
    std::uint32_t weight = 1; ///< size of the VM compared to the others
    std::string targetsAddress; ///< IP:port for heartbeats of targets
    bool isDraining = false;

    auto operator<=>(const NodeRecord &other) const = default;
    HIBISCUS_FIELDS(node, kind, label, life, domain, weight, targetsAddress, isDraining)
};

/** \brief A node announces itself to a registry node. */
struct NodeHello
{
    NodeRecord self;

    auto operator<=>(const NodeHello &other) const = default;
    HIBISCUS_FIELDS(self)
};

/** \brief The nodes that a registry node heard lately, itself among them. */
struct NodeList
{
    std::vector<NodeRecord> nodes;

    auto operator<=>(const NodeList &other) const = default;
    HIBISCUS_FIELDS(nodes)
};

} // namespace Hibiscus
