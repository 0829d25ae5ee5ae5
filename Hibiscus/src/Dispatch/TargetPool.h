#pragma once

#include "Hibiscus/src/Dispatch/SpeedProfile.h"

#include <map>
#include <set>

namespace Hibiscus {

/** \brief Parameters of leases, of the speed estimate and of the ejection of failing targets. */
struct TargetPoolOptions
{
    Duration leaseDuration = 2s; ///< time after an announcement during which a target gets work
    double learningRate = 0.04; ///< weight of the latest run time in the moving average
    std::uint32_t failuresToEject = 3; ///< consecutive failures, each of a different job
    Duration firstEjectionTime = 1s; ///< doubled for each repeated ejection
    Duration maxEjectionTime = 64s;
    double maxEjectedShare = 0.34; ///< share of the targets that may be ejected at once
    double maxSlowdown = 5.0; ///< multiple of the median run time above which a target is unused
    Duration missingAttemptTimeout = 1s; ///< age from which an unlisted attempt is queried
};

/** \brief A free slot of a target, with its estimated speed. */
struct FreeSlot
{
    TargetName target;
    double speed = 0; ///< tasks a second

    auto operator<=>(const FreeSlot &other) const = default;
};

/** \brief A target with its lease, its running attempts, and its speed and failure statistics. */
struct Target
{
    TargetAnnouncement announcement;
    TimePoint leasedUntil;
    std::map<AttemptId, TimePoint> running; ///< start times of the attempts
    std::optional<double> meanLogRunTime; ///< moving average of ln(run time in seconds)
    JobId lastFailedJob;
    std::uint32_t failuresInRow = 0;
    std::uint32_t ejections = 0;
    TimePoint ejectedUntil;
    bool isDrained = false; ///< drained by a rule

    /** \returns whether the target was ejected and has completed no task since. */
    bool isOnTrial() const { return this->ejections > 0; }
};

/** \brief The targets whose leases this entry node owns, and their slots.
 *
 * An attempt occupies a slot from the moment it is sent, so the owner knows the free slots without
 * a query and never sends more tasks than a target has slots.
 */
class TargetPool
{
public:
    explicit TargetPool(const TargetPoolOptions &options) : options(options) { }

    // Commands.
    void announce(const TargetAnnouncement &announcement, TimePoint now);
    void setDrained(const std::set<TargetName> &drained);
    /** \brief Occupies a slot of \a target with \a attempt. */
    void occupy(const TargetName &target, const AttemptId &attempt, TimePoint now);
    /** \brief Frees the slot of \a attempt and learns from its \a status. */
    void release(const TargetName &target, const AttemptId &attempt, AttemptStatus status,
                 TimePoint now);
    /** \brief Removes targets with an expired lease and no running attempt. */
    void removeExpired(TimePoint now);

    // Queries.
    const std::map<TargetName, Target> &targets() const { return this->targetsByName; }
    const Target *find(const TargetName &target) const;
    /** \returns at most \a maxCount free slots of \a service, the fastest first. */
    std::vector<FreeSlot> freeSlots(const ServiceName &service, std::size_t maxCount,
                                    TimePoint now) const;
    std::vector<ServiceName> services() const;
    /** \returns the speeds of all usable slots of \a service, both free and busy. */
    std::vector<SpeedClass> speedsOf(const ServiceName &service, TimePoint now) const;
    std::uint32_t slotsOf(const ServiceName &service) const;
    /** \returns the largest number of slots of a single target of \a service, or 0. */
    std::uint32_t maxSlotsPerTarget(const ServiceName &service) const;
    /** \returns attempts that the last announcement of \a target should list, but does not. */
    std::vector<AttemptId> missingAttempts(const TargetName &target, TimePoint now) const;

private:
    bool isUsable(const Target &target, TimePoint now) const;
    std::uint32_t freeSlotsOf(const Target &target) const;
    double runTimeOf(const Target &target) const;
    double medianRunTime(const ServiceName &service) const;
    void updateRunTime(Target &target, Duration runTime);
    void recordFailure(Target &target, const JobId &job, TimePoint now);
    bool mayEjectAnother(const Target &target, TimePoint now) const;

    TargetPoolOptions options;
    std::map<TargetName, Target> targetsByName;
};

} // namespace Hibiscus
