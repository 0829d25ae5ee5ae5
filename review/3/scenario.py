"""A gateway is killed and restarted while its workers run tasks of another gateway's clients."""
import asyncio
import pathlib
import random
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))
import harness  # noqa: E402  pylint: disable=wrong-import-position

WORKERS, CPU = 24, 40000  # one task of 40 cores fits on a worker of 64 cores
DEADLINE_MS = 4000


async def press(deployment, ip, until, seconds, pause_s):
    """A client that keeps a job of one task in progress at `ip`, and waits after a refusal."""
    loop = asyncio.get_running_loop()
    while loop.time() < until:
        status, _ = await deployment.submit(
            ip, harness.new_job(), harness.best_effort_job(seconds, int(seconds * 1000), cpu=CPU),
            DEADLINE_MS)
        await asyncio.sleep(0.005 if status == 200 else pause_s)


async def scenario(record, trouble):
    deployment = harness.Deployment(record, ["z1", "z2"], ["z1", "z2"])
    for _ in range(WORKERS):
        deployment.add_worker("z1")
    try:
        await deployment.start(harness.configuration(1, DEADLINE_MS, rejects_overload=False))
        await asyncio.sleep(8)  # all workers are known to the gateway of their zone
        owner, other = (ip for ip, _ in deployment.gateways)
        loop = asyncio.get_running_loop()
        until = loop.time() + 16
        clients = [asyncio.ensure_future(press(deployment, other, until, 2, 0.2))
                   for _ in range(WORKERS)]
        clients += [asyncio.ensure_future(press(deployment, owner, until, 0.2, 0.05))
                    for _ in range(WORKERS)]
        for _ in range(3):
            await asyncio.sleep(4)
            if trouble:
                deployment.kill(owner)
                await asyncio.sleep(0.2)  # "restarted after a short delay"
                deployment.launch(owner)
        await asyncio.gather(*clients)
        starts = sum(len(worker.begun) for worker in deployment.workers)
        record.line(f"{starts} starts on {WORKERS} workers")
        if starts < 100:
            raise RuntimeError("too little work ran to tell")
        return [line for worker in deployment.workers for line in worker.over_capacity]
    finally:
        deployment.stop()


random.seed()
harness.main(HERE, scenario)
