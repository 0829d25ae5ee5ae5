"""A planned replacement of a core machine, and a disk lost after the successor's catch_up_s."""
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
from fleet2 import BOUNDS, CannotRun, Deployment, Operator, Record  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The new one first, then SIGTERM: as the bench does for "planned", once the successor has had catch_up_s.
SIGTERM_AFTER_S = BOUNDS["catch_up_s"]
LOSS_AFTER_S = SIGTERM_AFTER_S + 2.5  # after the start of the successor; the removed one is gone by then
DOWN_S = 1.0
# Far longer than what the pages allow: recovery_s and catch_up_s after the machine is back.
PATIENCE_S = 2 * (BOUNDS["recovery_s"] + BOUNDS["catch_up_s"])


def until(moment):
    time.sleep(max(0, moment - time.monotonic()))


def run(record, deployment):
    operator = Operator(deployment, record)
    deployment.start_all()
    first = deployment.cores()
    if not operator.replace(1, first, 20):
        raise CannotRun("the first configuration is not acknowledged")
    time.sleep(6)  # the group is calm for longer than catch_up_s and contact_ms
    present = list(first)
    if TROUBLE:
        leaving = first[-1]
        successor = deployment.add("core", len(first), is_bootstrap=False)
        deployment.nodes[successor]["zone"] = deployment.nodes[leaving]["zone"]
        deployment.start(successor)
        started_at = time.monotonic()
        until(started_at + SIGTERM_AFTER_S)
        deployment.terminate(leaving)
        record(f"{leaving} is removed for good")
        present = [n for n in first if n != leaving] + [successor]
        until(started_at + LOSS_AFTER_S)
    version = 2
    acknowledged_by = operator.replace(version, present, BOUNDS["ack_ms"] / 1000)
    if not acknowledged_by:
        raise CannotRun("the second configuration is not acknowledged")
    record(f"version {version} is acknowledged by {operator.name_at(acknowledged_by)}")
    if TROUBLE:
        loser = operator.name_at(acknowledged_by)
        record(f"{time.monotonic() - started_at:.2f} s after the successor's start"
               f" (catch_up_s is {BOUNDS['catch_up_s']}):")
        deployment.kill(loser)
        deployment.lose_disk(loser)
        time.sleep(DOWN_S)
        deployment.start(loser)
        back_at = time.monotonic()
    else:
        back_at = time.monotonic()
    seen = None
    while time.monotonic() < back_at + PATIENCE_S:
        answers = {n: operator.read(f"{deployment.nodes[n]['ip']}:{deployment.control}")
                   for n in present}
        if answers != seen:
            record(f"reads, {time.monotonic() - back_at:.1f} s after all are back: {answers}")
            seen = answers
        if any(version_read == version for _, version_read in answers.values()):
            record("the acknowledged configuration is read back")
            return 0
        time.sleep(0.5)
    record(f"no core machine gave the acknowledged configuration for {PATIENCE_S} s")
    operator.replace(version + 1, present, BOUNDS["ack_ms"] / 1000)
    for name in present:
        for line in deployment.log_lines(name, "members"):
            record(f"log of {name}: {line}")
    return 1


def main():
    record = Record(HERE)
    deployment = None
    try:
        deployment = Deployment(record)
        result = run(record, deployment)
        if deployment.own_ends():
            record(f"processes that ended by themselves: {deployment.own_ends()}")
    except (CannotRun, OSError) as error:
        record(f"the case could not run: {error}")
        result = 2
    finally:
        if deployment:
            deployment.stop()
    record(["the rule held", "the rule was broken", "the case could not run"][result])
    return result


if __name__ == "__main__":
    sys.exit(main())
