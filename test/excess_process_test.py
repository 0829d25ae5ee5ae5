#!/usr/bin/env python3
"""Tests whole gateways and registry nodes against input that costs far more than its size.

Jobs with very many tasks or very large specs, heartbeats of targets that nobody has, ids of many
kilobytes, targets that answer without an end, and crowds that use up every descriptor. Each test
checks that the processes live, that their memory stays within their settings, and that ordinary
requests are answered beside or afterwards; nothing is measured in time.
Usage: excess_process_test.py BINARIES [TEST ...]
With WITHOUT_LIMITS in the environment the settings are left out, for programs that don't know them.
"""
import asyncio
import json
import os
import resource
import socket
import sys
import threading
import time
import unittest

from limits_process_test import (
    CALLER_PORT, CONTROL_PORT, HOST, KEPT_MB, LARGE_CROWD_MB, MAX_FDS, MEMORY_MB, METRICS_PORT,
    PATIENCE_S, PEER_PORT, PREFIX, READY_PORT, RESERVED_FDS, SMALLEST_VM, TARGETS_PORT, Client, Crowd, FleetCase,
    head)
from loopback_fleet import SERVICE, call, rules

SMALL = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
FAILED_CALL = (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError)
# The timeout of the route where runs have to last.
LONG_TIMEOUT_MS = 20_000


def job(tasks, spec_bytes=0, cpu=100, phases=1):
    """Returns the body of a job whose tasks take 10 ms each."""
    spec = json.dumps({"s": 0.01, "data": "x" * spec_bytes})
    phase = {"count": tasks, "cpu": cpu, "mem_mb": 1, "estimated_ms": 10}
    return {"spec": spec, "best_effort": True, "phases": [phase] * phases}


async def submit(ip, number, body, patience_s=PATIENCE_S):
    """Returns the status of a submission, or None."""
    data = json.dumps(body).encode()
    try:
        reader, writer = await asyncio.open_connection(ip, CALLER_PORT)
        try:
            writer.write(request("POST", f"{PREFIX}{number:016x}", data))
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), patience_s)
            return int(answer.split(b" ", 2)[1])
        finally:
            writer.close()
    except FAILED_CALL:
        return None


def heartbeat(name, address, sequence=1):
    """Returns a heartbeat; the target's domain is that of the processes."""
    return {"service": SERVICE, "address": address, "zone": "d0", "version": "v1", "slots": 8,
            "state": "ready", "cold_remaining_ms": 0, "labels": ["a", "r1"], "clock_ms": 1,
            "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "seq": sequence, "born": 1}


def send_many(address, requests, clients=80):
    """Sends requests over some connections at the same time, and reads what comes back."""
    crowd = Crowd([Client(address, b"".join(requests[i::clients])) for i in range(min(clients, len(requests)))])
    crowd.send()
    crowd.leave()


def send_in_turn(address, requests, clients=16):
    """Sends requests over a connection each; some clients wait for one answer after the other."""
    def send(own):
        for one in own:
            try:
                with socket.create_connection(address, 5) as connection:
                    connection.settimeout(5)
                    connection.sendall(one)
                    connection.recv(65536)
            except OSError:
                pass

    threads = [threading.Thread(target=send, args=(requests[i::clients],)) for i in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


def request(method, path, body=b""):
    return head(method, path, "content-type: application/json", f"content-length: {len(body)}") + body


class EndlessTarget:
    """A target whose every answer goes on without an end, as fast as it is read."""

    def __init__(self, address, answer, piece):
        self.answer, self.piece = answer, piece
        self.listener = socket.create_server(address)
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            with connection:
                connection.recv(65536)
                connection.sendall(self.answer)
                while True:
                    connection.sendall(self.piece)
        except OSError:
            pass

    def close(self):
        try:
            self.listener.shutdown(socket.SHUT_RDWR)  # ends accept()
        except OSError:
            pass
        self.listener.close()


class Excess(FleetCase):
    """Requests and answers whose cost is bounded by nothing in their size."""

    def check(self, bound_mb, kept=None):
        """Checks the memory and the life of all processes."""
        for name in self.fleet.names():
            role = name.partition("-")[0]
            peak_mb = self.memory_mb(role)
            kept_mb = self.loop.run_until_complete(
                self.wait_for_memory(role, kept[role] + KEPT_MB)) if kept else 0
            print(f"  {self.id().rpartition('.')[2]}: {name}: peak {peak_mb:.0f} MB of {bound_mb}, "
                  f"{kept_mb:.0f} MB after", flush=True)
            self.assertLessEqual(peak_mb, bound_mb, f"peak of the memory of {name}, in MB")
            if kept:
                self.assertLessEqual(kept_mb, kept[role] + KEPT_MB, f"memory of {name} after, in MB")
        self.assertEqual(self.fleet.ended_by_themselves(), {})

    def memory_before(self):
        return {role: self.memory_mb(role, "VmRSS") for role in ("gateway", "registry")}

    def run_jobs(self, bodies, settings, bound_mb):
        self.start(settings)

        async def all_at_once():
            statuses = await asyncio.gather(
                *(submit(self.ip("gateway"), 1 << 32 | i, body) for i, body in enumerate(bodies)))
            print(f"  {self.id().rpartition('.')[2]}: {sorted(map(str, statuses))}", flush=True)
            await self.answer_ordinary_requests("after the jobs")

        self.loop.run_until_complete(all_at_once())
        self.check(bound_mb)

    def test_millions_of_tasks(self):
        self.run_jobs([job(10_000, phases=256, cpu=1)] * 4, SMALL, MEMORY_MB)

    def test_many_jobs_of_many_tasks(self):
        self.run_jobs([job(10_000, cpu=1)] * 64, SMALL, MEMORY_MB)

    def test_wide_jobs_with_large_specs(self):
        self.run_jobs([job(600, 240_000)] * 8, SMALLEST_VM, LARGE_CROWD_MB)

    def test_wide_jobs_in_calm(self):
        """Each is inside the limits, and alone: it is served within the timeout of its route, which
        is many times what it takes, also after the one before."""
        self.start(SMALLEST_VM, gateways=2, targets=2)

        async def one_by_one():
            statuses = []
            for number in range(8):
                statuses.append(await submit(self.ip("gateway"), 1 << 32 | number, job(50, 240_000)))
                await asyncio.sleep(1)
            print(f"  {self.id().rpartition('.')[2]}: {statuses}", flush=True)
            self.assertEqual(statuses, [200] * 8)

        self.loop.run_until_complete(one_by_one())
        self.check(LARGE_CROWD_MB)

    def test_stops_of_many_tasks_at_once(self):
        """Callers of wide jobs leave; the descriptors are those that the process may open."""
        self.start(SMALL, timeout_ms=LONG_TIMEOUT_MS)
        phase = {"count": 2_000, "cpu": 1, "mem_mb": 1, "estimated_ms": 8_000}
        body = {"spec": "{\"s\": 8}", "best_effort": True, "phases": [phase]}
        data = json.dumps(body).encode()

        async def leave():
            crowd = Crowd([Client((self.ip("gateway"), CALLER_PORT),
                                  request("POST", f"{PREFIX}{1 << 32 | i:016x}", data)) for i in range(2)])
            await asyncio.get_running_loop().run_in_executor(None, crowd.send)
            deadline = time.monotonic() + PATIENCE_S
            while len(self.fleet.targets[0].running) < 1_000 and time.monotonic() < deadline:
                await asyncio.sleep(0.01)
            running = len(self.fleet.targets[0].running)
            crowd.leave()
            most, until = 0, time.monotonic() + 3
            while time.monotonic() < until:
                most = max(most, self.descriptors("gateway"))
                await asyncio.sleep(0.002)
            print(f"  {self.id().rpartition('.')[2]}: {running} running; up to {most} descriptors of "
                  f"{MAX_FDS - RESERVED_FDS}", flush=True)
            self.assertGreaterEqual(running, 1_000)
            self.assertLessEqual(most, MAX_FDS - RESERVED_FDS, "descriptors")
            await self.answer_ordinary_requests("after the jobs")

        self.loop.run_until_complete(leave())
        self.check(MEMORY_MB)

    def run_heartbeats(self, role, port):
        self.start(SMALL)
        before = self.memory_before()
        # Nobody listens there.
        bodies = [json.dumps(heartbeat(f"i-none-{i}", f"127.{i % 90 + 100}.{i // 90 % 200}.1:9")).encode()
                  for i in range(40_000)]
        requests = [request("POST", f"/api/instances/i-none-{i}/heartbeat", body)
                    for i, body in enumerate(bodies)]

        async def flood():
            await asyncio.get_running_loop().run_in_executor(
                None, send_many, (self.ip(role), port), requests)
            await self.answer_ordinary_requests("after the heartbeats")

        self.loop.run_until_complete(flood())
        self.check(MEMORY_MB, before)

    def test_targets_that_nobody_has_at_a_gateway(self):
        self.run_heartbeats("gateway", TARGETS_PORT)

    def test_targets_that_nobody_has_at_a_registry_node(self):
        self.run_heartbeats("registry", CONTROL_PORT)

    def test_heartbeats_with_very_many_labels(self):
        self.start(SMALL)
        requests = []
        for i in range(200):
            body = heartbeat(f"i-none-{i}", f"127.100.{i}.1:9") | {"labels": ["x" * 60] * 20_000}
            requests.append(request("POST", f"/api/instances/i-none-{i}/heartbeat",
                                    json.dumps(body).encode()))

        async def flood():
            await asyncio.get_running_loop().run_in_executor(
                None, send_many, (self.ip("gateway"), TARGETS_PORT), requests, 8)
            await self.answer_ordinary_requests("after the heartbeats")

        self.loop.run_until_complete(flood())
        self.check(MEMORY_MB)

    def test_cancelled_ids_of_many_kilobytes(self):
        self.start(SMALL)
        before = self.memory_before()
        requests = [request("DELETE", f"{PREFIX}{i:08d}{'x' * 15_000}") for i in range(10_000)]

        async def flood():
            await asyncio.get_running_loop().run_in_executor(
                None, send_in_turn, (self.ip("gateway"), CALLER_PORT), requests)
            await self.answer_ordinary_requests("after the requests")

        self.loop.run_until_complete(flood())
        self.check(MEMORY_MB, before)

    def run_endless_answers(self, answer, piece):
        self.start(SMALL)
        targets = []
        for i in range(8):
            address = (f"127.{int(os.environ.get('NETWORK', '21')) + 3}.0.{i + 1}", 28080)
            targets.append(EndlessTarget(address, answer, piece))
            self.addCleanup(targets[-1].close)

        async def announce():
            for sequence in range(1, 5):
                for i, target in enumerate(targets):
                    host, port = target.listener.getsockname()
                    await call(self.ip("gateway"), TARGETS_PORT, "POST",
                               f"/api/instances/i-endless-{i}/heartbeat",
                               heartbeat(f"i-endless-{i}", f"{host}:{port}", sequence))
                await asyncio.sleep(1)
            await self.answer_ordinary_requests("beside the targets")

        self.loop.run_until_complete(announce())
        self.check(MEMORY_MB)

    def test_targets_with_endless_bodies(self):
        self.run_endless_answers(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n", b" " * 1_000_000)

    def test_targets_with_endless_headers(self):
        self.run_endless_answers(b"HTTP/1.1 200 OK\r\nx-filler: ", b"x" * 1_000_000)

    def test_every_descriptor_in_use(self):
        """Each process has no more descriptors than its settings say, and the crowds want more."""
        self.start(SMALL)
        for name in self.fleet.names():
            resource.prlimit(self.fleet.process(name).pid, resource.RLIMIT_NOFILE, (MAX_FDS, MAX_FDS))
        gateway, registry = self.ip("gateway"), self.ip("registry")
        ports = [(gateway, port) for port in (CALLER_PORT, TARGETS_PORT, READY_PORT, PEER_PORT, METRICS_PORT)]
        ports += [(registry, port) for port in (CONTROL_PORT, PEER_PORT, METRICS_PORT)]
        crowd = Crowd([Client(address, b"") for address in ports for _ in range(MAX_FDS)])

        async def crowded():
            await asyncio.get_running_loop().run_in_executor(None, crowd.send)
            await self.replace_rules(2)
            await self.answer_ordinary_requests("beside the crowd")
            crowd.leave()
            await self.replace_rules(3)
            await self.answer_ordinary_requests("after the crowd")

        self.loop.run_until_complete(crowded())
        self.check(MEMORY_MB)

    async def replace_rules(self, version):
        """Changes the configuration until the change is acknowledged and in force at the gateway."""
        body = rules(version, 1500)
        route = body["routes"][0]
        body["routes"].append({**route, "name": "added", "path_prefix": f"/added-{version}/"})
        deadline = time.monotonic() + PATIENCE_S
        for what, ip, port, method, path, content in (
                ("change", self.ip("registry"), CONTROL_PORT, "POST", "/api/config/replace", body),
                ("added route", self.ip("gateway"), CALLER_PORT, "GET", f"/added-{version}/", None)):
            while (status := await self.ask(ip, port, method, path, content)) != 200:
                self.assertLess(time.monotonic(), deadline, f"{what}: {status}")
                await asyncio.sleep(0.1)

    def run_returning_crowd(self, start, filler):
        """64 clients, each of which connects again as soon as its connection ends, for 5 s."""
        self.start(SMALL)
        before = self.memory_before()
        address = (self.ip("gateway"), CALLER_PORT)
        until = time.monotonic() + 5

        def come_back():
            while time.monotonic() < until:
                try:
                    with socket.create_connection(address, 5) as connection:
                        connection.settimeout(1)
                        connection.sendall(start)
                        connection.sendall(filler)
                        connection.recv(1)
                except OSError:
                    pass

        async def crowded():
            loop = asyncio.get_running_loop()
            threads = [threading.Thread(target=come_back) for _ in range(64)]
            for thread in threads:
                thread.start()
            await self.answer_ordinary_requests("beside the crowd")
            for thread in threads:
                await loop.run_in_executor(None, thread.join)
            await self.answer_ordinary_requests("after the crowd")

        self.loop.run_until_complete(crowded())
        self.check(MEMORY_MB, before)

    def test_a_crowd_that_comes_back(self):
        path = PREFIX + "00000000000000aa"
        self.run_returning_crowd(head("POST", path, "content-length: 250000"), b" " * 249_999)

    def test_connections_that_are_closed_at_once(self):
        self.run_returning_crowd(b"GARBAGE\r\n\r\n", b"")


if __name__ == "__main__":
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 16384)), hard))
    unittest.main(argv=[sys.argv[0], *(f"Excess.{name}" for name in sys.argv[2:])], verbosity=2)
