#include <Hibiscus/Process>

/** \brief Runs an entry node. */
int main(int argc, char **argv)
{
    const auto decision = Hibiscus::startProcess(&argc, &argv, Hibiscus::NodeRole::Entry);
    if (!decision.shouldRun)
        return decision.exitCode;
    return Hibiscus::EntryProcess(decision.context).run();
}
