#include "test/standins/StandInTarget.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(name, "target", "name of the first target; a number is added");
DEFINE_string(address, "127.0.0.1:9000", "address of the first target; ports count up");
DEFINE_string(service, "hoso", "the service");
DEFINE_int32(count, 1, "how many targets this process stands in for");
DEFINE_int32(slots, 8, "slots a target");
DEFINE_double(slowest, 1.0, "speed of the slowest target; the fastest has 4 times that");
DEFINE_int32(failing, 0, "how many of the targets fail every task");
DEFINE_string(entries, "", "HTTP addresses of the entry nodes of this domain, with commas");
DEFINE_string(spans, "", "a file for the spans of tasks (JSON lines); none when empty");
DEFINE_string(history, "", "a file that gets a line for each start and end");

namespace {

volatile std::sig_atomic_t stopRequested = 0;

void onStop(int)
{
    stopRequested = 1;
}

std::vector<Hibiscus::Address> parseEntries(const std::string &text)
{
    std::vector<Hibiscus::Address> entries;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        entries.push_back(*Hibiscus::Address::parse(part));
    return entries;
}

} // namespace

/** \brief Stand-in targets for tests and the demo. */
int main(int argc, char **argv)
{
    using namespace Hibiscus;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGTERM, onStop);
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    std::vector<std::unique_ptr<StandInTarget>> targets;
    const Address first = *Address::parse(FLAGS_address);
    for (int i = 0; i < FLAGS_count; ++i) {
        const double spread = FLAGS_count > 1 ? 3.0 * i / (FLAGS_count - 1) : 0.0;
        StandInTargetOptions options;
        options.name = TargetName(FLAGS_name + "-" + std::to_string(i + 1));
        options.address
            = { .host = first.host, .port = static_cast<std::uint16_t>(first.port + i) };
        options.service = ServiceName(FLAGS_service);
        options.slots = static_cast<std::uint32_t>(FLAGS_slots);
        options.speed = FLAGS_slowest * (1.0 + spread);
        options.shouldFailAllTasks = i < FLAGS_failing;
        options.entries = parseEntries(FLAGS_entries);
        options.historyFile = FLAGS_history;
        options.spanFile = FLAGS_spans;
        targets.push_back(std::make_unique<StandInTarget>(loop, options));
        if (!targets.back()->listen()) {
            std::fprintf(stderr, "cannot listen for %s\n", options.name.str().c_str());
            return 1;
        }
    }
    loop.run(
        2ms,
        [&] {
            bool idle = true;
            for (const auto &target : targets) {
                if (stopRequested != 0)
                    target->leave();
                target->tick();
                idle = idle && target->isIdle();
            }
            if (stopRequested != 0 && idle)
                loop.stop();
        },
        [] {});
    return 0;
}
