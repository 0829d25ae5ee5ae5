#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Replication>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \returns the state of \a replica and \a fields as JSON. */
std::string describeReplica(const Replica &replica, const std::vector<HttpHeader> &fields);

/** \returns the answer to `/healthz`, `/readyz` and `/status` of a replica's process. */
HttpResponse answerReplicaQuery(const std::string &path, const Replica &replica,
                                const std::string &status);

/** \brief Sets the metrics that every replica's process has. */
void updateReplicaMetrics(Metrics &metrics, const Replica &replica, std::uint64_t syncs);

/** \brief Sets the metrics that every process with a relay has. */
void updateRelayMetrics(Metrics &metrics, const RelayCounters &counters);

} // namespace Hibiscus
