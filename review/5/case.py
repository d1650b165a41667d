"""DRAIN: a gate goes on starting queued requests long after its upstream has begun to drain.

An upstream turns slow, its slots and the queue of its gate fill, and it is then drained as
planned. With TROUBLE=0 the upstream does not turn slow.
"""

import asyncio
import random
import sys

from consumer import send, send_steadily
from deployment import CannotRun, has_trouble, main
from upstream import Upstream

BOUNDS = {"stableWindowS": 3, "drainS": 2.5, "graceS": 6, "heartbeatS": 1.5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608, "headerTimeoutS": 3, "idleTimeoutS": 15.5}
HOST = "archive.example"
PATH = "/past/"
SLOTS = 16
WORK_S = 0.98
SLOWDOWN = 4  # `srv_slow`: "work x (4) times as long"
SERVES_ON_S = 5.0  # `drainS` "and a little longer (at times many seconds)"
REQUESTS_PER_S = 51  # The three upstreams together serve 49.
DRAIN_AFTER_S = 1.1


async def play(deployment):
    record = deployment.record
    zones = ["qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d", "qc-est-e"]
    plans_nodes = [deployment.add_node(f"side-{n + 1}", zones[n], "qc-est", "plans") for n in range(3)]
    consumer_nodes = [deployment.add_node(f"side-{n + 4}", zones[n], "qc-est", "trajet") for n in range(3)]
    await deployment.write_config(
        version=1,
        routes=[{"name": "archive-read", "hostname": HOST, "prefix": PATH, "kind": "idempotent",
                 "timeoutS": 4, "targetLatencyS": 2.5, "priority": 2, "maxAttempts": 2, "service": "plans"}],
        services=[{"name": name, "healthCheckPath": "/healthz", "maxConnections": 1120} for name in ("plans", "trajet")],
        limits=LIMITS,
    )
    for node in deployment.nodes:
        node.start()
    draw = random.Random(1)
    work = lambda path: WORK_S * draw.uniform(0.98, 1.02)
    plans = [Upstream(deployment, node, "plans", SLOTS, work) for node in plans_nodes]
    trajet = [Upstream(deployment, node, "trajet", SLOTS, work) for node in consumer_nodes]
    for upstream in plans + trajet:
        await upstream.start()
    await deployment.wait_ready()
    await asyncio.sleep(10.0)  # Traffic starts 10 s after the machines do.

    leaving, leaving_node = plans[0], plans_nodes[0]
    ends_at = record.now() + 16.0
    senders = [
        asyncio.create_task(send_steadily(
            record, REQUESTS_PER_S / len(consumer_nodes), ends_at,
            lambda node=node: send(record, node, HOST, "GET", PATH + "1", b"", 6000),
        ))
        for node in consumer_nodes
    ]
    await asyncio.sleep(6.0)
    if has_trouble():
        leaving.work_s = lambda path: SLOWDOWN * work(path)
        record.write(f"{leaving.identity}: turns slow")
    await asyncio.sleep(DRAIN_AFTER_S)

    leaving.state = "draining"
    status = await leaving.check_in(leaving.next_check_in())
    if not 200 <= status < 300:
        raise CannotRun(f"draining was not acknowledged: {status}")
    acked_at = record.now()
    record.write(f"{leaving.identity}: draining acknowledged")
    await asyncio.sleep(SERVES_ON_S)
    await leaving.deregister()
    cut = leaving.exit()
    attempts = [attempt for sent in await asyncio.gather(*senders) for attempt in sent]

    for run in leaving.runs:
        record.write(f"arrival of {run.attempt} at {run.arrived:.3f} at the leaving upstream: {run.outcome}")
    for attempt in attempts:
        record.write(f"attempt {attempt.identity} sent {attempt.sent:.3f} answered {attempt.answered:.3f}: {attempt.status}")
    by_id = {attempt.identity: attempt for attempt in attempts}
    late = [
        run for run in leaving.runs
        if run.arrived > acked_at + BOUNDS["drainS"] and leaving_node.is_in_touch(run.arrived)
        and run.outcome != "other instance"
    ]
    for run in late:
        attempt = by_id[run.attempt]
        record.write(
            f"late: {run.method} {run.attempt} sent {attempt.sent - acked_at:+.3f} s, reached the upstream {run.arrived - acked_at:+.3f} s "
            f"from the ack, answered {attempt.status} after {attempt.answered - attempt.sent:.3f} s"
        )
    counts = {}
    for attempt in attempts:
        counts[attempt.status] = counts.get(attempt.status, 0) + 1
    record.write(f"answers: {counts}; cut at the exit: {len(cut)}")
    print(f"{len(late)} arrivals later than drainS after the ack; answers {counts}")
    return f"{len(late)} requests reached the upstream later than drainS after the ack" if late else None


sys.exit(main(play, BOUNDS))
