#pragma once

#include <Hibiscus/Core>

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace Hibiscus {

/** \brief What the memory of a connection is used for. */
enum class ConnectionUse {
    Unused, ///< nothing has arrived yet
    Idle, ///< between two requests
    Headers, ///< a request has arrived in part, without the end of its headers
    Body, ///< a request has arrived in part, with all of its headers
    Handled, ///< a whole request waits for its response
    Answered ///< a response is being sent
};

/** \brief Reason for which a connection is closed. */
enum class CloseReason { Memory, Connections, HeaderSize, HeaderTime, BodyTime, AnswerTime };

const char *toString(CloseReason reason);

/** \brief Decides which of the connections of all servers of a process it can afford.
 *
 * Over the limit of memory the largest unfinished requests are given up first, then old or large
 * responses that are not read, unused connections, and small responses that were just sent. A whole
 * request keeps its connection, since its job may have begun; it is refused before that, while too
 * much memory is held by others.
 */
class MemoryBudget
{
public:
    using ConnectionId = std::uint64_t;
    /** \brief Must close the connection, and thereby call remove(). */
    using CloseHandler = std::function<void(CloseReason)>;

    struct Limits
    {
        std::size_t maxBytes = 0; ///< of all connections; 0: no limit
        std::size_t maxHandledBytes = 0; ///< of whole requests in progress; 0: half of maxBytes
        std::size_t maxConnections = 0; ///< accepted ones; 0: no limit
        /** \brief Largest headers of a request; those that callers may send are a small part. */
        std::size_t maxHeaderBytes = 65'536;
        /** \brief Time for the headers of a request, from their first byte: a multiple of the few
         * seconds that clients are given for them.
         */
        Duration headerTimeout = 10s;
        /** \brief Time for the body of a request: a multiple of the time after which clients send
         * a request again.
         */
        Duration bodyTimeout = 30s;
        Duration answerTimeout = 30s; ///< time in which a response must be read

        auto operator<=>(const Limits &other) const = default;
    };

    /** \brief Memory that a connection needs besides its request and response. */
    static constexpr std::size_t connectionBytes = 8'192;

    // Commands.
    void setLimits(const Limits &changed) { this->limits = changed; }
    /** \param isEssential whether the connection is closed for others only if no other is left. */
    ConnectionId add(bool isEssential, CloseHandler close);
    /** \brief Records that the connection \a id needs \a bytes for its request and response. */
    void update(ConnectionId id, ConnectionUse use, std::size_t bytes);
    void remove(ConnectionId id);
    /** \brief Closes connections while there are too many, or while all need too much memory. */
    void enforce();
    /** \brief Closes connections that are overdue; must be called every few tens of milliseconds.
     */
    void tick(TimePoint now);
    void countClosed(CloseReason reason) { ++this->closed[reason]; }
    void countRefused() { ++this->refused; }

    // Queries.
    /** \returns whether the memory suffices to handle another whole request. */
    bool mayHandle() const;
    const Limits &currentLimits() const { return this->limits; }
    std::size_t connectionCount() const { return this->connections.size(); }
    std::size_t usedBytes() const { return this->bytes; }
    /** \returns the number of connections that were closed by reason, and of whole requests that
     * were refused ("refused-requests").
     */
    std::map<std::string, std::uint64_t> counts() const;
    /** \returns what was closed or refused since the last report, by reason. */
    std::map<std::string, std::uint64_t> takeReport();
    /** \returns true once after much memory was given back, at most once a second. */
    bool takeRelease(TimePoint now);

private:
    struct Connection
    {
        CloseHandler close;
        bool isEssential = false;
        ConnectionUse use = ConnectionUse::Unused;
        std::size_t bytes = connectionBytes;
        std::uint64_t changedAt = 0; ///< number of the latest change of its use
        TimePoint seenAt; ///< time of the first tick since that change
    };

    bool isRecent(const Connection &connection) const;
    bool isJustAnswered(const Connection &connection) const;
    int rankOf(const Connection &connection) const;
    int memoryRankOf(const Connection &connection) const;
    void closeLargest();
    void closeLeastUsed();
    void close(const std::vector<ConnectionId> &ids, CloseReason reason);

    Limits limits;
    std::unordered_map<ConnectionId, Connection> connections;
    std::map<CloseReason, std::uint64_t> closed;
    std::uint64_t refused = 0;
    std::map<std::string, std::uint64_t> reported; ///< totals of the latest report
    std::size_t bytes = 0;
    /** \brief Part of the whole requests that wait for their responses, without connectionBytes. */
    std::size_t handledBytes = 0;
    std::size_t peakBytes = 0; ///< since the latest release
    ConnectionId lastId = 0;
    std::uint64_t changes = 0;
    TimePoint nextCheckAt;
    TimePoint nextReleaseAt;
    bool isClosing = false;
};

} // namespace Hibiscus
