#include "Hibiscus/src/Api/CallerApi.h"

#include "Hibiscus/src/Core/Json.h"

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;
using OrderedJson = nlohmann::ordered_json;

static tl::unexpected<ApiError> badField(const std::string &path, const std::string &reason)
{
    return tl::unexpected(
        ApiError { .status = 400, .code = "bad-request", .reason = reason, .path = path });
}

static bool isName(const Json &json)
{
    constexpr std::size_t maxNameLength = 64;
    if (!json.is_string())
        return false;
    const auto &text = json.get_ref<const std::string &>();
    return !text.empty() && text.size() <= maxNameLength;
}

static tl::expected<std::vector<std::string>, ApiError> readTasks(const Json &tasks,
                                                                  const Deployment &deployment)
{
    if (!tasks.is_array() || tasks.empty())
        return badField("/tasks", "expected an array of at least one string");
    if (tasks.size() > maxTasksPerJob)
        return tl::unexpected(ApiError { .status = 413,
                                         .code = "too-many-tasks",
                                         .reason = "a job has at most 120 tasks",
                                         .path = "/tasks" });
    std::vector<std::string> payloads;
    for (std::size_t i = 0; i < tasks.size(); ++i) {
        const std::string path = "/tasks/" + std::to_string(i);
        if (!tasks[i].is_string())
            return badField(path, "expected a string");
        payloads.push_back(tasks[i].get<std::string>());
        if (payloads.back().size() > deployment.limits.payloadBytes)
            return tl::unexpected(ApiError { .status = 413,
                                             .code = "payload-too-large",
                                             .reason = "the payload is too large",
                                             .path = path });
    }
    return payloads;
}

static tl::expected<Duration, ApiError> readDeadline(const Json &document,
                                                     const TimingSettings &timing)
{
    if (!document.contains("deadline_ms"))
        return timing.defaultDeadline;
    const Json &json = document["deadline_ms"];
    const auto longest
        = std::chrono::duration_cast<std::chrono::milliseconds>(timing.maxDeadline).count();
    const bool isValid = json.is_number_integer() && json.get<std::int64_t>() > 0
        && json.get<std::int64_t>() <= longest;
    if (!isValid)
        return badField("/deadline_ms",
                        "expected whole milliseconds up to " + std::to_string(longest));
    return std::chrono::milliseconds(json.get<std::int64_t>());
}

/** \returns the JSON pointer to the first member that is not part of a job; empty if there is none.
 */
static std::optional<std::string> findUnknownMember(const Json &document)
{
    static const std::vector<std::string> known
        = { "id", "service", "team", "repeatable", "deadline_ms", "slots", "tasks" };
    for (const auto &[key, value] : document.items())
        if (std::ranges::find(known, key) == known.end())
            return "/" + key;
    return std::nullopt;
}

static int httpStatusOf(const JobAnswer &answer)
{
    if (answer.state == JobState::Complete || answer.state == JobState::Failed)
        return 200;
    switch (answer.reason) {
    case JobReason::ContentDiffers:
        return 409;
    case JobReason::IdExpired:
    case JobReason::IdFromUnknownPast:
        return 410;
    case JobReason::CannotRun:
        return 422;
    case JobReason::QuotaExceeded:
    case JobReason::Overloaded:
        return 429;
    default:
        return 503;
    }
}

/** \returns the advice whether and how the caller should retry. */
static const char *retryAdvice(const JobAnswer &answer)
{
    if (answer.state == JobState::Complete)
        return "none";
    const bool isRefusalRecorded = std::ranges::all_of(
        answer.tasks, [](const TaskOutcome &task) { return task.fate == TaskFate::NotRun; });
    if (answer.state == JobState::Refused && isRefusalRecorded)
        return "retry-with-new-id";
    if (answer.state == JobState::Unknown || answer.reason == JobReason::Draining)
        return "retry-with-same-id";
    return "do-not-retry";
}

} // namespace internal

tl::expected<JobRequest, ApiError> parseJob(const std::string &body, const Deployment &deployment,
                                            TimePoint now)
{
    const internal::Json document = parseJson(body);
    if (!document.is_object())
        return internal::badField("/", "expected a JSON object");
    if (const auto path = internal::findUnknownMember(document))
        return internal::badField(*path, "unknown member");
    for (const char *key : { "id", "service", "team" })
        if (!document.contains(key) || !document[key].is_string())
            return internal::badField(std::string("/") + key, "expected a string");
    const Result<JobId> id = JobId::parse(document["id"].get<std::string>());
    if (!id)
        return internal::badField("/id", "expected <domain>.<milliseconds since 1970>.<unique>");
    const auto &domains = deployment.domains;
    if (std::ranges::find(domains, id->home()) == domains.end())
        return internal::badField("/id", "unknown domain");
    if (!internal::isName(document["service"]) || !internal::isName(document["team"]))
        return internal::badField("/", "service and team are names of 1 to 64 characters");
    JobRequest request;
    request.id = *id;
    request.service = ServiceName(document["service"].get<std::string>());
    request.team = TeamName(document["team"].get<std::string>());
    if (deployment.find(request.service) == nullptr)
        return tl::unexpected(ApiError { .status = 404,
                                         .code = "unknown-service",
                                         .reason = "no such service",
                                         .path = "/service" });
    if (document.contains("repeatable") && !document["repeatable"].is_boolean())
        return internal::badField("/repeatable", "expected true or false");
    if (document.value("repeatable", false))
        request.repeatability = Repeatability::Repeatable;
    if (document.contains("slots") && !document["slots"].is_number_unsigned())
        return internal::badField("/slots", "expected a whole number");
    request.slotsPerTask = document.value("slots", request.slotsPerTask);
    const auto deadline = internal::readDeadline(document, deployment.timing);
    if (!deadline)
        return tl::unexpected(deadline.error());
    request.deadline = now + *deadline;
    auto payloads = internal::readTasks(document.value("tasks", internal::Json()), deployment);
    if (!payloads)
        return tl::unexpected(payloads.error());
    request.payloads = std::move(*payloads);
    return request;
}

ApiReply renderError(const ApiError &error)
{
    internal::OrderedJson json;
    json["error"] = error.code;
    json["reason"] = error.reason;
    if (!error.path.empty())
        json["path"] = error.path;
    json["retry"] = "do-not-retry";
    return { .status = error.status, .body = json.dump() + "\n" };
}

ApiReply renderAnswer(const JobId &id, const JobAnswer &answer)
{
    internal::OrderedJson json;
    json["id"] = id.str();
    json["state"] = toString(answer.state);
    json["reason"] = toString(answer.reason);
    json["retry"] = internal::retryAdvice(answer);
    json["tasks"] = internal::OrderedJson::array();
    for (const TaskOutcome &task : answer.tasks) {
        internal::OrderedJson item;
        item["fate"] = toString(task.fate);
        item["succeeded"] = task.succeeded;
        item["result"] = task.result;
        json["tasks"].push_back(item);
    }
    const auto replace = nlohmann::json::error_handler_t::replace;
    return { .status = internal::httpStatusOf(answer),
             .body = json.dump(-1, ' ', false, replace) + "\n" };
}

} // namespace Hibiscus
