#include "Hibiscus/src/Fleet/StartQueue.h"

#include <utility>

namespace Hibiscus {

// Another coordinator may request a run of the same name once the first one has ended. A start of
// that one which still waits is outdated.
void StartQueue::add(const StartOrder &order, TimePoint now)
{
    this->waiting[order.run] = { .order = order, .since = now };
    Line &line = this->lines[order.to.target];
    (this->largeBytesOf(order) > 0 ? line.large : line.usual).push_back(order.run);
}

std::vector<NumberedStart> StartQueue::takeSendable()
{
    std::vector<NumberedStart> sendable;
    for (auto item = this->lines.begin(); item != this->lines.end();) {
        Line &line = item->second;
        this->takeFrom(line.usual, line, sendable);
        this->takeFrom(line.large, line, sendable);
        const bool isUnused = line.usual.empty() && line.large.empty() && line.sentCount == 0;
        item = isUnused ? this->lines.erase(item) : ++item;
    }
    return sendable;
}

bool StartQueue::maySend(const Line &line, std::size_t largeBytes) const
{
    const bool fits = largeBytes == 0 || this->sentLargeBytes == 0
        || this->sentLargeBytes + largeBytes <= this->options.maxLargeBytes;
    return fits && line.sentCount < this->options.maxStartsPerTarget
        && this->sent.size() < this->options.maxStarts;
}

void StartQueue::takeFrom(std::deque<RunName> &names, Line &line,
                          std::vector<NumberedStart> &sendable)
{
    for (; !names.empty(); names.pop_front()) {
        const auto found = this->waiting.find(names.front());
        if (found == this->waiting.end())
            continue;
        const StartOrder &order = found->second.order;
        const std::size_t largeBytes = this->largeBytesOf(order);
        if (!this->maySend(line, largeBytes))
            return;
        const std::uint64_t number = ++this->lastNumber;
        this->sent[number] = { .target = order.to.target, .largeBytes = largeBytes };
        this->sentLargeBytes += largeBytes;
        ++line.sentCount;
        sendable.push_back({ .number = number, .order = order });
        this->waiting.erase(found);
    }
}

void StartQueue::finish(std::uint64_t number)
{
    const auto found = this->sent.find(number);
    if (found == this->sent.end())
        return;
    this->sentLargeBytes -= found->second.largeBytes;
    --this->lines.at(found->second.target).sentCount;
    this->sent.erase(found);
}

std::optional<StartOrder> StartQueue::withdraw(const TargetName &target, const RunName &run)
{
    const auto found = this->waiting.find(run);
    if (found == this->waiting.end() || found->second.order.to.target != target)
        return std::nullopt;
    StartOrder order = std::move(found->second.order);
    this->waiting.erase(found);
    return order;
}

std::vector<StartOrder> StartQueue::takeExpired(TimePoint now)
{
    std::vector<StartOrder> expired;
    std::erase_if(this->waiting, [&](const auto &item) {
        const bool isExpired = now >= item.second.since + this->options.maxWait;
        if (isExpired)
            expired.push_back(item.second.order);
        return isExpired;
    });
    return expired;
}

} // namespace Hibiscus
