#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Replication>

#include <variant>
#include <vector>

namespace Hibiscus {

/** \brief One life of an entry process that coordinates jobs. */
struct CoordinatorId
{
    NodeName node;
    std::uint64_t incarnation = 0;

    auto operator<=>(const CoordinatorId &other) const = default;
    HIBISCUS_FIELDS(node, incarnation)
};

/** \brief One coordination of one job; a coordinator that gives a job up never uses it again. */
struct JobClaim
{
    CoordinatorId coordinator;
    std::uint64_t number = 0;

    auto operator<=>(const JobClaim &other) const = default;
    HIBISCUS_FIELDS(coordinator, number)
};

/** \brief Positions of tasks within their job. */
using TaskIndices = std::vector<std::uint32_t>;

/** \brief Records a new job and the starts of its first tasks, in one entry. */
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

/** \brief Ends a job; from then on nothing of it can start. */
struct FinishJob
{
    JobId id;
    std::uint64_t epoch = 0;
    JobAnswer answer;

    auto operator<=>(const FinishJob &other) const = default;
    HIBISCUS_FIELDS(id, epoch, answer)
};

/** \brief Moves a job from \a former, which is silent or given up, to another claim. */
struct TakeOverJob
{
    JobId id;
    std::uint64_t contentHash = 0;
    JobClaim former;
    JobClaim claim;

    auto operator<=>(const TakeOverJob &other) const = default;
    HIBISCUS_FIELDS(id, contentHash, former, claim)
};

/** \brief Makes sure that a job that is not known yet never runs. */
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

/** \brief Ends a job whose claim is over and that nobody took over; a job that is not known yet
 * is ended before it begins.
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

/** \brief Forgets the jobs whose ids have expired. */
struct ExpireJobs
{
    TimePoint at;

    auto operator<=>(const ExpireJobs &other) const = default;
    HIBISCUS_FIELDS(at)
};

/** \brief The commands of a journal. */
using JournalCommand = std::variant<OpenJob, RecordStarts, FinishJob, TakeOverJob, RefuseJob,
                                    AbandonJob, ExpireJobs>;

/** \brief What became of a command. */
enum class JournalStatus : std::uint8_t {
    Opened, ///< the asker coordinates the job under JournalReply::epoch
    OpenElsewhere, ///< another coordinator has the job
    Recorded, ///< the starts are on record and may leave
    Finished, ///< the job has ended with JournalReply::answer
    Fenced, ///< the asker's epoch is over
    ContentDiffers, ///< the id was used for other work
    Expired, ///< the id is too old, or from the future
    UnknownPast, ///< the id is older than this journal
    NotFound, ///< no such job
    Done ///< nothing to report
};

/** \brief The answer to a JournalCommand or to a question about a job. */
struct JournalReply
{
    JournalStatus status = JournalStatus::Done;
    std::uint64_t epoch = 0;
    JobClaim claim; ///< who has the job
    bool coordinatorIsSilent = false; ///< a hint; the fence of the epoch is what protects
    TaskIndices recorded; ///< starts on record, of every epoch
    std::optional<JobAnswer> answer;

    auto operator<=>(const JournalReply &other) const = default;
    HIBISCUS_FIELDS(status, epoch, claim, coordinatorIsSilent, recorded, answer)
};

} // namespace Hibiscus
