"""DRAIN: a node that is killed forgets the `deregister` that it has acknowledged.

An upstream withdraws, its node acknowledges and is killed and started again. A check-in from
before the withdrawal arrives late at the new process. Only the kill is left out with TROUBLE=0.
"""

import asyncio
import signal
import sys

from consumer import send, send_steadily
from deployment import CannotRun, has_trouble, main
from upstream import Upstream

BOUNDS = {"stableWindowS": 3, "drainS": 2, "graceS": 6, "heartbeatS": 1.5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608, "headerTimeoutS": 3, "idleTimeoutS": 15.5}
HOST = "crew.example"
PATH = "/filing/"
WORK_S = 0.16
REQUESTS_PER_S = 30

LATE_CHECK_IN_S = 2.5  # "A check-in may arrive seconds late."
RESTART_DELAY_S = 0.5  # "is restarted after a short delay"
SERVES_ON_S = 9.0  # `drainS` "and a little longer (at times many seconds)"


async def play(deployment):
    record = deployment.record
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    leaving_node = deployment.add_node("side-1", zones[0], "qc-est", "chantier")
    other_node = deployment.add_node("side-2", zones[1], "qc-est", "chantier")
    consumers_node = deployment.add_node("side-3", zones[2], "qc-est", "trajet")
    await deployment.write_config(
        version=1,
        routes=[{"name": "closure-filing", "hostname": HOST, "prefix": PATH, "kind": "non_idempotent",
                 "timeoutS": 1.2, "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2, "service": "chantier"}],
        services=[{"name": name, "healthCheckPath": "/healthz", "maxConnections": 240} for name in ("chantier", "trajet")],
        limits=LIMITS,
    )
    for node in deployment.nodes:
        node.start()
    leaving = Upstream(deployment, leaving_node, "chantier", 18, lambda path: WORK_S)
    other = Upstream(deployment, other_node, "chantier", 18, lambda path: WORK_S)
    aside = Upstream(deployment, consumers_node, "trajet", 18, lambda path: WORK_S)
    upstreams = [leaving, other, aside]
    for upstream in upstreams:
        await upstream.start()
    await deployment.wait_ready()
    await asyncio.sleep(8.0)  # Traffic starts 8 s after the machines do.

    ends_at = record.now() + 17.0
    traffic = asyncio.create_task(send_steadily(
        record, REQUESTS_PER_S, ends_at,
        lambda: send(record, consumers_node, HOST, "POST", PATH + "1", b"x" * 1200, 1200),
    ))
    await asyncio.sleep(3.0)
    if not any(run.outcome == "done" for run in leaving.runs):
        raise CannotRun("the upstream that shall leave got no request before")

    late_check_in = leaving.next_check_in()
    late_at = record.now() + LATE_CHECK_IN_S
    record.write(f"{leaving.identity}: sends check-in {late_check_in['status']}, which is held up")
    acked_at = await leaving.deregister()
    if acked_at is None:
        raise CannotRun("the withdrawal was not acknowledged")
    record.write(f"{leaving.identity}: deregister acknowledged")
    if has_trouble():
        await asyncio.sleep(0.1)
        leaving_node.signal(signal.SIGKILL)
        await leaving_node.wait_for_exit()
        await asyncio.sleep(RESTART_DELAY_S)
        leaving_node.start()
    await asyncio.sleep(max(0.0, late_at - record.now()))
    status = await leaving.check_in(late_check_in)
    record.write(f"{leaving.identity}: the check-in that was held up arrives, status {status}")
    await asyncio.sleep(max(0.0, acked_at + SERVES_ON_S - record.now()))
    cut = leaving.exit()
    attempts = await traffic

    runs = [(run, "leaving") for run in leaving.runs] + [(run, "other") for run in other.runs]
    for run, where in sorted(runs, key=lambda entry: entry[0].arrived):
        record.write(f"arrival of {run.attempt} at {run.arrived:.3f} at the {where} upstream: {run.outcome}")
    for attempt in attempts:
        record.write(f"attempt {attempt.identity} sent {attempt.sent:.3f} answered {attempt.answered:.3f}: {attempt.status}")

    # DRAIN: reaches the upstream later than `drainS` after the ack, sent on by machines in touch.
    late = [
        run for run in leaving.runs
        if run.arrived > acked_at + BOUNDS["drainS"]
        and leaving_node.is_in_touch(run.arrived) and consumers_node.is_in_touch(run.arrived)
        and run.outcome != "other instance"
    ]
    by_id = {attempt.identity: attempt for attempt in attempts}
    lost = [by_id[run.attempt] for run in cut if run in late]
    statuses = sorted({str(attempt.status) for attempt in lost})
    record.write(f"ack at {acked_at:.3f}; {len(late)} later arrivals count; {len(lost)} of them cut by the exit, answered {statuses}")
    print(f"{len(late)} arrivals later than drainS after the ack, {len(lost)} of them lost at the exit ({statuses})")
    return f"{len(late)} requests reached the upstream later than drainS after the ack" if late else None


sys.exit(main(play, BOUNDS))
