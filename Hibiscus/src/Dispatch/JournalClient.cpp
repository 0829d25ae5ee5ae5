#include "Hibiscus/src/Dispatch/JournalClient.h"

#include <algorithm>

namespace Hibiscus {

void JournalClient::ask(const JobId &job, const JournalQuestion &question, TimePoint now,
                        DispatchOutbox &out)
{
    const std::uint64_t number = this->nextNumber++;
    this->pending[number]
        = { .job = job, .question = question, .sendAgainAt = now + this->options.retryInterval };
    this->send(number, job.home(), question, now, out);
}

void JournalClient::forget(const JobId &job)
{
    std::erase_if(this->pending, [&](const auto &item) { return item.second.job == job; });
}

void JournalClient::receive(const JournalAnswer &answer, TimePoint now,
                            std::vector<JobJournalReply> &replies, DispatchOutbox &out)
{
    const auto found = this->pending.find(answer.request.number);
    if (found == this->pending.end())
        return;
    Pending &question = found->second;
    if (answer.reply) {
        replies.push_back({ .job = question.job, .reply = *answer.reply });
        this->pending.erase(found);
        return;
    }
    const DomainName &domain = question.job.home();
    if (answer.leader) {
        this->prefer(domain, *answer.leader);
        question.sendAgainAt = now + this->options.retryInterval;
        this->send(found->first, domain, question.question, now, out);
    } else {
        this->preferNext(domain);
        question.sendAgainAt = now + this->options.redirectPause;
    }
}

void JournalClient::tick(TimePoint now, DispatchOutbox &out)
{
    std::set<DomainName> moved;
    for (auto &[number, question] : this->pending) {
        if (now < question.sendAgainAt)
            continue;
        const DomainName &domain = question.job.home();
        if (moved.insert(domain).second)
            this->preferNext(domain);
        question.sendAgainAt = now + this->options.retryInterval;
        this->send(number, domain, question.question, now, out);
    }
}

void JournalClient::keepAlive(const DomainName &domain, TimePoint now, DispatchOutbox &out)
{
    if (now >= this->views[domain].askedAt + this->options.heartbeatInterval)
        this->ask(JobId(domain, TimePoint(), "heartbeat"), CoordinatorHeartbeat {}, now, out);
}

void JournalClient::send(std::uint64_t number, const DomainName &domain,
                         const JournalQuestion &question, TimePoint now, DispatchOutbox &out)
{
    const JournalGroup *group = this->groupOf(domain);
    HIBISCUS_INVARIANT(group != nullptr, "questions go to known domains only");
    GroupView &view = this->views[domain];
    view.askedAt = now;
    const JournalRequest request = { .request = { .node = this->self.node, .number = number },
                                     .coordinator = this->self,
                                     .question = question };
    out.toJournals.push_back({ .to = group->members.at(view.preferred), .request = request });
}

void JournalClient::prefer(const DomainName &domain, const NodeName &member)
{
    const std::vector<NodeName> &members = this->groupOf(domain)->members;
    const auto found = std::ranges::find(members, member);
    if (found != members.end())
        this->views[domain].preferred = static_cast<std::size_t>(found - members.begin());
}

void JournalClient::preferNext(const DomainName &domain)
{
    GroupView &view = this->views[domain];
    view.preferred = (view.preferred + 1) % this->groupOf(domain)->members.size();
}

const JournalGroup *JournalClient::groupOf(const DomainName &domain) const
{
    const auto found = std::ranges::find(this->options.groups, domain, &JournalGroup::domain);
    return found == this->options.groups.end() ? nullptr : &*found;
}

} // namespace Hibiscus
