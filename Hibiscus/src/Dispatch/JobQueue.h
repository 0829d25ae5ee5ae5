#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Jobs with tasks to place, the most urgent first, a queue for each service. */
class JobQueue
{
public:
    // Commands.
    /** \brief Puts \a job at \a urgency, or moves it there. */
    void put(const JobId &job, const ServiceName &service, Urgency urgency);
    void remove(const JobId &job);

    // Queries.
    /** \returns the most urgent job of \a service for which \a accepts holds; it is asked with
     * the most urgent job first.
     */
    template<typename Predicate>
    std::optional<JobId> first(const ServiceName &service, Predicate accepts) const
    {
        const auto queue = this->queues.find(service);
        if (queue == this->queues.end())
            return std::nullopt;
        for (const Position &position : queue->second)
            if (accepts(position.job))
                return position.job;
        return std::nullopt;
    }

    Urgency urgencyOf(const JobId &job) const { return this->places.at(job).urgency; }
    std::vector<ServiceName> services() const;

private:
    struct Position
    {
        Urgency urgency = 0;
        JobId job;

        auto operator<=>(const Position &other) const = default;
    };

    struct Place
    {
        ServiceName service;
        Urgency urgency = 0;
    };

    std::map<ServiceName, std::set<Position>> queues;
    std::map<JobId, Place> places;
};

} // namespace Hibiscus
