"""A small deployment on loopback, for the scripts of review/11 to review/15.

The programs are those of deploy/system.toml, started from the root of the repository with the
settings that deploy/node.json.template makes of a platform's settings. Workers, clients, the
operator and the platform are small stand-ins after PROTOCOL.md; the times of a record are seconds
since the fleet was started.
"""
import asyncio
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Bounds of SYSTEM.md, in seconds.
CONTACT_S, CANCEL_S, STOP_S, RESEND_S, LEASE_MS = 3.0, 3.0, 0.05, 1.3, 1000
HEARTBEAT_S = 1.5
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"
ZONES = ["zone-a", "zone-b", "zone-c"]


class CannotRun(Exception):
    """The case could not be played; this says nothing about the rule."""


class Record:
    """The file record.txt of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def add(self, event, /, **fields):
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():8.3f} {event} {text}\n")
        self.file.flush()


class Run:
    """A run of a task on a worker."""

    def __init__(self, worker, task, run_id, spec, began):
        self.worker, self.task, self.run_id, self.spec = worker, task, run_id, spec
        self.job = task.partition(".")[0]
        self.began, self.ended, self.how, self.timer = began, None, None, None

    def __repr__(self):
        ended = "now" if self.ended is None else f"{self.ended:.3f}"
        return f"{self.task}#{self.run_id} on {self.worker}: {self.began:.3f} to {ended} ({self.how})"


class Worker:
    """A worker as PROTOCOL.md describes it; a task's work is the seconds in its spec.

    `on_start` may take an order to start out of the usual course: it returns True if the worker
    gives no answer. `cut_until` is the time until which the worker is cut off from all machines.
    """

    def __init__(self, fleet, name, zone, ip, labels):
        self.fleet, self.name, self.zone, self.ip, self.labels = fleet, name, zone, ip, labels
        self.address = f"{ip}:{fleet.worker_port}"
        self.born, self.started_at = int(time.time() * 1000), time.monotonic()
        self.sequence, self.token, self.leased_until, self.lease_timer = 0, 0, 0, None
        self.running, self.newest_ended, self.ended, self.waiting = {}, {}, [], []
        self.ended_count, self.polls, self.answered_polls, self.cut_until = 0, 0, 0, 0.0
        self.capacity = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
        self.on_start = None

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    def is_cut(self):
        return time.monotonic() < self.cut_until

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.ip, self.fleet.worker_port)

    def start_again(self, labels):
        """Crashes and starts again under the same id and address, as a process that knows nothing."""
        for key in list(self.running):
            run = self.running.pop(key)
            run.timer.cancel()
            run.ended, run.how = self.fleet.record.now(), "crashed"
        self.labels, self.born, self.started_at = labels, int(time.time() * 1000), time.monotonic()
        self.sequence, self.token, self.leased_until = 0, 0, 0
        self.newest_ended, self.ended, self.waiting, self.ended_count = {}, [], [], 0
        self.fleet.record.add("worker-starts-again", worker=self.name, labels=labels)
        self.announcing.cancel()
        self.announcing = asyncio.ensure_future(self.announce())

    async def announce(self):
        """Sends heartbeats to the owner, or to the next node that serves control."""
        owner, nodes = "", itertools.cycle(random.sample(self.fleet.seeds, len(self.fleet.seeds)))
        while True:
            if self.is_cut():
                await asyncio.sleep(1)  # no response within a second: the next node is called
            if not self.is_cut():
                self.sequence += 1
                body = {"service": SERVICE, "address": self.address, "zone": self.zone, "version": "v1",
                        "slots": 8, "state": "ready", "cold_remaining_ms": 0, "capacity": self.capacity,
                        "labels": self.labels, "clock_ms": self.clock(), "seq": self.sequence,
                        "born": self.born}
                for _ in range(4):
                    to = owner or next(nodes)
                    status, reply = await call(to, "POST", f"/api/instances/{self.name}/heartbeat", body,
                                               timeout=1)
                    if status == 200:
                        owner = reply.get("heartbeat_addr") or owner
                        break
                    owner = ""
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                method, path, headers, body = await read_request(reader)
                if self.is_cut():  # what is sent into a cut is lost, and nothing comes back
                    await asyncio.sleep(self.cut_until - time.monotonic())
                    return
                if headers.get("target-instance", self.name) != self.name:
                    status, reply = 421, {}
                else:
                    status, reply = await self.answer(path, json.loads(body or b"{}"))
                if status is None or self.is_cut():
                    await asyncio.sleep(max(3600 if status is None else 0,
                                            self.cut_until - time.monotonic()))
                    return
                write_response(writer, status, {"clock_ms": self.clock(), "born": self.born, **reply})
                self.answered_polls += path == "/api/hold"
        except (asyncio.IncompleteReadError, asyncio.CancelledError, OSError, ValueError):
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if path == "/api/run-start" and self.on_start and self.on_start(self, body):
            return None, {}
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/api/run-start":
            return self.start(body)
        if path == "/api/run-stop":
            key = (body["task"], body["run_id"])
            self.newest_ended[key[0]] = max(key[1], self.newest_ended.get(key[0], 0))
            self.end(key, "stopped")
            return 200, {}
        if path == "/api/hold":
            return 200, await self.hold(body)
        return 404, {}

    def start(self, body):
        key = (body["task"], body["run_id"])
        if key in self.running:
            return 200, {}
        if body["expires_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend_lease(body["expires_ms"])
        if key[1] <= self.newest_ended.get(key[0], 0):
            return 409, {"reason": "old"}
        if (len(self.running) + 1) * 8000 > self.capacity["cpu"]:
            return 409, {"reason": "room"}
        run = Run(self.name, key[0], key[1], body["spec"], self.fleet.record.now())
        run.timer = asyncio.get_running_loop().call_later(
            json.loads(body["spec"])["s"], self.end, key, "done")
        self.running[key] = run
        self.fleet.runs.append(run)
        self.fleet.record.add("run-begins", worker=self.name, task=key[0], run=key[1])
        return 200, {}

    def extend_lease(self, expires_ms):
        expires_ms = min(expires_ms, self.clock() + LEASE_MS)
        if expires_ms <= self.leased_until:
            return
        self.leased_until = expires_ms
        if self.lease_timer is not None:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (expires_ms - self.clock()) / 1000, self.expire)

    def expire(self):
        for key in list(self.running):
            self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run.timer.cancel()
        run.ended, run.how = self.fleet.record.now(), how
        self.newest_ended[key[0]] = max(key[1], self.newest_ended.get(key[0], 0))
        self.ended_count += 1
        self.ended.append([self.ended_count, key[0], key[1], how, ""])
        self.fleet.record.add("run-ends", worker=self.name, task=key[0], run=key[1], how=how)
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting = []

    async def hold(self, body):
        self.polls += 1
        if "expires_ms" in body:
            self.extend_lease(body["expires_ms"])
        self.ended = [row for row in self.ended if row[0] > body["ack_cursor"]]
        if not self.ended and body.get("wait_ms"):
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            try:
                await asyncio.wait_for(waiter, min(body["wait_ms"], 2000) / 1000)
            except asyncio.TimeoutError:
                self.waiting = [other for other in self.waiting if other is not waiter]
        return {"running": [[run.task, run.run_id, "", self.percent(run)] for run in self.running.values()],
                "ended_runs": self.ended[:500]}

    def percent(self, run):
        return min(99, int(100 * (self.fleet.record.now() - run.began) / json.loads(run.spec)["s"]))


async def read_request(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    method, path, _ = head.split(" ", 2)
    headers = {}
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return method, path, headers, await reader.readexactly(int(headers.get("content-length", 0)))


def write_response(writer, status, reply):
    data = json.dumps(reply).encode()
    writer.write(b"HTTP/1.1 %d Status\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                 % (status, len(data)) + data)


async def read_chunks(reader):
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    return body


async def exchange(address, method, path, body=None, headers=None):
    """Makes one call over a connection of its own."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    data = json.dumps(body).encode() if body is not None else b""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Content-Type: application/json",
             f"Content-Length: {len(data)}"] + [f"{k}: {v}" for k, v in (headers or {}).items()]
    try:
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split(" ", 2)[1])
        length = next((int(line.partition(":")[2]) for line in head.split("\r\n")
                       if line.startswith("content-length:")), 0)
        answer = await (read_chunks(reader) if "transfer-encoding: chunked" in head
                        else reader.readexactly(length))
    finally:
        writer.close()
    return status, json.loads(answer) if answer.startswith(b"{") else {}


async def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Makes a call; returns status 0 if there is no answer."""
    try:
        return await asyncio.wait_for(exchange(address, method, path, body, headers), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
        return 0, {}


class Fleet:
    """Gateways and registry nodes in three zones, with their workers."""

    def __init__(self, folder, gateways_a_zone=1, workers_a_zone=2, timeout_ms=1500):
        self.record, self.runs, self.timeout_ms = Record(folder), [], timeout_ms
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        commands = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        self.commands = {role: commands[role]["run"].split() for role in ("gateway", "registry")}
        self.choose_addresses()
        self.nodes, self.processes = {}, {}
        for role, count in (("registry", 1), ("gateway", gateways_a_zone)):
            for i, zone in enumerate(ZONES * count):
                self.nodes[f"{role}-{i}"] = (role, zone, f"{self.net}.{0 if role == 'registry' else 1}.{i + 1}")
        self.seeds = [f"{ip}:{self.control_port}" for role, _, ip in self.nodes.values() if role == "registry"]
        self.workers = [Worker(self, f"i-{i:04x}", zone, f"{self.net}.2.{i + 1}", ["a", f"r{i % 3}"])
                        for i, zone in enumerate(ZONES * workers_a_zone)]

    def choose_addresses(self):
        """Chooses a part of 127.0.0.0/8 and ports on which nothing listens."""
        for _ in range(50):
            self.net = f"127.{random.randint(60, 250)}"
            base = random.randint(20000, 31000)
            ports = range(base, base + 8)
            try:
                for octet, port in itertools.product((0, 1, 2), ports):
                    with socket.socket() as probe:
                        probe.bind((f"{self.net}.{octet}.1", port))
            except OSError:
                continue
            (self.peer_port, self.targets_port, self.metrics_port, self.front_port, self.ready_port,
             self.control_port, self.worker_port, _) = ports
            return
        raise CannotRun("no free ports")

    def settings_of(self, name, is_first_start):
        """Returns what deploy/node.json.template gives for a machine of SYSTEM.md's kinds."""
        role, zone, ip = self.nodes[name]
        settings = {"node": name, "domain": zone, "domains": ZONES, "ip": ip,
                    "peer_address": f"{ip}:{self.peer_port}", "metrics_address": f"{ip}:{self.metrics_port}",
                    "registry_seeds": self.seeds, "tolerated_losses": 1, "is_first_start": is_first_start,
                    "memory_mb": 260, "max_fds": 4100, "processor_share": 0.25, "lease_ms": LEASE_MS,
                    "stop_bound_s": 6, "drain_ms": 2000, "heartbeat_ms": int(HEARTBEAT_S * 1000),
                    "scheduling": {"run_forecasts": True}}
        if role == "gateway":
            settings |= {"callers_address": f"{ip}:{self.front_port}",
                         "readiness_address": f"{ip}:{self.ready_port}"}
        else:
            settings |= {"operators_address": f"{ip}:{self.control_port}",
                         "data_folder": str(pathlib.Path(self.folder.name) / name)}
        return settings

    def launch(self, name, is_first_start=False):
        role = self.nodes[name][0]
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(self.settings_of(name, is_first_start)))
        if role == "registry":
            (pathlib.Path(self.folder.name) / name).mkdir(exist_ok=True)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HIBISCUSSTREAM_CONFIG"] = str(path)
        with open(pathlib.Path(self.folder.name) / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(self.commands[role], cwd=ROOT, env=environment,
                                                    stdout=log, stderr=log)
        self.record.add("process-starts", node=name, address=self.nodes[name][2])

    def front(self, name):
        return f"{self.nodes[name][2]}:{self.front_port}"

    async def is_ready(self, name):
        status, _ = await call(f"{self.nodes[name][2]}:{self.ready_port}", "GET", "/api/ready")
        return status == 200

    def send_signal(self, name, number):
        self.record.add("signal", node=name, signal=signal.Signals(number).name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def log_of(self, name):
        if name not in self.processes:
            return ""
        return (pathlib.Path(self.folder.name) / f"{name}.log").read_text(errors="replace")

    def configuration(self, version):
        return {"version": version,
                "routes": [{"name": "r-1", "host": HOST, "path_prefix": PREFIX, "route_type": "non_idempotent",
                            "timeout_ms": self.timeout_ms, "target_latency_ms": 60, "priority": 0,
                            "service": SERVICE, "max_attempts": 3, "stretch": 1.6}],
                "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                              "protocol": "h1", "tls": False, "rejects_overload": True, "standby": False}],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                           "idle_timeout_ms": 15000}}

    async def configure(self, version=1):
        """Sends a configuration as the operator does: to any node, again until it is acknowledged."""
        for attempt in range(60):
            status, _ = await call(self.seeds[attempt % len(self.seeds)], "POST", "/api/config/replace",
                                   self.configuration(version))
            if status == 200:
                self.record.add("configuration-acknowledged", version=version)
                return
            await asyncio.sleep(0.3)
        raise CannotRun("the configuration was not acknowledged")

    async def start(self, without=()):
        """Starts all nodes, but those that come later, and waits until they serve."""
        for name in self.nodes:
            if name not in without:
                self.launch(name, is_first_start=True)
        for worker in self.workers:
            await worker.listen()
            worker.announcing = asyncio.ensure_future(worker.announce())
        await self.configure()
        await self.until(lambda: all(worker.polls for worker in self.workers), "every worker has an owner", 30)
        for name in self.nodes:
            if self.nodes[name][0] == "gateway":
                deadline = time.monotonic() + 20
                while not await self.is_ready(name):
                    if time.monotonic() > deadline:
                        raise CannotRun(f"{name} is not ready")
                    await asyncio.sleep(0.1)
        # Traffic starts 10 s after the machines do; before that all have got to know each other.
        await asyncio.sleep(max(0, 10 - self.record.now()))

    async def until(self, condition, what, limit):
        deadline = time.monotonic() + limit
        while not condition():
            if time.monotonic() > deadline:
                raise CannotRun(f"not within {limit} s: {what}")
            await asyncio.sleep(0.005)

    def stop(self):
        """Ends all processes that this fleet has started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
        for process in self.processes.values():
            process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            for name in self.nodes:
                (pathlib.Path(keep) / f"{name}.log").write_text(self.log_of(name))
        self.folder.cleanup()

    async def submit(self, name, job, steps, deadline_ms, what="POST", label=""):
        """Sends a best-effort job; each step is the seconds of work of its one task."""
        body = {"spec": json.dumps({"s": steps[0]}), "best_effort": True,
                "phases": [{"count": 1, "cpu": 8000, "mem_mb": 64, "estimated_ms": int(seconds * 1000),
                            **({"depends_on": [i - 1]} if i else {}),
                            **({"requirements": label} if label else {})} for i, seconds in enumerate(steps)]}
        self.record.add("client-sends", what=what, job=job, to=name)
        status, reply = await call(self.front(name), "POST", PREFIX + job, body,
                                   {"Deadline-Ms": deadline_ms}, deadline_ms / 1000)
        self.record.add("client-receives", what=what, job=job, status=status, body=json.dumps(reply))
        return status, reply

    async def cancel(self, name, job):
        self.record.add("client-sends", what="DELETE", job=job, to=name)
        status, _ = await call(self.front(name), "DELETE", PREFIX + job, timeout=2)
        self.record.add("client-receives", what="DELETE", job=job, status=status)
        return status

    def runs_of(self, job):
        return [run for run in self.runs if run.job == job]

    def overlaps(self, job):
        """Returns the pairs of runs of one task of `job` that went on at the same time."""
        now, pairs = self.record.now(), []
        for one, other in itertools.combinations(self.runs_of(job), 2):
            begin = max(one.began, other.began)
            end = min(run.ended if run.ended is not None else now for run in (one, other))
            if one.task == other.task and begin < end:
                pairs.append((one, other, end - begin))
        return pairs


def play(folder, case):
    """Plays `case`, a function of a record folder that returns whether the rule held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder, trouble), 110))
    except CannotRun as error:
        print(f"could not run: {error}")
        return 2
    except Exception:  # a fault of the script says nothing about the rule
        traceback.print_exc()
        return 2
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
