#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Settings>

#include <string>

namespace Hibiscus {

/** \brief Why a caller's request cannot be taken as it is. */
struct ApiError
{
    int status = 400; ///< HTTP status
    std::string code; ///< for programs
    std::string reason; ///< for people
    std::string path; ///< JSON pointer to the part at fault, or empty

    auto operator<=>(const ApiError &other) const = default;
};

/** \brief An answer on its way to a caller. */
struct ApiReply
{
    int status = 200; ///< HTTP status
    std::string body; ///< JSON

    auto operator<=>(const ApiReply &other) const = default;
};

/** \returns the job in the JSON \a body, checked against \a deployment, or what is wrong. */
tl::expected<JobRequest, ApiError> parseJob(const std::string &body, const Deployment &deployment,
                                            TimePoint now);

/** \returns \a error as a caller gets it. */
ApiReply renderError(const ApiError &error);

/** \returns the answer to job \a id as its caller gets it. */
ApiReply renderAnswer(const JobId &id, const JobAnswer &answer);

} // namespace Hibiscus
