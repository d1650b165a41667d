"""Queued calls of one service run at a server of another that took over the address."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "harness-2"))
import fleet as f  # noqa: E402

HOST, PATH = "jepu9.example", "/closures/7"
WORK_S = 0.16
REUSE_AFTER_S = f.BOUNDS["reuseAfterS"]
RATE = 55  # half of what a server of 18 slots can do


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    await fleet.put_config(f.config_of(
        [["closure-filing", HOST, "/closures/", "non_idempotent", 1.2, 0.5, 1, "chantier", 2]],
        ["chantier", "trajet", "plans"]))
    for zone, service in (("qc-est-a", "chantier"), ("qc-est-b", "plans"),
                          ("qc-est-c", "trajet"), ("qc-est-d", "trajet")):
        await fleet.add_node(zone, service)
    servers = [await fleet.add_upstream(node, WORK_S) for node in fleet.nodes]
    for node in fleet.nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    consumer, server = f.Consumer(fleet, fleet.nodes[2]), servers[0]
    requests = []

    async def load(rate, seconds):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            requests.append(asyncio.create_task(consumer.send("POST", HOST, PATH, 1200, b"lane 2 closed")))
            await asyncio.sleep(1 / rate)

    await load(RATE, 3)
    if trouble:
        # The server falls silent: nothing is read or answered, nothing is reset.
        record.add("server-falls-silent", server=server.id)
        server.go_dark()
        await load(RATE, REUSE_AFTER_S + 0.1)
        # Its address goes to a server of another service.
        other = f.Upstream(fleet, server.node, "trajet", 0.12)
        fleet.upstreams.append(other)
        await other.start(server)
        record.add("address-reused", server=other.id, service=other.service)
    await load(RATE, 1.5)
    await asyncio.gather(*requests)
    sent = {e["id"] for e in record.of("sent") if e["path"] == PATH}
    return [f"{e['id']} is sent to chantier and runs at {e['server']} of {e['service']}"
            for e in record.of("runs") if e["id"] in sent and e["service"] != "chantier"]


sys.exit(f.main(case, __file__))
