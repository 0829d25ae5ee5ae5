#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Journal>

#include <set>
#include <vector>

namespace Hibiscus {

/** \brief Identity of one attempt to run a task; never reused for another attempt. */
struct AttemptId
{
    JobId job;
    std::uint32_t task = 0;
    std::uint32_t ordinal = 0; ///< number of earlier attempts at the task by the same coordinator
    std::uint64_t incarnation = 0; ///< incarnation of the coordinator

    auto operator<=>(const AttemptId &other) const = default;
    HIBISCUS_FIELDS(job, task, ordinal, incarnation)

    /** \returns the text form of the id, as sent to targets. */
    std::string str() const;
    /** \returns the id written in \a text, or Errc::MalformedMessage. */
    static Result<AttemptId> parse(std::string_view text);
};

/** \brief Queue position of a task, in seconds; the lowest value is the most urgent. */
using Urgency = double;

/** \brief Request to start a task on a slot of the receiving owner. */
struct TaskStart
{
    AttemptId attempt;
    ServiceName service;
    TimePoint deadline;
    TimePoint validUntil; ///< a start that arrives later is discarded
    Urgency urgency = 0;
    std::string payload;
    std::string trace; ///< W3C traceparent of the coordinator's span

    auto operator<=>(const TaskStart &other) const = default;
    HIBISCUS_FIELDS(attempt, service, deadline, validUntil, urgency, payload, trace)
};

/** \brief Outcome of an attempt. */
enum class AttemptStatus : std::uint8_t {
    Succeeded,
    Failed, ///< the task ran and failed
    NotStarted, ///< never started, and never will be
    Lost ///< may have run; the outcome cannot be determined
};

/** \brief Report of the outcome of an attempt. */
struct TaskReport
{
    AttemptId attempt;
    AttemptStatus status = AttemptStatus::Lost;
    std::string result;

    auto operator<=>(const TaskReport &other) const = default;
    HIBISCUS_FIELDS(attempt, status, result)
};

/** \brief Request to an owner for the outcome of an attempt. */
struct AttemptProbe
{
    AttemptId attempt;
    TimePoint validUntil; ///< same value as in the TaskStart

    auto operator<=>(const AttemptProbe &other) const = default;
    HIBISCUS_FIELDS(attempt, validUntil)
};

/** \brief Number of slots of nearly the same speed, both free and busy. */
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
    std::vector<float> freeSpeeds; ///< speeds of the free slots, descending, in tasks a second
    std::vector<SpeedClass> usableSlots; ///< speeds of all usable slots, both free and busy

    auto operator<=>(const ServiceSlots &other) const = default;
    HIBISCUS_FIELDS(service, freeSpeeds, usableSlots)
};

/** \brief Free slots of an owner, as reported to one peer. */
struct SlotReport
{
    std::uint64_t startsReceived = 0; ///< starts received from this peer so far
    std::vector<ServiceSlots> services;

    auto operator<=>(const SlotReport &other) const = default;
    HIBISCUS_FIELDS(startsReceived, services)
};

/** \brief Waiting tasks of a coordinator, as reported to its peers. */
struct Demand
{
    std::uint32_t waitingTasks = 0; ///< tasks that wait for a slot
    ServiceName service; ///< service of the most urgent task
    Urgency urgency = 0; ///< urgency of the most urgent task

    auto operator<=>(const Demand &other) const = default;
    HIBISCUS_FIELDS(waitingTasks, service, urgency)
};

/** \brief A message between entry nodes. Every message carries free slots and demand. */
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
    std::vector<AttemptId> cancelledAttempts; ///< attempts that the receiver should no longer start
    bool wantsReply = false;
    bool isOffer = false; ///< a slot is reserved for the receiver for a short time

    auto operator<=>(const PeerMessage &other) const = default;
    HIBISCUS_FIELDS(from, incarnation, receiverIncarnation, slots, demand, starts, reports, probes,
                    cancelledAttempts, wantsReply, isOffer)
};

/** \brief Announcement of a target to its owner; each one renews the lease. */
struct TargetAnnouncement
{
    TargetName target;
    std::string address; ///< IP address and port
    ServiceName service;
    std::uint32_t slots = 0;
    std::uint64_t leaseId = 0; ///< random number that the target draws for each new owner
    bool isLeaving = false;
    std::vector<AttemptId> running;

    auto operator<=>(const TargetAnnouncement &other) const = default;
    HIBISCUS_FIELDS(target, address, service, slots, leaseId, isLeaving, running)
};

/** \brief A target's announcement with the details for the choice of an owner. */
struct AnnouncementRequest
{
    TargetAnnouncement announcement;
    bool isUnowned = false; ///< the target has no owner yet
    std::set<NodeName> avoidedOwners; ///< owners that did not respond to the target

    auto operator<=>(const AnnouncementRequest &other) const = default;
};

/** \brief Command to a target to run a task. */
struct StartAttempt
{
    TargetName target;
    std::string address;
    std::uint64_t leaseId = 0;
    TaskStart start;

    auto operator<=>(const StartAttempt &other) const = default;
};

/** \brief Request to a target, over a new connection, for the outcome of an attempt.
 *
 * A target that responds "not started" must refuse the attempt from then on. It may respond so only
 * if it drew \a leaseId since its last restart, because it keeps no record of earlier runs.
 */
struct QueryAttempt
{
    TargetName target;
    std::string address;
    std::uint64_t leaseId = 0; ///< lease under which the attempt was sent
    AttemptId attempt;

    auto operator<=>(const QueryAttempt &other) const = default;
};

/** \brief A command or query to a target. */
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

/** \brief The answer to a caller; \a token identifies the caller's request in this process. */
struct CallerAnswer
{
    std::uint64_t token = 0;
    JobId job;
    JobAnswer answer;

    auto operator<=>(const CallerAnswer &other) const = default;
};

/** \brief The response to a caller's request for the state of a job. */
struct JobStatusResponse
{
    std::uint64_t token = 0;
    JobId job;
    JournalStatus status = JournalStatus::NotFound; ///< OpenElsewhere while it is in progress
    std::optional<JobAnswer> answer;

    auto operator<=>(const JobStatusResponse &other) const = default;
};

/** \brief Messages that the process must send after a call of the Dispatcher. */
struct DispatchOutbox
{
    std::vector<TargetCommand> toTargets;
    std::vector<AddressedPeerMessage> toPeers;
    std::vector<AddressedJournalRequest> toJournals;
    std::vector<CallerAnswer> answers;
    std::vector<JobStatusResponse> statusResponses;
};

} // namespace Hibiscus
