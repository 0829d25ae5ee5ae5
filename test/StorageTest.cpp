#include <Hibiscus/Storage>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <random>
#include <unistd.h>

using namespace Hibiscus;

namespace {

/** \brief A temporary folder that is removed at the end of a test. */
class TemporaryFolder
{
public:
    TemporaryFolder()
        : path(std::filesystem::temp_directory_path()
               / ("hibiscus-storage-" + std::to_string(::getpid()) + "-"
                  + std::to_string(++createdCount)))
    {
        std::filesystem::remove_all(this->path);
    }
    ~TemporaryFolder() { std::filesystem::remove_all(this->path); }

    std::filesystem::path path;

private:
    static inline int createdCount = 0;
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

} // namespace
