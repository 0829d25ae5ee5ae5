#pragma once

#include "Hibiscus/src/Fleet/TargetOrder.h"

#include <deque>
#include <map>

namespace Hibiscus {

/** \brief Limits of a StopQueue. */
struct StopQueueOptions
{
    std::size_t maxStopsPerTarget = 16; ///< each takes a connection until the target has responded
    std::size_t maxStops = 64; ///< over all targets
};

/** \brief Sends the stops of runs at the rate at which targets respond to them.
 *
 * All runs of a wide job are stopped at once when its caller leaves.
 */
class StopQueue
{
public:
    explicit StopQueue(const StopQueueOptions &options) : options(options) { }

    // Commands.
    void add(const StopOrder &order);
    /** \returns the stops to send now; each is in progress until finish(). */
    std::vector<StopOrder> takeSendable();
    /** \brief Ends a stop on \a target, which was answered or given up. */
    void finish(const TargetName &target);

private:
    struct Line
    {
        std::deque<StopOrder> waiting;
        std::size_t sentCount = 0;
    };

    StopQueueOptions options;
    std::map<TargetName, Line> lines;
    std::size_t sentCount = 0;
};

} // namespace Hibiscus
