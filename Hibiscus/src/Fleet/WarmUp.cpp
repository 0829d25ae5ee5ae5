#include "Hibiscus/src/Fleet/WarmUp.h"

#include <algorithm>
#include <cmath>

namespace Hibiscus {

namespace internal {

static std::int64_t partOf(std::int64_t amount, double share)
{
    return static_cast<std::int64_t>(static_cast<double>(amount) * share);
}

} // namespace internal

void WarmUp::update(Duration remaining, TimePoint now)
{
    if (now >= this->warmAt)
        this->longest = {};
    this->longest = std::max(this->longest, remaining);
    this->warmAt = now + remaining;
}

// Devices are not shared between tasks, so their number is not limited.
Capacity WarmUp::usable(const Capacity &free, const Capacity &capacity, TimePoint now) const
{
    if (now >= this->warmAt)
        return free;
    const double share = this->share(free == capacity, now);
    const Capacity withheld
        = { .cpu = capacity.cpu - internal::partOf(capacity.cpu, share),
            .memory = capacity.memory - internal::partOf(capacity.memory, share) };
    const Capacity usable = free.minus(withheld);
    return { .cpu = std::max<std::int64_t>(usable.cpu, 0),
             .memory = std::max<std::int64_t>(usable.memory, 0),
             .accelerators = free.accelerators };
}

double WarmUp::share(bool isIdle, TimePoint now) const
{
    const double remaining = toSeconds(this->warmAt - now) / toSeconds(this->longest);
    const double step = std::floor(steps * (1 - std::clamp(remaining, 0.0, 1.0)));
    const double share = std::min(1.0, (step + 1) / steps);
    return isIdle ? std::max(share, idleShare) : share;
}

} // namespace Hibiscus
