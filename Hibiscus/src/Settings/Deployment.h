#pragma once

#include <Hibiscus/Core>

#include <string>
#include <vector>

namespace Hibiscus {

/** \brief The role of a node in the deployment. */
enum class NodeRole : std::uint8_t { Entry, Journal, Control };

/** \brief One process of the deployment. */
struct NodeSettings
{
    NodeName name;
    NodeRole role = NodeRole::Entry;
    DomainName domain; ///< failure domain that the node runs in
    DomainName serves; ///< domain whose jobs a journal node records
    std::string rpc; ///< IP:port for the other processes
    std::string http; ///< IP:port for callers, targets, operators and the platform
    std::uint32_t weight = 1; ///< size of the VM compared to the others

    auto operator<=>(const NodeSettings &other) const = default;
};

/** \brief A service of the deployment. */
struct ServiceSettings
{
    ServiceName name;
    std::uint32_t slots = 8; ///< maximum number of tasks that a target runs at once
    std::uint32_t connections = 64; ///< maximum number of connections to a target

    auto operator<=>(const ServiceSettings &other) const = default;
};

/** \brief Limits that protect a node from overload. */
struct LimitSettings
{
    std::uint32_t waitingTasks = 600; ///< maximum number of tasks that wait at an entry node
    std::uint32_t bodyBytes = 4'000'000; ///< maximum size of a request's body
    std::uint32_t payloadBytes = 65'536; ///< maximum size of a task's payload

    auto operator<=>(const LimitSettings &other) const = default;
};

/** \brief Durations; the settings file has them in milliseconds. */
struct TimingSettings
{
    Duration targetLease = 2s;
    Duration heartbeat = 75ms;
    Duration electionTimeout = 400ms;
    Duration defaultDeadline = 30s;
    Duration maxDeadline = 600s;
    Duration stopTimeout = 60s;

    auto operator<=>(const TimingSettings &other) const = default;
};

/** \brief The settings that all processes of a deployment share. */
struct Deployment
{
    std::string name;
    std::string region;
    std::vector<DomainName> domains;
    std::vector<ServiceSettings> services;
    std::vector<NodeSettings> nodes;
    LimitSettings limits;
    TimingSettings timing;

    const NodeSettings *find(const NodeName &node) const;
    const ServiceSettings *find(const ServiceName &service) const;
    /** \returns the nodes of \a role, in the order of the file. */
    std::vector<NodeSettings> nodesWithRole(NodeRole role) const;
    /** \returns the journal nodes that record the jobs of \a domain. */
    std::vector<NodeSettings> journalNodesOf(const DomainName &domain) const;

    auto operator<=>(const Deployment &other) const = default;
};

/** \brief An error in a settings file. */
struct SettingsError
{
    std::string path; ///< JSON pointer to the invalid part
    std::string reason;

    auto operator<=>(const SettingsError &other) const = default;
};

/** \returns the deployment in \a json, or every error found in it. */
tl::expected<Deployment, std::vector<SettingsError>> parseDeployment(const std::string &json);

/** \returns the deployment in the file \a path, or every error found in it. */
tl::expected<Deployment, std::vector<SettingsError>> readDeployment(const std::string &path);

} // namespace Hibiscus
