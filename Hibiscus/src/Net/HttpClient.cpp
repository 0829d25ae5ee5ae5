#include "Hibiscus/src/Net/HttpClient.h"

#include "Hibiscus/src/Net/ReceiveBuffer.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Hibiscus {

namespace internal {

/** \brief Limit of the headers of a response; those of targets and nodes are a small part. */
constexpr std::size_t maxHeadBytes = 65'536;
/** \brief Interval of checks for unused pools. */
constexpr Duration poolCheckInterval = 1s;

static std::string serializeRequest(const HttpCall &call)
{
    std::string bytes = call.method + " " + call.path + " HTTP/1.1\r\n";
    bytes += "host: " + call.address.host + ":" + std::to_string(call.address.port) + "\r\n";
    bytes += "content-length: " + std::to_string(call.body.size()) + "\r\n";
    if (call.usesNewConnection)
        bytes += "connection: close\r\n";
    for (const HttpHeader &header : call.headers)
        bytes += header.name + ": " + header.value + "\r\n";
    return bytes + "\r\n" + call.body;
}

} // namespace internal

HttpClient::Pool::Pool(EventLoop &loop, const Address &server, const Options &options)
{
    sockaddr_in address = server.native();
    h2o_socketpool_init_by_address(&this->native, reinterpret_cast<sockaddr *>(&address),
                                   sizeof(address), 0, options.connectionsPerServer);
    h2o_socketpool_set_timeout(&this->native, loop.native(),
                               static_cast<std::uint64_t>(toMilliseconds(options.idleTimeout)));
}

HttpClient::Pool::~Pool()
{
    h2o_socketpool_dispose(&this->native);
}

HttpClient::HttpClient(EventLoop &loop, const Options &options)
    : loop(loop), options(options), queue(h2o_multithread_create_queue(loop.native()))
{
    const auto idle = static_cast<std::uint64_t>(toMilliseconds(options.idleTimeout));
    h2o_timeout_init(loop.native(), &this->ioTimeout, idle);
    h2o_multithread_register_receiver(this->queue, &this->receiver, h2o_hostinfo_getaddr_receiver);
    this->context = {};
    this->context.loop = loop.native();
    this->context.getaddr_receiver = &this->receiver;
    this->context.io_timeout = &this->ioTimeout;
}

HttpClient::~HttpClient()
{
    for (const auto &[number, exchange] : this->exchanges)
        if (exchange->native != nullptr)
            h2o_http1client_cancel(exchange->native);
}

std::uint64_t HttpClient::send(const HttpCall &call, ResultHandler onResult)
{
    const std::uint64_t number = this->nextNumber++;
    auto owned = std::make_unique<Exchange>();
    Exchange *exchange = owned.get();
    exchange->owner = this;
    exchange->number = number;
    exchange->requestBytes = internal::serializeRequest(call);
    exchange->requestBuffer
        = h2o_iovec_init(exchange->requestBytes.data(), exchange->requestBytes.size());
    exchange->onResult = std::move(onResult);
    if (call.timeout > Duration())
        this->deadlines.emplace(this->loop.now() + call.timeout, number);
    this->exchanges[number] = std::move(owned);
    if (!call.usesNewConnection)
        exchange->pool = this->poolFor(call.address);
    if (!exchange->pool) {
        const h2o_iovec_t host = h2o_iovec_init(call.address.host.data(), call.address.host.size());
        h2o_http1client_connect(&exchange->native, exchange, &this->context, host,
                                call.address.port, 0, onConnect);
    } else {
        h2o_http1client_connect_with_pool(&exchange->native, exchange, &this->context,
                                          &exchange->pool->native, onConnect);
    }
    return number;
}

void HttpClient::cancel(std::uint64_t number)
{
    const auto found = this->exchanges.find(number);
    if (found == this->exchanges.end())
        return;
    if (found->second->native != nullptr)
        h2o_http1client_cancel(found->second->native);
    this->release(*found->second);
    this->exchanges.erase(found);
}

void HttpClient::tick(TimePoint now)
{
    this->failOverdueCalls(now);
    this->failExcessiveHeads();
    this->removeUnusedPools(now);
}

void HttpClient::failOverdueCalls(TimePoint now)
{
    while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
        const std::uint64_t number = this->deadlines.begin()->second;
        this->deadlines.erase(this->deadlines.begin());
        const auto found = this->exchanges.find(number);
        if (found == this->exchanges.end())
            continue;
        Exchange *exchange = found->second.get();
        if (exchange->native != nullptr)
            h2o_http1client_cancel(exchange->native);
        finish(exchange, exchange->wasSent ? HttpCallState::Interrupted : HttpCallState::NotSent);
    }
}

// h2o calls back only once all headers have arrived.
void HttpClient::failExcessiveHeads()
{
    std::vector<Exchange *> excessive;
    for (const auto &[number, exchange] : this->exchanges) {
        const h2o_http1client_t *native = exchange->native;
        if (!exchange->hasHead && native != nullptr && native->sock != nullptr
            && native->sock->input->size > internal::maxHeadBytes)
            excessive.push_back(exchange.get());
    }
    for (Exchange *exchange : excessive) {
        h2o_http1client_cancel(exchange->native);
        finish(exchange, HttpCallState::TooLarge);
    }
}

// Each pool has a timer of its own, which the event loop visits in each iteration.
void HttpClient::removeUnusedPools(TimePoint now)
{
    if (now < this->poolsCheckedAt + internal::poolCheckInterval)
        return;
    this->poolsCheckedAt = now;
    std::erase_if(this->pools, [&](const auto &item) {
        return !isInUse(item.second) && now >= item.second->usedAt + this->options.idleTimeout;
    });
}

void HttpClient::removeOldestPool()
{
    auto oldest = this->pools.end();
    for (auto item = this->pools.begin(); item != this->pools.end(); ++item)
        if (!isInUse(item->second)
            && (oldest == this->pools.end() || item->second->usedAt < oldest->second->usedAt))
            oldest = item;
    if (oldest != this->pools.end())
        this->pools.erase(oldest);
}

bool HttpClient::wasSent(std::uint64_t number) const
{
    const auto found = this->exchanges.find(number);
    return found != this->exchanges.end() && found->second->wasSent;
}

h2o_http1client_head_cb HttpClient::onConnect(h2o_http1client_t *client, const char *error,
                                              h2o_iovec_t **buffers, std::size_t *bufferCount,
                                              int *methodIsHead)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    if (error != nullptr || internal::limitReceiveBuffer(h2o_socket_get_fd(client->sock))) {
        finish(exchange, HttpCallState::NotSent);
        return nullptr;
    }
    exchange->wasSent = true;
    *buffers = &exchange->requestBuffer;
    *bufferCount = 1;
    *methodIsHead = 0;
    return onHead;
}

h2o_http1client_body_cb HttpClient::onHead(h2o_http1client_t *client, const char *error, int,
                                           int status, h2o_iovec_t, h2o_header_t *, std::size_t,
                                           int)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    const bool hasEnded = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !hasEnded) {
        finish(exchange, HttpCallState::Interrupted);
        return nullptr;
    }
    exchange->hasHead = true;
    exchange->result.status = status;
    if (hasEnded) {
        finish(exchange, HttpCallState::Answered);
        return nullptr;
    }
    return onBody;
}

int HttpClient::onBody(h2o_http1client_t *client, const char *error)
{
    auto *exchange = static_cast<Exchange *>(client->data);
    const bool hasEnded = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !hasEnded) {
        finish(exchange, HttpCallState::Interrupted);
        return -1;
    }
    h2o_buffer_t *&input = client->sock->input;
    if (!exchange->owner->acceptsBody(*exchange, input->size)) {
        finish(exchange, HttpCallState::TooLarge);
        return -1;
    }
    exchange->owner->openBodyBytes += input->size;
    exchange->result.body.append(input->bytes, input->size);
    h2o_buffer_consume(&input, input->size);
    if (hasEnded)
        finish(exchange, HttpCallState::Answered);
    return 0;
}

bool HttpClient::acceptsBody(const Exchange &exchange, std::size_t bytes) const
{
    return exchange.result.body.size() + bytes <= this->options.maxBodyBytes
        && this->openBodyBytes + bytes <= this->options.maxOpenBodyBytes;
}

void HttpClient::release(const Exchange &exchange)
{
    this->openBodyBytes -= exchange.result.body.size();
}

// h2o frees its client when these callbacks return, so only the Exchange is destroyed here.
void HttpClient::finish(Exchange *exchange, HttpCallState state)
{
    HttpClient *owner = exchange->owner;
    owner->release(*exchange);
    HttpCallResult result = std::move(exchange->result);
    result.state = state;
    if (state == HttpCallState::TooLarge)
        result.body = {};
    const ResultHandler onResult = std::move(exchange->onResult);
    // h2o returns the connection to its pool after its callback.
    const std::shared_ptr<Pool> pool = std::move(exchange->pool);
    owner->exchanges.erase(exchange->number);
    // The handler may start another call, so it runs outside of h2o's callback.
    owner->loop.post([onResult, result, pool] { onResult(result); });
}

std::shared_ptr<HttpClient::Pool> HttpClient::poolFor(const Address &address)
{
    auto found = this->pools.find(address);
    if (found == this->pools.end()) {
        if (this->pools.size() >= this->options.maxServers)
            this->removeOldestPool();
        if (this->pools.size() >= this->options.maxServers)
            return nullptr;
        found = this->pools
                    .emplace(address, std::make_shared<Pool>(this->loop, address, this->options))
                    .first;
    }
    found->second->usedAt = this->loop.now();
    return found->second;
}

} // namespace Hibiscus
