#pragma once

#include "Hibiscus/src/Dispatch/DispatchMessage.h"

#include <deque>

namespace Hibiscus {

/** \brief State of a task within a coordinated job. */
enum class TaskPhase : std::uint8_t {
    Waiting, ///< not sent to an owner
    Placed, ///< sent to an owner, without a report yet
    Done ///< outcome known
};

/** \brief A task with its state at the coordinator. */
struct CoordinatedTask
{
    TaskPhase phase = TaskPhase::Waiting;
    bool isRecorded = false; ///< the journal has recorded its start under the current epoch
    std::uint32_t attempts = 0;
    AttemptId attempt; ///< valid while placed
    NodeName owner; ///< valid while placed
    std::uint64_t ownerIncarnation = 0; ///< valid while placed
    TimePoint validUntil; ///< valid while placed
    TimePoint probeAt; ///< time of the next probe; valid while placed
    TaskOutcome outcome; ///< valid once done
};

/** \brief State of a job at its coordinator. */
enum class JobPhase : std::uint8_t {
    Opening, ///< OpenJob sent to the journal
    Watching, ///< coordinated by another entry node, whose result is awaited
    TakingOver, ///< TakeOverJob sent to the journal
    Running,
    Finishing, ///< FinishJob sent to the journal
    Refusing ///< RefuseJob sent to the journal, so that the job can never run
};

/** \brief A job that this node coordinates or watches for its callers. */
struct CoordinatedJob
{
    JobRequest request;
    std::uint64_t contentHash = 0;
    JobPhase phase = JobPhase::Opening;
    std::vector<std::uint64_t> callerTokens; ///< tokens of the callers that wait for the answer
    TimePoint arrivedAt;
    std::uint64_t epoch = 0;
    std::vector<CoordinatedTask> tasks;
    std::deque<std::uint32_t> readyTasks; ///< indices of the tasks that may be placed
    std::uint32_t unfinished = 0; ///< tasks without an outcome
    bool isRecording = false; ///< a RecordStarts command is outstanding
    TimePoint nextQueryAt; ///< next look-up in the journal; valid while watching
    TimePoint journalDeadline; ///< callers are answered then, even if the journal is silent
    JobReason endReason = JobReason::None;
    std::optional<JobAnswer> answer; ///< valid while finishing
    std::string trace;

    bool isRepeatable() const { return this->request.isRepeatable(); }
    /** \returns the number of tasks that are neither placed nor done. */
    std::uint32_t waitingTasks() const;
    /** \returns the answer by the current outcomes; a task in progress counts as "may have run". */
    JobAnswer currentAnswer() const;
};

} // namespace Hibiscus
