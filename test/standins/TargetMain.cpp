#include "test/standins/StandInTarget.h"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

DEFINE_string(name, "target", "prefix of the names of the targets; a number is appended");
DEFINE_string(address, "127.0.0.1:9000",
              "address of the first target; the others use the next ports");
DEFINE_string(service, "hoso", "service that the targets serve");
DEFINE_int32(count, 1, "number of targets in this process");
DEFINE_int32(slots, 8, "slots of each target");
DEFINE_double(slowest, 1.0, "speed of the slowest target; the fastest is 4 times as fast");
DEFINE_int32(failing, 0, "number of targets that fail every task");
DEFINE_string(entries, "", "comma-separated HTTP addresses of the entry nodes of the domain");
DEFINE_string(spans, "", "file for the spans of tasks (JSON lines); empty: none");
DEFINE_string(history, "", "file for a line at each start and end of a task; empty: none");

namespace {

volatile std::sig_atomic_t stopRequested = 0;

void onStop(int)
{
    stopRequested = 1;
}

std::vector<Hibiscus::Address> parseAddresses(const std::string &text)
{
    std::vector<Hibiscus::Address> addresses;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        addresses.push_back(*Hibiscus::Address::parse(part));
    return addresses;
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
        options.entries = parseAddresses(FLAGS_entries);
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
            bool allIdle = true;
            for (const auto &target : targets) {
                if (stopRequested != 0)
                    target->drain();
                target->tick();
                allIdle = allIdle && target->isIdle();
            }
            if (stopRequested != 0 && allIdle)
                loop.stop();
        },
        [] {});
    return 0;
}
