#pragma once

#include "Hibiscus/src/Fleet/DrivenTarget.h"

#include <map>

namespace Hibiscus {

/** \brief Timing of an OwnerFence. */
struct OwnerFenceOptions
{
    /** \brief Time without a message after which an owner counts as lost. Callers send a job again
     * 1.3 s after they lost its coordinator, and platforms execute an order without a response 2 s
     * late or more.
     */
    Duration silenceTimeout = 800ms;
    /** \brief Delay after a poll without a response, in the first second. */
    Duration retryInterval = 100ms;
    /** \brief Interval of later polls; a target forgets the token if it restarts. */
    Duration repeatInterval = 500ms;
    /** \brief Longest time after which a platform executes an order. */
    Duration maxLateness = 12s;
};

/** \brief Reason to fence a target. */
enum class FenceCause : std::uint8_t {
    OwnerSilent,
    OwnerRestarted,
    OwnerRequest ///< the owner cannot reach the target
};

/** \returns the name of \a cause for logs. */
const char *toString(FenceCause cause);

/** \brief Fence of one target, for the log. */
struct FenceRecord
{
    NodeName owner;
    OrderAddress target; ///< with the token of the fence
    FenceCause cause = FenceCause::OwnerSilent;
    OrderStatus status = OrderStatus::Unanswered;
    Duration sinceCause {}; ///< time from the cause until the target's response

    auto operator<=>(const FenceRecord &other) const = default;
};

/** \brief Fences the targets of lost owners, as a guardian of these owners.
 *
 * A start that its owner has sent, without a response, may be executed seconds later. While the
 * owner lives it stops the run. Once the owner is lost only a higher fencing token rejects the
 * start, and the target's next owner may take over too late. So guardians show each target a higher
 * token, by a poll that changes nothing else, until the target rejects it: then it has a next
 * owner, or the former one has returned.
 */
class OwnerFence
{
public:
    explicit OwnerFence(const OwnerFenceOptions &options) : options(options) { }

    // Commands.
    /** \brief Sets all targets of an incarnation of \a owner. */
    void setTargets(const NodeName &owner, std::uint64_t incarnation,
                    const std::vector<DrivenTarget> &targets, TimePoint now);
    /** \brief Stops watching \a owner, which has other guardians. */
    void removeOwner(const NodeName &owner) { this->owners.erase(owner); }
    /** \brief Begins to fence all targets of \a owner, unless it has begun before. */
    void handleLoss(const NodeName &owner, FenceCause cause, TimePoint now);
    /** \brief Stops fencing the targets of this incarnation of \a owner, which is not lost. */
    void handleContact(const NodeName &owner, std::uint64_t incarnation);
    /** \returns whether the poll was one of this object. */
    bool handlePollResponse(const OrderAddress &from, TimePoint sentAt,
                            const PollResponse &response, TimePoint now);
    /** \returns the polls to send. */
    std::vector<PollOrder> takeDuePolls(TimePoint now);
    /** \returns the first response of each target, and each later one with another status. */
    std::vector<FenceRecord> takeRecords() { return std::exchange(this->records, {}); }

    // Queries.
    bool isGuardianOf(const NodeName &owner) const { return this->owners.contains(owner); }
    std::size_t fenceCount() const { return this->fences.size(); }

private:
    struct Owner
    {
        std::uint64_t incarnation = 0;
        std::vector<DrivenTarget> targets;
        bool isLost = false;
    };

    struct FenceName
    {
        NodeName owner;
        TargetName target;

        auto operator<=>(const FenceName &other) const = default;
    };

    struct Fence
    {
        std::uint64_t ownerIncarnation = 0;
        OrderAddress to;
        FenceCause cause = FenceCause::OwnerSilent;
        TimePoint since;
        TimePoint nextPollAt;
        std::optional<TimePoint> pollSentAt; ///< of the poll in flight
        bool lastPollFailed = false;
        bool isEstablished = false; ///< whether the target has accepted the token
    };

    void addFence(const NodeName &owner, std::uint64_t incarnation, const OrderAddress &address,
                  FenceCause cause, TimePoint now);
    void record(const FenceName &name, const Fence &fence, OrderStatus status, TimePoint now);

    OwnerFenceOptions options;
    std::map<NodeName, Owner> owners;
    std::map<FenceName, Fence> fences;
    std::vector<FenceRecord> records;
};

} // namespace Hibiscus
