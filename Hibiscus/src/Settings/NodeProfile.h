#pragma once

#include "Hibiscus/src/Settings/Deployment.h"

#include <tl/expected.hpp>

namespace Hibiscus {

/** \brief The settings of one process that finds the others by itself, instead of a Deployment. */
struct NodeProfile
{
    std::string label; ///< for logs
    DomainName domain;
    std::string ip;
    std::string peerAddress; ///< IP:port for the other nodes; the same port on every node
    std::string targetsAddress; ///< IP:port for heartbeats of targets; if not given, the port after
                                ///< the peers'
    std::string metricsAddress; ///< IP:port; empty: not served
    std::string callersAddress; ///< IP:port; gateways
    std::string readinessAddress; ///< IP:port; gateways
    std::string operatorsAddress; ///< IP:port for operators and for first heartbeats; registries
    std::vector<std::string> registrySeeds; ///< operators' addresses of some registry nodes
    bool isFirstStart = false; ///< of the whole system: the seeds form the group of registries
    std::string dataFolder; ///< registries
    std::uint32_t toleratedLosses = 1; ///< disks that may be lost at once without losing rules
    double processorShare = 1; ///< of a core
    Duration lease = 1s; ///< longest that targets grant
    Duration stopBound = 6s; ///< after a request to stop
    Duration heartbeat = 1500ms; ///< of targets

    auto operator<=>(const NodeProfile &other) const = default;
};

/** \brief Reads and checks the settings file \a path.
 * \returns the profile, or every reason why the file is not valid.
 */
tl::expected<NodeProfile, std::vector<SettingsError>> readNodeProfile(const std::string &path);

} // namespace Hibiscus
