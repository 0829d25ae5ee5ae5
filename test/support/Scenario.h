#pragma once

#include "test/support/Simulation.h"

namespace Hibiscus::Fake {

/** \brief Faults that can be injected at a step. */
enum class Fault : std::uint8_t {
    LoseMessage,
    DoubleMessage,
    DelayMessage, ///< delays it by 3 s
    ReorderMessage, ///< delays it by 30 ms, so that later messages overtake it
    KillSender,
    KillReceiver,
    WipeSender, ///< kills it and restarts it with an empty disk
    WipeReceiver,
    FreezeSender, ///< suspends the process for 4 s
    FreezeReceiver,
    CutForward, ///< drops messages from the sender to the receiver for 4 s
    CutBothWays,
    IsolateSender, ///< drops all messages from and to it for 4 s
    IsolateReceiver,
    CutSenderDomain, ///< isolates failure domain a for 4 s, whichever the sender's domain
    SilentConnections, ///< makes the open connections of every target half-open
    FailingTarget, ///< makes one target fail every task for 4 s
    Straggler, ///< makes one target 10 times slower for 4 s
    OperatorRace, ///< two more operators apply rules to the same version at the same time
    ApplyResent, ///< resends the last apply to another control node
    Count
};

const char *toString(Fault fault);

/** \brief A fault at message number \a occurrence of a step, counted from the first job on. */
struct PlannedFault
{
    Step step = Step::Submit;
    std::uint64_t occurrence = 1;
    Fault fault = Fault::LoseMessage;
};

/** \brief Result of a scenario. */
struct ScenarioResult
{
    std::vector<std::string> failures;
    std::map<Step, std::uint64_t> steps; ///< number of messages per step, from the first job on
    std::size_t injectedFaults = 0; ///< planned faults that were injected
    std::size_t inapplicableFaults = 0; ///< planned faults that needed a process outside the system
    std::size_t answers = 0;
    std::size_t completeAnswers = 0;
    std::size_t starts = 0;
};

/** \brief A deployment under load with a fixed sequence of faults, plus the planned faults.
 *
 * Callers submit, resubmit and cancel jobs; operators apply rules concurrently; an entry node is
 * killed; a journal member loses its disk; a failure domain is cut off; the connections of targets
 * become half-open; a target leaves. After all faults have healed, the guarantees are checked.
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
    bool handlePacket(const Packet &packet);
    bool injectFault(Fault fault, const Packet &packet);
    void injectOutage(Fault fault, const Packet &packet);
    void killTemporarily(const std::string &name, bool wipes);
    void freezeTemporarily(const std::string &name);
    void cutTemporarily(const std::string &from, const std::string &to);
    void healAll();
    void checkProgress();
    void checkRules();
    bool hasQuorum(const std::string &domain);
    std::size_t wipedVoters(const std::string &prefix) const;

    std::uint64_t seed;
    std::vector<PlannedFault> faults;
    Simulation simulation;
    std::mt19937_64 random;
    std::map<Step, std::uint64_t> stepCounts;
    std::vector<ApplyRules> sentApplies;
    std::set<std::string> wipedNodes;
    ScenarioResult result;
    std::uint64_t nextApply = 1;
    bool isActive = false;
};

} // namespace Hibiscus::Fake
