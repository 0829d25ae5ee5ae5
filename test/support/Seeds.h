#pragma once

#include <cstdint>
#include <cstdlib>
#include <vector>

namespace Hibiscus::Fake {

/** \returns the seeds of a soak: \a usualCount from 1 on, unless the environment sets others. */
inline std::vector<std::uint64_t> soakSeeds(std::uint64_t usualCount)
{
    const char *first = std::getenv("HIBISCUS_FIRST_SEED");
    const char *runs = std::getenv("HIBISCUS_RUNS");
    const std::uint64_t begin = first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
    const std::uint64_t count = runs == nullptr ? usualCount : std::strtoull(runs, nullptr, 10);
    std::vector<std::uint64_t> seeds;
    for (std::uint64_t i = 0; i < count; ++i)
        seeds.push_back(begin + i);
    return seeds;
}

} // namespace Hibiscus::Fake
