"""A start that its worker carries out late, after the task was started again elsewhere."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet3  # noqa: E402

JOB = "5c0e7a21d94b36f8"
TASK_S, DEADLINE_MS = 1.5, 6000
CUT_S = 5.5  # SYSTEM.md's deployments: node_cut "servers" for 5.5 s
LATE_S = 4.6  # PROTOCOL.md: "seconds later"; the bench's page of kinds: 2 to 12 s


async def case(folder, trouble):
    fleet = fleet3.Fleet(folder, timeout_ms=DEADLINE_MS)
    loop, late = asyncio.get_running_loop(), []

    def leave_unanswered(worker, body):
        """The first order to start the job gets no answer and is carried out late; the worker is cut off."""
        if late or body["task"].partition(".")[0] != JOB:
            return False
        late.append(worker)
        fleet.record.add("start-left-unanswered", worker=worker.name, task=body["task"], run=body["run_id"])
        # Its time counts from its arrival.
        body["granted_ms"] = body["expires_ms"] - worker.clock()
        worker.cut_until = time.monotonic() + CUT_S
        fleet.record.add("cut-begins", worker=worker.name, seconds=CUT_S)
        loop.call_later(CUT_S, fleet.record.add, "cut-ends")
        loop.call_later(LATE_S, carry_out, worker, body)
        return True

    def carry_out(worker, body):
        if body["fencing_token"] < worker.token:
            fleet.record.add("late-start-rejected", worker=worker.name, reason="fence")
            return
        worker.token = body["fencing_token"]
        body["expires_ms"] = worker.clock() + body["granted_ms"]
        status, reply = worker.start(body)
        fleet.record.add("late-start-carried-out", worker=worker.name, status=status, reply=reply)

    try:
        await fleet.start()
        if trouble:
            for worker in fleet.workers:
                worker.on_start = leave_unanswered
        status, _ = await fleet.submit("gateway-0", JOB, [TASK_S], DEADLINE_MS)
        await asyncio.sleep(1)
        if not fleet.runs_of(JOB):
            raise fleet3.CannotRun("the job was never started")
        overlaps = fleet.overlaps(JOB)
        for one, other, seconds in overlaps:
            fleet.record.add("TWICE", first=one, second=other, overlap_s=f"{seconds:.3f}")
            print(f"two runs of one task for {seconds:.3f} s: {one}; {other}")
        return bool(overlaps) or (not trouble and status != 200)
    finally:
        fleet.stop()


sys.exit(fleet3.play(HERE, case))
