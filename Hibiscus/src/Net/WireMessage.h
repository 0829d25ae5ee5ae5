#pragma once

#include <Hibiscus/Dispatch>
#include <Hibiscus/Fleet>
#include <Hibiscus/Journal>
#include <Hibiscus/Membership>
#include <Hibiscus/Replication>
#include <Hibiscus/Rules>

namespace Hibiscus {

/** \brief What the processes of the system send to each other. New kinds go to the end. */
using WireMessage = std::variant<ReplicaEnvelope, PeerMessage, JournalRequest, JournalResponse,
                                 RulesUpdate, RulesAcknowledgement, FetchRules, FleetMessage,
                                 TargetHeartbeat, NodeAnnouncement, NodeList>;

/** \brief Raised when a change of the messages is not readable by earlier processes. */
inline constexpr std::uint32_t wireProtocolVersion = 4;

} // namespace Hibiscus
