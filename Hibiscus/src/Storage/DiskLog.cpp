#include "Hibiscus/src/Storage/DiskLog.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <string_view>
#include <sys/file.h>
#include <unistd.h>
#include <xxhash.h>

namespace Hibiscus {

namespace internal {

constexpr const char *logName = "log";
constexpr const char *nextLogName = "log.next";

/** \brief The first record of the file: the whole state. Each later one holds the writes of a sync.
 */
struct FirstRecord
{
    MemberId self;
    HardState hardState;
    Snapshot snapshot;
    std::vector<LogEntry> entries;

    HIBISCUS_FIELDS(self, hardState, snapshot, entries)
};

/** \brief The header before the payload of a record. */
struct RecordHeader
{
    std::uint64_t length = 0;
    std::uint64_t checksum = 0;
};

/** \returns the record with \a value as its payload. */
template<typename Value>
static Bytes encodeRecord(const Value &value)
{
    Bytes record(sizeof(RecordHeader), '\0');
    internal::BinaryWriter archive(record);
    archive(value);
    const std::string_view payload = std::string_view(record).substr(sizeof(RecordHeader));
    const RecordHeader header
        = { .length = payload.size(), .checksum = XXH3_64bits(payload.data(), payload.size()) };
    std::memcpy(record.data(), &header, sizeof(header));
    return record;
}

static tl::unexpected<std::error_code> lastError()
{
    return tl::unexpected<std::error_code>(std::error_code(errno, std::generic_category()));
}

static Result<void> writeAll(int file, const Bytes &bytes)
{
    std::size_t writtenBytes = 0;
    while (writtenBytes < bytes.size()) {
        const ssize_t count
            = ::write(file, bytes.data() + writtenBytes, bytes.size() - writtenBytes);
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0)
            return lastError();
        if (count == 0)
            return failure(Errc::Io);
        writtenBytes += static_cast<std::size_t>(count);
    }
    return {};
}

static Result<void> syncFolder(const std::filesystem::path &folder)
{
    const int handle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (handle < 0)
        return lastError();
    const Result<void> synced = ::fsync(handle) == 0 ? Result<void>() : lastError();
    ::close(handle);
    return synced;
}

/** \brief A file that has replaced the log; durable once its folder is synced. */
struct ReplacedLog
{
    int file = -1;
    std::uint64_t bytes = 0;
};

/** \brief Writes \a record to \a file, locks it, and renames it to the log. */
static Result<void> writeAndRename(int file, const Bytes &record,
                                   const std::filesystem::path &folder)
{
    if (const auto written = writeAll(file, record); !written)
        return written;
    const bool isReady = ::fsync(file) == 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0;
    if (!isReady)
        return lastError();
    const bool isRenamed
        = ::rename((folder / nextLogName).c_str(), (folder / logName).c_str()) == 0;
    return isRenamed ? Result<void>() : lastError();
}

/** \brief Writes \a state to a new file, which then atomically replaces the log. A failure leaves
 * the log as it was. The caller syncs the folder.
 */
static Result<ReplacedLog> replaceLog(const std::filesystem::path &folder,
                                      const DurableState &state)
{
    const std::filesystem::path next = folder / nextLogName;
    const int file
        = ::open(next.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
    if (file < 0)
        return lastError();
    const FirstRecord first = { .self = state.self,
                                .hardState = state.hardState,
                                .snapshot = state.snapshot,
                                .entries = state.entries };
    const Bytes record = encodeRecord(first);
    if (const auto replaced = writeAndRename(file, record, folder); !replaced) {
        ::close(file);
        ::unlink(next.c_str());
        return tl::unexpected<std::error_code>(replaced.error());
    }
    return ReplacedLog { .file = file, .bytes = record.size() };
}

/** \brief Reads the intact records of a file one by one, so that a long log is not held in memory
 * beside the state that it describes.
 */
class RecordReader
{
public:
    explicit RecordReader(const std::filesystem::path &path)
        : stream(path, std::ios::binary | std::ios::ate),
          fileBytes(this->stream ? static_cast<std::uint64_t>(this->stream.tellg()) : 0)
    { }

    /** \returns the payload of the next record, unless it is incomplete or damaged. */
    std::optional<Bytes> next()
    {
        RecordHeader header;
        std::array<char, sizeof(header)> bytes = {};
        this->stream.seekg(static_cast<std::streamoff>(this->readBytes));
        if (!this->stream.read(bytes.data(), bytes.size()))
            return std::nullopt;
        std::memcpy(&header, bytes.data(), sizeof(header));
        const std::uint64_t remaining = this->fileBytes - this->readBytes - sizeof(header);
        if (header.length == 0 || header.length > remaining)
            return std::nullopt;
        Bytes payload(header.length, '\0');
        const bool isIntact
            = this->stream.read(payload.data(), static_cast<std::streamsize>(payload.size()))
            && XXH3_64bits(payload.data(), payload.size()) == header.checksum;
        if (!isIntact)
            return std::nullopt;
        this->readBytes += sizeof(header) + payload.size();
        return payload;
    }

    /** \returns everything after the records that were read. */
    Bytes rest()
    {
        this->stream.clear();
        this->stream.seekg(static_cast<std::streamoff>(this->readBytes));
        return { std::istreambuf_iterator<char>(this->stream), std::istreambuf_iterator<char>() };
    }

    bool isOpen() const { return this->stream.is_open(); }
    /** \returns the length of the records that were read. */
    std::uint64_t intactBytes() const { return this->readBytes; }

private:
    std::ifstream stream;
    std::uint64_t fileBytes;
    std::uint64_t readBytes = 0;
};

/** \returns whether a complete and intact record begins at \a begin. */
static bool isRecordAt(std::string_view bytes, std::size_t begin)
{
    RecordHeader header;
    if (bytes.size() - begin < sizeof(header))
        return false;
    std::memcpy(&header, bytes.data() + begin, sizeof(header));
    const std::size_t payload = begin + sizeof(header);
    if (header.length == 0 || header.length > bytes.size() - payload)
        return false;
    return XXH3_64bits(bytes.data() + payload, header.length) == header.checksum;
}

// A record holds all that was written between two syncs, so only the last record can be torn,
// missing or filled with zeros after a power loss. Damage before an intact record has another
// cause.
static bool hasRecordAfter(std::string_view bytes, std::size_t begin)
{
    for (std::size_t offset = begin + 1; offset < bytes.size(); ++offset)
        if (isRecordAt(bytes, offset))
            return true;
    return false;
}

/** \brief The state that a log describes, and the length of its intact records. */
struct LogContent
{
    DurableState state;
    std::uint64_t intactBytes = 0;
};

static Result<DurableState> readFirstRecord(RecordReader &reader)
{
    const std::optional<Bytes> payload = reader.next();
    if (!payload)
        return failure(Errc::MalformedRecord);
    Result<FirstRecord> first = decode<FirstRecord>(*payload);
    if (!first)
        return failure(Errc::MalformedRecord);
    return DurableState { .self = first->self,
                          .hardState = first->hardState,
                          .snapshot = std::move(first->snapshot),
                          .entries = std::move(first->entries) };
}

static Result<LogContent> readLog(const std::filesystem::path &path)
{
    RecordReader reader(path);
    if (!reader.isOpen())
        return failure(Errc::Io);
    Result<DurableState> state = readFirstRecord(reader);
    if (!state)
        return tl::unexpected<std::error_code>(state.error());
    while (const std::optional<Bytes> payload = reader.next()) {
        const auto writes = decode<std::vector<StorageWrite>>(*payload);
        if (!writes)
            return failure(Errc::MalformedRecord);
        for (const StorageWrite &write : *writes)
            applyWrite(write, *state);
    }
    if (hasRecordAfter(reader.rest(), 0))
        return failure(Errc::MalformedRecord);
    return LogContent { .state = std::move(*state), .intactBytes = reader.intactBytes() };
}

} // namespace internal

Result<void> DiskLog::format(const std::filesystem::path &folder, const DurableState &state)
{
    std::error_code error;
    std::filesystem::create_directories(folder, error);
    if (error || exists(folder))
        return failure(Errc::Io);
    const Result<internal::ReplacedLog> created = internal::replaceLog(folder, state);
    if (!created)
        return tl::unexpected<std::error_code>(created.error());
    ::close(created->file);
    return internal::syncFolder(folder);
}

bool DiskLog::exists(const std::filesystem::path &folder)
{
    std::error_code error;
    return std::filesystem::exists(folder / internal::logName, error);
}

Result<DiskLog> DiskLog::open(const std::filesystem::path &folder)
{
    const std::filesystem::path path = folder / internal::logName;
    const int file = ::open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (file < 0)
        return failure(Errc::Io);
    if (::flock(file, LOCK_EX | LOCK_NB) != 0) {
        ::close(file);
        return failure(Errc::Io);
    }
    Result<internal::LogContent> content = internal::readLog(path);
    const bool isTruncated
        = content && ::ftruncate(file, static_cast<off_t>(content->intactBytes)) == 0;
    if (!isTruncated) {
        ::close(file);
        return tl::unexpected<std::error_code>(content ? make_error_code(Errc::Io)
                                                       : content.error());
    }
    return DiskLog(folder, file, content->intactBytes, std::move(content->state));
}

DiskLog::DiskLog(std::filesystem::path folder, int file, std::uint64_t bytes, DurableState state)
    : folder(std::move(folder)), file(file), durable(std::move(state)), syncedBytes(bytes)
{ }

DiskLog::DiskLog(DiskLog &&other) noexcept
    : folder(std::move(other.folder)), file(std::exchange(other.file, -1)),
      durable(std::move(other.durable)), syncedBytes(other.syncedBytes),
      unsyncedRecords(std::move(other.unsyncedRecords)), isTailIntact(other.isTailIntact),
      folderError(other.folderError)
{ }

DiskLog &DiskLog::operator=(DiskLog &&other) noexcept
{
    std::swap(this->folder, other.folder);
    std::swap(this->file, other.file);
    std::swap(this->durable, other.durable);
    std::swap(this->syncedBytes, other.syncedBytes);
    std::swap(this->unsyncedRecords, other.unsyncedRecords);
    std::swap(this->isTailIntact, other.isTailIntact);
    std::swap(this->folderError, other.folderError);
    return *this;
}

DiskLog::~DiskLog()
{
    if (this->file >= 0)
        ::close(this->file);
}

Result<void> DiskLog::write(const std::vector<StorageWrite> &writes)
{
    if (writes.empty())
        return {};
    const bool hasSnapshot = std::ranges::any_of(writes, [](const StorageWrite &write) {
        return std::holds_alternative<SaveSnapshot>(write);
    });
    if (hasSnapshot)
        return this->writeWithSnapshot(writes);
    if (const auto appended = this->append(internal::encodeRecord(writes)); !appended)
        return appended;
    for (const StorageWrite &write : writes)
        applyWrite(write, this->durable);
    return {};
}

Result<void> DiskLog::sync()
{
    if (this->folderError)
        return this->syncReplacement();
    if (this->unsyncedRecords.empty())
        return {};
    if (const auto restored = this->restoreTail(); !restored)
        return restored;
    if (::fdatasync(this->file) != 0) {
        this->isTailIntact = false;
        return internal::lastError();
    }
    this->syncedBytes += this->unsyncedRecords.size();
    this->unsyncedRecords.clear();
    return {};
}

// A snapshot shortens the log, so the file is rewritten with the remaining state.
Result<void> DiskLog::writeWithSnapshot(const std::vector<StorageWrite> &writes)
{
    DurableState next = this->durable;
    for (const StorageWrite &write : writes)
        applyWrite(write, next);
    if (const auto rewritten = this->rewrite(next); !rewritten)
        return rewritten;
    this->durable = std::move(next);
    return {};
}

Result<void> DiskLog::append(const Bytes &record)
{
    if (const auto restored = this->restoreTail(); !restored)
        return restored;
    if (const auto written = internal::writeAll(this->file, record); !written) {
        this->isTailIntact = false;
        return written;
    }
    this->unsyncedRecords += record;
    return {};
}

// A failed write leaves a part of its record. After a failed sync, the system may have dropped the
// records and report the next sync as successful. So all behind the synced part is written again.
Result<void> DiskLog::restoreTail()
{
    if (this->isTailIntact)
        return {};
    if (::ftruncate(this->file, static_cast<off_t>(this->syncedBytes)) != 0)
        return internal::lastError();
    if (const auto written = internal::writeAll(this->file, this->unsyncedRecords); !written)
        return written;
    this->isTailIntact = true;
    return {};
}

Result<void> DiskLog::rewrite(const DurableState &state)
{
    const Result<internal::ReplacedLog> next = internal::replaceLog(this->folder, state);
    if (!next)
        return tl::unexpected<std::error_code>(next.error());
    ::close(this->file);
    this->file = next->file;
    this->syncedBytes = next->bytes;
    this->unsyncedRecords.clear();
    this->isTailIntact = true;
    const Result<void> synced = internal::syncFolder(this->folder);
    this->folderError = synced ? std::error_code() : synced.error();
    return {};
}

Result<void> DiskLog::syncReplacement()
{
    if (const auto rewritten = this->rewrite(this->durable); !rewritten)
        return rewritten;
    if (this->folderError)
        return tl::unexpected<std::error_code>(this->folderError);
    return {};
}

} // namespace Hibiscus
