#include "Hibiscus/src/Dispatch/Coordinator.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

constexpr Duration maxProbeInterval = 20s;

/** \brief Replaces "not run", which needs confirmation by the journal, with "may have run". */
static JobAnswer withoutUnconfirmedFates(JobAnswer answer)
{
    for (TaskOutcome &task : answer.tasks)
        if (task.fate == TaskFate::NotRun)
            task.fate = TaskFate::MayHaveRun;
    return answer;
}

static TaskIndices firstTasks(std::uint32_t count)
{
    TaskIndices indices;
    for (std::uint32_t i = 0; i < count; ++i)
        indices.push_back(i);
    return indices;
}

} // namespace internal

Coordinator::Coordinator(const CoordinatorOptions &options, const JournalClientOptions &journals)
    : options(options), journal(journals, options.self), admission(options.admission)
{ }

void Coordinator::submit(const Submission &submission, std::uint32_t visibleSlots, TimePoint now,
                         DispatchOutbox &out)
{
    ++this->counts.submitted;
    const JobRequest &request = submission.request;
    const std::uint64_t contentHash = request.contentHash();
    const auto refuseContent = [&] {
        ++this->counts.refused;
        out.answers.push_back(
            { .token = submission.token,
              .job = request.id,
              .answer = JobAnswer::uniform(JobState::Refused, JobReason::ContentDiffers,
                                           request.taskCount(), TaskFate::MayHaveRun) });
    };
    const auto known = this->jobs.find(request.id);
    if (known != this->jobs.end()) {
        if (known->second.contentHash != contentHash)
            refuseContent();
        else
            known->second.callerTokens.push_back(submission.token);
        return;
    }
    const auto cached = this->cachedAnswers.find(request.id);
    if (cached != this->cachedAnswers.end()) {
        if (cached->second.contentHash != contentHash)
            refuseContent();
        else
            out.answers.push_back(
                { .token = submission.token, .job = request.id, .answer = cached->second.answer });
        return;
    }
    // A reply to a request of an earlier coordination of this job must not affect this one.
    this->journal.dropRequests(request.id);
    CoordinatedJob &job = this->jobs[request.id];
    job.request = request;
    job.contentHash = contentHash;
    job.callerTokens = { submission.token };
    job.arrivedAt = now;
    job.trace = submission.trace;
    job.tasks.resize(request.taskCount());
    job.unfinished = static_cast<std::uint32_t>(request.taskCount());
    this->waitingTasks += job.tasks.size();
    const bool isKnownHome = this->journal.hasGroup(request.id.home());
    const JobReason reason = isKnownHome
        ? this->admission.admit(request, this->backlogExcluding(job), now)
        : JobReason::HomeUnreachable;
    if (reason != JobReason::None)
        this->refuse(job, reason, now, out);
    else
        this->open(job, visibleSlots, now, out);
}

void Coordinator::cancel(const JobId &id, TimePoint now, DispatchOutbox &out)
{
    const auto found = this->jobs.find(id);
    if (found == this->jobs.end() || found->second.phase != JobPhase::Running)
        return;
    this->end(found->second, JobReason::Cancelled, now, out);
}

void Coordinator::lookUp(std::uint64_t token, const JobId &id, TimePoint now, DispatchOutbox &out)
{
    const auto cached = this->cachedAnswers.find(id);
    if (cached != this->cachedAnswers.end()) {
        out.statusResponses.push_back({ .token = token,
                                        .job = id,
                                        .status = JournalStatus::Finished,
                                        .answer = cached->second.answer });
        return;
    }
    if (this->jobs.contains(id) || !this->journal.hasGroup(id.home())) {
        const bool isHere = this->jobs.contains(id);
        out.statusResponses.push_back(
            { .token = token,
              .job = id,
              .status = isHere ? JournalStatus::OpenElsewhere : JournalStatus::NotFound });
        return;
    }
    std::vector<std::uint64_t> &tokens = this->pendingLookUps[id];
    tokens.push_back(token);
    if (tokens.size() == 1)
        this->journal.sendRequest(id, LookUpJob { .id = id }, now, out);
}

void Coordinator::respondToLookUps(const JobId &id, const JournalReply &reply, DispatchOutbox &out)
{
    const auto found = this->pendingLookUps.find(id);
    if (found == this->pendingLookUps.end())
        return;
    for (const std::uint64_t token : found->second)
        out.statusResponses.push_back(
            { .token = token, .job = id, .status = reply.status, .answer = reply.answer });
    this->pendingLookUps.erase(found);
}

void Coordinator::receive(const JournalResponse &response, TimePoint now, DispatchOutbox &out)
{
    std::vector<JobJournalReply> replies;
    this->journal.receive(response, now, replies, out);
    for (const JobJournalReply &item : replies) {
        this->respondToLookUps(item.job, item.reply, out);
        const auto found = this->jobs.find(item.job);
        if (found != this->jobs.end())
            this->handleReply(found->second, item.reply, now, out);
    }
}

void Coordinator::finishAttempt(const TaskReport &report, TimePoint now, DispatchOutbox &out)
{
    const auto found = this->jobs.find(report.attempt.job);
    const bool isKnown
        = found != this->jobs.end() && report.attempt.task < found->second.tasks.size();
    if (!isKnown) {
        ++this->counts.lateReports;
        return;
    }
    CoordinatedJob &job = found->second;
    CoordinatedTask &task = job.tasks[report.attempt.task];
    // Only the current attempt counts; a report of an earlier one is ignored.
    if (task.phase != TaskPhase::Placed || task.attempt != report.attempt) {
        ++this->counts.lateReports;
        return;
    }
    this->releasePlacement(job, task);
    if (report.status == AttemptStatus::Succeeded)
        this->endTask(job, report.attempt.task,
                      { .fate = TaskFate::Ran, .succeeded = true, .result = report.result });
    else
        this->retryOrEndTask(job, report.attempt.task, report, now);
    if (job.unfinished == 0 && job.phase == JobPhase::Running)
        this->end(job, JobReason::None, now, out);
}

void Coordinator::loseAttemptsAt(const NodeName &owner,
                                 std::optional<std::uint64_t> currentIncarnation, TimePoint now,
                                 DispatchOutbox &out)
{
    std::vector<TaskReport> lost;
    for (const auto &[id, job] : this->jobs) {
        for (const CoordinatedTask &task : job.tasks) {
            const bool isThere = task.phase == TaskPhase::Placed && task.owner == owner
                && task.ownerIncarnation != currentIncarnation;
            if (isThere)
                lost.push_back({ .attempt = task.attempt,
                                 .status = AttemptStatus::Lost,
                                 .result = "owner lost" });
        }
    }
    for (const TaskReport &report : lost)
        this->finishAttempt(report, now, out);
}

void Coordinator::scheduleProbes(const NodeName &owner, TimePoint now)
{
    for (auto &[id, job] : this->jobs)
        for (CoordinatedTask &task : job.tasks)
            if (task.phase == TaskPhase::Placed && task.owner == owner)
                task.probeAt = std::min(task.probeAt, now);
}

void Coordinator::tick(TimePoint now, DispatchOutbox &out)
{
    this->journal.tick(now, out);
    std::vector<JobId> late;
    std::vector<JobId> abandoned;
    std::set<DomainName> homes;
    for (auto &[id, job] : this->jobs) {
        const bool waitsForJournal
            = job.phase == JobPhase::Finishing || job.phase == JobPhase::Refusing;
        if (!waitsForJournal && now >= job.request.deadline)
            (job.phase == JobPhase::Running ? late : abandoned).push_back(id);
        else if (waitsForJournal && now >= job.journalDeadline)
            abandoned.push_back(id);
        if (!job.isRepeatable() && job.phase == JobPhase::Running)
            homes.insert(id.home());
        if (job.phase == JobPhase::Watching && now >= job.nextQueryAt) {
            job.nextQueryAt = now + this->options.watchInterval;
            this->sendToJournal(job, LookUpJob { .id = id }, now, out);
        }
    }
    for (const JobId &id : late)
        this->end(this->jobs.at(id), JobReason::DeadlinePassed, now, out);
    for (const JobId &id : abandoned)
        this->abandon(this->jobs.at(id), now, out);
    for (const DomainName &home : homes)
        this->journal.sendHeartbeat(home, now, out);
    std::erase_if(this->cachedAnswers,
                  [&](const auto &item) { return now > item.second.expiresAt; });
}

void Coordinator::place(const JobId &id, const NodeName &owner, std::uint64_t ownerIncarnation,
                        TimePoint now, std::vector<TaskStart> &starts, DispatchOutbox &out)
{
    CoordinatedJob &job = this->jobs.at(id);
    const std::uint32_t index = job.readyTasks.front();
    job.readyTasks.pop_front();
    CoordinatedTask &task = job.tasks[index];
    HIBISCUS_INVARIANT(job.phase == JobPhase::Running && task.phase == TaskPhase::Waiting,
                       "only waiting tasks of running jobs are placed");
    HIBISCUS_INVARIANT(job.isRepeatable() || task.isRecorded,
                       "a task that is not repeatable is placed only after its start is recorded");
    const Urgency urgency = this->queue.urgencyOf(id);
    task.phase = TaskPhase::Placed;
    task.attempt = { .job = id,
                     .task = index,
                     .ordinal = task.attempts,
                     .incarnation = this->options.self.incarnation };
    ++task.attempts;
    task.owner = owner;
    task.ownerIncarnation = ownerIncarnation;
    task.validUntil = now + this->options.startLifetime;
    task.probeAt = now + this->options.firstProbeDelay;
    --this->waitingTasks;
    ++this->placedByTeam[job.request.team];
    ++this->placedByService[job.request.service];
    ++this->counts.placedTasks;
    if (task.attempts == 1)
        this->retryBudgetOf(job.request.service).recordFirstAttempt();
    starts.push_back({ .attempt = task.attempt,
                       .service = job.request.service,
                       .deadline = job.request.deadline,
                       .validUntil = task.validUntil,
                       .urgency = urgency,
                       .payload = job.request.payloads[index],
                       .trace = job.trace });
    this->requeue(job);
    this->recordNextStarts(job, now, out);
}

void Coordinator::applyRules(const RuleSet &newRules)
{
    this->admission.applyRules(newRules);
    for (auto &[service, budget] : this->retries)
        budget.setShare(this->admission.retryShareOf(service).value_or(this->options.retryShare));
}

std::vector<DueProbe> Coordinator::takeDueProbes(TimePoint now)
{
    std::vector<DueProbe> due;
    for (auto &[id, job] : this->jobs) {
        for (CoordinatedTask &task : job.tasks) {
            if (task.phase != TaskPhase::Placed || now < task.probeAt)
                continue;
            const Duration age = now + this->options.startLifetime - task.validUntil;
            task.probeAt = now
                + std::clamp(age, Duration(this->options.firstProbeDelay),
                             internal::maxProbeInterval);
            due.push_back({ .owner = task.owner,
                            .probe = { .attempt = task.attempt, .validUntil = task.validUntil } });
        }
    }
    return due;
}

std::vector<DueCancellation> Coordinator::takeCancellations()
{
    return std::exchange(this->cancellations, {});
}

std::optional<JobId> Coordinator::mostUrgentJob(const ServiceName &service) const
{
    return this->queue.first(service, [&](const JobId &id) { return this->isEligible(id); });
}

Demand Coordinator::demand() const
{
    Demand demand;
    for (const ServiceName &service : this->queue.services()) {
        const std::optional<JobId> job = this->mostUrgentJob(service);
        if (!job)
            continue;
        const Urgency urgency = this->queue.urgencyOf(*job);
        if (demand.waitingTasks > 0 && demand.urgency <= urgency)
            continue;
        demand.service = service;
        demand.urgency = urgency;
        demand.waitingTasks = static_cast<std::uint32_t>(this->waitingTasks);
    }
    return demand;
}

const CoordinatedJob *Coordinator::find(const JobId &job) const
{
    const auto found = this->jobs.find(job);
    return found == this->jobs.end() ? nullptr : &found->second;
}

std::uint32_t Coordinator::placedOf(const TeamName &team) const
{
    const auto found = this->placedByTeam.find(team);
    return found == this->placedByTeam.end() ? 0 : found->second;
}

Backlog Coordinator::backlogExcluding(const CoordinatedJob &excluded) const
{
    Backlog backlog;
    backlog.waitingTasks = this->waitingTasks - excluded.tasks.size();
    for (const auto &[id, job] : this->jobs)
        if (job.request.team == excluded.request.team && id != excluded.request.id)
            backlog.waitingTasksOfTeam += job.waitingTasks();
    return backlog;
}

// "Not run" needs confirmation by the journal, since the same job may be in progress at another
// entry node. A draining node does not record a refusal, so that the caller can submit the same id
// elsewhere.
void Coordinator::refuse(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out)
{
    this->endWaitingTasks(job);
    const bool isIdUnusable
        = reason == JobReason::HomeUnreachable || reason == JobReason::IdExpired;
    const bool needsProof = !job.isRepeatable() && reason != JobReason::Draining && !isIdUnusable;
    if (!needsProof || this->pendingRefusals >= this->options.maxPendingRefusals) {
        const JobState state = needsProof ? JobState::Unknown : JobState::Refused;
        this->answer(job, JobAnswer::uniform(state, reason, job.tasks.size(), TaskFate::MayHaveRun),
                     out);
        return;
    }
    ++this->pendingRefusals;
    job.phase = JobPhase::Refusing;
    job.endReason = reason;
    job.journalDeadline = now + this->options.refusalTimeout;
    this->sendToJournal(job,
                        JournalCommand(RefuseJob { .id = job.request.id,
                                                   .contentHash = job.contentHash,
                                                   .taskCount = job.unfinished,
                                                   .reason = reason }),
                        now, out);
}

void Coordinator::open(CoordinatedJob &job, std::uint32_t visibleSlots, TimePoint now,
                       DispatchOutbox &out)
{
    if (job.isRepeatable()) {
        job.phase = JobPhase::Running;
        const TaskIndices all = internal::firstTasks(job.unfinished);
        job.readyTasks.assign(all.begin(), all.end());
        this->requeue(job);
        return;
    }
    this->claimNumbers[job.request.id] = this->nextClaim++;
    const std::uint32_t ahead = std::max(this->options.recordedStartsAhead, visibleSlots);
    this->sendToJournal(job,
                        JournalCommand(OpenJob {
                            .id = job.request.id,
                            .contentHash = job.contentHash,
                            .taskCount = job.unfinished,
                            .claim = this->claimOf(job),
                            .firstStarts = internal::firstTasks(std::min(job.unfinished, ahead)) }),
                        now, out);
}

void Coordinator::handleReply(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                              DispatchOutbox &out)
{
    const std::size_t taskCount = job.tasks.size();
    const auto refuse = [&](JobState state, JobReason reason) {
        this->answer(job, JobAnswer::uniform(state, reason, taskCount, TaskFate::MayHaveRun), out);
    };
    switch (reply.status) {
    case JournalStatus::Opened:
        if (job.phase == JobPhase::Opening || job.phase == JobPhase::TakingOver)
            this->beginRunning(job, reply, now, out);
        break;
    case JournalStatus::Recorded:
        this->addRecordedStarts(job, reply, now, out);
        break;
    case JournalStatus::OpenElsewhere:
    case JournalStatus::Fenced:
        this->watch(job, reply, now, out);
        break;
    case JournalStatus::Finished:
        this->answer(job, *reply.answer, out);
        break;
    case JournalStatus::ContentDiffers:
        refuse(JobState::Refused, JobReason::ContentDiffers);
        break;
    case JournalStatus::Expired:
        refuse(JobState::Refused, JobReason::IdExpired);
        break;
    case JournalStatus::UnknownPast:
        refuse(JobState::Unknown, JobReason::IdFromUnknownPast);
        break;
    case JournalStatus::NotFound:
        this->abandon(job, now, out);
        break;
    case JournalStatus::Done:
        break;
    }
}

// A job that was taken over continues with the tasks without a recorded start; the others may have
// run under the previous coordinator.
void Coordinator::beginRunning(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                               DispatchOutbox &out)
{
    const bool isTakenOver = job.phase == JobPhase::TakingOver;
    job.phase = JobPhase::Running;
    job.epoch = reply.epoch;
    if (isTakenOver) {
        ++this->counts.takenOverJobs;
        for (const std::uint32_t index : reply.recordedStarts)
            this->endTask(job, index, { .fate = TaskFate::MayHaveRun, .result = "taken over" });
        if (job.unfinished == 0) {
            this->end(job, JobReason::CoordinatorLost, now, out);
            return;
        }
    }
    this->addRecordedStarts(job, reply, now, out);
}

void Coordinator::addRecordedStarts(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                                    DispatchOutbox &out)
{
    job.isRecording = false;
    if (job.phase != JobPhase::Running || reply.epoch != job.epoch)
        return;
    for (const std::uint32_t index : reply.recordedStarts) {
        CoordinatedTask &task = job.tasks.at(index);
        if (task.phase != TaskPhase::Waiting || task.isRecorded)
            continue;
        task.isRecorded = true;
        job.readyTasks.push_back(index);
    }
    this->requeue(job);
    this->recordNextStarts(job, now, out);
}

void Coordinator::watch(CoordinatedJob &job, const JournalReply &reply, TimePoint now,
                        DispatchOutbox &out)
{
    if (job.phase == JobPhase::Refusing)
        --this->pendingRefusals;
    this->cancelPlacedTasks(job);
    this->endWaitingTasks(job);
    const bool isOwnPreviousClaim
        = reply.claim.coordinator == this->options.self && reply.claim != this->claimOf(job);
    if (!reply.isCoordinatorSilent && !isOwnPreviousClaim) {
        job.phase = JobPhase::Watching;
        job.nextQueryAt = now + this->options.watchInterval;
        return;
    }
    job.phase = JobPhase::TakingOver;
    this->claimNumbers[job.request.id] = this->nextClaim++;
    for (CoordinatedTask &task : job.tasks)
        task = CoordinatedTask();
    job.unfinished = static_cast<std::uint32_t>(job.tasks.size());
    this->waitingTasks += job.tasks.size();
    this->sendToJournal(job,
                        JournalCommand(TakeOverJob { .id = job.request.id,
                                                     .contentHash = job.contentHash,
                                                     .previousClaim = reply.claim,
                                                     .claim = this->claimOf(job) }),
                        now, out);
}

void Coordinator::recordNextStarts(CoordinatedJob &job, TimePoint now, DispatchOutbox &out)
{
    const bool isWanted = !job.isRepeatable() && job.phase == JobPhase::Running && !job.isRecording
        && job.readyTasks.size() < this->options.recordedStartsAhead;
    if (!isWanted)
        return;
    TaskIndices starts;
    for (std::uint32_t i = 0; i < job.tasks.size(); ++i) {
        const CoordinatedTask &task = job.tasks[i];
        const bool isNext = task.phase == TaskPhase::Waiting && !task.isRecorded;
        if (isNext && starts.size() < this->options.maxStartsPerRecord)
            starts.push_back(i);
    }
    if (starts.empty())
        return;
    job.isRecording = true;
    this->sendToJournal(
        job,
        JournalCommand(RecordStarts { .id = job.request.id, .epoch = job.epoch, .starts = starts }),
        now, out);
}

// The urgency depends on the job's arrival and its number of waiting tasks. Jobs with few tasks go
// first, and the arrival time prevents the starvation of jobs with many tasks.
void Coordinator::requeue(CoordinatedJob &job)
{
    if (job.readyTasks.empty()) {
        this->queue.remove(job.request.id);
        return;
    }
    const double arrival = toSeconds(job.arrivedAt.time_since_epoch());
    const double width = this->options.secondsPerWaitingTask * job.waitingTasks();
    const double priority
        = this->options.secondsPerPriorityLevel * this->admission.priorityOf(job.request.team);
    this->queue.put(job.request.id, job.request.service, arrival + width - priority);
}

void Coordinator::retryOrEndTask(CoordinatedJob &job, std::uint32_t index, const TaskReport &report,
                                 TimePoint now)
{
    CoordinatedTask &task = job.tasks[index];
    const bool neverStarted = report.status == AttemptStatus::NotStarted;
    const bool hasTime = now < job.request.deadline && job.phase == JobPhase::Running;
    RetryBudget &budget = this->retryBudgetOf(job.request.service);
    const bool mayRetry = neverStarted || (job.isRepeatable() && budget.allowsRetry());
    if (mayRetry && hasTime && task.attempts < this->options.maxAttempts) {
        if (!neverStarted)
            budget.spendRetry();
        ++this->counts.retriedTasks;
        job.readyTasks.push_front(index);
        this->requeue(job);
        return;
    }
    TaskOutcome outcome;
    outcome.result = report.result;
    if (neverStarted)
        outcome.fate = TaskFate::NotRun;
    else if (report.status == AttemptStatus::Failed)
        outcome.fate = TaskFate::Ran;
    this->endTask(job, index, outcome);
}

void Coordinator::endTask(CoordinatedJob &job, std::uint32_t index, const TaskOutcome &outcome)
{
    CoordinatedTask &task = job.tasks.at(index);
    HIBISCUS_INVARIANT(task.phase != TaskPhase::Done, "a task ends only once");
    if (task.phase == TaskPhase::Waiting)
        --this->waitingTasks;
    task.phase = TaskPhase::Done;
    task.outcome = outcome;
    --job.unfinished;
}

void Coordinator::releasePlacement(CoordinatedJob &job, CoordinatedTask &task)
{
    --this->placedByTeam[job.request.team];
    --this->placedByService[job.request.service];
    // The task counts as waiting until it is placed again or ended.
    task.phase = TaskPhase::Waiting;
    ++this->waitingTasks;
}

void Coordinator::end(CoordinatedJob &job, JobReason reason, TimePoint now, DispatchOutbox &out)
{
    job.endReason = reason;
    job.answer = job.currentAnswer();
    this->cancelPlacedTasks(job);
    this->endWaitingTasks(job);
    if (job.isRepeatable()) {
        const JobAnswer final = *job.answer;
        this->answer(job, final, out);
        return;
    }
    job.phase = JobPhase::Finishing;
    job.journalDeadline = now + this->options.journalTimeout;
    this->sendToJournal(job,
                        JournalCommand(FinishJob {
                            .id = job.request.id, .epoch = job.epoch, .answer = *job.answer }),
                        now, out);
}

// Without the journal, callers get no outcome that needs its confirmation. The journal is still
// informed that this coordination is over, so that its record of the job does not stay open.
void Coordinator::abandon(CoordinatedJob &job, TimePoint now, DispatchOutbox &out)
{
    const JobId id = job.request.id;
    const JournalCommand closingCommand = this->closingCommandOf(job);
    this->answerUnconfirmed(job, out);
    this->journal.sendRequest(id, closingCommand, now, out);
}

JournalCommand Coordinator::closingCommandOf(const CoordinatedJob &job) const
{
    if (job.phase == JobPhase::Finishing)
        return FinishJob { .id = job.request.id, .epoch = job.epoch, .answer = *job.answer };
    return AbandonJob { .id = job.request.id,
                        .claim = this->claimOf(job),
                        .contentHash = job.contentHash,
                        .taskCount = static_cast<std::uint32_t>(job.tasks.size()) };
}

void Coordinator::answerUnconfirmed(CoordinatedJob &job, DispatchOutbox &out)
{
    const std::size_t count = job.tasks.size();
    if (job.phase == JobPhase::Finishing || job.phase == JobPhase::Running) {
        const JobAnswer known = job.answer ? *job.answer : job.currentAnswer();
        this->answer(job, internal::withoutUnconfirmedFates(known), out);
        return;
    }
    const JobReason reason
        = job.endReason == JobReason::None ? JobReason::HomeUnreachable : job.endReason;
    this->answer(job, JobAnswer::uniform(JobState::Unknown, reason, count, TaskFate::MayHaveRun),
                 out);
}

void Coordinator::answer(CoordinatedJob &job, const JobAnswer &answer, DispatchOutbox &out)
{
    HIBISCUS_INVARIANT(answer.tasks.size() == job.tasks.size(),
                       "an answer has one outcome for each task");
    const bool isComplete
        = std::ranges::all_of(answer.tasks, [](const TaskOutcome &task) { return task.succeeded; });
    HIBISCUS_INVARIANT((answer.state == JobState::Complete) == isComplete,
                       "an answer is complete exactly if all its tasks succeeded");
    if (answer.state == JobState::Complete)
        ++this->counts.completed;
    else if (answer.state == JobState::Failed)
        ++this->counts.failed;
    else if (answer.state == JobState::Refused)
        ++this->counts.refused;
    else
        ++this->counts.unknown;
    for (const std::uint64_t token : job.callerTokens)
        out.answers.push_back({ .token = token, .job = job.request.id, .answer = answer });
    if (job.phase == JobPhase::Refusing)
        --this->pendingRefusals;
    this->cancelPlacedTasks(job);
    this->endWaitingTasks(job);
    const bool shouldCache = job.isRepeatable() && answer.state == JobState::Complete
        && this->cachedAnswers.size() < this->options.maxCachedAnswers;
    const JobId id = job.request.id;
    if (shouldCache)
        this->cachedAnswers[id] = { .contentHash = job.contentHash,
                                    .answer = answer,
                                    .expiresAt = job.arrivedAt + this->options.answerLifetime };
    this->journal.dropRequests(id);
    this->claimNumbers.erase(id);
    this->jobs.erase(id);
}

void Coordinator::cancelPlacedTasks(CoordinatedJob &job)
{
    for (CoordinatedTask &task : job.tasks) {
        if (task.phase != TaskPhase::Placed)
            continue;
        this->cancellations.push_back({ .owner = task.owner, .attempt = task.attempt });
        this->releasePlacement(job, task);
        this->endTask(job, task.attempt.task, {});
    }
}

void Coordinator::endWaitingTasks(CoordinatedJob &job)
{
    this->queue.remove(job.request.id);
    job.readyTasks.clear();
    for (CoordinatedTask &task : job.tasks) {
        if (task.phase != TaskPhase::Waiting)
            continue;
        task.phase = TaskPhase::Done;
        --this->waitingTasks;
    }
}

void Coordinator::sendToJournal(const CoordinatedJob &job, const JournalRequestBody &body,
                                TimePoint now, DispatchOutbox &out)
{
    this->journal.sendRequest(job.request.id, body, now, out);
}

RetryBudget &Coordinator::retryBudgetOf(const ServiceName &service)
{
    return this->retries
        .try_emplace(service,
                     this->admission.retryShareOf(service).value_or(this->options.retryShare))
        .first->second;
}

JobClaim Coordinator::claimOf(const CoordinatedJob &job) const
{
    const auto found = this->claimNumbers.find(job.request.id);
    return { .coordinator = this->options.self,
             .number = found == this->claimNumbers.end() ? 0 : found->second };
}

bool Coordinator::isEligible(const JobId &id) const
{
    const CoordinatedJob &job = this->jobs.at(id);
    const auto quota = this->admission.quotaShareOf(job.request.team);
    if (quota && this->placedOf(job.request.team) >= *quota)
        return false;
    const auto limit = this->admission.limitShareOf(job.request.service);
    const auto placed = this->placedByService.find(job.request.service);
    const std::uint32_t count = placed == this->placedByService.end() ? 0 : placed->second;
    return !limit || count < *limit;
}

} // namespace Hibiscus
