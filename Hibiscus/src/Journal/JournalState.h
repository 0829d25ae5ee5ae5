#pragma once

#include "Hibiscus/src/Journal/JournalCommand.h"

#include <map>

namespace Hibiscus {

/** \brief A journal's record of one job. */
struct JobRecord
{
    std::uint64_t contentHash = 0;
    std::uint64_t epoch = 1;
    JobClaim claim;
    std::vector<std::uint64_t> startEpochs; ///< epoch of each task's recorded start, or 0
    std::optional<JobAnswer> answer;

    auto operator<=>(const JobRecord &other) const = default;
    HIBISCUS_FIELDS(contentHash, epoch, claim, startEpochs, answer)
};

/** \brief The state machine of a journal: the existing jobs, the epochs under which their tasks may
 * have been started, and their answers.
 *
 * It guarantees "starts at most once" and "not run": a start is sent only after it is recorded
 * here, and no start is recorded for a job that has ended here.
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
    /** \returns the state of \a id, with the status that a resubmission of the job would get. */
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
    TimePoint latest; ///< latest time in any applied command
    std::map<JobId, JobRecord> records;
};

} // namespace Hibiscus
