#include "Hibiscus/src/Process/ReplicaStatus.h"

#include <nlohmann/json.hpp>

namespace Hibiscus {

namespace internal {

static const char *nameOf(ReplicaRole role)
{
    switch (role) {
    case ReplicaRole::Follower:
        return "follower";
    case ReplicaRole::Candidate:
        return "candidate";
    case ReplicaRole::Leader:
        return "leader";
    }
    return "unknown";
}

} // namespace internal

std::string describeReplica(const Replica &replica, const std::vector<HttpHeader> &fields)
{
    nlohmann::ordered_json json;
    json["node"] = replica.self().node.str();
    for (const HttpHeader &field : fields)
        json[field.name] = field.value;
    json["replica"] = internal::nameOf(replica.role());
    json["term"] = replica.term();
    json["commit"] = replica.commitIndex();
    json["leader"] = replica.leader() ? replica.leader()->node.str() : "";
    json["members"] = nlohmann::ordered_json::array();
    for (const Member &member : replica.confirmedMembership().members)
        json["members"].push_back({ { "node", member.id.node.str() },
                                    { "incarnation", member.id.incarnation },
                                    { "voter", member.role == MemberRole::Voter } });
    return json.dump() + "\n";
}

HttpResponse answerReplicaQuery(const std::string &path, const Replica &replica,
                                const std::string &status)
{
    if (path == "/healthz")
        return { .body = "{\"alive\":true}\n" };
    if (path == "/status")
        return { .body = status };
    if (path == "/readyz") {
        const bool isReady = replica.isMember() && replica.leader().has_value();
        return { .status = isReady ? 200 : 503,
                 .body = isReady ? "{\"ready\":true}\n" : "{\"ready\":false}\n" };
    }
    return { .status = 404, .body = "{\"error\":\"not-found\"}\n" };
}

void updateReplicaMetrics(Metrics &metrics, const Replica &replica, std::uint64_t syncs,
                          bool isDiskAvailable)
{
    metrics.setGauge("hibiscus_replica_disk_available", "1 while the disk takes writes, else 0.",
                     isDiskAvailable ? 1 : 0);
    metrics.setGauge("hibiscus_replica_is_leader", "1 on the leader of the group, else 0.",
                     replica.isLeader() ? 1 : 0);
    metrics.setGauge("hibiscus_replica_term", "Term of the group as this member knows it.",
                     static_cast<double>(replica.term()));
    metrics.setGauge("hibiscus_replica_commit_index", "Index of the last committed entry.",
                     static_cast<double>(replica.commitIndex()));
    metrics.setGauge("hibiscus_replica_log_entries", "Entries behind the last snapshot.",
                     static_cast<double>(replica.logSize()));
    metrics.setGauge("hibiscus_replica_voters",
                     "Members with a vote, by the latest change that is finished.",
                     static_cast<double>(replica.confirmedMembership().voterCount()));
    metrics.setCounter("hibiscus_replica_syncs_total", "Syncs of the log.",
                       static_cast<double>(syncs));
}

void updateRelayMetrics(Metrics &metrics, const RelayCounters &counters)
{
    metrics.setCounter("hibiscus_relay_sent_messages_total", "Messages sent to other processes.",
                       static_cast<double>(counters.sentMessages));
    metrics.setCounter("hibiscus_relay_sent_bytes_total", "Bytes of those messages.",
                       static_cast<double>(counters.sentBytes));
    metrics.setCounter("hibiscus_relay_sent_batches_total", "Calls that carried them.",
                       static_cast<double>(counters.sentBatches));
    metrics.setCounter("hibiscus_relay_received_messages_total",
                       "Messages received from other processes.",
                       static_cast<double>(counters.receivedMessages));
    metrics.setCounter("hibiscus_relay_dropped_messages_total",
                       "Messages dropped because a queue was full.",
                       static_cast<double>(counters.droppedMessages));
    metrics.setCounter("hibiscus_relay_malformed_messages_total",
                       "Received messages that could not be decoded.",
                       static_cast<double>(counters.malformedMessages));
    metrics.setCounter("hibiscus_relay_refused_batches_total",
                       "Received calls that were refused as a whole.",
                       static_cast<double>(counters.refusedBatches));
    metrics.setCounter("hibiscus_relay_oversized_messages_total",
                       "Messages that were not sent, because they are too large.",
                       static_cast<double>(counters.oversizedMessages));
    metrics.setCounter("hibiscus_relay_broken_batches_total",
                       "Calls that failed; their messages may have arrived.",
                       static_cast<double>(counters.failedBatches));
}

} // namespace Hibiscus
