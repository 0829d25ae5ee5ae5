#pragma once

#include "Hibiscus/src/Replication/Member.h"

namespace Hibiscus {

/** \brief Decides which members of a group form a quorum, for elections, commits and reads.
 *
 * Two quorums have a member in common, also if their rules differ in what is known of commits and
 * of lost disks, provided that each member acted for the one quorum (voted, or acknowledged) after
 * the disks in its \a lostVoters were lost. docs/PROOFS.md has the proof.
 */
struct QuorumRule
{
    GroupMembership membership;
    GroupMembership formerMembership; ///< the one that \a membership has replaced; is committed
    /** \brief Whether the voters of \a membership are known to be committed. */
    bool areVotersCommitted = true;
    std::set<MemberId> lostVoters; ///< voters whose disks are known to be lost

    /** \returns whether \a members form a quorum. */
    bool isQuorum(const std::set<MemberId> &members) const;

    auto operator<=>(const QuorumRule &other) const = default;
};

} // namespace Hibiscus
