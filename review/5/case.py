"""MIXED: a spoiled status of an upstream reaches the consumer as bytes that are no answer.

Some answers of an upstream are spoiled in one byte: the first digit of the status is 0. With
TROUBLE=0 no answer is spoiled.
"""

import asyncio
import random
import re
import sys

from consumer import send, send_steadily
from deployment import CannotRun, has_trouble, main
from upstream import Upstream

BOUNDS = {"stableWindowS": 3, "drainS": 2, "graceS": 6, "heartbeatS": 1.5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608, "headerTimeoutS": 3, "idleTimeoutS": 15.5}
HOST = "crew.example"
PATH = "/filing/"
REQUESTS_PER_S = 55  # As of `closure-filing`.
GARBLE_X, GARBLE_FOR_S = 0.02, 5.5  # `garble`: share = 0.35, x = 0.02, for_s = 5.5
# RFC 9112, section 4: a status code has three digits; RFC 9110, section 15: from 100 on.
ANSWER_LINE = re.compile(r"HTTP/1\.[01] [1-9][0-9]{2}( .*)?")


async def play(deployment):
    record = deployment.record
    zones = ["qc-est-a", "qc-est-b", "qc-est-c"]
    nodes = [deployment.add_node(f"side-{n + 1}", zones[n], "qc-est", "chantier") for n in range(3)]
    consumers_node = deployment.add_node("side-4", zones[0], "qc-est", "trajet")
    await deployment.write_config(
        version=1,
        routes=[{"name": "closure-filing", "hostname": HOST, "prefix": PATH, "kind": "non_idempotent",
                 "timeoutS": 1.2, "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2, "service": "chantier"}],
        services=[{"name": name, "healthCheckPath": "/healthz", "maxConnections": 240} for name in ("chantier", "trajet")],
        limits=LIMITS,
    )
    for node in deployment.nodes:
        node.start()
    draw = random.Random(1)
    work = lambda path: 0.16 * draw.uniform(0.7, 1.3)
    upstreams = [Upstream(deployment, node, node.service, 18, work) for node in deployment.nodes]
    for upstream in upstreams:
        await upstream.start()
    await deployment.wait_ready()
    await asyncio.sleep(8.0)  # Traffic starts 8 s after the machines do.

    ends_at = record.now() + 3.0 + GARBLE_FOR_S + 2.0
    traffic = asyncio.create_task(send_steadily(
        record, REQUESTS_PER_S, ends_at,
        lambda: send(record, consumers_node, HOST, "POST", PATH + "1", b"x" * 1200, 1200),
    ))
    await asyncio.sleep(3.0)
    spoiled = set()

    def spoil(attempt, data):
        if draw.random() >= GARBLE_X:
            return data
        spoiled.add(attempt)
        return data.replace(b"HTTP/1.1 2", b"HTTP/1.1 0", 1)

    if has_trouble():
        upstreams[0].spoil_head = spoil  # A share of 0.33 of the service.
        record.write("one of three upstreams garbles")
    await asyncio.sleep(GARBLE_FOR_S)
    upstreams[0].spoil_head = None
    attempts = await traffic

    mixed, counts = [], {}
    for attempt in attempts:
        mark = "; spoiled by the upstream" if attempt.identity in spoiled else ""
        record.write(f"{attempt.identity} sent {attempt.sent:.3f} answered {attempt.answered:.3f}: {attempt.status_line!r}{mark}")
        if attempt.status_line and not ANSWER_LINE.fullmatch(attempt.status_line):
            mixed.append(attempt)
        counts[attempt.status_line] = counts.get(attempt.status_line, 0) + 1
    if has_trouble() and not spoiled:
        raise CannotRun("no answer was spoiled")
    record.write(f"answers: {counts}")
    print(f"{len(mixed)} consumers got bytes that are no answer; {len(spoiled)} answers were spoiled; {counts}")
    return f"{len(mixed)} consumers got bytes that are no answer in the protocol" if mixed else None


sys.exit(main(play, BOUNDS))
