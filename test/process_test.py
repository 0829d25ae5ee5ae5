#!/usr/bin/env python3
"""Tests whole processes on loopback that are killed, frozen and stopped.

They cover what the simulation in virtual time cannot show.
Usage: process_test.py BINARIES [TEST ...]. The tests wait for conditions, never for a fixed time.
"""
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
sys.path.insert(0, HERE)
from deployment import Deployment, ROOT, read_lines  # noqa: E402
from history import violations, violations_of  # noqa: E402

BINARIES = os.path.abspath(sys.argv[1])


class HistoryChecker(unittest.TestCase):
    START = {"event": "start", "attempt": "a.1.x~0~0~7"}
    ANSWER = {"id": "a.1.x", "answer": {"state": "complete", "tasks": [
        {"fate": "ran", "succeeded": True}]}}

    def test_consistent_history_has_no_violations(self):
        self.assertEqual(violations([self.START], [self.ANSWER]), [])

    def test_duplicate_start_is_reported(self):
        again = {"event": "start", "attempt": "a.1.x~0~1~8"}
        self.assertEqual(len(violations([self.START, again], [self.ANSWER])), 1)

    def test_false_not_run_is_reported(self):
        answer = {"id": "a.1.x", "answer": {"state": "failed", "tasks": [
            {"fate": "not-run", "succeeded": False}]}}
        self.assertEqual(len(violations([self.START], [answer])), 1)


class Processes(unittest.TestCase):
    def setUp(self):
        folder = os.path.join(ROOT, "var", "test")
        shutil.rmtree(folder, ignore_errors=True)
        settings = os.path.join(ROOT, "examples", "pettigrew.json")
        self.deployment = Deployment(settings, folder, BINARIES, targets_per_domain=3)
        self.addCleanup(self.deployment.stop_all)
        self.deployment.start_all()
        self.deployment.wait_ready()

    def leader(self, role, domain=None):
        names = [n["name"] for n in self.deployment.nodes(role, domain)]
        leaders = []

        def has_leader():
            leaders[:] = [n for n in names
                          if (self.deployment.status(n) or {}).get("replica") == "leader"]
            return bool(leaders)
        self.deployment.wait(f"leader of {role} nodes", has_leader)
        return leaders[0]

    def start_load(self, **flags):
        arguments = {"jobs": 240, "rate": 60, "most_tasks": 6, "most_ms": 250, "retries": 4,
                     "resubmitted": 0.2, "deadline_ms": 15000, **flags}
        return self.deployment.start_caller(**arguments)

    def wait_for_starts(self, count):
        self.deployment.wait(
            "tasks started", lambda: len(read_lines(self.deployment.history_path())) >= count)

    def finish_load(self, caller):
        outcomes = json.loads(caller.communicate(timeout=120)[0])
        self.assertEqual(violations_of(self.deployment), [])
        return outcomes

    def apply_rules(self, text, *flags):
        path = os.path.join(self.deployment.folder, "rules.txt")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return subprocess.run([os.path.join(BINARIES, "hibiscusctl"),
                               f"--settings={self.deployment.settings_path}", "--author=test",
                               *flags, "rules", "apply", path], stdout=subprocess.PIPE, text=True,
                              check=False)

    def test_spans_link_a_job_to_its_tasks_at_targets(self):
        self.finish_load(self.start_load(jobs=30, rate=30, resubmitted=0))
        spans = read_lines(os.path.join(self.deployment.folder, "spans.jsonl"))
        by_id = {span["span"]: span for span in spans}
        tasks = [span for span in spans if span["name"] == "task"]
        self.assertGreater(len(tasks), 30)
        for task in tasks:
            attempt = by_id[task["parent"]]
            job = by_id[attempt["parent"]]
            self.assertEqual((attempt["name"], job["name"]), ("attempt", "job"))
            self.assertEqual(job["trace"], task["trace"])
            self.assertTrue(attempt["subject"].startswith(job["subject"]))

    def test_kill_an_entry_node(self):
        caller = self.start_load()
        self.wait_for_starts(60)
        name = self.deployment.nodes("entry")[0]["name"]
        self.deployment.kill(name)
        outcomes = self.finish_load(caller)
        self.assertEqual(outcomes.get("no-answer", 0), 0, outcomes)

    def test_kill_a_journal_leader(self):
        caller = self.start_load()
        self.wait_for_starts(60)
        self.deployment.kill(self.leader("journal", "dixie-a"))
        outcomes = self.finish_load(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def test_kill_the_targets_of_a_domain(self):
        caller = self.start_load()
        self.wait_for_starts(60)
        self.deployment.kill("targets-dixie-b")
        outcomes = self.finish_load(caller)
        self.assertEqual(outcomes.get("no-answer", 0), 0, outcomes)

    def test_freeze_and_thaw_an_entry_node(self):
        caller = self.start_load(jobs=400)
        self.wait_for_starts(60)
        name = self.deployment.nodes("entry")[1]["name"]
        self.deployment.send_signal(name, signal.SIGSTOP)
        self.wait_for_starts(len(read_lines(self.deployment.history_path())) + 300)
        self.deployment.send_signal(name, signal.SIGCONT)
        self.finish_load(caller)

    def test_stop_and_start_every_process_in_turn(self):
        caller = self.start_load(jobs=1800, rate=50)
        self.wait_for_starts(30)
        for node in self.deployment.settings["nodes"]:
            self.assertEqual(self.deployment.terminate(node["name"]), 0, node["name"])
            self.deployment.start(node["name"])
            self.deployment.wait(f"{node['name']} ready",
                                 lambda n=node: self.deployment.is_ready(n["name"]))
        outcomes = self.finish_load(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def test_member_with_lost_data_folder_is_replaced_before_another_fails(self):
        caller = self.start_load(jobs=600)
        self.wait_for_starts(60)
        names = [n["name"] for n in self.deployment.nodes("journal", "dixie-c")]
        leader = self.leader("journal", "dixie-c")
        lost = next(n for n in names if n != leader)
        self.deployment.kill(lost)
        shutil.rmtree(self.deployment.data_folder(lost))
        self.deployment.start(lost)

        def is_replaced():
            members = (self.deployment.status(leader) or {}).get("members", [])
            voters = [m for m in members if m["voter"]]
            return len(voters) == 3 and any(
                m["node"] == lost and m["incarnation"] != 1 for m in voters)
        self.deployment.wait("vote of the new member", is_replaced, interval=0.001)
        self.deployment.kill(leader)
        outcomes = self.finish_load(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def limit_file_size(self, name, size):
        pid = self.deployment.processes[name].pid
        resource.prlimit(pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY))

    # Guards against members that end, or stay out of their group, after their disks were full.
    def test_rules_change_while_the_disks_of_the_control_group_are_full_in_turn(self):
        names = [n["name"] for n in self.deployment.nodes("control")]
        version = 0
        for name in names + [self.leader("control")]:
            self.limit_file_size(name, 64)
            version += 1
            answer = self.apply_rules(f"quota team=t tasks={version} # test\n")
            self.assertEqual(answer.returncode, 0, answer.stdout)
            self.deployment.wait(
                f"{name} without a disk",
                lambda n=name: self.deployment.status(n)["disk"] == "unavailable")
            self.assertFalse(self.deployment.is_ready(name))
            self.limit_file_size(name, resource.RLIM_INFINITY)
            self.deployment.wait(
                f"{name} with the newest rules",
                lambda n=name, v=str(version): self.deployment.status(n)["rules_version"] == v)
            self.assertEqual(self.deployment.status(name)["disk"], "available")
        for name in names:
            self.assertIsNone(self.deployment.processes[name].poll(), name)

    # Guards against an incomplete file in place of the last known rules.
    def test_full_disk_leaves_an_entry_node_its_last_known_rules(self):
        entry = self.deployment.nodes("entry")[0]["name"]
        self.assertEqual(self.apply_rules("quota team=t tasks=1 # test\n").returncode, 0)
        self.limit_file_size(entry, 16)
        self.assertEqual(self.apply_rules("quota team=t tasks=2 # test\n").returncode, 0)
        self.deployment.wait("rules in force",
                             lambda: self.deployment.status(entry)["rules_version"] == 2)
        path = os.path.join(self.deployment.data_folder(entry), "rules.json")
        with open(path, encoding="utf-8") as file:
            self.assertEqual(json.load(file)["version"], 1)
        self.limit_file_size(entry, resource.RLIM_INFINITY)
        self.assertEqual(self.apply_rules("quota team=t tasks=3 # test\n").returncode, 0)
        self.deployment.wait("rules in force",
                             lambda: self.deployment.status(entry)["rules_version"] == 3)
        with open(path, encoding="utf-8") as file:
            self.assertEqual(json.load(file)["version"], 3)

    def test_rules_are_in_force_everywhere_and_never_revert(self):
        for version in range(1, 4):
            answer = self.apply_rules(f"quota team=t tasks={version} # test\n")
            self.assertEqual(answer.returncode, 0, answer.stdout)
            self.assertEqual(json.loads(answer.stdout)["not_confirmed_at"], [])
        conflict = self.apply_rules("refuse service=x # test\n", "--expected_version=1")
        self.assertEqual(json.loads(conflict.stdout)["outcome"], "conflict")
        for node in self.deployment.nodes("control"):
            self.deployment.kill(node["name"])
        entry = self.deployment.nodes("entry")[0]["name"]
        self.deployment.kill(entry)
        self.deployment.start(entry)
        self.deployment.wait("entry node ready with its last known rules",
                             lambda: self.deployment.is_ready(entry))
        self.assertEqual(self.deployment.status(entry)["rules_version"], 3)
        self.assertFalse(self.deployment.status(entry)["rules_confirmed"])
        for node in self.deployment.nodes("control"):
            self.deployment.start(node["name"])
        self.deployment.wait("rules confirmed",
                             lambda: self.deployment.status(entry)["rules_confirmed"])
        self.assertEqual(self.deployment.status(entry)["rules_version"], 3)


class Settings(unittest.TestCase):
    def test_both_examples_are_valid(self):
        for name in ("association", "pettigrew"):
            path = os.path.join(ROOT, "examples", f"{name}.json")
            subprocess.run([os.path.join(BINARIES, "hibiscus-entry"), f"--settings={path}",
                            "--check_settings"], check=True, stdout=subprocess.DEVNULL)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *sys.argv[2:]])
