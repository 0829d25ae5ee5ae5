#pragma once

#include "Hibiscus/src/Net/Address.h"
#include "Hibiscus/src/Net/EventLoop.h"

#include <map>

namespace Hibiscus {

/** \brief One header line. */
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &other) const = default;
};

/** \brief A request as a handler sees it. */
struct HttpRequest
{
    std::uint64_t token = 0; ///< names the request until it is answered or its caller is gone
    std::string method;
    std::string path; ///< without the query
    std::string body;
    std::string traceparent;
    std::string attempt; ///< header hibiscus-attempt
    std::string lease; ///< header hibiscus-lease
    std::string host; ///< without the port
    std::vector<HttpHeader> headers; ///< those of HttpServer::Options::keptHeaders that it has

    /** \returns the value of the kept header \a name; empty if the request has none. */
    std::string header(std::string_view name) const;

    auto operator<=>(const HttpRequest &other) const = default;
};

/** \brief An answer to a request. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;

    auto operator<=>(const HttpResponse &other) const = default;
};

/** \brief An HTTP server on the event loop; answers may come later than requests. */
class HttpServer
{
public:
    using Handler = std::function<void(const HttpRequest &)>;
    /** \brief Told the token of a request whose caller went before it was answered. */
    using DisconnectHandler = std::function<void(std::uint64_t)>;

    struct Options
    {
        Address address;
        std::size_t maxBodyBytes = 4'000'000;
        Duration idleTimeout = 75s; ///< longer than callers keep an unused connection
        std::vector<std::string> keptHeaders; ///< lower case
        DisconnectHandler onDisconnect; ///< may be empty
    };

    HttpServer(EventLoop &loop, const Options &options, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Commands.
    /** \returns Errc::InvalidAddress if the address cannot be listened on. */
    Result<void> listen();
    /** \brief Answers the request \a token; nothing happens if its caller is gone. */
    void respond(std::uint64_t token, const HttpResponse &response);
    /** \brief Accepts no more connections; requests in progress go on. */
    void stopListening();
    /** \brief Closes each connection after its next answer, and says so in the answer. */
    void closeAfterResponses() { this->closesAfterResponses = true; }

    // Queries.
    std::size_t openRequests() const { return this->requests.size(); }

private:
    struct RequestHandler
    {
        h2o_handler_t native; ///< first, so that its address is the handler's
        HttpServer *owner;
    };

    struct RequestGuard
    {
        HttpServer *owner;
        std::uint64_t token;
    };

    static int onRequest(h2o_handler_t *handler, h2o_req_t *request);
    static void onRequestGone(void *guard);
    static void onAccept(h2o_socket_t *listener, const char *error);
    void handle(h2o_req_t *request);

    EventLoop &loop;
    Options options;
    Handler handler;
    h2o_globalconf_t config;
    h2o_context_t context;
    h2o_accept_ctx_t acceptor;
    h2o_socket_t *listener = nullptr;
    std::map<std::uint64_t, h2o_req_t *> requests;
    std::uint64_t nextToken = 1;
    bool closesAfterResponses = false;
};

} // namespace Hibiscus
