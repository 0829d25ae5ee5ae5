"""A worker as PROTOCOL.md describes it, for the scripts of the second review.

It ends each task after the milliseconds that its spec names, guards its capacity, keeps leases on its
own steady clock, and sends heartbeats. Each run is written to the record.
"""
import asyncio
import json
import threading
import time

MAX_HOLD_MS = 1000
HEARTBEAT_S = 1.5


class Run:
    def __init__(self, task, run_id, worker):
        self.task, self.run_id, self.worker = task, run_id, worker
        self.began, self.ended, self.how, self.timer = time.monotonic(), None, "", None

    def __repr__(self):
        end = "goes on" if self.ended is None else f"{self.how} after {self.ended - self.began:.3f} s"
        return f"{self.task}#{self.run_id} at {self.worker}: {end}"


class Worker:
    def __init__(self, name, zone, address, service, controls, record):
        self.name, self.zone, self.address, self.service = name, zone, address, service
        self.controls, self.record, self.owner = controls, record, ""
        self.state, self.sequence = "ready", 0
        self.capacity = {"cpu": 64000, "mem_mb": 262144, "gpu": 0}
        self.history = []
        self.restart()

    def restart(self):
        self.born, self.started_at = int(time.time() * 1000), time.monotonic()
        self.token = self.ends = self.lease_ms = 0
        self.running, self.newest, self.ended, self.lease_timer = {}, {}, [], None
        self.changed = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started_at) * 1000)

    async def serve(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.connection, host, int(port))
        self.beats = asyncio.ensure_future(self.beat())

    async def beat(self):
        turn = 0
        while True:
            await self.beat_once(turn)
            turn += 1

    async def beat_once(self, turn):
        """Sends one heartbeat, and waits until the next one is due."""
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone,
                "version": "v1", "slots": 8, "state": self.state, "cold_remaining_ms": 0,
                "capacity": self.capacity, "labels": ["a", "r1-1"], "clock_ms": self.clock(),
                "seq": self.sequence, "born": self.born}
        to = self.owner or self.controls[turn % len(self.controls)]
        try:
            status, answer = await asyncio.wait_for(
                post(to, f"/api/instances/{self.name}/heartbeat", body), 1)
            if status // 100 != 2:
                raise OSError(str(status))
            self.owner = answer.get("heartbeat_addr") or self.owner
            await asyncio.sleep(HEARTBEAT_S)
        except (OSError, ValueError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            self.owner = ""
            await asyncio.sleep(0.1)

    async def connection(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in head[1:])}
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                if headers.get("target-instance", self.name) != self.name:
                    status, answer = 421, {}
                else:
                    status, answer = await self.answer(head[0].split()[1], json.loads(data or b"{}"))
                body = json.dumps({"clock_ms": self.clock(), "born": self.born, **answer}).encode()
                writer.write(b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                             b"content-length: %d\r\n\r\n" % (status, len(body)) + body)
                await writer.drain()
                if headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, path, body):
        if body.get("fencing_token", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = body.get("fencing_token", 0)
        if path == "/api/run-start":
            return self.start(body)
        if path == "/api/run-stop":
            key = (body["task"], body["run_id"])
            self.newest[key[0]] = max(key[1], self.newest.get(key[0], 0))
            self.end(key, "stopped")
            return 200, {}
        if path == "/api/hold":
            return 200, await self.hold(body)
        return 404, {}

    def start(self, body):
        task, run_id = body["task"], body["run_id"]
        if (task, run_id) in self.running:
            return 200, {}
        if body["expires_ms"] <= self.clock():
            return 409, {"reason": "late"}
        self.extend(body["expires_ms"])
        if run_id <= self.newest.get(task, 0):
            return 409, {"reason": "old"}
        spec = json.loads(body["spec"])
        if sum(r.cpu for r in self.running.values()) + spec["cpu"] > self.capacity["cpu"]:
            return 409, {"reason": "room"}
        run = Run(task, run_id, self.name)
        run.cpu = spec["cpu"]
        run.timer = asyncio.get_running_loop().call_later(
            spec["ms"] / 1000, self.end, (task, run_id), "done")
        self.running[task, run_id] = run
        self.history.append(run)
        self.record(f"{self.name} begins {task}#{run_id}")
        return 200, {}

    def extend(self, expires_ms):
        expires_ms = min(expires_ms, self.clock() + MAX_HOLD_MS)
        if expires_ms <= self.lease_ms:
            return
        self.lease_ms = expires_ms
        if self.lease_timer:
            self.lease_timer.cancel()
        self.lease_timer = asyncio.get_running_loop().call_later(
            (expires_ms - self.clock()) / 1000, self.lapse)

    def lapse(self):
        for key in list(self.running):
            self.end(key, "lapsed")

    def end(self, key, how):
        run = self.running.pop(key, None)
        if run is None:
            return
        run.timer.cancel()
        run.ended, run.how = time.monotonic(), how
        self.newest[key[0]] = max(key[1], self.newest.get(key[0], 0))
        self.ends += 1
        self.ended.append([self.ends, key[0], key[1], how, ""])
        self.changed.set()
        self.record(f"{self.name} ends {key[0]}#{key[1]}: {how}")

    async def hold(self, body):
        if body.get("expires_ms"):
            self.extend(body["expires_ms"])
        self.ended = [e for e in self.ended if e[0] > body["ack_cursor"]]
        if not self.ended and body.get("wait_ms"):
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return {"running": [[t, r, "", 0, 0] for t, r in self.running], "ended_runs": self.ended[:500]}


async def post(address, path, body):
    host, port = address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = json.dumps(body).encode()
        writer.write((f"POST {path} HTTP/1.1\r\nhost: {address}\r\ncontent-type: application/json\r\n"
                      f"connection: close\r\ncontent-length: {len(data)}\r\n\r\n").encode() + data)
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        text = await reader.read()
    finally:
        writer.close()
    if "transfer-encoding: chunked" in head:
        plain, rest = b"", text
        while (size := int(rest.partition(b"\r\n")[0], 16)) > 0:
            rest = rest.partition(b"\r\n")[2]
            plain, rest = plain + rest[:size], rest[size + 2:]
        text = plain
    answer = json.loads(text) if text.startswith(b"{") else {}
    return int(head.split(" ", 2)[1]), answer


class Workers:
    """Workers that run on an event loop of their own thread."""

    def __init__(self, deployment, record, count, service, phase_s=0.0):
        """Worker i sends its first heartbeat `phase_s` seconds later than worker i - 1."""
        self.loop = asyncio.new_event_loop()
        controls = [f"{deployment.nodes[n]['ip']}:{deployment.control}" for n in deployment.cores()]
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.workers = self.run(self.make(deployment, record, count, service, controls, phase_s))

    async def make(self, deployment, record, count, service, controls, phase_s):
        workers = []
        for i in range(count):
            worker = Worker(f"i-{i:08x}", deployment.zones[i % len(deployment.zones)],
                            f"{deployment.network}.3.{i + 1}:{deployment.worker_port}", service,
                            controls, record)
            await worker.serve()
            workers.append(worker)
            await asyncio.sleep(phase_s)
        return workers

    def run(self, coroutine, timeout=10):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(timeout)

    def runs(self, job):
        return [run for worker in self.workers for run in worker.history
                if run.task.partition(".")[0] == job]

    def stop(self):
        self.run(self.cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()

    async def cancel_all(self):
        for worker in self.workers:
            worker.server.close()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        for task in others:
            task.cancel()
        await asyncio.gather(*others, return_exceptions=True)
