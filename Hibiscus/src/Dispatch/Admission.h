#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <Hibiscus/Rules>

#include <map>

namespace Hibiscus {

/** \brief The bounds that a new job must meet, and this node's part in limits of the whole. */
struct AdmissionOptions
{
    NodeName self;
    std::uint32_t entryIndex = 0; ///< position of this entry node among all
    std::uint32_t entryCount = 1;
    std::size_t maxWaitingTasks = 600; ///< beyond it new jobs are refused
    double quotaBacklog = 4.0; ///< waiting tasks of a team, as a multiple of its share
};

/** \brief What waits at this node already, without the job in question. */
struct Backlog
{
    std::size_t waitingTasks = 0;
    std::size_t waitingOfTeam = 0;
};

/** \brief Decides which jobs an entry node takes, by the rules in force and its own bounds. */
class Admission
{
public:
    explicit Admission(const AdmissionOptions &options) : options(options) { }

    // Commands.
    void applyRules(const RuleSet &newRules) { this->rules = newRules; }
    void drain() { this->draining = true; }
    void noteWidestTarget(const ServiceName &service, std::uint32_t slots);
    /** \returns why \a request is refused, or JobReason::None; then it uses up its rate. */
    JobReason admit(const JobRequest &request, const Backlog &backlog, TimePoint now);

    // Queries.
    bool isDraining() const { return this->draining; }
    /** \returns this node's share of the tasks that \a team may run at once. */
    std::optional<std::uint32_t> quotaShareOf(const TeamName &team) const;
    /** \returns this node's share of the tasks that may run at once on \a service. */
    std::optional<std::uint32_t> limitShareOf(const ServiceName &service) const;
    /** \returns the share of retries that a rule allows \a service, if there is one. */
    std::optional<double> retryShareOf(const ServiceName &service) const;
    std::uint32_t priorityOf(const TeamName &team) const { return this->rules.priorityOf(team); }

private:
    struct RateBucket
    {
        double tokens = 0;
        TimePoint filledAt;
    };

    bool isOverQuota(const TeamName &team, std::size_t waitingOfTeam) const;
    bool takeRateToken(const ServiceName &service, std::uint32_t jobsPerSecond, TimePoint now);
    std::uint32_t shareOf(std::uint32_t total) const;

    AdmissionOptions options;
    RuleSet rules;
    std::map<ServiceName, RateBucket> rates;
    std::map<ServiceName, std::uint32_t> widestTargets;
    bool draining = false;
};

} // namespace Hibiscus
