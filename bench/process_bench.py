#!/usr/bin/env python3
"""Measures whole processes on loopback.

Usage: process_bench.py BINARIES [JSON_FILE]. Every load has a fixed number of jobs, and this
program stops all processes that it starts.
"""
import json
import os
import shutil
import subprocess
import sys
import time
import urllib.request

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "scripts"))
from deployment import Deployment, ROOT  # noqa: E402

TICKS = os.sysconf("SC_CLK_TCK")


def usage(process):
    """Returns the processor seconds and resident megabytes of a process."""
    with open(f"/proc/{process.pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    with open(f"/proc/{process.pid}/status", encoding="utf-8") as file:
        resident = next(line for line in file if line.startswith("VmRSS"))
    return (int(fields[11]) + int(fields[12])) / TICKS, int(resident.split()[1]) / 1024


def metrics(deployment, name):
    node = deployment.node(name)
    with urllib.request.urlopen(f"http://{node['http']}/metrics", timeout=5) as response:
        lines = response.read().decode().splitlines()
    return {line.split("{")[0]: float(line.rsplit(" ", 1)[1]) for line in lines
            if line and not line.startswith("#")}


def make_deployment(entries, port):
    settings = os.path.join(ROOT, "var", f"bench-{entries}.json")
    os.makedirs(os.path.dirname(settings), exist_ok=True)
    with open(settings, "w", encoding="utf-8") as file:
        subprocess.run([os.path.join(ROOT, "scripts", "make-deployment"), "association", "nam-bo",
                        "hoso", str(port), str(entries), "thu-duc", "bien-hoa", "can-tho"],
                       stdout=file, check=True)
    return settings


def start(entries, binaries, targets=16, slots=8):
    folder = os.path.join(ROOT, "var", "bench")
    shutil.rmtree(folder, ignore_errors=True)
    settings = make_deployment(entries, 23000)
    deployment = Deployment(settings, folder, binaries, targets, slots)
    try:
        deployment.start_all()
        deployment.wait_ready()
    except BaseException:
        deployment.stop_all()
        raise
    return deployment


def totals(deployment):
    result = {}
    for node in deployment.settings["nodes"]:
        cpu, resident = usage(deployment.processes[node["name"]])
        values = metrics(deployment, node["name"])
        result[node["name"]] = {
            "cpu": cpu, "resident": resident,
            "bytes": values.get("hibiscus_relay_sent_bytes_total", 0),
            "messages": values.get("hibiscus_relay_sent_messages_total", 0),
            "placed": values.get("hibiscus_tasks_placed_total", 0),
            "syncs": values.get("hibiscus_replica_syncs_total", 0),
            "commit": values.get("hibiscus_replica_commit_index", 0)}
    return result


def difference(deployment, before, after, seconds, role):
    names = [n["name"] for n in deployment.nodes(role)]
    count = len(names)
    change = {key: sum(after[n][key] - before[n][key] for n in names)
              for key in ("cpu", "bytes", "messages", "placed", "syncs", "commit")}
    return {"nodes": count, "cpu_percent": 100 * change["cpu"] / seconds / count,
            "kb_per_second": change["bytes"] / seconds / count / 1024,
            "messages_per_second": change["messages"] / seconds / count,
            "resident_mb": max(after[n]["resident"] for n in names),
            "placed_per_second": change["placed"] / seconds,
            "cpu_us_per_task": 1e6 * change["cpu"] / change["placed"] if change["placed"] else 0,
            "commits_per_second": change["commit"] / seconds,
            "syncs_per_second": change["syncs"] / seconds}


def idle_cost(entries, binaries):
    deployment = start(entries, binaries)
    try:
        time.sleep(3)
        before, begin = totals(deployment), time.monotonic()
        time.sleep(10)
        seconds = time.monotonic() - begin
        after = totals(deployment)
        return {"entries": entries, "processes": len(deployment.processes),
                **{role: difference(deployment, before, after, seconds, role)
                   for role in ("entry", "journal", "control")}}
    finally:
        deployment.stop_all()


def apply_time(entries, binaries, changes=10):
    """Measures the time from an apply to its answer, which waits until all entries confirmed."""
    deployment = start(entries, binaries)
    try:
        seconds = []
        rules = os.path.join(deployment.folder, "rules.txt")
        for number in range(changes):
            with open(rules, "w", encoding="utf-8") as file:
                file.write(f"quota team=t tasks={number + 1000} # bench\n")
            begin = time.monotonic()
            answer = subprocess.run(
                [os.path.join(binaries, "hibiscusctl"), f"--settings={deployment.settings_path}",
                 "--author=bench", f"--expected_version={number}", "rules", "apply", rules],
                stdout=subprocess.PIPE, text=True, check=True)
            seconds.append(time.monotonic() - begin)
            assert not json.loads(answer.stdout)["not_confirmed_at"], answer.stdout
        seconds.sort()
        return {"entries": entries, "median_ms": 1000 * seconds[len(seconds) // 2],
                "longest_ms": 1000 * seconds[-1]}
    finally:
        deployment.stop_all()


def load_cost(rate, repeatable, binaries, jobs_seconds=8):
    deployment = start(9, binaries)
    try:
        before, begin = totals(deployment), time.monotonic()
        caller = deployment.start_caller(jobs=int(rate * jobs_seconds), rate=rate, most_tasks=15,
                                         most_ms=60, repeatable=repeatable)
        output = caller.communicate(timeout=120)[0]
        seconds = time.monotonic() - begin
        after = totals(deployment)
        return {"jobs_per_second": rate, "repeatable": repeatable, "seconds": seconds,
                "answers": json.loads(output),
                **{role: difference(deployment, before, after, seconds, role)
                   for role in ("entry", "journal")}}
    finally:
        deployment.stop_all()


def main():
    binaries = sys.argv[1]
    report = {"idle": [], "apply": [], "load": []}
    for entries in (9, 30, 90):
        report["idle"].append(idle_cost(entries, binaries))
        print(json.dumps(report["idle"][-1]), flush=True)
    for entries in (9, 30, 90):
        report["apply"].append(apply_time(entries, binaries))
        print(json.dumps(report["apply"][-1]), flush=True)
    for rate in (50, 100, 200):
        for repeatable in (1.0, 0.0):
            report["load"].append(load_cost(rate, repeatable, binaries))
            print(json.dumps(report["load"][-1]), flush=True)
    if len(sys.argv) > 2:
        with open(sys.argv[2], "w", encoding="utf-8") as file:
            json.dump(report, file, indent=1)


if __name__ == "__main__":
    main()
