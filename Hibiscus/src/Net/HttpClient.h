#pragma once

#include "Hibiscus/src/Net/HttpServer.h"

#include <memory>

namespace Hibiscus {

/** \brief Outcome of an HTTP call. */
enum class HttpCallState : std::uint8_t {
    Answered, ///< a complete response arrived: HttpCallResult::status and body are set
    NotSent, ///< no connection: the server never received the call
    Interrupted, ///< sent, but no complete response arrived
    TooLarge ///< sent, but the response is over the limits of the client
};

/** \brief Result of an HTTP call. */
struct HttpCallResult
{
    HttpCallState state = HttpCallState::Interrupted;
    int status = 0;
    std::string body;

    auto operator<=>(const HttpCallResult &other) const = default;
};

/** \brief Request to an HTTP server. */
struct HttpCall
{
    std::string method = "GET";
    Address address;
    std::string path = "/";
    std::vector<HttpHeader> headers;
    std::string body;
    bool usesNewConnection = false; ///< opens a connection instead of reusing a pooled one
    Duration timeout {}; ///< limit for the whole call; 0: only the client's idle timeout applies

    auto operator<=>(const HttpCall &other) const = default;
};

/** \brief HTTP client on the event loop, with a pool of open connections for each server. */
class HttpClient
{
public:
    using ResultHandler = std::function<void(const HttpCallResult &)>;

    struct Options
    {
        std::size_t connectionsPerServer = 64;
        Duration idleTimeout = 60s; ///< for a pooled connection, and for a call without a response
        std::size_t maxBodyBytes = 24'000'000; ///< limit of the body of a response
        std::size_t maxOpenBodyBytes = 96'000'000; ///< of all bodies that have arrived in part
        /** \brief Limit of the servers with a pool. For another one the pool that has not been used
         * for longest is removed; if all are in use, its connections are not kept.
         */
        std::size_t maxServers = 1'024;
    };

    HttpClient(EventLoop &loop, const Options &options);
    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    // Commands.
    /** \brief Sends \a call; \a onResult is called once, unless the call is cancelled.
     * \returns the number of the call, for cancel().
     */
    std::uint64_t send(const HttpCall &call, ResultHandler onResult);
    /** \brief Aborts a call in progress: closes its connection and reports no result. */
    void cancel(std::uint64_t number);
    /** \brief Fails the calls whose timeout has expired, or whose response has headers without an
     * end, and removes unused pools; must be called every few milliseconds.
     */
    void tick(TimePoint now);

    // Queries.
    /** \returns whether the call \a number is in progress and has a connection. */
    bool wasSent(std::uint64_t number) const;
    /** \returns the number of servers with a pool of connections. */
    std::size_t serverCount() const { return this->pools.size(); }

private:
    /** \brief Open connections to one server; calls in progress share it. */
    struct Pool
    {
        Pool(EventLoop &loop, const Address &server, const Options &options);
        ~Pool();
        Pool(const Pool &) = delete;
        Pool &operator=(const Pool &) = delete;

        h2o_socketpool_t native = {};
        TimePoint usedAt; ///< time of the latest call
    };

    struct Exchange
    {
        HttpClient *owner = nullptr;
        std::uint64_t number = 0;
        std::string requestBytes;
        h2o_iovec_t requestBuffer = {}; ///< refers to \a requestBytes
        HttpCallResult result;
        ResultHandler onResult;
        h2o_http1client_t *native = nullptr;
        std::shared_ptr<Pool> pool; ///< null if the call uses a new connection
        bool wasSent = false;
        bool hasHead = false; ///< the headers of the response have arrived
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

    /** \returns whether a call is in progress over \a pool. */
    static bool isInUse(const std::shared_ptr<Pool> &pool) { return pool.use_count() > 1; }
    /** \returns whether \a bytes more of the response are within the limits. */
    bool acceptsBody(const Exchange &exchange, std::size_t bytes) const;
    void release(const Exchange &exchange);
    void failOverdueCalls(TimePoint now);
    void failExcessiveHeads();
    void removeUnusedPools(TimePoint now);
    /** \returns the pool of a server, or null if there are too many. */
    std::shared_ptr<Pool> poolFor(const Address &address);
    /** \brief Removes the pool that has not been used for longest, unless all are in use. */
    void removeOldestPool();

    EventLoop &loop;
    Options options;
    h2o_timeout_t ioTimeout;
    h2o_multithread_queue_t *queue;
    h2o_multithread_receiver_t receiver;
    h2o_http1client_ctx_t context;
    std::map<Address, std::shared_ptr<Pool>> pools;
    std::size_t openBodyBytes = 0; ///< of the responses that have arrived in part
    TimePoint poolsCheckedAt;
    std::map<std::uint64_t, std::unique_ptr<Exchange>> exchanges;
    std::multimap<TimePoint, std::uint64_t> deadlines;
    std::uint64_t nextNumber = 1;
};

} // namespace Hibiscus
