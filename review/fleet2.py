"""A small deployment on loopback for the scripts of the second review.

Starts the programs of deploy/system.toml as separate processes with settings rendered from
deploy/node.json.template, and has stand-ins of the operator and of the platform's process keeper.
All addresses are in 127.0.0.0/8; the standard library is enough.
"""
import http.client
import json
import os
import pathlib
import random
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# Values of SYSTEM.md and DEPLOY.md, the same on both standard deployments.
BOUNDS = {"max_hold_ms": 1000, "grace_s": 6, "drain_ms": 2000, "catch_up_s": 4, "recovery_s": 12,
          "contact_ms": 3000, "ack_ms": 4000, "resend_ms": 1300, "config_apply_ms": 2000,
          "stop_timeout_ms": 50}
HEARTBEAT_MS = 1500
HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "huvo11a"


class CannotRun(Exception):
    """The case could not be set up; says nothing about the rule."""


class Record:
    """What was sent, answered and run, in record.txt of the case's folder."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            line = f"{time.monotonic() - self.begin:8.3f}  {text}"
            self.file.write(line + "\n")
            self.file.flush()
            print(line, flush=True)


def render(template, fields):
    """Fills in a template of the deploy file as DEPLOY.md tells."""
    def value(name, scope):
        for level in scope:
            found = level
            for part in name.split("."):
                if isinstance(found, dict) and part in found:
                    found = found[part]
                elif isinstance(found, list) and part.isdigit() and int(part) < len(found):
                    found = found[int(part)]
                else:
                    found = None
                    break
            if found is not None:
                return found
        return None

    def section(match):
        found = value(match.group(1), [fields])
        return match.group(2) if found not in (None, False, "", []) else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def fill(match):
        name, _, form = match.group(1).partition("|")
        found = value(name, [fields])
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^{}]+)\}\}", fill, text)


def free_ports(network, count):
    """Returns ports that are free on the first addresses of a loopback network."""
    ports = []
    while len(ports) < count:
        port = random.randint(20000, 29000)
        if any(abs(port - p) < 20 for p in ports):
            continue
        try:
            for number in range(16):
                with socket.socket() as probe:
                    probe.bind((network + ".0.1", port + number))
            ports.append(port)
        except OSError:
            continue
    return ports


class Deployment:
    """Registry nodes (core) and gateways (edge) with their disks and settings."""

    def __init__(self, record, core=3, edge=3, zones=3):
        self.record = record
        with open(ROOT / "deploy/system.toml", "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        for role in self.roles.values():
            if not (ROOT / role["run"].split()[0]).exists():
                raise CannotRun(f"{role['run']} is not built")
        self.folder = tempfile.TemporaryDirectory(prefix="review-", ignore_cleanup_errors=True)
        self.network = f"127.{random.randint(20, 250)}"
        internal, control, front, ready, worker = free_ports(self.network, 5)
        self.internal, self.control = internal, control
        self.front, self.ready, self.worker_port = front, ready, worker
        self.zones = [f"zone-{chr(ord('a') + i)}" for i in range(zones)]
        self.nodes, self.processes, self.ended = {}, {}, set()
        self.seeds = [f"{self.network}.1.{i + 1}:{control}" for i in range(core)][:3]
        for i in range(core):
            self.add("core", i)
        for i in range(edge):
            self.add("edge", i)

    def add(self, kind, number, is_bootstrap=True):
        zone = self.zones[number % len(self.zones)]
        name = f"{kind}-{number}"
        ip = f"{self.network}.{1 if kind == 'core' else 2}.{number + 1}"
        home = pathlib.Path(self.folder.name) / name
        (home / "data").mkdir(parents=True)
        self.nodes[name] = {"kind": kind, "ip": ip, "zone": zone, "home": home,
                            "is_bootstrap": is_bootstrap, "life": 0}
        return name

    def write_settings(self, name):
        node = self.nodes[name]
        fields = {"node_name": name, "zone": node["zone"], "ip": node["ip"],
                  "internal_ports": [self.internal, self.internal + 15], "seeds": self.seeds,
                  "is_bootstrap": node["is_bootstrap"], "heartbeat_ms": HEARTBEAT_MS,
                  "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0},
                  "bounds": BOUNDS, "limits": {"cpu_share": 0.25 if node["kind"] == "edge" else 0.5}}
        if node["kind"] == "edge":
            fields["listen"] = {"front": f"{node['ip']}:{self.front}",
                                "ready": f"{node['ip']}:{self.ready}"}
        else:
            fields["listen"] = {"control": f"{node['ip']}:{self.control}"}
            fields["data_dir"] = str(node["home"] / "data")
        role = self.role_of(name)
        template = (ROOT / role["template"]).read_text()
        (node["home"] / "node.json").write_text(render(template, fields))

    def role_of(self, name):
        serves = "edge" if self.nodes[name]["kind"] == "edge" else "control"
        return next(role for role in self.roles.values() if serves in role["serves"])

    def start(self, name):
        node = self.nodes[name]
        node["life"] += 1
        self.write_settings(name)
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["HIBISCUSSTREAM_CONFIG"] = str(node["home"] / "node.json")
        with open(node["home"] / f"log-{node['life']}", "wb") as log:
            self.processes[name] = subprocess.Popen(self.role_of(name)["run"].split(), cwd=ROOT,
                                                    env=environment, stdout=log, stderr=log)
        self.ended.discard(name)
        self.record(f"{name} started at {node['ip']}, life {node['life']}")

    def start_all(self):
        for name in list(self.nodes):
            self.start(name)
            self.nodes[name]["is_bootstrap"] = False

    def signal(self, name, number):
        self.record(f"{name} gets {signal.Signals(number).name}")
        if number in (signal.SIGKILL, signal.SIGTERM):
            self.ended.add(name)
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name):
        """SIGTERM; SIGKILL after grace_s. Returns when the process is gone."""
        self.signal(name, signal.SIGTERM)
        try:
            self.processes[name].wait(BOUNDS["grace_s"])
        except subprocess.TimeoutExpired:
            self.kill(name)
        self.record(f"{name} is gone")

    def lose_disk(self, name):
        data = self.nodes[name]["home"] / "data"
        shutil.rmtree(data)
        data.mkdir()
        self.record(f"{name} has lost its disk")

    def own_ends(self):
        """Returns the processes that ended although nothing here ended them."""
        return {name: process.returncode for name, process in self.processes.items()
                if name not in self.ended and process.poll() is not None}

    def log_lines(self, name, word):
        text = ""
        for life in range(1, self.nodes[name]["life"] + 1):
            text += (self.nodes[name]["home"] / f"log-{life}").read_text(errors="replace")
        return [line for line in text.splitlines() if word in line]

    def cores(self):
        return [name for name, node in self.nodes.items() if node["kind"] == "core"]

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        self.folder.cleanup()


def call(address, method, path, body=None, headers=None, timeout=1.0):
    """Returns the status, the Location and the body of the response; raises OSError if there is none."""
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        data = None if body is None else json.dumps(body).encode()
        connection.request(method, path, data,
                           {"Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        return response.status, response.getheader("Location"), response.read()
    except http.client.HTTPException as error:
        raise OSError(str(error)) from error
    finally:
        connection.close()


def configuration(version, timeout_ms=1500, max_attempts=3):
    return {"version": version,
            "routes": [{"name": "r-3hwrr6x", "host": HOST, "path_prefix": PREFIX,
                        "route_type": "non_idempotent", "timeout_ms": timeout_ms,
                        "target_latency_ms": 60, "priority": 0, "service": SERVICE,
                        "max_attempts": max_attempts, "stretch": 1.6}],
            "services": [{"name": SERVICE, "health_path": "/health", "max_connections": 64,
                          "protocol": "h1", "tls": False, "rejects_overload": True,
                          "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Operator:
    """Sends configurations and reads them back, as PROTOCOL.md tells."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    def addresses(self, names):
        return [f"{self.deployment.nodes[n]['ip']}:{self.deployment.control}" for n in names]

    def request(self, address, method, path, body=None):
        """One attempt; follows a 307 twice. Returns the status, the node that answered, the body."""
        for _ in range(3):
            status, location, text = call(address, method, path, body)
            if status != 307 or not location:
                return status, address, text
            parts = urllib.parse.urlsplit(location)
            address, path = parts.netloc, parts.path
        return status, address, text

    def replace(self, version, names, limit_s, **fields):
        """Sends a configuration until it is acknowledged. Returns the address that did, or None."""
        deadline, pause, turn = time.monotonic() + limit_s, 0.1, 0
        while time.monotonic() < deadline:
            address = self.addresses(names)[turn % len(names)]
            turn += 1
            try:
                status, at, _ = self.request(address, "POST", "/api/config/replace",
                                             configuration(version, **fields))
                self.record(f"operator: version {version} to {address}: {status} from {at}")
                if status == 200:
                    return at
                if status in (400, 409, 412, 413, 422):
                    return None
            except OSError as error:
                self.record(f"operator: version {version} to {address}: no response ({error})")
            time.sleep(pause)
            pause = min(1.0, pause * 1.5)
        return None

    def read(self, address):
        """Returns the version that a node gives, or the status, or None without a response."""
        try:
            status, at, text = self.request(address, "GET", "/api/config/get")
        except OSError:
            return None, None
        if status != 200:
            return status, None
        return status, json.loads(text)["version"]

    def name_at(self, address):
        host = address.rsplit(":", 1)[0]
        return next(n for n, node in self.deployment.nodes.items() if node["ip"] == host)


def job(tasks, ms, cpu=27000, **more):
    """Returns the body of a job that needn't be kept, of one step."""
    return {"spec": json.dumps({"ms": ms, "cpu": cpu}), "best_effort": True,
            "phases": [{"count": tasks, "cpu": cpu, "mem_mb": 64, "estimated_ms": ms, **more}]}


class Client:
    """Sends jobs to the front addresses of the gateways."""

    def __init__(self, deployment, record):
        self.deployment, self.record = deployment, record

    def front(self, gateway):
        return f"{self.deployment.nodes[gateway]['ip']}:{self.deployment.front}"

    def send(self, gateway, method, identifier, body=None, deadline_ms=1500):
        """Returns the status and the body of the response; None without one in time."""
        try:
            status, _, text = call(self.front(gateway), method, PREFIX + identifier, body,
                                   {"Host": HOST, "Deadline-Ms": str(deadline_ms)},
                                   deadline_ms / 1000 + 0.5)
        except OSError as error:
            self.record(f"client: {method} {identifier} to {gateway}: no response ({error})")
            return None, b""
        self.record(f"client: {method} {identifier} to {gateway}: {status} {text.decode()!r}")
        return status, text


def wait_until_serving(client, gateways, limit_s=30):
    """Sends small jobs to each gateway until it completes one."""
    deadline, number = time.monotonic() + limit_s, 0
    for gateway in gateways:
        while True:
            number += 1
            status, _ = client.send(gateway, "POST", f"{number:016x}", job(1, 20))
            if status == 200:
                break
            if time.monotonic() > deadline:
                raise CannotRun(f"{gateway} serves no job")
            time.sleep(0.3)
