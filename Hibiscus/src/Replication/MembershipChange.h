#pragma once

#include "Hibiscus/src/Replication/Member.h"

#include <optional>

namespace Hibiscus {

/** \brief Why a leader changes the members of its group. */
enum class MembershipCause : std::uint8_t {
    Joined, ///< a node has asked to join
    DiskLost, ///< the node of a voter is back as another member
    VoterLeaving, ///< a voter has announced its stop
    VoterSilent, ///< a voter was not heard for the silence timeout
    TooFewVoters, ///< the group has fewer voters than it should
    LearnerSilent, ///< a learner was not heard for the silence timeout
    LearnerCaughtUp ///< the group has no limit of the voters, or none votes besides the desired
                    ///< ones
};

/** \brief Why a voter that leaves, is silent or has lost its disk still has its vote. */
enum class ExchangeObstacle : std::uint8_t {
    None, ///< the next step is due
    LeaderNotReady, ///< nothing of the leader's term is committed yet
    ChangeNotCommitted, ///< the previous change of the members is in progress
    SilenceTooShort, ///< the voter may be back soon
    NoLearner,
    LearnerSilent,
    LearnerLeaving,
    LearnerBehind, ///< it does not hold all that is committed
    VoterNeeded ///< too few voters would remain
};

/** \returns the name of \a cause for logs. */
const char *toString(MembershipCause cause);
/** \returns the name of \a obstacle for logs. */
const char *toString(ExchangeObstacle obstacle);

/** \brief A change of one member, by the leader of its group. */
struct MembershipChange
{
    GroupMembership membership; ///< after the change
    MembershipCause cause = MembershipCause::Joined;
    MemberId member; ///< the member that is added, removed or given another role
    std::uint64_t index = 0; ///< of the log entry; 0 before it is appended

    auto operator<=>(const MembershipChange &other) const = default;
};

/** \brief The exchange of a voter that the leader has begun or waits to begin. */
struct PendingExchange
{
    MemberId voter;
    MembershipCause cause = MembershipCause::VoterSilent;
    ExchangeObstacle obstacle = ExchangeObstacle::None;
    std::optional<MemberId> learner; ///< the one that is closest to taking the vote
    std::uint64_t missingEntries = 0; ///< committed entries that \a learner does not hold

    /** \returns whether \a other differs in no more than the progress of the learner. */
    bool isAtSameStep(const PendingExchange &other) const
    {
        return this->voter == other.voter && this->cause == other.cause
            && this->obstacle == other.obstacle && this->learner == other.learner;
    }

    auto operator<=>(const PendingExchange &other) const = default;
};

} // namespace Hibiscus
