#pragma once

#include "Hibiscus/src/Dispatch/SpeedProfile.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief The timing and bounds of leases, learned speed and ejection. */
struct TargetPoolOptions
{
    Duration leaseDuration = 2s; ///< a target unheard for longer gets no new work
    double learningRate = 0.04; ///< weight of the newest run time in the learned one
    std::uint32_t failuresToEject = 3; ///< failures in a row, each of another job
    Duration firstEjection = 1s; ///< doubled with each further one
    Duration maxEjection = 64s;
    double maxEjected = 0.34; ///< share of the targets that may be ejected at once
    double slowestUseful = 5.0; ///< run time over the median beyond which a target is spare
    Duration missingAfter = 1s; ///< an attempt that the target does not list is asked for
};

/** \brief A free slot: which target, and how fast it is expected to be. */
struct FreeSlot
{
    TargetName target;
    double speed = 0; ///< tasks a second

    auto operator<=>(const FreeSlot &other) const = default;
};

/** \brief A target with its lease, its slots and what was learned of it. */
struct Target
{
    TargetAnnouncement announcement;
    TimePoint leasedUntil;
    std::map<AttemptId, TimePoint> running; ///< with the time of the start
    std::optional<double> meanLogRunTime; ///< natural logarithm of seconds
    JobId lastFailedJob;
    std::uint32_t failuresInRow = 0;
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil;
    bool isDrained = false; ///< by a rule

    /** \returns whether the target is on trial: it failed, and has not succeeded since. */
    bool isOnTrial() const { return this->ejections > 0; }
};

/** \brief The targets whose leases this entry node owns, and their slots.
 *
 * An attempt occupies a slot from the moment it is sent, so the owner never sends more than a
 * target takes and need not ask.
 */
class TargetPool
{
public:
    explicit TargetPool(const TargetPoolOptions &options) : options(options) { }

    // Commands.
    void announce(const TargetAnnouncement &announcement, TimePoint now);
    void setDrained(const std::set<TargetName> &drained);
    void occupy(const TargetName &target, const AttemptId &attempt, TimePoint now);
    /** \brief Frees the slot of \a attempt and learns from its \a status. */
    void release(const TargetName &target, const AttemptId &attempt, AttemptStatus status,
                 TimePoint now);
    /** \brief Forgets targets that are gone: lease over, and nothing running. */
    void removeExpired(TimePoint now);

    // Queries.
    const std::map<TargetName, Target> &targets() const { return this->pool; }
    const Target *find(const TargetName &target) const;
    /** \returns the free slots of \a service, the fastest first, at most \a most. */
    std::vector<FreeSlot> freeSlots(const ServiceName &service, std::size_t most,
                                    TimePoint now) const;
    std::vector<ServiceName> services() const;
    /** \returns the speeds of all usable slots of \a service, free or not. */
    std::vector<SpeedClass> speedsOf(const ServiceName &service, TimePoint now) const;
    std::uint32_t slotsOf(const ServiceName &service) const;
    /** \returns the most slots that any one target of \a service has; 0 when there is none. */
    std::uint32_t widestTargetOf(const ServiceName &service) const;
    /** \returns attempts which the announcement of \a target should list, but does not. */
    std::vector<AttemptId> missingAttempts(const TargetName &target, TimePoint now) const;

private:
    bool isUsable(const Target &target, TimePoint now) const;
    std::uint32_t freeSlotsOf(const Target &target) const;
    double runTimeOf(const Target &target) const;
    double medianRunTime(const ServiceName &service) const;
    void learnRunTime(Target &target, Duration runTime);
    void noteFailure(Target &target, const JobId &job, TimePoint now);
    bool mayEjectAnother(const Target &target, TimePoint now) const;

    TargetPoolOptions options;
    std::map<TargetName, Target> pool;
};

} // namespace Hibiscus
