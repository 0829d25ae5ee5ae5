#!/usr/bin/env python3
"""Tests of whole gateways with a target that leaves a start unanswered and executes it seconds later.

The target is cut off meanwhile, and processes stop or are lost, so that nobody can tell it that the
start is not wanted any more. No task may have two runs at once.
Usage: pending_start_process_test.py BINARIES [TEST ...]
"""
import asyncio
import json
import os
import sys
import time
import unittest

from rules_process_test import run_all  # also puts the folder of loopback_fleet on the path
from loopback_fleet import CALLER_PORT, PREFIX, Fleet, StandInTarget, call, overlaps

BINARIES = os.path.abspath(sys.argv[1])
# Words of the users: a caller without a response sends its job again after this time.
RESEND_S = 1.3
# The platform executes orders up to 12 s late.
TASK_S, CUT_S, LATE_S = 1.5, 5.5, 4.6
CALM_S = 3
FIRST_NETWORK = 80


class LateTarget(StandInTarget):
    """A target that can be cut off, and executes the start that `takes_late` accepts LATE_S late."""

    def __init__(self, of):
        super().__init__(of.name, of.domain, of.address, of.registries, of.service)
        self.cut_until, self.takes_late = 0, lambda target, body: False

    def is_cut(self):
        return time.monotonic() < self.cut_until

    async def announce(self):
        while True:
            heartbeats = asyncio.ensure_future(super().announce())
            while not self.is_cut():
                await asyncio.sleep(0.01)
            heartbeats.cancel()
            self.owner = ""
            while self.is_cut():
                await asyncio.sleep(0.01)

    async def answer(self, path, body):
        if path.endswith("/run-start") and not self.is_cut() and self.takes_late(self, body):
            granted_ms = body["expires_ms"] - self.clock()
            asyncio.get_running_loop().call_later(LATE_S, self.execute_late, body, granted_ms)
            await asyncio.sleep(LATE_S + CUT_S)
        if self.is_cut():
            await asyncio.sleep(self.cut_until - time.monotonic())
            raise OSError("the connection was cut")
        return await super().answer(path, body)

    def execute_late(self, body, granted_ms):
        if body["fencing_token"] >= self.token:
            self.token = body["fencing_token"]
            self.start(body | {"expires_ms": self.clock() + granted_ms})


class Play:
    """A fleet of three gateways, and one job."""

    def __init__(self, network, label="", cut_s=CUT_S, deadline_ms=6000, trouble=None, tasks=1):
        self.fleet = Fleet(BINARIES, gateways=3, targets=6, registries=1, network=network)
        self.fleet.targets = [LateTarget(target) for target in self.fleet.targets]
        self.label, self.cut_s, self.deadline_ms, self.trouble = label, cut_s, deadline_ms, trouble
        self.task_count, self.taken_at, self.responses = tasks, None, []

    def take_late(self, target, body):
        if self.taken_at is not None:
            return False
        self.taken_at = time.monotonic()
        target.cut_until = self.taken_at + self.cut_s
        return True

    async def submit(self, gateway):
        """Sends the job, and again as a caller does; returns when it is answered otherwise or late."""
        job = {"spec": json.dumps({"s": TASK_S}), "best_effort": True,
               "phases": [{"count": self.task_count, "cpu": 500, "mem_mb": 64,
                           "estimated_ms": int(1000 * TASK_S),
                           **({"requirements": self.label} if self.label else {})}]}
        began, status = time.monotonic(), None
        while time.monotonic() < began + 12 and status != 200:
            ip = self.fleet.gateways[gateway % len(self.fleet.gateways)]
            try:
                status, _ = await call(ip, CALLER_PORT, "POST", f"{PREFIX}00000000000000aa", job,
                                       f"deadline-ms: {self.deadline_ms}\r\n", self.deadline_ms / 1000 + 2)
            except (OSError, asyncio.TimeoutError, ValueError, IndexError):
                status = None
            self.responses.append((round(time.monotonic() - began, 2), status))
            gateway += 1
            await asyncio.sleep(RESEND_S)

    async def run(self):
        failures = []
        try:
            await self.fleet.start(timeout_ms=20_000)
            await asyncio.sleep(CALM_S)
            for target in self.fleet.targets:
                target.takes_late = self.take_late
            submission = asyncio.ensure_future(self.submit(0))
            while self.taken_at is None:
                await asyncio.sleep(0.002)
            if self.trouble:
                await self.trouble(self.fleet)
            await submission
            await asyncio.sleep(max(0, self.taken_at + LATE_S + TASK_S + 0.5 - time.monotonic()))
            runs = [run for target in self.fleet.targets for run in target.history]
            if not runs:
                failures.append("nothing was run")
            failures += [f"two runs of one task at a time: {one}; {other}" for one, other in overlaps(runs)]
        finally:
            path = await self.fleet.stop(keep_folder=bool(failures))
        print(f"{len(failures)} failures, responses {self.responses} {path}", flush=True)
        return [f"{failure}; logs: {path}" for failure in failures]


def terminated(gateway):
    async def trouble(fleet):
        fleet.terminate([gateway])
    return trouble


def killed(gateway, after_s, back_after_s=None):
    """Kills a gateway, late enough for its starts to be known as unanswered, or not."""
    async def trouble(fleet):
        await asyncio.sleep(after_s)
        fleet.kill([gateway])
        if back_after_s is not None:
            await asyncio.sleep(back_after_s)
            fleet.start_again([gateway])
    return trouble


class PendingStarts(unittest.TestCase):
    def play(self, variants):
        run_all(self, {what: lambda n=FIRST_NETWORK + 3 * i, v=variant: Play(n, **v).run()
                       for i, (what, variant) in enumerate(variants.items())})

    # Guards against a task that is started again while its first start may still be executed: its owner
    # has given the target up (review/12), also as it stops, and for jobs that can wait longer.
    def test_task_whose_target_is_given_up_is_not_started_again_too_early(self):
        self.play({"the target is cut off": {},
                   "there is more time": {"deadline_ms": 12000},
                   "several tasks": {"tasks": 3, "deadline_ms": 12000},
                   "its gateway is stopped": {"trouble": terminated("gateway-0")},
                   "another gateway owns the target": {"label": "d1"},
                   "that one is stopped": {"label": "d1", "trouble": terminated("gateway-1")}})

    # Guards against the same where only an owner knows of the start that is lost itself, for good or not.
    def test_task_whose_owner_is_lost_is_not_started_again_too_early(self):
        self.play({"the owner is back at once": {"label": "d1", "trouble": killed("gateway-1", 0.0, 0.2)},
                   "the owner is back": {"label": "d1", "trouble": killed("gateway-1", 0.5, 1.0)},
                   "the owner is back, there is more time":
                       {"label": "d1", "deadline_ms": 12000, "trouble": killed("gateway-1", 0.0, 0.5)},
                   "the owner is gone, the job is sent again":
                       {"label": "d1", "deadline_ms": 2500, "trouble": killed("gateway-1", 0.0)}})


if __name__ == "__main__":
    unittest.main(argv=sys.argv[:1] + sys.argv[2:], verbosity=2)
