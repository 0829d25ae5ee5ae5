#pragma once

#include "test/support/Simulation.h"

namespace Hibiscus::Fake {

/** \brief What can go wrong at a step. */
enum class Fault : std::uint8_t {
    LoseMessage,
    DoubleMessage,
    DelayMessage, ///< by 3 s
    ReorderMessage, ///< by 30 ms, behind later ones
    KillSender,
    KillReceiver,
    WipeSender, ///< killed, and comes back without its disk
    WipeReceiver,
    FreezeSender, ///< for 4 s
    FreezeReceiver,
    CutForward, ///< messages from the sender to the receiver, for 4 s
    CutBothWays,
    IsolateSender, ///< from everything, for 4 s
    IsolateReceiver,
    CutSenderDomain, ///< the failure domain of the sender, for 4 s
    SilentConnections, ///< of every target
    FailingTarget, ///< one target fails every task, for 4 s
    Straggler, ///< one target is 10 times slower, for 4 s
    OperatorRace, ///< two more operators apply at the same version, at once
    ApplyResent, ///< the last apply is sent again, to another control node
    Count
};

const char *toString(Fault fault);

/** \brief A fault at the \a occurrence -th message of a step, counted from the first job on. */
struct PlannedFault
{
    Step step = Step::Submit;
    std::uint64_t occurrence = 1;
    Fault fault = Fault::LoseMessage;
};

/** \brief The outcome of a scenario. */
struct ScenarioResult
{
    std::vector<std::string> failures;
    std::map<Step, std::uint64_t> steps; ///< occurrences, counted from the first job on
    std::size_t applied = 0; ///< planned faults that came to pass
    std::size_t outside = 0; ///< planned faults at a process outside the system
    std::size_t answers = 0;
    std::size_t complete = 0;
    std::size_t starts = 0;
};

/** \brief A busy deployment with its own troubles, on top of which planned faults come.
 *
 * Callers submit, resubmit and cancel; operators race; an entry node dies; a journal member loses
 * its disk; a failure domain is cut off; a target's connections go silent; a target leaves. Then
 * everything heals, and what must hold is checked.
 */
class Scenario
{
public:
    Scenario(std::uint64_t seed, std::vector<PlannedFault> faults, NetworkOptions network = {});

    ScenarioResult run();

private:
    void schedule();
    void submitJobs();
    void applyRules();
    bool onPacket(const Packet &packet);
    bool inflict(Fault fault, const Packet &packet);
    void disturb(Fault fault, const Packet &packet);
    void killFor(const std::string &name, bool wipes);
    void freezeFor(const std::string &name);
    void cutFor(const std::string &from, const std::string &to);
    void healAll();
    void checkProgress();
    void checkRules();
    bool hasQuorum(const std::string &domain);
    std::size_t wipedVoters(const std::string &prefix) const;

    std::uint64_t seed;
    std::vector<PlannedFault> faults;
    Simulation simulation;
    std::mt19937_64 random;
    std::map<Step, std::uint64_t> counted;
    std::vector<ApplyRules> applies;
    std::set<std::string> wiped;
    ScenarioResult result;
    std::uint64_t nextApply = 1;
    bool watching = false;
};

} // namespace Hibiscus::Fake
