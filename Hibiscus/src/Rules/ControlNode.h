#pragma once

#include "Hibiscus/src/Rules/RulesMessage.h"

#include <Hibiscus/Replication>

namespace Hibiscus {

/** \brief An entry node that the control group serves. */
struct RulesRecipient
{
    NodeName node;
    DomainName domain;

    auto operator<=>(const RulesRecipient &other) const = default;
};

/** \brief The timing of the control group. */
struct ControlOptions
{
    Replicated<RulesState>::Options replicated;
    std::vector<RulesRecipient> recipients;
    Duration resendInterval = 400ms;
    Duration confirmationTimeout = 3s; ///< an apply is answered at the latest after this
    /** \brief A version that is held for so long is offered to whoever says that it holds an older
     * one; until then the leader's own message is likely on its way.
     */
    Duration offerAfter = 200ms;
};

/** \brief The answer to an apply, with where the version is in force. */
struct ApplyResponse
{
    RequestId request;
    std::optional<ApplyReply> reply; ///< empty when this member is not the leader
    std::optional<NodeName> leader;
    std::vector<RulesRecipient> confirmed;
    std::vector<RulesRecipient> unconfirmed;

    auto operator<=>(const ApplyResponse &other) const = default;
};

/** \brief The rules as a quorum confirms them, for a reader. */
struct RulesReadResponse
{
    RequestId request;
    std::optional<RulesFile> file; ///< empty when this member is not the leader
    std::string source; ///< the document that the rules were made from; may be empty
    std::optional<NodeName> leader;

    auto operator<=>(const RulesReadResponse &other) const = default;
};

/** \brief An update for one entry node. */
struct AddressedUpdate
{
    NodeName to;
    RulesUpdate update;

    auto operator<=>(const AddressedUpdate &other) const = default;
};

/** \brief A member of the control group: the replicated rules file, and on its leader the spread
 * of each version to every entry node.
 */
class ControlNode
{
public:
    struct Outbox
    {
        Replicated<RulesState>::Outbox log;
        std::vector<AddressedUpdate> updates; ///< leave after the sync
        std::vector<ApplyResponse> applyResponses; ///< leave after the sync
        std::vector<RulesReadResponse> readResponses; ///< leave after the sync
    };

    ControlNode(const ControlOptions &options, const DurableState &durable, std::uint64_t seed,
                TimePoint now);

    // Commands.
    void receive(const ReplicaEnvelope &envelope, TimePoint now, Outbox &out);
    /** \brief Takes note of what an entry node holds. Any member, listed node or not, makes up for
     * an update that did not arrive.
     */
    void receive(const RulesAcknowledgement &acknowledged, TimePoint now, Outbox &out);
    void receive(const FetchRules &fetch, TimePoint now, Outbox &out);
    void apply(const RequestId &request, ApplyRules command, TimePoint now, Outbox &out);
    void requestRead(const RequestId &request, TimePoint now, Outbox &out);
    void tick(TimePoint now, Outbox &out);
    void requestJoin(const std::vector<NodeName> &nodes, Outbox &out) const;
    /** \brief Replaces the entry nodes that versions are spread to. */
    void setRecipients(const std::vector<RulesRecipient> &recipients);
    void stepDown(TimePoint now) { this->replicated.stepDown(now); }

    // Queries.
    const Replica &replica() const { return this->replicated.replica(); }
    const RulesState &state() const { return this->replicated.stateMachine(); }

private:
    /** \brief What the leader knows of an entry node; forgotten with the leadership. */
    struct EntryView
    {
        std::optional<RulesAcknowledgement> acknowledged;
        std::optional<std::uint64_t> sentVersion;
        TimePoint sentAt;
    };

    struct PendingApply
    {
        ApplyResponse report;
        TimePoint giveUpAt;
    };

    void settle(TimePoint now, Outbox &out);
    void dropRequests(Outbox &out);
    void spread(TimePoint now, Outbox &out);
    void answerReads(Outbox &out);
    void answerApplies(TimePoint now, Outbox &out);
    void rememberText(TimePoint now);
    void offer(const RulesAcknowledgement &held, TimePoint now, Outbox &out) const;
    RulesUpdate updateFor(const std::optional<RulesAcknowledgement> &held) const;
    RulesUpdate wholeFile(bool isConfirmed) const;
    bool isInForceAt(const NodeName &node, std::uint64_t version) const;

    ControlOptions options;
    Replicated<RulesState> replicated;
    std::map<NodeName, EntryView> views;
    std::vector<PendingApply> pendingApplies;
    std::map<std::uint64_t, RequestId> pendingReads;
    std::map<std::uint64_t, NodeName> pendingFetches;
    std::map<std::uint64_t, RulesFile> recentFiles; ///< bases for deltas
    TimePoint versionSince; ///< when this member took the present version
    std::uint64_t nextToken = 1;
};

} // namespace Hibiscus
