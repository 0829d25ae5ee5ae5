#include "Hibiscus/src/Dispatch/JobQueue.h"

namespace Hibiscus {

void JobQueue::put(const JobId &job, const ServiceName &service, Urgency urgency)
{
    this->remove(job);
    this->queuedJobs[job] = { .service = service, .urgency = urgency };
    this->queues[service].insert({ .urgency = urgency, .job = job });
}

void JobQueue::remove(const JobId &job)
{
    const auto queuedJob = this->queuedJobs.find(job);
    if (queuedJob == this->queuedJobs.end())
        return;
    const auto queue = this->queues.find(queuedJob->second.service);
    queue->second.erase({ .urgency = queuedJob->second.urgency, .job = job });
    if (queue->second.empty())
        this->queues.erase(queue);
    this->queuedJobs.erase(queuedJob);
}

std::vector<ServiceName> JobQueue::services() const
{
    std::vector<ServiceName> services;
    for (const auto &[service, queue] : this->queues)
        services.push_back(service);
    return services;
}

} // namespace Hibiscus
