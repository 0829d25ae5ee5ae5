#pragma once

#include "bench/Policies.h"

namespace Hibiscus::Bench {

/** \returns the outcome of the project's own entry nodes and journals, simulated in virtual time.
 */
RunResult runDispatcher(const Site &site, const WorkloadOptions &options,
                        const std::vector<WorkloadJob> &workload);

} // namespace Hibiscus::Bench
