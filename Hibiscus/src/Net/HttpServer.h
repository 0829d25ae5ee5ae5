#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"

#include <Hibiscus/Telemetry>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

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

/** \brief HTTP server on the event loop; a handler may respond at any later time.
 *
 * Its connections are paid out of the MemoryBudget of the loop, which may close them.
 */
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

    /** \brief Limit for servers that need no bodies, as for readiness and metrics. */
    static constexpr std::size_t smallBodyBytes = 4'096;

    struct Options
    {
        Address address;
        std::size_t maxBodyBytes = defaultMaxBodyBytes; ///< larger ones are refused unread
        /** \brief Limit of the memory for bodies that have arrived in part; 0: none. */
        std::size_t maxOpenBodyBytes = 0;
        /** \brief Whether requests and connections are those of the system itself: they are served
         * also while the MemoryBudget refuses others.
         */
        bool isEssential = false;
        /** \brief Whether requests are served also while the MemoryBudget refuses others, as checks
         * of the process must be; its connections are closed like others.
         */
        bool isNeverRefused = false;
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
    /** \brief Replaces Options::maxBodyBytes for the requests that follow. */
    void setMaxBodyBytes(std::size_t bytes) { this->config.max_request_entity_size = bytes; }
    /** \brief Sets a limit of the headers for this server alone; 0: that of the MemoryBudget. */
    void setMaxHeaderBytes(std::size_t bytes) { this->maxHeaderBytes = bytes; }
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
        MemoryBudget::ConnectionId connection;
    };

    struct OpenRequest
    {
        h2o_req_t *native;
        int socketFd;
    };

    struct Connection
    {
        HttpServer *owner = nullptr;
        h2o_socket_t *socket = nullptr;
        MemoryBudget::ConnectionId id = 0;
        h2o_socket_cb read = nullptr; ///< h2o's own callback for what has arrived
        h2o_socket_cb write = nullptr; ///< h2o's own callback for an interim response
        std::size_t searchedBytes = 0; ///< part of the input without the end of the headers
        bool hasHeaders = false; ///< the end of the headers of a request has arrived
        bool hasServed = false;
        bool isHandled = false; ///< a whole request waits for its response
        bool isAnswered = false; ///< the response is being sent
        bool isClosing = false;
    };

    /** \brief Timer that runs after the events of the current iteration. */
    struct Resumption
    {
        /** \brief Must be the first member: h2o passes its address as that of the timer. */
        h2o_timeout_entry_t native;
        HttpServer *owner;
    };

    static void onConnectionClosed(void *connection);
    static void onRead(h2o_socket_t *socket, const char *error);
    static void onInterimWritten(h2o_socket_t *socket, const char *error);
    static void onResume(h2o_timeout_entry_t *timer);
    static Connection *connectionOf(const h2o_req_t *request);
    void addConnection(h2o_socket_t *socket);
    void resume(Connection &connection);
    void updateUse(Connection &connection);
    static void expectInterim(Connection &connection);
    bool acceptsHeaders(Connection &connection);
    void close(Connection &connection, CloseReason reason);
    void refuseUnhandled(h2o_req_t *request);
    void awaitNextRequest(MemoryBudget::ConnectionId id);
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
    std::unordered_map<MemoryBudget::ConnectionId, std::unique_ptr<Connection>> connections;
    Resumption resumption = {};
    std::vector<MemoryBudget::ConnectionId> finished; ///< connections whose request has ended
    std::uint64_t excessBodies = 0; ///< open bodies that were given up
    std::uint64_t nextToken = 1;
    std::size_t maxHeaderBytes = 0; ///< 0: that of the MemoryBudget
    bool closesAfterResponses = false;
    LineLimit departureLines;
};

} // namespace Hibiscus
