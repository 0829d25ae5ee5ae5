#pragma once

#include <Hibiscus/Core>

#include <set>

namespace Hibiscus {

/** \brief Whether a failure domain exists, as far as a node can tell. */
enum class DomainStatus : std::uint8_t {
    Known,
    Unknown,
    NotKnownYet ///< not known, but the node has not run for long enough to know all domains
};

/** \brief The failure domains that a node knows: from its settings, and from what nodes and targets
 * say of themselves.
 */
class KnownDomains
{
public:
    struct Options
    {
        /** \brief Time after the start in which each running node and target has announced itself:
         * some intervals of heartbeats.
         */
        Duration discoveryTime = 10s;
        std::size_t maxRecorded = 1'024; ///< limit of the domains that were not configured
    };

    KnownDomains(const Options &options, std::set<DomainName> configured, TimePoint startedAt)
        : options(options), configured(std::move(configured)), startedAt(startedAt)
    { }

    // Commands.
    /** \brief Records the domain of a node or a target. */
    void record(const DomainName &domain);

    // Queries.
    DomainStatus statusOf(const DomainName &domain, TimePoint now) const;

private:
    Options options;
    std::set<DomainName> configured;
    std::set<DomainName> recorded;
    TimePoint startedAt;
};

} // namespace Hibiscus
