#pragma once

#include "Hibiscus/src/Journal/JournalCommand.h"

namespace Hibiscus {

/** \brief Request for the state of a job, confirmed by a quorum. */
struct LookUpJob
{
    JobId id;

    auto operator<=>(const LookUpJob &other) const = default;
    HIBISCUS_FIELDS(id)
};

/** \brief Heartbeat of a coordinator with open jobs. */
struct CoordinatorHeartbeat
{
    auto operator<=>(const CoordinatorHeartbeat &) const = default;
    template<typename Archive>
    void serialize(Archive &)
    { }
};

/** \brief Any request of an entry process to a journal. */
using JournalRequestBody = std::variant<JournalCommand, LookUpJob, CoordinatorHeartbeat>;

/** \brief A request with its sender; the response carries the same RequestId. */
struct JournalRequest
{
    RequestId request;
    CoordinatorId coordinator;
    JournalRequestBody body;

    auto operator<=>(const JournalRequest &other) const = default;
    HIBISCUS_FIELDS(request, coordinator, body)
};

/** \brief The reply of a journal's leader, or a redirection by another member. */
using JournalResponse = ReplicatedResponse<JournalReply>;

} // namespace Hibiscus
