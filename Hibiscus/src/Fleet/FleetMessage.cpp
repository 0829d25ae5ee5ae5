#include "Hibiscus/src/Fleet/FleetMessage.h"

namespace Hibiscus {

bool takeRoom(OwnerReport &report, const RunRequest &request, const RunBounds &bounds,
              TimePoint now)
{
    const auto found = std::ranges::find_if(report.targets, [&](const OwnedTarget &target) {
        const Duration expected = fromSeconds(target.slowness * toSeconds(request.estimate));
        return target.takesWork && target.service == request.service
            && satisfies(target.labels, request.requiredLabel) && target.free.covers(request.demand)
            && fitnessOf(bounds, expected, now) != Fitness::Hopeless;
    });
    if (found == report.targets.end())
        return false;
    found->free = found->free.minus(request.demand);
    return true;
}

} // namespace Hibiscus
