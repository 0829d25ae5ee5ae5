#pragma once

#include "Hibiscus/src/Fleet/Run.h"

#include <functional>
#include <map>
#include <set>
#include <vector>

namespace Hibiscus {

/** \brief Announcement to all entry nodes that a start of \a job may still be executed, so that the
 * job must not be started again for \a span; a span of 0 withdraws it.
 */
struct JobHold
{
    NodeName from;
    std::string job;
    Duration span {};

    auto operator<=>(const JobHold &other) const = default;
    HIBISCUS_FIELDS(from, job, span)
};

/** \brief A start that its target may still execute: it was not answered, and the target has
 * neither confirmed a stop of the run nor accepted a higher token since. Or one of which only its
 * owner knows, which is out of touch.
 */
struct UncertainStart
{
    RunName run;
    TargetName target; ///< empty if \a owner is set
    std::uint64_t fencingToken = 0;
    TimePoint unansweredAt;
    NodeName owner; ///< empty unless another node's
    std::uint64_t ownerIncarnation = 0;

    auto operator<=>(const UncertainStart &other) const = default;
};

/** \brief Timing and limits of JobHolds. */
struct JobHoldsOptions
{
    Duration maxLateness = maxStartLateness; ///< a hold ends that long after the start
    /** \brief Interval of repeated announcements, for lost ones and for nodes that start meanwhile;
     * shorter than the time after which callers send a job again.
     */
    Duration repeatInterval = 1s;
    std::size_t maxHolds = 4096; ///< limit of the jobs of other nodes, for the memory
};

/** \brief The jobs that must not be started now, since a start of theirs may still be executed at
 * a target that cannot be reached. A job that is sent again in that time is answered as unfinished.
 *
 * The owner of the target announces such a start to all entry nodes while the caller still waits,
 * or before it sends the job again. It withdraws the announcement once the start can have no
 * effect.
 */
class JobHolds
{
public:
    JobHolds(const JobHoldsOptions &options, const NodeName &self)
        : options(options), self(self) { }

    // Commands.
    /** \brief Compares the starts that are uncertain now with those before. \a isVoid tells whether
     * a start that is not uncertain any more can certainly have no effect. Otherwise this node
     * knows no more of it: it has given the target up, or just taken it over again.
     * \returns what is to be announced to the other entry nodes.
     */
    std::vector<JobHold> update(const std::vector<UncertainStart> &uncertain,
                                const std::function<bool(const UncertainStart &)> &isVoid,
                                TimePoint now);
    /** \brief Holds the job of \a start, which no update() mentions, from the next one on. */
    void add(const UncertainStart &start);
    /** \brief Records the announcement of another node. */
    void receive(const JobHold &hold, TimePoint now);

    // Queries.
    bool isHeld(const std::string &job, TimePoint now) const;
    std::size_t size() const { return this->heldUntil.size(); }
    /** \returns the announcements that are in force, by whichever node, for a node that has started
     * since.
     */
    std::vector<JobHold> activeHolds(TimePoint now) const;

private:
    void removeExpired(TimePoint now);

    JobHoldsOptions options;
    NodeName self;
    std::map<RunName, UncertainStart> starts; ///< of this node
    std::set<std::string> addedJobs; ///< since the last update()
    TimePoint announcedAt; ///< time of the last announcement of all of them
    std::map<std::string, std::map<NodeName, TimePoint>> heldUntil; ///< by job and announcer
};

} // namespace Hibiscus
