#include "Hibiscus/src/Fleet/JobHolds.h"

#include <algorithm>
#include <utility>

namespace Hibiscus {

std::vector<JobHold> JobHolds::update(const std::vector<UncertainStart> &uncertain,
                                      const std::function<bool(const UncertainStart &)> &isVoid,
                                      TimePoint now)
{
    this->removeExpired(now);
    std::set<RunName> present;
    std::set<std::string> changedJobs = std::exchange(this->addedJobs, {});
    for (const UncertainStart &start : uncertain) {
        present.insert(start.run);
        if (this->starts.try_emplace(start.run, start).second)
            changedJobs.insert(start.run.job);
    }
    std::erase_if(this->starts, [&](const auto &item) {
        const UncertainStart &start = item.second;
        const bool isCertain = !present.contains(start.run) && isVoid(start);
        const bool isOver = now >= start.unansweredAt + this->options.maxLateness;
        if (isCertain || isOver)
            changedJobs.insert(start.run.job);
        return isCertain || isOver;
    });
    if (now >= this->announcedAt + this->options.repeatInterval) {
        this->announcedAt = now;
        for (const auto &[run, start] : this->starts)
            changedJobs.insert(run.job);
    }
    std::vector<JobHold> changes;
    for (const std::string &job : changedJobs) {
        TimePoint until;
        for (const auto &[run, start] : this->starts)
            if (run.job == job)
                until = std::max(until, start.unansweredAt + this->options.maxLateness);
        const Duration span = std::max(until - now, Duration());
        changes.push_back({ .from = this->self, .job = job, .span = span });
        this->receive(changes.back(), now);
    }
    return changes;
}

void JobHolds::add(const UncertainStart &start)
{
    if (this->starts.size() < this->options.maxHolds
        && this->starts.try_emplace(start.run, start).second)
        this->addedJobs.insert(start.run.job);
}

void JobHolds::receive(const JobHold &hold, TimePoint now)
{
    if (hold.span <= Duration()) {
        const auto found = this->heldUntil.find(hold.job);
        if (found == this->heldUntil.end())
            return;
        found->second.erase(hold.from);
        if (found->second.empty())
            this->heldUntil.erase(found);
        return;
    }
    this->removeExpired(now);
    if (this->heldUntil.size() >= this->options.maxHolds && !this->heldUntil.contains(hold.job))
        return;
    this->heldUntil[hold.job][hold.from] = now + std::min(hold.span, this->options.maxLateness);
}

bool JobHolds::isHeld(const std::string &job, TimePoint now) const
{
    const auto found = this->heldUntil.find(job);
    return found != this->heldUntil.end()
        && std::ranges::any_of(found->second, [&](const auto &item) { return now < item.second; });
}

std::vector<JobHold> JobHolds::activeHolds(TimePoint now) const
{
    std::vector<JobHold> holds;
    for (const auto &[job, untilByAnnouncer] : this->heldUntil)
        for (const auto &[announcer, until] : untilByAnnouncer)
            if (now < until)
                holds.push_back({ .from = announcer, .job = job, .span = until - now });
    return holds;
}

void JobHolds::removeExpired(TimePoint now)
{
    for (auto item = this->heldUntil.begin(); item != this->heldUntil.end();) {
        std::erase_if(item->second, [&](const auto &hold) { return now >= hold.second; });
        item = item->second.empty() ? this->heldUntil.erase(item) : ++item;
    }
}

} // namespace Hibiscus
