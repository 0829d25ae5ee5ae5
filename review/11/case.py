"""A core machine is removed without a signal, and another one loses its disk."""
import asyncio
import os
import pathlib
import shutil
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import fleet3  # noqa: E402

CATCH_UP_S, RECOVERY_S = 4.0, 12.0  # SYSTEM.md, bounds
REMOVED_S = CATCH_UP_S + 0.5  # after the start of the successor
DISK_LOST_S = REMOVED_S + 1.0
BACK_S = 1.0
WATCHED_S = 2 * RECOVERY_S
SUCCESSOR = "registry-3"


async def read(fleet):
    """Reads the configuration at each node that runs; returns the versions that were answered."""
    versions = []
    for name, process in fleet.processes.items():
        if name.startswith("registry") and process.poll() is None:
            status, reply = await fleet3.call(f"{fleet.nodes[name][2]}:{fleet.control_port}", "GET",
                                              "/api/config/get")
            fleet.record.add("configuration-read", node=name, status=status, version=reply.get("version"))
            if status == 200:
                versions.append(reply["version"])
    return versions


async def replace(fleet, version):
    """Sends a configuration until it is acknowledged; returns the node that did."""
    names = [name for name, process in fleet.processes.items()
             if name.startswith("registry") and process.poll() is None]
    for attempt in range(40):
        name = names[attempt % len(names)]
        status, _ = await fleet3.call(f"{fleet.nodes[name][2]}:{fleet.control_port}", "POST",
                                      "/api/config/replace", fleet.configuration(version))
        if status == 200:
            fleet.record.add("configuration-acknowledged", version=version, node=name)
            return name
        await asyncio.sleep(0.05)
    raise fleet3.CannotRun("the change was not acknowledged")


async def case(folder, trouble):
    fleet = fleet3.Fleet(folder)
    fleet.nodes[SUCCESSOR] = ("registry", fleet3.ZONES[0], f"{fleet.net}.0.4")
    try:
        await fleet.start(without=[SUCCESSOR])
        began = fleet.record.now()
        fleet.launch(SUCCESSOR)
        await asyncio.sleep(began + REMOVED_S - fleet.record.now())
        # The node that acknowledges goes on; another one is removed.
        leader = await replace(fleet, 2)
        if trouble:
            removed = next(name for name in ("registry-0", "registry-1", "registry-2") if name != leader)
            fleet.kill(removed)
            fleet.record.add("removed-for-good", node=removed)
        await asyncio.sleep(began + DISK_LOST_S - fleet.record.now())
        acknowledging = await replace(fleet, 3)
        if trouble:
            fleet.kill(acknowledging)
            data = pathlib.Path(fleet.settings_of(acknowledging, False)["data_folder"])
            shutil.rmtree(data)
            fleet.record.add("disk-lost", node=acknowledging)
            await asyncio.sleep(BACK_S)
            fleet.launch(acknowledging)
        back = fleet.record.now()
        versions = []
        while fleet.record.now() < back + WATCHED_S and (not versions or fleet.record.now() < back + 2):
            await asyncio.sleep(1)
            versions = await read(fleet)
        broken = not versions or min(versions) < 3
        if broken:
            fleet.record.add("CONFIG", watched_s=f"{fleet.record.now() - back:.1f}", read=versions)
            print(f"version 3 was acknowledged; read {fleet.record.now() - back:.1f} s after all were back: "
                  f"{versions or 'nothing'}")
        return broken
    finally:
        fleet.stop()


sys.exit(fleet3.play(HERE, case))
