#pragma once

#include <Hibiscus/Core>

#include <cstdint>
#include <set>
#include <vector>

namespace Hibiscus {

/** \brief Identity of a replica: its node, and an incarnation drawn when its disk is formatted.
 *
 * A node that lost its disk returns with another incarnation, and so counts as a new member.
 */
struct MemberId
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId &other) const = default;
    HIBISCUS_FIELDS(node, incarnation)
};

/** \brief The rights of a member in its replication group. */
enum class MemberRole : std::uint8_t {
    Learner, ///< receives the log, has no vote
    Voter ///< counts towards the quorum
};

/** \brief One member of a group with its role. */
struct Member
{
    MemberId id;
    MemberRole role = MemberRole::Voter;

    auto operator<=>(const Member &other) const = default;
    HIBISCUS_FIELDS(id, role)
};

/** \brief The members of a replication group. */
struct GroupMembership
{
    std::vector<Member> members;

    bool contains(const MemberId &id) const;
    bool isVoter(const MemberId &id) const;
    std::size_t voterCount() const;
    std::set<MemberId> voters() const;
    /** \returns a copy with \a member added, or with its role changed if it is there already. */
    GroupMembership with(const Member &member) const;
    /** \returns a copy without the member \a id. */
    GroupMembership without(const MemberId &id) const;

    auto operator<=>(const GroupMembership &other) const = default;
    HIBISCUS_FIELDS(members)
};

} // namespace Hibiscus
