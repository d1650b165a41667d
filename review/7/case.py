"""An acknowledged departure is forgotten when the store is silent and the processes are killed."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "harness-2"))
import fleet as f  # noqa: E402

HOST, PATH = "jepu9.example", "/routes/7"
DRAIN_S, TOUCH_S = f.BOUNDS["drainS"], f.BOUNDS["stableWindowS"]
ZONES = ["qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"]


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    await fleet.put_config(f.config_of(
        [["route-check", HOST, "/routes/", "idempotent", 1.0, 0.4, 2, "trajet", 2]],
        ["trajet", "plans"]))
    for zone in ZONES[:2]:
        await fleet.add_node(zone, "trajet")
    for zone in ZONES[2:]:
        await fleet.add_node(zone, "plans")
    servers = [await fleet.add_upstream(node, 0.12) for node in fleet.nodes]
    for node in fleet.nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    leaving, consumer = servers[0], f.Consumer(fleet, fleet.nodes[3])
    requests = []

    async def load():
        while True:
            requests.append(asyncio.create_task(consumer.send("GET", HOST, PATH, 1000)))
            await asyncio.sleep(0.05)

    sending = asyncio.create_task(load())
    await asyncio.sleep(2)
    # A check-in that arrives seconds late; the server sends none after it leaves.
    late_check_in = leaving.announcement()
    leaving.beats.cancel()
    if trouble:
        record.add("store-falls-silent")
        fleet.proxy.silence()
        await asyncio.sleep(0.2)
    acknowledged_at = await leaving.deregister()
    back_at = record.now()
    if trouble:
        # All processes are killed at once and start again after a short delay.
        await asyncio.gather(*(node.kill() for node in fleet.nodes))
        await asyncio.sleep(0.5)
        for node in fleet.nodes:
            await node.start()
        back_at = record.now()
        await asyncio.sleep(0.8)
        fleet.proxy.restore()
        record.add("store-is-back")
        back_at = record.now()
        for node in fleet.nodes:
            await node.wait_ready()
    else:
        await asyncio.sleep(1.3)
    status, _, _ = await f.http_call(leaving.node.address("control"), "PUT",
                                     f"/v1/backends/{leaving.id}", late_check_in, 2.0)
    record.add("late-check-in", server=leaving.id, status=status)
    await asyncio.sleep(7)
    sending.cancel()
    await asyncio.gather(*requests)
    binding_from = max(acknowledged_at + DRAIN_S, back_at + TOUCH_S)
    late = [e for e in record.of("reaches", server=leaving.id) if e["t"] > binding_from]
    if not late:
        return []
    return [f"{len(late)} requests reach {leaving.id}, {late[0]['t'] - acknowledged_at:.2f} s to "
            f"{late[-1]['t'] - acknowledged_at:.2f} s after its deregistration was acknowledged"]


sys.exit(f.main(case, __file__))
