#include "Hibiscus/src/Net/MemoryBudget.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace Hibiscus {

namespace internal {

/** \brief Interval of checks for overdue connections, small against their timeouts. */
constexpr Duration overdueInterval = 500ms;
/** \brief Decrease that counts as a release: some hundreds of ordinary requests. */
constexpr std::size_t releaseBytes = 4'000'000;
/** \brief Size from which the end of a single request counts as a release as well: what was made
 * from it may take many times its size.
 */
constexpr std::size_t largeRequestBytes = 1'000'000;
/** \brief Minimum interval of releases, whose cost grows with the memory in use. */
constexpr Duration releaseInterval = 1s;

/** \brief One part of this many is given back at an excess, so that the next connections or bytes
 * don't each need a search.
 */
constexpr std::size_t parts = 8;

/** \brief Size from which a response counts as large: many times an ordinary one. */
constexpr std::size_t largeAnswerBytes = 65'536;

/** \returns what remains of a limit after an excess. */
static std::size_t remainder(std::size_t limit)
{
    return limit - limit / parts;
}

static bool isUnfinished(ConnectionUse use)
{
    return use == ConnectionUse::Headers || use == ConnectionUse::Body;
}

} // namespace internal

const char *toString(CloseReason reason)
{
    switch (reason) {
    case CloseReason::Memory:
        return "memory";
    case CloseReason::Connections:
        return "connections";
    case CloseReason::HeaderSize:
        return "header-size";
    case CloseReason::HeaderTime:
        return "header-time";
    case CloseReason::BodyTime:
        return "body-time";
    case CloseReason::AnswerTime:
        return "answer-time";
    }
    HIBISCUS_INVARIANT(false, "unknown reason");
    return "";
}

MemoryBudget::ConnectionId MemoryBudget::add(bool isEssential, CloseHandler close)
{
    const ConnectionId id = ++this->lastId;
    Connection &connection = this->connections[id];
    connection.close = std::move(close);
    connection.isEssential = isEssential;
    connection.changedAt = ++this->changes;
    this->bytes += connection.bytes;
    return id;
}

void MemoryBudget::update(ConnectionId id, ConnectionUse use, std::size_t bytes)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    Connection &connection = found->second;
    const std::size_t changed = connectionBytes + bytes;
    if (connection.use == ConnectionUse::Handled)
        this->handledBytes -= connection.bytes - connectionBytes;
    if (use == ConnectionUse::Handled)
        this->handledBytes += bytes;
    this->bytes += changed;
    this->bytes -= connection.bytes;
    this->peakBytes = std::max(this->peakBytes, this->bytes);
    if (connection.bytes >= internal::largeRequestBytes && changed < internal::largeRequestBytes)
        this->peakBytes = std::max(this->peakBytes, this->bytes + internal::releaseBytes);
    connection.bytes = changed;
    if (connection.use == use)
        return;
    connection.use = use;
    connection.changedAt = ++this->changes;
    connection.seenAt = {};
}

void MemoryBudget::remove(ConnectionId id)
{
    const auto found = this->connections.find(id);
    if (found == this->connections.end())
        return;
    if (found->second.use == ConnectionUse::Handled)
        this->handledBytes -= found->second.bytes - connectionBytes;
    this->bytes -= found->second.bytes;
    if (found->second.bytes >= internal::largeRequestBytes)
        this->peakBytes = std::max(this->peakBytes, this->bytes + internal::releaseBytes);
    this->connections.erase(found);
}

// Closing a connection may free or send something, and so lead here again.
void MemoryBudget::enforce()
{
    if (this->isClosing)
        return;
    this->isClosing = true;
    if (this->limits.maxBytes > 0 && this->bytes > this->limits.maxBytes)
        this->closeLargest();
    if (this->limits.maxConnections > 0 && this->connections.size() > this->limits.maxConnections)
        this->closeLeastUsed();
    this->isClosing = false;
}

// An essential connection comes after all others, however large its request is.
void MemoryBudget::closeLargest()
{
    using Candidate = std::tuple<bool, int, std::size_t, std::uint64_t, ConnectionId>;
    std::vector<Candidate> candidates;
    for (const auto &[id, connection] : this->connections)
        if (connection.use != ConnectionUse::Handled)
            candidates.emplace_back(!connection.isEssential, this->memoryRankOf(connection),
                                    connection.bytes, this->changes - connection.changedAt, id);
    std::ranges::sort(candidates, std::greater());
    const std::size_t target = internal::remainder(this->limits.maxBytes);
    std::size_t rest = this->bytes;
    std::vector<ConnectionId> excess;
    for (const auto &[isOrdinary, rank, bytes, age, id] : candidates) {
        if (rest <= target)
            break;
        rest -= bytes;
        excess.push_back(id);
    }
    this->close(excess, CloseReason::Memory);
}

bool MemoryBudget::isRecent(const Connection &connection) const
{
    return this->changes - connection.changedAt < this->limits.maxConnections / internal::parts;
}

// Its client is about to read the answer. A burst makes many changes in a short time, so that an
// answer is old only when a check for overdue connections has seen it, too.
bool MemoryBudget::isJustAnswered(const Connection &connection) const
{
    return connection.use == ConnectionUse::Answered
        && (connection.seenAt == TimePoint() || this->isRecent(connection));
}

// Connections whose latest change is long ago come first; a client that has just connected is given
// the time for a request. An idle connection is that of a client that was served.
int MemoryBudget::rankOf(const Connection &connection) const
{
    if (connection.isEssential)
        return 3;
    if (this->isRecent(connection) || this->isJustAnswered(connection))
        return 2;
    return connection.use == ConnectionUse::Idle ? 1 : 0;
}

/** \returns the rank for which a connection is closed for memory, the highest first. */
int MemoryBudget::memoryRankOf(const Connection &connection) const
{
    if (internal::isUnfinished(connection.use))
        return 3;
    if (connection.use != ConnectionUse::Answered)
        return 1;
    const bool isLarge = connection.bytes >= internal::largeAnswerBytes;
    return isLarge || !this->isJustAnswered(connection) ? 2 : 0;
}

void MemoryBudget::closeLeastUsed()
{
    using Candidate = std::tuple<int, std::uint64_t, ConnectionId>;
    std::vector<Candidate> candidates;
    for (const auto &[id, connection] : this->connections)
        if (connection.use != ConnectionUse::Handled)
            candidates.emplace_back(this->rankOf(connection), connection.changedAt, id);
    std::ranges::sort(candidates);
    const std::size_t target = internal::remainder(this->limits.maxConnections);
    const std::size_t count = std::min(this->connections.size() - target, candidates.size());
    std::vector<ConnectionId> excess;
    for (std::size_t i = 0; i < count; ++i)
        excess.push_back(std::get<2>(candidates[i]));
    this->close(excess, CloseReason::Connections);
}

void MemoryBudget::close(const std::vector<ConnectionId> &ids, CloseReason reason)
{
    for (const ConnectionId id : ids) {
        const auto found = this->connections.find(id);
        if (found == this->connections.end())
            continue;
        this->countClosed(reason);
        const CloseHandler handler = found->second.close;
        handler(reason);
    }
}

void MemoryBudget::tick(TimePoint now)
{
    this->enforce();
    if (now < this->nextCheckAt)
        return;
    this->nextCheckAt = now + internal::overdueInterval;
    std::map<CloseReason, std::vector<ConnectionId>> overdue;
    for (auto &[id, connection] : this->connections) {
        if (connection.seenAt == TimePoint())
            connection.seenAt = now;
        const Duration age = now - connection.seenAt;
        if (connection.use == ConnectionUse::Headers && age >= this->limits.headerTimeout)
            overdue[CloseReason::HeaderTime].push_back(id);
        if (connection.use == ConnectionUse::Body && age >= this->limits.bodyTimeout)
            overdue[CloseReason::BodyTime].push_back(id);
        if (connection.use == ConnectionUse::Answered && age >= this->limits.answerTimeout)
            overdue[CloseReason::AnswerTime].push_back(id);
    }
    for (const auto &[reason, ids] : overdue)
        this->close(ids, reason);
}

// The rest, as a rule the other half, remains for requests that are still arriving, and for
// connections by themselves, which their own limit bounds: a burst of small requests meets no
// other one.
bool MemoryBudget::mayHandle() const
{
    const std::size_t limit = this->limits.maxHandledBytes > 0 ? this->limits.maxHandledBytes
                                                               : this->limits.maxBytes / 2;
    return this->limits.maxBytes == 0 || this->handledBytes < limit;
}

std::map<std::string, std::uint64_t> MemoryBudget::counts() const
{
    std::map<std::string, std::uint64_t> totals;
    for (const auto &[reason, count] : this->closed)
        totals[toString(reason)] = count;
    if (this->refused > 0)
        totals["refused-requests"] = this->refused;
    return totals;
}

std::map<std::string, std::uint64_t> MemoryBudget::takeReport()
{
    std::map<std::string, std::uint64_t> changes;
    for (const auto &[reason, count] : this->counts())
        if (count > this->reported[reason])
            changes[reason] = count - std::exchange(this->reported[reason], count);
    return changes;
}

bool MemoryBudget::takeRelease(TimePoint now)
{
    if (now < this->nextReleaseAt || this->peakBytes < this->bytes + internal::releaseBytes)
        return false;
    this->peakBytes = this->bytes;
    this->nextReleaseAt = now + internal::releaseInterval;
    return true;
}

} // namespace Hibiscus
