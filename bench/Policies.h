#pragma once

#include "bench/Outcome.h"

#include <variant>

namespace Hibiscus::Bench {

/** \brief Sends each task to a random target. */
struct RandomPolicy
{ };

/** \brief Sends tasks to the targets in turn. */
struct RoundRobinPolicy
{ };

/** \brief Sends each task to the target with the fewest outstanding tasks of this entry VM. */
struct LeastOutstandingPolicy
{ };

/** \brief Sends each task to the less busy of two random targets. */
struct TwoChoicesPolicy
{ };

/** \brief Runs the project's own Dispatcher. */
struct DispatcherPolicy
{ };

/** \brief Serves all jobs from one central queue that knows the true run times, the true speeds and
 * every free slot at once, without network delay between its parts.
 */
struct OmniscientPolicy
{ };

using Policy = std::variant<RandomPolicy, RoundRobinPolicy, LeastOutstandingPolicy,
                            TwoChoicesPolicy, DispatcherPolicy, OmniscientPolicy>;

const char *toString(const Policy &policy);

/** \returns the outcome of \a workload under \a policy. */
RunResult runPolicy(const Policy &policy, const Site &site, const WorkloadOptions &options,
                    const std::vector<WorkloadJob> &workload);

/** \returns whether the model of \a policy can simulate \a disturbance. */
bool supports(const Policy &policy, Disturbance disturbance);

} // namespace Hibiscus::Bench
