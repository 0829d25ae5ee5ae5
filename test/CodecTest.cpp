#include <Hibiscus/Core>
#include <Hibiscus/Fleet>
#include <cereal/archives/portable_binary.hpp>
#include <gtest/gtest.h>
#include <sstream>

using namespace Hibiscus;

namespace {

/** \returns \a value as versions up to e4034cb encoded it, by cereal's own archive. */
template<typename Value>
Bytes encodeByLibrary(const Value &value)
{
    std::ostringstream stream(std::ios::binary);
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(value);
    return std::move(stream).str();
}

TargetHeartbeat heartbeat()
{
    return { .target = { .name = TargetName("i-1"),
                         .incarnation = 7,
                         .address = "10.0.0.9:80",
                         .labels = { "b", "r1" },
                         .sequence = 3,
                         .clockMs = -1 },
             .isLeaving = true };
}

// Disks hold records of earlier versions, and nodes of two versions talk during an upgrade.
TEST(Codec, FormatIsThatOfTheLibrarysPortableArchive)
{
    EXPECT_EQ(encode(heartbeat()), encodeByLibrary(heartbeat()));
    FleetMessage message;
    message.from = NodeName("10.0.0.1:7720");
    message.report = OwnerReport { .targets = { { .name = TargetName("i-1"), .slowness = 0.7 } } };
    message.runRequests
        = { { .run = { .job = "j", .step = 1, .index = 2, .attempt = 3 }, .estimate = 250ms } };
    EXPECT_EQ(encode(message), encodeByLibrary(message));
    EXPECT_EQ(*decode<FleetMessage>(encodeByLibrary(message)), message);
}

// Guards against a process that a corrupt size makes allocate without bound.
TEST(Codec, SizesBeyondTheInputAreRefused)
{
    for (const std::uint64_t size : { ~0ULL, 1ULL << 62U, 1ULL << 32U, 2ULL }) {
        const Bytes bytes = encode(size); // the size of a list, without its elements
        EXPECT_FALSE(decode<std::vector<OwnedTarget>>(bytes)) << size;
        EXPECT_FALSE(decode<std::vector<std::uint64_t>>(bytes)) << size;
        EXPECT_FALSE(decode<std::string>(bytes)) << size;
        EXPECT_FALSE((decode<std::map<std::string, std::uint64_t>>(bytes))) << size;
    }
    EXPECT_TRUE(decode<std::vector<OwnedTarget>>(encode(std::uint64_t(0))));
}

TEST(Codec, ValuesThatAreNoBooleanAreRefused)
{
    EXPECT_TRUE(*decode<bool>(encode(true)));
    EXPECT_FALSE(decode<bool>(encode(std::uint8_t(2))));
    EXPECT_FALSE(decode<bool>(Bytes()));
    EXPECT_FALSE(decode<bool>(Bytes { 0, 1 })) << "not little-endian";
}

// The requests for a wide job would otherwise be larger than a batch.
TEST(Codec, AMessageHasTheSpecOfAJobOnce)
{
    const SharedText spec(std::string(240'000, 'x'));
    FleetMessage message;
    for (std::uint32_t index = 0; index < 50; ++index)
        message.runRequests.push_back({ .run = { .job = "j", .index = index }, .spec = spec });
    message.specs["j"] = spec;
    const Bytes bytes = encode(message);
    EXPECT_LT(bytes.size(), 250'000U);
    const auto decoded = decode<FleetMessage>(bytes);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->specs, message.specs);
    EXPECT_EQ(decoded->runRequests.size(), 50U);
}

} // namespace
