#pragma once

#include <Hibiscus/Core>

#include <variant>

namespace Hibiscus {

/** \brief Task that waits for room on a target. */
struct WaitingTask
{
    std::uint32_t priority = 0; ///< 0 is the most urgent
    Duration expectedRunTime {};
    TimePoint objectiveAt; ///< latency objective of its job
    bool isRepeated = false; ///< whether an earlier attempt was made

    auto operator<=>(const WaitingTask &other) const = default;
};

/** \brief Position of a waiting task: the lowest starts first. */
struct StartPosition
{
    bool isPastObjective = false;
    bool canWait = true; ///< whether it may wait for less urgent work
    std::uint32_t priority = 0;
    bool isFirstAttempt = true;
    TimePoint time;

    auto operator<=>(const StartPosition &other) const = default;
};

/** \brief Starts the most urgent priority first, and within it the earliest objective. */
struct PriorityOrder
{
    StartPosition positionOf(const WaitingTask &task, TimePoint now) const;

    auto operator<=>(const PriorityOrder &other) const = default;
};

/** \brief Starts the most urgent priority first while the others can wait: a task that is about to
 * miss its objective goes before more urgent ones that are not.
 */
struct LatestStartOrder
{
    StartPosition positionOf(const WaitingTask &task, TimePoint now) const;

    auto operator<=>(const LatestStartOrder &other) const = default;
};

/** \brief Order in which waiting tasks start. */
using StartRule = std::variant<PriorityOrder, LatestStartOrder>;

/** \returns the position of \a task in \a rule. */
StartPosition positionOf(const StartRule &rule, const WaitingTask &task, TimePoint now);

} // namespace Hibiscus
