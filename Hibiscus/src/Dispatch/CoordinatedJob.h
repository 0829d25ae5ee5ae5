#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <deque>

namespace Hibiscus {

/** \brief Where a task of a coordinated job is. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< not placed
    Placed, ///< sent to an owner
    Done ///< has its outcome
};

/** \brief A task as its coordinator sees it. */
struct CoordinatedTask
{
    TaskPhase phase = TaskPhase::Waiting;
    bool isRecorded = false; ///< its start is on record under the present epoch
    std::uint32_t attempts = 0;
    AttemptId attempt; ///< while placed
    NodeName owner; ///< while placed
    std::uint64_t ownerIncarnation = 0; ///< while placed
    TimePoint validUntil; ///< while placed
    TimePoint probeAt; ///< while placed
    TaskOutcome outcome; ///< once done
};

/** \brief How far a coordinated job is. */
enum class JobPhase : std::uint8_t {
    Opening, ///< the journal was asked to record it
    Watching, ///< another coordinator has it
    TakingOver, ///< the journal was asked to hand it over
    Running,
    Finishing, ///< the journal was asked to record its answer
    Refusing ///< the journal was asked to make sure that it never runs
};

/** \brief A job that this node coordinates or watches for its callers. */
struct CoordinatedJob
{
    JobRequest request;
    std::uint64_t contentHash = 0;
    JobPhase phase = JobPhase::Opening;
    std::vector<std::uint64_t> callers; ///< tokens of those who wait
    TimePoint arrivedAt;
    std::uint64_t epoch = 0;
    std::vector<CoordinatedTask> tasks;
    std::deque<std::uint32_t> ready; ///< tasks that may be placed
    std::uint32_t unfinished = 0;
    bool isRecording = false; ///< starts are on their way to the journal
    TimePoint askAgainAt; ///< while watching
    TimePoint giveUpAt; ///< when the callers are answered without the journal's word
    JobReason endReason = JobReason::None;
    std::optional<JobAnswer> answer; ///< while finishing
    std::string trace;

    bool isRepeatable() const { return this->request.isRepeatable(); }
    /** \returns how many tasks are neither placed nor done. */
    std::uint32_t waitingTasks() const;
    /** \returns the answer as it stands: a task under way may have run. */
    JobAnswer currentAnswer() const;
};

} // namespace Hibiscus
