#pragma once

#include "bench/Policies.h"

namespace Hibiscus::Bench {

/** \returns the outcome of the OmniscientPolicy, a bound for every other policy. */
RunResult runOmniscient(const WorkloadOptions &options, const std::vector<WorkloadJob> &workload);

} // namespace Hibiscus::Bench
