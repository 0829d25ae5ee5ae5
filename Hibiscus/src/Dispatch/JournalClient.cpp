#include "Hibiscus/src/Dispatch/JournalClient.h"

#include <algorithm>

namespace Hibiscus {

void JournalClient::sendRequest(const JobId &job, const JournalRequestBody &body, TimePoint now,
                                DispatchOutbox &out)
{
    const std::uint64_t number = this->nextNumber++;
    this->pending[number]
        = { .job = job, .body = body, .resendAt = now + this->options.retryInterval };
    this->send(number, job.home(), body, now, out);
}

void JournalClient::dropRequests(const JobId &job)
{
    std::erase_if(this->pending, [&](const auto &item) { return item.second.job == job; });
}

void JournalClient::receive(const JournalResponse &response, TimePoint now,
                            std::vector<JobJournalReply> &replies, DispatchOutbox &out)
{
    const auto found = this->pending.find(response.request.number);
    if (found == this->pending.end())
        return;
    PendingRequest &request = found->second;
    if (response.reply) {
        replies.push_back({ .job = request.job, .reply = *response.reply });
        this->pending.erase(found);
        return;
    }
    const DomainName &domain = request.job.home();
    if (response.leader) {
        this->assumeLeader(domain, *response.leader);
        request.resendAt = now + this->options.retryInterval;
        this->send(found->first, domain, request.body, now, out);
    } else {
        this->assumeNextLeader(domain);
        request.resendAt = now + this->options.redirectPause;
    }
}

void JournalClient::tick(TimePoint now, DispatchOutbox &out)
{
    std::set<DomainName> switchedDomains;
    for (auto &[number, request] : this->pending) {
        if (now < request.resendAt)
            continue;
        const DomainName &domain = request.job.home();
        if (switchedDomains.insert(domain).second)
            this->assumeNextLeader(domain);
        request.resendAt = now + this->options.retryInterval;
        this->send(number, domain, request.body, now, out);
    }
}

void JournalClient::sendHeartbeat(const DomainName &domain, TimePoint now, DispatchOutbox &out)
{
    if (now >= this->groupStates[domain].lastSentAt + this->options.heartbeatInterval)
        this->sendRequest(JobId(domain, TimePoint(), "heartbeat"), CoordinatorHeartbeat {}, now,
                          out);
}

void JournalClient::send(std::uint64_t number, const DomainName &domain,
                         const JournalRequestBody &body, TimePoint now, DispatchOutbox &out)
{
    const JournalGroup *group = this->groupOf(domain);
    HIBISCUS_INVARIANT(group != nullptr, "requests go only to domains with a known journal group");
    GroupState &state = this->groupStates[domain];
    state.lastSentAt = now;
    const JournalRequest request = { .request = { .node = this->self.node, .number = number },
                                     .coordinator = this->self,
                                     .body = body };
    out.toJournals.push_back({ .to = group->members.at(state.assumedLeader), .request = request });
}

void JournalClient::assumeLeader(const DomainName &domain, const NodeName &member)
{
    const std::vector<NodeName> &members = this->groupOf(domain)->members;
    const auto found = std::ranges::find(members, member);
    if (found != members.end())
        this->groupStates[domain].assumedLeader = static_cast<std::size_t>(found - members.begin());
}

void JournalClient::assumeNextLeader(const DomainName &domain)
{
    GroupState &state = this->groupStates[domain];
    state.assumedLeader = (state.assumedLeader + 1) % this->groupOf(domain)->members.size();
}

const JournalGroup *JournalClient::groupOf(const DomainName &domain) const
{
    const auto found = std::ranges::find(this->options.groups, domain, &JournalGroup::domain);
    return found == this->options.groups.end() ? nullptr : &*found;
}

} // namespace Hibiscus
