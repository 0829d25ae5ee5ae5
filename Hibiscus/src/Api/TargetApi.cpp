#include "Hibiscus/src/Api/TargetApi.h"

#include "Hibiscus/src/Core/Json.h"

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;

constexpr std::size_t maxListedAttempts = 4096;

static tl::unexpected<ApiError> badAnnouncement(const std::string &path)
{
    return tl::unexpected(ApiError { .status = 400,
                                     .code = "bad-announcement",
                                     .reason = "missing or of the wrong type",
                                     .path = path });
}

static bool readAttempts(const Json &list, std::vector<AttemptId> &attempts)
{
    if (!list.is_array() || list.size() > maxListedAttempts)
        return false;
    for (const Json &item : list) {
        if (!item.is_string())
            return false;
        const Result<AttemptId> attempt = AttemptId::parse(item.get<std::string>());
        if (!attempt)
            return false;
        attempts.push_back(*attempt);
    }
    return true;
}

} // namespace internal

tl::expected<AnnouncementRequest, ApiError> parseAnnouncement(const std::string &body,
                                                              const Deployment &deployment)
{
    const internal::Json json = parseJson(body);
    if (!json.is_object())
        return internal::badAnnouncement("/");
    for (const char *key : { "target", "address", "service" })
        if (!json.contains(key) || !json[key].is_string())
            return internal::badAnnouncement(std::string("/") + key);
    for (const char *key : { "slots", "lease" })
        if (!json.contains(key) || !json[key].is_number_unsigned())
            return internal::badAnnouncement(std::string("/") + key);
    for (const char *key : { "leaving", "unowned" })
        if (json.contains(key) && !json[key].is_boolean())
            return internal::badAnnouncement(std::string("/") + key);
    AnnouncementRequest request;
    TargetAnnouncement &announcement = request.announcement;
    announcement.target = TargetName(json["target"].get<std::string>());
    announcement.address = json["address"].get<std::string>();
    announcement.service = ServiceName(json["service"].get<std::string>());
    announcement.leaseId = json["lease"].get<std::uint64_t>();
    announcement.isLeaving = json.value("leaving", false);
    request.isUnowned = json.value("unowned", false);
    const ServiceSettings *service = deployment.find(announcement.service);
    if (service == nullptr)
        return internal::badAnnouncement("/service");
    announcement.slots = std::min(json["slots"].get<std::uint32_t>(), service->slots);
    const internal::Json none = internal::Json::array();
    if (!internal::readAttempts(json.value("running", none), announcement.running))
        return internal::badAnnouncement("/running");
    const internal::Json avoided = json.value("avoid", none);
    for (const internal::Json &node : avoided) {
        if (!node.is_string())
            return internal::badAnnouncement("/avoid");
        request.avoidedOwners.insert(NodeName(node.get<std::string>()));
    }
    return request;
}

std::string renderAnnouncement(const AnnouncementRequest &request)
{
    const TargetAnnouncement &announcement = request.announcement;
    internal::Json json;
    json["target"] = announcement.target.str();
    json["address"] = announcement.address;
    json["service"] = announcement.service.str();
    json["slots"] = announcement.slots;
    json["lease"] = announcement.leaseId;
    json["leaving"] = announcement.isLeaving;
    json["unowned"] = request.isUnowned;
    json["running"] = internal::Json::array();
    for (const AttemptId &attempt : announcement.running)
        json["running"].push_back(attempt.str());
    json["avoid"] = internal::Json::array();
    for (const NodeName &node : request.avoidedOwners)
        json["avoid"].push_back(node.str());
    return json.dump();
}

} // namespace Hibiscus
