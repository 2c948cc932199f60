"""Stand-ins for the cases of the second review: store, servers, clients and daemons.

Everything listens on loopback addresses. The daemons are real processes, started with the
command of the deploy file; each has an address of its own in 127.0.0.0/8.
"""

import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
GATE = "target/release/chestnutlane-gate"
HOST = "letters.example"

BROKEN, HELD, CANNOT_RUN = 1, 0, 2


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """The lines of record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, *words):
        at = time.monotonic() - self.start
        self.file.write("%8.3f  %s\n" % (at, " ".join(str(word) for word in words)))
        self.file.flush()


def net(index):
    """A loopback address for machine `index`, in a net drawn once for the run."""
    return "127.%d.%d.%d" % (NET[0], NET[1], index)


NET = (random.randint(16, 250), random.randint(1, 250))


def free_port(ip):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return probe.getsockname()[1]


# --- HTTP ---


class Head:
    def __init__(self, first, fields, raw):
        self.first, self.fields, self.raw = first, fields, raw

    def get(self, name, default=None):
        for key, value in self.fields:
            if key == name:
                return value
        return default


async def read_head(reader):
    """Reads a message head; None at the end of the connection."""
    raw = b""
    while True:
        line = await reader.readline()
        if not line:
            if raw:
                raise ConnectionError("closed within a head")
            return None
        raw += line
        if line in (b"\r\n", b"\n"):
            break
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if ":" in line:
            key, value = line.split(":", 1)
            fields.append((key.strip().lower(), value.strip()))
    return Head(lines[0], fields, raw)


async def read_chunks(reader, on_data=None):
    body = b""
    while True:
        size = int((await reader.readuntil(b"\n")).split(b";")[0].strip(), 16)
        if size == 0:
            while (await reader.readuntil(b"\n")) not in (b"\r\n", b"\n"):
                pass
            return body
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        body += data
        if on_data:
            on_data(data)


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    length = int(head.get("content-length", "0"))
    return await reader.readexactly(length) if length else b""


def message(first, fields, body=b""):
    lines = [first] + ["%s: %s" % field for field in fields]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, value):
    body = json.dumps(value).encode()
    return message(
        "HTTP/1.1 %d X" % status,
        [("Content-Type", "application/json"), ("Content-Length", len(body))],
        body,
    )


# --- the platform's store ---


class Store:
    """Keeps rows as the page tells; a fault function may delay or drop calls."""

    def __init__(self, record):
        self.record, self.rows, self.version = record, {}, 0
        self.changed = asyncio.Condition()
        self.start = time.monotonic()
        self.history_from = 0
        #: Called as `await fault(kind, peer_ip, perform, body)`; returns bytes or None to drop.
        self.fault = None
        self.log = []

    async def open(self):
        self.ip = net(200)
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        return self

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                method, path, _ = head.first.split(" ", 2)
                perform = lambda: self.answer(method, path, body)
                if self.fault:
                    answer = await self.fault(method + " " + path, peer, perform, body)
                else:
                    answer = await perform()
                if answer is None:
                    # Nothing further is delivered on this connection.
                    await asyncio.sleep(30)
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def meta(self):
        now = int((time.monotonic() - self.start) * 1000)
        return {"schema_ver": self.version, "now_ms": now}

    @staticmethod
    def shown(row):
        table, part, key, value, version, deleted = row
        shown = {"table": table, "part": part, "key": key, "schema_ver": version}
        if deleted:
            shown["deleted"] = True
        else:
            shown["value"] = base64.b64encode(value).decode()
        return shown

    async def answer(self, method, path, body):
        path, _, query = path.partition("?")
        args = dict(field.split("=", 1) for field in query.split("&") if "=" in field)
        args = {key: unquote(value) for key, value in args.items()}
        if (method, path) == ("POST", "/v1/rows-tx"):
            return await self.commit(json.loads(body))
        if path == "/v1/rows-get":
            table, first = args["table"], args.get("from", "")
            rows = [
                row for row in sorted(self.rows.values(), key=lambda row: row[2])
                if row[0] == table and not row[5] and row[2] >= first
            ]
            limit = 500
            return json_response(200, {
                "rows": [self.shown(row) for row in rows[:limit]],
                "has_more": len(rows) > limit, **self.meta(),
            })
        if path == "/v1/rows-feed":
            return await self.feed(args)
        return json_response(404, {})

    async def feed(self, args):
        table, after = args["table"], int(args["after"])
        if after < self.history_from:
            return json_response(410, self.meta())
        deadline = time.monotonic() + int(args.get("wait_ms", "0")) / 1000
        while True:
            rows = [row for row in self.rows.values() if row[0] == table and row[4] > after]
            left = deadline - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row[4])
                return json_response(
                    200, {"rows": [self.shown(row) for row in rows], **self.meta()})
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    def version_of(self, row):
        held = self.rows.get((row["table"], row.get("part", ""), row["key"]))
        return 0 if held is None or held[5] else held[4]

    async def commit(self, tx):
        checks = tx.get("precondition", [])
        if any(self.version_of(row) != row["schema_ver"] for row in checks):
            return json_response(412, {"rows": [], **self.meta()})
        writes = tx.get("writes", []) + tx.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in writes):
            return json_response(403, {})
        self.version += 1
        for row in tx.get("writes", []):
            self.set(row["table"], row["key"], base64.b64decode(row["value"]))
        for row in tx.get("remove", []):
            self.set(row["table"], row["key"], None)
        await self.notify()
        return json_response(200, self.meta())

    def set(self, table, key, value):
        row = (table, "", key, value, self.version, value is None)
        self.rows[(table, "", key)] = row

    async def put(self, table, key, value):
        """A write of the operator or of a server."""
        self.version += 1
        self.set(table, key, None if value is None else json.dumps(value).encode())
        await self.notify()

    def get(self, table, key):
        row = self.rows.get((table, "", key))
        return None if row is None or row[5] else json.loads(row[3])

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()


def unquote(text):
    from urllib.parse import unquote_to_bytes
    return unquote_to_bytes(text).decode()


# --- servers ---


class Server:
    """A server of a service; `respond(self, head, body, writer)` answers a request."""

    def __init__(self, store, record, index, service, respond, slots=6, extra=None):
        self.store, self.record, self.service = store, record, service
        self.respond, self.slots, self.extra = respond, slots, extra or {}
        self.name = "i-%08x" % random.getrandbits(32)
        self.ip = net(100 + index)
        self.runs = []
        self.state = "ready"
        self.tasks = set()

    async def open(self):
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(
            self.serve, self.ip, self.port, limit=1 << 20)
        self.born = int(time.time() * 1000)
        self.seq = 0
        await self.register()
        self.heartbeat = asyncio.ensure_future(self.beat())
        return self

    async def beat(self):
        while True:
            await asyncio.sleep(1.2)
            await self.register()

    async def register(self):
        entry = {
            "service": self.service, "address": "%s:%d" % (self.ip, self.port),
            "zone": "tema-hall", "version": "v1", "slots": self.slots, "state": self.state,
            "cold_ms": 0, "seq": self.seq, "born": self.born, **self.extra,
        }
        if self.store.get("servers", self.name) != entry:
            await self.store.put("servers", self.name, entry)

    async def serve(self, reader, writer):
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                body = await read_body(reader, head)
                target = head.get("x-target-instance")
                if target and target != self.name:
                    writer.write(message("HTTP/1.1 421 Misdirected Request", [
                        ("X-Not-Executed", "1"), ("X-Instance-Id", self.name),
                        ("X-Request-Id", head.get("x-request-id", "")),
                        ("Content-Length", "0")]))
                    await writer.drain()
                    continue
                await self.respond(self, head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.tasks.discard(task)
            writer.close()

    def crash(self):
        """Ends the server: all connections are reset, and the port refuses others."""
        self.server.close()
        self.heartbeat.cancel()
        for task in list(self.tasks):
            task.cancel()


def seal(head, body):
    return "seal.%s.%d" % (head.get("x-request-id"), len(body))


def plain_answer(head, body):
    """A whole answer with its signature."""
    return message("HTTP/1.1 200 OK", [
        ("X-Request-Id", head.get("x-request-id")), ("X-Response-Seal", seal(head, body)),
        ("Content-Type", "application/octet-stream"), ("Content-Length", len(body))], body)


# --- daemons ---


class Daemon:
    def __init__(self, record, directory, store, index, zone="tema-hall", **changes):
        self.record, self.index = record, index
        self.ip = net(index)
        self.vm = "front-%s-%d" % (zone, index)
        ports = {name: free_port(self.ip)
                 for name in ("callers", "readiness", "directory", "metrics")}
        self.caller, self.readiness = ports["callers"], ports["readiness"]
        self.directory, self.metrics = ports["directory"], ports["metrics"]
        address = lambda port: "%s:%d" % (self.ip, port)
        settings = {
            "vm": self.vm, "domain": zone, "ip": self.ip,
            "callers": address(self.caller), "readiness": address(self.readiness),
            "directory": address(self.directory), "metrics": address(self.metrics),
            "ports": [7380, 7395], "store": "%s:%d" % (store.ip, store.port),
            "cores": 0.25, "memory_mb": 260, "descriptors": 4100,
            "bounds": {
                "stop_s": 8, "directory_s": 5, "retry_ratio": 0.2, "retry_slack": 52,
                "retry_window_s": 10, "fenced": True, "turn_ms": 3000, "apply_ms": 2000,
                "leave_ms": 2000, "load_window_s": 5, "load_overshoot": 1.1,
            },
            "policy": {
                "server_speeds": True, "late_binding": True, "early_refusal": True,
                "account_shares": True, "yielding": True, "server_pace": True,
            },
        }
        settings["bounds"].update(changes.get("bounds", {}))
        settings.update({key: value for key, value in changes.items() if key != "bounds"})
        self.settings = os.path.join(directory, self.vm + ".jsonc")
        self.log = os.path.join(directory, self.vm + ".log")
        with open(self.settings, "w") as out:
            json.dump(settings, out)
        self.process = None

    async def start(self):
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env["CHESTNUTLANE_CONFIG"] = self.settings
        with open(self.log, "a") as log:
            self.process = await asyncio.create_subprocess_exec(
                GATE, "run", cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)
        self.record("daemon", self.vm, "started")
        return self

    def signal(self, number):
        self.record("daemon", self.vm, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.readiness)
            writer.write(message("GET /v1/readiness HTTP/1.1", [("Host", "x")]))
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head.first
        except (OSError, asyncio.TimeoutError, ConnectionError):
            return False

    async def wait_ready(self, limit=15):
        deadline = time.monotonic() + limit
        while time.monotonic() < deadline:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CannotRun("%s did not become ready" % self.vm)

    async def wait_end(self, limit):
        try:
            code = await asyncio.wait_for(self.process.wait(), limit)
            self.record("daemon", self.vm, "ended with", code)
            return code
        except asyncio.TimeoutError:
            return None

    async def kill(self):
        if self.process and self.process.returncode is None:
            try:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            except ProcessLookupError:
                pass
            await self.process.wait()


# --- the operator ---


def configuration(routes, services, version=5):
    return {
        "version": version, "routes": routes, "services": services,
        "limits": {"header_bytes": 16384, "max_body_bytes": 1000000,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


def route(name, kind, service, **fields):
    return {
        "name": name, "host": HOST, "prefix": "/%s/" % name, "kind": kind,
        "timeout_ms": 8000, "slo_ms": 600, "priority": 1, "service": service,
        "max_attempts": 1, "sticky": False, "resumable": False, **fields,
    }


# --- the run of a case ---


class World:
    """What a case is played in; ends all processes that it started."""

    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.directory = tempfile.mkdtemp(prefix="review-")
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.daemons = []

    async def open_store(self):
        self.store = await Store(self.record).open()
        return self.store

    def daemon(self, index, **changes):
        daemon = Daemon(self.record, self.directory, self.store, index, **changes)
        self.daemons.append(daemon)
        return daemon

    async def close(self):
        for daemon in self.daemons:
            await daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.directory, keep, dirs_exist_ok=True)
        shutil.rmtree(self.directory, ignore_errors=True)


def main(folder, play, limit=110):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it can't run."""

    async def run():
        world = World(folder)
        try:
            return await asyncio.wait_for(play(world), limit)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            world.record("the case could not run:", repr(error))
            return CANNOT_RUN
        finally:
            await world.close()

    if not os.path.exists(os.path.join(ROOT, GATE)):
        print("build the program of the deploy file first", file=sys.stderr)
        sys.exit(CANNOT_RUN)
    code = asyncio.run(run())
    print({BROKEN: "the rule was broken", HELD: "the rule held",
           CANNOT_RUN: "the case could not run"}[code])
    sys.exit(code)
