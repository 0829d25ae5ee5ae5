#include "Hibiscus/src/Settings/Deployment.h"

#include "Hibiscus/src/Core/Json.h"
#include "Hibiscus/src/Settings/DeploymentSchema.h"
#include "Hibiscus/src/Settings/SchemaCheck.h"

#include <algorithm>
#include <fstream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace Hibiscus {

namespace internal {

using Json = nlohmann::json;
using Errors = std::vector<SettingsError>;

static NodeRole roleOf(const std::string &text)
{
    if (text == "journal")
        return NodeRole::Journal;
    return text == "control" ? NodeRole::Control : NodeRole::Entry;
}

static NodeSettings readNode(const Json &json)
{
    NodeSettings node;
    node.name = NodeName(json.at("name").get<std::string>());
    node.role = roleOf(json.at("role").get<std::string>());
    node.domain = DomainName(json.at("domain").get<std::string>());
    node.serves = DomainName(json.value("serves", node.domain.str()));
    node.rpc = json.at("rpc").get<std::string>();
    node.http = json.at("http").get<std::string>();
    node.weight = json.value("weight", node.weight);
    return node;
}

static Duration readMilliseconds(const Json &json, const char *key, Duration fallback)
{
    if (!json.contains(key))
        return fallback;
    return std::chrono::milliseconds(json.at(key).get<std::int64_t>());
}

static LimitSettings readLimits(const Json &json)
{
    LimitSettings limits;
    limits.waitingTasks = json.value("waiting_tasks", limits.waitingTasks);
    limits.bodyBytes = json.value("body_bytes", limits.bodyBytes);
    limits.payloadBytes = json.value("payload_bytes", limits.payloadBytes);
    return limits;
}

static TimingSettings readTiming(const Json &json)
{
    TimingSettings timing;
    timing.targetLease = readMilliseconds(json, "target_lease", timing.targetLease);
    timing.heartbeat = readMilliseconds(json, "heartbeat", timing.heartbeat);
    timing.electionTimeout = readMilliseconds(json, "election_timeout", timing.electionTimeout);
    timing.defaultDeadline = readMilliseconds(json, "default_deadline", timing.defaultDeadline);
    timing.maxDeadline = readMilliseconds(json, "longest_deadline", timing.maxDeadline);
    timing.stopTimeout = readMilliseconds(json, "stop_bound", timing.stopTimeout);
    return timing;
}

static Deployment readDeploymentDocument(const Json &document)
{
    Deployment deployment;
    deployment.name = document.at("deployment").get<std::string>();
    deployment.region = document.at("region").get<std::string>();
    for (const Json &domain : document.at("domains"))
        deployment.domains.emplace_back(domain.get<std::string>());
    for (const Json &json : document.at("services")) {
        ServiceSettings service;
        service.name = ServiceName(json.at("name").get<std::string>());
        service.slots = json.value("slots", service.slots);
        service.connections = json.value("connections", service.connections);
        deployment.services.push_back(service);
    }
    for (const Json &json : document.at("nodes"))
        deployment.nodes.push_back(readNode(json));
    deployment.limits = readLimits(document.value("limits", Json::object()));
    deployment.timing = readTiming(document.value("timing_ms", Json::object()));
    return deployment;
}

static bool isOdd(std::size_t count)
{
    return count % 2 == 1;
}

/** \brief Checks what the schema cannot express: references by name, sizes of groups, addresses. */
static Errors checkConsistency(const Deployment &deployment)
{
    Errors errors;
    std::set<std::string> names;
    std::set<std::string> addresses;
    for (std::size_t i = 0; i < deployment.nodes.size(); ++i) {
        const NodeSettings &node = deployment.nodes[i];
        const std::string path = "/nodes/" + std::to_string(i);
        const auto isKnown = [&](const DomainName &domain) {
            return std::ranges::find(deployment.domains, domain) != deployment.domains.end();
        };
        if (!names.insert(node.name.str()).second)
            errors.push_back({ .path = path + "/name", .reason = "name used twice" });
        if (!isKnown(node.domain))
            errors.push_back({ .path = path + "/domain", .reason = "unknown domain" });
        if (!isKnown(node.serves))
            errors.push_back({ .path = path + "/serves", .reason = "unknown domain" });
        if (!addresses.insert(node.rpc).second)
            errors.push_back({ .path = path + "/rpc", .reason = "address used twice" });
        if (!addresses.insert(node.http).second)
            errors.push_back({ .path = path + "/http", .reason = "address used twice" });
    }
    for (std::size_t i = 0; i < deployment.domains.size(); ++i)
        if (!isOdd(deployment.journalNodesOf(deployment.domains[i]).size()))
            errors.push_back({ .path = "/domains/" + std::to_string(i),
                               .reason = "needs an odd number of journal nodes that serve it" });
    if (!isOdd(deployment.nodesWithRole(NodeRole::Control).size()))
        errors.push_back({ .path = "/nodes", .reason = "needs an odd number of control nodes" });
    if (deployment.timing.electionTimeout < 3 * deployment.timing.heartbeat)
        errors.push_back({ .path = "/timing_ms/election_timeout",
                           .reason = "must be at least three times the heartbeat" });
    return errors;
}

} // namespace internal

const NodeSettings *Deployment::find(const NodeName &node) const
{
    const auto found = std::ranges::find(this->nodes, node, &NodeSettings::name);
    return found == this->nodes.end() ? nullptr : &*found;
}

const ServiceSettings *Deployment::find(const ServiceName &service) const
{
    const auto found = std::ranges::find(this->services, service, &ServiceSettings::name);
    return found == this->services.end() ? nullptr : &*found;
}

std::vector<NodeSettings> Deployment::nodesWithRole(NodeRole role) const
{
    std::vector<NodeSettings> found;
    std::ranges::copy_if(this->nodes, std::back_inserter(found),
                         [&](const NodeSettings &node) { return node.role == role; });
    return found;
}

std::vector<NodeSettings> Deployment::journalNodesOf(const DomainName &domain) const
{
    std::vector<NodeSettings> found = this->nodesWithRole(NodeRole::Journal);
    std::erase_if(found, [&](const NodeSettings &node) { return node.serves != domain; });
    return found;
}

tl::expected<Deployment, std::vector<SettingsError>> parseDeployment(const std::string &json)
{
    const internal::Json document = parseJson(json);
    if (document.is_discarded())
        return tl::unexpected(internal::Errors { { .path = "/", .reason = "not valid JSON" } });
    if (internal::Errors errors = internal::checkSchema(internal::deploymentSchema, document);
        !errors.empty())
        return tl::unexpected(std::move(errors));
    const Deployment deployment = internal::readDeploymentDocument(document);
    if (internal::Errors errors = internal::checkConsistency(deployment); !errors.empty())
        return tl::unexpected(std::move(errors));
    return deployment;
}

tl::expected<Deployment, std::vector<SettingsError>> readDeployment(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        return tl::unexpected(
            internal::Errors { { .path = "/", .reason = "cannot read " + path } });
    std::ostringstream text;
    text << stream.rdbuf();
    return parseDeployment(text.str());
}

} // namespace Hibiscus
