#include <Hibiscus/Rules>
#include <gtest/gtest.h>
#include <random>

using namespace Hibiscus;

namespace {

TEST(Rules, ParsesEveryKindOfRule)
{
    const auto rules = RuleSet::parse("# the rules of spring\n"
                                      "quota team=claims tasks=40 # Lan\n"
                                      "limit service=hoso tasks=200 # Lan\n"
                                      "rate service=hoso per-second=50 # Minh\n"
                                      "retry service=hoso percent=5 # Minh\n"
                                      "priority team=claims level=3 # Minh\n"
                                      "drain target=t-1 # Hoa\n"
                                      "drain entry=e-1 # Hoa\n"
                                      "\n"
                                      "refuse service=old # Hoa, 3 May\n");
    ASSERT_TRUE(rules.has_value());
    EXPECT_EQ(rules->lines().size(), 8U);
    EXPECT_EQ(rules->quotaOf(TeamName("claims")), 40U);
    EXPECT_EQ(rules->priorityOf(TeamName("claims")), 3U);
    EXPECT_TRUE(rules->isDrained(TargetName("t-1")));
    EXPECT_TRUE(rules->isDrained(NodeName("e-1")));
    EXPECT_TRUE(rules->isRefused(ServiceName("old")));
    EXPECT_EQ(rules->lines().back().requestedBy, "Hoa, 3 May");
}

TEST(Rules, TellsTheLimitsThatCallersKeep)
{
    EXPECT_FALSE(RuleSet().requestLimits().has_value());
    const auto rules = RuleSet::parse("requests max-header-bytes=16384 max-body-bytes=262144 "
                                      "header-timeout-ms=3000 # Lan\n");
    ASSERT_TRUE(rules.has_value());
    const RequestLimits expected
        = { .maxHeaderBytes = 16'384, .maxBodyBytes = 262'144, .headerTimeoutMs = 3'000 };
    EXPECT_EQ(rules->requestLimits(), expected);
    EXPECT_FALSE(RuleSet::parse("requests max-body-bytes=262144 # Lan\n").has_value());
}

TEST(Rules, ErrorsReportLineAndColumn)
{
    struct Case
    {
        const char *text;
        std::uint32_t line;
        std::uint32_t column;
    };
    for (const Case &item :
         { Case { "quota team=a tasks=1\n", 1, 21 }, Case { "quota team=a tasks=1 #  \n", 1, 25 },
           Case { "# fine\nqouta team=a # x\n", 2, 1 },
           Case { "quota team=a tasks=many # x\n", 1, 20 },
           Case { "quota team=a tasks=1 tasks=2 # x\n", 1, 22 },
           Case { "quota team=a tasks=1 more=2 # x\n", 1, 27 },
           Case { "priority team=a level=10 # x\n", 1, 23 },
           Case { "quota team= tasks=1 # x\n", 1, 7 } }) {
        const auto rules = RuleSet::parse(item.text);
        ASSERT_FALSE(rules.has_value()) << item.text;
        EXPECT_EQ(rules.error().line, item.line) << item.text;
        EXPECT_EQ(rules.error().column, item.column) << item.text << rules.error().reason;
    }
}

std::string randomFile(std::mt19937_64 &random)
{
    std::uniform_int_distribution<int> count(0, 12);
    std::uniform_int_distribution<int> value(0, 5);
    std::string text;
    for (int i = count(random); i > 0; --i)
        text += "quota team=t tasks=" + std::to_string(value(random)) + " # x\n";
    return text;
}

TEST(Rules, DeltaYieldsTheNextFileFromItsBaseOnly)
{
    constexpr std::uint64_t seed = 77;
    std::mt19937_64 random(seed);
    for (int round = 0; round < 2000; ++round) {
        const std::string base = randomFile(random);
        const std::string next = randomFile(random);
        const RulesDelta delta = RulesDelta::between(base, next);
        ASSERT_EQ(delta.applyTo(base), next) << "seed " << seed << ", round " << round;
        ASSERT_EQ(delta.applyTo(base + "#"), std::nullopt);
    }
}

TEST(Rules, ConcurrentApplyConflictsAndResentApplyGetsTheFirstReply)
{
    RulesState state;
    const ApplyRules first = {
        .applyId = "1", .expectedVersion = 0, .author = "Lan", .text = "refuse service=x # Lan\n"
    };
    const ApplyRules concurrent = {
        .applyId = "2", .expectedVersion = 0, .author = "Minh", .text = "refuse service=y # Minh\n"
    };
    EXPECT_EQ(state.apply(first).status, ApplyStatus::Accepted);
    const ApplyReply conflict = state.apply(concurrent);
    EXPECT_EQ(conflict.status, ApplyStatus::Conflict);
    EXPECT_EQ(conflict.conflictingAuthor, "Lan");
    EXPECT_EQ(conflict.conflictingLines.at(0), "refuse service=x # Lan");
    ApplyRules retry = concurrent;
    retry.expectedVersion = 1;
    EXPECT_EQ(state.apply(retry).version, 2U);
    EXPECT_EQ(state.apply(first).version, 1U);
    EXPECT_EQ(state.version(), 2U);
    const ApplyReply invalid = state.apply(
        { .applyId = "3", .expectedVersion = 2, .author = "Lan", .text = "nonsense # Lan" });
    EXPECT_EQ(invalid.status, ApplyStatus::Invalid);
    EXPECT_EQ(state.version(), 2U);
}

TEST(Rules, ActiveRulesNeverRevertToAnOlderVersion)
{
    ActiveRules activeRules(NodeName("e"));
    EXPECT_EQ(activeRules.status(), RulesStatus::None);
    const RulesFile versionFive = { .version = 5, .text = "refuse service=x # a\n" };
    const RulesFile versionFour = { .version = 4, .text = "" };
    activeRules.receive({ .content = versionFive, .isConfirmed = true });
    activeRules.receive({ .content = versionFour, .isConfirmed = true });
    activeRules.adoptLastKnown(versionFour);
    EXPECT_EQ(activeRules.file(), versionFive);
    EXPECT_EQ(activeRules.status(), RulesStatus::Confirmed);
    const VersionedDelta wrongBase = { .version = 7, .delta = RulesDelta::between("z", "y") };
    EXPECT_EQ(activeRules.receive({ .content = wrongBase })->version, 5U);
}

// Guards against a snapshot that no message can hold.
TEST(RulesState, HistoryIsBoundedInBytes)
{
    RulesState state;
    for (std::uint64_t version = 1; version <= 400; ++version) {
        std::string text;
        for (int line = 0; line < 20; ++line)
            text += "# " + std::to_string(version) + "." + std::to_string(line) + " "
                + std::string(2'000, 'x') + "\n";
        ASSERT_EQ(state.apply({ .text = text, .assignedVersion = version }).status,
                  ApplyStatus::Accepted);
    }
    EXPECT_LT(state.save().size(), 4'200'000U);
    EXPECT_EQ(state.history().back().version, 400U);
    RulesState restored;
    restored.restore(state.save());
    EXPECT_EQ(restored.save(), state.save());
}

} // namespace
