"""Stand-in for an application upstream, after the users' protocol page."""

import asyncio
import json
import time

from deployment import call

HEALTH_PATH = "/healthz"


class Run:
    """One arrival of a request at an upstream."""

    def __init__(self, attempt, method, path, at):
        self.attempt, self.method, self.path, self.arrived = attempt, method, path, at
        self.started = None
        self.outcome = "waiting"


class Upstream:
    """Serves a fixed number of requests at once and queues a few more."""

    def __init__(self, deployment, node, service, slots, work_s, identity=None):
        self.deployment, self.node, self.service, self.slots = deployment, node, service, slots
        self.work_s = work_s  # Function from a path to the working time.
        self.identity = identity or f"i-{node.name}"
        self.address = node.app_address
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.runs = []
        self.extra_bytes = None  # Function that draws what follows a complete answer late.
        self.extra_count = 0
        self.on_head = None  # Called with a path when the head of its request has been read.
        self.spoil_head = None  # Function from the head of an answer to the bytes that are sent.
        self.is_gone = False
        self.running = 0
        self.slowness = 100  # Working time in percent of the usual, stated in the load field.
        self.queue = []
        self.connections = set()
        self.server = None
        self.beats = None

    @property
    def record(self):
        return self.deployment.record

    async def start(self):
        await self.serve()
        self.beats = asyncio.get_running_loop().create_task(self.beat())

    async def serve(self):
        host, port = self.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: UpstreamConnection(self), host, int(port))
        self.record.write(f"{self.identity}: {self.service} serves")

    async def beat(self):
        while True:
            try:
                await self.check_in(self.next_check_in())
            except (OSError, EOFError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(self.deployment.bounds["heartbeatS"])

    def next_check_in(self):
        self.sequence += 1
        return {
            "address": self.address,
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": self.node.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": self.sequence, "warmupLeftS": 0},
        }

    async def check_in(self, body):
        control = self.node.settings["listen"]["control"]
        status, _, _ = await call(
            control, "PUT", f"/v1/backends/{self.identity}", json.dumps(body).encode(), limit=1.0
        )
        return status

    async def deregister(self):
        """Sends `deregister`; returns the time of its ack, or `None`."""
        self.beats.cancel()
        control = self.node.settings["listen"]["control"]
        body = json.dumps({"born": self.born}).encode()
        status, _, _ = await call(control, "DELETE", f"/v1/backends/{self.identity}", body, limit=1.0)
        return self.record.now() if 200 <= status < 300 else None

    def exit(self):
        """Ends at once; what runs is lost."""
        self.beats.cancel()
        self.server.close()
        lost = [run for run in self.runs if run.outcome == "running"]
        for connection in list(self.connections):
            connection.abort()
        self.record.write(f"{self.identity}: exits, {len(lost)} requests are running")
        return lost

    def load_field(self):
        return f"{self.running},{len(self.queue)},{self.slots},{self.slowness}"

    async def take_slot(self):
        if self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.queue.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.queue:
                self.queue.remove(turn)
            elif turn.done() and not turn.cancelled():
                self.free_slot()
            raise

    def free_slot(self):
        while self.queue:
            turn = self.queue.pop(0)
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class UpstreamConnection(asyncio.Protocol):
    """One request at a time, as on the users' upstreams."""

    def __init__(self, upstream):
        self.upstream = upstream
        self.transport = None
        self.buffer = b""
        self.current = None
        self.run = None
        self.late_bytes = b""  # Arrive at the point where the next answer is expected.

    def connection_made(self, transport):
        self.transport = transport
        self.upstream.connections.add(self)

    def connection_lost(self, error):
        self.upstream.connections.discard(self)
        if self.current and not self.current.done():
            self.current.cancel()

    def abort(self):
        self.transport.abort()

    def data_received(self, data):
        self.buffer += data
        self.parse()

    def parse(self):
        if self.current and not self.current.done():
            return
        end = self.buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self.buffer[:end].decode("latin-1").split("\r\n")
        method, path, _ = lines[0].split(" ")
        fields = {}
        for line in lines[1:]:
            name, text = line.split(":", 1)
            fields[name.lower()] = text.strip()
        if path != HEALTH_PATH and self.run is None:
            self.run = Run(fields.get("attempt-id"), method, path, self.upstream.record.now())
            self.upstream.runs.append(self.run)
            if self.upstream.on_head:
                self.upstream.on_head(path)
        rest = self.buffer[end + 4 :]
        body = take_body(fields, rest)
        if body is None:
            return
        length, _ = body
        self.buffer = rest[length:]
        run, self.run = self.run, None
        self.current = asyncio.get_running_loop().create_task(self.serve(run, method, path, fields))

    async def serve(self, run, method, path, fields):
        upstream = self.upstream
        if path == HEALTH_PATH:
            self.respond(200 if upstream.state == "ready" else 503, {"Instance-Id": upstream.identity}, b"")
            return
        answer = {"Attempt-Id": run.attempt}
        if fields.get("expect-instance", upstream.identity) != upstream.identity:
            run.outcome = "other instance"
            self.respond(421, answer | {"Not-Executed": "1"}, b"")
            return
        try:
            await upstream.take_slot()
        except asyncio.CancelledError:
            run.outcome = "left in the queue"
            raise
        run.started, run.outcome = upstream.record.now(), "running"
        if self.late_bytes and not self.transport.is_closing():
            upstream.extra_count += 1
            upstream.record.write(f"{upstream.identity}: extra bytes arrive where the answer to {run.attempt} is expected")
            self.transport.write(self.late_bytes)
            self.late_bytes = b""
        try:
            left = int(fields.get("deadline-ms", "60000")) / 1000
            work = upstream.work_s(path)
            await asyncio.sleep(min(work, left))
            run.outcome = "done" if work <= left else "out of time"
        except asyncio.CancelledError:
            run.outcome = "cut"
            raise
        finally:
            upstream.free_slot()
        status = 200 if run.outcome == "done" else 504
        self.respond(status, answer | {"Response-Signature": f"sig.{run.attempt}"}, b"ok")
        if upstream.extra_bytes:
            self.late_bytes = upstream.extra_bytes()

    def respond(self, status, fields, body):
        all_fields = fields | {"Server-Load": self.upstream.load_field(), "Content-Length": len(body)}
        if status == 503:
            all_fields.setdefault("Retry-After", "0.1")
        head = f"HTTP/1.1 {status} x\r\n" + "".join(f"{name}: {text}\r\n" for name, text in all_fields.items())
        data = head.encode() + b"\r\n" + body
        if self.upstream.spoil_head and "Response-Signature" in fields:
            data = self.upstream.spoil_head(fields["Attempt-Id"], data)
        if not self.transport.is_closing():
            self.transport.write(data)
        asyncio.get_running_loop().call_soon(self.parse)


def take_body(fields, data):
    """Length and content of a body at the start of `data`; `None` while it is incomplete."""
    if fields.get("transfer-encoding") != "chunked":
        length = int(fields.get("content-length", 0))
        return (length, data[:length]) if len(data) >= length else None
    at, body = 0, b""
    while True:
        line_end = data.find(b"\r\n", at)
        if line_end < 0:
            return None
        size = int(data[at:line_end].split(b";")[0], 16)
        if len(data) < line_end + 4 + size:
            return None
        body += data[line_end + 2 : line_end + 2 + size]
        at = line_end + 4 + size
        if size == 0:
            return at, body
