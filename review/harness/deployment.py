"""Starts a small deployment on loopback addresses with the commands of the deploy file.

The nodes and the store are processes of the project. Upstreams and consumers are stand-ins
in the process of the script, so that one clock covers all that they see.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

REPOSITORY = Path(__file__).resolve().parents[2]
BIN = REPOSITORY / "target" / "release"
PORTS = {"inbound": 8300, "outbound": 8304, "ready": 8302, "control": 8306}
APP_PORT = 8301

EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case could not be played; says nothing about the rule."""


class Record:
    """Log of what was sent, answered and run, with the time since the start."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():8.3f}  {text}\n")
        self.file.flush()


def render(text, settings):
    """Fills the placeholders of the deploy file; one without a value becomes empty."""

    def value(match):
        found = settings
        for part in match.group(1).split("."):
            found = found.get(part) if isinstance(found, dict) else None
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


class Node:
    """Process of one `sidecar` machine."""

    def __init__(self, deployment, name, zone, region, service, ip):
        self.deployment, self.name, self.service, self.ip = deployment, name, service, ip
        self.zone = zone
        self.app_address = f"{ip}:{APP_PORT}"
        self.settings = {
            "node": name,
            "zone": zone,
            "region": region,
            "ip": ip,
            "service": service,
            "appAddr": self.app_address,
            "listen": {role: f"{ip}:{port}" for role, port in PORTS.items()},
            "platform": {"address": deployment.store_address},
            "bounds": deployment.bounds,
        }
        self.process = None
        self.starts = 0
        self.last_disturbed = 0.0

    def start(self):
        role = self.deployment.role
        words = [render(word, self.settings) for word in role["run"].split(" ")]
        words[0] = str(REPOSITORY / words[0])
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        extra = {name: render(text, self.settings) for name, text in role.get("env", {}).items()}
        self.starts += 1
        log = open(self.deployment.folder / f"{self.name}-{self.starts}.log", "wb")
        self.process = subprocess.Popen(
            words, cwd=REPOSITORY, env=kept | extra, stdin=subprocess.DEVNULL, stdout=log, stderr=log
        )
        log.close()
        self.last_disturbed = self.deployment.record.now()
        self.deployment.record.write(f"{self.name}: process started")

    def signal(self, number):
        self.last_disturbed = self.deployment.record.now()
        self.deployment.record.write(f"{self.name}: {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_in_touch(self, at):
        """Whether the machine was calm for the whole `stableWindowS` before a moment."""
        return at - self.last_disturbed > self.deployment.bounds["stableWindowS"]

    async def wait_for_exit(self):
        while self.process.poll() is None:
            await asyncio.sleep(0.01)


class Deployment:
    """Store, nodes and the operator."""

    def __init__(self, record, bounds):
        self.record, self.bounds = record, bounds
        self.folder = Path(tempfile.mkdtemp(prefix="currantlift-review-"))
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text(encoding="utf-8"))
        self.role = deploy["roles"]["node"]
        self.nodes = []
        self.store = None
        self.store_address = None
        # Addresses of a subnet of the loopback network that is drawn for each run.
        self.subnet = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"

    def start_store(self):
        for program in ("currantlift-node", "standin-store"):
            if not (BIN / program).exists():
                raise CannotRun(f"{program} is not built")
        log = open(self.folder / "store.err", "wb")
        self.store = subprocess.Popen(
            [str(BIN / "standin-store"), "--listen", f"{self.subnet}.1:0"],
            cwd=REPOSITORY, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=log,
        )
        self.store_address = self.store.stdout.readline().decode().strip()
        if not self.store_address:
            raise CannotRun("the store did not start")

    def add_node(self, name, zone, region, service):
        node = Node(self, name, zone, region, service, f"{self.subnet}.{10 + len(self.nodes)}")
        self.nodes.append(node)
        return node

    async def write_config(self, version, routes, services, limits):
        config = {
            "version": f"{version:08x}",
            "routes": table(routes),
            "services": table(services),
            "limits": limits,
        }
        value = base64.b64encode(json.dumps(config).encode()).decode()
        body = json.dumps({"expected": [], "puts": [{"key": "op/config", "value": value, "lease": 0}], "deletes": []})
        status, _, _ = await call(self.store_address, "POST", "/api/kv-txn", body.encode())
        if status != 200:
            raise CannotRun(f"the store refused the config: {status}")
        self.record.write(f"operator: config {version:08x} acknowledged")

    async def wait_ready(self, limit=15.0):
        ends_at = time.monotonic() + limit
        for node in self.nodes:
            while True:
                try:
                    status, _, _ = await call(node.settings["listen"]["ready"], "GET", "/v1/health")
                except OSError:
                    status = None
                if status == 200:
                    break
                if node.process.poll() is not None or time.monotonic() > ends_at:
                    raise CannotRun(f"{node.name} is not ready: {status}")
                await asyncio.sleep(0.05)

    def stop(self):
        """Ends all processes that were started, by their handles."""
        processes = [node.process for node in self.nodes if node.process] + [self.store]
        for process in processes:
            if process and process.poll() is None:
                process.kill()
                process.wait()
        if os.environ.get("KEEP_LOGS"):
            print(f"logs of the processes: {self.folder}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def table(rows):
    columns = list(dict.fromkeys(name for row in rows for name in row))
    return {"columns": columns, "rows": [[row.get(name) for name in columns] for row in rows]}


async def call(address, method, path, body=b"", headers=(), limit=3.0):
    """One request on a connection of its own; returns status, fields and body."""
    return await asyncio.wait_for(exchange(address, method, path, body, headers), limit)


async def exchange(address, method, path, body, headers, on_head=lambda line: None):
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        fields = {"Host": address, "Connection": "close", **dict(headers)}
        if body:
            fields["Content-Length"] = str(len(body))
            fields.setdefault("Content-Type", "application/json")
        head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {text}\r\n" for name, text in fields.items())
        writer.write(head.encode() + b"\r\n" + body)
        return await read_response(reader, on_head)
    finally:
        writer.close()


async def read_response(reader, on_head):
    """Reads one response; raises `EOFError` if it is not complete.

    `on_head` is called with the status line as it arrived.
    """
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    on_head(lines[0])
    status = int(lines[0].split(" ")[1])
    fields = {}
    for line in lines[1:]:
        if line:
            name, text = line.split(":", 1)
            fields[name.lower()] = text.strip()
    if fields.get("transfer-encoding") == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return status, fields, body
    return status, fields, await reader.readexactly(int(fields.get("content-length", 0)))


def has_trouble():
    """Whether the script plays the disruption; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(play, bounds):
    """Plays a case; `play(deployment)` returns why the rule was broken, or `None`."""
    # The processes are ended as well if the script is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
    record = Record(Path(sys.argv[1]) / "record.txt")
    deployment = Deployment(record, bounds)
    try:
        deployment.start_store()
        broken = asyncio.run(play(deployment))
    except Exception as error:  # Whatever fails in the script says nothing about the rule.
        record.write(f"case could not run: {error!r}")
        print(f"case could not run: {error!r}")
        return EXIT_NOT_RUN
    finally:
        deployment.stop()
    record.write(f"verdict: {'broken: ' + broken if broken else 'held'}")
    print(f"broken: {broken}" if broken else "held")
    return EXIT_BROKEN if broken else EXIT_HELD
