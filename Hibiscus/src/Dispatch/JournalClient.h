#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

namespace Hibiscus {

/** \brief The journal group of a failure domain. */
struct JournalGroup
{
    DomainName domain;
    std::vector<NodeName> members;

    auto operator<=>(const JournalGroup &other) const = default;
};

/** \brief The journal groups, and the timing of requests to them. */
struct JournalClientOptions
{
    std::vector<JournalGroup> groups;
    Duration retryInterval = 300ms; ///< time without a reply until another member is tried
    Duration redirectPause = 20ms; ///< delay before a retry if the group has no leader
    Duration heartbeatInterval = 500ms; ///< longest silence towards a journal with open jobs
};

/** \brief A journal's reply together with the job of the request. */
struct JobJournalReply
{
    JobId job;
    JournalReply reply;

    auto operator<=>(const JobJournalReply &other) const = default;
};

/** \brief Sends requests to journals and retries until they reply. Every request is idempotent. */
class JournalClient
{
public:
    JournalClient(const JournalClientOptions &options, CoordinatorId self)
        : options(options), self(std::move(self))
    { }

    // Commands.
    void sendRequest(const JobId &job, const JournalRequestBody &body, TimePoint now,
                     DispatchOutbox &out);
    /** \brief Drops the pending requests about \a job. */
    void dropRequests(const JobId &job);
    /** \brief Processes a response; appends the reply to \a replies if it completes a request. */
    void receive(const JournalResponse &response, TimePoint now,
                 std::vector<JobJournalReply> &replies, DispatchOutbox &out);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Sends a heartbeat to the journal of \a domain, if one is due. */
    void sendHeartbeat(const DomainName &domain, TimePoint now, DispatchOutbox &out);

    // Queries.
    bool hasGroup(const DomainName &domain) const { return this->groupOf(domain) != nullptr; }

private:
    struct PendingRequest
    {
        JobId job;
        JournalRequestBody body;
        TimePoint resendAt;
    };

    struct GroupState
    {
        std::size_t assumedLeader = 0; ///< index of the member that requests go to
        TimePoint lastSentAt;
    };

    void send(std::uint64_t number, const DomainName &domain, const JournalRequestBody &body,
              TimePoint now, DispatchOutbox &out);
    void assumeLeader(const DomainName &domain, const NodeName &member);
    void assumeNextLeader(const DomainName &domain);
    const JournalGroup *groupOf(const DomainName &domain) const;

    JournalClientOptions options;
    CoordinatorId self;
    std::map<std::uint64_t, PendingRequest> pending;
    std::map<DomainName, GroupState> groupStates;
    std::uint64_t nextNumber = 1;
};

} // namespace Hibiscus
