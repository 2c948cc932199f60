"""Stand-ins for the platform around chestnutlane-gate: store, operator, runners, clients.

They follow PROTOCOL.md of the users' pages and run in one process, on loopback addresses.
The gates are separate processes, started with the command of the deploy file.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time

REPO = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
ZONES = ["tema-hall", "osu-hall", "achimota-hall"]
HOST = "letters.example"
BOUNDS = {  # of adenta-lane
    "seed_lag_s": 3, "reuse_delay_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10,
    "retry_slack": 52, "recover_s": 12, "pass_ms": 120, "retry_after_s": 0,
    "require_fence": True, "lease_ms": 3000, "thaw_ms": 300, "ceiling_window_s": 5,
    "ceiling_overshoot": 1.1, "ttl_max_s": 5,
}


class Record:
    """What was sent, answered and run; written to record.txt."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def now(self):
        return time.monotonic() - self.started

    def write(self, text):
        self.file.write(f"{self.now():9.3f} {text}\n")
        self.file.flush()


# HTTP over asyncio streams.

async def read_head(reader):
    """Returns the first line and the headers, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_close=False):
    """Returns the body and whether it is whole."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readline()).split(b";")[0] or b"x", 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts), True
                parts.append(data[:-2])
        if "content-length" in headers:
            return await reader.readexactly(int(headers["content-length"])), True
        if until_close:
            return await reader.read(), True
        return b"", True
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return b"", False


def response(status, headers=(), body=b"", chunked=False):
    head = f"HTTP/1.1 {status} X\r\n" + "".join(f"{n}: {v}\r\n" for n, v in headers)
    if chunked:
        return f"{head}Transfer-Encoding: chunked\r\n\r\n{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"
    return (head + f"Content-Length: {len(body)}\r\n\r\n").encode() + body


def json_response(status, value, headers=()):
    body = json.dumps(value).encode()
    return response(status, [("Content-Type", "application/json"), *headers], body)


def free_port(ip):
    with socket.socket() as probe:
        probe.bind((ip, 0))
        return probe.getsockname()[1]


def loopback(kind, number):
    """An address of this process alone, so that scripts may run side by side."""
    own = os.getpid() % 250 + 1
    return f"127.{own}.{kind}.{number + 1}"


class Store:
    """The platform's metadata store: rows, transactions, feed."""

    def __init__(self):
        self.rows, self.version, self.changed = {}, 0, asyncio.Event()
        self.started = time.monotonic()
        self.fault = None  # a coroutine function (method, path, ip) -> bytes, "drop" or None

    async def start(self):
        self.ip = loopback(1, 0)
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)

    def put(self, table, key, value):
        self.version += 1
        data = None if value is None else value if isinstance(value, bytes) else json.dumps(value).encode()
        self.rows[(table, key)] = (data, self.version)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def table(self, name):
        return {k: json.loads(d) for (t, k), (d, _) in self.rows.items() if t == name and d}

    def base(self, **more):
        now = int((time.monotonic() - self.started) * 1000)
        return {"schema_ver": self.version, "now_ms": now, **more}

    @staticmethod
    def row(table, key, data, version):
        row = {"table": table, "part": "", "key": key, "schema_ver": version}
        if data is None:
            row["deleted"] = True
        else:
            row["value"] = base64.b64encode(data).decode()
        return row

    async def serve(self, reader, writer):
        ip = writer.get_extra_info("peername")[0]
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ", 2)
                body, whole = await read_body(reader, head[1])
                if not whole:
                    break
                answer = await self.fault(method, target, ip) if self.fault else None
                if answer == "drop":
                    break
                await asyncio.sleep(0.004)
                writer.write(answer or await self.answer(method, target, body))
                await writer.drain()
        except (ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def answer(self, method, target, body):
        path, _, query = target.partition("?")
        fields = dict(part.partition("=")[::2] for part in query.split("&"))
        unquote = lambda text: re.sub("%(..)", lambda m: chr(int(m[1], 16)), text)
        fields = {name: unquote(value) for name, value in fields.items()}
        if path == "/v1/rows-tx":
            return self.commit(json.loads(body))
        if path == "/v1/rows-get":
            table, first = fields["table"], fields.get("from", "")
            keys = sorted(k for (t, k), (d, _) in self.rows.items() if t == table and d is not None and k >= first)
            rows = [self.row(table, k, *self.rows[(table, k)]) for k in keys[:500]]
            return json_response(200, self.base(rows=rows, has_more=len(keys) > 500))
        if path == "/v1/rows-feed":
            table, after = fields["table"], int(fields["after"])
            until = time.monotonic() + int(fields.get("wait_ms", "0")) / 1000
            while not (found := self.after(table, after)) and time.monotonic() < until:
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0, until - time.monotonic()))
                except asyncio.TimeoutError:
                    pass
            return json_response(200, self.base(rows=found))
        return response(404)

    def after(self, table, after):
        found = [(v, k, d) for (t, k), (d, v) in self.rows.items() if t == table and v > after]
        return [self.row(table, k, d, v) for v, k, d in sorted(found, key=lambda f: f[:2])]

    def commit(self, body):
        touched = body.get("writes", []) + body.get("remove", [])
        if any(row["table"] in ("op", "servers") for row in touched):
            return response(403)
        def current(row):
            data, version = self.rows.get((row["table"], row["key"]), (None, 0))
            return version if data is not None else 0
        if any(current(row) != row["schema_ver"] for row in body.get("precondition", [])):
            rows = [self.row(r["table"], r["key"], *self.rows.get((r["table"], r["key"]), (None, 0)))
                    for r in body["precondition"]]
            return json_response(412, self.base(rows=rows))
        self.version += 1
        for row in body.get("writes", []):
            self.rows[(row["table"], row["key"])] = (base64.b64decode(row["value"]), self.version)
        for row in body.get("remove", []):
            self.rows[(row["table"], row["key"])] = (None, self.version)
        self.wake()
        return json_response(200, self.base())


class Runner:
    """A model runner, or a server of a plain service if it has no models.

    `extra` decides after each answer whether the runner sends it once more, late: on the
    same connection, where the next answer is expected.
    """

    def __init__(self, store, record, name, number, service, models=(), slots=64, adapter_slots=8):
        self.store, self.record, self.name, self.service = store, record, name, service
        self.zone, self.slots, self.adapter_slots = ZONES[number % 3], slots, adapter_slots
        self.models = {model: set() for model in models}
        self.seq, self.fence, self.answers, self.extras = 0, 0, 0, 0
        self.adapter_s, self.ready_at = 0.010, {}
        self.extra = lambda kind: False
        self.cut_from, self.links = set(), set()  # addresses whose connections are reset
        self.ip = loopback(2, number)
        self.runs, self.state = [], "ready"
        self.events_of = None
        self.work = []  # request, from, until: when the runner was at work, by the record's clock
        self.work_s, self.events, self.gap_s, self.event_bytes = 0.03, 3, 0.03, 40
        self.queue, self.running = [], set()  # requests, where a script bounds them

    async def start(self):
        self.port = free_port(self.ip)
        self.server = await asyncio.start_server(self.serve, self.ip, self.port)
        self.beat()
        self.beats = asyncio.create_task(self.beat_forever())

    async def beat_forever(self):
        while True:
            await asyncio.sleep(1.2)
            self.beat()

    def beat(self):
        entry = {"service": self.service, "address": f"{self.ip}:{self.port}", "zone": self.zone,
                 "version": "v1", "slots": self.slots, "state": self.state, "cold_ms": 0, "seq": self.seq}
        if self.models:
            entry["stage"], entry["models"] = "colocated", self.held()
            entry["available"] = {"in_memory": [], "on_disk": []}
        self.store.put("servers", self.name, entry)

    def held(self):
        return [{"name": m, "version": 1, "adapters": sorted(a)} for m, a in self.models.items()]

    def cut(self, ip):
        """Resets the connections from an address, and those that it opens from now on."""
        self.cut_from.add(ip)
        for writer in self.links:
            if writer.get_extra_info("peername")[0] == ip:
                writer.transport.abort()

    async def serve(self, reader, writer):
        late = b""
        if writer.get_extra_info("peername")[0] in self.cut_from:
            link = writer.get_extra_info("socket")
            link.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            writer.transport.abort()
            return
        self.links.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, path, _ = head[0].split(" ", 2)
                body, whole = await read_body(reader, head[1])
                if not whole:
                    break
                if late:
                    writer.write(late)
                    await writer.drain()
                    late = b""
                kind, answer = await self.answer(method, path, head[1], body, writer)
                if answer:
                    writer.write(answer)
                    await writer.drain()
                self.answers += 1
                if answer and self.extra(kind):
                    self.extras += 1
                    late = answer
                    self.record.write(f"{self.name}: will send its answer to {kind} {head[1].get('x-request-id', '')} once more, late")
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.links.discard(writer)
            writer.close()

    async def answer(self, method, path, headers, body, writer):
        if path == "/health":
            return "health", response(200, [("X-Instance-Id", self.name)])
        if path == "/v1/report":
            report = {"stage": "colocated", "models": self.held(), "busy": False, "seq": self.seq,
                      "queued": len(self.queue), "active": len(self.running), "kv_used": 0, "kv_total": 156454, "handles": 0}
            return "report", json_response(200, report)
        named = headers.get("x-target-instance")
        if named is not None and named != self.name:
            return "stray", response(421, [("X-Instance-Id", self.name)])
        if path == "/v1/order":
            return "order", self.order(json.loads(body))
        answer = await self.run(method, path, headers, body, writer)
        return "rejection" if answer and answer.startswith(b"HTTP/1.1 421") else "request", answer

    def order(self, order):
        if order.get("fence_token", 0) < self.fence:
            return response(412)
        self.fence = order["fence_token"]
        if "precondition" in order and order["precondition"] != self.seq:
            return response(409)
        adapter, held = order.get("adapter"), self.models.get(order["model"])
        if adapter is None or held is None:
            return response(400)  # these scripts move no models
        self.record.write(f"{self.name}: order {order['opcode']} {order['model']}/{adapter} of {order['holder']}")
        if order["opcode"] == "unload_model":
            held.discard(adapter)
            self.seq += 1
            return response(200)
        if adapter in held:
            return response(200)
        assert len(held) < self.adapter_slots, "ordered to hold too many adapters"
        held.add(adapter)
        self.ready_at[adapter] = time.monotonic() + self.adapter_s
        self.seq += 1
        return response(202)

    async def run(self, method, path, headers, body, writer):
        request = headers.get("x-request-id", "")
        echo = [("X-Request-Id", request)]
        if self.models:
            model, _, adapter = headers.get("x-model", "").partition("/")
            held = self.models.get(model)
            loaded = held is not None and (not adapter or adapter in held and time.monotonic() >= self.ready_at.get(adapter, 0))
            if not loaded:
                self.record.write(f"{self.name}: {request} not run, {headers.get('x-model')} is not present")
                return response(421, echo + [("Content-Type", "application/json")], b'{"error":"not present"}', chunked=True)
        self.runs.append(request)
        self.record.write(f"{self.name}: runs {request}")
        at_work = [request, self.record.now(), None]
        self.work.append(at_work)
        try:
            return await self.respond(headers, request, echo, writer)
        finally:
            at_work[2] = self.record.now()

    async def respond(self, headers, request, echo, writer):
        await asyncio.sleep(self.work_s)
        seal = [("X-Response-Seal", f"{self.name}.{request}")]
        if not self.models:
            return response(200, echo + seal, b"r" * 800)
        head = [*echo, *seal, ("Content-Type", "text/event-stream"), ("X-Weight-Versions", "1"), ("Transfer-Encoding", "chunked")]
        writer.write(("HTTP/1.1 200 OK\r\n" + "".join(f"{n}: {v}\r\n" for n, v in head) + "\r\n").encode())
        first = int(headers.get("last-event-id", "0")) + 1
        events = self.events_of(request) if self.events_of else self.events
        for number in range(first, events + 1):
            if writer.is_closing():
                raise ConnectionError("the connection was closed")
            event = f"id: {number}\ndata: {request} {number}".ljust(self.event_bytes - 2, "x").encode() + b"\n\n"
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return None


def route(name, kind, service, timeout_ms, slo_ms, priority, attempts, **more):
    return {"name": name, "host": HOST, "prefix": f"/{name}/", "kind": kind, "service": service,
            "timeout_ms": timeout_ms, "slo_ms": slo_ms, "priority": priority, "max_attempts": attempts, **more}


def configuration():
    """The routes of adenta-lane."""
    stream = dict(sticky=True, gap_target_ms=250)
    model = {"name": "m0", "weights_mb": 72700.0, "load_s": 1.2, "warm_s": 0.6, "disk_s": 0.78, "adapters": 32, "adapter_mb": 66.0}
    return {
        "version": 7,
        "routes": [
            route("first-reminder", "streaming", "drafting-pool", 15000, 800, 2, 1, resumable=False, **stream),
            route("final-demand", "streaming", "drafting-pool", 15000, 1500, 1, 2, resumable=True, **stream),
            route("payment-plan-note", "streaming", "drafting-pool", 8000, 600, 0, 1, resumable=False, **stream),
            route("dispatch-record", "unsafe", "ledger-gateway", 1200, 150, 2, 1),
            route("account-lookup", "safe", "ledger-gateway", 1200, 150, 2, 2),
        ],
        "services": [
            {"name": "drafting-pool", "health_path": "/health", "max_conns": 360,
             "engine": {"slots": 64, "kv_capacity": 156454, "stride": 3, "weights_mb": 200000.0,
                        "adapter_slots": 8, "loads_per_s": 1.1, "models": [model]}},
            {"name": "ledger-gateway", "health_path": "/health", "max_conns": 96},
        ],
        "limits": {"header_bytes": 16384, "max_body_bytes": 1000000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    }


# Settings, rendered from the project's template as DEPLOY.md describes.

def lookup(fields, name):
    value = fields
    for part in name.split("."):
        value = value.get(part) if isinstance(value, dict) else value[int(part)]
        if value is None:
            return None
    return value


def render(template, fields):
    section = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.S)
    def replace(match):
        value = lookup(fields, match[2])
        shown = value is not None and value is not False
        return match[3] if shown == (match[1] == "#") else ""
    text = section.sub(replace, template)
    def value_of(match):
        value = lookup(fields, match[1])
        return json.dumps(value) if match[2] else str(value)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value_of, text)


class Gate:
    """One process of the system."""

    def __init__(self, store, folder, number, bounds=None):
        self.zone = ZONES[number % 3]
        self.number, self.name, self.folder = number, f"front-{ZONES[number % 3]}-{number // 3 + 1}", folder
        self.ip = loopback(3, number)
        ports = [free_port(self.ip) for _ in range(6)]
        self.front, self.ready, self.directory, low, high, metrics = ports
        fields = {
            "node_name": self.name, "zone": ZONES[number % 3], "region": "accra", "ip": self.ip,
            "listen": {"front": f"{self.ip}:{self.front}", "ready_addr": f"{self.ip}:{self.ready}",
                       "directory": f"{self.ip}:{self.directory}"},
            "port_range": [min(low, high), max(low, high)],
            "limits": {"cpu_share": 0.25},
            "bounds": {**BOUNDS, **(bounds or {})},
            "platform": {"address": f"{store.ip}:{store.port}"},
        }
        with open(os.path.join(REPO, "deploy/settings.jsonc.tmpl")) as template:
            text = render(template.read(), fields)
        text = text.replace(":9464", f":{metrics}")
        self.settings = os.path.join(folder, f"{self.name}.jsonc")
        with open(self.settings, "w") as settings:
            settings.write(text)
        self.log = os.path.join(folder, f"{self.name}.log")

    def start(self):
        with open(os.path.join(REPO, "deploy/system.toml")) as deploy:
            command = re.search(r'^run = "(.*)"', deploy.read(), re.M)[1].split()
        env = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "CHESTNUTLANE_CONFIG": self.settings}
        log = open(self.log, "ab")
        self.process = subprocess.Popen(command, cwd=REPO, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log)

    def signal(self, number):
        self.process.send_signal(number)

    def end(self):
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, self.ready)
            writer.write(f"GET /v1/readiness HTTP/1.1\r\nHost: {self.ip}\r\nConnection: close\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and " 200" in head[0]
        except (ConnectionError, OSError, asyncio.TimeoutError):
            return False


class Answer:
    def __init__(self, request, status=None, headers=None, body=b"", whole=False, why=""):
        self.request, self.status, self.headers = request, status, headers or {}
        self.body, self.whole, self.why = body, whole, why
        self.sent = self.ended = None

    @property
    def sealed(self):
        return "x-response-seal" in self.headers


class Client:
    """Sends requests to gates; each attempt on a new connection."""

    def __init__(self, record):
        self.record, self.number = record, 0

    async def send(self, gate, route_name, headers=(), method="POST", body=b"{}", budget_ms=15000, on_sent=None, request=None):
        self.number += 1
        request = request or f"{os.getpid():x}{self.number:08x}"
        lines = [f"{method} /{route_name}/x HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}",
                 f"X-Time-Budget-Ms: {budget_ms}", f"Content-Length: {len(body)}", *(f"{n}: {v}" for n, v in headers)]
        answer = Answer(request)
        writer = None
        try:
            reader, writer = await asyncio.open_connection(gate.ip, gate.front)
            self.record.write(f"client: sends {request} {route_name} {dict(headers).get('X-Model', '')} to {gate.name}")
            answer.sent = self.record.now()
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            head = await asyncio.wait_for(read_head(reader), budget_ms / 1000 + 1)
            if head is not None:
                answer.status, answer.headers = int(head[0].split(" ")[1]), head[1]
                answer.body, answer.whole = await asyncio.wait_for(read_body(reader, head[1], True), budget_ms / 1000 + 1)
        except (ConnectionError, OSError, asyncio.TimeoutError) as error:
            answer.why = repr(error)
        finally:
            answer.ended = self.record.now()
            if writer:
                writer.close()
        seal = "sealed" if answer.sealed else "no seal"
        echoed = answer.headers.get("x-request-id", "-")
        self.record.write(f"client: {request} got {answer.status} ({seal}, id {echoed}, {'whole' if answer.whole else 'cut'}) {answer.body[:120]!r} {answer.why}")
        return answer


class World:
    """Store, operator, runners and gates of one script."""

    def __init__(self, case_folder):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(case_folder)
        self.folder = tempfile.mkdtemp(prefix="chestnut-review-")
        self.gates, self.runners = [], []

    async def start(self, gates, drafting, ledger, config=None, bounds=None):
        self.store = Store()
        await self.store.start()
        self.config = config or configuration()
        self.store.put("op", "config", self.config)
        for number in range(drafting):
            self.runners.append(Runner(self.store, self.record, f"i-d{number}", number, "drafting-pool", ["m0"]))
        for number in range(ledger):
            self.runners.append(Runner(self.store, self.record, f"i-l{number}", drafting + number, "ledger-gateway", slots=6))
        for runner in self.runners:
            await runner.start()
        self.gates = [Gate(self.store, self.folder, number, bounds) for number in range(gates)]
        for gate in self.gates:
            gate.start()
        deadline = time.monotonic() + 20
        while not all([await gate.is_ready() for gate in self.gates]):
            if time.monotonic() > deadline:
                raise RuntimeError("the gates are not ready")
            await asyncio.sleep(0.1)
        self.record.write("all gates are ready")
        self.client = Client(self.record)

    def holder(self, runner):
        """The gate that holds the runner, or None."""
        claim = self.store.table("chestnut").get(f"claim:server:{runner.name}", {}).get("holder")
        rows = self.store.table("chestnut")
        for gate in self.gates:
            if claim is not None and rows.get(f"daemon:{gate.name}", {}).get("member") == claim:
                return gate
        return None

    def stop(self):
        for gate in self.gates:
            gate.end()


def main(case_folder, scenario):
    """Runs a scenario; exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    world = World(case_folder)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(2))
    try:
        broken = asyncio.run(asyncio.wait_for(scenario(world), 115))
        code = 1 if broken else 0
    except Exception as error:  # the case could not run
        world.record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    finally:
        world.stop()
    world.record.write(f"exit {code}")
    if os.environ.get("KEEP"):
        print("logs:", world.folder)
    else:
        subprocess.run(["rm", "-r", world.folder], check=False)
    sys.exit(code)
