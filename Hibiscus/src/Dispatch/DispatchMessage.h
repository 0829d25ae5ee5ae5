#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Journal>

#include <set>
#include <vector>

namespace Hibiscus {

/** \brief One attempt to run one task; never used again for another attempt. */
struct AttemptId
{
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t ordinal = 0; ///< counts the attempts of one coordinator at the task
    std::uint64_t incarnation = 0; ///< of the coordinator

    auto operator<=>(const AttemptId &other) const = default;
    HIBISCUS_FIELDS(job, task, ordinal, incarnation)

    /** \returns the id as targets see it. */
    std::string str() const;
    /** \returns the id written in \a text, or Errc::MalformedMessage. */
    static Result<AttemptId> parse(std::string_view text);
};

/** \brief Where a task stands in a queue, in seconds: the lowest goes first. */
using Urgency = double;

/** \brief A task on its way to a slot. */
struct TaskStart
{
    AttemptId attempt;
    ServiceName service;
    TimePoint deadline;
    TimePoint validUntil; ///< a copy that arrives later is not started
    Urgency urgency = 0;
    std::string payload;
    std::string trace; ///< W3C traceparent of the coordinator's span

    auto operator<=>(const TaskStart &other) const = default;
    HIBISCUS_FIELDS(attempt, service, deadline, validUntil, urgency, payload, trace)
};

/** \brief How an attempt ended. */
enum class AttemptStatus : std::uint8_t {
    Succeeded,
    Failed, ///< it ran and failed
    NotStarted, ///< it was never started and never will be
    Lost ///< it may have run; nobody can tell
};

/** \brief The end of an attempt. */
struct TaskReport
{
    AttemptId attempt;
    AttemptStatus status = AttemptStatus::Lost;
    std::string result;

    auto operator<=>(const TaskReport &other) const = default;
    HIBISCUS_FIELDS(attempt, status, result)
};

/** \brief Asks an owner what became of an attempt. */
struct AttemptProbe
{
    AttemptId attempt;
    TimePoint validUntil; ///< as in the TaskStart

    auto operator<=>(const AttemptProbe &other) const = default;
    HIBISCUS_FIELDS(attempt, validUntil)
};

/** \brief Slots of nearly the same speed, whether free or not. */
struct SpeedClass
{
    float speed = 0; ///< tasks a second
    std::uint32_t slots = 0;

    auto operator<=>(const SpeedClass &other) const = default;
    HIBISCUS_FIELDS(speed, slots)
};

/** \brief The slots of one service at an owner. */
struct ServiceSlots
{
    ServiceName service;
    std::vector<float> speeds; ///< of the free slots, the fastest first; tasks a second
    std::vector<SpeedClass> all; ///< of all usable slots

    auto operator<=>(const ServiceSlots &other) const = default;
    HIBISCUS_FIELDS(service, speeds, all)
};

/** \brief The free slots of an owner, as it tells one peer. */
struct SlotReport
{
    std::uint64_t startsSeen = 0; ///< starts received from that peer so far
    std::vector<ServiceSlots> services;

    auto operator<=>(const SlotReport &other) const = default;
    HIBISCUS_FIELDS(startsSeen, services)
};

/** \brief What a coordinator has waiting, as it tells its peers. */
struct Demand
{
    std::uint32_t waitingTasks = 0; ///< of the service of the first task
    ServiceName service; ///< of the first task
    Urgency urgency = 0; ///< of the first task

    auto operator<=>(const Demand &other) const = default;
    HIBISCUS_FIELDS(waitingTasks, service, urgency)
};

/** \brief What entry nodes say to each other. Every message carries free slots and demand. */
struct PeerMessage
{
    NodeName from;
    std::uint64_t incarnation = 0;
    std::uint64_t receiverIncarnation = 0; ///< 0 when the sender does not know it
    SlotReport slots;
    Demand demand;
    std::vector<TaskStart> starts;
    std::vector<TaskReport> reports;
    std::vector<AttemptProbe> probes;
    std::vector<AttemptId> cancelled; ///< do not start these any more
    bool wantsReply = false;
    bool isOffer = false; ///< a slot is kept for the receiver for a short time

    auto operator<=>(const PeerMessage &other) const = default;
    HIBISCUS_FIELDS(from, incarnation, receiverIncarnation, slots, demand, starts, reports, probes,
                    cancelled, wantsReply, isOffer)
};

/** \brief A target's announcement of itself, or the renewal of its lease. */
struct TargetAnnouncement
{
    TargetName target;
    std::string address; ///< IP address and port
    ServiceName service;
    std::uint32_t slots = 0;
    std::uint64_t leaseId = 0; ///< drawn by the target each time it turns to another owner
    bool isLeaving = false;
    std::vector<AttemptId> running;

    auto operator<=>(const TargetAnnouncement &other) const = default;
    HIBISCUS_FIELDS(target, address, service, slots, leaseId, isLeaving, running)
};

/** \brief A target's announcement with what only the first one carries. */
struct AnnouncementRequest
{
    TargetAnnouncement announcement;
    bool isUnowned = false; ///< the target looks for an owner
    std::set<NodeName> avoidedOwners; ///< owners that did not answer the target

    auto operator<=>(const AnnouncementRequest &other) const = default;
};

/** \brief Sends a task to a target. */
struct StartAttempt
{
    TargetName target;
    std::string address;
    std::uint64_t leaseId = 0;
    TaskStart start;

    auto operator<=>(const StartAttempt &other) const = default;
};

/** \brief Asks a target, over a new connection, what became of an attempt.
 *
 * A target that answers "not started" must refuse the attempt from then on. It may say so only if
 * it drew \a leaseId since its last restart: before that, it does not remember what it ran.
 */
struct QueryAttempt
{
    TargetName target;
    std::string address;
    std::uint64_t leaseId = 0; ///< under which the attempt was sent
    AttemptId attempt;

    auto operator<=>(const QueryAttempt &other) const = default;
};

/** \brief A message to a target. */
using TargetCommand = std::variant<StartAttempt, QueryAttempt>;

/** \brief A message to another entry node. */
struct AddressedPeerMessage
{
    NodeName to;
    PeerMessage message;

    auto operator<=>(const AddressedPeerMessage &other) const = default;
};

/** \brief A request to a member of a journal group. */
struct AddressedJournalRequest
{
    NodeName to;
    JournalRequest request;

    auto operator<=>(const AddressedJournalRequest &other) const = default;
};

/** \brief The answer to a caller; \a token names the caller's request in this process. */
struct CallerAnswer
{
    std::uint64_t token = 0;
    JobId job;
    JobAnswer answer;

    auto operator<=>(const CallerAnswer &other) const = default;
};

/** \brief The answer to a caller's question about a job. */
struct JobStatusResponse
{
    std::uint64_t token = 0;
    JobId job;
    JournalStatus status = JournalStatus::NotFound; ///< OpenElsewhere while it is in progress
    std::optional<JobAnswer> answer;

    auto operator<=>(const JobStatusResponse &other) const = default;
};

/** \brief What a step of the Dispatcher asks its process to send. */
struct DispatchOutbox
{
    std::vector<TargetCommand> toTargets;
    std::vector<AddressedPeerMessage> toPeers;
    std::vector<AddressedJournalRequest> toJournals;
    std::vector<CallerAnswer> answers;
    std::vector<JobStatusResponse> statusResponses;
};

} // namespace Hibiscus
