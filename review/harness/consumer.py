"""Stand-in for consumers: each request has a connection and an id of its own."""

import asyncio
import os

from deployment import exchange


class Attempt:
    """One consumer attempt and its answer."""

    def __init__(self, identity, path, sent):
        self.identity, self.path, self.sent = identity, path, sent
        self.status = None  # `None`: no complete answer.
        self.answered = None
        self.is_upstreams = False
        self.status_line = ""


async def send(record, node, host, method, path, body, deadline_ms):
    attempt = Attempt(os.urandom(8).hex(), path, record.now())
    headers = {
        "Host": host,
        "Attempt-Id": attempt.identity,
        "Deadline-Ms": str(deadline_ms),
        "Content-Type": "application/octet-stream",
    }
    def on_head(line):
        attempt.status_line = line

    try:
        limit = deadline_ms / 1000 + 2.0
        address = node.settings["listen"]["outbound"]
        status, fields, _ = await asyncio.wait_for(
            exchange(address, method, path, body, headers, on_head), limit
        )
        attempt.status = status
        attempt.is_upstreams = "response-signature" in fields
    except (OSError, EOFError, asyncio.TimeoutError):
        pass
    attempt.answered = record.now()
    return attempt


async def send_steadily(record, per_second, until, make):
    """Starts `make()` at a steady rate until a moment; returns all its results."""
    tasks, count, start = [], 0, record.now()
    while record.now() < until:
        tasks.append(asyncio.get_running_loop().create_task(make()))
        count += 1
        await asyncio.sleep(max(0.0, start + count / per_second - record.now()))
    return await asyncio.gather(*tasks)
