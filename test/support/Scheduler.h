#pragma once

#include <Hibiscus/Core>

#include <functional>
#include <queue>

namespace Hibiscus::Fake {

/** \brief Virtual time: runs events by time, and those of one time as they were scheduled. */
class Scheduler
{
public:
    using Event = std::function<void()>;

    explicit Scheduler(TimePoint start) : currentTime(start) { }

    void at(TimePoint time, Event event)
    {
        this->events.push({ .time = std::max(time, this->currentTime),
                            .sequence = this->nextSequence++,
                            .event = std::move(event) });
    }

    void after(Duration delay, Event event)
    {
        this->at(this->currentTime + delay, std::move(event));
    }

    void runUntil(TimePoint end)
    {
        while (!this->events.empty() && this->events.top().time <= end) {
            Item item = std::move(const_cast<Item &>(this->events.top()));
            this->events.pop();
            this->currentTime = item.time;
            item.event();
        }
        this->currentTime = end;
    }

    TimePoint now() const { return this->currentTime; }

private:
    struct Item
    {
        TimePoint time;
        std::uint64_t sequence = 0;
        Event event;

        bool operator<(const Item &other) const
        {
            return this->time != other.time ? this->time > other.time
                                            : this->sequence > other.sequence;
        }
    };

    TimePoint currentTime;
    std::uint64_t nextSequence = 0;
    std::priority_queue<Item> events;
};

} // namespace Hibiscus::Fake
