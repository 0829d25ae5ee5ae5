#pragma once

#include "Hibiscus/src/Net/HttpServer.h"

#include <memory>

namespace Hibiscus {

/** \brief How far a call got. */
enum class HttpCallState : std::uint8_t {
    Answered, ///< HttpCallResult::status and body are set
    NotSent, ///< no connection: the other side never saw the call
    Interrupted ///< sent, and no whole answer came
};

/** \brief The end of a call. */
struct HttpCallResult
{
    HttpCallState state = HttpCallState::Interrupted;
    int status = 0;
    std::string body;

    auto operator<=>(const HttpCallResult &other) const = default;
};

/** \brief A call to an HTTP server. */
struct HttpCall
{
    std::string method = "GET";
    Address address;
    std::string path = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    bool usesNewConnection = false; ///< instead of one kept open by earlier calls
    Duration timeout {}; ///< until the call is given up; 0: the client's idle timeout alone

    auto operator<=>(const HttpCall &other) const = default;
};

/** \brief Calls HTTP servers from the event loop, over connections that it keeps open. */
class HttpClient
{
public:
    using Done = std::function<void(const HttpCallResult &)>;

    struct Options
    {
        std::size_t connectionsPerServer = 64;
        Duration idleTimeout = 60s; ///< of a connection, and of a call without any answer
    };

    HttpClient(EventLoop &loop, const Options &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Commands.
    /** \brief Makes \a call; \a done is called once, unless the call is cancelled.
     * \returns the number that cancel() takes.
     */
    std::uint64_t send(const HttpCall &call, Done done);
    /** \brief Closes the connection of a call; its outcome does not matter any more. */
    void cancel(std::uint64_t number);
    /** \brief Ends the calls whose time is over; to be called every few milliseconds. */
    void failOverdueCalls(TimePoint now);

private:
    struct Exchange
    {
        HttpClient *owner = nullptr;
        std::uint64_t number = 0;
        std::string bytes;
        h2o_iovec_t buffer = {};
        HttpCallResult result;
        Done done;
        h2o_http1client_t *native = nullptr;
        bool wasSent = false;
    };

    static h2o_http1client_head_cb onConnect(h2o_http1client_t *client, const char *error,
                                             h2o_iovec_t **buffers, std::size_t *bufferCount,
                                             int *methodIsHead);
    static h2o_http1client_body_cb onHead(h2o_http1client_t *client, const char *error,
                                          int minorVersion, int status, h2o_iovec_t message,
                                          h2o_header_t *headers, std::size_t headerCount,
                                          int receivedLength);
    static int onBody(h2o_http1client_t *client, const char *error);
    static void finish(Exchange *exchange, HttpCallState state);

    h2o_socketpool_t *poolFor(const Address &address);

    EventLoop &loop;
    Options options;
    h2o_timeout_t timeout;
    h2o_timeout_t poolTimeout;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_http1client_ctx_t context;
    std::map<Address, std::unique_ptr<h2o_socketpool_t>> pools;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
    std::multimap<TimePoint, std::uint64_t> deadlines;
    std::uint64_t nextNumber = 1;
};

} // namespace Hibiscus
