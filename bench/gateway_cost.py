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
import subprocess
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from loopback_fleet import CALLER_PORT, PREFIX, Fleet, call  # noqa: E402


class MeasuredFleet(Fleet):
    """The processes of one measurement."""

    def __init__(self, binaries, gateways, targets):
        super().__init__(binaries, gateways, targets)
        self.answers = collections.Counter()

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
        for role, count in (("gateway", len(self.gateways)), ("registry", len(self.registries))):
            spent = [(a - b) / elapsed / count for a, b in zip(after[role], before[role])]
            result[role] = {"user": spent[0], "kernel": spent[1], "cores": spent[0] + spent[1],
                            "wakeups_per_s": spent[2], "peak_mb": self.peak_memory(role)}
        result["polls_per_target_and_s"] = (
            sum(t.polls for t in self.targets) - polls) / elapsed / len(self.targets)
        result["new_connections_per_s"] = (
            sum(t.connections for t in self.targets) - connections) / elapsed
        result["answers"] = dict(self.answers)
        return result


async def measure(binaries, gateways, arguments):
    fleet = MeasuredFleet(binaries, gateways, round(gateways * arguments.targets))
    try:
        await fleet.start()
        await asyncio.sleep(8)  # targets move to their preferred owners
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
