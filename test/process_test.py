#!/usr/bin/env python3
"""What virtual time cannot show: whole processes on loopback, killed, frozen and stopped.

Usage: process_test.py BINARIES [TEST ...]. The tests wait for conditions, never for a fixed time.
"""
import json
import os
import shutil
import signal
import subprocess
import sys
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
sys.path.insert(0, HERE)
from deployment import Deployment, ROOT, read_lines  # noqa: E402
from history import problems, problems_of  # noqa: E402

BINARIES = os.path.abspath(sys.argv[1])


class Checker(unittest.TestCase):
    START = {"event": "start", "attempt": "a.1.x~0~0~7"}
    ANSWER = {"id": "a.1.x", "answer": {"state": "complete", "tasks": [
        {"fate": "ran", "succeeded": True}]}}

    def test_a_clean_history_has_no_problems(self):
        self.assertEqual(problems([self.START], [self.ANSWER]), [])

    def test_a_planted_double_start_is_caught(self):
        again = {"event": "start", "attempt": "a.1.x~0~1~8"}
        self.assertEqual(len(problems([self.START, again], [self.ANSWER])), 1)

    def test_a_planted_false_not_run_is_caught(self):
        told = {"id": "a.1.x", "answer": {"state": "failed", "tasks": [
            {"fate": "not-run", "succeeded": False}]}}
        self.assertEqual(len(problems([self.START], [told])), 1)


class Processes(unittest.TestCase):
    def setUp(self):
        folder = os.path.join(ROOT, "var", "test")
        shutil.rmtree(folder, ignore_errors=True)
        self.local = Deployment(os.path.join(ROOT, "examples", "pettigrew.json"), folder, BINARIES,
                                targets_per_domain=3)
        self.addCleanup(self.local.stop_all)
        self.local.start_all()
        self.local.wait_ready()

    def leader(self, role, domain=None):
        names = [n["name"] for n in self.local.nodes(role, domain)]
        found = []

        def find():
            found[:] = [n for n in names
                        if (self.local.status(n) or {}).get("replica") == "leader"]
            return bool(found)
        self.local.wait("a leader", find)
        return found[0]

    def load(self, **flags):
        arguments = {"jobs": 240, "rate": 60, "most_tasks": 6, "most_ms": 250, "retries": 4,
                     "resubmitted": 0.2, "deadline_ms": 15000, **flags}
        return self.local.caller(**arguments)

    def started(self, count):
        self.local.wait("tasks started", lambda: len(read_lines(self.local.history())) >= count)

    def finish(self, caller):
        outcomes = json.loads(caller.communicate(timeout=120)[0])
        self.assertEqual(problems_of(self.local), [])
        return outcomes

    def apply(self, text, *flags):
        path = os.path.join(self.local.folder, "rules.txt")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return subprocess.run([os.path.join(BINARIES, "hibiscusctl"),
                               f"--settings={self.local.settings_path}", "--author=test", *flags,
                               "rules", "apply", path], stdout=subprocess.PIPE, text=True,
                              check=False)

    def test_a_trace_is_followed_from_caller_to_target(self):
        self.finish(self.load(jobs=30, rate=30, resubmitted=0))
        spans = read_lines(os.path.join(self.local.folder, "spans.jsonl"))
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
        caller = self.load()
        self.started(60)
        name = self.local.nodes("entry")[0]["name"]
        self.local.kill(name)
        outcomes = self.finish(caller)
        self.assertEqual(outcomes.get("no-answer", 0), 0, outcomes)

    def test_kill_a_journal_leader(self):
        caller = self.load()
        self.started(60)
        self.local.kill(self.leader("journal", "dixie-a"))
        outcomes = self.finish(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def test_kill_the_targets_of_a_domain(self):
        caller = self.load()
        self.started(60)
        self.local.kill("targets-dixie-b")
        outcomes = self.finish(caller)
        self.assertEqual(outcomes.get("no-answer", 0), 0, outcomes)

    def test_freeze_and_thaw_an_entry_node(self):
        caller = self.load(jobs=400)
        self.started(60)
        name = self.local.nodes("entry")[1]["name"]
        self.local.signal(name, signal.SIGSTOP)
        self.started(len(read_lines(self.local.history())) + 300)
        self.local.signal(name, signal.SIGCONT)
        self.finish(caller)

    def test_stop_and_start_every_process_in_turn(self):
        caller = self.load(jobs=1800, rate=50)
        self.started(30)
        for node in self.local.settings["nodes"]:
            self.assertEqual(self.local.terminate(node["name"]), 0, node["name"])
            self.local.start(node["name"])
            self.local.wait(f"{node['name']} ready",
                            lambda n=node: self.local.is_ready(n["name"]))
        outcomes = self.finish(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def test_a_lost_data_folder_is_replaced_and_a_second_member_may_go(self):
        caller = self.load(jobs=600)
        self.started(60)
        names = [n["name"] for n in self.local.nodes("journal", "dixie-c")]
        leader = self.leader("journal", "dixie-c")
        lost = next(n for n in names if n != leader)
        self.local.kill(lost)
        shutil.rmtree(self.local.data(lost))
        self.local.start(lost)

        def replaced():
            members = (self.local.status(leader) or {}).get("members", [])
            voters = [m for m in members if m["voter"]]
            return len(voters) == 3 and any(
                m["node"] == lost and m["incarnation"] != 1 for m in voters)
        self.local.wait("the new member votes", replaced)
        self.local.kill(leader)
        outcomes = self.finish(caller)
        self.assertEqual(set(outcomes), {"jobs", "complete"}, outcomes)

    def test_rules_are_in_force_everywhere_and_never_revert(self):
        for version in range(1, 4):
            answer = self.apply(f"quota team=t tasks={version} # test\n")
            self.assertEqual(answer.returncode, 0, answer.stdout)
            self.assertEqual(json.loads(answer.stdout)["not_confirmed_at"], [])
        conflict = self.apply("refuse service=x # test\n", "--expected_version=1")
        self.assertEqual(json.loads(conflict.stdout)["outcome"], "conflict")
        for node in self.local.nodes("control"):
            self.local.kill(node["name"])
        entry = self.local.nodes("entry")[0]["name"]
        self.local.kill(entry)
        self.local.start(entry)
        self.local.wait("the entry serves with its last known rules",
                        lambda: self.local.is_ready(entry))
        self.assertEqual(self.local.status(entry)["rules_version"], 3)
        self.assertFalse(self.local.status(entry)["rules_confirmed"])
        for node in self.local.nodes("control"):
            self.local.start(node["name"])
        self.local.wait("the rules are confirmed",
                        lambda: self.local.status(entry)["rules_confirmed"])
        self.assertEqual(self.local.status(entry)["rules_version"], 3)


class Settings(unittest.TestCase):
    def test_both_examples_pass_the_check(self):
        for name in ("association", "pettigrew"):
            path = os.path.join(ROOT, "examples", f"{name}.json")
            subprocess.run([os.path.join(BINARIES, "hibiscus-entry"), f"--settings={path}",
                            "--check_settings"], check=True, stdout=subprocess.DEVNULL)


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *sys.argv[2:]])
