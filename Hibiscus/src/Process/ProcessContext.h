#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Settings>

#include <filesystem>
#include <string>

namespace Hibiscus {

/** \brief What a process of the system was started with. */
struct ProcessContext
{
    Deployment deployment;
    NodeSettings self;
    std::filesystem::path dataFolder; ///< empty when the process keeps nothing
    std::string spanFile; ///< empty when no spans are written
    std::uint64_t incarnation = 0; ///< larger in each later life of the process

    Address httpAddress() const;
    Address rpcAddress() const;
    /** \returns the options of this process's relay to all other nodes. */
    Relay::Options relayOptions() const;
};

/** \brief How the command line of a process ended. */
struct StartDecision
{
    bool shouldRun = false;
    int exitCode = 0;
    ProcessContext context;
};

/** \brief Reads the command line and the settings of a process with \a role; prints what is wrong.
 *
 * Handles `--check_settings` and, for roles with a log, `--format`.
 */
StartDecision startProcess(int *argc, char ***argv, NodeRole role);

/** \returns a number that is larger in each later life of \a node's process. */
std::uint64_t newIncarnation(const std::string &node);

/** \brief Takes the signals to stop and to read the settings again from here on. */
void installSignals();

/** \returns whether a signal has asked to read the settings again since the last call. */
bool takeReloadRequest();

/** \returns how many signals to stop have come; the first asks for a graceful stop. */
int stopRequests();

} // namespace Hibiscus
