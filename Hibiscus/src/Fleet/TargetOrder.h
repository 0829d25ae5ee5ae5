#pragma once

#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/Run.h"

#include <map>
#include <optional>
#include <variant>

namespace Hibiscus {

/** \brief Receiver of an order: one incarnation of a target. */
struct OrderAddress
{
    TargetName target;
    std::uint64_t incarnation = 0;
    std::string address; ///< IP:port
    std::uint64_t fencingToken = 0; ///< the target rejects orders with a lower one than it has seen

    auto operator<=>(const OrderAddress &other) const = default;
    HIBISCUS_FIELDS(target, incarnation, address, fencingToken)
};

/** \brief Starts a run and renews the lease, which covers all runs on the target. */
struct StartOrder
{
    OrderAddress to;
    RunName run;
    SharedText spec;
    std::int64_t leaseExpiryMs = 0; ///< on the target's clock, ms

    auto operator<=>(const StartOrder &other) const = default;
};

/** \brief Stops a run; the target refuses a copy of its start that arrives later. */
struct StopOrder
{
    OrderAddress to;
    RunName run;
    bool usesNewConnection = false; ///< open connections may be silent

    auto operator<=>(const StopOrder &other) const = default;
};

/** \brief Lists running and ended runs, and renews the lease if it contains an expiry.
 *
 * The target responds once a run has ended, or when the wait is over.
 */
struct PollOrder
{
    OrderAddress to;
    TimePoint sentAt; ///< identifies the poll among those of one target
    std::uint64_t acknowledgedEnd = 0; ///< ends up to this number are not listed again
    /** \brief New expiry of the lease on the target's clock, ms; empty leaves the lease as it is.
     */
    std::optional<std::int64_t> leaseExpiryMs;
    Duration maxWait {}; ///< longest time that the target may wait for a run to end
    bool usesNewConnection = false;

    auto operator<=>(const PollOrder &other) const = default;
};

/** \brief Order of an owner to a target. */
using TargetOrder = std::variant<StartOrder, StopOrder, PollOrder>;

/** \brief Result of an order. */
enum class OrderStatus : std::uint8_t {
    Done,
    Fenced, ///< the target has seen a higher fencing token: it has another owner
    Superseded, ///< start: this attempt or a later one was already stopped or has ended
    LeaseExpired, ///< start: its lease had expired when it arrived
    InsufficientCapacity, ///< start: the target has too little free capacity
    Unhealthy, ///< nothing was done: the target is overloaded or failing
    Rejected, ///< nothing was done: the target considers the order invalid
    StaleIncarnation, ///< the target has restarted since
    NotSent, ///< no connection: the target has not received the order
    Unanswered ///< no response: it may have been executed, or may be later
};

/** \returns the name of \a status for logs. */
const char *toString(OrderStatus status);

/** \brief Response to a StartOrder or StopOrder. */
struct OrderResponse
{
    OrderStatus status = OrderStatus::Unanswered;
    std::optional<std::int64_t> clockMs; ///< the target's clock, ms

    auto operator<=>(const OrderResponse &other) const = default;
};

/** \brief End of a run as its target reports it. */
enum class TargetRunEnd : std::uint8_t { Completed, Failed, Stopped, LeaseExpired };

/** \brief Ended run in the response to a poll. */
struct EndedRun
{
    std::uint64_t number = 0; ///< counts the ends of one incarnation of the target from 1
    RunName run;
    TargetRunEnd end = TargetRunEnd::Failed;

    auto operator<=>(const EndedRun &other) const = default;
};

/** \brief Response to a PollOrder. */
struct PollResponse
{
    OrderStatus status = OrderStatus::Unanswered;
    std::optional<std::int64_t> clockMs; ///< the target's clock, ms
    /** \brief Incarnation that responded; empty if the target does not tell. */
    std::optional<std::uint64_t> incarnation;
    std::vector<RunName> running;
    /** \brief Share of their work that running runs have done, in percent, as far as listed. */
    std::map<RunName, std::uint32_t> progress;
    std::vector<EndedRun> ended;
    /** \brief Whether every listed run could be read; if not, a run that is not listed may be
     * among those that could not.
     */
    bool isComplete = true;

    auto operator<=>(const PollResponse &other) const = default;
};

} // namespace Hibiscus
