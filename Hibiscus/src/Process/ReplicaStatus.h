#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Replication>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \returns the state of \a replica and \a fields as JSON. */
std::string describeReplica(const Replica &replica, const std::vector<HttpHeader> &fields);

/** \returns the response of a replica's process to a request for `/healthz`, `/readyz` or
 * `/status`. \a status is the body of the last.
 */
HttpResponse answerReplicaQuery(const std::string &path, const Replica &replica,
                                const std::string &status);

/** \brief Updates the metrics that all processes of replicas have. */
void updateReplicaMetrics(Metrics &metrics, const Replica &replica, std::uint64_t syncs,
                          bool isDiskAvailable);

/** \brief Updates the metrics that all processes with a relay have. */
void updateRelayMetrics(Metrics &metrics, const RelayCounters &counters);

} // namespace Hibiscus
