#pragma once

#include "Hibiscus/src/Fleet/LeasedTarget.h"
#include "Hibiscus/src/Fleet/Run.h"

#include <optional>
#include <variant>

namespace Hibiscus {

/** \brief Where an order goes: one life of a target. */
struct OrderAddress
{
    TargetName target;
    std::uint64_t incarnation = 0;
    std::string address; ///< IP:port
    std::uint64_t fencingToken = 0; ///< the target obeys nothing with a lower one than it has seen

    auto operator<=>(const OrderAddress &other) const = default;
};

/** \brief Starts a run, and renews the lease on everything that runs on the target. */
struct StartOrder
{
    OrderAddress to;
    RunName run;
    std::string spec;
    std::int64_t leaseExpiryMs = 0; ///< on the target's clock, ms

    auto operator<=>(const StartOrder &other) const = default;
};

/** \brief Stops a run; a copy of its start that arrives later is refused. */
struct StopOrder
{
    OrderAddress to;
    RunName run;

    auto operator<=>(const StopOrder &other) const = default;
};

/** \brief Renews the lease, and lists what runs and what has ended once there is news. */
struct PollOrder
{
    OrderAddress to;
    TimePoint sentAt; ///< tells the polls of one target apart
    std::uint64_t acknowledgedEnd = 0; ///< ends up to this number need not be listed again
    std::int64_t leaseExpiryMs = 0; ///< on the target's clock, ms
    Duration maxWait {}; ///< how long the target may wait for an end
    bool usesNewConnection = false;

    auto operator<=>(const PollOrder &other) const = default;
};

/** \brief What an owner says to a target. */
using TargetOrder = std::variant<StartOrder, StopOrder, PollOrder>;

/** \brief What a target made of an order. */
enum class OrderStatus : std::uint8_t {
    Done,
    Fenced, ///< the target has seen a higher fencing token: it has another owner
    Superseded, ///< of a start: a run at least as high was stopped or ended there
    LeaseExpired, ///< of a start: its lease was over when it arrived
    InsufficientCapacity, ///< of a start
    Unhealthy, ///< nothing was done, and the target asks not to be pressed
    Rejected, ///< nothing was done: the order makes no sense to the target
    StaleIncarnation, ///< the target has started anew since
    NotSent, ///< no connection: the target never saw the order
    Unanswered ///< it may have been carried out, and may still be
};

/** \returns the name of \a status for logs. */
const char *toString(OrderStatus status);

/** \brief The answer to a StartOrder or StopOrder. */
struct OrderResponse
{
    OrderStatus status = OrderStatus::Unanswered;
    std::optional<std::int64_t> clockMs; ///< the target's clock, ms

    auto operator<=>(const OrderResponse &other) const = default;
};

/** \brief How a run ended by the word of its target. */
enum class TargetRunEnd : std::uint8_t { Completed, Failed, Stopped, LeaseExpired };

/** \brief A run that a target lists as ended. */
struct EndedRun
{
    std::uint64_t number = 0; ///< counts the ends of one life of the target from 1
    RunName run;
    TargetRunEnd end = TargetRunEnd::Failed;

    auto operator<=>(const EndedRun &other) const = default;
};

/** \brief The answer to a PollOrder. */
struct PollResponse
{
    OrderStatus status = OrderStatus::Unanswered;
    std::optional<std::int64_t> clockMs; ///< the target's clock, ms
    std::vector<RunName> running;
    std::vector<EndedRun> ended;

    auto operator<=>(const PollResponse &other) const = default;
};

} // namespace Hibiscus
