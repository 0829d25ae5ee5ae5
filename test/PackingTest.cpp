#include <Hibiscus/Fleet>
#include <gtest/gtest.h>

#include <random>

using namespace Hibiscus;

namespace {

constexpr std::int64_t meanCpu = 27'000;

/** \brief Demands of about half a small target of 64 cores, with a spread of 20%. */
class Demands
{
public:
    Capacity next()
    {
        std::lognormal_distribution<double> factor(-0.02, 0.2);
        constexpr double limit = 41'000;
        return { .cpu = static_cast<std::int64_t>(
                     std::min(static_cast<double>(meanCpu) * factor(this->random), limit)) };
    }

private:
    std::mt19937_64 random { 1 };
};

PackingModel learnedModel()
{
    PackingModel model;
    Demands demands;
    for (int i = 0; i < 64; ++i)
        model.addDemand(demands.next());
    return model;
}

TEST(Packing, GapBelowUsualDemandsIsWaste)
{
    const PackingModel model = learnedModel();
    EXPECT_NEAR(model.expectedWaste({ .cpu = 10'000 }), 10'000, 100);
    EXPECT_LT(model.expectedWaste({ .cpu = 64'000 }), 20'000);
    EXPECT_GT(model.expectedWaste({ .cpu = 22'000 }), model.expectedWaste({ .cpu = 32'000 }));
    EXPECT_EQ(model.expectedWaste({}), 0);
}

TEST(Packing, TaskFillsTheGapThatItFitsBest)
{
    const PackingModel model = learnedModel();
    const Capacity demand = { .cpu = 33'000 };
    EXPECT_LT(model.wasteOf({ .cpu = 35'000 }, demand), model.wasteOf({ .cpu = 64'000 }, demand));
    EXPECT_LT(model.wasteOf({ .cpu = 64'000 }, demand), model.wasteOf({ .cpu = 54'000 }, demand))
        << "two usual tasks fit into the smaller gap, but none beside this one";
}

/** \brief Owner of empty targets that differ slightly in their learned speeds. */
class LearnedOwner
{
public:
    explicit LearnedOwner(bool packsTargets) : owner({ .packsTargets = packsTargets })
    {
        for (int i = 0; i < targetCount; ++i)
            this->addTarget("t" + std::to_string(i), i % 3 == 0 ? 96'000 : smallCpu);
        this->respond();
        // A lease of a former owner is over, and the stops that it may have sent.
        this->advance(1100ms);
        this->advance(TargetDriverOptions {}.maxStopTime);
        for (int i = 0; i < targetCount; ++i)
            this->request(RunName { .job = "first", .index = static_cast<std::uint32_t>(i) },
                          { .cpu = meanCpu }, 1);
        this->advance(50ms);
        while (!this->running.empty()) {
            this->ending = this->running.begin()->first;
            this->advance(1ms);
            this->running.erase(this->ending);
        }
        this->ending = TargetName();
    }

    /** \brief Requests a task. \returns whether it has started. */
    bool request(const Capacity &demand)
    {
        const std::size_t before = this->owner.runningRunCount();
        this->request(RunName { .job = "j" + std::to_string(++this->requestCount) }, demand, 0);
        return this->owner.runningRunCount() > before;
    }

private:
    void request(RunName run, const Capacity &demand, std::uint32_t maxPerTarget)
    {
        run.attempt = 1;
        this->owner.requestRun({ .run = run,
                                 .service = ServiceName("s"),
                                 .demand = demand,
                                 .estimate = 50ms,
                                 .untilObjective = 1s,
                                 .untilDeadline = 1500ms,
                                 .maxPerTarget = maxPerTarget },
                               { .node = NodeName("a"), .incarnation = 1 }, this->now);
        this->respond();
    }

    static constexpr int targetCount = 24;
    static constexpr std::int64_t smallCpu = 64'000;

    void addTarget(const std::string &name, std::int64_t cpu)
    {
        this->owner.updateTarget({ .name = TargetName(name),
                                   .incarnation = 1,
                                   .service = ServiceName("s"),
                                   .kind = name,
                                   .capacity = { .cpu = cpu },
                                   .sequence = ++this->sequence },
                                 this->now);
    }

    void advance(Duration span)
    {
        this->now += span;
        for (const TargetName &name : this->owner.targetNames())
            this->addTarget(name.str(), this->owner.findTarget(name)->capacity.cpu);
        this->respond();
    }

    void respond()
    {
        this->owner.tick([&](const Requester &) { return std::optional(this->now); }, this->now);
        for (const TargetOrder &order : this->owner.takeOrders()) {
            if (const auto *start = std::get_if<StartOrder>(&order)) {
                this->running.emplace(start->to.target, start->run);
                this->owner.handleStartResponse(start->to, start->run,
                                                { .status = OrderStatus::Done, .clockMs = 10 },
                                                this->now);
            }
            if (const auto *poll = std::get_if<PollOrder>(&order))
                this->respond(*poll);
        }
    }

    void respond(const PollOrder &poll)
    {
        PollResponse response = { .status = OrderStatus::Done, .clockMs = 10 };
        for (const auto &[target, run] : this->running) {
            if (target != poll.to.target)
                continue;
            response.running.push_back(run);
            if (target == this->ending)
                response.ended = { { .number = 1, .run = run, .end = TargetRunEnd::Completed } };
        }
        this->owner.handlePollResponse(poll.to, poll.sentAt, response, this->now);
    }

    TimePoint now { 1'800'000'000s };
    FleetOwner owner;
    std::multimap<TargetName, RunName> running;
    TargetName ending; ///< lists its run as ended
    std::uint64_t sequence = 0;
    int requestCount = 0;
};

// At a crest the targets are filled until a task finds no room. Demands are about half of a small
// target, so whether two fit depends on which two.
TEST(Packing, MoreTasksFitOnTheTargetsAtACrest)
{
    const auto countStarted = [](bool packsTargets) {
        LearnedOwner owner(packsTargets);
        Demands demands;
        std::size_t started = 0;
        for (int i = 0; i < 80; ++i)
            started += owner.request(demands.next()) ? 1U : 0U;
        return started;
    };
    const std::size_t before = countStarted(false);
    const std::size_t packed = countStarted(true);
    RecordProperty("before", static_cast<int>(before));
    EXPECT_GE(packed, before + 2) << "without packing " << before;
}

} // namespace
