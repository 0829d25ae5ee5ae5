#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <Hibiscus/Rules>

#include <map>

namespace Hibiscus {

/** \brief Admission limits of this entry node, and its share of the system-wide limits. */
struct AdmissionOptions
{
    NodeName self;
    std::uint32_t entryIndex = 0; ///< index of this node among all entry nodes
    std::uint32_t entryCount = 1;
    std::size_t maxWaitingTasks = 600; ///< new jobs that would exceed it are refused
    double quotaBacklogFactor = 4.0; ///< limit of a team's waiting tasks per share of its quota
};

/** \brief Waiting tasks at this node, without those of the job to be admitted. */
struct Backlog
{
    std::size_t waitingTasks = 0;
    std::size_t waitingTasksOfTeam = 0;
};

/** \brief Admission control of an entry node, by the rules in force and the node's own limits. */
class Admission
{
public:
    explicit Admission(const AdmissionOptions &options) : options(options) { }

    // Commands.
    void applyRules(const RuleSet &newRules) { this->rules = newRules; }
    void drain() { this->draining = true; }
    /** \brief Records that \a service has a target with \a slots slots. */
    void recordTargetSlots(const ServiceName &service, std::uint32_t slots);
    /** \returns the reason for refusing \a request, or JobReason::None if it is admitted. An
     * admitted job consumes a token of its service's rate limit.
     */
    JobReason admit(const JobRequest &request, const Backlog &backlog, TimePoint now);

    // Queries.
    bool isDraining() const { return this->draining; }
    /** \returns this node's share of the tasks that \a team may run at once. */
    std::optional<std::uint32_t> quotaShareOf(const TeamName &team) const;
    /** \returns this node's share of the tasks that may run at once on \a service. */
    std::optional<std::uint32_t> limitShareOf(const ServiceName &service) const;
    /** \returns retries allowed as a share of first attempts, if a rule limits \a service. */
    std::optional<double> retryShareOf(const ServiceName &service) const;
    std::uint32_t priorityOf(const TeamName &team) const { return this->rules.priorityOf(team); }

private:
    struct RateBucket
    {
        double tokens = 0;
        TimePoint refilledAt;
    };

    bool isOverQuota(const TeamName &team, std::size_t waitingTasksOfTeam) const;
    bool takeRateToken(const ServiceName &service, std::uint32_t jobsPerSecond, TimePoint now);
    std::uint32_t shareOf(std::uint32_t total) const;

    AdmissionOptions options;
    RuleSet rules;
    std::map<ServiceName, RateBucket> rates;
    std::map<ServiceName, std::uint32_t> largestTargets;
    bool draining = false;
};

} // namespace Hibiscus
