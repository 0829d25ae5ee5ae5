"""Starts, monitors and stops the processes of a local deployment on loopback."""
import json
import os
import signal
import subprocess
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))


class Deployment:
    """The processes of one settings file, with stand-in targets."""

    def __init__(self, settings, folder, binaries, targets_per_domain=4, slots=8, slowest=1.0):
        self.settings_path = settings
        with open(settings, encoding="utf-8") as file:
            self.settings = json.load(file)
        self.folder = folder
        self.binaries = binaries
        self.targets_per_domain = targets_per_domain
        self.slots = slots
        self.slowest = slowest
        self.processes = {}
        os.makedirs(folder, exist_ok=True)

    def nodes(self, role=None, domain=None):
        return [n for n in self.settings["nodes"]
                if role in (None, n["role"]) and domain in (None, n["domain"])]

    def node(self, name):
        return next(n for n in self.settings["nodes"] if n["name"] == name)

    def data_folder(self, name):
        return os.path.join(self.folder, name)

    def history_path(self):
        return os.path.join(self.folder, "history.jsonl")

    def command_line(self, node, *extra):
        return [os.path.join(self.binaries, f"hibiscus-{node['role']}"),
                f"--settings={self.settings_path}", f"--node={node['name']}",
                f"--data={self.data_folder(node['name'])}",
                f"--spans={os.path.join(self.folder, 'spans.jsonl')}", *extra]

    def format_disks(self):
        for node in self.nodes("journal") + self.nodes("control"):
            subprocess.run(self.command_line(node, "--format", "--first_deployment"), check=True)

    def spawn(self, name, command):
        with open(os.path.join(self.folder, f"{name}.log"), "ab") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log)

    def start(self, name):
        self.spawn(name, self.command_line(self.node(name)))

    def start_targets(self):
        # Below the ports that the system gives to outgoing connections.
        port = 30000 - 40 * len(self.settings["domains"])
        port -= 1000 if self.settings["deployment"] != "association" else 0
        for domain in self.settings["domains"]:
            entries = ",".join(n["http"] for n in self.nodes("entry", domain))
            self.spawn(f"targets-{domain}", [
                os.path.join(self.binaries, "standin-target"), f"--name={domain}",
                f"--address=127.0.0.1:{port}", f"--count={self.targets_per_domain}",
                f"--service={self.settings['services'][0]['name']}", f"--slots={self.slots}",
                f"--slowest={self.slowest}", f"--entries={entries}",
                f"--history={self.history_path()}",
                f"--spans={os.path.join(self.folder, 'spans.jsonl')}"])
            port += 40

    def start_all(self):
        self.format_disks()
        for node in self.settings["nodes"]:
            self.start(node["name"])
        self.start_targets()

    def get(self, name, path, timeout=2):
        node = self.node(name)
        with urllib.request.urlopen(f"http://{node['http']}{path}", timeout=timeout) as response:
            return json.load(response)

    def status(self, name):
        try:
            return self.get(name, "/status")
        except (OSError, ValueError):
            return None

    def wait(self, description, condition, timeout=30, interval=0.05):
        """Waits until the condition holds; at the timeout raises TimeoutError(description)."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(interval)
        raise TimeoutError(description)

    def is_ready(self, name):
        try:
            return self.get(name, "/readyz").get("ready", False)
        except (OSError, ValueError):
            return False

    def leased_slots(self):
        total = 0
        for node in self.nodes("entry"):
            status = self.status(node["name"]) or {"targets": []}
            total += sum(t["slots"] for t in status["targets"] if t["leased"])
        return total

    def wait_ready(self):
        for node in self.settings["nodes"]:
            self.wait(f"{node['name']} ready", lambda n=node: self.is_ready(n["name"]))
        expected = len(self.settings["domains"]) * self.targets_per_domain * self.slots
        self.wait("targets leased", lambda: self.leased_slots() >= expected)

    def send_signal(self, name, number):
        self.processes[name].send_signal(number)

    def kill(self, name):
        self.send_signal(name, signal.SIGKILL)
        self.processes[name].wait()

    def terminate(self, name, timeout=90):
        self.send_signal(name, signal.SIGTERM)
        return self.processes[name].wait(timeout=timeout)

    def stop_all(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()

    def start_caller(self, **flags):
        entries = self.nodes("entry")
        arguments = {"entries": ",".join(n["http"] for n in entries),
                     "domains": ",".join(n["domain"] for n in entries),
                     "service": self.settings["services"][0]["name"],
                     "answers": os.path.join(self.folder, "answers.jsonl"), **flags}
        return subprocess.Popen(
            [os.path.join(self.binaries, "standin-caller")]
            + [f"--{key}={value}" for key, value in arguments.items()],
            stdout=subprocess.PIPE, text=True)


def read_lines(path):
    if not os.path.exists(path):
        return []
    with open(path, encoding="utf-8") as file:
        return [json.loads(line) for line in file if line.endswith("\n")]
