#include "Hibiscus/src/Replication/Member.h"

#include <algorithm>

namespace Hibiscus {

bool GroupMembership::contains(const MemberId &id) const
{
    return std::ranges::any_of(this->members, [&](const Member &m) { return m.id == id; });
}

bool GroupMembership::isVoter(const MemberId &id) const
{
    return std::ranges::any_of(
        this->members, [&](const Member &m) { return m.id == id && m.role == MemberRole::Voter; });
}

std::size_t GroupMembership::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->members, [](const Member &m) { return m.role == MemberRole::Voter; }));
}

std::set<MemberId> GroupMembership::voters() const
{
    std::set<MemberId> voters;
    for (const Member &member : this->members)
        if (member.role == MemberRole::Voter)
            voters.insert(member.id);
    return voters;
}

GroupMembership GroupMembership::with(const Member &member) const
{
    GroupMembership changed = this->without(member.id);
    changed.members.push_back(member);
    std::ranges::sort(changed.members);
    return changed;
}

GroupMembership GroupMembership::without(const MemberId &id) const
{
    GroupMembership changed = *this;
    std::erase_if(changed.members, [&](const Member &m) { return m.id == id; });
    return changed;
}

} // namespace Hibiscus
