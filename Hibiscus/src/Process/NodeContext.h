#pragma once

#include "Hibiscus/src/Process/ExternalProtocol.h"

#include <Hibiscus/Net>
#include <Hibiscus/Settings>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief The settings and the command line of a gateway or registry process.
 *
 * \sa ProcessContext for processes whose settings file lists all nodes
 */
struct NodeContext
{
    NodeProfile profile;
    std::string settingsPath; ///< reloaded when the file changes
    /** \brief Grows with each start of the process, unless its clock is set back; raised then. */
    std::uint64_t incarnation = 0;
    ExternalProtocol protocol;

    /** \returns the name by which the other nodes know this one. */
    NodeName name() const { return NodeName(this->profile.peerAddress); }
    /** \returns the names of the registry nodes that the settings list as seeds. */
    std::vector<NodeName> seeds() const;
    NodeRecord record(NodeKind kind, bool isDraining) const;
    Relay::Options relayOptions() const;
    /** \returns the limits of accepted connections, as the memory and descriptors allow. */
    MemoryBudget::Limits connectionLimits() const;
    /** \brief Continues as incarnation \a raised, since other nodes know a higher one. */
    void raiseIncarnation(std::uint64_t raised);
};

/** \brief Reads the command line and the settings; prints errors to standard error.
 * \returns nothing if the process should exit with \a exitCode.
 */
std::optional<NodeContext> startNode(int *argc, char ***argv, const ExternalProtocol &protocol,
                                     int &exitCode);

/** \brief Time between log lines on resource use; a few lines answer an operator's question. */
inline constexpr Duration loadLogInterval = 2s;

/** \brief Time for which rendered metrics are sent again, since clients may ask without end. */
inline constexpr Duration metricsLifetime = 10ms;

/** \brief Metrics as they were last rendered. */
struct MetricsText
{
    std::string text;
    TimePoint validUntil;
};

/** \brief Logs the resource use of the process and updates its metrics, once per interval of
 * \a meter.
 */
void reportLoad(LoadMeter &meter, EventLoop &loop, const Relay &relay, Metrics &metrics,
                TimePoint now);

/** \brief Detects changes of a settings file, both after a signal and by periodic checks. */
class SettingsWatcher
{
public:
    explicit SettingsWatcher(std::string path);

    /** \returns the new profile if the file has changed since the last check and is valid. */
    std::optional<NodeProfile> takeChange(TimePoint now);

private:
    std::string readText() const;

    std::string path;
    std::string lastText;
    TimePoint nextCheckAt;
};

/** \returns \a domains with commas between them, for the log. */
std::string joined(const std::set<DomainName> &domains);

} // namespace Hibiscus
