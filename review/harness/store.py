"""Stand-in for the platform's store, after the users' protocol page.

Reads with `serializable` = 1 may be seconds old: they show the store as it was `stale_s` ago.
"""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit


class Store:
    """Items, leases and the history of both."""

    def __init__(self, record, stale_s=0.0):
        self.record, self.stale_s = record, stale_s
        self.revision = 1
        self.items = {}
        self.events = []  # (revision, key, item or None)
        self.snapshots = [(0.0, 1, {})]
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()

    async def start(self, host):
        self.server = await asyncio.start_server(self.serve, host, 0)
        port = self.server.sockets[0].getsockname()[1]
        self.sweeper = asyncio.get_running_loop().create_task(self.sweep())
        return f"{host}:{port}"

    def put(self, key, value, lease=0):
        created = self.items[key]["createdAt"] if key in self.items else self.revision
        self.items[key] = {"key": key, "value": value, "revision": self.revision, "createdAt": created, "lease": lease}
        self.events.append((self.revision, key, self.items[key]))

    def delete(self, key):
        if self.items.pop(key, None):
            self.events.append((self.revision, key, None))

    def end_change(self):
        self.snapshots.append((time.monotonic(), self.revision, dict(self.items)))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def sweep(self):
        while True:
            await asyncio.sleep(0.1)
            ended = [lease for lease, (_, until) in self.leases.items() if until < time.monotonic()]
            for lease in ended:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.delete(key)
            self.end_change()

    def state(self, is_stale):
        if not is_stale or not self.stale_s:
            return self.revision, self.items
        at = time.monotonic() - self.stale_s
        _, revision, items = next(shot for shot in reversed(self.snapshots) if shot[0] <= at)
        return revision, items

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
                method, target, _ = head[0].split(" ")
                lengths = [line.split(":")[1] for line in head[1:] if line.lower().startswith("content-length")]
                body = await reader.readexactly(int(lengths[0])) if lengths else b""
                status, answer = await self.answer(method, target, json.loads(body) if body else {})
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (EOFError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        is_stale = query.get("serializable") == "1"
        path = parts.path
        if path == "/api/kv-key":
            revision, items = self.state(is_stale)
            item = items.get(query["key"])
            return (200, item | {"asOf": revision}) if item else (404, {"asOf": revision})
        if path == "/api/kv-range":
            revision, items = self.state(is_stale)
            found = sorted(key for key in items if key.startswith(query["prefix"]) and key > query.get("after", ""))
            return 200, {"items": [items[key] for key in found], "hasMore": False, "asOf": revision}
        if path == "/api/kv-watch":
            return await self.watch(query["prefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if path == "/api/kv-txn":
            return self.commit(body)
        if path == "/api/kv-lease":
            self.next_lease += 1
            self.leases[self.next_lease] = (body["ttlS"], time.monotonic() + body["ttlS"])
            return 200, {"lease": self.next_lease, "ttlS": body["ttlS"]}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/api/kv-keep/"):
            ttl, _ = self.leases[lease]
            self.leases[lease] = (ttl, time.monotonic() + ttl)
            return 200, {"ttlS": ttl}
        self.end_lease(lease)
        return 200, {}

    async def watch(self, prefix, after, wait_s):
        ends_at = time.monotonic() + wait_s
        while True:
            found = [event for event in self.events if event[0] > after and event[1].startswith(prefix)]
            left = ends_at - time.monotonic()
            if found or left <= 0:
                events = [
                    item or {"key": key, "revision": revision, "tombstone": True} for revision, key, item in found
                ]
                return 200, {"events": events, "asOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        for row in body.get("expected", []):
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [self.items[row["key"]]] if item else []}
        for put in body.get("puts", []):
            if put.get("lease", 0) and put["lease"] not in self.leases:
                return 404, {}
        self.revision += 1
        for put in body.get("puts", []):
            self.put(put["key"], put["value"], put.get("lease", 0))
        for key in body.get("deletes", []):
            self.delete(key)
        self.end_change()
        return 200, {"revision": self.revision}

    def write_config(self, config):
        """The operator's write; its ack is the return."""
        self.revision += 1
        self.put("op/config", base64.b64encode(json.dumps(config).encode()).decode())
        self.end_change()
