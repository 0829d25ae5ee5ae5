#pragma once

#include <Hibiscus/Core>

#include <algorithm>
#include <limits>

namespace Hibiscus {

/** \brief Resources that a target offers or a task needs. */
struct Capacity
{
    std::int64_t cpu = 0; ///< thousandths of a core
    std::int64_t memory = 0; ///< megabytes
    std::int64_t accelerators = 0; ///< number of devices

    /** \returns whether \a demand fits into this capacity. */
    bool covers(const Capacity &demand) const
    {
        return demand.cpu <= this->cpu && demand.memory <= this->memory
            && demand.accelerators <= this->accelerators;
    }

    /** \returns the number of tasks with \a demand that fit into this capacity at once. */
    std::int64_t countFitting(const Capacity &demand) const
    {
        std::int64_t copies = std::numeric_limits<std::int32_t>::max();
        if (demand.cpu > 0)
            copies = std::min(copies, this->cpu / demand.cpu);
        if (demand.memory > 0)
            copies = std::min(copies, this->memory / demand.memory);
        if (demand.accelerators > 0)
            copies = std::min(copies, this->accelerators / demand.accelerators);
        return std::max<std::int64_t>(copies, 0);
    }

    Capacity plus(const Capacity &other) const
    {
        return { .cpu = this->cpu + other.cpu,
                 .memory = this->memory + other.memory,
                 .accelerators = this->accelerators + other.accelerators };
    }

    Capacity minus(const Capacity &other) const
    {
        return { .cpu = this->cpu - other.cpu,
                 .memory = this->memory - other.memory,
                 .accelerators = this->accelerators - other.accelerators };
    }

    auto operator<=>(const Capacity &other) const = default;
    HIBISCUS_FIELDS(cpu, memory, accelerators)
};

} // namespace Hibiscus
