#pragma once

#include "Hibiscus/src/Journal/JournalCommand.h"

namespace Hibiscus {

/** \brief Asks what is known of a job, confirmed by a quorum. */
struct LookUpJob
{
    JobId id;

    auto operator<=>(const LookUpJob &other) const = default;
    HIBISCUS_FIELDS(id)
};

/** \brief Says that a coordinator with open jobs is alive. */
struct CoordinatorHeartbeat
{
    auto operator<=>(const CoordinatorHeartbeat &) const = default;
    template<typename Archive>
    void serialize(Archive &)
    { }
};

/** \brief What an entry process asks of a journal. */
using JournalRequestBody = std::variant<JournalCommand, LookUpJob, CoordinatorHeartbeat>;

/** \brief A question with its asker; the answer carries the same RequestId. */
struct JournalRequest
{
    RequestId request;
    CoordinatorId coordinator;
    JournalRequestBody body;

    auto operator<=>(const JournalRequest &other) const = default;
    HIBISCUS_FIELDS(request, coordinator, body)
};

/** \brief The answer of a journal's leader, or a redirection by another member. */
using JournalResponse = ReplicatedResponse<JournalReply>;

} // namespace Hibiscus
