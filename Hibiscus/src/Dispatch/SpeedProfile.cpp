#include "Hibiscus/src/Dispatch/SpeedProfile.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

/** \brief Speeds within this factor are told apart in no message. */
constexpr float sameSpeed = 1.15F;
/** \brief Other tasks want the faster slots too, so the wait for one is taken as longer. */
constexpr double competition = 4.0;
/** \brief Learned speeds are not exact: a gain below this factor is not worth a wait. */
constexpr double leastGain = 1.3;

} // namespace internal

void SpeedProfile::add(const std::vector<SpeedClass> &added)
{
    this->classes.insert(this->classes.end(), added.begin(), added.end());
}

// Faster slots come free at the sum of their speeds, so the last of the waiting tasks gets one of
// them after about waiting / sum, and then runs at their speed.
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
    const double endThen = internal::competition * wait + runTimeThen;
    return 1.0 / speed <= internal::leastGain * endThen;
}

std::vector<SpeedClass> joined(std::vector<SpeedClass> classes)
{
    std::ranges::sort(classes, std::greater<> {}, &SpeedClass::speed);
    std::vector<SpeedClass> result;
    for (const SpeedClass &item : classes) {
        const bool isSame
            = !result.empty() && result.back().speed <= item.speed * internal::sameSpeed;
        if (isSame)
            result.back().slots += item.slots;
        else
            result.push_back(item);
    }
    return result;
}

} // namespace Hibiscus
