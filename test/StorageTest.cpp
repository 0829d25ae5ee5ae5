#include "test/support/TemporaryFolder.h"

#include <Hibiscus/Storage>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <optional>
#include <random>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>

using namespace Hibiscus;
using Fake::TemporaryFolder;

namespace {

/** \brief Which syncs of this program fail. */
struct SyncFaults
{
    std::optional<off_t> lostFrom; ///< syncs of files fail and lose the content behind this offset
    bool ofFolders = false;
};

SyncFaults syncFaults;

} // namespace

// These replace the functions of the C library in this program. After a failed sync, the kernel
// may drop what was written and report the next sync as successful.
extern "C" int fdatasync(int file)
{
    if (!syncFaults.lostFrom)
        return static_cast<int>(::syscall(SYS_fdatasync, file));
    struct stat status = {};
    ::fstat(file, &status);
    const bool isLost
        = ::ftruncate(file, *syncFaults.lostFrom) == 0 && ::ftruncate(file, status.st_size) == 0;
    errno = isLost ? EIO : EINVAL;
    return -1;
}

extern "C" int fsync(int file)
{
    struct stat status = {};
    ::fstat(file, &status);
    if (syncFaults.ofFolders && S_ISDIR(status.st_mode)) {
        errno = EIO;
        return -1;
    }
    return static_cast<int>(::syscall(SYS_fsync, file));
}

namespace {

/** \brief Limits the size of the files of this process, like a disk with little room. */
class FileSizeLimit
{
public:
    explicit FileSizeLimit(std::uintmax_t bytes)
    {
        ::signal(SIGXFSZ, SIG_IGN);
        ::getrlimit(RLIMIT_FSIZE, &this->previous);
        const rlimit limit = { .rlim_cur = bytes, .rlim_max = this->previous.rlim_max };
        ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ~FileSizeLimit() { ::setrlimit(RLIMIT_FSIZE, &this->previous); }
    FileSizeLimit(const FileSizeLimit &) = delete;
    FileSizeLimit &operator=(const FileSizeLimit &) = delete;

private:
    rlimit previous = {};
};

DurableState initialState()
{
    DurableState state;
    state.self = { .node = NodeName("j1"), .incarnation = 4 };
    state.snapshot.index = 1;
    state.snapshot.term = 1;
    return state;
}

StorageWrite randomWrite(std::mt19937_64 &random, const DurableState &state)
{
    std::uniform_int_distribution<int> anyKind(0, 9);
    const int kindIndex = anyKind(random);
    if (kindIndex == 0)
        return SaveHardState { .hardState = { .term = state.hardState.term + 1 } };
    const std::uint64_t last
        = state.entries.empty() ? state.snapshot.index : state.entries.back().index;
    if (kindIndex == 1 && !state.entries.empty())
        return SaveSnapshot {
            .snapshot = { .index = last, .term = state.entries.back().term, .state = "state" }
        };
    LogEntry entry = { .index = last + 1, .term = state.hardState.term };
    entry.body = Command { .bytes = std::string(random() % 200, 'c') };
    return SaveEntries { .entries = { entry } };
}

TEST(Storage, SyncedWritesAreReadBack)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        TemporaryFolder folder;
        std::mt19937_64 random(seed);
        ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
        DurableState expected = initialState();
        for (int restart = 0; restart < 4; ++restart) {
            auto log = DiskLog::open(folder.path);
            ASSERT_TRUE(log.has_value());
            ASSERT_EQ(log->state(), expected) << "seed " << seed;
            for (int i = 0; i < 40; ++i) {
                const StorageWrite write = randomWrite(random, log->state());
                applyWrite(write, expected);
                ASSERT_TRUE(log->write({ write }).has_value());
            }
            ASSERT_TRUE(log->sync().has_value());
        }
    }
}

TEST(Storage, TornTailIsDroppedAndDamageElsewhereIsAnError)
{
    TemporaryFolder folder;
    ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
    std::mt19937_64 random(5);
    DurableState beforeLast;
    {
        auto log = DiskLog::open(folder.path);
        for (int i = 0; i < 10; ++i) {
            beforeLast = log->state();
            const LogEntry entry = { .index = static_cast<std::uint64_t>(i) + 2,
                                     .term = 1,
                                     .body = Command { .bytes = std::string(50, 'x') } };
            ASSERT_TRUE(log->write({ SaveEntries { .entries = { entry } } }).has_value());
        }
    }
    const std::filesystem::path file = folder.path / "log";
    const auto size = std::filesystem::file_size(file);
    std::filesystem::resize_file(file, size - 7);
    {
        auto log = DiskLog::open(folder.path);
        ASSERT_TRUE(log.has_value());
        EXPECT_EQ(log->state(), beforeLast);
    }
    {
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(static_cast<std::streamoff>(size / 2));
        stream.put('!');
    }
    const auto damaged = DiskLog::open(folder.path);
    ASSERT_FALSE(damaged.has_value());
    EXPECT_EQ(damaged.error(), make_error_code(Errc::MalformedRecord));
}

// After a power loss, any part of the unsynced writes may be missing, including their beginning.
TEST(Storage, BatchLeftIncompleteByPowerLossIsDropped)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        TemporaryFolder folder;
        std::mt19937_64 random(seed);
        ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
        const std::filesystem::path file = folder.path / "log";
        DurableState syncedState;
        std::uintmax_t syncedSize = 0;
        {
            auto log = DiskLog::open(folder.path);
            for (std::uint64_t i = 0; i < 5; ++i) {
                syncedState = log->state();
                syncedSize = std::filesystem::file_size(file);
                std::vector<StorageWrite> batch;
                for (std::uint64_t j = 0; j < 3; ++j) {
                    const LogEntry entry = { .index = 2 + 3 * i + j,
                                             .term = 1,
                                             .body = Command { .bytes = std::string(90, 'y') } };
                    batch.emplace_back(SaveEntries { .entries = { entry } });
                }
                ASSERT_TRUE(log->write(batch).has_value());
                if (i < 4) {
                    ASSERT_TRUE(log->sync().has_value());
                }
            }
        }
        const std::uintmax_t size = std::filesystem::file_size(file);
        std::uniform_int_distribution<std::uintmax_t> offset(syncedSize, size - 1);
        std::uintmax_t begin = offset(random);
        std::uintmax_t end = offset(random);
        if (begin > end)
            std::swap(begin, end);
        std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
        stream.seekp(static_cast<std::streamoff>(begin));
        stream << std::string(end - begin + 1, '\0');
        stream.close();
        const auto log = DiskLog::open(folder.path);
        ASSERT_TRUE(log.has_value()) << "seed " << seed;
        const bool isLastBatchIntact = log->state() != syncedState;
        EXPECT_TRUE(!isLastBatchIntact || log->state().entries.size() == 15U) << "seed " << seed;
    }
}

TEST(Storage, FolderCanBeFormattedOnceAndOpenedOnce)
{
    TemporaryFolder folder;
    EXPECT_FALSE(DiskLog::open(folder.path).has_value());
    ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
    EXPECT_FALSE(DiskLog::format(folder.path, initialState()).has_value());
    const auto log = DiskLog::open(folder.path);
    EXPECT_FALSE(DiskLog::open(folder.path).has_value());
}

SaveEntries commandEntry(std::uint64_t index, std::size_t size)
{
    return {
        .entries
        = { { .index = index, .term = 1, .body = Command { .bytes = std::string(size, 'x') } } }
    };
}

SaveSnapshot snapshotAt(std::uint64_t index, std::size_t size)
{
    return { .snapshot = { .index = index, .term = 1, .state = std::string(size, 's') } };
}

// Guards against a record left half-written by a full disk, behind which later acknowledged records
// make the file unreadable.
TEST(Storage, RecordsWrittenAfterAFullDiskAreReadBack)
{
    for (std::uintmax_t room = 0; room < 120; room += 7) {
        TemporaryFolder folder;
        ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
        auto log = DiskLog::open(folder.path);
        ASSERT_TRUE(log->write({ commandEntry(2, 100) }).has_value());
        ASSERT_TRUE(log->sync().has_value());
        const DurableState synced = log->state();
        const std::uintmax_t syncedSize = std::filesystem::file_size(folder.path / "log");
        for (int attempt = 0; attempt < 2; ++attempt) {
            bool isWritten = false;
            {
                const FileSizeLimit limit(syncedSize + room);
                isWritten = log->write({ commandEntry(3, 100) }).has_value();
            }
            ASSERT_FALSE(isWritten);
            EXPECT_EQ(log->state(), synced);
        }
        ASSERT_TRUE(log->write({ commandEntry(3, 50) }).has_value());
        ASSERT_TRUE(log->sync().has_value());
        ASSERT_TRUE(log->write({ commandEntry(4, 100) }).has_value());
        ASSERT_TRUE(log->sync().has_value());
        const DurableState expected = log->state();
        log = failure(Errc::Io);
        log = DiskLog::open(folder.path);
        ASSERT_TRUE(log.has_value()) << "room " << room;
        EXPECT_EQ(log->state(), expected);
        EXPECT_EQ(log->state().entries.size(), 3U);
    }
}

// Guards against a log that is lost, or cannot be used, because the disk has no room for a
// snapshot.
TEST(Storage, LogIsUsableAfterASnapshotFoundNoRoom)
{
    TemporaryFolder folder;
    ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
    auto log = DiskLog::open(folder.path);
    ASSERT_TRUE(log->write({ commandEntry(2, 100) }).has_value());
    ASSERT_TRUE(log->sync().has_value());
    const DurableState synced = log->state();
    bool isSaved = false;
    bool isAppended = false;
    {
        const FileSizeLimit limit(2'000);
        isSaved = log->write({ commandEntry(3, 100), snapshotAt(3, 5'000) }).has_value();
        EXPECT_EQ(log->state(), synced);
        EXPECT_FALSE(std::filesystem::exists(folder.path / "log.next"));
        isAppended = log->write({ commandEntry(3, 100) }).has_value() && log->sync().has_value();
    }
    EXPECT_FALSE(isSaved);
    EXPECT_TRUE(isAppended);
    ASSERT_TRUE(log->write({ snapshotAt(3, 5'000) }).has_value());
    ASSERT_TRUE(log->write({ commandEntry(4, 100) }).has_value());
    ASSERT_TRUE(log->sync().has_value());
    const DurableState expected = log->state();
    log = failure(Errc::Io);
    log = DiskLog::open(folder.path);
    ASSERT_TRUE(log.has_value());
    EXPECT_EQ(log->state(), expected);
    EXPECT_EQ(log->state().snapshot.index, 3U);
    EXPECT_EQ(log->state().entries.size(), 1U);
}

// Guards against records that are acknowledged although a failed sync dropped them: the next sync
// succeeds without them.
TEST(Storage, RecordsOfAFailedSyncAreWrittenAgain)
{
    for (const bool writesMore : { false, true }) {
        TemporaryFolder folder;
        ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
        auto log = DiskLog::open(folder.path);
        ASSERT_TRUE(log->write({ commandEntry(2, 100) }).has_value());
        ASSERT_TRUE(log->sync().has_value());
        const auto syncedSize = static_cast<off_t>(std::filesystem::file_size(folder.path / "log"));
        ASSERT_TRUE(log->write({ commandEntry(3, 100) }).has_value());
        syncFaults.lostFrom = syncedSize;
        EXPECT_FALSE(log->sync().has_value());
        EXPECT_FALSE(log->sync().has_value());
        syncFaults.lostFrom.reset();
        EXPECT_TRUE(log->hasUnsyncedWrites());
        if (writesMore) {
            ASSERT_TRUE(log->write({ commandEntry(4, 100) }).has_value());
        }
        ASSERT_TRUE(log->sync().has_value());
        EXPECT_FALSE(log->hasUnsyncedWrites());
        const DurableState expected = log->state();
        log = failure(Errc::Io);
        log = DiskLog::open(folder.path);
        ASSERT_TRUE(log.has_value());
        EXPECT_EQ(log->state(), expected);
        EXPECT_EQ(log->state().entries.size(), writesMore ? 3U : 2U);
    }
}

// Guards against acknowledged records in a file that no longer has a name: the snapshot's file had
// replaced it when the sync of the folder failed.
TEST(Storage, RecordsWrittenAfterAFailedSyncOfTheFolderAreReadBack)
{
    TemporaryFolder folder;
    ASSERT_TRUE(DiskLog::format(folder.path, initialState()).has_value());
    auto log = DiskLog::open(folder.path);
    ASSERT_TRUE(log->write({ commandEntry(2, 100), commandEntry(3, 100) }).has_value());
    ASSERT_TRUE(log->sync().has_value());
    syncFaults.ofFolders = true;
    const bool isStored = log->write({ snapshotAt(2, 100) }).has_value() && log->sync().has_value();
    syncFaults.ofFolders = false;
    EXPECT_FALSE(isStored);
    EXPECT_TRUE(log->hasUnsyncedWrites());
    ASSERT_TRUE(log->write({ commandEntry(4, 100) }).has_value());
    ASSERT_TRUE(log->sync().has_value());
    const DurableState expected = log->state();
    EXPECT_EQ(expected.snapshot.index, 2U);
    EXPECT_FALSE(DiskLog::open(folder.path).has_value()) << "the file is locked";
    log = failure(Errc::Io);
    log = DiskLog::open(folder.path);
    ASSERT_TRUE(log.has_value());
    EXPECT_EQ(log->state(), expected);
    EXPECT_EQ(log->state().entries.size(), 2U);
}

} // namespace
