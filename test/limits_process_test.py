#!/usr/bin/env python3
"""Tests whole gateways and registry nodes against crowds of clients that keep no limits.

Each test starts a gateway, a registry node and a target, with little memory and few descriptors in
their settings, and sends one crowd to one port. It checks that the processes live, that their peak
memory and their descriptors stay within the settings, that memory returns when the crowd leaves, and
that ordinary requests are answered while the crowd stays and afterwards. Nothing is measured in time.
Usage: limits_process_test.py BINARIES [TEST ...]
With WITHOUT_LIMITS in the environment the settings are left out, for programs that don't know them.
"""
import asyncio
import os
import resource
import selectors
import socket
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
from loopback_fleet import (  # noqa: E402
    CALLER_PORT, CONTROL_PORT, HOST, METRICS_PORT, PEER_PORT, PREFIX, READY_PORT, Fleet, call)

BINARIES = os.path.abspath(sys.argv[1])
TARGETS_PORT = PEER_PORT + 1

# The settings of the processes, and so the bounds. Crowds are larger than the memory, and have more
# connections than the descriptors allow where connections are the point.
MEMORY_MB, MAX_FDS, RESERVED_FDS = 64, 800, 200
# What may stay of a crowd that has left.
KEPT_MB = 24
# The operators' two crowds: in all, on a VM with the least memory and descriptors of the users'.
SMALLEST_VM = {"memory_mb": 120, "max_fds": 3075}
LARGE_CROWD_MB = 96
# A legal body; the configuration's limit is 262,144.
LEGAL_BODY, ILLEGAL_BODY = 250_000, 3_900_000
# Far beyond all that is needed; no test depends on it as long as it is not reached.
PATIENCE_S = 30
# A crowd without any progress for this long has sent what it can.
QUIET_S = 1
FILLER = b" " * 65536


def head(method, path, *lines):
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"host: {HOST}", *lines, "", ""]).encode()


class Client:
    """A connection that sends `start`, then `filler` bytes, and then `end`, in pieces."""

    def __init__(self, address, start, filler=0, end=b"", piece=1 << 20, reads=True):
        self.parts, self.piece, self.reads = [start], piece, reads
        self.filler, self.end = filler, end
        self.is_closed = False
        self.received = 0
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        if not reads:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def is_done(self):
        return self.is_closed or not (self.parts or self.filler or self.end)

    def send_piece(self):
        """Sends up to one piece; returns the number of bytes."""
        if not self.parts and self.filler:
            size = min(self.filler, len(FILLER), self.piece)
            self.parts, self.filler = [FILLER[:size]], self.filler - size
        if not self.parts and self.end:
            self.parts, self.end = [self.end], b""
        if not self.parts:
            return 0
        data = self.parts[0]
        try:
            sent = self.socket.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self.is_closed = True
            return 0
        self.parts = [data[sent:]] if sent < len(data) else []
        return sent

    def read(self):
        """Takes what has arrived; returns the number of bytes."""
        try:
            data = self.socket.recv(65536)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            data = b""
        self.is_closed = self.is_closed or data == b""
        self.received += len(data)
        return len(data)


class Crowd:
    """Clients that send as much as the other side takes, and then stay."""

    def __init__(self, clients):
        self.clients = clients

    def send(self):
        selector = selectors.DefaultSelector()
        for client in self.clients:
            selector.register(client.socket, selectors.EVENT_WRITE | (
                selectors.EVENT_READ if client.reads else 0), client)
        progress_at = time.monotonic()
        while selector.get_map() and time.monotonic() < progress_at + QUIET_S:
            for key, events in selector.select(0.05):
                client, moved = key.data, 0
                if events & selectors.EVENT_READ:
                    moved += client.read()
                if events & selectors.EVENT_WRITE and not client.is_closed:
                    moved += client.send_piece()
                if client.is_closed or (client.is_done() and not client.reads):
                    selector.unregister(client.socket)
                elif client.is_done():
                    selector.modify(client.socket, selectors.EVENT_READ, client)
                if moved or client.is_closed:
                    progress_at = time.monotonic()
        selector.close()

    def leave(self):
        for client in self.clients:
            client.socket.close()


def announced_too_large(address, path):
    start = head("POST", path, f"content-length: {ILLEGAL_BODY}")
    return [Client(address, start, ILLEGAL_BODY - 1) for _ in range(30)]


def sent_too_large(address, path):
    start = head("POST", path, "transfer-encoding: chunked") + b"%x\r\n" % ILLEGAL_BODY
    return [Client(address, start, ILLEGAL_BODY - 1) for _ in range(30)]


def endless_chunks(address, path):
    start = head("POST", path, "transfer-encoding: chunked") + b"1\r\n \r\n" * 100_000
    return [Client(address, start) for _ in range(200)]


def legal_at_once(address, path):
    start = head("POST", path, f"content-length: {LEGAL_BODY}")
    return [Client(address, start, LEGAL_BODY) for _ in range(400)]


def legal_in_pieces(address, path):
    start = head("POST", path, f"content-length: {LEGAL_BODY}")
    return [Client(address, start, LEGAL_BODY, piece=4000) for _ in range(400)]


def stopping_short(address, path):
    start = head("POST", path, f"content-length: {LEGAL_BODY}")
    return [Client(address, start, LEGAL_BODY - 1) for _ in range(400)]


def many_values(address, path):
    body = b"[" + b"{}," * 80_000 + b"0]"
    start = head("POST", path, f"content-length: {len(body)}")
    return [Client(address, start + body) for _ in range(100)]


def millions_of_values(address, path):
    body = b"[" + b"{}," * 1_300_000 + b"0]"
    start = head("POST", path, f"content-length: {len(body)}")
    return [Client(address, start + body) for _ in range(4)]


def endless_headers(address, path):
    start = head("POST", path)[:-2] + b"x-filler: "
    return [Client(address, start, 380_000) for _ in range(300)]


def silent(address, _path):
    return [Client(address, b"") for _ in range(1200)]


def never_reading(address, path):
    requests = head("GET", path) * 2000
    return [Client(address, requests, reads=False) for _ in range(400)]


BODIES = (announced_too_large, sent_too_large, endless_chunks, legal_at_once, legal_in_pieces,
          stopping_short, many_values, millions_of_values)
OTHERS = (endless_headers, silent, never_reading)
# Name, role and number of each port, and the paths for bodies and for answers.
PORTS = (("callers", "gateway", CALLER_PORT, PREFIX + "00000000000000aa", PREFIX),
         ("targets", "gateway", TARGETS_PORT, "/api/instances/i-x/heartbeat", "/x"),
         ("readiness", "gateway", READY_PORT, "/ready", "/ready"),
         ("peers", "gateway", PEER_PORT, "/relay/0", "/relay/0"),
         ("metrics", "gateway", METRICS_PORT, "/metrics", "/metrics"),
         ("operators", "registry", CONTROL_PORT, "/api/config/replace", "/api/config/get"),
         ("peers", "registry", PEER_PORT, "/relay/0", "/relay/0"),
         ("metrics", "registry", METRICS_PORT, "/metrics", "/metrics"))


class FleetCase(unittest.TestCase):
    """A few processes with limits of memory and descriptors, and their ordinary callers."""

    def setUp(self):
        self.loop = asyncio.new_event_loop()
        self.addCleanup(self.loop.close)
        self.jobs = 0

    def start(self, settings, gateways=1, targets=1, timeout_ms=1500):
        # Programs before these settings refuse them; the bounds stay the same.
        settings = {} if "WITHOUT_LIMITS" in os.environ else settings
        self.fleet = Fleet(BINARIES, gateways=gateways, targets=targets, domains=1, registries=1,
                           network=int(os.environ.get("NETWORK", "21")), settings=settings)
        self.addCleanup(lambda: self.loop.run_until_complete(self.fleet.stop()))
        self.loop.run_until_complete(self.fleet.start(timeout_ms))
        self.loop.run_until_complete(self.answer_ordinary_requests("before the crowd"))

    def ip(self, role):
        return (self.fleet.gateways if role == "gateway" else self.fleet.registries)[0]

    def pid(self, role):
        return self.fleet.process(f"{role}-0").pid

    def memory_mb(self, role, line="VmHWM"):
        """Returns the peak of the memory, or with VmRSS what is in use."""
        with open(f"/proc/{self.pid(role)}/status", encoding="ascii") as status:
            return next(int(text.split()[1]) for text in status if text.startswith(line)) / 1000

    def descriptors(self, role):
        return len(os.listdir(f"/proc/{self.pid(role)}/fd"))

    async def ask(self, ip, port, method, path, body=None):
        try:
            return (await call(ip, port, method, path, body or {}))[0]
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
            return None

    async def submit(self):
        self.jobs += 1
        body = {"spec": "{\"s\": 0.01}", "best_effort": True,
                "phases": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimated_ms": 10}]}
        return await self.ask(self.ip("gateway"), CALLER_PORT, "POST", f"{PREFIX}{self.jobs:016x}", body)

    async def answer_ordinary_requests(self, when):
        """Repeats one ordinary request at each port until it is answered."""
        gateway, registry = self.ip("gateway"), self.ip("registry")
        requests = {"job": (self.submit, 200),
                    "readiness": (lambda: self.ask(gateway, READY_PORT, "GET", "/ready"), 200),
                    "metrics of the gateway": (lambda: self.ask(gateway, METRICS_PORT, "GET", "/metrics"), 200),
                    "peers of the gateway": (lambda: self.ask(gateway, PEER_PORT, "POST", "/relay/0"), 400),
                    "configuration": (lambda: self.ask(registry, CONTROL_PORT, "GET", "/api/config/get"), 200),
                    "metrics of the registry": (lambda: self.ask(registry, METRICS_PORT, "GET", "/metrics"), 200),
                    "peers of the registry": (lambda: self.ask(registry, PEER_PORT, "POST", "/relay/0"), 400)}
        for what, (request, expected) in requests.items():
            deadline = time.monotonic() + PATIENCE_S
            while (status := await request()) != expected:
                self.assertEqual(self.fleet.ended_by_themselves(), {}, f"{when}: a process ended")
                self.assertLess(time.monotonic(), deadline, f"{when}: {what} is answered with {status}")
                await asyncio.sleep(0.05)

    async def wait_for_memory(self, role, bound):
        deadline = time.monotonic() + PATIENCE_S
        while (used := self.memory_mb(role, "VmRSS")) > bound and time.monotonic() < deadline:
            await asyncio.sleep(0.1)
        return used


class Limits(FleetCase):
    """One crowd at one port of a gateway or a registry node; the tests are made below."""

    async def face(self, role, make_crowd, bound_mb, max_fds):
        start_mb = self.memory_mb(role, "VmRSS")
        crowd = Crowd(make_crowd())
        try:
            await asyncio.get_running_loop().run_in_executor(None, crowd.send)
            await self.answer_ordinary_requests("beside the crowd")
            descriptors = self.descriptors(role)
        finally:
            crowd.leave()
        await self.answer_ordinary_requests("after the crowd")
        peak_mb = self.memory_mb(role)
        kept_mb = await self.wait_for_memory(role, start_mb + KEPT_MB)
        print(f"  {self.id().rpartition('.')[2]}: {start_mb:.0f} MB before, peak {peak_mb:.0f} MB of "
              f"{bound_mb}, {kept_mb:.0f} MB after; {descriptors} descriptors of {max_fds}; "
              f"{sum(c.is_closed for c in crowd.clients)} of {len(crowd.clients)} closed by the process",
              flush=True)
        self.assertEqual(self.fleet.ended_by_themselves(), {})
        self.assertLessEqual(peak_mb, bound_mb, "peak of the memory, in MB")
        self.assertLessEqual(kept_mb, start_mb + KEPT_MB, "memory after the crowd, in MB")
        self.assertLessEqual(descriptors, max_fds, "descriptors beside the crowd")

    def run_crowd(self, role, make_crowd, settings, bound_mb):
        self.start(settings)
        self.loop.run_until_complete(
            self.face(role, make_crowd, bound_mb, settings["max_fds"] - RESERVED_FDS))


def add_test(name, role, make_crowd, settings, bound_mb):
    def test(self):
        self.run_crowd(role, lambda: make_crowd(self.ip(role)), settings, bound_mb)
    setattr(Limits, f"test_{name}", test)


def add_tests():
    small = {"memory_mb": MEMORY_MB, "max_fds": MAX_FDS}
    for port_name, role, port, body_path, answer_path in PORTS:
        is_large = port_name in ("callers", "operators")
        crowds = BODIES + OTHERS if is_large else (announced_too_large, endless_headers, silent)
        if port_name == "metrics":
            crowds += (never_reading,)
        for crowd in crowds:
            path = answer_path if crowd is never_reading else body_path
            add_test(f"{role}_{port_name}_{crowd.__name__}", role,
                     lambda ip, c=crowd, p=port, s=path: c((ip, p), s), small, MEMORY_MB)

    # The crowds that the operators' issue names.
    def short_of_3_9_mb(ip, port, path):
        start = head("POST", path, f"content-length: {ILLEGAL_BODY}")
        return [Client((ip, port), start, ILLEGAL_BODY - 1) for _ in range(60)]

    def many_of_250_kb(ip, port, path):
        start = head("POST", path, f"content-length: {LEGAL_BODY}")
        return [Client((ip, port), start, LEGAL_BODY - 1) for _ in range(1200)]

    # "100 Continue" is sent before h2o reads the body.
    def short_of_3_9_mb_expecting_continue(ip, port, path):
        start = head("POST", path, "expect: 100-continue", f"content-length: {ILLEGAL_BODY}")
        return [Client((ip, port), start, ILLEGAL_BODY - 1) for _ in range(60)]

    for port_name, role, port, path, _ in (PORTS[0], PORTS[5]):
        for crowd in (short_of_3_9_mb, short_of_3_9_mb_expecting_continue, many_of_250_kb):
            add_test(f"{role}_{port_name}_{crowd.__name__}", role,
                     lambda ip, c=crowd, p=port, s=path: c(ip, p, s), SMALLEST_VM, LARGE_CROWD_MB)


add_tests()

if __name__ == "__main__":
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 4096)), hard))
    unittest.main(argv=[sys.argv[0], *(f"Limits.{name}" for name in sys.argv[2:])], verbosity=2)
