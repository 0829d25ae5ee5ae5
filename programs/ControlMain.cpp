#include <Hibiscus/Process>

/** \brief Runs a member of the control group. */
int main(int argc, char **argv)
{
    const auto decision = Hibiscus::startProcess(&argc, &argv, Hibiscus::NodeRole::Control);
    if (!decision.shouldRun)
        return decision.exitCode;
    auto disk = Hibiscus::ReplicaDisk::open(decision.context);
    if (!disk) {
        Hibiscus::logError("cannot-open-log", { { "reason", disk.error().message() } });
        return 1;
    }
    return Hibiscus::ControlProcess(decision.context, std::move(*disk)).run();
}
