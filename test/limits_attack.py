#!/usr/bin/env python3
"""A minute of all crowds of limits_process_test.py, one after the other, beside ordinary callers.

Usage: limits_attack.py BINARIES [SECONDS]. Prints the memory of the processes each five seconds, and the
share of the ordinary jobs that were answered with 200 before, during and after; it checks nothing.
"""
import asyncio
import multiprocessing
import sys
import time

from limits_process_test import (
    BODIES, CALLER_PORT, CONTROL_PORT, OTHERS, PREFIX, SMALLEST_VM, BINARIES, Crowd, Fleet, call,
    never_reading)

CALLERS, PAUSE_S, CALM_S = 8, 0.1, 10


def attack(gateway, registry, seconds):
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for make_crowd in BODIES + OTHERS:
            reads = make_crowd is never_reading
            crowds = [Crowd(make_crowd((gateway, CALLER_PORT), PREFIX if reads else PREFIX + "00000000000000aa")),
                      Crowd(make_crowd((registry, CONTROL_PORT),
                                       "/api/config/get" if reads else "/api/config/replace"))]
            for crowd in crowds:
                crowd.send()
            for crowd in crowds:
                crowd.leave()
            if time.monotonic() >= end:
                return


class Load:
    def __init__(self, ip):
        self.ip, self.jobs, self.statuses, self.phase = ip, 0, {}, "before"

    async def submit(self):
        while True:
            self.jobs += 1
            phase = self.phase
            body = {"spec": "{\"s\": 0.01}", "best_effort": True,
                    "phases": [{"count": 1, "cpu": 500, "mem_mb": 64, "estimated_ms": 10}]}
            try:
                status, _ = await call(self.ip, CALLER_PORT, "POST", f"{PREFIX}{self.jobs:016x}", body)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
                status = "none"
            counts = self.statuses.setdefault(phase, {})
            counts[status] = counts.get(status, 0) + 1
            await asyncio.sleep(PAUSE_S)


def memory(fleet):
    used = []
    for name in fleet.names():
        try:
            with open(f"/proc/{fleet.process(name).pid}/status", encoding="ascii") as status:
                lines = dict(line.split(":", 1) for line in status)
            used.append(f"{name} {int(lines['VmRSS'].split()[0]) / 1000:.0f}"
                        f" (peak {int(lines['VmHWM'].split()[0]) / 1000:.0f})")
        except (OSError, KeyError):
            used.append(f"{name} has ended")
    return ", ".join(used)


async def main(seconds):
    fleet = Fleet(BINARIES, gateways=1, targets=2, domains=1, registries=1, network=25, settings=SMALLEST_VM)
    try:
        await fleet.start()
        load = Load(fleet.gateways[0])
        tasks = [asyncio.ensure_future(load.submit()) for _ in range(CALLERS)]
        began = time.monotonic()
        attacker = multiprocessing.get_context("spawn").Process(
            target=attack, args=(fleet.gateways[0], fleet.registries[0], seconds))
        for phase, length in (("before", CALM_S), ("during", seconds), ("after", CALM_S)):
            load.phase = phase
            if phase == "during":
                attacker.start()
            end = time.monotonic() + length
            while time.monotonic() < end or (phase == "during" and attacker.is_alive()):
                await asyncio.sleep(5)
                print(f"{time.monotonic() - began:5.0f} s, {phase}: MB: {memory(fleet)}", flush=True)
        for task in tasks:
            task.cancel()
        for phase, counts in load.statuses.items():
            print(f"{phase}: {100 * counts.get(200, 0) / sum(counts.values()):.1f}% answered with 200: {counts}")
        print(f"ended by themselves: {fleet.ended_by_themselves()}")
        for name in fleet.names():
            print(f"log of {name}: {fleet.log_of(name).stat().st_size} bytes")
    finally:
        await fleet.stop()


if __name__ == "__main__":
    asyncio.run(main(float(sys.argv[2]) if len(sys.argv) > 2 else 60))
