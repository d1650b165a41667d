"""BUDGET: an upload that crashes its upstreams before it is in is sent to ever new ones.

The upload is sent in chunks and comes again, with the same path and body. Each upstream crashes
as it begins to run it, before the body is in, and is back after some seconds. With TROUBLE=0 the
upload crashes nothing.
"""

import asyncio
import os
import sys

from consumer import send, send_steadily
from deployment import CannotRun, has_trouble, main
from upstream import Upstream

BOUNDS = {"stableWindowS": 3, "drainS": 2, "graceS": 6, "heartbeatS": 1.5}
LIMITS = {"maxHeaderBytes": 16384, "maxBodyBytes": 8388608, "headerTimeoutS": 3, "idleTimeoutS": 15.5}
HOST = "crew.example"
UPLOAD_PATH, ORDER_PATH = "/plan/site-7", "/note/1"
BODY = b"p" * 150_000
PIECE_BYTES, PIECE_PAUSE_S = 15_000, 0.03
POISON_EVERY_S, POISON_FOR_S = 2.3, 20.0  # 0.03 of the 14.6 uploads a second, for 20 s.
CRASH_AFTER_S, DOWN_S = 0.03, 3.0
ALLOWED_RETRIES = 3


async def send_in_chunks(record, node):
    """One consumer attempt whose body arrives piece by piece."""
    identity = os.urandom(8).hex()
    host, port = node.settings["listen"]["outbound"].rsplit(":", 1)
    status = "no answer"
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST {UPLOAD_PATH} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {identity}\r\nDeadline-Ms: 1200\r\n"
            "Content-Type: image/jpeg\r\nTransfer-Encoding: chunked\r\n\r\n".encode()
        )
        answer = asyncio.create_task(reader.readline())
        for at in range(0, len(BODY), PIECE_BYTES):
            piece = BODY[at : at + PIECE_BYTES]
            writer.write(b"%x\r\n" % len(piece) + piece + b"\r\n")
            await asyncio.wait([answer], timeout=PIECE_PAUSE_S)
            if answer.done():
                break
        else:
            writer.write(b"0\r\n\r\n")
        status = (await asyncio.wait_for(answer, 2.0)).decode("latin-1").strip()
        writer.close()
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    record.write(f"upload {identity} at {node.name}: {status}")
    return status


async def play(deployment):
    record = deployment.record
    zones = ["qc-est-a", "qc-est-b", "qc-est-c", "qc-est-d"]
    nodes = [deployment.add_node(f"side-{n + 1}", zones[n], "qc-est", "plans") for n in range(4)]
    consumer_nodes = [deployment.add_node(f"side-{n + 5}", zones[n], "qc-est", "trajet") for n in range(2)]
    route = {"hostname": HOST, "timeoutS": 1.2, "targetLatencyS": 0.5, "priority": 1, "maxAttempts": 2, "service": "plans"}
    await deployment.write_config(
        version=1,
        routes=[route | {"name": "plan-upload", "prefix": "/plan/", "kind": "upload"},
                route | {"name": "note", "prefix": "/note/", "kind": "non_idempotent"}],
        services=[{"name": name, "healthCheckPath": "/healthz", "maxConnections": 240} for name in ("plans", "trajet")],
        limits=LIMITS,
    )
    for node in deployment.nodes:
        node.start()
    lifetimes, crashes = [], []

    async def start_upstream(node, number):
        upstream = Upstream(deployment, node, node.service, 18, lambda path: 0.14, identity=f"i-{node.name}-{number}")
        lifetimes.append(upstream)
        if has_trouble():
            upstream.on_head = lambda path: path == UPLOAD_PATH and asyncio.create_task(crash(upstream, node, number))
        await upstream.start()

    async def crash(upstream, node, number):
        await asyncio.sleep(CRASH_AFTER_S)
        if upstream.is_gone:
            return
        upstream.is_gone = True
        crashes.append((record.now(), upstream.exit()))
        await asyncio.sleep(DOWN_S)
        await start_upstream(node, number + 1)

    for node in deployment.nodes:
        await start_upstream(node, 1)
    await deployment.wait_ready()
    await asyncio.sleep(8.0)  # Traffic starts 8 s after the machines do.

    started_at = record.now()
    orders = [
        asyncio.create_task(send_steadily(
            record, 20, started_at + 3.0 + POISON_FOR_S,
            lambda node=node: send(record, node, HOST, "POST", ORDER_PATH, b"x" * 400, 1200),
        ))
        for node in consumer_nodes
    ]
    await asyncio.sleep(3.0)
    uploads, number = [], 0
    while record.now() < started_at + 3.0 + POISON_FOR_S:
        uploads.append(asyncio.create_task(send_in_chunks(record, consumer_nodes[number % 2])))
        number += 1
        await asyncio.sleep(POISON_EVERY_S)
    await asyncio.gather(*uploads)
    attempts = [attempt for sent in await asyncio.gather(*orders) for attempt in sent]

    arrivals = sorted(
        (run.arrived, upstream.identity) for upstream in lifetimes for run in upstream.runs if run.path == UPLOAD_PATH
    )
    for at, identity in arrivals:
        record.write(f"upload reached {identity} at {at:.3f}")
    if has_trouble() and len(crashes) < 3:
        raise CannotRun("the upload did not crash three upstreams")
    statuses = {}
    for attempt in attempts:
        statuses[attempt.status] = statuses.get(attempt.status, 0) + 1
    cut = sum(1 for _, lost in crashes for run in lost if run.path == ORDER_PATH)
    late = [at for at, _ in arrivals if has_trouble() and at > crashes[2][0] + BOUNDS["stableWindowS"]]
    record.write(f"crashes {len(crashes)}; orders: {statuses}, {cut} of them cut by crashes")
    print(f"{len(crashes)} crashes, {len(arrivals)} arrivals of the upload, {len(late)} count; orders {statuses}, {cut} cut by crashes")
    if len(late) <= ALLOWED_RETRIES:
        return None
    return f"an upload under which three upstreams had ended was sent to upstreams {len(late)} times more"


sys.exit(main(play, BOUNDS))
