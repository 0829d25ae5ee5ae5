#pragma once

#include "bench/Policies.h"

namespace Hibiscus::Bench {

/** \returns the outcome of one central queue that knows everything, a bound for every policy. */
RunResult runOmniscient(const WorkloadOptions &options, const std::vector<WorkloadJob> &workload);

} // namespace Hibiscus::Bench
