#pragma once

#include "Hibiscus/src/Rules/ActiveRules.h"

namespace Hibiscus {

/** \brief Intervals and timeouts of GatewayRules. */
struct GatewayRulesOptions
{
    Duration requestInterval = 300ms;
    /** \brief Time after the start in which only rules that a quorum confirms are adopted. */
    Duration confirmedOnlyTime = 3s;
    /** \brief Time between two steps after which a gateway has stood still, so that this time
     * begins anew.
     */
    Duration stallTime = 1s;
    /** \brief Time for which older rules stay in use after a newer version is known to be accepted;
     * a part of the two seconds or more within which a change has to be in force.
     */
    Duration outdatedLifetime = 1s;
};

/** \brief A request for rules with the node that receives it. */
struct AddressedFetch
{
    NodeName to;
    FetchRules fetch;

    auto operator<=>(const AddressedFetch &other) const = default;
};

/** \brief What became of an update that a gateway received. */
enum class RulesReceipt : std::uint8_t {
    Adopted, ///< the version or its status has changed
    Unchanged, ///< no news, or a delta whose base is not held here
    Refused ///< must not be the first rules after a start
};

/** \brief The rules of a gateway: requests them after its start, decides which offers to adopt, and
 * whether requests may be served by them.
 */
class GatewayRules
{
public:
    GatewayRules(const GatewayRulesOptions &options, const NodeName &self, TimePoint startedAt)
        : options(options), waitsSince(startedAt), steppedAt(startedAt), activeRules(self)
    { }

    // Commands.
    /** \returns the requests to send now, until a quorum has confirmed the rules in force.
     * \a registries are all known registry nodes, \a peers the gateways of the own domain.
     */
    std::vector<AddressedFetch> takeDueRequests(const std::vector<NodeName> &registries,
                                                const std::vector<NodeName> &peers, TimePoint now);
    RulesReceipt receive(const RulesUpdate &update, TimePoint now);
    /** \brief Records that the control group accepted \a version, even if it is not held here yet.
     */
    void recordAcceptedVersion(std::uint64_t version, TimePoint now)
    {
        this->activeRules.recordAcceptedVersion(version, now);
    }

    /** \brief Adopts \a evacuations, unless this or a newer revision is known here. */
    void recordEvacuations(const Evacuations &evacuations)
    {
        this->activeRules.recordEvacuations(evacuations);
    }

    // Queries.
    const ActiveRules &active() const { return this->activeRules; }
    /** \returns whether any rules were ever applied, and are known here. */
    bool hasRules() const;
    /** \returns whether a newer version has been accepted for longer than callers may rely on. */
    bool isOutdated(TimePoint now) const;
    /** \returns the latest time at which a quorum confirmed the rules in force. */
    TimePoint confirmedAt() const { return this->latestConfirmationAt; }
    /** \returns the rules and evacuations for a peer that sends \a request; nothing if it holds
     * them, or if requests may not be served by them here.
     */
    std::optional<RulesUpdate> offerTo(const FetchRules &request, TimePoint now) const;

private:
    void recordStep(TimePoint now);
    bool acceptsOnlyConfirmed(TimePoint now) const;

    GatewayRulesOptions options;
    TimePoint waitsSince; ///< start of the time in which only confirmed rules are adopted
    TimePoint steppedAt;
    TimePoint requestDueAt;
    std::size_t lastKnownTurn = 0; ///< selects the node that is asked for its last known rules
    TimePoint latestConfirmationAt;
    ActiveRules activeRules;
};

} // namespace Hibiscus
