#include "bench/Policies.h"

#include "bench/BaselineModel.h"
#include "bench/DispatcherModel.h"
#include "bench/OmniscientModel.h"

#include <Hibiscus/Core>

namespace Hibiscus::Bench {

const char *toString(const Policy &policy)
{
    return std::visit(Overloaded {
                          [](const RandomPolicy &) { return "random"; },
                          [](const RoundRobinPolicy &) { return "round-robin"; },
                          [](const LeastOutstandingPolicy &) { return "least-outstanding"; },
                          [](const TwoChoicesPolicy &) { return "two-choices"; },
                          [](const DispatcherPolicy &) { return "hibiscus"; },
                          [](const OmniscientPolicy &) { return "omniscient"; },
                      },
                      policy);
}

RunResult runPolicy(const Policy &policy, const Site &site, const WorkloadOptions &options,
                    const std::vector<WorkloadJob> &workload)
{
    if (std::holds_alternative<DispatcherPolicy>(policy))
        return runDispatcher(site, options, workload);
    if (std::holds_alternative<OmniscientPolicy>(policy))
        return runOmniscient(options, workload);
    return BaselineModel(policy, site, options, workload).run();
}

bool supports(const Policy &policy, Disturbance disturbance)
{
    const bool needsProcesses
        = disturbance == Disturbance::EntryKilled || disturbance == Disturbance::DomainCut;
    return std::holds_alternative<DispatcherPolicy>(policy) || !needsProcesses;
}

} // namespace Hibiscus::Bench
