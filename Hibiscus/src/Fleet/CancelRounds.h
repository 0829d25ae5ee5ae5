#pragma once

#include <Hibiscus/Core>

#include <map>
#include <set>
#include <vector>

namespace Hibiscus {

/** \brief A request to cancel a job, to another entry node, which may have it in progress. */
struct CancelJobRequest
{
    NodeName from;
    std::uint64_t number = 0; ///< number of the round at the sender
    std::string job;

    auto operator<=>(const CancelJobRequest &other) const = default;
    HIBISCUS_FIELDS(from, number, job)
};

/** \brief The reply to a CancelJobRequest. */
struct CancelJobReply
{
    NodeName from;
    std::uint64_t number = 0;
    bool wasInProgress = false; ///< whether the job was in progress at the sender

    auto operator<=>(const CancelJobReply &other) const = default;
    HIBISCUS_FIELDS(from, number, wasInProgress)
};

/** \brief What a caller is told of its request to cancel a job. */
enum class CancelVerdict : std::uint8_t {
    Cancelled, ///< it was in progress at some node, which has cancelled it
    Unknown, ///< no node had it in progress
    Unconfirmed ///< a node that may have it in progress has not replied, or is not known
};

/** \returns the name of \a verdict for logs. */
const char *toString(CancelVerdict verdict);

/** \brief The end of a round, for the caller that waits for it. */
struct CancelDecision
{
    std::uint64_t caller = 0;
    std::string job;
    CancelVerdict verdict = CancelVerdict::Unconfirmed;
    std::size_t silentPeers = 0; ///< peers that had not replied

    auto operator<=>(const CancelDecision &other) const = default;
};

/** \brief Timing and limits of CancelRounds. */
struct CancelRoundsOptions
{
    /** \brief Some round trips between the most distant nodes; callers send the request again
     * after a second or more.
     */
    Duration replyTimeout = 500ms;
    std::size_t maxRounds = 1024; ///< limit of the rounds in progress, for the memory
};

/** \brief Requests to cancel jobs that arrived at this entry node. A job is known only to the node
 * that coordinates it, so each request is passed to all peers, and decided once one of them had the
 * job in progress, all have replied, or the time for it is over.
 */
class CancelRounds
{
public:
    explicit CancelRounds(const CancelRoundsOptions &options) : options(options) { }

    // Commands.
    /** \brief Starts a round for \a caller, which asks \a peers. \a wasInProgress tells whether
     * the job was in progress here, \a knowsAllPeers whether no other node may have it.
     * \returns the request to send to each of the peers.
     */
    CancelJobRequest begin(std::uint64_t caller, const std::string &job, bool wasInProgress,
                           const std::vector<NodeName> &peers, bool knowsAllPeers, TimePoint now);
    void handleReply(const CancelJobReply &reply);
    std::vector<CancelDecision> takeDecisions(TimePoint now);

    // Queries.
    bool isFull() const { return this->rounds.size() >= this->options.maxRounds; }

private:
    struct Round
    {
        std::uint64_t caller = 0;
        std::string job;
        bool wasInProgress = false;
        std::set<NodeName> silentPeers;
        bool knowsAllPeers = false;
        TimePoint startedAt;
    };

    CancelRoundsOptions options;
    std::map<std::uint64_t, Round> rounds; ///< by number
    std::uint64_t nextNumber = 1;
};

} // namespace Hibiscus
