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

/** \brief The timing of questions to journals. */
struct JournalClientOptions
{
    std::vector<JournalGroup> groups;
    Duration retryInterval = 300ms; ///< then another member is asked
    Duration redirectPause = 20ms; ///< before a question is sent again to a group without leader
    Duration heartbeatInterval = 500ms;
};

/** \brief The answer to a question, with the job that it was about. */
struct JobJournalReply
{
    JobId job;
    JournalReply reply;

    auto operator<=>(const JobJournalReply &other) const = default;
};

/** \brief Asks journals and asks again until they answer. Every question is idempotent. */
class JournalClient
{
public:
    JournalClient(const JournalClientOptions &options, CoordinatorId self)
        : options(options), self(std::move(self))
    { }

    // Commands.
    void sendRequest(const JobId &job, const JournalRequestBody &body, TimePoint now,
                     DispatchOutbox &out);
    /** \brief Drops the questions about \a job. */
    void forget(const JobId &job);
    /** \brief Takes \a answer in, and appends the reply to \a replies if a question ended. */
    void receive(const JournalResponse &answer, TimePoint now,
                 std::vector<JobJournalReply> &replies, DispatchOutbox &out);
    void tick(TimePoint now, DispatchOutbox &out);
    /** \brief Tells the journal of \a domain that this coordinator is alive, if that is due. */
    void keepAlive(const DomainName &domain, TimePoint now, DispatchOutbox &out);

    // Queries.
    bool knows(const DomainName &domain) const { return this->groupOf(domain) != nullptr; }

private:
    struct Pending
    {
        JobId job;
        JournalRequestBody body;
        TimePoint sendAgainAt;
    };

    struct GroupView
    {
        std::size_t preferred = 0; ///< index of the member taken for the leader
        TimePoint askedAt;
    };

    void send(std::uint64_t number, const DomainName &domain, const JournalRequestBody &body,
              TimePoint now, DispatchOutbox &out);
    void prefer(const DomainName &domain, const NodeName &member);
    void preferNext(const DomainName &domain);
    const JournalGroup *groupOf(const DomainName &domain) const;

    JournalClientOptions options;
    CoordinatorId self;
    std::map<std::uint64_t, Pending> pending;
    std::map<DomainName, GroupView> views;
    std::uint64_t nextNumber = 1;
};

} // namespace Hibiscus
