#include "test/support/TemporaryFolder.h"

#include <Hibiscus/Rules>
#include <Hibiscus/Storage>
#include <gtest/gtest.h>

#include <malloc.h>

using namespace Hibiscus;

namespace {

constexpr std::size_t memoryOfVm = 256UL << 20U;
constexpr std::size_t diskOfVm = 128UL << 20U;

std::size_t heapBytes()
{
    const struct mallinfo2 info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
}

/** \brief The only member of a control group, with its log on disk. */
class Registry
{
public:
    Registry()
    {
        DurableState state;
        state.self = { .node = NodeName("r1"), .incarnation = 1 };
        state.hardState.term = 1;
        state.snapshot.index = 1;
        state.snapshot.term = 1;
        state.snapshot.membership = state.snapshot.membership.with({ .id = state.self });
        state.snapshot.state = RulesState().save();
        this->options.replicated.entriesPerSnapshot = 64;
        this->options.replicated.bytesPerSnapshot = 1'000'000;
        EXPECT_TRUE(DiskLog::format(this->folder.path, state).has_value());
        this->start();
    }

    void start()
    {
        this->node.reset();
        this->log.reset();
        auto opened = DiskLog::open(this->folder.path);
        ASSERT_TRUE(opened.has_value());
        this->log = std::make_unique<DiskLog>(std::move(*opened));
        this->node = std::make_unique<ControlNode>(this->options, this->log->state(), 1, this->now);
        while (!this->node->replica().isLeaderReady()) {
            this->now += 10ms;
            this->node->tick(this->now, this->out);
            this->flush();
        }
    }

    /** \brief Replaces the rules by \a text. */
    void apply(std::uint64_t version, const std::string &text)
    {
        this->now += 10ms;
        this->node->apply({ .node = NodeName("operator"), .number = version },
                          { .applyId = std::to_string(version),
                            .author = "operator",
                            .text = text,
                            .assignedVersion = version,
                            .source = text },
                          this->now, this->out);
        this->flush();
    }

    std::uintmax_t diskBytes() const
    {
        std::uintmax_t bytes = 0;
        for (const auto &file : std::filesystem::directory_iterator(this->folder.path))
            bytes += file.file_size();
        return bytes;
    }

    const RulesState &state() const { return this->node->state(); }

private:
    void flush()
    {
        ASSERT_TRUE(this->log->write(this->out.log.replica.writes).has_value());
        this->out = {};
    }

    Fake::TemporaryFolder folder;
    ControlOptions options;
    TimePoint now { 1'800'000'000s };
    std::unique_ptr<DiskLog> log;
    std::unique_ptr<ControlNode> node;
    ControlNode::Outbox out;
};

/** \returns rules of 100 kB, of which one line differs from version to version. */
std::string largeRules(std::uint64_t version)
{
    constexpr std::uint64_t lines = 100;
    std::string text;
    for (std::uint64_t line = 0; line < lines; ++line)
        text += "# " + std::to_string(line == version % lines ? version : 0)
            + std::string(1'000, 'x') + "\n";
    return text;
}

// Guards against registry nodes that run out of memory and disk, since changes that take effect are
// never removed from their logs. They may use a quarter of the VM's memory and disk: the rest is
// for a restart, a snapshot that is written beside the log, and everything else.
TEST(LogCompaction, ManyChangesOfALargeConfigurationFitInMemoryAndOnDisk)
{
    const std::size_t before = heapBytes();
    Registry registry;
    std::uint64_t version = 0;
    for (const std::uint64_t changes : { 300U, 1'000U, 3'000U }) {
        while (version < changes) {
            ++version;
            registry.apply(version, largeRules(version));
            ASSERT_LT(registry.diskBytes(), diskOfVm / 4) << version << " changes";
            ASSERT_LT(heapBytes() - before, memoryOfVm / 4) << version << " changes";
        }
        registry.start();
        EXPECT_EQ(registry.state().version(), version) << "after a restart";
        EXPECT_EQ(registry.state().text(), largeRules(version)) << "after a restart";
        EXPECT_EQ(registry.state().source(), largeRules(version)) << "after a restart";
    }
}

} // namespace
