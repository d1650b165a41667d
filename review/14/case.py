"""Watchers of the configuration are lost at one moment; then the configuration changes."""

import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "shared-3"))
from fleet import CannotRun, run_case  # noqa: E402

HOST = "shop.example"
APPLY_S = 2.0
DARK_S = 5.0
# Zone, number in the zone, service: the layout of the site.
LAYOUT = [
    ("ogbomoso-a", 1, "slotbook"), ("ogbomoso-a", 2, "slotbook"), ("ogbomoso-a", 3, "tillpost"),
    ("ogbomoso-a", 4, "yardlog"), ("ogbomoso-a", 5, "yardlog"),
    ("oyo-town-b", 1, "slotbook"), ("oyo-town-b", 2, "tillpost"), ("oyo-town-b", 3, "yardlog"),
    ("iseyin-c", 1, "slotbook"), ("iseyin-c", 2, "tillpost"), ("iseyin-c", 3, "yardlog"),
]
SERVICES = ["slotbook", "tillpost", "yardlog"]


def route(name, prefix, service):
    return {"name": name, "hostname": HOST, "prefix": prefix, "kind": "idempotent", "timeoutS": 0.6,
            "targetLatencyS": 0.25, "priority": 1, "maxAttempts": 2, "service": service}


async def scenario(fleet, trouble):
    for zone, number, service in LAYOUT:
        fleet.add(f"sidecar-{zone}-{number}", zone, service)
    await fleet.start(lambda: fleet.write_config(3, [route("pay", "/pay/", "tillpost")], SERVICES))
    await asyncio.sleep(21.0)
    first = [await fleet.request(machine, "GET", HOST, "/pay/1", 600) for machine in fleet.machines]
    if any(answer["status"] != 200 for answer in first):
        raise CannotRun("the first config isn't served everywhere")
    # The first two nodes of each zone by name: 6 of 11.
    lost = [machine for machine in fleet.machines if machine.name[-1] in "12"]
    kept = [machine for machine in fleet.machines if machine not in lost]
    if trouble:
        await asyncio.gather(*(machine.signal(signal.SIGKILL) for machine in lost))
        for machine in lost:
            await machine.server.stop()
    killed_at = fleet.now()
    await asyncio.sleep(0.3)
    acked_at = await fleet.write_config(9, [route("pay", "/pay/", "yardlog"), route("new", "/new/", "yardlog")], SERVICES)
    late = []

    async def client(machine):
        while fleet.now() < killed_at + DARK_S:
            for path in ("/pay/2", "/new/2"):
                late.append(await fleet.request(machine, "GET", HOST, path, 600))
            await asyncio.sleep(0.25)

    await asyncio.gather(*(client(machine) for machine in kept))
    if trouble:
        for machine in lost:
            await machine.server.start()
            await machine.start()
    ran = {run["attempt"]: run["service"] for run in fleet.runs()}
    violations = []
    for answer in late:
        if answer["sent_at"] <= acked_at + APPLY_S:
            continue
        after = answer["sent_at"] - acked_at
        if answer["path"].startswith("/pay/") and ran.get(answer["attempt"]) == "tillpost":
            violations.append(f"CONFIG: {answer['attempt']} sent {after:.2f} s after the ack at {answer['machine']} was run by "
                              "tillpost, to which only the older version sends it")
        if answer["path"].startswith("/new/") and answer["status"] == 404:
            violations.append(f"CONFIG: {answer['attempt']} sent {after:.2f} s after the ack at {answer['machine']} got 404 "
                              "though the route is there")
    return violations


run_case(os.path.dirname(os.path.abspath(__file__)), scenario)
