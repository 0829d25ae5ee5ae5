#pragma once

#include "Hibiscus/src/Fleet/Capacity.h"

#include <vector>

namespace Hibiscus {

/** \brief Whether a target accepts new work. */
enum class TargetState : std::uint8_t { Ready, Draining };

inline const char *toString(TargetState state)
{
    return state == TargetState::Ready ? "ready" : "draining";
}

/** \brief Description of a target in each of its heartbeats. */
struct LeasedTarget
{
    TargetName name;
    std::uint64_t incarnation = 0; ///< start of the target's process, ms since the Unix epoch
    std::string address; ///< IP:port
    ServiceName service;
    DomainName domain;
    std::string kind; ///< targets of one kind have the same hardware
    std::vector<std::string> labels;
    Capacity capacity;
    TargetState state = TargetState::Ready;
    std::uint64_t sequence = 0; ///< grows with each heartbeat of one incarnation
    std::int64_t clockMs = 0; ///< the target's own steady clock, ms
    Duration coldRemaining {}; ///< how much longer the target is slow after its start

    /** \returns whether this is a later heartbeat of the same target than \a other. */
    bool isNewerThan(const LeasedTarget &other) const
    {
        return this->incarnation != other.incarnation ? this->incarnation > other.incarnation
                                                      : this->sequence > other.sequence;
    }

    auto operator<=>(const LeasedTarget &other) const = default;
    HIBISCUS_FIELDS(name, incarnation, address, service, domain, kind, labels, capacity, state,
                    sequence, clockMs, coldRemaining)
};

/** \returns whether \a labels of a target contain the required \a label; empty: any target. */
inline bool satisfies(const std::vector<std::string> &labels, const std::string &label)
{
    return label.empty() || std::ranges::find(labels, label) != labels.end();
}

} // namespace Hibiscus
