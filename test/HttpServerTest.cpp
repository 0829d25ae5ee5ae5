#include "test/support/OwnAddress.h"

#include <Hibiscus/Net>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace Hibiscus;

namespace {

constexpr std::uint16_t port = 27892;

/** \brief Sends \a count requests with a body each over one connection, and then reads until the
 * connection is closed.
 */
void sendPipelined(std::size_t count, std::size_t bodyBytes)
{
    const int connection = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ownAddress(port).native();
    ASSERT_EQ(::connect(connection, reinterpret_cast<const sockaddr *>(&address), sizeof(address)),
              0);
    const std::string request = "POST /a HTTP/1.1\r\nhost: h.example\r\ncontent-length: "
        + std::to_string(bodyBytes) + "\r\n\r\n" + std::string(bodyBytes, 'b');
    for (std::size_t i = 0; i < count; ++i)
        for (std::size_t sent = 0; sent < request.size();) {
            const ssize_t size
                = ::send(connection, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
            if (size <= 0)
                break;
            sent += static_cast<std::size_t>(size);
        }
    ::shutdown(connection, SHUT_WR);
    std::array<char, 65536> answers {};
    while (::recv(connection, answers.data(), answers.size(), 0) > 0) { }
    ::close(connection);
}

// h2o reads all that the system holds before anything can be refused, and the system holds tens of
// megabytes for a connection whose requests are read quickly.
TEST(HttpServer, ReadsAtMostAFewMegabytesAtOnce)
{
    constexpr std::size_t requests = 2'000;
    constexpr std::size_t bodyBytes = 100'000;
    ::signal(SIGPIPE, SIG_IGN); // as the processes do
    EventLoop loop;
    std::size_t handled = 0;
    std::size_t peakBytes = 0;
    HttpServer server(loop, { .address = ownAddress(port) }, [&](const HttpRequest &request) {
        ++handled;
        peakBytes = std::max(peakBytes, loop.memory().usedBytes());
        server.respond(request.token, {});
    });
    ASSERT_TRUE(server.listen());
    std::thread client([] { sendPipelined(requests, bodyBytes); });
    const TimePoint end = loop.now() + 30s;
    loop.run(
        1ms,
        [&] {
            if ((handled == requests && loop.memory().connectionCount() == 0) || loop.now() >= end)
                loop.stop();
        },
        [] {});
    client.join();
    EXPECT_EQ(handled, requests);
    EXPECT_LE(peakBytes, 4'000'000U);
}

} // namespace
