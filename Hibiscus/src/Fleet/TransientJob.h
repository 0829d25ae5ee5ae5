#pragma once

#include "Hibiscus/src/Fleet/Capacity.h"

#include <vector>

namespace Hibiscus {

/** \brief Tasks of a job that are alike. */
struct JobStep
{
    std::uint32_t taskCount = 1;
    Capacity demand; ///< of each task
    Duration estimate {}; ///< the caller's rough guess of a task's run time
    std::vector<std::uint32_t> dependsOn; ///< earlier steps that must be complete first
    std::string requiredLabel; ///< a label that the target must have; empty: any target
    std::uint32_t maxPerTarget = 0; ///< tasks of this step on one target at a time; 0: any number

    auto operator<=>(const JobStep &other) const = default;
};

/** \brief A job that is kept in memory only: its answer is the end of it. */
struct TransientJob
{
    std::string id; ///< chosen by the caller
    std::string spec; ///< handed to the target with each task, not interpreted
    std::vector<JobStep> steps;

    auto operator<=>(const TransientJob &other) const = default;
};

} // namespace Hibiscus
