#include "programs/ControlClient.h"

#include <Hibiscus/Rules>

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_string(settings, "", "the settings file of the deployment (JSON)");
DEFINE_string(author, "", "who applies the rules");
DEFINE_int64(expected_version, -1, "the version that the new rules replace; the present one if -1");
DEFINE_string(apply_id, "", "repeat an earlier apply whose answer was lost");

namespace Hibiscus {
namespace {

using Json = nlohmann::json;

constexpr Duration statusTimeout = 2s;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *usage
    = "commands:\n"
      "  rules check FILE      check a rules file; needs no deployment\n"
      "  rules show            print the rules in force, as a quorum confirms them\n"
      "  rules apply FILE      replace the rules; --author is required\n"
      "  rules history         print the accepted changes\n"
      "  status                print the state of every node\n"
      "  drain target NAME     add a drain rule and apply it; --author is required\n"
      "  drain entry NAME      the same for an entry node\n"
      "  job ID                look a job up\n";

int fail(int code, const std::string &reason)
{
    std::fprintf(stderr, "hibiscusctl: %s\n", reason.c_str());
    return code;
}

tl::expected<std::string, std::string> readFile(const std::string &path)
{
    std::ifstream stream(path);
    if (!stream)
        return tl::unexpected("cannot read " + path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

int checkRules(const std::string &path)
{
    const auto text = readFile(path);
    if (!text)
        return fail(exitFailure, text.error());
    const auto rules = RuleSet::parse(*text);
    if (!rules) {
        const RuleError &error = rules.error();
        return fail(exitFailure,
                    path + ":" + std::to_string(error.line) + ":" + std::to_string(error.column)
                        + ": " + error.reason);
    }
    std::printf("%s: %zu rules, valid\n", path.c_str(), rules->lines().size());
    return 0;
}

int print(const HttpCallResult &result)
{
    if (result.state != HttpCallState::Answered)
        return fail(exitFailure, "no answer from the control group");
    std::printf("%s", result.body.c_str());
    return result.status < 300 ? 0 : exitFailure;
}

/** \brief The rules as the control group has them. */
struct CurrentRules
{
    std::uint64_t version = 0;
    std::string text;
};

tl::expected<CurrentRules, std::string> fetchRules(ControlClient &client,
                                                   const Deployment &deployment)
{
    const HttpCallResult result = client.callLeader(deployment, { .path = "/v1/rules" });
    const Json json = Json::parse(result.body, nullptr, false);
    const bool isValid = result.status == 200 && json.is_object() && json.contains("version");
    if (!isValid)
        return tl::unexpected(std::string("the control group did not confirm its rules"));
    return CurrentRules { .version = json["version"].get<std::uint64_t>(),
                          .text = json["text"].get<std::string>() };
}

std::string newApplyId()
{
    std::random_device random;
    return std::to_string(random()) + "-" + std::to_string(random());
}

int applyText(ControlClient &client, const Deployment &deployment, const std::string &text,
              std::uint64_t expectedVersion)
{
    const std::string applyId = FLAGS_apply_id.empty() ? newApplyId() : FLAGS_apply_id;
    const Json json = { { "apply_id", applyId },
                        { "author", FLAGS_author },
                        { "expected_version", expectedVersion },
                        { "text", text } };
    const HttpCallResult result = client.callLeader(
        deployment, { .method = "POST", .path = "/v1/rules", .body = json.dump() });
    if (result.state != HttpCallState::Answered)
        std::fprintf(stderr, "hibiscusctl: the outcome is not known; repeat with --apply_id=%s\n",
                     applyId.c_str());
    return print(result);
}

int applyRules(ControlClient &client, const Deployment &deployment, const std::string &path)
{
    if (FLAGS_author.empty())
        return fail(exitUsage, "--author is required");
    const auto text = readFile(path);
    if (!text)
        return fail(exitFailure, text.error());
    if (FLAGS_expected_version >= 0)
        return applyText(client, deployment, *text,
                         static_cast<std::uint64_t>(FLAGS_expected_version));
    const auto current = fetchRules(client, deployment);
    if (!current)
        return fail(exitFailure, current.error());
    return applyText(client, deployment, *text, current->version);
}

int drain(ControlClient &client, const Deployment &deployment, const std::string &kind,
          const std::string &name)
{
    if (FLAGS_author.empty())
        return fail(exitUsage, "--author is required");
    const auto current = fetchRules(client, deployment);
    if (!current)
        return fail(exitFailure, current.error());
    std::string text = current->text;
    if (!text.empty() && text.back() != '\n')
        text += "\n";
    text += "drain " + kind + "=" + name + " # " + FLAGS_author + "\n";
    return applyText(client, deployment, text, current->version);
}

int showStatus(ControlClient &client, const Deployment &deployment)
{
    int code = 0;
    for (const NodeSettings &node : deployment.nodes) {
        const HttpCallResult result = client.call(
            { .address = *Address::parse(node.http), .path = "/status" }, statusTimeout);
        if (result.state == HttpCallState::Answered) {
            std::printf("%s", result.body.c_str());
            continue;
        }
        std::printf("{\"node\":\"%s\",\"unreachable\":true}\n", node.name.str().c_str());
        code = exitFailure;
    }
    return code;
}

int showJob(ControlClient &client, const Deployment &deployment, const std::string &text)
{
    const Result<JobId> id = JobId::parse(text);
    if (!id)
        return fail(exitUsage, "malformed job id");
    for (const NodeSettings &entry : deployment.withRole(NodeRole::Entry)) {
        const HttpCallResult result = client.call(
            { .address = *Address::parse(entry.http), .path = "/v1/jobs/" + id->str() },
            statusTimeout);
        if (result.state == HttpCallState::Answered)
            return print(result);
    }
    return fail(exitFailure, "no entry node answered");
}

int run(const std::vector<std::string> &words)
{
    const std::string command = words.empty() ? "" : words[0];
    const std::string part = words.size() > 1 ? words[1] : "";
    const std::string name = words.size() > 2 ? words[2] : "";
    if (command == "rules" && part == "check" && !name.empty())
        return checkRules(name);
    const auto deployment = readDeployment(FLAGS_settings);
    if (!deployment) {
        const SettingsError &error = deployment.error().front();
        return fail(exitUsage, "--settings: " + error.path + ": " + error.reason);
    }
    ControlClient client;
    if (command == "rules" && part == "show")
        return print(client.callLeader(*deployment, { .path = "/v1/rules" }));
    if (command == "rules" && part == "history")
        return print(client.callLeader(*deployment, { .path = "/v1/history" }));
    if (command == "rules" && part == "apply" && !name.empty())
        return applyRules(client, *deployment, name);
    if (command == "drain" && (part == "target" || part == "entry") && !name.empty())
        return drain(client, *deployment, part, name);
    if (command == "status")
        return showStatus(client, *deployment);
    if (command == "job" && !part.empty())
        return showJob(client, *deployment, part);
    std::fprintf(stderr, "%s", usage);
    return exitUsage;
}

} // namespace
} // namespace Hibiscus

/** \brief The operators' command line. */
int main(int argc, char **argv)
{
    gflags::SetUsageMessage(Hibiscus::usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Hibiscus::run(std::vector<std::string>(argv + 1, argv + argc));
}
