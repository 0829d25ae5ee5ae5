#pragma once

#include "test/support/Scheduler.h"

#include <map>
#include <random>
#include <set>

namespace Hibiscus::Fake {

/** \brief Every step of every exchange. The fault matrix is made from this list. */
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

/** \brief What may happen to messages that are not touched by a planned fault. */
struct NetworkOptions
{
    double lossRate = 0;
    double duplicateRate = 0;
    Duration jitter = 0us; ///< more than the latency reorders messages
};

/** \brief A message on its way. */
struct Packet
{
    Step step = Step::Submit;
    std::string from;
    std::string to;
    Duration latency = 0us;
    std::function<void()> deliver;
};

/** \brief A network with latency, cuts, loss, copies, and a hook at each step. */
class Network
{
public:
    /** \brief Sees each packet first; returns false to take the packet off the network. */
    using Hook = std::function<bool(const Packet &)>;

    Network(Scheduler &scheduler, std::uint64_t seed) : scheduler(scheduler), random(seed) { }

    void send(const Packet &packet)
    {
        ++this->sentByStep[packet.step];
        if (this->hook && !this->hook(packet))
            return;
        this->transmit(packet);
    }

    /** \brief Carries a packet past the hook. */
    void transmit(const Packet &packet, Duration extraDelay = 0us)
    {
        std::bernoulli_distribution lost(this->options.lossRate);
        std::bernoulli_distribution doubled(this->options.duplicateRate);
        // A disk is not part of the network; a planned fault can still make one sync hang.
        if (packet.step == Step::DiskSync) {
            this->scheduler.after(packet.latency + extraDelay, packet.deliver);
            return;
        }
        if (this->isCut(packet.from, packet.to))
            return;
        if (this->options.lossRate > 0 && lost(this->random))
            return;
        this->schedule(packet, extraDelay);
        if (this->options.duplicateRate > 0 && doubled(this->random))
            this->schedule(packet, extraDelay);
    }

    /** \brief Cuts messages from \a from to \a to; places are nodes or failure domains. */
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
        const auto has = [&](const std::string &a, const std::string &b) {
            return this->cuts.contains({ a, b });
        };
        const bool betweenDomains = fromDomain != toDomain
            && (has(fromDomain, "*") || has("*", toDomain) || has(fromDomain, toDomain));
        return has(from, to) || has(from, "*") || has("*", to) || betweenDomains;
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
