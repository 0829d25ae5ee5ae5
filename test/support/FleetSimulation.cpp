#include "test/support/FleetSimulation.h"

#include <algorithm>

namespace Hibiscus::Fake {

namespace {

constexpr Duration orderTimeout = 80ms;
constexpr Duration pollSlack = 100ms;
constexpr Duration stopTime = 50ms; ///< time in which a target ends a stopped run
constexpr Duration drainTimeout = 5s; ///< time until a draining gateway shuts down
constexpr Duration tickInterval = 10ms;
constexpr Duration listingLifetime = 1500ms; ///< time that a failed gateway stays listed

std::int64_t toClockMs(TimePoint now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
}

RunName taskOf(const RunName &run)
{
    RunName task = run;
    task.attempt = 0;
    return task;
}

std::uint32_t weightOf(double cpuShare)
{
    constexpr double weightsPerCore = 100;
    return static_cast<std::uint32_t>(weightsPerCore * cpuShare);
}

std::string domainOf(const std::string &name)
{
    return name.substr(name.find('-') + 1, 1);
}

} // namespace

/** \brief Process of a gateway, with the work that is deferred while it is frozen. */
struct FleetSimulation::Gateway
{
    std::string name;
    std::unique_ptr<FleetNode> node;
    std::uint64_t incarnation = 0;
    bool isFrozen = false;
    std::vector<std::function<void()>> deferredWork;
    double cpuShare = 1; ///< share of a core
    TimePoint busyUntil;
    TimePoint stoppedAt;
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
                gateway->cpuShare
                    = options.processor->cpuShares[(i - 1) % options.processor->cpuShares.size()];
            this->gateways[gateway->name] = std::move(gateway);
        }
        for (std::uint32_t i = 1; i <= options.targetsPerDomain; ++i) {
            const std::string name = "t-" + domain + std::to_string(i);
            FleetTarget &target = this->targets[name];
            target.description.name = TargetName(name);
            target.description.incarnation = 1;
            target.description.address = "127.0.0.1:1";
            target.description.service = ServiceName("s");
            target.description.domain = DomainName(domain);
            const FleetTargetKind &kind = options.kinds[(i - 1) % options.kinds.size()];
            target.description.kind = kind.name;
            target.description.capacity = kind.capacity;
            target.speed = kind.speed;
            this->scheduler.after(Duration(1000 * i), [this, name] { this->sendHeartbeat(name); });
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
    nodeOptions.weight = weightOf(gateway.cpuShare);
    gateway.node = std::make_unique<FleetNode>(nodeOptions);
    gateway.isFrozen = false;
    gateway.deferredWork.clear();
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
                if (other->node || this->now() < other->stoppedAt + listingLifetime)
                    gateway.node->updatePeer(this->recordOf(*other), this->now());
            gateway.node->tick(this->now());
            this->flush(gateway);
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
        this->runWork(gateway, gateway.incarnation, work);
        return;
    }
    this->scheduler.at(this->occupy(gateway, cost),
                       [this, &gateway, incarnation = gateway.incarnation, work] {
                           this->runWork(gateway, incarnation, work);
                       });
}

NodeRecord FleetSimulation::recordOf(const Gateway &gateway) const
{
    return { .node = NodeName(gateway.name),
             .domain = DomainName(domainOf(gateway.name)),
             .weight = weightOf(gateway.cpuShare),
             .targetsAddress = gateway.name };
}

void FleetSimulation::runWork(Gateway &gateway, std::uint64_t incarnation, const Work &work)
{
    if (!gateway.node || gateway.incarnation != incarnation)
        return;
    if (gateway.isFrozen) {
        gateway.deferredWork.emplace_back(
            [this, &gateway, incarnation, work] { this->runWork(gateway, incarnation, work); });
        return;
    }
    work(*gateway.node, this->now());
    this->flush(gateway);
}

TimePoint FleetSimulation::occupy(Gateway &gateway, Duration cost)
{
    const Duration busyTime = fromSeconds(toSeconds(cost) / gateway.cpuShare);
    gateway.busyUntil = std::max(gateway.busyUntil, this->now()) + busyTime;
    return gateway.busyUntil;
}

Duration FleetSimulation::costOf(Duration FleetProcessor::*item) const
{
    return this->options.processor ? *this->options.processor.*item : Duration();
}

void FleetSimulation::flush(Gateway &gateway)
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
            if (found == this->callers.end() || found->second.isFinished)
                continue;
            found->second.isFinished = true;
            this->receivedAnswers[outcome.job] = { .job = outcome.job,
                                                   .status = outcome.status,
                                                   .reason = outcome.reason,
                                                   .elapsed = this->now() - found->second.sentAt };
        }
        if (outcome.status != TransientJobStatus::Refused)
            continue;
        this->refusedJobs.insert(outcome.job);
        // A gateway that receives a job again, after the caller's first connection broke, cannot
        // know whether it ran. If it refuses the job, no task may start afterwards.
        const bool isFirst = this->callers.at(outcome.callerTokens.front()).sendCount == 1;
        if (isFirst && this->startedJobs.contains(outcome.job))
            this->recordViolation("job " + outcome.job
                                  + " was refused after one of its tasks had started: "
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
    if (this->isDisconnected(from.name, to)
        || chance(this->random) < this->options.lostMessageShare)
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
    const bool isReachable = !this->targets.at(targetName).unreachableGateways.contains(from.name);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isLate = chance(this->random) < this->options.lateOrderShare;
    const auto deliverResponse = [this, &from, order](const OrderResponse &response) {
        this->deliver(from, this->costOf(&FleetProcessor::perOrder),
                      [order, response](FleetNode &node, TimePoint now) {
                          if (const auto *start = std::get_if<StartOrder>(&order))
                              node.handleStartResponse(start->to, start->run, response, now);
                          if (const auto *stopping = std::get_if<StopOrder>(&order))
                              node.handleStopResponse(stopping->to, stopping->run, response, now);
                      });
    };
    const auto execute = [this, order, targetName]() -> std::optional<OrderResponse> {
        FleetTarget &target = this->targets.at(targetName);
        if (!target.isUp)
            return std::nullopt;
        this->expireLease(target);
        if (const auto *start = std::get_if<StartOrder>(&order))
            return this->apply(target, *start);
        return this->apply(target, std::get<StopOrder>(order));
    };
    std::uniform_int_distribution<int> lateness(2'000, 12'000);
    if (isLate)
        this->scheduler.after(std::chrono::milliseconds(lateness(this->random)),
                              [execute] { execute(); });
    if (isLate || !isReachable) {
        this->scheduler.after(orderTimeout, [deliverResponse] { deliverResponse({}); });
        return;
    }
    this->scheduler.after(oneWay, [this, execute, deliverResponse, oneWay] {
        const auto response = execute();
        const Duration back = response ? oneWay : orderTimeout;
        this->scheduler.after(back, [deliverResponse, response] {
            deliverResponse(response.value_or(OrderResponse {}));
        });
    });
}

bool FleetSimulation::acceptsToken(FleetTarget &target, const OrderAddress &to) const
{
    if (to.fencingToken < target.highestFencingToken)
        return false;
    target.highestFencingToken = to.fencingToken;
    return true;
}

OrderResponse FleetSimulation::apply(FleetTarget &target, const StartOrder &order)
{
    const std::int64_t clockMs = toClockMs(this->now());
    if (order.to.incarnation != target.description.incarnation)
        return { .status = OrderStatus::StaleIncarnation, .clockMs = clockMs };
    if (!this->acceptsToken(target, order.to))
        return { .status = OrderStatus::Fenced, .clockMs = clockMs };
    if (target.running.contains(order.run))
        return { .status = OrderStatus::Done, .clockMs = clockMs };
    const auto endedAttempt = target.highestEndedAttempt.find(taskOf(order.run));
    if (endedAttempt != target.highestEndedAttempt.end()
        && order.run.attempt <= endedAttempt->second)
        return { .status = OrderStatus::Superseded, .clockMs = clockMs };
    if (order.leaseExpiryMs <= clockMs)
        return { .status = OrderStatus::LeaseExpired, .clockMs = clockMs };
    const Duration lease
        = std::min<Duration>(std::chrono::milliseconds(order.leaseExpiryMs - clockMs), 1s);
    target.leaseExpiresAt = std::max(target.leaseExpiresAt, this->now() + lease);
    for (const auto &[name, other] : this->targets)
        for (const auto &[run, state] : other.running)
            if (other.isUp && run.isSameTask(order.run))
                this->recordViolation("task of job " + run.job + " has two concurrent runs: on "
                                      + name + " and " + target.description.name.str());
    if (this->refusedJobs.contains(order.run.job))
        this->recordViolation("job " + order.run.job
                              + " was refused, but one of its tasks is started");
    this->startedJobs.insert(order.run.job);
    ++this->startCount;
    const std::uint64_t number = this->nextRun++;
    target.running[order.run] = { .eventNumber = number, .startedAt = this->now() };
    const double seconds
        = toSeconds(this->taskTimes.at(order.run.job).at(order.run.index)) / target.speed;
    this->scheduler.after(fromSeconds(seconds), [this, &target, run = order.run, number] {
        this->expireLease(target);
        const auto found = target.running.find(run);
        if (target.isUp && found != target.running.end() && found->second.eventNumber == number)
            this->endRun(target, run, TargetRunEnd::Completed);
    });
    return { .status = OrderStatus::Done, .clockMs = clockMs };
}

OrderResponse FleetSimulation::apply(FleetTarget &target, const StopOrder &order)
{
    const std::int64_t clockMs = toClockMs(this->now());
    if (order.to.incarnation != target.description.incarnation)
        return { .status = OrderStatus::StaleIncarnation, .clockMs = clockMs };
    if (!this->acceptsToken(target, order.to))
        return { .status = OrderStatus::Fenced, .clockMs = clockMs };
    std::uint64_t &endedAttempt = target.highestEndedAttempt[taskOf(order.run)];
    endedAttempt = std::max(endedAttempt, order.run.attempt);
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
    std::uint64_t &endedAttempt = target.highestEndedAttempt[taskOf(run)];
    endedAttempt = std::max(endedAttempt, run.attempt);
    target.ended.push_back({ .number = target.nextEndNumber++, .run = run, .end = end });
}

void FleetSimulation::expireLease(FleetTarget &target)
{
    if (this->now() < target.leaseExpiresAt)
        return;
    while (!target.running.empty())
        this->endRun(target, RunName(target.running.begin()->first), TargetRunEnd::LeaseExpired);
}

void FleetSimulation::poll(Gateway &from, const PollOrder &order, TimePoint until)
{
    const std::string name = order.to.target.str();
    const Duration oneWay = this->delay(from.name, name);
    const auto deliverResponse
        = [this, &from, to = order.to, sentAt = order.sentAt](const PollResponse &response) {
              this->deliver(from, this->costOf(&FleetProcessor::perOrder),
                            [to, sentAt, response](FleetNode &node, TimePoint now) {
                                node.handlePollResponse(to, sentAt, response, now);
                            });
          };
    FleetTarget &target = this->targets.at(name);
    std::uniform_real_distribution<double> chance(0, 1);
    const bool isLost = chance(this->random) < this->options.lateOrderShare;
    if (isLost || target.unreachableGateways.contains(from.name) || !target.isUp) {
        this->scheduler.after(order.maxWait + pollSlack,
                              [deliverResponse] { deliverResponse({}); });
        return;
    }
    const auto respondOrWait = std::make_shared<std::function<void()>>();
    *respondOrWait = [this, order, until, deliverResponse, oneWay, &target, respondOrWait] {
        PollResponse response;
        response.clockMs = toClockMs(this->now());
        if (!target.isUp) {
            this->scheduler.after(pollSlack, [deliverResponse] { deliverResponse({}); });
            return;
        }
        this->expireLease(target);
        if (order.to.incarnation != target.description.incarnation)
            response.status = OrderStatus::StaleIncarnation;
        else if (!this->acceptsToken(target, order.to))
            response.status = OrderStatus::Fenced;
        else
            response.status = OrderStatus::Done;
        if (response.status == OrderStatus::Done) {
            std::erase_if(target.ended,
                          [&](const EndedRun &e) { return e.number <= order.acknowledgedEnd; });
            const bool isResponseDue = !target.ended.empty() || this->now() >= until;
            if (!isResponseDue) {
                this->scheduler.after(2ms, *respondOrWait);
                return;
            }
            for (const auto &[run, state] : target.running)
                if (!state.isStopping)
                    response.running.push_back(run);
            response.ended = target.ended;
        }
        this->scheduler.after(oneWay, [deliverResponse, response] { deliverResponse(response); });
    };
    this->scheduler.after(oneWay, [this, order, &target, respondOrWait] {
        if (target.isUp && order.to.incarnation == target.description.incarnation
            && this->acceptsToken(target, order.to)) {
            this->expireLease(target);
            target.leaseExpiresAt = std::max(target.leaseExpiresAt, this->now() + 1s);
        }
        (*respondOrWait)();
    });
}

void FleetSimulation::sendHeartbeat(const std::string &name)
{
    FleetTarget &target = this->targets.at(name);
    this->scheduler.after(this->options.heartbeatInterval,
                          [this, name] { this->sendHeartbeat(name); });
    if (!target.isUp)
        return;
    ++target.description.sequence;
    target.description.clockMs = toClockMs(this->now());
    std::string to = target.heartbeatGateway;
    const auto isReachable = [&](const std::string &gateway) {
        const auto found = this->gateways.find(gateway);
        return found != this->gateways.end() && found->second->node && !found->second->isFrozen
            && !target.unreachableGateways.contains(gateway);
    };
    // Like a registry node, selects a reachable gateway of the domain, or of any domain if none is.
    std::vector<std::string> near;
    std::vector<std::string> any;
    for (const auto &[gateway, state] : this->gateways) {
        if (!isReachable(gateway))
            continue;
        any.push_back(gateway);
        if (domainOf(gateway) == target.description.domain.str())
            near.push_back(gateway);
    }
    const std::vector<std::string> &choice = near.empty() ? any : near;
    if (!isReachable(to)) {
        if (choice.empty())
            return;
        std::uniform_int_distribution<std::size_t> pick(0, choice.size() - 1);
        to = choice[pick(this->random)];
    }
    target.heartbeatGateway = to;
    this->scheduler.after(this->delay(to, name), [this, to, name] {
        FleetTarget &sender = this->targets.at(name);
        this->deliver(*this->gateways.at(to), this->costOf(&FleetProcessor::perOrder),
                      [&sender, target = sender.description](FleetNode &node, TimePoint now) {
                          node.handleHeartbeat({ .target = target }, now);
                          const std::string next = node.heartbeatRedirectOf(target.name);
                          if (!next.empty())
                              sender.heartbeatGateway = next;
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
    this->sendJob(token, gateway);
    return caller.job.id;
}

void FleetSimulation::sendJob(std::uint64_t token, const std::string &gateway)
{
    Caller &caller = this->callers.at(token);
    caller.gateway = gateway;
    ++caller.sendCount;
    this->scheduler.after(this->options.callerLatency, [this, token, gateway] {
        Gateway &at = *this->gateways.at(gateway);
        const Caller &from = this->callers.at(token);
        if (from.isFinished || this->now() >= from.deadlineAt)
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
        Caller &expired = this->callers.at(token);
        if (expired.isFinished || expired.gateway != gateway)
            return;
        expired.isFinished = true;
        Gateway &at = *this->gateways.at(gateway);
        this->deliver(at, {},
                      [token](FleetNode &node, TimePoint now) { node.removeCaller(token, now); });
    });
}

// Callers whose connection breaks send the job again to another gateway after a delay.
void FleetSimulation::breakConnections(const std::string &gateway)
{
    std::vector<std::string> others;
    for (const auto &[name, other] : this->gateways)
        if (name != gateway)
            others.push_back(name);
    for (auto &[token, caller] : this->callers) {
        if (caller.isFinished || caller.gateway != gateway)
            continue;
        if (this->now() + this->options.resendDelay >= caller.deadlineAt)
            continue;
        std::uniform_int_distribution<std::size_t> pick(0, others.size() - 1);
        caller.gateway.clear();
        this->scheduler.after(
            this->options.resendDelay,
            [this, number = token, to = others[pick(this->random)]] { this->sendJob(number, to); });
    }
}

void FleetSimulation::kill(const std::string &gateway, Duration downFor)
{
    Gateway &killedGateway = *this->gateways.at(gateway);
    killedGateway.node.reset();
    killedGateway.stoppedAt = this->now();
    this->breakConnections(gateway);
    this->scheduler.after(downFor, [this, &killedGateway] {
        if (!killedGateway.node)
            this->startGateway(killedGateway);
    });
}

void FleetSimulation::freeze(const std::string &gateway, Duration span)
{
    Gateway &frozenGateway = *this->gateways.at(gateway);
    frozenGateway.isFrozen = true;
    this->scheduler.after(span, [&frozenGateway, incarnation = frozenGateway.incarnation] {
        if (frozenGateway.incarnation != incarnation)
            return;
        frozenGateway.isFrozen = false;
        for (const auto &work : std::exchange(frozenGateway.deferredWork, {}))
            work();
    });
}

void FleetSimulation::drain(const std::string &gateway)
{
    this->deliver(*this->gateways.at(gateway), {},
                  [](FleetNode &node, TimePoint now) { node.drain(now + drainTimeout); });
}

void FleetSimulation::disconnect(const std::string &one, const std::string &other)
{
    if (this->targets.contains(other))
        this->targets.at(other).unreachableGateways.insert(one);
    else
        this->disconnectedPairs.insert(std::minmax(one, other));
}

void FleetSimulation::heal()
{
    this->disconnectedPairs.clear();
    for (auto &[name, target] : this->targets)
        target.unreachableGateways.clear();
}

void FleetSimulation::crash(const std::string &target, Duration downFor)
{
    FleetTarget &crashed = this->targets.at(target);
    crashed.isUp = false;
    crashed.running.clear();
    crashed.ended.clear();
    this->scheduler.after(downFor, [this, &crashed] {
        FleetTarget restarted;
        restarted.description = crashed.description;
        restarted.description.incarnation = crashed.description.incarnation + 1;
        restarted.description.sequence = 0;
        restarted.speed = crashed.speed;
        restarted.unreachableGateways = crashed.unreachableGateways;
        crashed = restarted;
    });
}

void FleetSimulation::slowDown(const std::string &target, double factor)
{
    this->targets.at(target).speed /= factor;
}

void FleetSimulation::setDraining(const std::string &target)
{
    this->targets.at(target).description.state = TargetState::Draining;
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

double FleetSimulation::servedShare() const
{
    const auto completed = std::ranges::count_if(this->receivedAnswers, [](const auto &item) {
        return item.second.status == TransientJobStatus::Completed;
    });
    return this->callers.empty()
        ? 1
        : static_cast<double>(completed) / static_cast<double>(this->callers.size());
}

bool FleetSimulation::isDisconnected(const std::string &one, const std::string &other) const
{
    return this->disconnectedPairs.contains(std::minmax(one, other));
}

Duration FleetSimulation::delay(const std::string &one, const std::string &other) const
{
    return domainOf(one) == domainOf(other) ? this->options.intraDomainLatency
                                            : this->options.interDomainLatency;
}

void FleetSimulation::recordViolation(const std::string &violation)
{
    this->recordedViolations.push_back(violation);
}

} // namespace Hibiscus::Fake
