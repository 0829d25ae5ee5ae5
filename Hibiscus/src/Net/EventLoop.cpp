#include "Hibiscus/src/Net/EventLoop.h"

#include <ctime>

namespace Hibiscus {

namespace internal {

constexpr Duration maxTurn = 5ms;

// The boot clock never goes back, and unlike the steady clock it counts the time that a VM was
// suspended, so a process notices that it stood still.
static Duration sinceBoot()
{
    timespec time = {};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec)
                                                + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace internal

EventLoop::EventLoop()
    : loop(h2o_evloop_create()), queue(h2o_multithread_create_queue(this->loop)),
      wallStart(std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now())),
      bootStart(internal::sinceBoot())
{
    this->receiver.owner = this;
    h2o_multithread_register_receiver(this->queue, &this->receiver.native, onMessages);
}

EventLoop::~EventLoop()
{
    h2o_multithread_unregister_receiver(this->queue, &this->receiver.native);
    h2o_multithread_destroy_queue(this->queue);
}

void EventLoop::post(Message message)
{
    bool wasEmpty = false;
    {
        const std::lock_guard lock(this->mutex);
        wasEmpty = this->mailbox.empty();
        this->mailbox.push_back(std::move(message));
    }
    // A message without content only wakes the loop; the mailbox holds the work.
    if (wasEmpty)
        h2o_multithread_send_message(&this->receiver.native, nullptr);
}

void EventLoop::run(Duration interval, const Message &onTick, const Message &afterTurn)
{
    this->running = true;
    TimePoint tickAt = this->now();
    while (this->running) {
        const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(internal::maxTurn);
        h2o_evloop_run(this->loop, static_cast<std::int32_t>(wait.count()));
        this->takeMessages();
        if (const TimePoint now = this->now(); now >= tickAt) {
            this->latestDelay = now - tickAt;
            tickAt = now + interval;
            onTick();
        }
        afterTurn();
    }
}

TimePoint EventLoop::now() const
{
    return this->wallStart + (internal::sinceBoot() - this->bootStart);
}

void EventLoop::onMessages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *)
{
    reinterpret_cast<Receiver *>(receiver)->owner->takeMessages();
}

void EventLoop::takeMessages()
{
    std::vector<Message> messages;
    {
        const std::lock_guard lock(this->mutex);
        messages.swap(this->mailbox);
    }
    for (const Message &message : messages)
        message();
}

} // namespace Hibiscus
