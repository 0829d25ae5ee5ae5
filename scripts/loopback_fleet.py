"""Whole gateways and registry nodes on loopback, with stand-ins of targets that implement the wire.

Shared by bench/gateway_cost.py and by the tests of whole processes. All addresses are in 127.0.0.0/8.
"""
import asyncio
import collections
import json
import os
import pathlib
import shutil
import signal
import subprocess
import tempfile
import time

PEER_PORT, METRICS_PORT, CALLER_PORT, READY_PORT, CONTROL_PORT = 27720, 27735, 28161, 28167, 28166
TARGET_PORT = 28080
HEARTBEAT_S = 1.5
LONGEST_LEASE_MS = 1000
SERVICE, HOST, PREFIX = "svc", "bench.example", "/jobs/"


class Run:
    """A run on a stand-in target; its times are those of time.monotonic()."""

    def __init__(self, task, run_id, spec, target):
        self.task, self.run_id, self.spec, self.target = task, run_id, spec, target
        self.job = task.partition(".")[0]
        self.began, self.ended, self.cause, self.timer = time.monotonic(), None, "", None

    def __repr__(self):
        return f"{self.task}#{self.run_id} on {self.target}, {self.began:.3f} to {self.ended} ({self.cause})"


def overlaps(runs):
    """Returns the pairs of runs of one task that went on at the same time."""
    by_task = collections.defaultdict(list)
    for run in sorted(runs, key=lambda r: r.began):
        by_task[run.task].append(run)
    return [(first, second) for of_task in by_task.values()
            for i, first in enumerate(of_task) for second in of_task[i + 1:]
            if first.ended is None or second.began < first.ended]


class StandInTarget:
    """A target as PROTOCOL.md describes it: it ends each run after the seconds `s` of its spec.

    It rejects orders with a lower fencing token, runs that are not newer than one that ended, and
    orders for another name; it kills everything when its lease expires.
    """

    def __init__(self, name, domain, address, registries, service=SERVICE):
        self.name, self.domain, self.address, self.service = name, domain, address, service
        self.registries, self.owner = registries, ""
        self.born = int(time.time() * 1000)
        self.started_at = time.monotonic()
        self.sequence = self.ended_count = self.polls = self.connections = self.token = 0
        self.leased_until_ms, self.lease_timer = 0, None
        self.running, self.newest_ended, self.ended, self.waiting = {}, {}, [], []
        self.history = []

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, TARGET_PORT)

    async def announce(self):
        while True:
            self.sequence += 1
            body = {"service": self.service, "address": f"{self.address}:{TARGET_PORT}", "zone": self.domain,
                    "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
                    "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, "labels": ["a", "r1", self.domain],
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
                path, length, instance = head.split(b" ", 2)[1].decode(), 0, self.name
                for line in head.decode().split("\r\n"):
                    name, _, value = line.partition(":")
                    if name.lower() == "content-length":
                        length = int(value)
                    if name.lower() == "target-instance":
                        instance = value.strip()
                body = json.loads(await reader.readexactly(length)) if length else {}
                status, reply = (await self.answer(path, body) if instance == self.name
                                 else (421, {}))
                data = json.dumps({"clock_ms": self.clock(), "born": self.born, **reply}).encode()
                writer.write(b"HTTP/1.1 %d Status\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n" % (status, len(data)) + data)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path.endswith("/run-start"):
            return self.start(body)
        if path.endswith("/run-stop"):
            self.stop(body["task"], body["run_id"])
            return 200, {}
        if path.endswith("/hold"):
            return 200, await self.hold(body)
        return 404, {}

    def start(self, body):
        task, run_id = body["task"], body["run_id"]
        if (task, run_id) in self.running:
            return 200, {}
        if body["expires_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(body["expires_ms"])
        if run_id <= self.newest_ended.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        spec.pop("data", None)  # may be large, and the run is kept
        run = Run(task, run_id, spec, self.name)
        run.timer = asyncio.get_running_loop().call_later(
            run.spec["s"], self.end, (task, run_id), "done")
        self.running[task, run_id] = run
        self.history.append(run)
        return 200, {}

    def stop(self, task, run_id):
        self.newest_ended[task] = max(run_id, self.newest_ended.get(task, 0))
        self.end((task, run_id), "stopped")

    def extend_lease(self, expires_ms):
        """Extends the lease, which never shortens and is at most LONGEST_LEASE_MS long."""
        expires_ms = min(expires_ms, self.clock() + LONGEST_LEASE_MS)
        if expires_ms <= self.leased_until_ms:
            return
        self.leased_until_ms = expires_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (expires_ms - self.clock()) / 1000, self.expire)

    def expire(self):
        for run in list(self.running):
            self.end(run, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run.timer.cancel()
        run.ended, run.cause = time.monotonic(), how
        task, run_id = key
        self.newest_ended[task] = max(run_id, self.newest_ended.get(task, 0))
        self.ended_count += 1
        self.ended.append([self.ended_count, task, run_id, how, ""])
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting = []

    async def hold(self, body):
        self.polls += 1
        if "expires_ms" in body:
            self.extend_lease(body["expires_ms"])
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        if not self.ended and body.get("wait_ms"):
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            try:
                await asyncio.wait_for(waiter, body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                self.waiting = [w for w in self.waiting if w is not waiter]
        return {"running": [[t, r, "", 0] for t, r in self.running], "ended_runs": self.ended[:500]}


async def call(host, port, method, path, body, headers="", timeout=5):
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, port), 2)
    data = json.dumps(body).encode()
    writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n"
                 f"connection: close\r\n{headers}content-length: {len(data)}\r\n\r\n".encode() + data)
    try:
        answer = await asyncio.wait_for(reader.read(), timeout)
    finally:
        writer.close()
    status = int(answer.split(b" ", 2)[1])
    head, _, payload = answer.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        chunks, rest = [], payload
        while (size := int(rest.partition(b"\r\n")[0], 16)) > 0:
            rest = rest.partition(b"\r\n")[2]
            chunks.append(rest[:size])
            rest = rest[size + 2:]
        payload = b"".join(chunks)
    return status, json.loads(payload) if payload.startswith(b"{") else {}


def rules(version, timeout_ms):
    return {"version": version,
            "routes": [{"name": "r", "host": HOST, "path_prefix": PREFIX, "route_type": "non_idempotent",
                        "timeout_ms": timeout_ms, "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                        "max_attempts": 3, "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "rejects_overload": True, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}}


class Fleet:
    """Processes and stand-ins of targets, each in the next one of the domains.

    Fleets with different values of `network` can run at the same time. A process is named by its role
    and number (registry-0). The first life of a process writes `log`, the others `log-2` and so on.
    """

    def __init__(self, binaries, gateways, targets, domains=3, registries=3, network=1,
                 tolerated_losses=None, services=(SERVICE,), settings=None):
        self.settings = settings or {}  # of each process, besides the usual ones
        self.binaries = pathlib.Path(binaries)
        self.folder = tempfile.TemporaryDirectory(ignore_cleanup_errors=True)
        self.domains = domains
        self.tolerated_losses = registries // 2 if tolerated_losses is None else tolerated_losses
        self.registries = [f"127.{network}.0.{i + 1}" for i in range(registries)]
        self.gateways = [f"127.{network + 1}.{i // 200}.{i % 200 + 1}" for i in range(gateways)]
        self.network = network
        self.seeds = [f"{ip}:{CONTROL_PORT}" for ip in self.registries]
        self.targets = [StandInTarget(f"i-{i:05d}", f"d{i % domains}",
                                      f"127.{network + 2}.{i // 200}.{i % 200 + 1}", self.seeds,
                                      services[i // domains % len(services)])
                        for i in range(targets)]
        self.processes, self.tasks = [], []
        self.places, self.lives, self.ending = {}, {}, set()

    def start_process(self, role, number, ip, is_first_start=True):
        folder = pathlib.Path(self.folder.name) / f"{role}-{number}"
        folder.mkdir()
        settings = {"node": f"{role}-{number}", "domain": f"d{number % self.domains}", "ip": ip,
                    "peer_address": f"{ip}:{PEER_PORT}", "metrics_address": f"{ip}:{METRICS_PORT}",
                    "registry_seeds": self.seeds,
                    "tolerated_losses": self.tolerated_losses, "is_first_start": is_first_start,
                    "processor_share": 0.1, "lease_ms": LONGEST_LEASE_MS, "stop_bound_s": 6,
                    "heartbeat_ms": 1500} | self.settings
        if role == "gateway":
            settings |= {"callers_address": f"{ip}:{CALLER_PORT}", "readiness_address": f"{ip}:{READY_PORT}"}
        else:
            settings |= {"operators_address": f"{ip}:{CONTROL_PORT}", "data_folder": str(folder / "data")}
            (folder / "data").mkdir()
        (folder / "settings.json").write_text(json.dumps(settings))
        name = f"{role}-{number}"
        self.places[name], self.lives[name] = len(self.processes), 1
        self.processes.append((role, self.launch(name, "log")))

    def add_registry(self):
        """Starts another registry node with an empty disk, and returns its name."""
        number = len(self.names("registry"))
        ip = f"127.{self.network}.0.{number + 1}"
        self.start_process("registry", number, ip, is_first_start=False)
        self.registries.append(ip)
        return f"registry-{number}"

    def registry_ip(self, name):
        return f"127.{self.network}.0.{int(name.rpartition('-')[2]) + 1}"

    def launch(self, name, log_name):
        folder = pathlib.Path(self.folder.name) / name
        with open(folder / log_name, "wb") as log:
            return subprocess.Popen([str(self.binaries / f"hibiscus-{name.partition('-')[0]}"),
                                     f"--profile={folder / 'settings.json'}"], stdout=log, stderr=log)

    def process(self, name):
        return self.processes[self.places[name]][1]

    def names(self, role=None):
        return [name for name in self.places if role in (None, name.partition("-")[0])]

    def log_of(self, name):
        """Returns the path of the log of the newest life of a process."""
        life = self.lives[name]
        return pathlib.Path(self.folder.name) / name / ("log" if life == 1 else f"log-{life}")

    def is_running(self, name):
        return self.process(name).poll() is None

    def send_signal(self, names, number):
        for name in names:
            if self.is_running(name):
                self.process(name).send_signal(number)

    def kill(self, names):
        """Kills processes at once, and returns when they are gone."""
        self.ending |= {name for name in names if self.is_running(name)}
        self.send_signal(names, signal.SIGKILL)
        for name in names:
            self.process(name).wait()

    def terminate(self, names):
        self.ending |= set(names)
        self.send_signal(names, signal.SIGTERM)

    def freeze(self, names):
        self.send_signal(names, signal.SIGSTOP)

    def resume(self, names):
        self.send_signal(names, signal.SIGCONT)

    def lose_disk(self, name):
        """Empties the data folder of a registry node that does not run."""
        data = pathlib.Path(self.folder.name) / name / "data"
        shutil.rmtree(data)
        data.mkdir()

    def start_again(self, names):
        """Starts processes that have ended, with their settings, but not as a first start."""
        for name in names:
            path = pathlib.Path(self.folder.name) / name / "settings.json"
            path.write_text(json.dumps(json.loads(path.read_text()) | {"is_first_start": False}))
            self.lives[name] += 1
            self.ending.discard(name)
            role = name.partition("-")[0]
            self.processes[self.places[name]] = (role, self.launch(name, f"log-{self.lives[name]}"))

    def ended_by_themselves(self):
        """Returns the processes that ended although nothing here ended them, with their exit codes."""
        return {name: self.process(name).returncode for name in self.places
                if name not in self.ending and not self.is_running(name)}

    async def start(self, timeout_ms=1500):
        for i, ip in enumerate(self.registries):
            self.start_process("registry", i, ip)
        for i, ip in enumerate(self.gateways):
            self.start_process("gateway", i, ip)
        for target in self.targets:
            await target.listen()
            self.tasks.append(asyncio.ensure_future(target.announce()))
        await self.replace_rules(timeout_ms)
        deadline = time.monotonic() + 60
        while time.monotonic() < deadline and not all(t.polls for t in self.targets):
            await asyncio.sleep(0.2)
        if not all(t.polls for t in self.targets):
            raise TimeoutError("not every target got an owner within a minute")

    async def replace_rules(self, timeout_ms):
        for attempt in range(60):
            try:
                status, _ = await call(self.registries[attempt % len(self.registries)], CONTROL_PORT, "POST",
                                       "/api/config/replace", rules(1, timeout_ms))
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                pass
            await asyncio.sleep(0.5)
        raise TimeoutError("no registry node accepted the rules")

    async def stop(self, keep_folder=False):
        """Ends everything; returns the path of the kept folder, or an empty one."""
        for _, process in self.processes:
            process.send_signal(signal.SIGKILL)
        for _, process in self.processes:
            process.wait()
        for target in self.targets:
            target.server.close()
        # wait_for may swallow a cancellation when what it waits for ends at the same time.
        while others := asyncio.all_tasks() - {asyncio.current_task()}:
            for task in others:
                task.cancel()
            await asyncio.wait([asyncio.gather(*others, return_exceptions=True)], timeout=1)
        kept = tempfile.mkdtemp(prefix="hibiscus-fleet-") if keep_folder else ""
        if kept:
            os.rename(self.folder.name, kept)
        self.folder.cleanup()
        return kept
