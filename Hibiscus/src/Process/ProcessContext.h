#pragma once

#include <Hibiscus/Net>
#include <Hibiscus/Settings>

#include <filesystem>
#include <string>

namespace Hibiscus {

/** \brief The settings and the command line of a process whose settings file lists all nodes.
 *
 * \sa NodeContext for nodes that discover each other
 */
struct ProcessContext
{
    Deployment deployment;
    NodeSettings self;
    std::filesystem::path dataFolder; ///< folder of the log; empty if there is none
    std::string spanFile; ///< output file for spans; empty if none are written
    std::uint64_t incarnation = 0; ///< grows with each start of the process

    Address httpAddress() const;
    Address rpcAddress() const;
    /** \returns the options of this process's relay to all other nodes. */
    Relay::Options relayOptions() const;
};

/** \brief Whether a process should run, after its command line was read. */
struct StartDecision
{
    bool shouldRun = false;
    int exitCode = 0;
    ProcessContext context;
};

/** \brief Reads the command line and the settings of a process with \a role; prints errors to
 * standard error.
 *
 * Handles `--check_settings` and, for roles with a log, `--format`.
 */
StartDecision startProcess(int *argc, char ***argv, NodeRole role);

/** \returns a number that grows with each start of \a node's process. */
std::uint64_t newIncarnation(const std::string &node);

/** \brief Installs the handlers of the signals to stop (SIGTERM, SIGINT) and to reload the settings
 * (SIGHUP); ignores SIGPIPE, and SIGXFSZ so that a write beyond a size limit fails like one on a
 * full disk.
 */
void installSignals();

/** \returns whether a signal has requested a reload of the settings since the last call. */
bool takeReloadRequest();

/** \returns the number of signals to stop so far; the first requests a graceful stop. */
int stopRequests();

} // namespace Hibiscus
