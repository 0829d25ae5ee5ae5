#include "Hibiscus/src/Fleet/CancelRounds.h"

namespace Hibiscus {

const char *toString(CancelVerdict verdict)
{
    switch (verdict) {
    case CancelVerdict::Cancelled:
        return "cancelled";
    case CancelVerdict::Unknown:
        return "unknown";
    case CancelVerdict::Unconfirmed:
        break;
    }
    return "unconfirmed";
}

CancelJobRequest CancelRounds::begin(std::uint64_t caller, const std::string &job,
                                     bool wasInProgress, const std::vector<NodeName> &peers,
                                     bool knowsAllPeers, TimePoint now)
{
    const std::uint64_t number = this->nextNumber++;
    this->rounds[number] = { .caller = caller,
                             .job = job,
                             .wasInProgress = wasInProgress,
                             .silentPeers = { peers.begin(), peers.end() },
                             .knowsAllPeers = knowsAllPeers,
                             .startedAt = now };
    return { .number = number, .job = job };
}

void CancelRounds::handleReply(const CancelJobReply &reply)
{
    const auto found = this->rounds.find(reply.number);
    if (found == this->rounds.end() || found->second.silentPeers.erase(reply.from) == 0)
        return;
    found->second.wasInProgress = found->second.wasInProgress || reply.wasInProgress;
}

std::vector<CancelDecision> CancelRounds::takeDecisions(TimePoint now)
{
    std::vector<CancelDecision> decisions;
    std::erase_if(this->rounds, [&](const auto &item) {
        const Round &round = item.second;
        const bool isOver = now >= round.startedAt + this->options.replyTimeout;
        if (!round.wasInProgress && !round.silentPeers.empty() && !isOver)
            return false;
        CancelVerdict verdict = CancelVerdict::Cancelled;
        if (!round.wasInProgress)
            verdict = round.silentPeers.empty() && round.knowsAllPeers ? CancelVerdict::Unknown
                                                                       : CancelVerdict::Unconfirmed;
        decisions.push_back({ .caller = round.caller,
                              .job = round.job,
                              .verdict = verdict,
                              .silentPeers = round.silentPeers.size() });
        return true;
    });
    return decisions;
}

} // namespace Hibiscus
