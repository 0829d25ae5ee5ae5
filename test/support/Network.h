#pragma once

#include "test/support/Scheduler.h"

#include <map>
#include <random>
#include <set>

namespace Hibiscus::Fake {

/** \brief Every step of every protocol exchange. The fault matrix is generated from this list. */
enum class Step : std::uint8_t {
    PreVote,
    Vote,
    VoteReply,
    Append,
    AppendReply,
    Snapshot,
    Join,
    DiskSync,
    OpenJob,
    RecordStarts,
    FinishJob,
    TakeOverJob,
    RefuseJob,
    AbandonJob,
    LookUpJob,
    Heartbeat,
    JournalAnswer,
    PeerStart,
    PeerReport,
    PeerProbe,
    PeerCancel,
    PeerOffer,
    PeerNews,
    TargetStart,
    TargetReport,
    Announce,
    AnnounceReply,
    AskTarget,
    AskReply,
    Submit,
    CallerAnswer,
    Cancel,
    RulesUpdate,
    RulesAcknowledged,
    FetchRules,
    Apply,
    ApplyAnswer,
    Count
};

const char *toString(Step step);

/** \brief Random faults of messages that no planned fault affects. */
struct NetworkOptions
{
    double lossRate = 0;
    double duplicateRate = 0;
    Duration jitter = 0us; ///< maximum; reorders messages if above the latency
};

/** \brief A message in flight. */
struct Packet
{
    Step step = Step::Submit;
    std::string from;
    std::string to;
    Duration latency = 0us;
    std::function<void()> deliver;
};

/** \brief A simulated network with latency, partitions, loss, duplicates and a hook. */
class Network
{
public:
    /** \brief Called for each packet before it is sent; returns false to drop the packet. */
    using Hook = std::function<bool(const Packet &)>;

    Network(Scheduler &scheduler, std::uint64_t seed) : scheduler(scheduler), random(seed) { }

    void send(const Packet &packet)
    {
        ++this->sentByStep[packet.step];
        if (this->hook && !this->hook(packet))
            return;
        this->transmit(packet);
    }

    /** \brief Sends a packet without calling the hook. */
    void transmit(const Packet &packet, Duration extraDelay = 0us)
    {
        std::bernoulli_distribution lost(this->options.lossRate);
        std::bernoulli_distribution duplicated(this->options.duplicateRate);
        // Random network faults do not affect disk syncs; a planned fault can still delay one.
        if (packet.step == Step::DiskSync) {
            this->scheduler.after(packet.latency + extraDelay, packet.deliver);
            return;
        }
        if (this->isCut(packet.from, packet.to))
            return;
        if (this->options.lossRate > 0 && lost(this->random))
            return;
        this->schedule(packet, extraDelay);
        if (this->options.duplicateRate > 0 && duplicated(this->random))
            this->schedule(packet, extraDelay);
    }

    /** \brief Drops messages from \a from to \a to: nodes or failure domains, or "*" for any. */
    void cut(const std::string &from, const std::string &to) { this->cuts.insert({ from, to }); }
    void heal() { this->cuts.clear(); }
    void setDomain(const std::string &node, const std::string &domain)
    {
        this->domains[node] = domain;
    }

    bool isCut(const std::string &from, const std::string &to) const
    {
        if (this->cuts.empty())
            return false;
        const std::string &fromDomain = this->domainOf(from);
        const std::string &toDomain = this->domainOf(to);
        const auto isPairCut = [&](const std::string &a, const std::string &b) {
            return this->cuts.contains({ a, b });
        };
        const bool betweenDomains = fromDomain != toDomain
            && (isPairCut(fromDomain, "*") || isPairCut("*", toDomain)
                || isPairCut(fromDomain, toDomain));
        return isPairCut(from, to) || isPairCut(from, "*") || isPairCut("*", to) || betweenDomains;
    }

    const std::map<Step, std::uint64_t> &sentCounts() const { return this->sentByStep; }

    NetworkOptions options;
    Hook hook;

private:
    void schedule(const Packet &packet, Duration extraDelay)
    {
        std::uniform_int_distribution<Duration::rep> jitter(0, this->options.jitter.count());
        const Duration extra = this->options.jitter > 0us ? Duration(jitter(this->random)) : 0us;
        this->scheduler.after(packet.latency + extra + extraDelay, [this, packet] {
            if (!this->isCut(packet.from, packet.to))
                packet.deliver();
        });
    }

    const std::string &domainOf(const std::string &node) const
    {
        const auto found = this->domains.find(node);
        return found == this->domains.end() ? node : found->second;
    }

    Scheduler &scheduler;
    std::mt19937_64 random;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, std::string> domains;
    std::map<Step, std::uint64_t> sentByStep;
};

} // namespace Hibiscus::Fake
