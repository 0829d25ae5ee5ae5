#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"

#include <map>
#include <memory>

namespace Hibiscus {

/** \brief HTTP header field. */
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &other) const = default;
};

/** \brief HTTP request as a handler receives it. */
struct HttpRequest
{
    std::uint64_t token = 0; ///< identifies the request until its response or disconnection
    std::string method;
    std::string path; ///< without the query
    std::string body;
    std::string traceparent;
    std::string attempt; ///< value of the header hibiscus-attempt
    std::string lease; ///< value of the header hibiscus-lease
    std::string host; ///< without the port
    std::vector<HttpHeader> headers; ///< the ones listed in HttpServer::Options::keptHeaders

    /** \returns the value of the kept header \a name, or an empty string. */
    std::string header(std::string_view name) const;

    auto operator<=>(const HttpRequest &other) const = default;
};

/** \brief Response to an HttpRequest. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;

    auto operator<=>(const HttpResponse &other) const = default;
};

/** \brief HTTP server on the event loop; a handler may respond at any later time. */
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &)>;
    /** \brief Receives the token of a request whose connection ended before the response.
     *
     * A client that only closes its sending side counts as gone: until something is sent to it,
     * this can't be told from a closed connection.
     */
    using DisconnectHandler = std::function<void(std::uint64_t)>;

    static constexpr std::size_t defaultMaxBodyBytes = 4'000'000;

    struct Options
    {
        Address address;
        std::size_t maxBodyBytes = defaultMaxBodyBytes; ///< larger ones are refused unread
        /** \brief Limit of the memory for bodies that have arrived in part; 0: none. */
        std::size_t maxOpenBodyBytes = 0;
        Duration idleTimeout = 75s; ///< longer than clients keep an unused connection open
        std::vector<std::string> keptHeaders; ///< names of the headers to pass on, in lower case
        DisconnectHandler onDisconnect; ///< may be empty
    };

    HttpServer(EventLoop &loop, const Options &options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Commands.
    /** \returns Errc::InvalidAddress if the address cannot be bound. */
    Result<void> listen();
    /** \brief Sends the response to the request \a token, unless its connection has ended. */
    void respond(std::uint64_t token, const HttpResponse &response);
    /** \brief Stops accepting connections; requests in progress continue. */
    void stopListening();
    /** \brief Closes each connection after its next response, and announces it there. */
    void closeAfterResponses() { this->closesAfterResponses = true; }
    /** \brief Closes the connections with the largest open bodies while all of them are over
     * Options::maxOpenBodyBytes; must be called every few tens of milliseconds.
     */
    void closeExcessBodies();

    // Queries.
    std::size_t openRequests() const { return this->requests.size(); }
    /** \returns the number of bodies that were refused for their size or that of all. */
    std::uint64_t refusedBodies() const;

private:
    struct RequestHandler
    {
        /** \brief Must be the first member: h2o passes its address as that of the handler. */
        h2o_handler_t native;
        HttpServer *owner;
    };

    /** \brief Allocated in a request's memory pool, so that h2o disposes of it with the request. */
    struct RequestGuard
    {
        HttpServer *owner;
        std::uint64_t token;
    };

    struct OpenRequest
    {
        h2o_req_t *native;
        int socketFd;
    };

    /** \brief Connection whose open body counts. */
    struct Connection
    {
        HttpServer *owner = nullptr;
        h2o_socket_t *socket = nullptr;
        bool isClosing = false;
    };

    static void onConnectionClosed(void *connection);
    void countBodiesOf(h2o_socket_t *socket);
    static int onRequest(h2o_handler_t *handler, h2o_req_t *request);
    static void onRequestDisposed(void *memory);
    static void onAccept(h2o_socket_t *listener, const char *error);
    static void onDepartures(h2o_socket_t *watcher, const char *error);
    void handle(h2o_req_t *request);
    bool listenForDepartures();
    void watch(const OpenRequest &request, std::uint64_t token);
    void unwatch(const OpenRequest &request);
    void endDeparted(std::uint64_t token);

    EventLoop &loop;
    Options options;
    Handler handler;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t acceptor;
    h2o_socket_t *listener = nullptr;
    /** \brief Epoll instance of the connections of open requests, or -1 without onDisconnect. */
    int watcherFd = -1;
    h2o_socket_t *watcher = nullptr; ///< owns watcherFd
    std::map<std::uint64_t, OpenRequest> requests;
    std::map<h2o_socket_t *, std::unique_ptr<Connection>> connections; ///< if their bodies count
    std::uint64_t excessBodies = 0; ///< open bodies that were given up
    std::uint64_t nextToken = 1;
    bool closesAfterResponses = false;
};

} // namespace Hibiscus
