#include "test/support/FleetSimulation.h"

#include <algorithm>

namespace Hibiscus::Fake {

namespace {

constexpr Duration orderTimeout = 80ms;
constexpr Duration pollSlack = 100ms;
constexpr Duration stopTime = 50ms; ///< a target ends a stopped run within it
constexpr Duration stopBound = 5s; ///< a gateway that is stopped ends after it
constexpr Duration tickInterval = 10ms;
constexpr Duration listedFor = 1500ms; ///< a gateway that is gone is listed for so long

std::int64_t clockOf(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

RunName taskOf(const RunName &run)
{
    RunName task = run;
    task.attempt = 0;
    return task;
}

std::uint32_t weightOf(double share)
{
    constexpr double weightsPerCore = 100;
    return static_cast<std::uint32_t>(weightsPerCore * share);
}

std::string domainOf(const std::string &name)
{
    return name.substr(name.find('-') + 1, 1);
}

} // namespace

/** \brief One gateway: its life, and what waits for it while it is frozen. */
struct FleetSimulation::Gateway
{
    std::string name;
    std::unique_ptr<FleetNode> node;
    std::uint64_t incarnation = 0;
    bool isFrozen = false;
    std::vector<std::function<void()>> backlog;
    double share = 1; ///< of a core
    TimePoint busyUntil;
    TimePoint downAt;
    FleetTraffic traffic;
};

FleetSimulation::FleetSimulation(const FleetSimulationOptions &options)
    : options(options), random(options.seed)
{
    for (const std::string &domain : options.domains) {
        for (std::uint32_t i = 1; i <= options.gatewaysPerDomain; ++i) {
            auto gateway = std::make_unique<Gateway>();
            gateway->name = "g-" + domain + std::to_string(i);
            if (options.processor)
                gateway->share
                    = options.processor->shares[(i - 1) % options.processor->shares.size()];
            this->gateways[gateway->name] = std::move(gateway);
        }
        for (std::uint32_t i = 1; i <= options.targetsPerDomain; ++i) {
            const std::string name = "t-" + domain + std::to_string(i);
            FleetTarget &target = this->targets[name];
            target.self.name = TargetName(name);
            target.self.incarnation = 1;
            target.self.address = "127.0.0.1:1";
            target.self.service = ServiceName("s");
            target.self.domain = DomainName(domain);
            const FleetTargetKind &kind = options.kinds[(i - 1) % options.kinds.size()];
            target.self.kind = kind.name;
            target.self.capacity = kind.capacity;
            target.speed = kind.speed;
            this->scheduler.after(Duration(1000 * i), [this, name] { this->beat(name); });
        }
    }
    for (const auto &[name, gateway] : this->gateways)
        this->startGateway(*gateway);
}

FleetSimulation::~FleetSimulation() = default;

void FleetSimulation::startGateway(Gateway &gateway)
{
    FleetNodeOptions nodeOptions = this->options.node;
    nodeOptions.self = NodeName(gateway.name);
    nodeOptions.incarnation = ++gateway.incarnation;
    nodeOptions.domain = DomainName(domainOf(gateway.name));
    nodeOptions.targetsAddress = gateway.name;
    nodeOptions.weight = weightOf(gateway.share);
    gateway.node = std::make_unique<FleetNode>(nodeOptions);
    gateway.isFrozen = false;
    gateway.backlog.clear();
    for (const auto &[name, other] : this->gateways)
        gateway.node->updatePeer(this->recordOf(*other), this->now());
    const auto tick = std::make_shared<std::function<void()>>();
    *tick = [this, &gateway, incarnation = gateway.incarnation, tick] {
        if (!gateway.node || gateway.incarnation != incarnation)
            return;
        if (gateway.busyUntil > this->now()) {
            this->scheduler.at(gateway.busyUntil, *tick);
            return;
        }
        if (!gateway.isFrozen) {
            this->occupy(gateway, this->costOf(&FleetProcessor::perTick));
            for (const auto &[name, other] : this->gateways)
                if (other->node || this->now() < other->downAt + listedFor)
                    gateway.node->updatePeer(this->recordOf(*other), this->now());
            gateway.node->tick(this->now());
            this->settle(gateway);
        }
        this->scheduler.after(tickInterval, *tick);
    };
    this->scheduler.after(tickInterval, *tick);
}

void FleetSimulation::deliver(Gateway &gateway, Duration cost, const Work &work)
{
    if (!gateway.node)
        return;
    if (!this->options.processor) {
        this->act(gateway, gateway.incarnation, work);
        return;
    }
    this->scheduler.at(this->occupy(gateway, cost),
                       [this, &gateway, incarnation = gateway.incarnation, work] {
                           this->act(gateway, incarnation, work);
                       });
}

NodeRecord FleetSimulation::recordOf(const Gateway &gateway) const
{
    return { .node = NodeName(gateway.name),
             .domain = DomainName(domainOf(gateway.name)),
             .weight = weightOf(gateway.share),
             .targetsAddress = gateway.name };
}

void FleetSimulation::act(Gateway &gateway, std::uint64_t incarnation, const Work &work)
{
    if (!gateway.node || gateway.incarnation != incarnation)
        return;
    if (gateway.isFrozen) {
        gateway.backlog.emplace_back(
            [this, &gateway, incarnation, work] { this->act(gateway, incarnation, work); });
        return;
    }
    work(*gateway.node, this->now());
    this->settle(gateway);
}

TimePoint FleetSimulation::occupy(Gateway &gateway, Duration cost)
{
    const Duration taken = fromSeconds(toSeconds(cost) / gateway.share);
    gateway.busyUntil = std::max(gateway.busyUntil, this->now()) + taken;
    return gateway.busyUntil;
}

Duration FleetSimulation::costOf(Duration FleetProcessor::*item) const
{
    return this->options.processor ? *this->options.processor.*item : Duration();
}

void FleetSimulation::settle(Gateway &gateway)
{
    const FleetOutbox out = gateway.node->flush(this->now());
    const auto orders = static_cast<std::int64_t>(out.orders.size());
    const auto messages = static_cast<std::int64_t>(out.messages.size());
    this->occupy(gateway,
                 orders * this->costOf(&FleetProcessor::perOrder)
                     + messages * this->costOf(&FleetProcessor::perMessage));
    for (const TargetOrder &order : out.orders)
        this->execute(gateway, order);
    for (const AddressedFleetMessage &item : out.messages)
        this->send(gateway, item);
    for (const JobOutcome &outcome : out.outcomes) {
        for (const std::uint64_t token : outcome.callerTokens) {
            const auto found = this->callers.find(token);
            if (found == this->callers.end() || found->second.isOver)
                continue;
            found->second.isOver = true;
            this->answered[outcome.job] = { .job = outcome.job,
                                            .status = outcome.status,
                                            .reason = outcome.reason,
                                            .elapsed = this->now() - found->second.sentAt };
        }
        if (outcome.status != TransientJobStatus::Refused)
            continue;
        this->refusedJobs.insert(outcome.job);
        // A gateway that gets a job for the second time, after the connection of the first broke,
        // cannot know whether it ran. What it refuses must not start from then on.
        const bool isFirst = this->callers.at(outcome.callerTokens.front()).sends == 1;
        if (isFirst && this->startedJobs.contains(outcome.job))
            this->note("job " + outcome.job + " was refused after a task of it had started: "
                       + toString(outcome.reason) + " by " + gateway.name);
    }
}

void FleetSimulation::send(Gateway &from, const AddressedFleetMessage &item)
{
    const std::string to = item.to.str();
    ++from.traffic.messages;
    if (this->options.countsBytes)
        from.traffic.bytes += encode(item.message).size();
    std::uniform_real_distribution<double> chance(0, 1);
    if (this->isCut(from.name, to) || chance(this->random) < this->options.lostMessages)
        return;
    this->scheduler.after(this->delay(from.name, to), [this, to, message = item.message] {
        this->deliver(*this->gateways.at(to), this->costOf(&FleetProcessor::perMessage),
                      [message](FleetNode &node, TimePoint now) { node.receive(message, now); });
    });
}

void FleetSimulation::execute(Gateway &from, const TargetOrder &order)
{
    if (const auto *polling = std::get_if<PollOrder>(&order)) {
        this->poll(from, *polling, this->now() + polling->maxWait);
        return;
    }
    const OrderAddress &to = std::holds_alternative<StartOrder>(order)
        ? std::get<StartOrder>(order).to
        : std::get<StopOrder>(order).to;
    const std::string targetName = to.target.str();
    const Duration oneWay = this->delay(from.name, targetName);
    const bool isReachable = !this->targets.at(targetName).cutFrom.contains(from.name);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isLate = chance(this->random) < this->options.lateOrders;
    const auto finish = [this, &from, order](const OrderResponse &answer) {
        this->deliver(from, this->costOf(&FleetProcessor::perOrder),
                      [order, answer](FleetNode &node, TimePoint now) {
                          if (const auto *start = std::get_if<StartOrder>(&order))
                              node.handleStartResponse(start->to, start->run, answer, now);
                          if (const auto *stopping = std::get_if<StopOrder>(&order))
                              node.handleStopResponse(stopping->to, stopping->run, answer, now);
                      });
    };
    const auto act = [this, order, targetName]() -> std::optional<OrderResponse> {
        FleetTarget &target = this->targets.at(targetName);
        if (!target.isUp)
            return std::nullopt;
        this->lapse(target);
        if (const auto *start = std::get_if<StartOrder>(&order))
            return this->apply(target, *start);
        return this->apply(target, std::get<StopOrder>(order));
    };
    std::uniform_int_distribution<int> lateness(2'000, 12'000);
    if (isLate)
        this->scheduler.after(std::chrono::milliseconds(lateness(this->random)), [act] { act(); });
    if (isLate || !isReachable) {
        this->scheduler.after(orderTimeout, [finish] { finish({}); });
        return;
    }
    this->scheduler.after(oneWay, [this, act, finish, oneWay] {
        const auto answer = act();
        const Duration back = answer ? oneWay : orderTimeout;
        this->scheduler.after(back,
                              [finish, answer] { finish(answer.value_or(OrderResponse {})); });
    });
}

bool FleetSimulation::obeys(FleetTarget &target, const OrderAddress &to) const
{
    if (to.fencingToken < target.token)
        return false;
    target.token = to.fencingToken;
    return true;
}

OrderResponse FleetSimulation::apply(FleetTarget &target, const StartOrder &order)
{
    const std::int64_t clockMs = clockOf(this->now());
    if (order.to.incarnation != target.self.incarnation)
        return { .status = OrderStatus::StaleIncarnation, .clockMs = clockMs };
    if (!this->obeys(target, order.to))
        return { .status = OrderStatus::Fenced, .clockMs = clockMs };
    if (target.running.contains(order.run))
        return { .status = OrderStatus::Done, .clockMs = clockMs };
    const auto over = target.highestOver.find(taskOf(order.run));
    if (over != target.highestOver.end() && order.run.attempt <= over->second)
        return { .status = OrderStatus::Superseded, .clockMs = clockMs };
    if (order.leaseExpiryMs <= clockMs)
        return { .status = OrderStatus::LeaseExpired, .clockMs = clockMs };
    const Duration lease
        = std::min<Duration>(std::chrono::milliseconds(order.leaseExpiryMs - clockMs), 1s);
    target.leaseUntil = std::max(target.leaseUntil, this->now() + lease);
    for (const auto &[name, other] : this->targets)
        for (const auto &[run, held] : other.running)
            if (other.isUp && run.isSameTask(order.run))
                this->note("task of job " + run.job + " runs twice: on " + name + " and "
                           + target.self.name.str());
    if (this->refusedJobs.contains(order.run.job))
        this->note("job " + order.run.job + " was refused and a task of it starts");
    this->startedJobs.insert(order.run.job);
    ++this->startCount;
    const std::uint64_t number = this->nextRun++;
    target.running[order.run] = { .number = number, .startedAt = this->now() };
    const double seconds
        = toSeconds(this->taskTimes.at(order.run.job).at(order.run.index)) / target.speed;
    this->scheduler.after(fromSeconds(seconds), [this, &target, run = order.run, number] {
        this->lapse(target);
        const auto found = target.running.find(run);
        if (target.isUp && found != target.running.end() && found->second.number == number)
            this->endRun(target, run, TargetRunEnd::Completed);
    });
    return { .status = OrderStatus::Done, .clockMs = clockMs };
}

OrderResponse FleetSimulation::apply(FleetTarget &target, const StopOrder &order)
{
    const std::int64_t clockMs = clockOf(this->now());
    if (order.to.incarnation != target.self.incarnation)
        return { .status = OrderStatus::StaleIncarnation, .clockMs = clockMs };
    if (!this->obeys(target, order.to))
        return { .status = OrderStatus::Fenced, .clockMs = clockMs };
    std::uint64_t &over = target.highestOver[taskOf(order.run)];
    over = std::max(over, order.run.attempt);
    const auto running = target.running.find(order.run);
    if (running != target.running.end())
        running->second.isStopping = true;
    if (running != target.running.end())
        this->scheduler.after(stopTime, [this, &target, run = order.run] {
            if (target.running.contains(run))
                this->endRun(target, run, TargetRunEnd::Stopped);
        });
    return { .status = OrderStatus::Done, .clockMs = clockMs };
}

void FleetSimulation::endRun(FleetTarget &target, const RunName &run, TargetRunEnd end)
{
    target.running.erase(run);
    std::uint64_t &over = target.highestOver[taskOf(run)];
    over = std::max(over, run.attempt);
    target.ended.push_back({ .number = target.nextEnd++, .run = run, .end = end });
}

void FleetSimulation::lapse(FleetTarget &target)
{
    if (this->now() < target.leaseUntil)
        return;
    while (!target.running.empty())
        this->endRun(target, RunName(target.running.begin()->first), TargetRunEnd::LeaseExpired);
}

void FleetSimulation::poll(Gateway &from, const PollOrder &order, TimePoint until)
{
    const std::string name = order.to.target.str();
    const Duration oneWay = this->delay(from.name, name);
    const auto finish
        = [this, &from, to = order.to, sentAt = order.sentAt](const PollResponse &answer) {
              this->deliver(from, this->costOf(&FleetProcessor::perOrder),
                            [to, sentAt, answer](FleetNode &node, TimePoint now) {
                                node.handlePollResponse(to, sentAt, answer, now);
                            });
          };
    FleetTarget &target = this->targets.at(name);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isLost = chance(this->random) < this->options.lateOrders;
    if (isLost || target.cutFrom.contains(from.name) || !target.isUp) {
        this->scheduler.after(order.maxWait + pollSlack, [finish] { finish({}); });
        return;
    }
    const auto look = std::make_shared<std::function<void()>>();
    *look = [this, order, until, finish, oneWay, &target, look] {
        PollResponse answer;
        answer.clockMs = clockOf(this->now());
        if (!target.isUp) {
            this->scheduler.after(pollSlack, [finish] { finish({}); });
            return;
        }
        this->lapse(target);
        if (order.to.incarnation != target.self.incarnation)
            answer.status = OrderStatus::StaleIncarnation;
        else if (!this->obeys(target, order.to))
            answer.status = OrderStatus::Fenced;
        else
            answer.status = OrderStatus::Done;
        if (answer.status == OrderStatus::Done) {
            std::erase_if(target.ended,
                          [&](const EndedRun &e) { return e.number <= order.acknowledgedEnd; });
            const bool hasNews = !target.ended.empty() || this->now() >= until;
            if (!hasNews) {
                this->scheduler.after(2ms, *look);
                return;
            }
            for (const auto &[run, held] : target.running)
                if (!held.isStopping)
                    answer.running.push_back(run);
            answer.ended = target.ended;
        }
        this->scheduler.after(oneWay, [finish, answer] { finish(answer); });
    };
    this->scheduler.after(oneWay, [this, order, &target, look] {
        if (target.isUp && order.to.incarnation == target.self.incarnation
            && this->obeys(target, order.to)) {
            this->lapse(target);
            target.leaseUntil = std::max(target.leaseUntil, this->now() + 1s);
        }
        (*look)();
    });
}

void FleetSimulation::beat(const std::string &name)
{
    FleetTarget &target = this->targets.at(name);
    this->scheduler.after(this->options.heartbeat, [this, name] { this->beat(name); });
    if (!target.isUp)
        return;
    ++target.self.sequence;
    target.self.clockMs = clockOf(this->now());
    std::string to = target.heartbeatAt;
    const auto canHear = [&](const std::string &gateway) {
        const auto found = this->gateways.find(gateway);
        return found != this->gateways.end() && found->second->node && !found->second->isFrozen
            && !target.cutFrom.contains(gateway);
    };
    // As a registry node would: some gateway of the domain that can be heard, or of any other.
    std::vector<std::string> near;
    std::vector<std::string> any;
    for (const auto &[gateway, held] : this->gateways) {
        if (!canHear(gateway))
            continue;
        any.push_back(gateway);
        if (domainOf(gateway) == target.self.domain.str())
            near.push_back(gateway);
    }
    const std::vector<std::string> &choice = near.empty() ? any : near;
    if (!canHear(to)) {
        if (choice.empty())
            return;
        std::uniform_int_distribution<std::size_t> pick(0, choice.size() - 1);
        to = choice[pick(this->random)];
    }
    target.heartbeatAt = to;
    this->scheduler.after(this->delay(to, name), [this, to, name] {
        FleetTarget &said = this->targets.at(name);
        this->deliver(*this->gateways.at(to), this->costOf(&FleetProcessor::perOrder),
                      [&said, target = said.self](FleetNode &node, TimePoint now) {
                          node.handleHeartbeat({ .target = target }, now);
                          const std::string next = node.heartbeatRedirectOf(target.name);
                          if (!next.empty())
                              said.heartbeatAt = next;
                      });
    });
}

std::string FleetSimulation::submit(const std::string &gateway, std::uint32_t tasks,
                                    Duration taskTime, Duration timeout, Duration estimate)
{
    return this->submit(gateway,
                        { .taskTimes = std::vector<Duration>(tasks, taskTime),
                          .estimate = estimate == Duration() ? taskTime : estimate,
                          .timeout = timeout });
}

std::string FleetSimulation::submit(const std::string &gateway, const FleetJob &job)
{
    const std::uint64_t token = this->nextToken++;
    Caller &caller = this->callers[token];
    caller.job.id = "job" + std::to_string(token);
    caller.job.spec = "spec";
    JobStep step;
    step.taskCount = static_cast<std::uint32_t>(job.taskTimes.size());
    step.demand = job.demand;
    step.estimate = job.estimate;
    caller.job.steps = { step };
    caller.policy.route = RouteName(job.route);
    caller.policy.service = ServiceName("s");
    caller.policy.priority = job.priority;
    caller.policy.maxFailures = 3;
    caller.policy.stretch = 1.6;
    caller.policy.slack = 60ms;
    caller.sentAt = this->now();
    caller.deadlineAt = this->now() + job.timeout;
    this->taskTimes[caller.job.id] = job.taskTimes;
    this->place(token, gateway);
    return caller.job.id;
}

void FleetSimulation::place(std::uint64_t token, const std::string &gateway)
{
    Caller &caller = this->callers.at(token);
    caller.gateway = gateway;
    ++caller.sends;
    this->scheduler.after(this->options.callerLatency, [this, token, gateway] {
        Gateway &at = *this->gateways.at(gateway);
        const Caller &from = this->callers.at(token);
        if (from.isOver || this->now() >= from.deadlineAt)
            return;
        if (!at.node) {
            this->breakConnections(gateway);
            return;
        }
        RoutePolicy policy = from.policy;
        policy.untilDeadline = from.deadlineAt - this->now();
        this->deliver(at, this->costOf(&FleetProcessor::perJob),
                      [token, policy, job = from.job](FleetNode &node, TimePoint now) {
                          node.submit(job, policy, token, now);
                      });
    });
    this->scheduler.at(caller.deadlineAt, [this, token, gateway] {
        Caller &gone = this->callers.at(token);
        if (gone.isOver || gone.gateway != gateway)
            return;
        gone.isOver = true;
        Gateway &at = *this->gateways.at(gateway);
        this->deliver(at, {},
                      [token](FleetNode &node, TimePoint now) { node.removeCaller(token, now); });
    });
}

// Callers whose connection breaks send the job again after a while, to another gateway.
void FleetSimulation::breakConnections(const std::string &gateway)
{
    std::vector<std::string> others;
    for (const auto &[name, other] : this->gateways)
        if (name != gateway)
            others.push_back(name);
    for (auto &[token, caller] : this->callers) {
        if (caller.isOver || caller.gateway != gateway)
            continue;
        if (this->now() + this->options.resend >= caller.deadlineAt)
            continue;
        std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
        caller.gateway.clear();
        this->scheduler.after(
            this->options.resend,
            [this, number = token, to = others[pick(this->random)]] { this->place(number, to); });
    }
}

void FleetSimulation::kill(const std::string &gateway, Duration downFor)
{
    Gateway &killed = *this->gateways.at(gateway);
    killed.node.reset();
    killed.downAt = this->now();
    this->breakConnections(gateway);
    this->scheduler.after(downFor, [this, &killed] {
        if (!killed.node)
            this->startGateway(killed);
    });
}

void FleetSimulation::freeze(const std::string &gateway, Duration span)
{
    Gateway &frozen = *this->gateways.at(gateway);
    frozen.isFrozen = true;
    this->scheduler.after(span, [&frozen, incarnation = frozen.incarnation] {
        if (frozen.incarnation != incarnation)
            return;
        frozen.isFrozen = false;
        for (const auto &work : std::exchange(frozen.backlog, {}))
            work();
    });
}

void FleetSimulation::stop(const std::string &gateway)
{
    this->deliver(*this->gateways.at(gateway), {},
                  [](FleetNode &node, TimePoint now) { node.drain(now + stopBound); });
}

void FleetSimulation::cut(const std::string &one, const std::string &other)
{
    if (this->targets.contains(other))
        this->targets.at(other).cutFrom.insert(one);
    else
        this->cuts.insert(std::minmax(one, other));
}

void FleetSimulation::heal()
{
    this->cuts.clear();
    for (auto &[name, target] : this->targets)
        target.cutFrom.clear();
}

void FleetSimulation::crash(const std::string &target, Duration downFor)
{
    FleetTarget &crashed = this->targets.at(target);
    crashed.isUp = false;
    crashed.running.clear();
    crashed.ended.clear();
    this->scheduler.after(downFor, [this, &crashed] {
        FleetTarget fresh;
        fresh.self = crashed.self;
        fresh.self.incarnation = crashed.self.incarnation + 1;
        fresh.self.sequence = 0;
        fresh.speed = crashed.speed;
        fresh.cutFrom = crashed.cutFrom;
        crashed = fresh;
    });
}

void FleetSimulation::slowDown(const std::string &target, double factor)
{
    this->targets.at(target).speed /= factor;
}

void FleetSimulation::setDraining(const std::string &target)
{
    this->targets.at(target).self.state = TargetState::Draining;
}

std::vector<std::string> FleetSimulation::gatewayNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, gateway] : this->gateways)
        names.push_back(name);
    return names;
}

std::vector<std::string> FleetSimulation::targetNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, target] : this->targets)
        names.push_back(name);
    return names;
}

const FleetNode *FleetSimulation::gateway(const std::string &name) const
{
    return this->gateways.at(name)->node.get();
}

const FleetTraffic &FleetSimulation::traffic(const std::string &gateway) const
{
    return this->gateways.at(gateway)->traffic;
}

double FleetSimulation::served() const
{
    const auto completed = std::ranges::count_if(this->answered, [](const auto &item) {
        return item.second.status == TransientJobStatus::Completed;
    });
    return this->callers.empty()
        ? 1
        : static_cast<double>(completed) / static_cast<double>(this->callers.size());
}

bool FleetSimulation::isCut(const std::string &one, const std::string &other) const
{
    return this->cuts.contains(std::minmax(one, other));
}

Duration FleetSimulation::delay(const std::string &one, const std::string &other) const
{
    return domainOf(one) == domainOf(other) ? this->options.intraDomainLatency
                                            : this->options.interDomainLatency;
}

void FleetSimulation::note(const std::string &promise)
{
    this->brokenPromises.push_back(promise);
}

} // namespace Hibiscus::Fake
