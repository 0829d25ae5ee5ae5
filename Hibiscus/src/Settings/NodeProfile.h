#pragma once

#include "Hibiscus/src/Settings/Deployment.h"

#include <tl/expected.hpp>

namespace Hibiscus {

/** \brief How gateways choose among transient jobs when targets have too little room for all. */
enum class SchedulingMode : std::uint8_t {
    Tasks, ///< by the queue before a job; tasks start by priority
    WholeJobs ///< by the expected end of a whole job; see docs/design/choice-under-shortage.md
};

/** \brief The settings of one node that discovers the others, and needs no Deployment. */
struct NodeProfile
{
    std::string label; ///< name of the node in logs
    DomainName domain;
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
    Duration lease = 1s; ///< maximum lease that targets grant
    Duration stopTimeout = 6s; ///< time in which the process must exit after a request to stop
    Duration heartbeat = 1500ms; ///< interval between heartbeats of a target
    /** \brief Time in which a target may be given work after it was acknowledged that it leaves. */
    Duration drainTime = 2s;
    SchedulingMode scheduling = SchedulingMode::Tasks; ///< gateways only

    auto operator<=>(const NodeProfile &other) const = default;
};

/** \brief Reads and checks the settings file \a path.
 * \returns the profile, or every reason why the file is not valid.
 */
tl::expected<NodeProfile, std::vector<SettingsError>> readNodeProfile(const std::string &path);

} // namespace Hibiscus
