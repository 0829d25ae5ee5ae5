#pragma once

#include <Hibiscus/Core>

#include <functional>
#include <h2o.h>
#include <memory>
#include <mutex>
#include <vector>

namespace Hibiscus {

/** \brief The loop of the one thread that owns a process's sockets and deciding state.
 *
 * Other threads reach it by posting messages. It is the only place that reads a clock.
 */
class EventLoop
{
public:
    using Message = std::function<void()>;

    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    // Commands.
    /** \brief Runs \a message on the loop's thread; may be called from any thread. */
    void post(Message message);
    /** \brief Runs until stop(): after each turn \a afterTurn, and every \a interval \a onTick. */
    void run(Duration interval, const Message &onTick, const Message &afterTurn);
    void stop() { this->running = false; }

    // Queries.
    /** \returns the present time; it never goes back while the process lives. */
    TimePoint now() const;
    /** \returns how far behind its time the latest tick came. */
    Duration tickDelay() const { return this->latestDelay; }
    h2o_loop_t *native() const { return this->loop; }

private:
    struct Receiver
    {
        h2o_multithread_receiver_t native; ///< first, so that its address is the receiver's
        EventLoop *owner;
    };

    static void onMessages(h2o_multithread_receiver_t *receiver, h2o_linklist_t *messages);
    void takeMessages();

    h2o_loop_t *loop;
    h2o_multithread_queue_t *queue;
    Receiver receiver;
    std::mutex mutex;
    std::vector<Message> mailbox;
    TimePoint wallStart;
    Duration bootStart {};
    Duration latestDelay {};
    bool running = false;
};

} // namespace Hibiscus
