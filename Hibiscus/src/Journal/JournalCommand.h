#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Replication>

#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief One incarnation of an entry process, as the coordinator of jobs. */
struct CoordinatorId
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const CoordinatorId &other) const = default;
    HIBISCUS_FIELDS(node, incarnation)
};

/** \brief Identity of one coordination of a job; never reused after the coordinator gives it up. */
struct JobClaim
{
    CoordinatorId coordinator;
    std::uint64_t number = 0;

    auto operator<=>(const JobClaim &other) const = default;
    HIBISCUS_FIELDS(coordinator, number)
};

/** \brief Indices of tasks within their job. */
using TaskIndices = std::vector<std::uint32_t>;

/** \brief Records a new job and the starts of its first tasks in one log entry. */
struct OpenJob
{
    JobId id;
    std::uint64_t contentHash = 0;
    std::uint32_t taskCount = 0;
    JobClaim claim;
    TaskIndices firstStarts;
    TimePoint at; ///< set by the journal's leader

    auto operator<=>(const OpenJob &other) const = default;
    HIBISCUS_FIELDS(id, contentHash, taskCount, claim, firstStarts, at)
};

/** \brief Records that tasks are about to start under \a epoch. */
struct RecordStarts
{
    JobId id;
    std::uint64_t epoch = 0;
    TaskIndices starts;

    auto operator<=>(const RecordStarts &other) const = default;
    HIBISCUS_FIELDS(id, epoch, starts)
};

/** \brief Ends a job with its answer; from then on none of its tasks can start. */
struct FinishJob
{
    JobId id;
    std::uint64_t epoch = 0;
    JobAnswer answer;

    auto operator<=>(const FinishJob &other) const = default;
    HIBISCUS_FIELDS(id, epoch, answer)
};

/** \brief Moves a job from \a previousClaim, whose coordinator is silent or gave it up, to another.
 */
struct TakeOverJob
{
    JobId id;
    std::uint64_t contentHash = 0;
    JobClaim previousClaim;
    JobClaim claim;

    auto operator<=>(const TakeOverJob &other) const = default;
    HIBISCUS_FIELDS(id, contentHash, previousClaim, claim)
};

/** \brief Records a job that is not known yet as refused, so that it can never run. */
struct RefuseJob
{
    JobId id;
    std::uint64_t contentHash = 0;
    std::uint32_t taskCount = 0;
    JobReason reason = JobReason::Overloaded;
    TimePoint at; ///< set by the journal's leader

    auto operator<=>(const RefuseJob &other) const = default;
    HIBISCUS_FIELDS(id, contentHash, taskCount, reason, at)
};

/** \brief Ends a job whose claim is over without a take-over; a job that is not known yet is
 * recorded as ended, so that it can never run.
 */
struct AbandonJob
{
    JobId id;
    JobClaim claim;
    std::uint64_t contentHash = 0;
    std::uint32_t taskCount = 0;
    TimePoint at; ///< set by the journal's leader

    auto operator<=>(const AbandonJob &other) const = default;
    HIBISCUS_FIELDS(id, claim, contentHash, taskCount, at)
};

/** \brief Removes the records of jobs whose ids have expired. */
struct ExpireJobs
{
    TimePoint at;

    auto operator<=>(const ExpireJobs &other) const = default;
    HIBISCUS_FIELDS(at)
};

/** \brief The commands of a journal. */
using JournalCommand = std::variant<OpenJob, RecordStarts, FinishJob, TakeOverJob, RefuseJob,
                                    AbandonJob, ExpireJobs>;

/** \brief Result of a command or look-up. */
enum class JournalStatus : std::uint8_t {
    Opened, ///< the requesting coordinator has the job under JournalReply::epoch
    OpenElsewhere, ///< another coordinator has the job
    Recorded, ///< the starts are recorded, so the tasks may be sent
    Finished, ///< the job ended with JournalReply::answer
    Fenced, ///< the epoch or claim of the request is no longer valid
    ContentDiffers, ///< the id was used for a job with other content
    Expired, ///< the id is too old, or its time is in the future
    UnknownPast, ///< the id was issued before this journal was created
    NotFound, ///< no such job
    Done ///< nothing to report
};

/** \brief The reply to a JournalCommand or to a look-up of a job. */
struct JournalReply
{
    JournalStatus status = JournalStatus::Done;
    std::uint64_t epoch = 0;
    JobClaim claim; ///< current claim on the job
    bool isCoordinatorSilent = false; ///< only a hint; safety rests on the epoch as a fencing token
    TaskIndices recordedStarts; ///< tasks with a recorded start, of all epochs
    std::optional<JobAnswer> answer;

    auto operator<=>(const JournalReply &other) const = default;
    HIBISCUS_FIELDS(status, epoch, claim, isCoordinatorSilent, recordedStarts, answer)
};

} // namespace Hibiscus
