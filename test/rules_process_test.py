#!/usr/bin/env python3
"""Tests of whole gateways and registry nodes: which version of the configuration gateways answer by.

Processes are killed, stopped and started again, and registry nodes lose their data folders, while an
operator changes the configuration and clients ask every gateway for added and dropped routes.
Usage: rules_process_test.py BINARIES [--seed N] [--seconds S] [--large] [--network N]
Without --seed: the directed tests, and short soaks with fixed seeds. With it: one soak.
"""
import argparse
import asyncio
import concurrent.futures
import dataclasses
import json
import os
import random
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
from loopback_fleet import CALLER_PORT, CONTROL_PORT, HOST, SERVICE, Fleet, call, rules  # noqa: E402

OTHER_SERVICE = "svc2"
# Words of the users: a change is in force, and a machine is in touch, after these times.
APPLY_S, CONTACT_S, CATCH_UP_S, REGRESS_S, RECOVERY_S = 2.5, 4, 4, 0.25, 15
# An operator sends a change again after this time, at another node.
OPERATOR_TIMEOUT_S = 1
LARGE_CHANGE_ROUTES = 1400
FAILED_CALL = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)


def routes_body(version, routes):
    """Returns a configuration with the routes, given as pairs of a name and a service."""
    body = rules(version, 1500)
    first = body["routes"][0]
    body["services"].append({**body["services"][0], "name": OTHER_SERVICE})
    body["routes"] = [{**first, "name": name, "path_prefix": f"/{name}/", "service": service}
                      for name, service in routes]
    return body


async def send_change(fleet, body, give_up_at):
    """Sends a change to the registry nodes in turn until one acknowledges it."""
    while time.monotonic() < give_up_at:
        for ip in fleet.registries:
            try:
                status, _ = await asyncio.wait_for(
                    call(ip, CONTROL_PORT, "POST", "/api/config/replace", body), OPERATOR_TIMEOUT_S)
            except FAILED_CALL:
                continue
            if status == 200:
                return time.monotonic()
            if status == 400:
                raise AssertionError(f"{ip} refused version {body['version']}, which is new or was sent before")
        await asyncio.sleep(0.05)
    raise AssertionError(f"version {body['version']} was not acknowledged by {sorted(fleet.registries)}")


class Connection:
    """A connection of a client, which stays open until the gateway's process is gone."""

    def __init__(self, ip):
        self.ip, self.reader, self.writer = ip, None, None

    async def ask(self, method, path, body=b""):
        """Returns the status of a response, or None if the connection ended."""
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.ip, CALLER_PORT), 2)
            self.writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ndeadline-ms: 1000\r\n"
                              f"content-length: {len(body)}\r\n\r\n".encode() + body)
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
            if "transfer-encoding: chunked" in head:
                while (size := int(await self.reader.readuntil(b"\r\n"), 16)) > 0:
                    await self.reader.readexactly(size + 2)
                await self.reader.readexactly(2)
            else:
                await self.reader.readexactly(int(head.partition("content-length:")[2].split("\r\n")[0] or 0))
            return int(head.split(" ", 2)[1])
        except FAILED_CALL:
            self.close()
            return None

    async def submit(self, name):
        """Submits a job on a route and returns its ID and the status."""
        job = f"{random.getrandbits(64):016x}"
        body = {"spec": "{\"s\": 0.01}", "best_effort": True,
                "phases": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimated_ms": 10}]}
        return job, await self.ask("POST", f"/{name}/{job}", json.dumps(body).encode())

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None


async def loss_of_power(binaries, network, lost, are_back, frozen):
    """Kills all processes behind an acknowledged change; returns the failures.

    `lost` of five registry nodes lose their disks, and `frozen` of the others stop for 6 s.
    """
    fleet, failures = Fleet(binaries, gateways=4, targets=3, registries=5, network=network), []
    try:
        await fleet.start()
        for version in range(2, 73):
            routes = [("r", SERVICE)] + [("added", SERVICE)] * (version == 72)
            await send_change(fleet, routes_body(version, routes), time.monotonic() + 30)
        fleet.kill(fleet.names())
        killed_at = time.monotonic()
        gone, kept = fleet.names("registry")[:lost], fleet.names("registry")[lost:]
        for name in gone:
            fleet.lose_disk(name)
        fleet.start_again(kept + (gone if are_back else []) + fleet.names("gateway"))
        await asyncio.sleep(0.2)
        fleet.freeze(kept[:frozen])
        older, connections = [0] * 4, [Connection(ip) for ip in fleet.gateways]

        async def ask(number, connection):
            while True:
                older[number] += (await connection.ask("GET", "/added/")) == 404
                older[number] += (await connection.submit("added"))[1] == 404
                await asyncio.sleep(0.05)

        tasks = [asyncio.ensure_future(ask(*item)) for item in enumerate(connections)]
        await asyncio.sleep(killed_at + 6 - time.monotonic())
        fleet.resume(kept)
        await asyncio.sleep(12)
        for task, connection in zip(tasks, connections):
            task.cancel()
            connection.close()
        if sum(older):
            failures.append(f"404 on an acknowledged route, by gateway: {older}")
        for name in kept:
            line = json.loads(fleet.log_of(name).read_text().split("\n")[0])
            if int(line["rules_version"]) == int(line["logged_rules_version"]):
                failures.append(f"the route is in the snapshot of {name}, so this run shows nothing")
        for ip in fleet.gateways:
            connection = Connection(ip)
            statuses = [await connection.ask("GET", "/added/"), (await connection.submit("added"))[1]]
            if statuses != [200, 200]:
                failures.append(f"{ip} answers {statuses} 12 s after the last disruption")
            connection.close()
        failures += [f"ended by itself: {name}, {code}" for name, code in fleet.ended_by_themselves().items()]
    except AssertionError as failure:
        failures.append(str(failure))
    finally:
        path = await fleet.stop(keep_folder=bool(failures) or "KEEP_LOGS" in os.environ)
    if path:
        print(f"{lost} disks lost, nodes {'back' if are_back else 'away'}, {frozen} stopped: {path}", flush=True)
    return [f"{failure}; logs: {path}" for failure in failures]


@dataclasses.dataclass
class Route:
    """A route of the soak: the versions that added, moved and dropped it; None: not yet."""
    name: str
    added: int
    moved: int | None = None
    dropped: int | None = None


class Soak:
    """Disruptions from a seed, beside an operator and clients; `failures` holds the broken rules."""

    def __init__(self, seed, seconds, network, is_large=False):
        self.random, self.seed, self.seconds, self.is_large = random.Random(seed), seed, seconds, is_large
        registries = 8 if is_large else self.random.choice([3, 5, 5, 6])
        self.tolerated = 1 if registries == 3 else 2
        self.fleet = Fleet(BINARIES, gateways=60 if is_large else self.random.choice([3, 4, 6]), targets=6,
                           registries=registries, network=network, tolerated_losses=self.tolerated, services=(SERVICE, OTHER_SERVICE))
        self.routes, self.acknowledged, self.failures = [], {1: 0}, []
        self.has_acknowledged = asyncio.Event()
        # By process: whether it is disturbed, and the time of its last disruption.
        self.disturbed, self.disturbed_at = set(), {}
        # By gateway and life: the newest version acknowledged before a restart of all processes, and
        # the newest one that it has answered by, with the time.
        self.floor, self.seen = {}, {}
        self.lost, self.generation, self.events, self.counts = set(), 0, [], {}
        self.connections, self.in_touch = [], 0

    def fail(self, text):
        at = time.monotonic()
        self.failures.append(f"seed {self.seed}, {at - self.began:.3f} s ({time.strftime('%H:%M:%S')}): {text}")

    def note(self, text):
        self.events.append(f"{time.monotonic() - self.began:7.3f} {text}")

    # The operator.
    async def operate(self):
        version = 1
        while not self.is_over:
            version += 1
            await self.change(version, self.random.random() < 0.15, self.ends_at + RECOVERY_S)
            await asyncio.sleep(self.random.choice([0, 0, 0.02, 0.02, 0.2, 0.7, 2]))

    async def change(self, version, has_many_routes, give_up_at):
        """Adds a route, drops or moves another one, and records the acknowledgement."""
        held = [route for route in self.routes if route.dropped is None]
        if len(held) > 3:
            route = self.random.choice(held)
            if route.moved is None and self.random.random() < 0.4:
                route.moved = version
            else:
                route.dropped = version
        self.routes.append(Route(f"v{version}", version))
        held = [route for route in self.routes if route.dropped is None]
        fill = [(f"more{i}", SERVICE) for i in range(LARGE_CHANGE_ROUTES if has_many_routes else 1)]
        body = routes_body(version, [(r.name, OTHER_SERVICE if r.moved else SERVICE) for r in held] + fill)
        self.acknowledged[version] = await send_change(self.fleet, body, give_up_at)
        self.has_acknowledged.set()
        self.has_acknowledged.clear()

    def newest_acknowledged(self, before):
        return max(version for version, at in self.acknowledged.items() if at <= before)

    async def read(self, ip):
        """Reads the configuration at a registry node again and again."""
        while True:
            sent_at = time.monotonic()
            expected = self.newest_acknowledged(sent_at - APPLY_S)
            version = await self.read_once(ip)
            if version is not None and version < expected:
                self.fail(f"a read at {ip} returned version {version}, {expected} was acknowledged "
                          f"{sent_at - self.acknowledged[expected]:.3f} s before")
            await asyncio.sleep(0.1)

    async def read_once(self, ip):
        try:
            status, body = await asyncio.wait_for(call(ip, CONTROL_PORT, "GET", "/api/config/get", {}), 1)
        except FAILED_CALL:
            return None
        self.counts["reads", status] = self.counts.get(("reads", status), 0) + 1
        return body.get("version") if status == 200 else None

    # The clients.
    async def ask(self, name, ip, pause):
        """Asks one gateway about the newest acknowledged routes and about dropped and moved ones."""
        connection, choice = Connection(ip), random.Random(f"{self.seed} {name}")
        self.connections.append(connection)
        while True:
            await asyncio.sleep(pause)
            known = [r for r in self.routes if r.added in self.acknowledged]
            if not known:
                continue
            dropped = [r for r in known if r.dropped in self.acknowledged]
            moved = [r for r in known if r.moved in self.acknowledged and r.dropped is None]
            route = choice.choice(choice.choice([known[-1:], dropped[-3:], moved[-1:], known[-5:]]) or known[-1:])
            life, sent_at, job = self.fleet.lives[name], time.monotonic(), ""
            if choice.random() < 0.7:
                status = await connection.ask("GET", f"/{route.name}/")
            else:
                job, status = await connection.submit(route.name)
            self.counts[status] = self.counts.get(status, 0) + 1
            if status in (200, 404) and life == self.fleet.lives[name]:
                self.judge(name, life, route, status, job, sent_at)

    def judge(self, name, life, route, status, job, sent_at):
        """Checks an answer by the range of versions, `oldest` to `newest`, that give it."""
        oldest, newest = 0, route.added - 1 if route.dropped is None else None
        if status == 200:
            oldest, newest = route.added, route.dropped - 1 if route.dropped else None
            services = {t.service for t in self.fleet.targets if job for run in t.history[-200:] if run.job == job}
            if route.moved and services == {SERVICE}:
                newest = min(route.moved - 1, newest or route.moved)
            if route.moved and services == {OTHER_SERVICE}:
                oldest = route.moved
        best, best_at = self.seen.get((name, life), (0, 0))
        is_in_touch = self.is_in_touch(name, sent_at)
        self.in_touch += is_in_touch
        if newest is not None:
            what = f"{name} answered {status} on route {route.name} by a version up to {newest}"
            if newest < self.floor.get((name, life), 0):
                self.fail(f"{what}; {self.floor[name, life]} was acknowledged before the restart of all")
            if newest < best and sent_at > best_at + REGRESS_S:
                self.fail(f"{what}; it had answered by {best} before")
            expected = self.newest_acknowledged(sent_at - APPLY_S)
            if newest < expected and is_in_touch:
                age = sent_at - self.acknowledged[expected]
                self.fail(f"{what}; {expected} was acknowledged {age:.3f} s before, and it was in touch")
        if oldest > best:
            self.seen[name, life] = (oldest, time.monotonic())

    def is_in_touch(self, gateway, at):
        names = [gateway, *self.fleet.names("registry")]
        return not self.disturbed.intersection(names) and all(
            at >= self.disturbed_at.get(name, 0) + CONTACT_S for name in names)

    # The disruptions.
    def disturb(self, names):
        self.disturbed |= set(names)
        self.disturbed_at |= {name: time.monotonic() for name in names}

    def calm(self, names):
        self.disturb(names)
        self.disturbed -= set(names)

    def take_losses(self, candidates, count):
        """Returns the registry nodes to lose their disks: at most the tolerated number at once."""
        registries = self.fleet.names("registry")
        if not self.disturbed.intersection(registries) and all(
                time.monotonic() > self.disturbed_at.get(name, 0) + CATCH_UP_S for name in registries):
            self.lost.clear()
        chosen = self.random.sample(candidates, min(count, len(candidates)))
        chosen = [n for n in chosen if n in self.lost] + [n for n in chosen if n not in self.lost][
            :self.tolerated - len(self.lost)]
        self.lost |= set(chosen)
        return chosen

    async def kill_many(self, names):
        """Kills processes at once; some lose their disks, stay away for a while, or stop after the start."""
        is_all = len(names) == len(self.fleet.names())
        if self.random.random() < 0.7:  # right behind an acknowledgement, if one comes
            await asyncio.wait([asyncio.ensure_future(self.has_acknowledged.wait())], timeout=1.5)
        self.generation += is_all
        generation = self.generation
        names = [n for n in names if is_all or n not in self.disturbed]
        self.disturb(names)
        self.fleet.kill(names)
        killed_at, registries = time.monotonic(), [n for n in names if n.startswith("registry")]
        lost = self.take_losses(registries, self.random.choice([0, 0, 1, 2, 2])) if registries else []
        for name in lost:
            self.fleet.lose_disk(name)
        away = [name for name in lost if self.random.random() < 0.4]
        await asyncio.sleep(self.random.choice([0, 0.1, 1]))
        if generation != self.generation:
            return
        first = [name for name in names if name not in away]
        self.note(f"killed {'all' if is_all else names} {time.monotonic() - killed_at:.2f} s ago, "
                  f"lost {lost}, away {away}")
        self.fleet.start_again(first)
        if is_all:
            floor = self.newest_acknowledged(killed_at)
            self.floor |= {(n, self.fleet.lives[n]): floor for n in self.fleet.names("gateway")}
        started = [name for name in registries if name not in away]
        stopped = self.random.sample(started, min(len(started), self.random.choice([0, 0, 1, 2])))
        await asyncio.sleep(self.random.choice([0, 0.1, 0.2]))
        if generation != self.generation:
            return
        self.calm([name for name in first if name not in stopped])
        if stopped:
            await self.stop_for(stopped, self.random.uniform(2, 6), generation)
        if away and generation == self.generation:
            await asyncio.sleep(self.random.uniform(0, 2))
            if generation == self.generation:
                self.fleet.start_again(away)
                self.calm(away)

    async def stop_for(self, names, seconds, generation):
        self.note(f"stop {names} for {seconds:.2f} s")
        self.disturb(names)
        self.fleet.freeze(names)
        await asyncio.sleep(seconds)
        if generation == self.generation:
            self.fleet.resume(names)
            self.calm(names)

    async def terminate(self, names, generation):
        self.note(f"SIGTERM to {names}")
        self.disturb(names)
        self.fleet.terminate(names)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and any(self.fleet.is_running(name) for name in names):
            await asyncio.sleep(0.05)
            if generation != self.generation:
                return
        self.fleet.kill(names)
        await asyncio.sleep(self.random.choice([0, 0.5]))
        if generation == self.generation:
            self.fleet.start_again(names)
            self.calm(names)

    def next_disruption(self):
        free = sorted(set(self.fleet.names()) - self.disturbed)
        few = self.random.sample(free, min(len(free), self.random.choice([1, 1, 1, 2, 3])))
        kind = self.random.random()
        if kind < 0.6:
            return self.kill_many(self.fleet.names() if kind < 0.25
                                  else self.fleet.names("registry") if kind < 0.32 else few)
        if kind < 0.85:
            return self.stop_for(few, self.random.uniform(0.3, 5), self.generation)
        return self.terminate(free if kind > 0.98 else few, self.generation)

    async def disrupt(self):
        running = set()
        while time.monotonic() < self.ends_at:
            running.add(asyncio.ensure_future(self.next_disruption()))
            await asyncio.sleep(self.random.choice([0.3, 1, 2, 5, 9]))
            for task in filter(asyncio.Future.done, list(running)):
                running.remove(task)
                task.result()
            if self.random.random() < 0.5 and running:
                await asyncio.wait(running)
        await asyncio.gather(*running)

    async def watch(self):
        while True:
            for name, code in self.fleet.ended_by_themselves().items():
                self.fail(f"{name} ended by itself, {code}")
                self.fleet.ending.add(name)
            await asyncio.sleep(0.1)

    async def check_end(self):
        """Checks that everything works 15 s after the last disruption."""
        newest = self.routes[-1]
        for name, ip in zip(self.fleet.names("gateway"), self.fleet.gateways):
            connection = Connection(ip)
            status = await asyncio.wait_for(connection.ask("GET", f"/{newest.name}/"), 5)
            if status != 200:
                self.fail(f"{name} answers {status} on the route of the newest version, {newest.added}, at the end")
            connection.close()
        read = [await self.read_once(ip) for ip in self.fleet.registries]
        if newest.added not in read:
            self.fail(f"the reads at the end returned {read}, not version {newest.added}")
        await self.change(newest.added + 1, False, time.monotonic() + 5)

    async def run(self):
        self.began, self.is_over, tasks = time.monotonic(), False, []
        try:
            await self.fleet.start()
            self.ends_at = time.monotonic() + self.seconds
            operator = asyncio.ensure_future(self.operate())
            others = [self.watch(), *(self.read(ip) for ip in self.fleet.registries)]
            others += [self.ask(name, ip, 0.25 if self.is_large else 0.02)
                       for name, ip in zip(self.fleet.names("gateway"), self.fleet.gateways)]
            tasks = [operator, *map(asyncio.ensure_future, others)]
            await self.disrupt()
            last_at = max(self.disturbed_at.values(), default=time.monotonic())
            self.ends_at, self.is_over = time.monotonic(), True
            await asyncio.sleep(max(0, last_at + RECOVERY_S - time.monotonic()))
            if not operator.done():
                self.fail("the operator's last change is not acknowledged 15 s after the last disruption")
            for task in filter(asyncio.Future.done, tasks):
                task.result()
            await self.check_end()
        except (AssertionError, *FAILED_CALL) as failure:
            self.fail(f"{type(failure).__name__}: {failure}")
        finally:
            for task in tasks:
                task.cancel()
            for connection in self.connections:
                connection.close()
            path = await self.fleet.stop(keep_folder=bool(self.failures) or "KEEP_LOGS" in os.environ)
        print(f"seed {self.seed}: {len(self.fleet.registries)} registry nodes, {len(self.fleet.gateways)} gateways, "
              f"{len(self.acknowledged)} versions, {len(self.events)} disruptions, answers {self.counts}, "
              f"{self.in_touch} in touch, {len(self.failures)} failures {path}", flush=True)
        if self.failures:
            print("\n".join(self.events), flush=True)
        return [f"{failure}; logs: {path}" for failure in self.failures[:20]]


def run_all(case, runs):
    """Runs coroutines in loops of their own at the same time, and asserts that none returns failures."""
    with concurrent.futures.ThreadPoolExecutor(len(runs)) as threads:
        futures = {what: threads.submit(lambda r=run: asyncio.run(r())) for what, run in runs.items()}
    failures = [f"{what}: {failure}" for what, future in futures.items() for failure in future.result()]
    case.assertFalse(failures, "\n" + "\n".join(failures))


class RulesAfterRestarts(unittest.TestCase):
    # Guards against gateways that take what a restarted registry node holds in its snapshot for the
    # last known rules, while an acknowledged version is in the logs behind it (issue 40).
    def test_an_acknowledged_route_is_kept_when_all_processes_are_killed(self):
        variants = {"disks lost, nodes back, one stopped": (2, True, 1),
                    "disks lost, nodes away, one stopped": (2, False, 1),
                    "disks lost, nodes back": (2, True, 0),
                    "disks lost, nodes away": (2, False, 0),
                    "disks lost, nodes back, two stopped": (2, True, 2),
                    "disks lost, nodes away, two stopped": (2, False, 2)}
        run_all(self, {what: lambda n=NETWORK + 3 * i, v=variant: loss_of_power(BINARIES, n, *v)
                       for i, (what, variant) in enumerate(variants.items())})

    # Guards against answers by older versions in orders of kills, stops and losses that no directed
    # test has.
    def test_no_older_version_is_shown_in_a_soak(self):
        run_all(self, {f"seed {seed}": lambda n=NETWORK + 3 * i, s=seed: Soak(s, 18, n).run()
                       for i, seed in enumerate((1, 2, 3))})


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=40)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--network", type=int, default=40)
    arguments, rest = parser.parse_known_args()
    BINARIES, NETWORK = os.path.abspath(arguments.binaries), arguments.network
    if arguments.seed is None and not arguments.large:
        unittest.main(argv=[sys.argv[0], "-v", *rest])
    found = asyncio.run(Soak(arguments.seed or 1, arguments.seconds, NETWORK, arguments.large).run())
    print("\n".join(found))
    sys.exit(1 if found else 0)
