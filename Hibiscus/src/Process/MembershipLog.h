#pragma once

#include <Hibiscus/Replication>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief Logs the changes of the members of a replication group, why the leader makes them or
 * waits, and which members have announced their stop.
 */
class MembershipLog
{
public:
    /** \brief Logs what has changed in \a replica since the last call. */
    void update(const Replica &replica, TimePoint now);

private:
    /** \brief The exchange of a voter that the leader works on. */
    struct Exchange
    {
        PendingExchange logged;
        TimePoint begunAt;
    };

    void logMembers(const Replica &replica);
    void logLostVoters(const Replica &replica, TimePoint now);
    void logChange(const Replica &replica, TimePoint now);
    void logCommit(const Replica &replica, TimePoint now);
    void logAnnouncements(const Replica &replica, TimePoint now);
    void logExchange(const Replica &replica, TimePoint now);

    GroupMembership loggedMembership;
    std::optional<MembershipChange> uncommittedChange;
    std::uint64_t loggedIndex = 0; ///< of the latest change that this replica made
    TimePoint changedAt;
    std::set<MemberId> lostVoters;
    std::map<MemberId, LeaveAnnouncement> announcements;
    std::map<MemberId, TimePoint> believedSince; ///< on the leader, by leaving member
    std::optional<Exchange> exchange;
    LineLimit lines;
};

} // namespace Hibiscus
