#!/usr/bin/env python3
"""Tests whole gateways on loopback whose callers leave, with targets that enforce their leases.

A caller whose connection breaks sends its job again 1.3 s later, to any gateway. No run of the first
submission may go on by then, and no task may have two runs at once.
Usage: gateway_process_test.py BINARIES [TEST ...]. The tests wait for conditions, never for a fixed
time, except for the caller's 1.3 s.
"""
import asyncio
import json
import os
import signal
import socket
import struct
import sys
import time
import unittest

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "scripts"))
from loopback_fleet import (  # noqa: E402
    CALLER_PORT, CONTROL_PORT, HOST, METRICS_PORT, PREFIX, SERVICE, Fleet, call, overlaps)

BINARIES = os.path.abspath(sys.argv[1])

# The users' words: the caller sends again this long after its connection broke.
RESEND_S = 1.3
# Bounds of docs/PLATFORM.md, "The bounds of a run".
AFTER_DEADLINE_S = 0.9
LONGEST_DEADLINE_MS = 8000
# Far beyond all bounds: the limit of a wait for a condition that a test does not measure.
PATIENCE_S = 15


async def until(condition, what, limit=PATIENCE_S):
    """Waits until `condition` holds and returns the time."""
    deadline = time.monotonic() + limit
    while not condition():
        if time.monotonic() > deadline:
            raise AssertionError(f"not within {limit:.1f} s: {what}")
        await asyncio.sleep(0.002)
    return time.monotonic()


async def until_answered(submit):
    """Repeats `submit` until it returns 200."""
    deadline = time.monotonic() + PATIENCE_S
    while (status := await submit()) != 200:
        if time.monotonic() > deadline:
            raise AssertionError(f"no job is accepted: {status}")


class Caller:
    """A connection of a caller to a gateway."""

    def __init__(self, ip):
        self.socket = socket.create_connection((ip, CALLER_PORT), 2)
        self.socket.setblocking(False)
        self.received = b""

    @staticmethod
    def request(job, submission, seconds, estimated_ms=4000, deadline_ms=LONGEST_DEADLINE_MS,
                label="", cpu=500):
        """Returns the POST of a best-effort job with one task that runs for `seconds`.

        The task runs on a target with `label`; each target has the name of its domain as a label.
        """
        body = json.dumps({"spec": json.dumps({"s": seconds, "submission": submission}),
                           "best_effort": True,
                           "phases": [{"count": 1, "cpu": cpu, "mem_mb": 64,
                                       "estimated_ms": estimated_ms,
                                       **({"requirements": label} if label else {})}]}).encode()
        return (f"POST {PREFIX}{job} HTTP/1.1\r\nhost: {HOST}\r\ncontent-type: application/json\r\n"
                f"deadline-ms: {deadline_ms}\r\ncontent-length: {len(body)}\r\n\r\n").encode() + body

    def send(self, data):
        self.socket.sendall(data)

    def statuses(self):
        """Returns the statuses of the responses that have arrived."""
        try:
            while data := self.socket.recv(65536):
                self.received += data
        except (BlockingIOError, ConnectionResetError):
            pass
        return [int(part.split(b" ", 1)[0]) for part in self.received.split(b"HTTP/1.1 ")[1:]]

    def is_closed_by_gateway(self):
        """Returns whether the gateway has closed the connection; reads nothing else from it."""
        try:
            return self.socket.recv(1) == b""
        except BlockingIOError:
            return False
        except ConnectionResetError:
            return True

    def close(self):
        self.socket.close()

    def reset(self):
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()

    def half_close(self):
        self.socket.shutdown(socket.SHUT_WR)


class Gateways(unittest.TestCase):
    """Two domains, each with a gateway and a target, and a registry node."""

    @classmethod
    def setUpClass(cls):
        cls.loop = asyncio.new_event_loop()
        cls.fleet = Fleet(BINARIES, gateways=2, targets=2, domains=2, registries=1, network=11)
        cls.addClassCleanup(cls.loop.close)
        cls.addClassCleanup(lambda: cls.loop.run_until_complete(cls.fleet.stop()))
        cls.loop.run_until_complete(cls.fleet.start(timeout_ms=LONGEST_DEADLINE_MS))
        cls.job_count = 0

    def setUp(self):
        self.stopped = set()
        self.addCleanup(self.continue_all)
        self.run_in_loop(self.wait_for_owners())

    def run_in_loop(self, test):
        self.loop.run_until_complete(test)

    async def wait_for_owners(self):
        """Waits until each gateway owns the target of its domain and starts runs on it."""
        for ip in self.fleet.gateways:
            await self.wait_for_metric(ip, "hibiscus_targets", 1)
            await self.wait_for_metric(ip, "hibiscus_running_runs", 0)
            label = self.target_of(ip).domain
            await until_answered(lambda i=ip, d=label: self.submit(
                i, Caller.request(self.new_job(), 1, 0.01, 50, 1500, d)))

    async def metric(self, ip, name):
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(ip, METRICS_PORT), PATIENCE_S)
            writer.write(b"GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")
            text = (await asyncio.wait_for(reader.read(), PATIENCE_S)).decode()
            writer.close()
        except (OSError, asyncio.TimeoutError):
            return None
        for line in text.splitlines():
            if line.startswith(name) and not line[len(name)].isalnum() and line[len(name)] != "_":
                return float(line.split()[-1])
        return None

    async def wait_for_metric(self, ip, name, value):
        deadline = time.monotonic() + PATIENCE_S
        while (seen := await self.metric(ip, name)) != value:
            self.assertLess(time.monotonic(), deadline, f"{name} of {ip} is {seen}, not {value}")
            await asyncio.sleep(0.01)

    async def submit(self, ip, request):
        """Sends `request` and returns the status of its response."""
        caller = Caller(ip)
        try:
            caller.send(request)
            await until(caller.statuses, "response")
            return caller.statuses()[0]
        finally:
            caller.close()

    @classmethod
    def new_job(cls):
        cls.job_count += 1
        return f"{cls.job_count:016x}"

    def runs(self, job, submission=None):
        return [run for target in self.fleet.targets for run in target.history
                if run.job == job and submission in (None, run.spec["submission"])]

    def open_runs(self, job, submission=None):
        return [run for run in self.runs(job, submission) if run.ended is None]

    def target_of(self, ip):
        return self.fleet.targets[self.fleet.gateways.index(ip)]

    def pid(self, ip):
        gateways = [process for role, process in self.fleet.processes if role == "gateway"]
        return gateways[self.fleet.gateways.index(ip)].pid

    def stop_gateway(self, ip):
        os.kill(self.pid(ip), signal.SIGSTOP)
        self.stopped.add(ip)

    def continue_gateway(self, ip):
        os.kill(self.pid(ip), signal.SIGCONT)
        self.stopped.discard(ip)
        return time.monotonic()

    def continue_all(self):
        for ip in list(self.stopped):
            self.continue_gateway(ip)

    async def start_run(self, caller, job, **arguments):
        caller.send(Caller.request(job, 1, 30, **arguments))
        await until(lambda: self.open_runs(job), "start of the run")

    def report(self, what, job, since, **times):
        """Prints when the runs of the first submission ended, relative to `since`."""
        ends = [f"{run.cause} after {run.ended - since:.4f} s" if run.ended else "GOES ON"
                for run in self.runs(job, 1)]
        more = "".join(f", {name} {value - since:.3f} s" for name, value in times.items())
        print(f"  {what}: runs: {ends or 'none'}{more}", flush=True)

    async def resend_and_check(self, what, ip, job, broke_at, seconds=0.3, continued=None):
        """Sends the job again as a caller does, and checks that its first submission has no run.

        `continued` is the task that continues a stopped gateway, if one was stopped.
        """
        await until(lambda: time.monotonic() >= broke_at + RESEND_S, "time of the second submission")
        # At the second gateway's own target, where no run of the first submission has its number.
        status = await self.submit(
            ip, Caller.request(job, 2, seconds, label=self.target_of(ip).domain))
        times = {"continued after": await continued} if continued else {}
        for gateway in self.fleet.gateways:
            await self.wait_for_metric(gateway, "hibiscus_jobs", 0)
        self.report(what, job, broke_at, **times)
        late = [run for run in self.runs(job, 1)
                if run.ended is None or run.ended > broke_at + RESEND_S]
        self.assertEqual(late, [], "runs 1.3 s after the caller's connection broke")
        self.assertEqual(self.overlaps(job), [])
        self.assertEqual(status, 200)

    def overlaps(self, job):
        """Returns the pairs of runs of one task that went on at the same time."""
        return overlaps(self.runs(job))

    def leave_while_running(self, leave, label=""):
        """Lets a caller leave by `leave` while its run goes on at the target with `label`."""
        async def test():
            first, second = self.fleet.gateways
            job, caller = self.new_job(), Caller(first)
            await self.start_run(caller, job, label=label)
            leave(caller)
            await self.resend_and_check(self.id().rpartition(".")[2], second, job, time.monotonic())
            return caller
        return self.loop.run_until_complete(test())

    def test_caller_closes(self):
        self.leave_while_running(Caller.close, "d0")

    def test_caller_closes_with_run_at_a_peer(self):
        self.leave_while_running(Caller.close, "d1")

    def test_caller_resets(self):
        self.leave_while_running(Caller.reset, "d0")

    def test_caller_resets_with_run_at_a_peer(self):
        self.leave_while_running(Caller.reset, "d1")

    # A gateway cannot tell a half-closed connection from a closed one before it responds. So the
    # caller has left, and gets no response that says that its job ended or was never accepted.
    def test_half_close_is_taken_as_leaving_and_not_answered(self):
        caller = self.leave_while_running(Caller.half_close, "d0")
        self.assertEqual(caller.statuses(), [])
        self.assertTrue(caller.is_closed_by_gateway())
        caller.close()

    def test_pipelined_requests_are_answered_in_order_and_run_once(self):
        async def test():
            jobs, caller = [self.new_job(), self.new_job()], Caller(self.fleet.gateways[0])
            caller.send(Caller.request(jobs[0], 1, 0.4, 400, 3000)
                        + Caller.request(jobs[1], 1, 0.1, 100, 3000))
            await until(lambda: len(caller.statuses()) == 2, "two responses")
            self.assertEqual(caller.statuses(), [200, 200])
            for job in jobs:
                self.assertEqual([run.cause for run in self.runs(job)], ["done"])
            self.assertGreaterEqual(self.runs(jobs[1])[0].began, self.runs(jobs[0])[0].ended)
            caller.close()
        self.run_in_loop(test())

    def test_caller_closes_behind_a_pipelined_request(self):
        async def test():
            first, second = self.fleet.gateways
            jobs, caller = [self.new_job(), self.new_job()], Caller(first)
            await self.start_run(caller, jobs[0], label="d0")
            caller.send(Caller.request(jobs[1], 1, 30, label="d0"))
            caller.close()
            await self.resend_and_check("close behind a pipelined request", second, jobs[0],
                                        time.monotonic())
            self.assertEqual(self.runs(jobs[1]), [])
        self.run_in_loop(test())

    def continue_after(self, ip, seconds):
        """Continues a stopped gateway that many seconds from now; its result is the time of that."""
        async def wait():
            await asyncio.sleep(seconds)
            return self.continue_gateway(ip)
        return asyncio.ensure_future(wait())

    def reset_while_stopped(self, stall_s, label):
        async def test():
            first, second = self.fleet.gateways
            job, caller = self.new_job(), Caller(first)
            await self.start_run(caller, job, label=label)
            self.stop_gateway(first)
            caller.reset()
            broke_at = time.monotonic()
            continued = self.continue_after(first, stall_s)
            # The second run goes on until the gateway has continued.
            seconds = max(0.3, stall_s - RESEND_S + 0.5)
            await self.resend_and_check(f"reset while stopped for {stall_s} s, run at {label}",
                                        second, job, broke_at, seconds, continued)
        self.run_in_loop(test())

    def test_caller_resets_during_a_stall_of_300_ms(self):
        self.reset_while_stopped(0.3, "d0")

    def test_caller_resets_during_a_stall_of_300_ms_with_run_at_a_peer(self):
        self.reset_while_stopped(0.3, "d1")

    def test_caller_resets_during_a_stall_of_1_s(self):
        self.reset_while_stopped(1, "d0")

    def test_caller_resets_during_a_stall_of_1_s_with_run_at_a_peer(self):
        self.reset_while_stopped(1, "d1")

    def test_caller_resets_during_a_stall_of_2_s(self):
        self.reset_while_stopped(2, "d0")

    def test_caller_resets_during_a_stall_of_2_s_with_run_at_a_peer(self):
        self.reset_while_stopped(2, "d1")

    def send_and_leave_while_stopped(self, leave, is_connected_before, stall_s):
        """Sends a request that the gateway reads only after its caller has left."""
        async def test():
            first, second = self.fleet.gateways
            job = self.new_job()
            caller = Caller(first) if is_connected_before else None
            if caller:
                caller.send(Caller.request(self.new_job(), 1, 0.01, 50, 3000))
                await until(caller.statuses, "response")
            self.stop_gateway(first)
            caller = caller or Caller(first)
            caller.send(Caller.request(job, 1, 30, label="d0"))
            leave(caller)
            broke_at = time.monotonic()
            continued = self.continue_after(first, stall_s)
            # The second run goes on until the gateway has continued.
            seconds = max(0.3, stall_s - RESEND_S + 0.5)
            await self.resend_and_check(self.id().rpartition(".")[2], second, job, broke_at, seconds,
                                        continued)
            # The gateway reads its connections in turn: this answer comes after that request.
            probe = Caller.request(self.new_job(), 1, 0.01, 50, 3000)
            await until_answered(lambda: self.submit(first, probe))
            self.assertEqual(self.runs(job, 1), [])
        self.run_in_loop(test())

    # After a stall of less than 500 ms a gateway starts what it has read at once.
    def test_request_that_was_reset_during_a_short_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.reset, False, 0.4)

    def test_request_whose_caller_closed_during_a_short_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.close, False, 0.4)

    def test_request_on_a_kept_connection_that_was_reset_during_a_short_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.reset, True, 0.4)

    def test_request_on_a_kept_connection_that_closed_during_a_short_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.close, True, 0.4)

    def test_request_whose_caller_closed_during_a_long_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.close, False, RESEND_S + 0.3)

    def test_request_on_a_kept_connection_that_was_reset_during_a_long_stall_is_not_started(self):
        self.send_and_leave_while_stopped(Caller.reset, True, RESEND_S + 0.3)

    # Guards against two coordinators of one job: a loaded gateway went on with jobs whose callers'
    # connections had ended, while they ran at another gateway. No job that it had not read by then
    # may be started either.
    def test_jobs_of_a_loaded_gateway_whose_callers_leave_at_once_run_at_another_only(self):
        async def test():
            first, second = self.fleet.gateways
            held, unread = ([self.new_job() for _ in range(n)] for n in (6, 24))
            callers = []
            for job in held:
                # Two of them fill the target, so the others wait for free capacity.
                callers.append(Caller(first))
                callers[-1].send(Caller.request(job, 1, 30, label="d0", cpu=32000))
            await self.wait_for_metric(first, "hibiscus_jobs", len(held))
            await self.wait_for_metric(first, "hibiscus_running_runs", 2)
            self.stop_gateway(first)
            for job in unread:
                callers.append(Caller(first))
                callers[-1].send(Caller.request(job, 1, 0.5, 500, 3000, "d0"))
            for i, caller in enumerate(callers):
                # What was sent before a close, unlike a reset, can still be read.
                (Caller.reset if i % 2 == 0 else Caller.close)(caller)
            broke_at = time.monotonic()
            continued = self.continue_after(first, 0.3)
            statuses = await asyncio.gather(*(
                self.submit(second, Caller.request(job, 2, 0.5, 500, 3000, "d1")) for job in unread))
            await continued
            await until(lambda: time.monotonic() >= broke_at + RESEND_S, "time to send again")
            statuses += await asyncio.gather(*(
                self.submit(second, Caller.request(job, 2, 0.1, 100, 3000, "d1")) for job in held))
            for gateway in self.fleet.gateways:
                await self.wait_for_metric(gateway, "hibiscus_jobs", 0)
            self.assertEqual(statuses, [200] * len(held + unread))
            self.assertEqual([run for job in unread for run in self.runs(job, 1)], [],
                             "runs of requests whose callers left before they were read")
            self.assertEqual([pair for job in held + unread for pair in self.overlaps(job)], [])
        self.run_in_loop(test())

    # Nothing tells that a caller has gone when its connection is only silent.
    # Guards against work for a leaving target whose announcement was acknowledged by a registry node
    # that could tell it to nobody.
    def test_departure_is_not_acknowledged_while_no_gateway_is_known(self):
        async def announce():
            status, _ = await call(
                self.fleet.registries[0], CONTROL_PORT, "POST", "/api/instances/i-leaving/heartbeat",
                {"service": SERVICE, "address": "127.0.0.1:9", "zone": "d0", "version": "v1", "slots": 8,
                 "state": "draining", "cold_remaining_ms": 0, "capacity": {"cpu": 64000, "mem_mb": 1},
                 "labels": ["a"], "clock_ms": 1, "seq": 1, "born": 1})
            return status

        async def until_status(wanted):
            deadline = time.monotonic() + PATIENCE_S
            while (status := await announce()) != wanted:
                self.assertLess(time.monotonic(), deadline, f"{status}, not {wanted}")
                await asyncio.sleep(0.1)

        async def test():
            await until_status(200)
            for ip in self.fleet.gateways:
                self.stop_gateway(ip)
            await until_status(503)
            self.continue_all()
            await until_status(200)
        self.run_in_loop(test())

    def test_runs_of_a_silent_caller_end_after_its_deadline(self):
        async def test():
            deadline_ms, job, caller = 1500, self.new_job(), Caller(self.fleet.gateways[0])
            sent_at = time.monotonic()
            await self.start_run(caller, job, estimated_ms=800, deadline_ms=deadline_ms)
            await self.wait_for_metric(self.fleet.gateways[0], "hibiscus_jobs", 0)
            await until(lambda: not self.open_runs(job), "end of the runs")
            self.report("silent caller, deadline 1.5 s", job, sent_at)
            for run in self.runs(job):
                self.assertLessEqual(run.ended, sent_at + deadline_ms / 1000 + AFTER_DEADLINE_S)
            await until(caller.statuses, "response")
            self.assertEqual(caller.statuses(), [504])
            caller.close()
        self.run_in_loop(test())


if __name__ == "__main__":
    unittest.main(argv=[sys.argv[0], "-v", *sys.argv[2:]])
