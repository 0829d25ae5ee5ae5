#include "Hibiscus/src/Fleet/FleetMessage.h"

namespace Hibiscus {

bool reserveCapacity(OwnerReport &report, const RunRequest &request, const RunBounds &bounds,
                     TimePoint now)
{
    const auto found = std::ranges::find_if(report.targets, [&](const OwnedTarget &target) {
        return target.acceptsWork && target.matches(request.service, request.requiredLabel)
            && target.free.covers(request.demand)
            && fitnessOf(bounds, target.expectedRunTime(request.estimate), now)
            != Fitness::Infeasible;
    });
    if (found == report.targets.end())
        return false;
    found->free = found->free.minus(request.demand);
    return true;
}

} // namespace Hibiscus
