#include "test/support/Seeds.h"

#include <Hibiscus/Net>
#include <array>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <random>
#include <sys/socket.h>
#include <unistd.h>

using namespace Hibiscus;

namespace {

/** \returns an address of the loopback network that only this process uses: tests run in parallel.
 */
Address ownAddress()
{
    constexpr std::uint16_t port = 27806;
    const auto pid = static_cast<std::uint32_t>(::getpid());
    const std::uint32_t second = 64 + (pid >> 8U) % 128;
    return { .host = "127." + std::to_string(second) + "." + std::to_string(pid & 255U) + ".1",
             .port = port };
}

/** \brief Connection that sends and reads without blocking. */
class Client
{
public:
    Client() : connection(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const sockaddr_in address = ownAddress().native();
        EXPECT_EQ(::connect(this->connection, reinterpret_cast<const sockaddr *>(&address),
                            sizeof(address)),
                  0);
        ::fcntl(this->connection, F_SETFL, O_NONBLOCK);
    }

    ~Client() { ::close(this->connection); }
    Client(const Client &) = delete;
    Client &operator=(const Client &) = delete;

    void send(std::string_view bytes)
    {
        ::send(this->connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    std::string read()
    {
        std::array<char, 65536> buffer {};
        ssize_t size = 0;
        std::string received;
        while ((size = ::recv(this->connection, buffer.data(), buffer.size(), 0)) > 0)
            received.append(buffer.data(), static_cast<std::size_t>(size));
        return received;
    }

private:
    int connection = -1;
};

/** \brief Server with small limits that responds to some requests late. */
class Entry
{
public:
    explicit Entry(bool isNeverRefused = false)
        : server(this->loop,
                 { .address = ownAddress(),
                   .maxBodyBytes = 100'000,
                   .isNeverRefused = isNeverRefused,
                   .keptHeaders = { "deadline-ms" },
                   .onDisconnect = [this](std::uint64_t token) { std::erase(this->open, token); } },
                 [this](const HttpRequest &request) { this->open.push_back(request.token); })
    {
        // As the processes do; h2o writes to connections that their clients have closed.
        ::signal(SIGPIPE, SIG_IGN);
        this->loop.memory().setLimits(
            { .maxBytes = 1'000'000, .maxConnections = 40, .maxHeaderBytes = 8'000 });
        EXPECT_TRUE(this->server.listen());
    }

    void run(Duration duration)
    {
        const TimePoint end = this->loop.now() + duration;
        this->loop.run(
            1ms,
            [&] {
                this->respond();
                if (this->loop.now() >= end)
                    this->loop.stop();
            },
            [] {});
    }

    MemoryBudget &memory() { return this->loop.memory(); }
    void setMaxHeaderBytes(std::size_t bytes) { this->server.setMaxHeaderBytes(bytes); }

private:
    void respond()
    {
        for (const std::uint64_t token : std::exchange(this->open, {}))
            this->server.respond(token, { .body = std::string(token % 7 * 1'000, 'x') });
    }

    EventLoop loop;
    std::vector<std::uint64_t> open;
    HttpServer server;
};

class Generator
{
public:
    explicit Generator(std::uint64_t seed) : random(seed) { }

    std::size_t number(std::size_t max)
    {
        return std::uniform_int_distribution<std::size_t>(0, max)(this->random);
    }

    /** \returns requests of one connection: pipelined, damaged or cut off, or all of these. */
    std::string stream()
    {
        std::string text;
        for (std::size_t count = 1 + this->number(3); count > 0; --count)
            text += this->request();
        for (std::size_t count = this->number(4) % 3; count > 0; --count)
            this->damage(text);
        if (this->number(2) == 0)
            text.resize(this->number(text.size()));
        return text;
    }

private:
    std::string request()
    {
        static const std::array<std::string, 6> methods
            = { "GET", "POST", "DELETE", "PRI", "OPTIONS", "\x01" };
        static const std::array<std::string, 5> targets
            = { "/a", "/jobs/0123456789abcdef", "*", "http://h.example/a", "/%00/../\xff" };
        std::string text = methods[this->number(methods.size() - 1)] + " "
            + targets[this->number(targets.size() - 1)]
            + (this->number(9) == 0 ? " HTTP/1.0" : " HTTP/1.1") + "\r\nhost: h.example\r\n";
        if (this->number(19) == 0)
            text += "x-long: " + std::string(this->number(20'000), 'a') + "\r\n";
        if (this->number(9) == 0)
            text += "expect: 100-continue\r\n";
        const std::string body(this->number(3) == 0 ? this->number(200'000) : this->number(300),
                               'b');
        switch (this->number(4)) {
        case 0:
            return text + "\r\n";
        case 1:
            return text + "transfer-encoding: chunked\r\n\r\n" + this->chunked(body);
        case 2:
            return text + "content-length: " + std::to_string(this->number(300'000)) + "\r\n\r\n"
                + body;
        case 3:
            return text + "content-length: 99999999999999999999\r\n\r\n" + body;
        default:
            return text + "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
    }

    std::string chunked(const std::string &body)
    {
        std::string text;
        for (std::size_t at = 0; at < body.size();) {
            const std::string part = body.substr(at, 1 + this->number(5'000));
            std::array<char, 20> size {};
            std::snprintf(size.data(), size.size(), "%zx", part.size());
            text += size.data();
            text += "\r\n" + part + "\r\n";
            at += part.size();
        }
        return text + "0\r\n\r\n";
    }

    void damage(std::string &text)
    {
        const std::size_t at = this->number(std::min<std::size_t>(text.size() - 1, 400));
        switch (this->number(2)) {
        case 0:
            text[at] = static_cast<char>(this->number(255));
            break;
        case 1:
            text.erase(at, 1 + this->number(3));
            break;
        default:
            text.insert(at, this->number(1) == 0 ? "\r\n" : "\n");
        }
        if (text.empty())
            text = "\r\n";
    }

    std::mt19937_64 random;
};

void expectAnOrdinaryAnswer(Entry &entry, std::uint64_t seed)
{
    Client ordinary;
    ordinary.send("POST /a HTTP/1.1\r\nhost: h.example\r\ncontent-length: 2\r\n\r\n{}");
    std::string received;
    for (int i = 0; i < 1'000 && received.empty(); ++i) {
        entry.run(2ms);
        received = ordinary.read();
    }
    EXPECT_TRUE(received.starts_with("HTTP/1.1 200")) << "seed " << seed << ": " << received;
}

bool hasContinue(const std::string &received)
{
    return received.find("HTTP/1.1 100") != std::string::npos;
}

// h2o reads such a body with another callback than the headers.
TEST(HttpEntryFuzz, AccountsForABodyAfterContinue)
{
    for (const std::string before : { "", "GET /a HTTP/1.1\r\nhost: h.example\r\n\r\n" }) {
        Entry entry;
        Client client;
        client.send(before
                    + "POST /a HTTP/1.1\r\nhost: h.example\r\nexpect: 100-continue\r\n"
                      "content-length: 95000\r\n\r\n");
        std::string received;
        for (int i = 0; i < 1'000 && !hasContinue(received); ++i) {
            entry.run(2ms);
            received += client.read();
        }
        EXPECT_TRUE(hasContinue(received)) << received;
        constexpr std::size_t sentBytes = 90'000;
        client.send(std::string(sentBytes, 'b'));
        for (int i = 0; i < 1'000 && entry.memory().usedBytes() < sentBytes; ++i)
            entry.run(2ms);
        EXPECT_GE(entry.memory().usedBytes(), sentBytes);
    }
}

TEST(HttpEntryFuzz, LimitsTheHeadersOfOneServer)
{
    for (const auto &[limit, expected] : std::vector<std::pair<std::size_t, std::string>> {
             { 0, "HTTP/1.1 200" }, { 1'000, "HTTP/1.1 431" } }) {
        Entry entry;
        entry.setMaxHeaderBytes(limit);
        Client client;
        client.send("GET /a HTTP/1.1\r\nhost: h.example\r\nx-long: " + std::string(2'000, 'a')
                    + "\r\n\r\n");
        std::string received;
        for (int i = 0; i < 1'000 && received.empty(); ++i) {
            entry.run(2ms);
            received = client.read();
        }
        EXPECT_TRUE(received.starts_with(expected)) << received;
    }
}

TEST(HttpEntryFuzz, ServesChecksWhileOtherRequestsAreRefused)
{
    for (const bool isNeverRefused : { false, true }) {
        Entry entry(isNeverRefused);
        const auto id = entry.memory().add(false, [](CloseReason) {});
        entry.memory().update(id, ConnectionUse::Handled, 600'000);
        Client client;
        client.send("GET /a HTTP/1.1\r\nhost: h.example\r\n\r\n");
        std::string received;
        for (int i = 0; i < 1'000 && received.empty(); ++i) {
            entry.run(2ms);
            received = client.read();
        }
        const std::string expected = isNeverRefused ? "HTTP/1.1 200" : "HTTP/1.1 503";
        EXPECT_TRUE(received.starts_with(expected)) << received;
    }
}

// Guards against a process that anyone can end, or use up, by what he sends to its ports.
TEST(HttpEntryFuzz, SurvivesHostileClients)
{
    Entry entry;
    for (const std::uint64_t seed : { 1, 2, 3, 4, 5, 6, 7, 8 }) {
        Generator generator(seed);
        std::vector<std::unique_ptr<Client>> clients;
        for (int i = 0; i < 400; ++i) {
            clients.push_back(std::make_unique<Client>());
            const std::string stream = generator.stream();
            const std::size_t cut = generator.number(stream.size());
            clients.back()->send(std::string_view(stream).substr(0, cut));
            entry.run(generator.number(3) == 0 ? 1ms : 0ms);
            clients.back()->send(std::string_view(stream).substr(cut));
            if (generator.number(1) == 0)
                clients[generator.number(clients.size() - 1)]->read();
            if (clients.size() > 60)
                clients.erase(clients.begin()
                              + static_cast<std::ptrdiff_t>(generator.number(clients.size() - 1)));
            EXPECT_LE(entry.memory().connectionCount(), 40U + 64U);
        }
        expectAnOrdinaryAnswer(entry, seed);
        EXPECT_LE(entry.memory().usedBytes(), 1'000'000U);
        EXPECT_LE(entry.memory().connectionCount(), 40U);
        clients.clear();
        entry.run(20ms);
    }
    EXPECT_LE(entry.memory().connectionCount(), 1U);
}

} // namespace
