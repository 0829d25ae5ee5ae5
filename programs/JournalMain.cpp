#include <Hibiscus/Process>

/** \brief Runs a member of a journal group. */
int main(int argc, char **argv)
{
    const auto decision = Hibiscus::startProcess(&argc, &argv, Hibiscus::NodeRole::Journal);
    if (!decision.shouldRun)
        return decision.exitCode;
    auto disk = Hibiscus::ReplicaDisk::open(decision.context);
    if (!disk) {
        Hibiscus::logError("cannot-open-log", { { "reason", disk.error().message() } });
        return 1;
    }
    return Hibiscus::JournalProcess(decision.context, std::move(*disk)).run();
}
