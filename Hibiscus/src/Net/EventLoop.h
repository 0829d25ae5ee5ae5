#pragma once

#include "Hibiscus/src/Net/MemoryBudget.h"

#include <Hibiscus/Core>

#include <functional>
#include <h2o.h>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace Hibiscus {

/** \brief Event loop of the single thread that owns a process's sockets and dispatch state.
 *
 * Other threads hand work to it with post(). No other class reads a clock.
 */
class EventLoop
{
public:
    using Callback = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Commands.
    /** \brief Runs \a callback on the loop's thread; may be called from any thread. */
    void post(Callback callback);
    /** \brief Runs until stop(): calls \a onTick every \a interval, and \a afterIteration at the
     * end of each iteration.
     */
    void run(Duration interval, const Callback &onTick, const Callback &afterIteration);
    void stop() { this->isRunning = false; }
    /** \brief The budget of the connections that all servers on this loop accept. */
    MemoryBudget &memory() { return this->memoryBudget; }

    // Queries.
    /** \returns the current time, which never decreases while the process runs. */
    TimePoint now() const;
    /** \returns the delay of the latest tick behind its scheduled time. */
    Duration tickDelay() const { return this->latestTickDelay; }
    const MemoryBudget &memory() const { return this->memoryBudget; }
    h2o_loop_t *native() const { return this->loop; }

private:
    struct Receiver
    {
        /** \brief Must be the first member: h2o passes its address as that of the Receiver. */
        h2o_multithread_receiver_t native;
        EventLoop *owner;
    };

    static void onMessages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);
    void runPostedCallbacks();
    /** \returns whether the allocator keeps much free memory; checks it each few seconds. */
    bool keepsExcessMemory(TimePoint now);
    /** \returns the time to wait for events: until \a nextTickAt, or 0 if callbacks are posted. */
    std::int32_t waitMilliseconds(TimePoint nextTickAt);

    h2o_loop_t *loop;
    h2o_multithread_queue_t *queue;
    Receiver receiver;
    std::thread::id thread = std::this_thread::get_id(); ///< the thread of this loop
    std::mutex mutex;
    std::vector<Callback> postedCallbacks; ///< guarded by \a mutex
    TimePoint startWallTime;
    Duration startBootTime {};
    Duration latestTickDelay {};
    MemoryBudget memoryBudget;
    TimePoint keptMemoryCheckedAt;
    bool isRunning = false;
};

} // namespace Hibiscus
