#include "test/support/OwnAddress.h"

#include <Hibiscus/Net>
#include <gtest/gtest.h>

#include <map>

using namespace Hibiscus;

namespace {

/** \brief Server whose responses have the size that the path says, and a client of it. */
class ClientFixture
{
public:
    explicit ClientFixture(const HttpClient::Options &options)
        : server(this->loop, { .address = ownAddress(port) },
                 [this](const HttpRequest &request) {
                     this->server.respond(
                         request.token,
                         { .body = std::string(std::stoul(request.path.substr(1)), 'x') });
                 }),
          client(this->loop, options)
    { }

    void get(std::size_t size)
    {
        this->client.send(
            { .address = ownAddress(port), .path = "/" + std::to_string(size) },
            [this, size](const HttpCallResult &result) { this->results[size] = result; });
    }

    void run(Duration span)
    {
        const TimePoint end = this->loop.now() + span;
        this->loop.run(
            5ms,
            [&] {
                this->client.tick(this->loop.now());
                if (this->loop.now() >= end)
                    this->loop.stop();
            },
            [] {});
    }

    static constexpr std::uint16_t port = 27891;
    EventLoop loop;
    HttpServer server;
    HttpClient client;
    std::map<std::size_t, HttpCallResult> results; ///< by the size of the response
};

TEST(HttpClient, ResponsesOverTheLimitAreGivenUp)
{
    ClientFixture fixture({ .maxBodyBytes = 1'000'000 });
    ASSERT_TRUE(fixture.server.listen());
    fixture.get(1'000'001);
    fixture.get(1'000'000);
    fixture.run(500ms);
    EXPECT_EQ(fixture.results[1'000'001].state, HttpCallState::TooLarge);
    EXPECT_TRUE(fixture.results[1'000'001].body.empty());
    EXPECT_EQ(fixture.results[1'000'000].state, HttpCallState::Answered);
    EXPECT_EQ(fixture.results[1'000'000].body.size(), 1'000'000U);
}

// The bodies count until their calls end, so the limit must be free again afterwards.
TEST(HttpClient, TheLimitOfAllBodiesIsFreeAgainAfterEachCall)
{
    ClientFixture fixture({ .maxOpenBodyBytes = 1'000'000 });
    ASSERT_TRUE(fixture.server.listen());
    for (std::size_t size = 900'000; size < 900'005; ++size) {
        fixture.get(1'100'000 + size);
        fixture.run(200ms);
        fixture.get(size);
        fixture.run(200ms);
        EXPECT_EQ(fixture.results[size].body.size(), size);
        EXPECT_EQ(fixture.results[1'100'000 + size].state, HttpCallState::TooLarge);
    }
}

// Anybody can name servers to the process, as the addresses of targets.
TEST(HttpClient, PoolsOfServersThatAreNotInUseAreRemoved)
{
    ClientFixture fixture({ .maxServers = 10 });
    ASSERT_TRUE(fixture.server.listen());
    std::size_t notSent = 0;
    for (int i = 0; i < 100; ++i)
        fixture.client.send(
            { .address = *Address::parse("127.0.1." + std::to_string(i + 1) + ":9") },
            [&](const HttpCallResult &result) {
                notSent += result.state == HttpCallState::NotSent ? 1 : 0;
            });
    fixture.run(1200ms);
    EXPECT_EQ(notSent, 100U);
    EXPECT_LE(fixture.client.serverCount(), 10U);
    fixture.get(100);
    fixture.run(1200ms);
    EXPECT_EQ(fixture.results[100].state, HttpCallState::Answered);
}

} // namespace
