#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Jobs with tasks to place: one queue per service, ordered by urgency. */
class JobQueue
{
public:
    // Commands.
    /** \brief Inserts \a job with \a urgency, or updates the urgency of a queued job. */
    void put(const JobId &job, const ServiceName &service, Urgency urgency);
    void remove(const JobId &job);

    // Queries.
    /** \returns the most urgent job of \a service for which \a accepts holds. The predicate is
     * called in order of urgency.
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

    Urgency urgencyOf(const JobId &job) const { return this->queuedJobs.at(job).urgency; }
    std::vector<ServiceName> services() const;

private:
    struct Position
    {
        Urgency urgency = 0;
        JobId job;

        auto operator<=>(const Position &other) const = default;
    };

    struct QueuedJob
    {
        ServiceName service;
        Urgency urgency = 0;
    };

    std::map<ServiceName, std::set<Position>> queues;
    std::map<JobId, QueuedJob> queuedJobs;
};

} // namespace Hibiscus
