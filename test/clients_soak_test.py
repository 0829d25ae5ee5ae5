#!/usr/bin/env python3
"""A soak of whole processes beside clients that keep no limits, with disruptions from a seed.

Crowds come to every port of every process, alone and together, while processes are killed, stopped,
frozen and started again and the limits of the configuration change; ordinary clients keep using
their connections until the process is gone. It checks that no process ends by itself, that memory
and descriptors stay within the settings, that no task runs twice at once, that what was refused
never ran, and that ordinary requests are answered afterwards.
Usage: clients_soak_test.py BINARIES [--seed N] [--seconds S] [--large] [--network N]
Without --seed: short soaks with fixed seeds.
"""
import argparse
import asyncio
import concurrent.futures
import json
import os
import random
import resource
import signal
import sys
import time

import limits_process_test as limits
from excess_process_test import (
    SMALL, EndlessTarget, heartbeat, job, request, send_many)
from limits_process_test import (
    CALLER_PORT, CONTROL_PORT, KEPT_MB, MAX_FDS, MEMORY_MB, METRICS_PORT, PEER_PORT, PREFIX, READY_PORT,
    RESERVED_FDS, TARGETS_PORT, Client, Crowd, Fleet)
from loopback_fleet import call, rules
from rules_process_test import FAILED_CALL, Connection

FIXED_SEEDS, FIXED_SECONDS = (1, 2), 20
# Time until all is as before once nothing is disturbed any more: far beyond what is needed.
PATIENCE_S = 45
PORTS = {"gateway": (CALLER_PORT, TARGETS_PORT, READY_PORT, PEER_PORT, METRICS_PORT),
         "registry": (CONTROL_PORT, PEER_PORT, METRICS_PORT)}
PATHS = {CALLER_PORT: PREFIX + "00000000000000aa", TARGETS_PORT: "/api/instances/i-x/heartbeat",
         READY_PORT: "/ready", PEER_PORT: "/relay/0", METRICS_PORT: "/metrics",
         CONTROL_PORT: "/api/config/replace"}


class Soak:
    """One run; `failures` holds the broken promises."""

    def __init__(self, binaries, seed, seconds, network, is_large):
        self.random, self.seed, self.seconds = random.Random(seed), seed, seconds
        gateways, registries, targets = (100, 5, 60) if is_large else (3, 3, 4)
        self.fleet = Fleet(binaries, gateways=gateways, targets=targets, registries=registries,
                           network=network, settings=SMALL)
        self.network, self.failures, self.peaks, self.statuses = network, [], {}, {}
        self.refused, self.disturbed, self.version = set(), set(), 1
        self.endless = []
        # Crowds block their threads, so that each has its own.
        self.pool = concurrent.futures.ThreadPoolExecutor(16)

    def fail(self, text):
        self.failures.append(f"seed {self.seed}, {time.monotonic() - self.began:.1f} s: {text}")

    def address(self, name):
        return self.fleet.gateways[int(name[8:])] if name.startswith("gateway") else \
            self.fleet.registries[int(name[9:])]

    # What clients do that keep no limits. Each is a function that blocks until it is over.
    def port_crowd(self, name, choice):
        """A crowd at one port; it stays for a while after it has sent what it can."""
        port = choice.choice(PORTS[name.partition("-")[0]])
        make = choice.choice(limits.BODIES + limits.OTHERS)
        path = PREFIX if make is limits.never_reading and port == CALLER_PORT else PATHS[port]
        crowd = Crowd(make((self.address(name), port), path))
        try:
            crowd.send()
            time.sleep(choice.uniform(0, 3))
        finally:
            crowd.leave()

    def trickle(self, name, choice):
        """Bodies that grow by a byte at a time."""
        start = limits.head("POST", PATHS[CALLER_PORT], "content-length: 250000")
        clients = [Client((self.address(name), CALLER_PORT), start, 250_000, piece=1) for _ in range(100)]
        until = time.monotonic() + 5
        while time.monotonic() < until and not all(c.is_closed for c in clients):
            for client in clients:
                if not client.is_closed:
                    client.send_piece()
            time.sleep(0.02)
        Crowd(clients).leave()

    def returning(self, name, choice):
        """Clients that connect again as soon as they are closed, and leave half a body or nothing."""
        address, until = (self.address(name), CALLER_PORT), time.monotonic() + 3
        start = limits.head("POST", PATHS[CALLER_PORT], "content-length: 250000")
        while time.monotonic() < until:
            crowd = Crowd([Client(address, start, choice.choice([0, 100_000])) for _ in range(100)])
            for client in crowd.clients:
                client.send_piece()
            crowd.leave()

    def costly_jobs(self, name, choice):
        body = choice.choice([job(10_000, phases=256, cpu=1), job(600, 200_000), job(1_500, 100, cpu=0)])
        data = json.dumps(body).encode()
        requests = [limits.head("POST", f"{PREFIX}{choice.getrandbits(64):016x}", f"content-length: {len(data)}")
                    + data for _ in range(6)]
        crowd = Crowd([Client((self.address(name), CALLER_PORT), one) for one in requests])
        crowd.send()
        crowd.leave()

    def long_ids(self, name, choice):
        send_many((self.address(name), CALLER_PORT),
                  [request("DELETE", f"{PREFIX}{choice.getrandbits(64):016x}{'x' * 15_000}") for _ in range(1500)])

    def invented_targets(self, name, choice):
        port = TARGETS_PORT if name.startswith("gateway") else CONTROL_PORT
        first = choice.getrandbits(40)
        send_many((self.address(name), port), [
            request("POST", f"/api/instances/i-{first + i}/heartbeat", json.dumps(
                heartbeat(f"i-{first + i}", f"127.{i % 90 + 100}.{i // 90}.1:9") | {"born": 1}).encode())
            for i in range(2000)])

    async def misbehave(self, choice):
        loop = asyncio.get_running_loop()
        kinds = [self.port_crowd] * 5 + [self.trickle, self.returning, self.costly_jobs, self.long_ids,
                                         self.invented_targets]
        while not self.is_over:
            kind, names = choice.choice(kinds), self.fleet.names("gateway")
            if kind in (self.port_crowd, self.invented_targets):
                names = self.fleet.names()
            try:
                await loop.run_in_executor(self.pool, kind, choice.choice(names), choice)
            except OSError:
                pass
            await asyncio.sleep(choice.uniform(0, 1))

    async def announce_endless_targets(self):
        for i, answer in enumerate((b"HTTP/1.1 200 OK\r\n\r\n", b"HTTP/1.1 200 OK\r\nx: ",
                                    b"HTTP/1.1 307 Moved\r\nlocation: /api/hold\r\ncontent-length: 0\r\n\r\n")):
            self.endless.append(EndlessTarget((f"127.{self.network + 3}.0.{i + 1}", 28080), answer, b" " * 500_000))
        sequence = 0
        while not self.is_over:
            sequence += 1
            for i, target in enumerate(self.endless):
                host, port = target.listener.getsockname()
                ip = self.random.choice(self.fleet.gateways)
                try:
                    await call(ip, TARGETS_PORT, "POST", f"/api/instances/i-endless-{i}/heartbeat",
                               heartbeat(f"i-endless-{i}", f"{host}:{port}", sequence))
                except FAILED_CALL:
                    pass
            await asyncio.sleep(1)

    # Ordinary clients.
    async def submit(self, connection):
        name, status = f"{random.getrandbits(64):016x}", None
        body = {"spec": "{\"s\": 0.01}", "best_effort": True,
                "phases": [{"count": 2, "cpu": 500, "mem_mb": 64, "estimated_ms": 10}]}
        try:
            status = await asyncio.wait_for(
                connection.ask("POST", PREFIX + name, json.dumps(body).encode()), 4)
        except asyncio.TimeoutError:
            connection.close()
        self.statuses[status] = self.statuses.get(status, 0) + 1
        if status in (429, 503):
            self.refused.add(name)
        return status

    async def use(self, ip):
        connection = Connection(ip)
        while not self.is_over:
            await self.submit(connection)
            await asyncio.sleep(0.1)
        connection.close()

    # Disruptions.
    async def change_rules(self, give_up_at, max_body_bytes=262144):
        """Sends a configuration with other limits until it is acknowledged."""
        self.version += 1
        body = rules(self.version, 1500)
        body["limits"]["max_body_bytes"] = max_body_bytes
        while time.monotonic() < give_up_at:
            for ip in self.fleet.registries:
                try:
                    if (await call(ip, CONTROL_PORT, "POST", "/api/config/replace", body))[0] == 200:
                        return True
                except FAILED_CALL:
                    pass
            await asyncio.sleep(0.1)
        return False

    async def disturb(self, name, kind):
        """Disturbs one process; at most one registry node at a time, so that a quorum remains."""
        is_registry = name.startswith("registry")
        if name in self.disturbed or (is_registry and any(n.startswith("registry") for n in self.disturbed)):
            return
        self.disturbed.add(name)
        if kind == "freeze":
            self.fleet.freeze([name])
            await asyncio.sleep(self.random.uniform(0.3, 3))
            self.fleet.resume([name])
        else:
            self.measure(name)
            self.fleet.ending.add(name)
            if kind == "kill":
                self.fleet.kill([name])
            else:
                self.fleet.terminate([name])
                while self.fleet.is_running(name):
                    await asyncio.sleep(0.05)
            await asyncio.sleep(self.random.uniform(0, 1))
            self.fleet.start_again([name])
        await asyncio.sleep(1)
        self.disturbed.discard(name)

    async def disrupt(self):
        tasks = []
        while not self.is_over:
            kind = self.random.choice(["kill", "terminate", "freeze", "freeze", "rules", "signal", "none"])
            name = self.random.choice(self.fleet.names())
            if kind == "rules":
                size = self.random.choice([10_000, 262_144, 262_144])
                tasks.append(asyncio.ensure_future(self.change_rules(time.monotonic() + 5, size)))
            elif kind == "signal":
                self.fleet.send_signal([name], signal.SIGHUP)
            elif kind != "none":
                tasks.append(asyncio.ensure_future(self.disturb(name, kind)))
            await asyncio.sleep(self.random.choice([0.05, 0.5, 1, 2]))
        await asyncio.gather(*tasks)

    # Checks.
    def measure(self, name):
        """Checks the memory and the descriptors of a process."""
        process = self.fleet.process(name)
        try:
            with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
                lines = dict(line.split(":", 1) for line in status)
            peak = int(lines["VmHWM"].split()[0]) / 1000
            descriptors = len(os.listdir(f"/proc/{process.pid}/fd"))
        except (OSError, KeyError):
            return None
        self.peaks[name] = max(peak, self.peaks.get(name, 0))
        if peak > MEMORY_MB:
            self.fail(f"{name} has used {peak:.0f} MB of {MEMORY_MB}")
        if descriptors > MAX_FDS - RESERVED_FDS:
            self.fail(f"{name} has {descriptors} descriptors of {MAX_FDS - RESERVED_FDS}")
        return int(lines["VmRSS"].split()[0]) / 1000

    async def watch(self):
        while not self.is_over and not self.failures:
            for name in self.fleet.names():
                self.measure(name)
            for name, code in self.fleet.ended_by_themselves().items():
                self.fail(f"{name} ended by itself, {code}")
            await asyncio.sleep(0.3)

    def check_runs(self):
        """Checks that no task ran twice at once, and that no refused job ran."""
        by_task = {}
        for target in self.fleet.targets:
            for run in target.history:
                by_task.setdefault(run.task, []).append(run)
        for task, runs in by_task.items():
            runs.sort(key=lambda run: run.began)
            for one, other in zip(runs, runs[1:]):
                if one.ended is None or other.began < one.ended:
                    self.fail(f"two runs at once: {one} and {other}")
            if runs[0].job in self.refused:
                self.fail(f"a refused job ran: {runs[0]}")

    async def check_calm(self):
        """Checks that all is as before, once nothing is disturbed any more."""
        give_up_at = time.monotonic() + PATIENCE_S
        if not await self.change_rules(give_up_at):
            self.fail("no change of the configuration is acknowledged afterwards")
        for ip in self.fleet.gateways:
            connection = Connection(ip)
            while (status := await self.submit(connection)) != 200 and time.monotonic() < give_up_at:
                await asyncio.sleep(0.2)
            connection.close()
            if status != 200:
                self.fail(f"an ordinary request at {ip} is answered with {status} afterwards")
        for name in self.fleet.names():
            while (used := self.measure(name) or 0) > self.used_before[name] + KEPT_MB \
                    and time.monotonic() < give_up_at:
                await asyncio.sleep(0.2)
            if used > self.used_before[name] + KEPT_MB:
                self.fail(f"{name} keeps {used:.0f} MB; {self.used_before[name]:.0f} MB before")
        for name, code in self.fleet.ended_by_themselves().items():
            self.fail(f"{name} ended by itself, {code}")

    async def run(self):
        self.began, self.is_over = time.monotonic(), False
        try:
            await self.fleet.start()
            await asyncio.sleep(1)
            self.used_before = {name: self.measure(name) for name in self.fleet.names()}
            self.began = time.monotonic()
            bad = [asyncio.ensure_future(self.misbehave(random.Random(f"{self.seed} {i}"))) for i in range(4)]
            bad.append(asyncio.ensure_future(self.announce_endless_targets()))
            good = [asyncio.ensure_future(self.use(ip)) for ip in self.fleet.gateways[:20]]
            others = [asyncio.ensure_future(self.disrupt()), asyncio.ensure_future(self.watch())]
            await asyncio.sleep(self.seconds)
            self.is_over = True
            await asyncio.gather(*bad, *good, *others)
            for target in self.endless:
                target.close()
            await self.check_calm()
            self.check_runs()
        except (OSError, TimeoutError) as error:
            self.fail(f"the soak itself failed: {error!r}")
        finally:
            self.is_over = True
            for target in self.endless:
                target.close()
            self.pool.shutdown(cancel_futures=True)
            kept = await self.fleet.stop(keep_folder=bool(self.failures))
        peak = {role: max((p for n, p in self.peaks.items() if n.startswith(role)), default=0)
                for role in ("gateway", "registry")}
        print(f"seed {self.seed}: {self.statuses}; peak {peak['gateway']:.0f} MB at a gateway, "
              f"{peak['registry']:.0f} MB at a registry node, of {MEMORY_MB}; {kept}", flush=True)
        return self.failures


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("binaries")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seconds", type=float, default=FIXED_SECONDS)
    parser.add_argument("--large", action="store_true")
    parser.add_argument("--network", type=int, default=61)
    arguments = parser.parse_args()
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 16384)), hard))
    failures = []
    for seed in FIXED_SEEDS if arguments.seed is None else (arguments.seed,):
        failures += asyncio.run(Soak(os.path.abspath(arguments.binaries), seed, arguments.seconds,
                                     arguments.network, arguments.large).run())
    print("\n".join(failures) or "nothing failed", flush=True)
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
