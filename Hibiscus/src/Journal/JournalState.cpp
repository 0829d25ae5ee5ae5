#include "Hibiscus/src/Journal/JournalState.h"

#include <algorithm>

namespace Hibiscus {

namespace internal {

static bool mayRecord(const JobRecord &record, const TaskIndices &starts)
{
    return std::ranges::all_of(starts, [&](std::uint32_t index) {
        if (index >= record.startEpochs.size())
            return false;
        const std::uint64_t epoch = record.startEpochs[index];
        return epoch == 0 || epoch == record.epoch;
    });
}

// A task without a recorded start did not run, and one with a recorded start may have run.
static bool agreesWithRecord(const JobRecord &record, const JobAnswer &answer)
{
    if (answer.tasks.size() != record.startEpochs.size())
        return false;
    for (std::size_t i = 0; i < answer.tasks.size(); ++i) {
        const TaskFate fate = answer.tasks[i].fate;
        const std::uint64_t epoch = record.startEpochs[i];
        if (epoch == 0 && fate != TaskFate::NotRun)
            return false;
        // Only the coordinator that recorded a start can know that it was never sent.
        const bool recordedEarlier = epoch != 0 && epoch != record.epoch;
        if (recordedEarlier && fate == TaskFate::NotRun)
            return false;
    }
    return true;
}

} // namespace internal

JournalReply JournalState::apply(const JournalCommand &command)
{
    return std::visit([&](const auto &c) { return this->handle(c); }, command);
}

Bytes JournalState::save() const
{
    Bytes bytes;
    internal::BinaryWriter archive(bytes);
    archive(this->createdAt, this->latest, this->records);
    return bytes;
}

void JournalState::restore(const Bytes &bytes)
{
    internal::BinaryReader archive(bytes);
    archive(this->createdAt, this->latest, this->records);
}

JournalReply JournalState::find(const JobId &id) const
{
    const auto found = this->records.find(id);
    if (found == this->records.end())
        return { .status = JournalStatus::NotFound };
    const bool ended = found->second.answer.has_value();
    return this->describe(ended ? JournalStatus::Finished : JournalStatus::OpenElsewhere,
                          found->second);
}

JournalReply JournalState::handle(const OpenJob &command)
{
    if (const auto refusal = this->refusalOf(command.id, command.at))
        return *refusal;
    const auto [item, isNew] = this->records.try_emplace(command.id);
    JobRecord &record = item->second;
    if (isNew) {
        record.contentHash = command.contentHash;
        record.claim = command.claim;
        record.startEpochs.assign(command.taskCount, 0);
        for (std::uint32_t index : command.firstStarts)
            record.startEpochs.at(index) = record.epoch;
        return this->describe(JournalStatus::Opened, record);
    }
    if (record.contentHash != command.contentHash)
        return { .status = JournalStatus::ContentDiffers };
    if (record.answer)
        return this->describe(JournalStatus::Finished, record);
    // The same claim is repeated if the first reply was lost.
    const bool isSame = record.claim == command.claim;
    return this->describe(isSame ? JournalStatus::Opened : JournalStatus::OpenElsewhere, record);
}

JournalReply JournalState::handle(const RecordStarts &command)
{
    const auto found = this->records.find(command.id);
    if (found == this->records.end())
        return { .status = JournalStatus::NotFound };
    JobRecord &record = found->second;
    if (record.answer)
        return this->describe(JournalStatus::Finished, record);
    if (record.epoch != command.epoch || !internal::mayRecord(record, command.starts))
        return this->describe(JournalStatus::Fenced, record);
    for (std::uint32_t index : command.starts)
        record.startEpochs[index] = record.epoch;
    return this->describe(JournalStatus::Recorded, record);
}

JournalReply JournalState::handle(const FinishJob &command)
{
    const auto found = this->records.find(command.id);
    if (found == this->records.end())
        return { .status = JournalStatus::NotFound };
    JobRecord &record = found->second;
    if (record.answer)
        return this->describe(JournalStatus::Finished, record);
    if (record.epoch != command.epoch || !internal::agreesWithRecord(record, command.answer))
        return this->describe(JournalStatus::Fenced, record);
    record.answer = command.answer;
    return this->describe(JournalStatus::Finished, record);
}

JournalReply JournalState::handle(const TakeOverJob &command)
{
    const auto found = this->records.find(command.id);
    if (found == this->records.end())
        return { .status = JournalStatus::NotFound };
    JobRecord &record = found->second;
    if (record.contentHash != command.contentHash)
        return { .status = JournalStatus::ContentDiffers };
    if (record.answer)
        return this->describe(JournalStatus::Finished, record);
    if (record.claim == command.claim)
        return this->describe(JournalStatus::Opened, record);
    if (record.claim != command.previousClaim)
        return this->describe(JournalStatus::OpenElsewhere, record);
    ++record.epoch;
    record.claim = command.claim;
    return this->describe(JournalStatus::Opened, record);
}

JournalReply JournalState::handle(const RefuseJob &command)
{
    if (const auto refusal = this->refusalOf(command.id, command.at))
        return *refusal;
    const auto [item, isNew] = this->records.try_emplace(command.id);
    JobRecord &record = item->second;
    if (isNew) {
        record.contentHash = command.contentHash;
        record.startEpochs.assign(command.taskCount, 0);
        record.answer = JobAnswer::uniform(JobState::Refused, command.reason, command.taskCount,
                                           TaskFate::NotRun);
    }
    if (record.contentHash != command.contentHash)
        return { .status = JournalStatus::ContentDiffers };
    return this->describe(record.answer ? JournalStatus::Finished : JournalStatus::OpenElsewhere,
                          record);
}

JournalReply JournalState::handle(const AbandonJob &command)
{
    // The OpenJob of this claim may still arrive, and must then find the job ended.
    if (!this->records.contains(command.id))
        return this->handle(RefuseJob { .id = command.id,
                                        .contentHash = command.contentHash,
                                        .taskCount = command.taskCount,
                                        .reason = JobReason::CoordinatorLost,
                                        .at = command.at });
    JobRecord &record = this->records.at(command.id);
    if (record.answer)
        return this->describe(JournalStatus::Finished, record);
    if (record.claim != command.claim)
        return this->describe(JournalStatus::Fenced, record);
    JobAnswer answer;
    answer.state = JobState::Failed;
    answer.reason = JobReason::CoordinatorLost;
    for (const std::uint64_t epoch : record.startEpochs) {
        TaskOutcome outcome;
        outcome.fate = epoch == 0 ? TaskFate::NotRun : TaskFate::MayHaveRun;
        answer.tasks.push_back(outcome);
    }
    record.answer = answer;
    return this->describe(JournalStatus::Finished, record);
}

JournalReply JournalState::handle(const ExpireJobs &command)
{
    this->latest = std::max(this->latest, command.at);
    // The margin keeps the record until no node's clock can consider the id valid.
    const TimePoint limit = this->latest - 2 * clockSkewBound;
    std::erase_if(this->records, [&](const auto &item) { return item.first.isExpired(limit); });
    return { .status = JournalStatus::Done };
}

// The time used here never decreases, so an id that was refused as expired stays refused.
std::optional<JournalReply> JournalState::refusalOf(const JobId &id, TimePoint at)
{
    this->latest = std::max(this->latest, at);
    if (this->records.contains(id))
        return std::nullopt;
    if (id.isExpired(this->latest) || id.isFromFuture(this->latest))
        return JournalReply { .status = JournalStatus::Expired };
    if (id.issued() < this->createdAt + 2 * clockSkewBound)
        return JournalReply { .status = JournalStatus::UnknownPast };
    return std::nullopt;
}

JournalReply JournalState::describe(JournalStatus status, const JobRecord &record) const
{
    JournalReply reply;
    reply.status = status;
    reply.epoch = record.epoch;
    reply.claim = record.claim;
    reply.answer = record.answer;
    for (std::uint32_t i = 0; i < record.startEpochs.size(); ++i)
        if (record.startEpochs[i] != 0)
            reply.recordedStarts.push_back(i);
    return reply;
}

} // namespace Hibiscus
