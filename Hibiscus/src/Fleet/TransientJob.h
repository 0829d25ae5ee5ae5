#pragma once

#include "Hibiscus/src/Fleet/Capacity.h"

#include <vector>

namespace Hibiscus {

/** \brief Group of alike tasks of a job. */
struct JobStep
{
    std::uint32_t taskCount = 1;
    Capacity demand; ///< demand of each task
    Duration estimate {}; ///< the caller's rough estimate of a task's run time
    std::vector<std::uint32_t> dependsOn; ///< indices of earlier steps that must be complete first
    std::string requiredLabel; ///< a label that the target must have; empty: any target
    std::uint32_t maxPerTarget = 0; ///< limit of concurrent tasks of this step on a target; 0: none

    auto operator<=>(const JobStep &other) const = default;
};

/** \brief Job that is kept in memory only, until it is answered. */
struct TransientJob
{
    std::string id; ///< chosen by the caller
    SharedText spec; ///< passed to the target with each task, not interpreted
    std::vector<JobStep> steps;

    auto operator<=>(const TransientJob &other) const = default;
};

} // namespace Hibiscus
