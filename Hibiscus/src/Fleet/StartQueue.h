#pragma once

#include "Hibiscus/src/Fleet/TargetOrder.h"

#include <deque>
#include <map>
#include <optional>

namespace Hibiscus {

/** \brief Limits of a StartQueue. */
struct StartQueueOptions
{
    /** \brief A start in progress takes a connection; below the number of connections that are
     * kept open to a target, which stops and polls need as well.
     */
    std::size_t maxStartsPerTarget = 32;
    std::size_t maxStarts = 128; ///< over all targets
    /** \brief Specs from this size on count as large: four times what callers are documented to
     * send.
     */
    std::size_t largeSpecBytes = 16'384;
    /** \brief Limit of the large specs in progress, of which there is always one; writing them
     * takes a few milliseconds.
     */
    std::size_t maxLargeBytes = 2'000'000;
    /** \brief A start that has waited for longer is given up, to be assigned again: half of the
     * lease that it contains.
     */
    Duration maxWait = 400ms;
};

/** \brief Start that is sent, with its number in the queue. */
struct NumberedStart
{
    std::uint64_t number = 0;
    StartOrder order;

    auto operator<=>(const NumberedStart &other) const = default;
};

/** \brief Sends the starts of runs at the rate at which targets respond to them.
 *
 * A start takes its spec several times over, and a connection, until its target has responded. So
 * the starts of wide jobs wait for each other. Those with large specs wait in a line of their own,
 * and don't delay others.
 */
class StartQueue
{
public:
    explicit StartQueue(const StartQueueOptions &options) : options(options) { }

    // Commands.
    void add(const StartOrder &order, TimePoint now);
    /** \returns the starts to send now; each is in progress until finish(). */
    std::vector<NumberedStart> takeSendable();
    /** \brief Ends the start \a number, which was answered or given up. */
    void finish(std::uint64_t number);
    /** \brief Removes the start of \a run on \a target if it waits. \returns it, as it will not be
     * sent.
     */
    std::optional<StartOrder> withdraw(const TargetName &target, const RunName &run);
    /** \brief Removes the starts that have waited for too long. \returns them. */
    std::vector<StartOrder> takeExpired(TimePoint now);

    // Queries.
    std::size_t waitingCount() const { return this->waiting.size(); }
    std::size_t sentCount() const { return this->sent.size(); }

private:
    struct WaitingStart
    {
        StartOrder order;
        TimePoint since;
    };

    struct SentStart
    {
        TargetName target;
        std::size_t largeBytes = 0; ///< size of its spec if that is large, else 0
    };

    /** \brief Runs whose starts wait for one target, first come first; some may have been removed
     * since.
     */
    struct Line
    {
        std::deque<RunName> usual;
        std::deque<RunName> large;
        std::size_t sentCount = 0;
    };

    /** \returns the part of the limit of large specs that \a order takes. */
    std::size_t largeBytesOf(const StartOrder &order) const
    {
        return order.spec.size() >= this->options.largeSpecBytes ? order.spec.size() : 0;
    }
    bool maySend(const Line &line, std::size_t largeBytes) const;
    void takeFrom(std::deque<RunName> &names, Line &line, std::vector<NumberedStart> &sendable);

    StartQueueOptions options;
    std::map<RunName, WaitingStart> waiting;
    std::map<std::uint64_t, SentStart> sent; ///< by number
    std::map<TargetName, Line> lines;
    std::size_t sentLargeBytes = 0;
    std::uint64_t lastNumber = 0;
};

} // namespace Hibiscus
