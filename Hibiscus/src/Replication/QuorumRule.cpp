#include "Hibiscus/src/Replication/QuorumRule.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

// A voter whose disk is lost takes part in no further quorum. Without one of these, a majority of
// the others still intersects each majority of all.
static bool isMajority(const std::set<MemberId> &members, const GroupMembership &membership,
                       const std::set<MemberId> &lostVoters)
{
    std::size_t voters = 0;
    std::size_t lost = 0;
    std::size_t present = 0;
    for (const MemberId &voter : membership.voters()) {
        ++voters;
        if (lostVoters.contains(voter))
            ++lost;
        else if (members.contains(voter))
            ++present;
    }
    return present > (voters - std::min<std::size_t>(lost, 1)) / 2;
}

} // namespace internal

// Majorities of two successive memberships may be disjoint if both leave out a lost voter, so that
// is done only with committed voters.
bool QuorumRule::isQuorum(const std::set<MemberId> &members) const
{
    if (this->areVotersCommitted)
        return internal::isMajority(members, this->membership, this->lostVoters);
    return internal::isMajority(members, this->membership, {})
        && internal::isMajority(members, this->formerMembership, this->lostVoters);
}

} // namespace Hibiscus
