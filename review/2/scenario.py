"""Workers leave while a gateway that has just handed them over is frozen."""
import asyncio
import pathlib
import signal
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402  pylint: disable=wrong-import-position

WORKERS, CPU, DEADLINE_MS = 24, 40000, 1500
DRAIN_S, CONTACT_S = 2.0, 3.0  # bounds of the deployment: drain_ms, contact_ms
FREEZE_S = 6.0


def tag(token):
    """The part of a fencing token that is the same in all tokens of one gateway."""
    return token % 1024


async def press(deployment, ip, until):
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        status, _ = await deployment.submit(
            ip, harness.new_job(), harness.best_effort_job(0.1, 100, cpu=CPU), DEADLINE_MS)
        await asyncio.sleep(0.01 if status == 200 else 0.2)


async def scenario(record, trouble):
    deployment = harness.Deployment(record, ["z1", "z2"], ["z1", "z1", "z2"])
    for _ in range(WORKERS):
        deployment.add_worker("z1")
    loop = asyncio.get_running_loop()
    try:
        await deployment.start(harness.configuration(1, DEADLINE_MS, rejects_overload=True))
        await asyncio.sleep(10)
        frozen, restarted, other = (ip for ip, _ in deployment.gateways)
        owners = {}  # which gateway has which tag: the registry names the owner to each worker
        for worker in deployment.workers:
            owners.setdefault(tag(worker.token), set()).add(worker.heartbeat_address.split(":")[0])
        record.line(f"gateways by the tag of their tokens: {owners}")
        if any(len(names) != 1 for names in owners.values()):
            raise RuntimeError("the owners of the workers can't be told")
        owners = {number: names.pop() for number, names in owners.items()}
        if not {frozen, restarted} <= set(owners.values()):
            raise RuntimeError("a gateway has no worker")

        # Planned work: one gateway is stopped with SIGTERM and started again.
        deployment.signal(restarted, signal.SIGTERM)
        await loop.run_in_executor(None, deployment.processes[restarted].wait, 10)
        await asyncio.sleep(0.3)
        deployment.launch(restarted)
        # Its workers come back to it.
        limit = loop.time() + 15
        while not any(owners.get(tag(w.token)) == restarted for w in deployment.workers):
            if loop.time() > limit:
                raise RuntimeError("no worker came back to the restarted gateway")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.4)
        if trouble:
            deployment.signal(frozen, signal.SIGSTOP)
        await asyncio.sleep(2.6)
        # Planned work: workers of the restarted gateway say that they leave.
        leaving = [w for w in deployment.workers if owners.get(tag(w.token)) == restarted]
        for worker in leaving:
            worker.state = "draining"
        record.line(f"{len(leaving)} workers of {restarted} leave")
        until = loop.time() + 7
        clients = [asyncio.ensure_future(press(deployment, ip, until))
                   for ip in (restarted, other) for _ in range(WORKERS)]
        await asyncio.sleep(FREEZE_S - 2.6)
        if trouble:
            deployment.signal(frozen, signal.SIGCONT)
        thawed = time.monotonic()
        await asyncio.gather(*clients)

        broken = []
        for worker in leaving:
            for key, at, token in worker.begun:
                starter = owners.get(tag(token), "?")
                if worker.drain_acked is None or at <= worker.drain_acked + DRAIN_S:
                    continue
                text = (f"{worker.id}: {key[0]}#{key[1]} started by {starter} {at - worker.drain_acked:.2f} s "
                        f"after it was acknowledged that the worker leaves")
                if starter == frozen and trouble and at < thawed + CONTACT_S:
                    record.line(f"no break, {starter} isn't in touch: {text}")
                else:
                    broken.append(text)
        starts = sum(len(w.begun) for w in deployment.workers)
        acknowledged = sum(w.drain_acked is not None for w in leaving)
        record.line(f"{starts} starts; {acknowledged} of {len(leaving)} leaving workers acknowledged")
        if starts < 100 or acknowledged < 2:
            raise RuntimeError("too little happened to tell")
        return broken
    finally:
        for process in deployment.processes.values():
            process.send_signal(signal.SIGCONT)
        deployment.stop()


harness.main(HERE, scenario)
