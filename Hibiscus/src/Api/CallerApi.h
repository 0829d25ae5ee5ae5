#pragma once

#include <Hibiscus/Jobs>
#include <Hibiscus/Settings>

#include <string>

namespace Hibiscus {

/** \brief The reason for which a request is refused as invalid. */
struct ApiError
{
    int status = 400; ///< HTTP status
    std::string code; ///< error code for programs
    std::string reason; ///< explanation for people
    std::string path; ///< JSON pointer to the invalid part, or empty

    auto operator<=>(const ApiError &other) const = default;
};

/** \brief The content of an HTTP response. */
struct ApiReply
{
    int status = 200; ///< HTTP status
    std::string body; ///< JSON

    auto operator<=>(const ApiReply &other) const = default;
};

/** \returns the job in the JSON \a body, checked against \a deployment, or the first error. */
tl::expected<JobRequest, ApiError> parseJob(const std::string &body, const Deployment &deployment,
                                            TimePoint now);

/** \returns the response that reports \a error. */
ApiReply renderError(const ApiError &error);

/** \returns the response with the answer to job \a id. */
ApiReply renderAnswer(const JobId &id, const JobAnswer &answer);

} // namespace Hibiscus
