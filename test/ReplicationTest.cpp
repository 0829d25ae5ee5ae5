#include "test/support/Simulation.h"

#include <gtest/gtest.h>

using namespace Hibiscus;

namespace {

/** \brief A journal group alone, with an asker that opens one job after the other. */
class Group
{
public:
    explicit Group(std::uint64_t seed) : simulation(options(seed)), random(seed)
    {
        for (const auto &journal : this->simulation.journals)
            journal->start();
        this->simulation.run(2s);
    }

    static Fake::SimulationOptions options(std::uint64_t seed)
    {
        Fake::SimulationOptions options;
        options.domains = { "a" };
        options.entries = 1;
        options.targetsPerDomain = 0;
        options.entriesPerSnapshot = 16;
        options.seed = seed;
        return options;
    }

    /** \returns the one member that may answer, or nothing. */
    Fake::Simulation::JournalProcess *leader()
    {
        for (const auto &journal : this->simulation.journals)
            if (journal->isUp() && journal->get()->replica().isLeaderReady())
                return journal.get();
        return nullptr;
    }

    void open(int count)
    {
        for (int i = 0; i < count; ++i) {
            const JobId id(DomainName("a"), this->simulation.scheduler.now(),
                           "g" + std::to_string(this->nextJob++));
            this->opened.push_back(id);
            for (const auto &journal : this->simulation.journals)
                if (journal->isUp())
                    journal->handle([id](JournalNode &node, TimePoint now,
                                         JournalNode::Outbox &out) {
                        if (node.replica().isLeader())
                            node.receive(
                                { .request = { .node = NodeName(), .number = 1 },
                                  .body = JournalCommand(OpenJob { .id = id, .taskCount = 1 }) },
                                now, out);
                    });
            this->simulation.run(20ms);
        }
    }

    Fake::Simulation simulation;
    std::mt19937_64 random;
    std::vector<JobId> opened;
    int nextJob = 1;
};

TEST(Replication, AMemberThatLostItsDiskComesBackAsAnotherAndCatchesUp)
{
    for (const std::uint64_t seed : { 1U, 2U, 3U, 4U, 5U, 6U }) {
        Group group(seed);
        group.open(40);
        const std::string lost = "journal-a-2";
        auto *process
            = static_cast<Fake::Simulation::JournalProcess *>(group.simulation.find(lost));
        process->wipe();
        // If it led, the others elect a leader first: nobody else takes jobs.
        group.simulation.run(2s);
        group.open(10);
        process->start();
        group.simulation.run(4s);
        const Replica &replica = process->get()->replica();
        EXPECT_NE(replica.self().incarnation, 1U);
        EXPECT_TRUE(replica.membership().isVoter(replica.self())) << "seed " << seed;
        EXPECT_EQ(replica.membership().voterCount(), 3U);
        // A second member may be lost right after the repair.
        auto *second
            = static_cast<Fake::Simulation::JournalProcess *>(group.simulation.find("journal-a-1"));
        second->wipe();
        group.simulation.run(3s);
        ASSERT_NE(group.leader(), nullptr) << "seed " << seed;
        EXPECT_EQ(group.leader()->get()->state().size(), 50U) << "seed " << seed;
    }
}

TEST(Replication, AnEmptyDiskNeverVotes)
{
    Group group(9);
    group.open(5);
    auto *kept
        = static_cast<Fake::Simulation::JournalProcess *>(group.simulation.find("journal-a-1"));
    auto *two
        = static_cast<Fake::Simulation::JournalProcess *>(group.simulation.find("journal-a-2"));
    auto *three
        = static_cast<Fake::Simulation::JournalProcess *>(group.simulation.find("journal-a-3"));
    two->wipe();
    three->wipe();
    kept->kill();
    two->start();
    three->start();
    group.simulation.run(10s);
    // Two members without a past must not form a group that forgot it.
    EXPECT_EQ(group.leader(), nullptr);
    EXPECT_EQ(two->get()->replica().commitIndex(), 0U);
}

TEST(Replication, NobodyVotesOnAPastThatItForgot)
{
    for (const std::uint64_t seed : { 21U, 22U, 23U, 24U }) {
        Group group(seed);
        Fake::Simulation::JournalProcess *former = group.leader();
        ASSERT_NE(former, nullptr);
        std::vector<Fake::Simulation::JournalProcess *> others;
        for (const auto &journal : group.simulation.journals)
            if (journal.get() != former)
                others.push_back(journal.get());
        const auto isolate = [&](const std::string &name) {
            group.simulation.network.cut(name, "*");
            group.simulation.network.cut("*", name);
        };
        // Ten entries are committed by the leader and one other, which then loses its disk.
        isolate(others[0]->name());
        group.open(10);
        others[1]->wipe();
        group.simulation.network.heal();
        isolate(former->name());
        others[1]->start();
        group.simulation.run(5s);
        // The two that can talk hold none of the ten, so they must not go on alone.
        EXPECT_EQ(group.leader(), nullptr) << "seed " << seed;
        group.simulation.network.heal();
        group.simulation.run(5s);
        ASSERT_NE(group.leader(), nullptr) << "seed " << seed;
        EXPECT_EQ(group.leader()->get()->state().size(), 10U) << "seed " << seed;
    }
}

TEST(Replication, AnIsolatedLeaderConfirmsNothing)
{
    Group group(12);
    Fake::Simulation::JournalProcess *former = group.leader();
    ASSERT_NE(former, nullptr);
    group.simulation.network.cut(former->name(), "*");
    group.simulation.network.cut("*", former->name());
    const std::uint64_t commit = former->get()->replica().commitIndex();
    std::size_t answers = 0;
    former->handle([&](JournalNode &node, TimePoint now, JournalNode::Outbox &out) {
        const JobId id(DomainName("a"), now, "isolated");
        node.receive({ .body = JournalCommand(OpenJob { .id = id, .taskCount = 1 }) }, now, out);
        node.receive({ .body = LookUpJob { .id = id } }, now, out);
        for (const JournalResponse &answer : out.responses)
            answers += answer.reply ? 1 : 0;
    });
    group.simulation.run(5s);
    EXPECT_EQ(answers, 0U);
    EXPECT_EQ(former->get()->replica().commitIndex(), commit);
    EXPECT_FALSE(former->get()->replica().isLeader());
    // The others go on, and what the isolated one had alone is gone once it is back.
    Fake::Simulation::JournalProcess *next = group.leader();
    ASSERT_NE(next, nullptr);
    EXPECT_NE(next, former);
    group.simulation.network.heal();
    group.simulation.run(3s);
    EXPECT_EQ(former->get()->state().size(), next->get()->state().size());
}

TEST(Replication, WhatWasAnsweredSurvivesTheCrashOfAll)
{
    for (std::uint64_t seed = 200; seed < 260; ++seed) {
        Group group(seed);
        std::uint64_t answered = 0;
        group.simulation.network.hook = [&](const Fake::Packet &packet) {
            answered += packet.step == Fake::Step::JournalAnswer ? 1 : 0;
            return true;
        };
        Fake::Simulation::JournalProcess *leader = group.leader();
        ASSERT_NE(leader, nullptr);
        std::uniform_int_distribution<int> count(1, 40);
        std::uniform_int_distribution<Duration::rep> gap(100, 4000);
        for (int i = count(group.random); i > 0; --i) {
            const JobId id(DomainName("a"), group.simulation.scheduler.now(), std::to_string(i));
            leader->handle([id](JournalNode &node, TimePoint now, JournalNode::Outbox &out) {
                const RequestId request = { .node = NodeName("entry-1"), .number = 1 };
                node.receive({ .request = request,
                               .body = JournalCommand(OpenJob { .id = id, .taskCount = 1 }) },
                             now, out);
            });
            group.simulation.run(Duration(gap(group.random)));
        }
        for (const auto &journal : group.simulation.journals)
            journal->kill();
        const std::uint64_t promised = answered;
        for (const auto &journal : group.simulation.journals)
            journal->start();
        group.simulation.run(4s);
        ASSERT_NE(group.leader(), nullptr) << "seed " << seed;
        EXPECT_GE(group.leader()->get()->state().size(), promised) << "seed " << seed;
    }
}

TEST(Replication, RandomCrashesLoseNoCommittedEntry)
{
    for (std::uint64_t seed = 100; seed < 140; ++seed) {
        Group group(seed);
        std::uniform_int_distribution<std::size_t> anyMember(0, 2);
        std::uniform_int_distribution<int> percent(0, 99);
        std::uint64_t maxCommitted = 0;
        for (int round = 0; round < 30; ++round) {
            group.open(3);
            auto &member = *group.simulation.journals[anyMember(group.random)];
            if (percent(group.random) < 30 && member.isUp()) {
                member.kill();
                group.simulation.scheduler.after(700ms, [&member] { member.start(); });
            }
            if (percent(group.random) < 20)
                group.simulation.network.cut(member.name(), "*");
            if (percent(group.random) < 30)
                group.simulation.network.heal();
            if (group.leader() != nullptr) {
                const std::uint64_t committed = group.leader()->get()->replica().commitIndex();
                maxCommitted = std::max(maxCommitted, committed);
            }
        }
        group.simulation.network.heal();
        group.simulation.run(4s);
        ASSERT_NE(group.leader(), nullptr) << "seed " << seed;
        EXPECT_GE(group.leader()->get()->replica().commitIndex(), maxCommitted) << "seed " << seed;
        const Bytes expected = group.leader()->get()->state().save();
        for (const auto &journal : group.simulation.journals)
            EXPECT_EQ(journal->get()->state().save(), expected) << "seed " << seed;
    }
}

} // namespace
