"""A check-in of another writer, whose service no config names, takes the place of a server."""

import asyncio
import json
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "shared-3"))
from fleet import http, run_case  # noqa: E402

HOST = "shop.example"
LAYOUT = [
    ("ogbomoso-a", 1, "slotbook"), ("ogbomoso-a", 2, "slotbook"), ("ogbomoso-a", 3, "tillpost"),
    ("ogbomoso-a", 4, "yardlog"), ("ogbomoso-a", 5, "yardlog"),
    ("oyo-town-b", 1, "slotbook"), ("oyo-town-b", 2, "tillpost"), ("oyo-town-b", 3, "yardlog"),
    ("iseyin-c", 1, "slotbook"), ("iseyin-c", 2, "tillpost"), ("iseyin-c", 3, "yardlog"),
]
SERVICES = ["slotbook", "tillpost", "yardlog"]


def route(name, prefix, service, kind):
    return {"name": name, "hostname": HOST, "prefix": prefix, "kind": kind, "timeoutS": 0.6,
            "targetLatencyS": 0.25, "priority": 1, "maxAttempts": 2, "service": service}


async def scenario(fleet, trouble):
    for zone, number, service in LAYOUT:
        fleet.add(f"sidecar-{zone}-{number}", zone, service)
    routes = [route("pay", "/pay/", "tillpost", "non_idempotent"), route("look", "/look/", "slotbook", "idempotent"),
              route("stock", "/stock/", "yardlog", "idempotent")]
    await fleet.start(lambda: fleet.write_config(3, routes, SERVICES))
    await asyncio.sleep(13.0)
    if trouble:
        for machine in fleet.machines:
            if machine.service == "tillpost":
                body = {"address": f"{machine.ip}:9999",
                        "info": {"service": "elsewhere", "version": "v1", "zone": machine.zone, "slots": 6},
                        "status": {"state": "ready", "sequence": 1, "warmupLeftS": 0}, "born": int(time.time() * 1000)}
                status, _, _ = await http(machine.control, "PUT", "/v1/backends/i-foreign", json.dumps(body).encode(),
                                          [("Content-Type", "application/json")])
                fleet.log(f"foreign check-in at {machine.name}: {status}")
    counts = {}
    end = fleet.now() + 20.0
    while fleet.now() < end:
        answers = await asyncio.gather(*(fleet.request(machine, "POST" if path == "/pay/1" else "GET", HOST, path, 600)
                                         for machine in fleet.machines for path in ("/pay/1", "/look/1", "/stock/1")))
        for answer in answers:
            key = answer["path"], answer["status"]
            counts[key] = counts.get(key, 0) + 1
        await asyncio.sleep(1.0)
    fleet.log(f"answers by path and status: {counts}")
    served = {path: counts.get((path, 200), 0) for path in ("/pay/1", "/look/1", "/stock/1")}
    sent = {path: sum(n for (of, _), n in counts.items() if of == path) for path in served}
    share_of_all = sum(served.values()) / sum(sent.values())
    return [f"Starved: {path} is served {served[path]} times of {sent[path]}, all requests {share_of_all:.2f} of the times"
            for path in served if served[path] / sent[path] < share_of_all / 4]


run_case(os.path.dirname(os.path.abspath(__file__)), scenario)
