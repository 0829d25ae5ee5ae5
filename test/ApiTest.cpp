#include <Hibiscus/Api>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <random>

using namespace Hibiscus;
using Json = nlohmann::json;

namespace {

const TimePoint now = TimePoint(std::chrono::hours(24 * 365 * 50));

Deployment deployment()
{
    Deployment deployment;
    deployment.domains = { DomainName("a"), DomainName("b") };
    deployment.services = { { .name = ServiceName("hoso") } };
    return deployment;
}

Json validJob()
{
    return { { "id", "a.1576800000000.x1" },
             { "service", "hoso" },
             { "team", "t" },
             { "tasks", { "one", "two" } } };
}

TEST(Api, AJobIsParsedWithDefaults)
{
    const auto job = parseJob(validJob().dump(), deployment(), now);
    ASSERT_TRUE(job.has_value());
    EXPECT_EQ(job->id.str(), "a.1576800000000.x1");
    EXPECT_FALSE(job->isRepeatable());
    EXPECT_EQ(job->taskCount(), 2U);
    EXPECT_EQ(job->deadline, now + deployment().timing.defaultDeadline);
}

TEST(Api, InvalidJobsAreRefusedWithThePathOfTheError)
{
    struct Case
    {
        const char *path;
        Json value;
        int status;
    };
    const Json manyTasks(std::vector<std::string>(121, "x"));
    const Json largeTask(std::vector<std::string> { std::string(65'537, 'x') });
    const std::vector<Case> cases = { { "/id", "a.b", 400 },
                                      { "/id", "z.1576800000000.x", 400 },
                                      { "/id", "a.1576800000000.x/y", 400 },
                                      { "/id", "a.15768000000000.x", 400 },
                                      { "/id", "a.-1.x", 400 },
                                      { "/id", 7, 400 },
                                      { "/service", "nothing", 404 },
                                      { "/team", 1, 400 },
                                      { "/repeatable", "yes", 400 },
                                      { "/deadline_ms", 0, 400 },
                                      { "/deadline_ms", 1e12, 400 },
                                      { "/slots", -1, 400 },
                                      { "/tasks", Json::array(), 400 },
                                      { "/tasks/0", Json::array({ 1 }), 400 },
                                      { "/tasks", manyTasks, 413 },
                                      { "/tasks/0", largeTask, 413 },
                                      { "/other", 1, 400 } };
    for (const Case &item : cases) {
        Json job = validJob();
        const std::string path = item.path;
        job[path.substr(1, path.find('/', 1) - 1)] = item.value;
        const auto parsed = parseJob(job.dump(), deployment(), now);
        ASSERT_FALSE(parsed.has_value()) << path << " " << item.value.dump().substr(0, 40);
        EXPECT_EQ(parsed.error().path, path);
        EXPECT_EQ(parsed.error().status, item.status) << path;
    }
    EXPECT_FALSE(parseJob("{", deployment(), now).has_value());
    EXPECT_FALSE(parseJob("[]", deployment(), now).has_value());
}

TEST(Api, CorruptedJobsDoNotCrashTheParser)
{
    constexpr std::uint64_t seed = 31;
    std::mt19937_64 random(seed);
    const std::string text = validJob().dump();
    for (int round = 0; round < 5000; ++round) {
        std::string corrupted = text;
        std::uniform_int_distribution<std::size_t> anyPosition(0, corrupted.size() - 1);
        std::uniform_int_distribution<int> anyByte(0, 255);
        for (int i = 0; i < 3; ++i)
            corrupted[anyPosition(random)] = static_cast<char>(anyByte(random));
        const auto parsed = parseJob(corrupted, deployment(), now);
        EXPECT_TRUE(parsed.has_value() || parsed.error().status >= 400);
    }
}

TEST(Api, AnswersContainRetryAdvice)
{
    const JobId id(DomainName("a"), now, "x");
    const auto advice = [&](JobState state, JobReason reason, TaskFate fate) {
        const ApiReply reply = renderAnswer(id, JobAnswer::uniform(state, reason, 2, fate));
        return std::to_string(reply.status) + " "
            + Json::parse(reply.body)["retry"].get<std::string>();
    };
    EXPECT_EQ(advice(JobState::Refused, JobReason::Overloaded, TaskFate::NotRun),
              "429 retry-with-new-id");
    EXPECT_EQ(advice(JobState::Unknown, JobReason::HomeUnreachable, TaskFate::MayHaveRun),
              "503 retry-with-same-id");
    EXPECT_EQ(advice(JobState::Refused, JobReason::Draining, TaskFate::MayHaveRun),
              "503 retry-with-same-id");
    EXPECT_EQ(advice(JobState::Refused, JobReason::ContentDiffers, TaskFate::MayHaveRun),
              "409 do-not-retry");
    EXPECT_EQ(advice(JobState::Failed, JobReason::TaskFailed, TaskFate::MayHaveRun),
              "200 do-not-retry");
}

TEST(Api, AttemptIdsAndAnnouncementsRoundTrip)
{
    const AttemptId attempt = {
        .job = JobId(DomainName("a"), now, "x-1_b"), .task = 3, .ordinal = 1, .incarnation = 99
    };
    EXPECT_EQ(*AttemptId::parse(attempt.str()), attempt);
    EXPECT_FALSE(AttemptId::parse("a.1.x~1~2").has_value());
    AnnouncementRequest request;
    request.announcement = { .target = TargetName("t"),
                             .address = "127.0.0.1:9000",
                             .service = ServiceName("hoso"),
                             .slots = 8,
                             .leaseId = 5,
                             .isLeaving = true,
                             .running = { attempt } };
    request.avoidedOwners = { NodeName("e") };
    EXPECT_EQ(*parseAnnouncement(renderAnnouncement(request), deployment()), request);
    EXPECT_FALSE(parseAnnouncement("{}", deployment()).has_value());
}

TEST(Api, OwnersAreChosenByWeightAndTargetsMoveOnlyIfTheirOwnerLeaves)
{
    const std::vector<OwnerCandidate> candidates = { { .node = NodeName("e1"), .weight = 1 },
                                                     { .node = NodeName("e2"), .weight = 2 },
                                                     { .node = NodeName("e3"), .weight = 1 } };
    const std::vector<OwnerCandidate> remaining = { candidates[0], candidates[1] };
    std::map<NodeName, int> counts;
    for (int i = 0; i < 4000; ++i) {
        const TargetName target("t" + std::to_string(i));
        const NodeName owner = *chooseOwner(target, candidates);
        ++counts[owner];
        const bool stays = *chooseOwner(target, remaining) == owner;
        EXPECT_TRUE(stays || owner == NodeName("e3"));
    }
    EXPECT_NEAR(counts[NodeName("e2")], 2000, 150);
    EXPECT_NEAR(counts[NodeName("e1")], 1000, 150);
    EXPECT_EQ(chooseOwner(TargetName("t"), {}), std::nullopt);
}

} // namespace
