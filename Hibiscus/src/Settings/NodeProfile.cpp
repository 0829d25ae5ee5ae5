#include "Hibiscus/src/Settings/NodeProfile.h"

#include "Hibiscus/src/Core/Json.h"
#include "Hibiscus/src/Settings/NodeProfileSchema.h"
#include "Hibiscus/src/Settings/SchemaCheck.h"

#include <fstream>
#include <sstream>

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;

/** \returns \a address with the next higher port. */
static std::string withNextPort(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    const int port = std::stoi(address.substr(colon + 1));
    return address.substr(0, colon + 1) + std::to_string(port + 1);
}

static NodeProfile readProfile(const Json &json)
{
    NodeProfile profile;
    profile.label = json.at("node").get<std::string>();
    profile.domain = DomainName(json.at("domain").get<std::string>());
    profile.ip = json.at("ip").get<std::string>();
    profile.peerAddress = json.at("peer_address").get<std::string>();
    profile.targetsAddress = json.value("targets_address", withNextPort(profile.peerAddress));
    profile.metricsAddress = json.value("metrics_address", "");
    profile.callersAddress = json.value("callers_address", "");
    profile.readinessAddress = json.value("readiness_address", "");
    profile.operatorsAddress = json.value("operators_address", "");
    profile.registrySeeds = json.at("registry_seeds").get<std::vector<std::string>>();
    profile.isFirstStart = json.value("is_first_start", false);
    profile.dataFolder = json.value("data_folder", "");
    profile.toleratedLosses = json.value("tolerated_losses", profile.toleratedLosses);
    profile.processorShare = json.value("processor_share", profile.processorShare);
    constexpr double millisecondsPerSecond = 1000;
    const auto milliseconds = [&](const char *key, Duration fallback) {
        return json.contains(key) ? fromSeconds(json.at(key).get<double>() / millisecondsPerSecond)
                                  : fallback;
    };
    profile.lease = milliseconds("lease_ms", profile.lease);
    profile.heartbeat = milliseconds("heartbeat_ms", profile.heartbeat);
    profile.drainTime = milliseconds("drain_ms", profile.drainTime);
    if (json.contains("scheduling") && json.at("scheduling").at("mode") == "whole-jobs")
        profile.scheduling = SchedulingMode::WholeJobs;
    profile.stopTimeout = fromSeconds(json.value("stop_bound_s", toSeconds(profile.stopTimeout)));
    return profile;
}

} // namespace internal

tl::expected<NodeProfile, std::vector<SettingsError>> readNodeProfile(const std::string &path)
{
    using Errors = std::vector<SettingsError>;
    std::ifstream stream(path);
    if (!stream)
        return tl::unexpected(Errors { { .path = "/", .reason = "cannot read " + path } });
    std::ostringstream text;
    text << stream.rdbuf();
    const internal::Json document = parseJson(text.str());
    if (document.is_discarded())
        return tl::unexpected(Errors { { .path = "/", .reason = "not JSON" } });
    Errors errors = internal::checkSchema(internal::nodeProfileSchema, document);
    if (!errors.empty())
        return tl::unexpected(errors);
    return internal::readProfile(document);
}

} // namespace Hibiscus
