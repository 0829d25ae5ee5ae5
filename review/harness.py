"""Starts the programs of deploy/system.toml on loopback, with stand-ins of workers and clients.

Used by the scripts of review/N/. All addresses are in 127.0.0.0/8; each run draws a network and ports
that are free. Workers follow PROTOCOL.md: fencing tokens, leases on their own clock, run numbers, a
stop that takes up to `stop_timeout_ms`, and capacity that becomes free when an end is listed.
"""
import asyncio
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = ROOT / "target" / "bin"
MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5
STOP_S = 0.045  # stop_timeout_ms is 50
PREFIX, HOST, SERVICE = "/jobs/", "review.example", "svc"


class Record:
    """record.txt: one line an event, with the seconds since the start of the script."""

    def __init__(self, path):
        self.file, self.begin = open(path, "w", encoding="utf-8"), time.monotonic()

    def line(self, text):
        self.file.write(f"{time.monotonic() - self.begin:8.3f}  {text}\n")
        self.file.flush()


class Worker:
    """A worker that starts whatever it is told to start (`rejects_overload` = false)."""

    def __init__(self, number, zone, address, port, controls, record, capacity=64000):
        self.id, self.zone, self.address, self.port = f"i-{number:05d}", zone, address, port
        self.controls, self.record, self.capacity = controls, record, capacity
        self.began, self.born = time.monotonic(), int(time.time() * 1000)
        self.sequence = self.token = self.end_count = 0
        self.heartbeat_address, self.lease_until, self.lease_timer = "", 0, None
        self.runs, self.stopping, self.newest, self.ends, self.waiting = {}, {}, {}, [], []
        self.over_capacity, self.begun = [], []
        self.state, self.drain_acked = "ready", None

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def note(self, text):
        self.record.line(f"{self.id} {text}")

    async def listen(self):
        self.server = await asyncio.start_server(self.serve, self.address, self.port)

    async def beat(self):
        await asyncio.sleep(random.uniform(0, HEARTBEAT_S))
        while True:
            self.sequence += 1
            body = {"service": SERVICE, "address": f"{self.address}:{self.port}", "zone": self.zone,
                    "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                    "capacity": {"cpu": self.capacity, "mem_mb": 262144, "gpu": 0},
                    "labels": ["a", "r1"], "clock_ms": self.clock(), "seq": self.sequence,
                    "born": self.born}
            addresses = ([self.heartbeat_address] if self.heartbeat_address else []) + random.sample(
                self.controls, len(self.controls))
            for address in addresses:
                try:
                    status, reply = await asyncio.wait_for(http(
                        address, "POST", f"/api/instances/{self.id}/heartbeat", body), 1)
                except (OSError, ValueError, IndexError, asyncio.TimeoutError,
                        asyncio.IncompleteReadError):
                    status, reply = 0, {}
                if 200 <= status < 300:
                    if body["state"] == "draining" and self.drain_acked is None:
                        self.drain_acked = time.monotonic()
                        self.note(f"draining, acknowledged by {address}")
                    self.heartbeat_address = reply.get("heartbeat_addr") or (
                        address if address == self.heartbeat_address else "")
                    break
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (x.partition(":") for x in lines[1:])}
                body = json.loads(await reader.readexactly(int(headers.get("content-length", 0))) or b"{}")
                status, reply = (await self.answer(lines[0].split(" ")[1], body)
                                 if headers.get("target-instance", self.id) == self.id else (421, {}))
                data = json.dumps({"clock_ms": self.clock(), "born": self.born, **reply}).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n"
                             b"\r\n" % (status, len(data)) + data)
                if headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        if body.get("fencing_token", 0) > self.token:
            self.token = body["fencing_token"]
        if path == "/api/run-start":
            return self.start(body)
        if path == "/api/run-stop":
            self.stop(body["task"], body["run_id"])
            return 200, {}
        if path == "/api/hold":
            return 200, await self.hold(body)
        return 404, {}

    def start(self, body):
        key = body["task"], body["run_id"]
        if key in self.runs:
            return 200, {}
        if body["expires_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["expires_ms"])
        if body["run_id"] <= self.newest.get(body["task"], 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        others = {**self.runs, **self.stopping}
        load = sum(run["cpu"] for run in others.values()) + spec["cpu"]
        self.begun.append((key, time.monotonic(), self.token))
        self.note(f"starts {key[0]}#{key[1]} cpu {spec['cpu']}, then {load} of {self.capacity} in use")
        if load > self.capacity:
            what = ", ".join(f"{k[0]}#{k[1]} ({'being stopped' if k in self.stopping else 'running'})"
                             for k in others)
            self.over_capacity.append(f"{self.id}: {key[0]}#{key[1]} started beside {what}")
            self.note("OVER CAPACITY: " + self.over_capacity[-1])
        timer = asyncio.get_running_loop().call_later(spec["s"], self.end, key, "done")
        self.runs[key] = {"cpu": spec["cpu"], "timer": timer}
        return 200, {}

    def stop(self, task, run_id):
        key = task, run_id
        self.newest[task] = max(run_id, self.newest.get(task, 0))
        if key not in self.runs:
            return
        self.note(f"stops {task}#{run_id}: takes {STOP_S * 1000:.0f} ms")
        self.stopping[key] = self.runs.pop(key)
        self.stopping[key]["timer"].cancel()
        asyncio.get_running_loop().call_later(STOP_S, self.end, key, "stopped")

    def extend(self, expires_ms):
        expires_ms = min(expires_ms, self.clock() + MAX_HOLD_MS)
        if expires_ms <= self.lease_until:
            return
        self.lease_until = expires_ms
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (expires_ms - self.clock()) / 1000, self.expire)

    def expire(self):
        for key in list(self.runs) + list(self.stopping):
            self.end(key, "lapsed")

    def end(self, key, how):
        run = self.runs.pop(key, None) or self.stopping.pop(key, None)
        if run is None:
            return
        run["timer"].cancel()
        self.newest[key[0]] = max(key[1], self.newest.get(key[0], 0))
        self.end_count += 1
        self.ends.append([self.end_count, key[0], key[1], how, ""])
        self.note(f"end {self.end_count} of {key[0]}#{key[1]}: {how}")
        for waiter in self.waiting:
            if not waiter.done():
                waiter.set_result(None)
        self.waiting = []

    async def hold(self, body):
        if "expires_ms" in body:
            self.extend(body["expires_ms"])
        self.ends = [e for e in self.ends if e[0] > body["ack_cursor"]]
        if not self.ends and body.get("wait_ms"):
            waiter = asyncio.get_running_loop().create_future()
            self.waiting.append(waiter)
            try:
                await asyncio.wait_for(waiter, body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
            self.waiting = [w for w in self.waiting if w is not waiter]
        return {"running": [[t, r, "", 0, 0] for t, r in self.runs], "ended_runs": self.ends[:500]}


async def http(address, method, path, body=None, headers=""):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else json.dumps(body).encode()
        writer.write(f"{method} {path} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n"
                     f"connection: close\r\n{headers}content-length: {len(data)}\r\n\r\n".encode() + data)
        answer = await reader.read()
    finally:
        writer.close()
    head, _, payload = answer.partition(b"\r\n\r\n")
    if b"transfer-encoding: chunked" in head.lower():
        chunks, payload = payload, b""
        while size := int(chunks.partition(b"\r\n")[0] or b"0", 16):
            begin = chunks.index(b"\r\n") + 2
            payload, chunks = payload + chunks[begin:begin + size], chunks[begin + size + 2:]
    return int(answer.split(b" ", 2)[1]), json.loads(payload) if payload[:1] in (b"{", b"[") else {}


def configuration(version, timeout_ms, rejects_overload):
    return {"version": version,
            "routes": [{"name": "r-1", "host": HOST, "path_prefix": PREFIX,
                        "route_type": "non_idempotent", "timeout_ms": timeout_ms,
                        "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                        "max_attempts": 3, "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "rejects_overload": rejects_overload,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


def best_effort_job(seconds, estimated_ms, count=1, cpu=27000):
    return {"spec": json.dumps({"s": seconds, "cpu": cpu}), "best_effort": True,
            "phases": [{"count": count, "cpu": cpu, "mem_mb": 64, "estimated_ms": estimated_ms}]}


def free_network(ports):
    for _ in range(200):
        network = random.randint(20, 250)
        try:
            for last in (1, 2, 3):
                for port in ports:
                    with socket.socket() as probe:
                        probe.bind((f"127.{network}.0.{last}", port))
            return network
        except OSError:
            continue
    raise OSError("no free network")


class Deployment:
    """Gateways and registry nodes with the settings that deploy/node.json.template makes."""

    def __init__(self, record, zones, gateways, registries=3):
        base = random.randrange(21000, 29000, 100)
        self.peer, self.metrics, self.front, self.ready, self.control, self.worker = (
            base, base + 15, base + 40, base + 41, base + 42, base + 50)
        network = free_network([base, base + 1, base + 15, base + 40, base + 41, base + 42])
        self.record, self.zones, self.network = record, zones, network
        self.folder = tempfile.TemporaryDirectory(prefix="review-")
        self.registries = [f"127.{network}.0.{i + 1}" for i in range(registries)]
        self.gateways = [(f"127.{network}.1.{i + 1}", zone) for i, zone in enumerate(gateways)]
        self.controls = [f"{ip}:{self.control}" for ip in self.registries]
        self.processes, self.workers, self.tasks = {}, [], []

    def add_worker(self, zone, **arguments):
        number = len(self.workers)
        self.workers.append(Worker(number, zone, f"127.{self.network}.2.{number + 1}", self.worker,
                                   self.controls, self.record, **arguments))

    def launch(self, ip, first=False):
        is_gateway = ip not in self.registries
        name = f"{'edge' if is_gateway else 'core'}-{ip}"
        folder = pathlib.Path(self.folder.name) / name
        (folder / "data").mkdir(parents=True, exist_ok=True)
        zone = (dict(self.gateways)[ip] if is_gateway
                else self.zones[self.registries.index(ip) % len(self.zones)])
        settings = {"node": name, "domain": zone, "ip": ip, "peer_address": f"{ip}:{self.peer}",
                    "metrics_address": f"{ip}:{self.metrics}", "registry_seeds": self.controls,
                    "tolerated_losses": len(self.registries) // 2, "is_first_start": first,
                    "processor_share": 0.25, "lease_ms": MAX_HOLD_MS, "stop_bound_s": 6,
                    "heartbeat_ms": int(HEARTBEAT_S * 1000)}
        if is_gateway:
            settings |= {"callers_address": f"{ip}:{self.front}",
                         "readiness_address": f"{ip}:{self.ready}"}
        else:
            settings |= {"operators_address": f"{ip}:{self.control}", "data_folder": str(folder / "data")}
        path = folder / "node.json"
        path.write_text(json.dumps(settings))
        program = BINARIES / ("hibiscus-gateway" if is_gateway else "hibiscus-registry")
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with open(folder / "log", "ab") as log:
            self.processes[ip] = subprocess.Popen(
                [str(program)], stdout=log, stderr=log, cwd=ROOT,
                env={**environment, "HIBISCUSSTREAM_CONFIG": str(path)})
        self.record.line(f"{name} started, process {self.processes[ip].pid}")

    def signal(self, ip, number):
        self.processes[ip].send_signal(number)
        self.record.line(f"{signal.Signals(number).name} to {ip}")

    def kill(self, ip):
        self.signal(ip, signal.SIGKILL)
        self.processes[ip].wait()

    async def start(self, config):
        for ip in self.registries + [ip for ip, _ in self.gateways]:
            self.launch(ip, first=True)
        for worker in self.workers:
            await worker.listen()
            self.tasks.append(asyncio.ensure_future(worker.beat()))
        await self.configure(config)
        await self.wait_ready()

    async def configure(self, config):
        for attempt in range(60):
            try:
                status, _ = await asyncio.wait_for(http(
                    self.controls[attempt % len(self.controls)], "POST", "/api/config/replace", config), 2)
                if status == 200:
                    self.record.line(f"configuration {config['version']} acknowledged")
                    return
            except (OSError, ValueError, IndexError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.3)
        raise TimeoutError("no configuration was acknowledged")

    async def wait_ready(self):
        for ip, _ in self.gateways:
            for _ in range(100):
                try:
                    if (await asyncio.wait_for(http(f"{ip}:{self.ready}", "GET", "/api/ready"), 1))[0] == 200:
                        break
                except (OSError, ValueError, IndexError, asyncio.TimeoutError):
                    pass
                await asyncio.sleep(0.1)
            else:
                raise TimeoutError(f"{ip} is not ready")

    async def submit(self, ip, job, body, deadline_ms=1500, patience_s=None):
        """A client: sends a job, waits for its deadline and returns the status; 0: none."""
        try:
            status, reply = await asyncio.wait_for(
                http(f"{ip}:{self.front}", "POST", PREFIX + job, body,
                     f"deadline-ms: {deadline_ms}\r\n"), patience_s or deadline_ms / 1000)
        except (OSError, ValueError, IndexError, asyncio.TimeoutError):
            status, reply = 0, {}
        self.record.line(f"client: job {job} at {ip}: {status or 'no answer'} {reply or ''}")
        return status, reply

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


def new_job():
    return f"{random.getrandbits(64):016x}"


def main(folder, scenario):
    """Runs `scenario(record, with_trouble)`, which returns what broke, and exits as asked for."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    code = 2
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(record, trouble), 110))
        for line in broken:
            record.line("BROKEN: " + line)
        code = 1 if broken else 0
    except Exception as error:  # pylint: disable=broad-except
        record.line(f"could not run: {error!r}")
    record.line(f"exit {code}")
    raise SystemExit(code)
