#!/usr/bin/env python3
"""Measures the processor time of whole gateways and registry nodes on loopback.

    gateway_cost.py BIN [--gateways N ...] [--targets T] [--seconds S] [--jobs-per-second R]
                        [--compare OLD_BIN] [--perf FILE]

Starts registry nodes, gateways and stand-ins of targets, waits until each target has an owner, and
prints for each number of gateways the processor time that each role used, in cores, with its peak
memory, its wake-ups (voluntary context switches) and the polls a second. --compare measures another build in turn with the
first one, in the same run, and prints the ratio. All addresses are in 127.0.0.0/8.
"""
import argparse
import asyncio
import collections
import json
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

PEER_PORT, METRICS_PORT, CALLER_PORT, READY_PORT, CONTROL_PORT = 27720, 27735, 28161, 28167, 28166
TARGET_PORT = 28080
HEARTBEAT_S = 1.5
DOMAINS = 3
REGISTRIES = 3
SERVICE, HOST, PREFIX = "svc", "bench.example", "/jobs/"


class StandInTarget:
    """A target: it announces itself, accepts orders, and ends each run after its estimate."""

    def __init__(self, number, domain, registries):
        self.name, self.domain = f"i-{number:05d}", domain
        self.address = f"127.3.{number // 200}.{number % 200 + 1}"
        self.registries, self.owner = registries, ""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = self.ended_count = self.polls = self.connections = self.token = 0
        self.running, self.ended, self.waiting = {}, [], []

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, TARGET_PORT)

    async def announce(self):
        while True:
            self.sequence += 1
            body = {"service": SERVICE, "address": f"{self.address}:{TARGET_PORT}", "zone": self.domain,
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "labels": ["a", "r1"],
                    "clock_ms": self.clock(), "seq": self.sequence, "born": self.born}
            to = self.owner or self.registries[self.sequence % len(self.registries)]
            host, port = to.split(":")
            try:
                status, reply = await call(host, int(port), "POST",
                                           f"/api/instances/{self.name}/heartbeat", body)
                if status == 200 and reply.get("heartbeat_addr"):
                    self.owner = reply["heartbeat_addr"]
            except (OSError, asyncio.TimeoutError, ValueError, asyncio.IncompleteReadError):
                self.owner = ""
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                path, length = head.split(b" ", 2)[1].decode(), 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = json.loads(await reader.readexactly(length)) if length else {}
                reply = await self.answer(path, body)
                data = json.dumps({"clock_ms": self.clock(), "born": self.born, **reply}).encode()
                writer.write(b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n" % len(data) + data)
        except (asyncio.IncompleteReadError, OSError):
            writer.close()

    async def answer(self, path, body):
        if path.endswith("/run-start"):
            task = (body["task"], body["run_id"])
            self.running[task] = asyncio.get_running_loop().call_later(
                json.loads(body["spec"])["s"], self.end, task, "done")
        elif path.endswith("/run-stop"):
            self.end((body["task"], body["run_id"]), "stopped")
        elif path.endswith("/hold"):
            return await self.hold(body)
        return {}

    def end(self, task, how):
        timer = self.running.pop(task, None)
        if timer is None:
            return
        timer.cancel()
        self.ended_count += 1
        self.ended.append([self.ended_count, task[0], task[1], how, ""])
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting = []

    async def hold(self, body):
        self.polls += 1
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        if not self.ended and body.get("wait_ms"):
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            try:
                await asyncio.wait_for(waiter, body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                self.waiting = [w for w in self.waiting if w is not waiter]
        return {"running": [[t, r, "", 0] for t, r in self.running], "ended_runs": self.ended[:500]}


async def call(host, port, method, path, body, headers=""):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 2)
    data = json.dumps(body).encode()
    writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n"
                 f"connection: close\r\n{headers}content-length: {len(data)}\r\n\r\n".encode() + data)
    try:
        answer = await asyncio.wait_for(reader.read(), 5)
    finally:
        writer.close()
    status = int(answer.split(b" ", 2)[1])
    payload = answer.partition(b"\r\n\r\n")[2]
    return status, json.loads(payload) if payload.startswith(b"{") else {}


def rules(version):
    return {"version": version,
            "routes": [{"name": "r", "host": HOST, "path_prefix": PREFIX, "route_type": "non_idempotent",
                        "timeout_ms": 1500, "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                        "max_attempts": 3, "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "rejects_overload": True, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Fleet:
    """The processes of one measurement."""

    def __init__(self, binaries, gateways, targets):
        self.binaries, self.folder = pathlib.Path(binaries), tempfile.TemporaryDirectory()
        self.registries = [f"127.1.0.{i + 1}" for i in range(REGISTRIES)]
        self.gateways = [f"127.2.{i // 200}.{i % 200 + 1}" for i in range(gateways)]
        control = [f"{ip}:{CONTROL_PORT}" for ip in self.registries]
        self.targets = [StandInTarget(i, f"d{i % DOMAINS}", control) for i in range(targets)]
        self.processes, self.tasks = [], []
        self.answers = collections.Counter()

    def start_process(self, role, number, ip):
        folder = pathlib.Path(self.folder.name) / f"{role}-{number}"
        folder.mkdir()
        settings = {"node": f"{role}-{number}", "domain": f"d{number % DOMAINS}", "ip": ip,
                    "peer_address": f"{ip}:{PEER_PORT}", "metrics_address": f"{ip}:{METRICS_PORT}",
                    "registry_seeds": [f"{r}:{CONTROL_PORT}" for r in self.registries],
                    "tolerated_losses": 1, "is_first_start": True, "processor_share": 0.1,
                    "lease_ms": 1000, "stop_bound_s": 6, "heartbeat_ms": 1500}
        if role == "gateway":
            settings |= {"callers_address": f"{ip}:{CALLER_PORT}", "readiness_address": f"{ip}:{READY_PORT}"}
        else:
            settings |= {"operators_address": f"{ip}:{CONTROL_PORT}", "data_folder": str(folder / "data")}
            (folder / "data").mkdir()
        (folder / "settings.json").write_text(json.dumps(settings))
        log = open(folder / "log", "wb")
        self.processes.append((role, subprocess.Popen(
            [str(self.binaries / f"hibiscus-{role}"), f"--profile={folder / 'settings.json'}"],
            stdout=log, stderr=log)))

    async def start(self):
        for i, ip in enumerate(self.registries):
            self.start_process("registry", i, ip)
        for i, ip in enumerate(self.gateways):
            self.start_process("gateway", i, ip)
        for target in self.targets:
            await target.listen()
            self.tasks.append(asyncio.ensure_future(target.announce()))
        await self.replace_rules()
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and not all(t.polls for t in self.targets):
            await asyncio.sleep(0.2)
        if not all(t.polls for t in self.targets):
            sys.exit("not every target got an owner within a minute")
        await asyncio.sleep(8)  # targets move to their preferred owners

    async def replace_rules(self):
        for attempt in range(60):
            try:
                status, _ = await call(self.registries[attempt % REGISTRIES], CONTROL_PORT, "POST",
                                       "/api/config/replace", rules(1))
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.5)
        sys.exit("no registry node accepted the rules")

    async def submit(self, number):
        spec = {"spec": json.dumps({"s": 0.2}), "best_effort": True,
                "phases": [{"count": 2, "cpu": 32000, "mem_mb": 64, "estimated_ms": 200}]}
        ip = self.gateways[number % len(self.gateways)]
        try:
            status, _ = await call(ip, CALLER_PORT, "POST", f"{PREFIX}{number:016x}", spec,
                                   "deadline-ms: 1500\r\n")
        except (OSError, asyncio.TimeoutError, IndexError, ValueError):
            status = 0
        self.answers[status] += 1

    async def load(self, rate, seconds):
        begin, sent, open_calls = time.monotonic(), 0, []
        while time.monotonic() < begin + seconds:
            while sent < (time.monotonic() - begin) * rate:
                open_calls.append(asyncio.ensure_future(self.submit(sent)))
                sent += 1
            await asyncio.sleep(0.002)
        await asyncio.gather(*open_calls)

    def usage(self):
        total = collections.defaultdict(lambda: [0.0, 0.0, 0])
        for role, process in self.processes:
            fields = pathlib.Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            entry = total[role]
            entry[0] += int(fields[11]) / os.sysconf("SC_CLK_TCK")
            entry[1] += int(fields[12]) / os.sysconf("SC_CLK_TCK")
            for task in pathlib.Path(f"/proc/{process.pid}/task").iterdir():
                for line in (task / "status").read_text().splitlines():
                    if line.startswith("voluntary"):
                        entry[2] += int(line.split()[1])
        return total

    def peak_memory(self, role):
        """Returns the mean of the role's largest resident sizes, in MB."""
        peaks = []
        for other, process in self.processes:
            status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
            if other == role:
                peaks.append(int(status.partition("VmHWM:")[2].split()[0]) / 1024)
        return sum(peaks) / len(peaks)

    async def measure(self, seconds, rate):
        before, polls, connections = self.usage(), sum(t.polls for t in self.targets), sum(
            t.connections for t in self.targets)
        began = time.monotonic()
        await (self.load(rate, seconds) if rate else asyncio.sleep(seconds))
        after, elapsed, result = self.usage(), time.monotonic() - began, {}
        for role, count in (("gateway", len(self.gateways)), ("registry", REGISTRIES)):
            spent = [(a - b) / elapsed / count for a, b in zip(after[role], before[role])]
            result[role] = {"user": spent[0], "kernel": spent[1], "cores": spent[0] + spent[1],
                            "wakeups_per_s": spent[2], "peak_mb": self.peak_memory(role)}
        result["polls_per_target_and_s"] = (
            sum(t.polls for t in self.targets) - polls) / elapsed / len(self.targets)
        result["new_connections_per_s"] = (
            sum(t.connections for t in self.targets) - connections) / elapsed
        result["answers"] = dict(self.answers)
        return result

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for target in self.targets:
            target.server.close()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for _, process in self.processes:
            process.send_signal(signal.SIGKILL)
        for _, process in self.processes:
            process.wait()
        self.folder.cleanup()


async def measure(binaries, gateways, arguments):
    fleet = Fleet(binaries, gateways, round(gateways * arguments.targets))
    try:
        await fleet.start()
        if arguments.perf:
            pids = ",".join(str(p.pid) for role, p in fleet.processes if role == arguments.perf_role)
            perf = subprocess.Popen(["perf", "record", "-g", "-F", "499", "-o", arguments.perf, "-p", pids,
                                     "--", "sleep", str(arguments.seconds)], stderr=subprocess.DEVNULL)
        result = await fleet.measure(arguments.seconds, arguments.jobs_per_second)
        if arguments.perf:
            perf.wait()
        return result
    finally:
        await fleet.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("binaries")
    parser.add_argument("--gateways", type=int, nargs="+", default=[10, 40, 100])
    parser.add_argument("--targets", type=float, default=5.5, help="targets a gateway")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--jobs-per-second", type=float, default=0)
    parser.add_argument("--compare", help="folder of another build's programs")
    parser.add_argument("--perf", help="file for a profile (perf record)")
    parser.add_argument("--perf-role", default="gateway")
    arguments = parser.parse_args()
    for gateways in arguments.gateways:
        results = {}
        for binaries in filter(None, [arguments.binaries, arguments.compare]):
            results[binaries] = asyncio.run(measure(binaries, gateways, arguments))
            print(json.dumps({"binaries": binaries, "gateways": gateways, **results[binaries]}), flush=True)
        if arguments.compare:
            for role in ("gateway", "registry"):
                ratio = results[arguments.binaries][role]["cores"] / results[arguments.compare][role]["cores"]
                print(f"{gateways} gateways, {role}: {ratio:.3f} of {arguments.compare}", flush=True)


if __name__ == "__main__":
    main()
