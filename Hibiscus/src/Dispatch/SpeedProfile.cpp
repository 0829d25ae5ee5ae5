#include "Hibiscus/src/Dispatch/SpeedProfile.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Speeds within this factor belong to the same class in messages. */
constexpr float sameSpeedFactor = 1.15F;
/** \brief Factor of the estimated wait for a faster slot, since other tasks compete for it. */
constexpr double competitionFactor = 4.0;
/** \brief Minimum gain that justifies a wait, since estimated speeds are inexact. */
constexpr double minGain = 1.3;

} // namespace internal

void SpeedProfile::add(const std::vector<SpeedClass> &added)
{
    this->classes.insert(this->classes.end(), added.begin(), added.end());
}

// Faster slots become free at a rate equal to the sum of their speeds, so the last of the waiting
// tasks gets one after about waiting / sum and then runs at their speed.
bool SpeedProfile::isWorthTaking(double speed, std::size_t waiting) const
{
    double freedPerSecond = 0;
    double weighted = 0;
    for (const SpeedClass &item : this->classes) {
        const double itemSpeed = item.speed;
        if (itemSpeed <= speed)
            continue;
        freedPerSecond += itemSpeed * item.slots;
        weighted += itemSpeed * itemSpeed * item.slots;
    }
    if (freedPerSecond <= 0)
        return true;
    const double wait = static_cast<double>(waiting) / freedPerSecond;
    const double runTimeThen = freedPerSecond / weighted;
    const double endThen = internal::competitionFactor * wait + runTimeThen;
    return 1.0 / speed <= internal::minGain * endThen;
}

std::vector<SpeedClass> mergeSpeedClasses(std::vector<SpeedClass> classes)
{
    std::ranges::sort(classes, std::greater<> {}, &SpeedClass::speed);
    std::vector<SpeedClass> result;
    for (const SpeedClass &item : classes) {
        const bool isSame
            = !result.empty() && result.back().speed <= item.speed * internal::sameSpeedFactor;
        if (isSame)
            result.back().slots += item.slots;
        else
            result.push_back(item);
    }
    return result;
}

} // namespace Hibiscus
