#!/usr/bin/env python3
"""Tests of whole gateways and registry nodes: where tasks start while a failure domain is evacuated.

Usage: evacuation_process_test.py BINARIES [--network N]
"""
import argparse
import asyncio
import os
import random
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
from loopback_fleet import CALLER_PORT, CONTROL_PORT, PREFIX, Fleet, call  # noqa: E402

FAILED_CALL = (OSError, asyncio.TimeoutError, ValueError, IndexError)
# Words of the users: time after the acknowledgement in which a task may still start there.
EVACUATE_S = 5
ACKNOWLEDGE_S = 5
DOMAIN = "d0"
# A registry node refuses unknown domains for good after it.
DISCOVERY_S = 10


async def request(fleet, path, accepted, give_up_after=ACKNOWLEDGE_S):
    """Sends a request to the registry nodes in turn until one gives an accepted status, and returns it."""
    give_up_at, statuses = time.monotonic() + give_up_after, []
    while time.monotonic() < give_up_at:
        for ip in fleet.registries:
            try:
                status, _ = await asyncio.wait_for(call(ip, CONTROL_PORT, "POST", path, {}), 1)
            except FAILED_CALL:
                continue
            statuses.append(status)
            if status in accepted:
                return status
        await asyncio.sleep(0.05)
    raise AssertionError(f"{path} was answered by {statuses} only")


class Jobs:
    """Submits jobs to all gateways in turn until it is stopped, and counts the answers."""

    def __init__(self, fleet):
        self.fleet, self.statuses = fleet, {}
        self.task = asyncio.ensure_future(self.submit())

    async def submit(self):
        calls = []
        for number in range(100_000):
            calls.append(asyncio.ensure_future(self.submit_one(self.fleet.gateways[number % len(self.fleet.gateways)])))
            await asyncio.sleep(0.02)

    async def submit_one(self, ip):
        body = {"spec": "{\"s\": 0.05}", "best_effort": True,
                "phases": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimated_ms": 50}]}
        try:
            status, _ = await call(ip, CALLER_PORT, "POST", f"{PREFIX}{random.getrandbits(64):016x}", body,
                                   "deadline-ms: 1500\r\n")
        except FAILED_CALL:
            status = 0
        self.statuses[status] = self.statuses.get(status, 0) + 1


def starts_in(fleet, domain, since, until=float("inf")):
    return [run for target in fleet.targets if target.domain == domain
            for run in target.history if since <= run.began < until]


class Evacuation(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleet(BINARIES, gateways=6, targets=6, registries=3, network=NETWORK)
        await self.fleet.start()

    async def asyncTearDown(self):
        path = await self.fleet.stop(keep_folder="KEEP_LOGS" in os.environ)
        if path:
            print(path, flush=True)

    # Guards against an evacuation that is not in force, or is forgotten when processes restart.
    async def test_nothing_starts_there_until_it_is_finished(self):
        fleet, began = self.fleet, time.monotonic()
        jobs = Jobs(fleet)
        await asyncio.sleep(2)
        self.assertTrue(starts_in(fleet, DOMAIN, began), "nothing started there before")
        await request(fleet, f"/api/evacuate/{DOMAIN}/start", {200})
        acknowledged = time.monotonic()
        await asyncio.sleep(2)
        killed = fleet.names("registry") + fleet.names("gateway")[:3]
        fleet.kill(killed)
        fleet.start_again(killed)
        await asyncio.sleep(EVACUATE_S + 3)
        finished = time.monotonic()
        self.assertFalse(starts_in(fleet, DOMAIN, acknowledged + 1.5, finished))
        stopped = [run for run in starts_in(fleet, DOMAIN, acknowledged - 0.5, finished)
                   if run.cause == "stopped"]
        self.assertFalse(stopped, "what runs there goes on")
        elsewhere = [run for domain in ("d1", "d2") for run in starts_in(fleet, domain, finished - 1)]
        self.assertTrue(elsewhere, "jobs are executed elsewhere")
        await request(fleet, f"/api/evacuate/{DOMAIN}/finish", {200})
        await asyncio.sleep(3)
        jobs.task.cancel()
        self.assertTrue(starts_in(fleet, DOMAIN, finished), "it is in force after its end")
        for name in fleet.names("gateway"):
            self.assertIn('"event":"evacuations-in-force"', fleet.log_of(name).read_text())
        self.assertGreater(jobs.statuses.get(200, 0), 100, jobs.statuses)
        self.assertFalse(fleet.ended_by_themselves())

    # Guards against requests without a clear answer, and final ones where a repetition may help.
    async def test_each_request_has_a_clear_answer(self):
        fleet = self.fleet
        for path in ("/api/evacuate/d1/stop", "/api/evacuate/d1", "/api/evacuate//start"):
            for ip in fleet.registries:
                status, _ = await call(ip, CONTROL_PORT, "POST", path, {})
                self.assertEqual(status, 400, path)
        await request(fleet, "/api/evacuate/nowhere/start", {404}, DISCOVERY_S + 5)
        for path in ("start", "start", "finish", "finish"):
            began = time.monotonic()
            await request(fleet, f"/api/evacuate/d1/{path}", {200})
            self.assertLess(time.monotonic() - began, 1)
        statuses = [(await call(ip, CONTROL_PORT, "POST", "/api/evacuate/d1/start", {}))[0]
                    for ip in fleet.registries]
        self.assertEqual(sorted(statuses), [200, 307, 307])
        fleet.kill(fleet.names("registry")[:2])
        await asyncio.sleep(3)
        status, _ = await call(fleet.registries[2], CONTROL_PORT, "POST", "/api/evacuate/d1/finish", {})
        self.assertIn(status, (307, 503), "a member without a quorum")


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("binaries")
    parser.add_argument("--network", type=int, default=60)
    arguments, rest = parser.parse_known_args()
    BINARIES, NETWORK = os.path.abspath(arguments.binaries), arguments.network
    unittest.main(argv=[sys.argv[0], "-v", *rest])
