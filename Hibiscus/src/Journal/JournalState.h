#pragma once

#include "Hibiscus/src/Journal/JournalCommand.h"

#include <map>

namespace Hibiscus {

/** \brief What a journal knows of one job. */
struct JobRecord
{
    std::uint64_t contentHash = 0;
    std::uint64_t epoch = 1;
    JobClaim claim;
    std::vector<std::uint64_t> startEpochs; ///< one a task; 0 when no start is on record
    std::optional<JobAnswer> answer;

    auto operator<=>(const JobRecord &other) const = default;
    HIBISCUS_FIELDS(contentHash, epoch, claim, startEpochs, answer)
};

/** \brief The state machine of a journal: which jobs exist, which of their tasks may have been
 * started and by whom, and how each ended.
 *
 * It is what makes "starts at most once" and "not run" true: a start leaves only after it is
 * recorded here, and a job that has ended here records no more starts.
 */
class JournalState
{
public:
    using CommandType = JournalCommand;
    using ReplyType = JournalReply;

    JournalState() = default;
    /** \brief A new journal; ids issued before \a createdAt are refused for ever. */
    explicit JournalState(TimePoint createdAt) : createdAt(createdAt) { }

    // Commands.
    JournalReply apply(const JournalCommand &command);
    void restore(const Bytes &bytes);

    // Queries.
    Bytes save() const;
    std::uint64_t size() const { return this->records.size(); }
    /** \returns what is known of \a id, with the verdict that a resubmission would get. */
    JournalReply find(const JobId &id) const;
    const std::map<JobId, JobRecord> &jobs() const { return this->records; }
    TimePoint creationTime() const { return this->createdAt; }

private:
    JournalReply handle(const OpenJob &command);
    JournalReply handle(const RecordStarts &command);
    JournalReply handle(const FinishJob &command);
    JournalReply handle(const TakeOverJob &command);
    JournalReply handle(const RefuseJob &command);
    JournalReply handle(const AbandonJob &command);
    JournalReply handle(const ExpireJobs &command);
    std::optional<JournalReply> refusalOf(const JobId &id, TimePoint at);
    JournalReply describe(JournalStatus status, const JobRecord &record) const;

    TimePoint createdAt;
    TimePoint latest; ///< the latest time that any command carried
    std::map<JobId, JobRecord> records;
};

} // namespace Hibiscus
