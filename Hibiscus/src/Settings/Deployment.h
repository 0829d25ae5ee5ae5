#pragma once

#include <Hibiscus/Core>

#include <string>
#include <vector>

namespace Hibiscus {

/** \brief What a node of the deployment does. */
enum class NodeRole : std::uint8_t { Entry, Journal, Control };

/** \brief One process of the deployment. */
struct NodeSettings
{
    NodeName name;
    NodeRole role = NodeRole::Entry;
    DomainName domain; ///< where it runs
    DomainName serves; ///< for a journal: the domain whose jobs it records
    std::string rpc; ///< address for the other processes
    std::string http; ///< address for callers, targets, operators and the platform
    std::uint32_t weight = 1; ///< size of the VM compared to the others

    auto operator<=>(const NodeSettings &other) const = default;
};

/** \brief A service of the deployment. */
struct ServiceSettings
{
    ServiceName name;
    std::uint32_t slots = 8; ///< most tasks that a target runs at once
    std::uint32_t connections = 64; ///< most connections to a target

    auto operator<=>(const ServiceSettings &other) const = default;
};

/** \brief Bounds that protect a node. */
struct LimitSettings
{
    std::uint32_t waitingTasks = 600; ///< tasks waiting at an entry node
    std::uint32_t bodyBytes = 4'000'000; ///< size of a caller's request
    std::uint32_t payloadBytes = 65'536; ///< size of a task's payload

    auto operator<=>(const LimitSettings &other) const = default;
};

/** \brief Times, each in milliseconds in the file. */
struct TimingSettings
{
    Duration targetLease = 2s;
    Duration heartbeat = 75ms;
    Duration electionTimeout = 400ms;
    Duration defaultDeadline = 30s;
    Duration maxDeadline = 600s;
    Duration stopBound = 60s;

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
    std::vector<NodeSettings> withRole(NodeRole role) const;
    /** \returns the journal nodes that record the jobs of \a domain. */
    std::vector<NodeSettings> journalOf(const DomainName &domain) const;

    auto operator<=>(const Deployment &other) const = default;
};

/** \brief What is wrong with a settings file, and where in the document. */
struct SettingsError
{
    std::string path; ///< as a JSON pointer
    std::string reason;

    auto operator<=>(const SettingsError &other) const = default;
};

/** \returns the deployment in \a json, or every error found in it. */
tl::expected<Deployment, std::vector<SettingsError>> parseDeployment(const std::string &json);

/** \returns the deployment in the file \a path, or every error found in it. */
tl::expected<Deployment, std::vector<SettingsError>> readDeployment(const std::string &path);

} // namespace Hibiscus
