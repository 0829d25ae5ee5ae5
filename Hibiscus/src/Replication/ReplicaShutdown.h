#pragma once

#include "Hibiscus/src/Replication/Replica.h"

namespace Hibiscus {

/** \brief The stop of a member's process: when it announces the stop, and when it may end. */
class ReplicaShutdown
{
public:
    /** \brief Time after stepping down in which the others elect a leader and this member votes. */
    static constexpr Duration leaderElectionTime = 1s;
    static constexpr Duration announcementInterval = 100ms;
    /** \brief Limit of the wait for a successor in the vote: two elections and the exchange, within
     * the time that a process is given to stop.
     */
    static constexpr Duration voteHandoverTime = 3s;

    // Commands.
    void begin(TimePoint now) { this->begunAt = now; }
    /** \returns whether the member should announce its stop \a now. \sa Replica::requestLeave() */
    bool takeAnnouncement(TimePoint now)
    {
        if (!this->begunAt || now < this->announcementDueAt)
            return false;
        this->announcementDueAt = now + announcementInterval;
        return true;
    }

    // Queries.
    const std::optional<TimePoint> &beginTime() const { return this->begunAt; }
    /** \returns whether the process of \a replica may end. */
    bool isDue(const Replica &replica, TimePoint now) const
    {
        if (!this->begunAt)
            return false;
        const Duration limit = replica.mayHandOverVote() ? voteHandoverTime : leaderElectionTime;
        return now >= *this->begunAt + limit;
    }

private:
    std::optional<TimePoint> begunAt;
    TimePoint announcementDueAt;
};

} // namespace Hibiscus
