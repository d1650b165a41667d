"""A request whose answer is lost is sent again to a server that has left."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(__file__), "..", "harness-2"))
import fleet as f  # noqa: E402

HOST, PATH = "jepu9.example", "/archive/7"
DRAIN_S = f.BOUNDS["drainS"]
LONG_WORK_S = 2.3  # the class takes 0.48 s on average and 2.9 s at most


class Server(f.Upstream):
    """Loses the answer to the first run of one request."""

    trouble = False
    lost = None

    def loses_answer(self, attempt):
        if self.trouble and self.work_s == LONG_WORK_S and self.lost is None:
            self.lost = attempt
            return True
        return False


async def case(fleet, trouble):
    record = fleet.record
    await fleet.start_store()
    await fleet.put_config(f.config_of(
        [["archive-read", HOST, "/archive/", "idempotent", 3.0, 1.2, 2, "plans", 2]],
        ["plans", "trajet"]))
    machines = [await fleet.add_node(zone, "plans") for zone in ("qc-est-a", "qc-est-b")]
    trajet = await fleet.add_node("qc-est-a", "trajet")
    servers = []
    for node in machines:
        server = Server(fleet, node, "plans", 0.48)
        fleet.upstreams.append(server)
        servers.append(server)
        await server.start()
    await fleet.add_upstream(trajet, 0.12)
    for node in fleet.nodes:
        await node.wait_ready()
    await asyncio.sleep(4)
    consumer = f.Consumer(fleet, trajet)
    for _ in range(3):
        await asyncio.gather(*(consumer.send("GET", HOST, PATH, 3000) for _ in range(8)))
    # Eight long requests; the first that ends at the leaving server loses its answer.
    leaving = servers[0]
    leaving.trouble = trouble
    for server in servers:
        server.work_s = LONG_WORK_S
    reached = len(record.of("reaches"))
    requests = [asyncio.create_task(consumer.send("GET", HOST, PATH, 3000)) for _ in range(8)]
    while len(record.of("reaches")) < reached + 8:
        await asyncio.sleep(0.005)
    acknowledged_at = await leaving.say_draining()
    await asyncio.gather(*requests)
    await asyncio.sleep(0.5)
    await leaving.deregister()
    late = [e for e in record.of("reaches", server=leaving.id)
            if e["t"] > acknowledged_at + DRAIN_S]
    return [f"{e['id']} reaches {leaving.id} {e['t'] - acknowledged_at:.3f} s after the ack "
            f"(time {len(record.of('reaches', id=e['id']))}, Deadline-Ms {e['deadline_ms']})"
            for e in late]


sys.exit(f.main(case, __file__))
