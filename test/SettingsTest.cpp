#include <Hibiscus/Settings>
#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace Hibiscus;
using Json = nlohmann::json;

namespace {

Json validSettings()
{
    Json json = { { "deployment", "d" },
                  { "region", "r" },
                  { "domains", { "a" } },
                  { "services", { { { "name", "hoso" } } } },
                  { "nodes", Json::array() } };
    int port = 1000;
    const auto add = [&](const std::string &name, const std::string &role) {
        json["nodes"].push_back({ { "name", name },
                                  { "role", role },
                                  { "domain", "a" },
                                  { "rpc", "127.0.0.1:" + std::to_string(port) },
                                  { "http", "127.0.0.1:" + std::to_string(port + 1) } });
        port += 2;
    };
    add("e1", "entry");
    for (const char *name : { "j1", "j2", "j3" })
        add(name, "journal");
    add("c1", "control");
    return json;
}

TEST(Settings, MissingSettingsHaveDefaults)
{
    const auto deployment = parseDeployment(validSettings().dump());
    ASSERT_TRUE(deployment.has_value());
    EXPECT_EQ(deployment->services.front().slots, 8U);
    EXPECT_EQ(deployment->services.front().connections, 64U);
    EXPECT_EQ(deployment->journalNodesOf(DomainName("a")).size(), 3U);
    EXPECT_EQ(deployment->timing.targetLease, 2s);
}

TEST(Settings, UnknownSchedulingIsRefused)
{
    const Json valid = { { "node", "n" },
                         { "domain", "a" },
                         { "ip", "10.0.0.1" },
                         { "peer_address", "10.0.0.1:7000" },
                         { "registry_seeds", { "10.0.0.2:7000" } } };
    const std::string path = testing::TempDir() + "scheduling-settings.json";
    const auto modeOf = [&](const Json &scheduling) -> std::optional<SchedulingMode> {
        Json json = valid;
        if (!scheduling.is_null())
            json["scheduling"] = scheduling;
        std::ofstream(path) << json.dump();
        const auto profile = readNodeProfile(path);
        return profile ? std::optional(profile->scheduling) : std::nullopt;
    };
    EXPECT_EQ(modeOf(nullptr), SchedulingMode::Tasks);
    EXPECT_EQ(modeOf({ { "mode", "tasks" } }), SchedulingMode::Tasks);
    EXPECT_EQ(modeOf({ { "mode", "whole-jobs" } }), SchedulingMode::WholeJobs);
    EXPECT_FALSE(modeOf({ { "mode", "by-size" } }));
    EXPECT_FALSE(modeOf(Json::object()));
    EXPECT_FALSE(modeOf({ { "mode", "tasks" }, { "share", 0.5 } }));
    EXPECT_FALSE(modeOf("whole-jobs"));
}

TEST(Settings, ErrorsContainThePathInTheDocument)
{
    struct Case
    {
        const char *pointer;
        Json value;
        const char *path;
    };
    const std::vector<Case> cases = {
        { "/nodes/0/role", "cook", "/nodes/0/role" },
        { "/nodes/1/domain", "z", "/nodes/1/domain" },
        { "/nodes/1/name", "e1", "/nodes/1/name" },
        { "/nodes/1/rpc", "127.0.0.1:1000", "/nodes/1/rpc" },
        { "/nodes/1/rpc", "localhost:1", "/nodes/1/rpc" },
        { "/nodes/1/weight", 0, "/nodes/1/weight" },
        { "/services/0/slots", "8", "/services/0/slots" },
        { "/timing_ms", { { "target_lease", "2s" } }, "/timing_ms/target_lease" },
        { "/timing_ms", { { "heartbeat", 200 } }, "/timing_ms/election_timeout" },
        { "/limits", { { "waiting", 1 } }, "/limits" },
        { "/nodes/3/role", "control", "/domains/0" },
    };
    for (const Case &item : cases) {
        Json settings = validSettings();
        settings[Json::json_pointer(item.pointer)] = item.value;
        const auto deployment = parseDeployment(settings.dump());
        ASSERT_FALSE(deployment.has_value()) << item.pointer;
        const auto &errors = deployment.error();
        const bool hasPath = std::ranges::any_of(
            errors, [&](const SettingsError &error) { return error.path == item.path; });
        EXPECT_TRUE(hasPath) << item.pointer << ": got " << errors.front().path << " "
                             << errors.front().reason;
    }
    EXPECT_FALSE(parseDeployment("{").has_value());
    EXPECT_FALSE(readDeployment("/nowhere/settings.json").has_value());
}

} // namespace
