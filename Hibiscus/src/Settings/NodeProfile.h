#pragma once

#include "Hibiscus/src/Settings/Deployment.h"

#include <tl/expected.hpp>

namespace Hibiscus {

/** \brief Which decisions on runs are switched on. */
struct SchedulingSettings
{
    /** \brief Whether runs are stopped by forecasts from the progress that targets list. */
    bool usesRunForecasts = false;
    bool packsTargets = false; ///< whether tasks go where they leave the least room unusable

    auto operator<=>(const SchedulingSettings &other) const = default;
};

/** \brief The settings of one node that discovers the others, and needs no Deployment. */
struct NodeProfile
{
    std::string label; ///< name of the node in logs
    DomainName domain;
    /** \brief Names of all failure domains; may be empty, then they are learned from announcements
     * of nodes and targets.
     */
    std::vector<DomainName> domains;
    std::string ip;
    std::string peerAddress; ///< IP:port for the other nodes; the same port on every node
    /** \brief IP:port for heartbeats of targets; by default the port after that of peerAddress. */
    std::string targetsAddress;
    std::string metricsAddress; ///< IP:port for metrics; empty if they are not served
    std::string callersAddress; ///< IP:port for callers; gateways only
    std::string readinessAddress; ///< IP:port for readiness checks; gateways only
    /** \brief IP:port for operators and for first heartbeats of targets; registry nodes only. */
    std::string operatorsAddress;
    std::vector<std::string> registrySeeds; ///< addresses for operators of some registry nodes
    /** \brief Whether this is the first start of the whole system: the seeds form the group of
     * registry nodes.
     */
    bool isFirstStart = false;
    std::string dataFolder; ///< folder of the log; registry nodes only
    /** \brief Number of disks that may be lost at once without losing rules. */
    std::uint32_t toleratedLosses = 1;
    double processorShare = 1; ///< available processor time, in cores
    /** \brief Memory of the process, in megabytes; by default that of the smallest supported VM. */
    std::uint32_t memoryMb = 120;
    std::uint32_t maxDescriptors = 0; ///< that the process may open; 0: as the system says
    Duration lease = 1s; ///< maximum lease that targets grant
    Duration stopTimeout = 6s; ///< time in which the process must exit after a request to stop
    Duration heartbeat = 1500ms; ///< interval between heartbeats of a target
    /** \brief Time in which a target may be given work after it was acknowledged that it leaves. */
    Duration drainTime = 2s;
    SchedulingSettings scheduling;

    auto operator<=>(const NodeProfile &other) const = default;
};

/** \brief Reads and checks the settings file \a path.
 * \returns the profile, or every reason why the file is not valid.
 */
tl::expected<NodeProfile, std::vector<SettingsError>> readNodeProfile(const std::string &path);

} // namespace Hibiscus
