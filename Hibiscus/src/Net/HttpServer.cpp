#include "Hibiscus/src/Net/HttpServer.h"

#include "Hibiscus/src/Net/ReceiveBuffer.h"

#include <Hibiscus/Telemetry>

#include <algorithm>
#include <array>
#include <optional>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <system_error>
#include <unistd.h>

namespace Hibiscus {

namespace internal {

constexpr int listenBacklog = 1024;

static std::string headerOf(const h2o_req_t *request, std::string_view name)
{
    const ssize_t found = h2o_find_header_by_str(&request->headers, name.data(), name.size(), -1);
    if (found < 0)
        return {};
    const h2o_iovec_t &value = request->headers.entries[found].value;
    return { value.base, value.len };
}

static std::string textOf(const h2o_iovec_t &text)
{
    return { text.base, text.len };
}

static std::string hostOf(const h2o_req_t *request)
{
    const std::string authority = textOf(request->authority);
    return authority.substr(0, authority.find(':'));
}

/** \brief Capacity from which the buffer of an idle connection is freed: several ordinary requests.
 */
constexpr std::size_t maxIdleBufferBytes = 16'384;

/** \returns the response that tells why a request is not handled, or an empty one. */
static std::string_view refusalFor(CloseReason reason)
{
    switch (reason) {
    case CloseReason::HeaderSize:
        return "HTTP/1.1 431 Error\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CloseReason::HeaderTime:
    case CloseReason::BodyTime:
        return "HTTP/1.1 408 Error\r\nconnection: close\r\ncontent-length: 0\r\n\r\n";
    case CloseReason::Memory:
    case CloseReason::Connections:
        return "HTTP/1.1 503 Error\r\nconnection: close\r\nretry-after: 1\r\n"
               "content-length: 0\r\n\r\n";
    case CloseReason::AnswerTime:
        break;
    }
    return {};
}

// h2o doubles a buffer that is full, so at least half of it has been written; chunks are decoded in
// their place, so what is left of them may be a small part of that.
/** \returns the memory that \a input takes. */
static std::size_t memoryOf(const h2o_buffer_t *input)
{
    return std::max(input->size, input->capacity / 2);
}

/** \returns the size of the headers in \a input, with the empty line at their end, or nothing. The
 * first \a searched bytes are known to have no such line.
 */
static std::optional<std::size_t> headerBytes(std::string_view input, std::size_t searched)
{
    constexpr std::size_t overlap = 3; // an empty line may have arrived in part
    std::size_t at = searched < overlap ? 0 : searched - overlap;
    while ((at = input.find('\n', at)) != std::string_view::npos) {
        ++at;
        if (input.substr(at, 1) == "\n")
            return at + 1;
        if (input.substr(at, 2) == "\r\n")
            return at + 2;
    }
    return std::nullopt;
}

/** \returns whether the client has closed, or reset, the connection \a socketFd. */
static bool isClosedByClient(int socketFd)
{
    pollfd socket = { .fd = socketFd, .events = POLLRDHUP, .revents = 0 };
    return ::poll(&socket, 1, 0) > 0;
}

} // namespace internal

std::string HttpRequest::header(std::string_view name) const
{
    for (const HttpHeader &kept : this->headers)
        if (kept.name == name)
            return kept.value;
    return {};
}

HttpServer::HttpServer(EventLoop &loop, const Options &options, Handler handler)
    : loop(loop), options(options), handler(std::move(handler))
{
    h2o_config_init(&this->config);
    this->config.max_request_entity_size = options.maxBodyBytes;
    // Bodies over HTTP/2 are not in the buffers of their connections, and can't be accounted for.
    // Its requests share a connection, which can be watched for one request only.
    this->config.http1.upgrade_to_http2 = 0;
    this->config.http1.req_timeout
        = static_cast<std::uint64_t>(toMilliseconds(options.idleTimeout));
    this->config.server_name = h2o_iovec_init(H2O_STRLIT("hibiscusstream"));
    h2o_hostconf_t *host
        = h2o_config_register_host(&this->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
    h2o_pathconf_t *path = h2o_config_register_path(host, "/", 0);
    h2o_handler_t *native = h2o_create_handler(path, sizeof(RequestHandler));
    native->on_req = onRequest;
    reinterpret_cast<RequestHandler *>(native)->owner = this;
    h2o_context_init(&this->context, loop.native(), &this->config);
    this->acceptor = {};
    this->acceptor.ctx = &this->context;
    this->acceptor.hosts = this->config.hosts;
    this->resumption.native.cb = onResume;
    this->resumption.owner = this;
}

HttpServer::~HttpServer()
{
    for (const auto &[id, connection] : this->connections) {
        connection->socket->on_close = {};
        if (connection->socket->_cb.read == onRead)
            connection->socket->_cb.read = connection->read;
        if (connection->socket->_cb.write == onInterimWritten)
            connection->socket->_cb.write = connection->write;
        this->loop.memory().remove(id);
    }
    if (h2o_timeout_is_linked(&this->resumption.native) != 0)
        h2o_timeout_unlink(&this->resumption.native);
    this->stopListening();
    if (this->watcher != nullptr)
        h2o_socket_close(std::exchange(this->watcher, nullptr));
}

Result<void> HttpServer::listen()
{
    const sockaddr_in address = this->options.address.native();
    const int socketFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enable = 1;
    const bool listening = socketFd >= 0
        && ::setsockopt(socketFd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable)) == 0
        && !internal::limitReceiveBuffer(socketFd)
        && ::bind(socketFd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) == 0
        && ::listen(socketFd, internal::listenBacklog) == 0 && this->listenForDepartures();
    if (!listening) {
        if (socketFd >= 0)
            ::close(socketFd);
        return failure(Errc::InvalidAddress);
    }
    this->listener
        = h2o_evloop_socket_create(this->loop.native(), socketFd, H2O_SOCKET_FLAG_DONT_READ);
    this->listener->data = this;
    h2o_socket_read_start(this->listener, onAccept);
    return {};
}

void HttpServer::respond(std::uint64_t token, const HttpResponse &response)
{
    const auto found = this->requests.find(token);
    if (found == this->requests.end())
        return;
    this->unwatch(found->second);
    h2o_req_t *request = found->second.native;
    this->requests.erase(found);
    Connection *connection = connectionOf(request);
    connection->isHandled = false;
    connection->isAnswered = true;
    this->loop.memory().update(connection->id, ConnectionUse::Answered,
                               internal::memoryOf(connection->socket->input)
                                   + response.body.size());
    request->res.status = response.status;
    if (this->closesAfterResponses)
        request->http1_is_persistent = 0;
    request->res.reason = response.status < 400 ? "OK" : "Error";
    const h2o_iovec_t contentType
        = h2o_strdup(&request->pool, response.contentType.data(), response.contentType.size());
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                   contentType.base, contentType.len);
    for (const HttpHeader &header : response.headers) {
        const h2o_iovec_t name = h2o_strdup(&request->pool, header.name.data(), header.name.size());
        const h2o_iovec_t value
            = h2o_strdup(&request->pool, header.value.data(), header.value.size());
        h2o_add_header_by_str(&request->pool, &request->res.headers, name.base, name.len, 0,
                              nullptr, value.base, value.len);
    }
    h2o_send_inline(request, response.body.data(), response.body.size());
}

void HttpServer::stopListening()
{
    if (this->listener == nullptr)
        return;
    h2o_socket_close(this->listener);
    this->listener = nullptr;
    h2o_context_request_shutdown(&this->context);
}

// h2o reads whole requests into the buffers of their connections before it calls a handler. So the
// callback that it registers for what has arrived is replaced by one that accounts for it.
void HttpServer::addConnection(h2o_socket_t *socket)
{
    auto added = std::make_unique<Connection>();
    Connection *connection = added.get();
    connection->owner = this;
    connection->socket = socket;
    const MemoryBudget::ConnectionId id = this->loop.memory().add(
        this->options.isEssential,
        [this, connection](CloseReason reason) { this->close(*connection, reason); });
    connection->id = id;
    this->connections[id] = std::move(added);
    socket->on_close.cb = onConnectionClosed;
    socket->on_close.data = connection;
    h2o_accept(&this->acceptor, socket);
    if (const auto found = this->connections.find(id); found != this->connections.end())
        this->resume(*found->second);
}

void HttpServer::onConnectionClosed(void *connection)
{
    const auto *closed = static_cast<const Connection *>(connection);
    HttpServer *owner = closed->owner;
    const MemoryBudget::ConnectionId id = closed->id;
    owner->loop.memory().remove(id);
    owner->connections.erase(id);
}

void HttpServer::onRead(h2o_socket_t *socket, const char *error)
{
    auto *connection = static_cast<Connection *>(socket->on_close.data);
    HttpServer *owner = connection->owner;
    const MemoryBudget::ConnectionId id = connection->id;
    if (error == nullptr && !owner->acceptsHeaders(*connection)) {
        owner->loop.memory().countClosed(CloseReason::HeaderSize);
        owner->close(*connection, CloseReason::HeaderSize);
        return;
    }
    connection->read(socket, error);
    const auto found = owner->connections.find(id);
    if (found == owner->connections.end())
        return;
    owner->updateUse(*found->second);
    owner->loop.memory().enforce();
}

// h2o has sent "100 Continue", and reads the body with a callback of its own.
void HttpServer::onInterimWritten(h2o_socket_t *socket, const char *error)
{
    const auto *connection = static_cast<Connection *>(socket->on_close.data);
    HttpServer *owner = connection->owner;
    const MemoryBudget::ConnectionId id = connection->id;
    connection->write(socket, error);
    const auto found = owner->connections.find(id);
    if (found == owner->connections.end())
        return;
    owner->resume(*found->second);
    owner->loop.memory().enforce();
}

// The response has been sent, and h2o reads the next request of the connection.
void HttpServer::awaitNextRequest(MemoryBudget::ConnectionId id)
{
    this->finished.push_back(id);
    if (h2o_timeout_is_linked(&this->resumption.native) == 0)
        h2o_timeout_link(this->loop.native(), &this->context.zero_timeout,
                         &this->resumption.native);
}

void HttpServer::onResume(h2o_timeout_entry_t *timer)
{
    HttpServer *owner = reinterpret_cast<Resumption *>(timer)->owner;
    for (const MemoryBudget::ConnectionId id : std::exchange(owner->finished, {}))
        if (const auto found = owner->connections.find(id); found != owner->connections.end())
            owner->resume(*found->second);
}

// h2o keeps the buffer of a connection at the size of its largest request.
void HttpServer::resume(Connection &connection)
{
    h2o_socket_t *socket = connection.socket;
    if (socket->_cb.read != nullptr && socket->_cb.read != onRead) {
        connection.read = socket->_cb.read;
        socket->_cb.read = onRead;
    }
    const bool isIdle = socket->_cb.read != nullptr && socket->input->size == 0;
    if (isIdle && socket->input->capacity > internal::maxIdleBufferBytes) {
        h2o_buffer_dispose(&socket->input);
        h2o_buffer_init(&socket->input, &h2o_socket_buffer_prototype);
    }
    this->updateUse(connection);
}

// Where h2o reads nothing, it may have written "100 Continue", also for a request that was
// pipelined behind another one and so didn't pass onRead.
void HttpServer::updateUse(Connection &connection)
{
    MemoryBudget &memory = this->loop.memory();
    h2o_socket_t *socket = connection.socket;
    if (connection.isHandled) {
        memory.update(connection.id, ConnectionUse::Handled, internal::memoryOf(socket->input));
        return;
    }
    if (connection.isAnswered)
        return;
    const bool isReading = socket->_cb.read != nullptr;
    if (isReading && socket->input->size == 0) {
        memory.update(connection.id,
                      connection.hasServed ? ConnectionUse::Idle : ConnectionUse::Unused, 0);
        return;
    }
    const bool hasHeaders
        = connection.hasHeaders || (this->acceptsHeaders(connection) && connection.hasHeaders);
    if (!isReading && !hasHeaders)
        return;
    memory.update(connection.id, hasHeaders ? ConnectionUse::Body : ConnectionUse::Headers,
                  internal::memoryOf(socket->input));
    if (hasHeaders)
        expectInterim(connection);
}

/** \brief Takes over the callback of an interim response that is being written, if one is. */
void HttpServer::expectInterim(Connection &connection)
{
    h2o_socket_t *socket = connection.socket;
    if (socket->_cb.write == nullptr || socket->_cb.write == onInterimWritten)
        return;
    connection.write = socket->_cb.write;
    socket->_cb.write = onInterimWritten;
}

/** \returns false if the headers that have arrived are over the limit. */
bool HttpServer::acceptsHeaders(Connection &connection)
{
    if (connection.hasHeaders)
        return true;
    const h2o_buffer_t *input = connection.socket->input;
    const auto size
        = internal::headerBytes({ input->bytes, input->size }, connection.searchedBytes);
    connection.searchedBytes = input->size;
    connection.hasHeaders = size.has_value();
    const std::size_t limit = this->maxHeaderBytes > 0
        ? this->maxHeaderBytes
        : this->loop.memory().currentLimits().maxHeaderBytes;
    return size.value_or(input->size) <= limit;
}

// h2o closes a connection whose callback receives an error. One that it writes to can't be closed
// that way, and is shut down. What the system still holds of an answer that isn't read is dropped
// only if its memory or time is the reason.
void HttpServer::close(Connection &connection, CloseReason reason)
{
    connection.isClosing = true;
    h2o_socket_t *socket = connection.socket;
    const int socketFd = h2o_socket_get_fd(socket);
    if (socket->_cb.read == onRead) {
        const std::string_view refusal = internal::refusalFor(reason);
        if (socket->input->size > 0 && !refusal.empty())
            ::send(socketFd, refusal.data(), refusal.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        connection.read(socket, h2o_socket_error_closed);
        return;
    }
    const linger reset = { .l_onoff = 1, .l_linger = 0 };
    if (reason == CloseReason::Memory || reason == CloseReason::AnswerTime)
        ::setsockopt(socketFd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    ::shutdown(socketFd, SHUT_RDWR);
}

HttpServer::Connection *HttpServer::connectionOf(const h2o_req_t *request)
{
    const h2o_socket_t *socket = request->conn->callbacks->get_socket(request->conn);
    return static_cast<Connection *>(socket->on_close.data);
}

// Nothing of the request was handled, so the client may send it again.
void HttpServer::refuseUnhandled(h2o_req_t *request)
{
    Connection *connection = connectionOf(request);
    connection->isHandled = false;
    connection->isAnswered = true;
    this->loop.memory().countRefused();
    this->loop.memory().update(connection->id, ConnectionUse::Answered,
                               internal::memoryOf(connection->socket->input));
    request->res.status = 503;
    request->res.reason = "Error";
    h2o_add_header(&request->pool, &request->res.headers, H2O_TOKEN_RETRY_AFTER, nullptr,
                   H2O_STRLIT("1"));
    h2o_send_inline(request, "", 0);
}

// The largest bodies are given up first, so that small messages get through while somebody sends
// large ones. h2o closes a connection once it has seen its end.
void HttpServer::closeExcessBodies()
{
    std::size_t total = 0;
    std::vector<Connection *> open;
    if (this->options.maxOpenBodyBytes == 0)
        return;
    for (const auto &[id, connection] : this->connections) {
        if (connection->isClosing)
            continue;
        total += connection->socket->input->size;
        open.push_back(connection.get());
    }
    if (total <= this->options.maxOpenBodyBytes)
        return;
    std::ranges::sort(open, std::ranges::greater(),
                      [](const Connection *connection) { return connection->socket->input->size; });
    for (Connection *connection : open) {
        if (total <= this->options.maxOpenBodyBytes)
            return;
        total -= connection->socket->input->size;
        connection->isClosing = true;
        ++this->excessBodies;
        ::shutdown(h2o_socket_get_fd(connection->socket), SHUT_RDWR);
    }
}

std::uint64_t HttpServer::refusedBodies() const
{
    return this->context.emitted_error_status[H2O_STATUS_ERROR_413] + this->excessBodies;
}

int HttpServer::onRequest(h2o_handler_t *handler, h2o_req_t *request)
{
    reinterpret_cast<RequestHandler *>(handler)->owner->handle(request);
    return 0;
}

void HttpServer::onRequestDisposed(void *memory)
{
    const auto *guard = static_cast<RequestGuard *>(memory);
    HttpServer *owner = guard->owner;
    if (const auto served = owner->connections.find(guard->connection);
        served != owner->connections.end()) {
        served->second->isHandled = false;
        served->second->isAnswered = false;
        served->second->hasServed = true;
        owner->awaitNextRequest(guard->connection);
    }
    const auto found = owner->requests.find(guard->token);
    if (found == owner->requests.end())
        return;
    owner->unwatch(found->second);
    owner->requests.erase(found);
    if (owner->options.onDisconnect)
        owner->options.onDisconnect(guard->token);
}

void HttpServer::onAccept(h2o_socket_t *listener, const char *error)
{
    if (error != nullptr)
        return;
    auto *server = static_cast<HttpServer *>(listener->data);
    // The bound per call keeps a burst of connections from delaying other events.
    constexpr int maxAccepts = 64;
    for (int i = 0; i < maxAccepts; ++i) {
        h2o_socket_t *socket = h2o_evloop_socket_accept(listener);
        if (socket == nullptr)
            break;
        server->addConnection(socket);
    }
    server->loop.memory().enforce();
}

void HttpServer::handle(h2o_req_t *request)
{
    Connection *connection = connectionOf(request);
    connection->hasHeaders = false;
    connection->searchedBytes = 0;
    connection->isHandled = true;
    auto *guard = static_cast<RequestGuard *>(
        h2o_mem_alloc_shared(&request->pool, sizeof(RequestGuard), onRequestDisposed));
    *guard = { .owner = this, .token = this->nextToken++, .connection = connection->id };
    const bool isExempt = this->options.isEssential || this->options.isNeverRefused;
    if (!isExempt && !this->loop.memory().mayHandle()) {
        this->refuseUnhandled(request);
        return;
    }
    this->loop.memory().update(connection->id, ConnectionUse::Handled,
                               internal::memoryOf(connection->socket->input));
    HttpRequest message;
    message.token = guard->token;
    message.method = internal::textOf(request->method);
    message.path = internal::textOf(request->path_normalized);
    message.body = request->entity.base == nullptr ? "" : internal::textOf(request->entity);
    message.traceparent = internal::headerOf(request, "traceparent");
    message.attempt = internal::headerOf(request, "hibiscus-attempt");
    message.lease = internal::headerOf(request, "hibiscus-lease");
    message.host = internal::hostOf(request);
    for (const std::string &name : this->options.keptHeaders) {
        std::string value = internal::headerOf(request, name);
        if (!value.empty())
            message.headers.push_back({ .name = name, .value = std::move(value) });
    }
    const OpenRequest open
        = { .native = request,
            .socketFd = h2o_socket_get_fd(request->conn->callbacks->get_socket(request->conn)) };
    this->requests[message.token] = open;
    if (this->watcher == nullptr) {
        this->handler(message);
        return;
    }
    // The request may have waited in the socket while this process was stalled.
    if (internal::isClosedByClient(open.socketFd)) {
        if (this->departureLines.take(this->loop.now()))
            logEvent("request-of-departed-client",
                     { { "path", message.path },
                       { "omitted", std::to_string(this->departureLines.takeOmitted()) } });
        this->endDeparted(message.token);
        return;
    }
    this->watch(open, message.token);
    this->handler(message);
}

// h2o doesn't read from a connection while a request of it is in progress, and so doesn't notice
// that the client closes or resets it. The epoll instance is itself an event source of the loop.
bool HttpServer::listenForDepartures()
{
    if (!this->options.onDisconnect)
        return true;
    this->watcherFd = ::epoll_create1(EPOLL_CLOEXEC);
    if (this->watcherFd < 0)
        return false;
    this->watcher
        = h2o_evloop_socket_create(this->loop.native(), this->watcherFd, H2O_SOCKET_FLAG_DONT_READ);
    this->watcher->data = this;
    h2o_socket_read_start(this->watcher, onDepartures);
    return true;
}

void HttpServer::watch(const OpenRequest &request, std::uint64_t token)
{
    epoll_event event = { .events = EPOLLRDHUP | EPOLLONESHOT, .data = { .u64 = token } };
    if (::epoll_ctl(this->watcherFd, EPOLL_CTL_ADD, request.socketFd, &event) != 0)
        logError("connection-not-watched",
                 { { "reason", std::error_code(errno, std::generic_category()).message() } });
}

void HttpServer::unwatch(const OpenRequest &request)
{
    if (this->watcher != nullptr)
        ::epoll_ctl(this->watcherFd, EPOLL_CTL_DEL, request.socketFd, nullptr);
}

void HttpServer::onDepartures(h2o_socket_t *watcher, const char *error)
{
    if (error != nullptr)
        return;
    auto *server = static_cast<HttpServer *>(watcher->data);
    constexpr int maxEvents = 64;
    std::array<epoll_event, maxEvents> events = {};
    int count = 0;
    do {
        count = ::epoll_wait(server->watcherFd, events.data(), maxEvents, 0);
        for (int i = 0; i < count; ++i)
            server->endDeparted(events[i].data.u64);
    } while (count == maxEvents);
}

// Shutting the socket down first keeps a client that closed only its sending side from receiving
// the response. h2o closes the connection when it can't be sent.
void HttpServer::endDeparted(std::uint64_t token)
{
    const auto found = this->requests.find(token);
    if (found == this->requests.end())
        return;
    const OpenRequest request = found->second;
    this->unwatch(request);
    this->requests.erase(found);
    ::shutdown(request.socketFd, SHUT_RDWR);
    request.native->http1_is_persistent = 0;
    request.native->res.status = 504;
    request.native->res.reason = "Error";
    h2o_send_inline(request.native, "", 0);
    this->options.onDisconnect(token);
}

} // namespace Hibiscus
