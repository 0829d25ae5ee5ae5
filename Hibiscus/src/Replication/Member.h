#pragma once

#include <Hibiscus/Core>

#include <cstdint>
#include <vector>

namespace Hibiscus {

/** \brief One life of a replica: its node and the incarnation drawn when its disk was formatted.
 *
 * A node that lost its disk comes back with another incarnation, and so as another member.
 */
struct MemberId
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId &other) const = default;
    HIBISCUS_FIELDS(node, incarnation)
};

/** \brief What a member may do in its group. */
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
struct Membership
{
    std::vector<Member> members;

    bool contains(const MemberId &id) const;
    bool isVoter(const MemberId &id) const;
    std::size_t voterCount() const;
    /** \returns how many voters make a quorum. */
    std::size_t quorum() const { return this->voterCount() / 2 + 1; }
    /** \returns these members with \a member added, or its role changed. */
    Membership with(const Member &member) const;
    /** \returns these members without \a id. */
    Membership without(const MemberId &id) const;

    auto operator<=>(const Membership &other) const = default;
    HIBISCUS_FIELDS(members)
};

} // namespace Hibiscus
