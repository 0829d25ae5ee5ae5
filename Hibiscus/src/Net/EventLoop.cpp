#include "Hibiscus/src/Net/EventLoop.h"

#include <algorithm>
#include <ctime>
#include <malloc.h>

namespace Hibiscus {

namespace internal {

// The boot clock is monotonic and, unlike the steady clock, includes the time that a VM was
// suspended, so a process detects that it was stalled.
static Duration timeSinceBoot()
{
    timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

/** \brief Free memory that the allocator may keep: some hundreds of ordinary requests. */
constexpr std::size_t maxKeptBytes = 8'000'000;
/** \brief Interval of checks of the memory that the allocator keeps, whose cost grows with it. */
constexpr Duration keptMemoryInterval = 2s;

/** \returns the free memory that the allocator has not returned to the system. */
static std::size_t keptMemory()
{
#ifdef __GLIBC__
    return ::mallinfo2().fordblks;
#else
    return 0;
#endif
}

/** \brief Returns free memory to the system: the allocator keeps what many connections freed. */
static void releaseFreeMemory()
{
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}

} // namespace internal

EventLoop::EventLoop()
    : loop(h2o_evloop_create()), queue(h2o_multithread_create_queue(this->loop)),
      startWallTime(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())),
      startBootTime(internal::timeSinceBoot())
{
    this->receiver.owner = this;
    h2o_multithread_register_receiver(this->queue, &this->receiver.native, onMessages);
}

EventLoop::~EventLoop()
{
    h2o_multithread_unregister_receiver(this->queue, &this->receiver.native);
    h2o_multithread_destroy_queue(this->queue);
}

void EventLoop::post(Callback callback)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(this->mutex);
        wasEmpty = this->postedCallbacks.empty();
        this->postedCallbacks.push_back(std::move(callback));
    }
    // The null message only wakes the loop; the callback itself is in postedCallbacks. The loop's
    // own thread needs no wake-up: it runs all callbacks before it waits again.
    if (wasEmpty && std::this_thread::get_id() != this->thread)
        h2o_multithread_send_message(&this->receiver.native, nullptr);
}

void EventLoop::run(Duration interval, const Callback &onTick, const Callback &afterIteration)
{
    this->isRunning = true;
    TimePoint nextTickAt = this->now();
    while (this->isRunning) {
        h2o_evloop_run(this->loop, this->waitMilliseconds(nextTickAt));
        this->runPostedCallbacks();
        if (const TimePoint now = this->now(); now >= nextTickAt) {
            this->latestTickDelay = now - nextTickAt;
            nextTickAt = now + interval;
            onTick();
            this->memoryBudget.tick(now);
            if (this->memoryBudget.takeRelease(now) || this->keepsExcessMemory(now))
                internal::releaseFreeMemory();
        }
        afterIteration();
        // h2o frees closed sockets at the start of a run. One that was written to and closed since
        // the last run is still in its list of ready sockets, and would corrupt it.
        h2o_timeout__do_post_callback(this->loop);
    }
}

// What clients make the process do takes memory that no connection is charged with.
bool EventLoop::keepsExcessMemory(TimePoint now)
{
    if (now < this->keptMemoryCheckedAt + internal::keptMemoryInterval)
        return false;
    this->keptMemoryCheckedAt = now;
    return internal::keptMemory() > internal::maxKeptBytes;
}

std::int32_t EventLoop::waitMilliseconds(TimePoint nextTickAt)
{
    {
        const std::lock_guard lock(this->mutex);
        if (!this->postedCallbacks.empty())
            return 0;
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(nextTickAt - this->now());
    return static_cast<std::int32_t>(std::max<std::int64_t>(wait.count(), 0));
}

TimePoint EventLoop::now() const
{
    return this->startWallTime + (internal::timeSinceBoot() - this->startBootTime);
}

void EventLoop::onMessages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *)
{
    reinterpret_cast<Receiver *>(receiver)->owner->runPostedCallbacks();
}

void EventLoop::runPostedCallbacks()
{
    std::vector<Callback> callbacks;
    {
        const std::lock_guard lock(this->mutex);
        callbacks.swap(this->postedCallbacks);
    }
    for (const Callback &callback : callbacks)
        callback();
}

} // namespace Hibiscus
