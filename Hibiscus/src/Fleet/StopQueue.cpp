#include "Hibiscus/src/Fleet/StopQueue.h"

#include <utility>

namespace Hibiscus {

void StopQueue::add(const StopOrder &order)
{
    this->lines[order.to.target].waiting.push_back(order);
}

std::vector<StopOrder> StopQueue::takeSendable()
{
    std::vector<StopOrder> sendable;
    for (auto item = this->lines.begin(); item != this->lines.end();) {
        Line &line = item->second;
        while (!line.waiting.empty() && line.sentCount < this->options.maxStopsPerTarget
               && this->sentCount < this->options.maxStops) {
            sendable.push_back(std::move(line.waiting.front()));
            line.waiting.pop_front();
            ++line.sentCount;
            ++this->sentCount;
        }
        const bool isUnused = line.waiting.empty() && line.sentCount == 0;
        item = isUnused ? this->lines.erase(item) : ++item;
    }
    return sendable;
}

void StopQueue::finish(const TargetName &target)
{
    const auto found = this->lines.find(target);
    if (found == this->lines.end() || found->second.sentCount == 0)
        return;
    --found->second.sentCount;
    --this->sentCount;
}

} // namespace Hibiscus
