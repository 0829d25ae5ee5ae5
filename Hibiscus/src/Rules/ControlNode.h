#pragma once

#include "Hibiscus/src/Rules/RulesMessage.h"

#include <Hibiscus/Replication>

namespace Hibiscus {

/** \brief An entry node to which the control group distributes the rules. */
struct RulesRecipient
{
    NodeName node;
    DomainName domain;

    auto operator<=>(const RulesRecipient &other) const = default;
};

/** \brief Options of a member of the control group. */
struct ControlOptions
{
    Replicated<RulesState>::Options replicated;
    std::vector<RulesRecipient> recipients;
    /** \brief Whether each recipient regularly reports what it holds, and requests rules until they
     * are confirmed. It is then sent nothing before it reports any; otherwise the whole file.
     */
    bool recipientsReport = false;
    Duration resendInterval = 400ms;
    Duration confirmationTimeout = 3s; ///< maximum wait for acknowledgements of an apply
    /** \brief Number of nodes on whose disks an accepted change must be before it is
     * acknowledged; one more than the disks that may be lost at once.
     */
    std::size_t requiredCopies = 1;
    /** \brief Minimum time that a member holds a version before it sends it to a node that
     * acknowledges an older one; before that, the leader's own update is probably still in flight.
     */
    Duration catchUpDelay = 200ms;
    /** \brief Minimum time between two copies of one version that a node requests: a large file
     * takes a while on a slow link.
     */
    Duration copyInterval = 1s;
};

/** \brief The response to an apply, with the entry nodes that have acknowledged the version. */
struct ApplyResponse
{
    RequestId request;
    std::optional<ApplyReply> reply; ///< no value if this member is not the leader
    std::optional<NodeName> leader;
    std::vector<RulesRecipient> confirmed;
    std::vector<RulesRecipient> unconfirmed;
    std::size_t copies = 0; ///< number of nodes on whose disks an accepted change is known to be
    /** \brief The version of an accepted change that has no reply since it has too few copies; it
     * may still be lost.
     */
    std::optional<std::uint64_t> versionWithoutCopies;
    /** \brief The same for a change of the evacuations. */
    std::optional<std::uint64_t> revisionWithoutCopies;

    auto operator<=>(const ApplyResponse &other) const = default;
};

/** \brief The response to a read: the newest rules, confirmed by a quorum. */
struct RulesReadResponse
{
    RequestId request;
    std::optional<RulesFile> file; ///< no value if this member is not the leader
    std::string source; ///< the document that the rules were generated from; may be empty
    std::optional<NodeName> leader;
    Evacuations evacuations; ///< the newest, confirmed by a quorum

    auto operator<=>(const RulesReadResponse &other) const = default;
};

/** \brief An update with the entry node that receives it. */
struct AddressedUpdate
{
    NodeName to;
    RulesUpdate update;

    auto operator<=>(const AddressedUpdate &other) const = default;
};

/** \brief A member of the control group, which replicates the rules file; its leader distributes
 * each version to every entry node.
 */
class ControlNode
{
public:
    struct Outbox
    {
        Replicated<RulesState>::Outbox log;
        std::vector<AddressedUpdate> updates; ///< to be sent after the sync
        std::vector<ApplyResponse> applyResponses; ///< to be sent after the sync
        std::vector<RulesReadResponse> readResponses; ///< to be sent after the sync
    };

    ControlNode(const ControlOptions &options, const DurableState &durable, std::uint64_t seed,
                TimePoint now);

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out);
    /** \brief Records the version in force on an entry node. Every member resends a lost update,
     * also to an entry node that is not among the recipients.
     */
    void receive(const RulesAcknowledgement &acknowledgement, TimePoint now, Outbox &out);
    void receive(const FetchRules &fetch, TimePoint now, Outbox &out);
    void apply(const RequestId &request, ApplyRules command, TimePoint now, Outbox &out);
    /** \brief Starts or finishes an evacuation; the response does not wait for entry nodes. */
    void apply(const RequestId &request, ChangeEvacuation command, TimePoint now, Outbox &out);
    void requestRead(const RequestId &request, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);
    void requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const;
    /** \brief Replaces the list of entry nodes to which versions are distributed. */
    void setRecipients(const std::vector<RulesRecipient> &recipients);
    void requestLeave(Outbox &out) const { this->replicated.requestLeave(out.log); }
    void stepDown(TimePoint now) { this->replicated.stepDown(now); }
    /** \brief Suspends the replica, whose disk has failed: drops the updates in \a out and
     * redirects all requests. It goes on to send the version it holds to entry nodes that ask for
     * it. \sa DiskGuard
     */
    void suspend(TimePoint now, Outbox &out);

    // Queries.
    const Replica &replica() const { return this->replicated.replica(); }
    const RulesState &state() const { return this->replicated.stateMachine(); }

private:
    /** \brief The leader's distribution state of an entry node; dropped when leadership is lost. */
    struct RecipientState
    {
        std::optional<RulesAcknowledgement> acknowledgement;
        std::optional<std::uint64_t> sentVersion;
        TimePoint sentAt;
    };

    /** \brief A whole file that was sent on request. */
    struct SentCopy
    {
        std::uint64_t version = 0;
        TimePoint sentAt;
    };

    struct PendingApply
    {
        ApplyResponse response;
        std::uint64_t index = 0; ///< index in the log, at or after that of the change
        TimePoint respondBy;
    };

    void processReplicaOutput(TimePoint now, Outbox &out);
    void redirectPendingRequests(Outbox &out);
    void sendUpdates(TimePoint now, Outbox &out);
    void respondToReads(TimePoint now, Outbox &out);
    void respondToConfirmedReads(const std::vector<std::uint64_t> &tokens, TimePoint now,
                                 Outbox &out);
    void confirmFetches(TimePoint now, Outbox &out);
    void respondToFetches(TimePoint now, Outbox &out);
    void respondToApplies(TimePoint now, Outbox &out);
    void recordCurrentFile(TimePoint now);
    void sendCatchUp(const RulesAcknowledgement &acknowledgement, TimePoint now, Outbox &out) const;
    RulesUpdate updateFor(const std::optional<RulesAcknowledgement> &acknowledgement) const;
    RulesUpdate wholeFile(bool isConfirmed) const;
    bool isInForceAt(const NodeName &node, std::uint64_t version) const;

    ControlOptions options;
    Replicated<RulesState> replicated;
    std::map<NodeName, RecipientState> recipientStates;
    std::vector<PendingApply> pendingApplies;
    std::map<std::uint64_t, RequestId> pendingReads;
    std::optional<std::uint64_t> fetchToken; ///< the read in progress for the nodes that wait
    /** \brief What the nodes hold that wait for the read in progress. */
    std::map<NodeName, RulesAcknowledgement> confirmingFetches;
    /** \brief What the nodes hold that wait for the next read. */
    std::map<NodeName, RulesAcknowledgement> waitingFetches;
    std::map<NodeName, SentCopy> sentCopies;
    std::map<std::uint64_t, RulesFile> recentFiles; ///< bases for deltas, by version
    TimePoint currentVersionAt; ///< time at which this member applied the current version
    std::uint64_t nextToken = 1;
};

} // namespace Hibiscus
