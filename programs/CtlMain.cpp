#include "programs/ControlClient.h"

#include <Hibiscus/Rules>

#include <cstdio>
#include <fstream>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>
#include <random>

DEFINE_string(settings, "", "the settings file of the deployment (JSON)");
DEFINE_string(author, "", "the person who changes the rules; recorded with the change");
DEFINE_int64(expected_version, -1,
             "the version that the new rules replace; if -1, the current version");
DEFINE_string(apply_id, "", "id of an earlier apply whose outcome is unknown, to repeat it safely");

namespace Hibiscus {
namespace {

using Json = nlohmann::json;

constexpr Duration statusTimeout = 2s;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

constexpr const char *usage
    = "commands:\n"
      "  rules check FILE      check a rules file; needs no --settings\n"
      "  rules show            print the rules in force, confirmed by a quorum\n"
      "  rules apply FILE      replace the rules; --author is required\n"
      "  rules history         print the accepted changes of the rules\n"
      "  status                print the state of every node\n"
      "  drain target NAME     drain a target by adding a rule; --author is required\n"
      "  drain entry NAME      drain an entry node by adding a rule; --author is required\n"
      "  job ID                print the state of a job\n";

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
        return fail(exitFailure,
                    "no control node answered; check that they run and that the addresses in "
                    "--settings are right");
    std::printf("%s", result.body.c_str());
    return result.status < 300 ? 0 : exitFailure;
}

/** \brief The rules in force, as confirmed by a quorum of the control group. */
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
        return tl::unexpected(
            std::string("cannot read the rules in force: no leader of the control group confirmed "
                        "them; check its nodes with 'hibiscusctl status'"));
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
        std::fprintf(stderr,
                     "hibiscusctl: the outcome of the apply is unknown; repeat the command with "
                     "--apply_id=%s\n",
                     applyId.c_str());
    return print(result);
}

int applyRules(ControlClient &client, const Deployment &deployment, const std::string &path)
{
    if (FLAGS_author.empty())
        return fail(exitUsage, "--author=NAME is required to change the rules");
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
        return fail(exitUsage, "--author=NAME is required to change the rules");
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
        return fail(exitUsage, "malformed job id: " + text);
    for (const NodeSettings &entry : deployment.nodesWithRole(NodeRole::Entry)) {
        const HttpCallResult result = client.call(
            { .address = *Address::parse(entry.http), .path = "/v1/jobs/" + id->str() },
            statusTimeout);
        if (result.state == HttpCallState::Answered)
            return print(result);
    }
    return fail(exitFailure,
                "job " + id->str()
                    + ": no entry node answered; check them with 'hibiscusctl status'");
}

int run(const std::vector<std::string> &arguments)
{
    const std::string command = arguments.empty() ? "" : arguments[0];
    const std::string subcommand = arguments.size() > 1 ? arguments[1] : "";
    const std::string name = arguments.size() > 2 ? arguments[2] : "";
    if (command == "rules" && subcommand == "check" && !name.empty())
        return checkRules(name);
    const auto deployment = readDeployment(FLAGS_settings);
    if (!deployment) {
        const SettingsError &error = deployment.error().front();
        return fail(exitUsage,
                    "--settings=" + FLAGS_settings + ": " + error.path + ": " + error.reason);
    }
    ControlClient client;
    if (command == "rules" && subcommand == "show")
        return print(client.callLeader(*deployment, { .path = "/v1/rules" }));
    if (command == "rules" && subcommand == "history")
        return print(client.callLeader(*deployment, { .path = "/v1/history" }));
    if (command == "rules" && subcommand == "apply" && !name.empty())
        return applyRules(client, *deployment, name);
    if (command == "drain" && (subcommand == "target" || subcommand == "entry") && !name.empty())
        return drain(client, *deployment, subcommand, name);
    if (command == "status")
        return showStatus(client, *deployment);
    if (command == "job" && !subcommand.empty())
        return showJob(client, *deployment, subcommand);
    std::fprintf(stderr, "hibiscusctl: unknown command, or an argument is missing\n%s", usage);
    return exitUsage;
}

} // namespace
} // namespace Hibiscus

/** \brief Runs the command line tool for operators. */
int main(int argc, char **argv)
{
    gflags::SetUsageMessage(Hibiscus::usage);
    gflags::SetVersionString("0.1.0");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return Hibiscus::run(std::vector<std::string>(argv + 1, argv + argc));
}
