#pragma once

#include "Hibiscus/src/Process/ExternalProtocol.h"

#include <Hibiscus/Net>
#include <Hibiscus/Settings>
#include <Hibiscus/Telemetry>

namespace Hibiscus {

/** \brief What a gateway or registry process was started with. */
struct NodeContext
{
    NodeProfile profile;
    std::string settingsPath; ///< read again when it changes
    std::uint64_t incarnation = 0; ///< larger in each later life of the process
    ExternalProtocol protocol;

    /** \returns the name by which the other nodes know this one. */
    NodeName name() const { return NodeName(this->profile.peerAddress); }
    /** \returns the names of the registry nodes that the settings name. */
    std::vector<NodeName> seeds() const;
    NodeRecord record(NodeKind kind, bool isDraining) const;
    Relay::Options relayOptions() const;
};

/** \brief Reads the command line and the settings; prints what is wrong.
 * \returns nothing when the process should end with \a exitCode.
 */
std::optional<NodeContext> startNode(int *argc, char ***argv, const ExternalProtocol &protocol,
                                     int &exitCode);

/** \brief Between two lines on what a process uses; a few of them cover an operator's question. */
inline constexpr Duration loadLogInterval = 2s;

/** \brief Logs and counts what the process uses, once in each interval of \a meter. */
void noteLoad(LoadMeter &meter, const EventLoop &loop, const Relay &relay, Metrics &metrics,
              TimePoint now);

/** \brief Notices that a settings file has changed, with or without a signal. */
class SettingsWatcher
{
public:
    explicit SettingsWatcher(std::string path);

    /** \returns the new profile, if the file has changed and is valid. */
    std::optional<NodeProfile> takeChange(TimePoint now);

private:
    std::string readText() const;

    std::string path;
    std::string text;
    TimePoint lookAt;
};

} // namespace Hibiscus
