"""A small deployment on loopback addresses: the project's node and store programs as
processes, with stand-ins for servers and clients in this process.

Each machine has a loopback address of its own. Nodes are started with the command and the
environment of deploy/system.toml, filled in from settings as the pages state them.
"""

import asyncio
import base64
import itertools
import json
import os
import random
import signal
import socket
import sys
import time
import tomllib

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HEARTBEAT_S = 1.5
BOUNDS = {
    "graceS": 6,
    "drainS": 2,
    "configApplyS": 2,
    "stableWindowS": 3,
    "recoveryS": 15,
}
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutS": 5.0,
    "idleTimeoutS": 10.0,
}


class CannotRun(Exception):
    """The case can't run here."""


def lookup(settings, path):
    value = settings
    for part in path.split("."):
        value = value.get(part) if isinstance(value, dict) else None
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    return str(value)


def fill(text, settings):
    while "{{" in text:
        before, rest = text.split("{{", 1)
        name, after = rest.split("}}", 1)
        text = before + lookup(settings, name) + after
    return text


async def read_message(reader, on_head=None):
    """One HTTP/1.1 message with a length or in chunks: start line, fields, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    body = b""
    if on_head:
        on_head(lines[0], fields)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(fields.get("content-length", "0")))
    return lines[0], fields, body


async def http(address, method, path, body=b"", fields=(), timeout=5.0):
    """A call on a connection of its own: status, fields, body."""
    host, port = address

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            head = f"{method} {path} HTTP/1.1\r\nConnection: close\r\n"
            names = {name.lower() for name, _ in fields}
            if "host" not in names:
                head += f"Host: {host}:{port}\r\n"
            for name, value in fields:
                head += f"{name}: {value}\r\n"
            if body or method in ("POST", "PUT", "DELETE"):
                head += f"Content-Length: {len(body)}\r\n"
            writer.write(head.encode() + b"\r\n" + body)
            await writer.drain()
            start, answer_fields, answer = await read_message(reader)
            return int(start.split()[1]), answer_fields, answer
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Server:
    """Application server beside a node. It runs a request for `work_s`, echoes its id, states
    a signature, and checks in with its node."""

    def __init__(self, fleet, machine, service, work_s=0.02, slots=6):
        self.fleet, self.machine, self.service = fleet, machine, service
        self.work_s, self.slots = work_s, slots
        self.id = "i-%08x" % random.getrandbits(32)
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.running = 0
        self.arrivals = []
        self.runs = []
        self.tasks = []
        self.listener = None

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.machine.ip, self.machine.app_port)
        self.tasks.append(asyncio.create_task(self.check_in_forever()))

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        if self.listener:
            self.listener.close()

    def load(self):
        return f"{self.running},0,{self.slots}"

    async def serve(self, reader, writer):
        try:
            while True:
                start, fields, body = await read_message(reader, self.record_arrival)
                method, path, _ = start.split(" ", 2)
                if path == "/healthz":
                    status = "200 OK" if self.state == "ready" else "503 Service Unavailable"
                    writer.write((f"HTTP/1.1 {status}\r\nInstance-Id: {self.id}\r\nServer-Load: {self.load()}\r\n"
                                  "Content-Length: 0\r\n\r\n").encode())
                    await writer.drain()
                    continue
                await self.run(writer, method, path, fields, body)
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    def record_arrival(self, start, fields):
        if "attempt-id" in fields:
            arrival = {"at": self.fleet.now(), "attempt": fields["attempt-id"], "machine": self.machine.name}
            self.arrivals.append(arrival)
            self.fleet.log(f"{fields['attempt-id']} reaches server {self.id} on {self.machine.name}: {start}")

    async def run(self, writer, method, path, fields, body):
        attempt = fields.get("attempt-id", "")
        common = f"Attempt-Id: {attempt}\r\nServer-Load: {self.load()}\r\n"
        expected = fields.get("expect-instance")
        if expected and expected != self.id:
            writer.write((f"HTTP/1.1 421 Misdirected Request\r\n{common}Instance-Id: {self.id}\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return
        if self.running >= self.slots:
            writer.write((f"HTTP/1.1 503 Service Unavailable\r\n{common}Not-Executed: 1\r\n"
                          "Content-Length: 0\r\n\r\n").encode())
            await writer.drain()
            return
        self.running += 1
        run = {"at": self.fleet.now(), "attempt": attempt, "service": self.service, "server": self.id,
               "machine": self.machine.name, "method": method, "path": path, "fields": fields}
        self.runs.append(run)
        self.fleet.log(f"server {self.id} ({self.service} on {self.machine.name}) runs {attempt} {method} {path}")
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        answer = f"{self.service} {attempt}\n".encode()
        writer.write((f"HTTP/1.1 200 OK\r\n{common}Response-Signature: s.{attempt}\r\n"
                      f"Content-Length: {len(answer)}\r\n\r\n").encode() + answer)
        await writer.drain()

    def check_in(self):
        return json.dumps({
            "address": f"{self.machine.ip}:{self.machine.app_port}",
            "info": {"service": self.service, "version": "v1", "zone": self.machine.zone, "slots": self.slots},
            "status": {"state": self.state, "sequence": next(self.sequence), "warmupLeftS": 0},
            "born": self.born,
        }).encode()

    async def send_check_in(self, body=None):
        try:
            status, _, _ = await http(self.machine.control, "PUT", f"/v1/backends/{self.id}", body or self.check_in(),
                                      [("Content-Type", "application/json")], timeout=1.0)
            return status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None

    async def check_in_forever(self):
        while True:
            await self.send_check_in()
            await asyncio.sleep(HEARTBEAT_S)


class Machine:
    """A machine: its address, its node process and its server."""

    def __init__(self, fleet, name, zone, service, number):
        self.fleet, self.name, self.zone, self.service = fleet, name, zone, service
        self.ip = fleet.ip(number)
        self.app_port = 8301
        self.control = (self.ip, 8306)
        self.entry = (self.ip, 8304)
        self.ready = (self.ip, 8302)
        self.process = None
        self.is_first_start = True
        self.server = Server(fleet, self, service)

    def settings(self):
        return {
            "node": self.name, "region": self.fleet.region, "zone": self.zone, "service": self.service, "ip": self.ip,
            "listen": {"inbound": f"{self.ip}:8300", "outbound": f"{self.ip}:8304", "ready": f"{self.ip}:8302",
                       "control": f"{self.ip}:8306"},
            "platform": {"address": self.fleet.store_text(self)},
            "limits": {"memoryMb": 260, "maxFds": 4100},
            "bounds": self.fleet.bounds,
            "bootstrap": self.is_first_start,
        }

    async def start(self):
        role = self.fleet.role
        settings = self.settings()
        words = [fill(word, settings) for word in role["run"].split()]
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.fleet.folder}
        for name, text in role["env"].items():
            environment[name] = fill(text, settings)
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.fleet.log(f"node {self.name} started, process {self.process.pid}")
        self.is_first_start = False

    async def signal(self, number):
        self.fleet.log(f"node {self.name}: signal {signal.Signals(number).name}")
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            await self.process.wait()


class Fleet:
    """Machines, the store and the operator."""

    def __init__(self, folder, region, bounds=None):
        self.folder, self.region = folder, region
        self.bounds = BOUNDS | (bounds or {})
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.role = tomllib.load(file)["roles"]["node"]
        self.started_at = time.monotonic()
        self.record = []
        self.machines = []
        self.store = None
        self.revision = 0
        self.attempts = itertools.count(1)
        self.prefix = self.free_prefix()

    @staticmethod
    def free_prefix():
        for _ in range(50):
            prefix = f"127.{random.randint(10, 250)}.{random.randint(1, 250)}"
            try:
                for last in (1, 10, 250):
                    with socket.socket() as probe:
                        probe.bind((f"{prefix}.{last}", 8304))
                return prefix
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, number):
        return f"{self.prefix}.{number}"

    def now(self):
        return time.monotonic() - self.started_at

    def log(self, text):
        self.record.append((self.now(), text))

    def add(self, name, zone, service):
        machine = Machine(self, name, zone, service, 10 + len(self.machines))
        self.machines.append(machine)
        return machine

    def store_text(self, _machine):
        return f"{self.ip(250)}:8309"

    async def start_store(self):
        program = os.path.join(ROOT, "target", "release", "standin-store")
        if not os.path.exists(program):
            raise CannotRun("target/release/standin-store is missing: run review/build-3.sh")
        log = open(os.path.join(self.folder, "store.log"), "ab")
        self.store = await asyncio.create_subprocess_exec(
            program, "--listen", f"{self.ip(250)}:8309", stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        for _ in range(100):
            try:
                await http((self.ip(250), 8309), "GET", "/api/kv-range?prefix=op/")
                return
            except OSError:
                await asyncio.sleep(0.05)
        raise CannotRun("the store doesn't start")

    async def write_config(self, version, routes, services, tenants=None):
        """The operator writes a version; returns the time of the store's answer."""
        columns = ["name", "hostname", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "maxAttempts", "service"]
        config = {
            "version": "%08x" % version,
            "routes": {"columns": columns, "rows": [[route.get(column) for column in columns] for route in routes]},
            "services": {"columns": ["name", "maxConnections", "healthCheckPath"],
                         "rows": [[name, 260, "/healthz"] for name in services]},
            "limits": LIMITS,
        }
        if tenants is not None:
            names = ["name", "apiKeys", "ratePerS", "burst"]
            config["tenants"] = {"columns": names, "rows": [[tenant.get(name) for name in names] for tenant in tenants]}
        value = base64.b64encode(json.dumps(config).encode()).decode()
        body = json.dumps({"expected": [], "puts": [{"key": "op/config", "value": value, "lease": 0}], "deletes": []})
        status, _, answer = await http((self.ip(250), 8309), "POST", "/api/kv-txn", body.encode(),
                                       [("Content-Type", "application/json")])
        if status != 200:
            raise CannotRun(f"the store answers {status} to a config")
        acked_at = self.now()
        self.log(f"config version {version} acknowledged by the store: {json.dumps(config['routes']['rows'])}")
        return acked_at

    async def start(self, first_config):
        await self.start_store()
        await first_config()
        for machine in self.machines:
            await machine.server.start()
        for machine in self.machines:
            await machine.start()

    async def request(self, machine, method, host, path, deadline_ms, body=b"", fields=(), attempt=None):
        """A client's request to its own machine's node, on a connection of its own."""
        attempt = attempt or f"{random.getrandbits(32):08x}{next(self.attempts):08x}"
        sent_at = self.now()
        all_fields = [("Host", host), ("Attempt-Id", attempt), ("Deadline-Ms", str(deadline_ms)), *fields]
        try:
            status, answer_fields, answer = await http(machine.entry, method, path, body, all_fields,
                                                       timeout=deadline_ms / 1000 + 1.0)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
            status, answer_fields, answer = None, {}, type(error).__name__.encode()
        result = {"attempt": attempt, "machine": machine.name, "path": path, "sent_at": sent_at, "answered_at": self.now(),
                  "status": status, "fields": answer_fields, "body": answer}
        self.log(f"client on {machine.name} sent {attempt} {method} {host}{path} at {sent_at:.3f} s: {status} {answer[:60]!r}")
        return result

    def runs(self):
        return [run for machine in self.machines for run in machine.server.runs]

    async def end(self):
        for machine in self.machines:
            await machine.server.stop()
        processes = [machine.process for machine in self.machines if machine.process] + [self.store]
        for process in processes:
            if process and process.returncode is None:
                try:
                    process.send_signal(signal.SIGCONT)
                    process.kill()
                    await process.wait()
                except ProcessLookupError:
                    pass

    def write_record(self, path, verdict):
        with open(path, "w", encoding="utf-8") as file:
            for at, text in self.record:
                file.write(f"{at:8.3f} {text}\n".replace(self.prefix, "127.x.y"))
            file.write(verdict + "\n")


def run_case(case_folder, scenario, region="oyo-west", bounds=None, limit_s=110.0):
    """Runs `scenario(fleet, trouble)`, which returns the violations as text. Exit codes: 1 if there
    are any, 0 if there are none, 2 if the case can't run."""
    import tempfile

    trouble = os.environ.get("TROUBLE", "1") != "0"
    record_path = os.path.join(case_folder, "record.txt")
    with tempfile.TemporaryDirectory() as folder:

        async def play():
            fleet = Fleet(folder, region, bounds)
            code, verdict = 2, "not run"
            try:
                violations = await asyncio.wait_for(scenario(fleet, trouble), limit_s)
                code = 1 if violations else 0
                verdict = "\n".join(["broken:", *violations]) if violations else "held"
            except CannotRun as error:
                verdict = f"can't run: {error}"
            except asyncio.TimeoutError:
                verdict = "can't run: time limit"
            finally:
                await fleet.end()
                fleet.write_record(record_path, verdict)
                if os.environ.get("KEEP_LOGS"):
                    import shutil
                    shutil.copytree(folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            print(verdict)
            return code

        try:
            code = asyncio.run(play())
        except Exception as error:  # a fault of the script itself
            print(f"can't run: {error!r}")
            code = 2
    sys.exit(code)
