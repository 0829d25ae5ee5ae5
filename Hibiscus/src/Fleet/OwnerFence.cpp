#include "Hibiscus/src/Fleet/OwnerFence.h"

#include "Hibiscus/src/Fleet/FencingToken.h"

#include <algorithm>

namespace Hibiscus {

const char *toString(FenceCause cause)
{
    switch (cause) {
    case FenceCause::OwnerSilent:
        return "owner-silent";
    case FenceCause::OwnerRestarted:
        return "owner-restarted";
    case FenceCause::OwnerRequest:
        break;
    }
    return "owner-request";
}

void OwnerFence::setTargets(const NodeName &owner, std::uint64_t incarnation,
                            const std::vector<DrivenTarget> &targets, TimePoint now)
{
    const std::vector<DrivenTarget> former = std::exchange(this->owners[owner].targets, targets);
    this->owners[owner].incarnation = incarnation;
    for (const DrivenTarget &target : targets) {
        if (target.isFenceWanted && std::ranges::find(former, target) == former.end())
            this->addFence(owner, incarnation, target.address, FenceCause::OwnerRequest, now);
        if (target.isFenceWanted)
            continue;
        const auto found = this->fences.find({ .owner = owner, .target = target.address.target });
        if (found != this->fences.end() && found->second.cause == FenceCause::OwnerRequest
            && found->second.ownerIncarnation == incarnation)
            this->fences.erase(found);
    }
}

void OwnerFence::handleLoss(const NodeName &owner, FenceCause cause, TimePoint now)
{
    const auto found = this->owners.find(owner);
    if (found == this->owners.end() || std::exchange(found->second.isLost, true))
        return;
    for (const DrivenTarget &target : found->second.targets)
        this->addFence(owner, found->second.incarnation, target.address, cause, now);
}

void OwnerFence::handleContact(const NodeName &owner, std::uint64_t incarnation)
{
    const auto found = this->owners.find(owner);
    if (found == this->owners.end() || !found->second.isLost
        || found->second.incarnation != incarnation)
        return;
    found->second.isLost = false;
    std::erase_if(this->fences, [&](const auto &item) {
        return item.first.owner == owner && item.second.ownerIncarnation == incarnation
            && item.second.cause == FenceCause::OwnerSilent;
    });
}

void OwnerFence::addFence(const NodeName &owner, std::uint64_t incarnation,
                          const OrderAddress &address, FenceCause cause, TimePoint now)
{
    Fence fence;
    fence.ownerIncarnation = incarnation;
    fence.to = address;
    fence.to.fencingToken = FencingToken::fenceOf(address.fencingToken);
    fence.cause = cause;
    fence.since = now;
    fence.nextPollAt = now;
    this->fences.insert_or_assign({ .owner = owner, .target = address.target }, fence);
}

std::vector<PollOrder> OwnerFence::takeDuePolls(TimePoint now)
{
    std::erase_if(this->fences, [&](const auto &item) {
        return now >= item.second.since + this->options.maxLateness;
    });
    std::vector<PollOrder> polls;
    for (auto &[name, fence] : this->fences) {
        if (fence.pollSentAt || now < fence.nextPollAt)
            continue;
        fence.pollSentAt = now;
        polls.push_back(
            { .to = fence.to, .sentAt = now, .usesNewConnection = fence.lastPollFailed });
    }
    return polls;
}

bool OwnerFence::handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                                    const PollResponse &response, TimePoint now)
{
    const auto found = std::ranges::find_if(this->fences, [&](const auto &item) {
        return item.second.to == from && item.second.pollSentAt == sentAt;
    });
    if (found == this->fences.end())
        return false;
    Fence &fence = found->second;
    fence.pollSentAt.reset();
    fence.lastPollFailed = false;
    switch (response.status) {
    case OrderStatus::Done:
        if (!std::exchange(fence.isEstablished, true))
            this->record(found->first, fence, response.status, now);
        fence.nextPollAt = now + this->options.repeatInterval;
        // A living owner has the token shown again when it asks again.
        if (fence.cause == FenceCause::OwnerRequest)
            this->fences.erase(found);
        return true;
    case OrderStatus::Fenced:
    case OrderStatus::StaleIncarnation:
        this->record(found->first, fence, response.status, now);
        this->fences.erase(found);
        return true;
    default:
        fence.lastPollFailed = true;
        fence.nextPollAt = now
            + (now < fence.since + 1s ? this->options.retryInterval : this->options.repeatInterval);
        return true;
    }
}

void OwnerFence::record(const FenceName &name, const Fence &fence, OrderStatus status,
                        TimePoint now)
{
    this->records.push_back({ .owner = name.owner,
                              .target = fence.to,
                              .cause = fence.cause,
                              .status = status,
                              .sinceCause = now - fence.since });
}

} // namespace Hibiscus
