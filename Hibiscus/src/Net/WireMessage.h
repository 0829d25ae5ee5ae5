#pragma once

#include <Hibiscus/Dispatch>
#include <Hibiscus/Fleet>
#include <Hibiscus/Journal>
#include <Hibiscus/Membership>
#include <Hibiscus/Replication>
#include <Hibiscus/Rules>

namespace Hibiscus {

/** \brief Any message between the processes of the system. New alternatives go to the end, since a
 * message is encoded with the index of its alternative.
 */
using WireMessage
    = std::variant<ReplicaEnvelope, PeerMessage, JournalRequest, JournalResponse, RulesUpdate,
                   RulesAcknowledgement, FetchRules, FleetMessage, TargetHeartbeat,
                   NodeAnnouncement, NodeList, CancelJobRequest, CancelJobReply, JobHold>;

/** \brief To be increased with each change of the messages that earlier versions cannot decode. */
inline constexpr std::uint32_t wireProtocolVersion = 10;

} // namespace Hibiscus
