"""A model runner as a process of its own: runner.py IP PORT NAME MODEL EVENTS GAP_MS BORN HOLDS

It holds MODEL from its start if HOLDS is 1, and nothing otherwise; it carries out orders to load and
unload models. Streams its events without a length, so that an answer ends with its connection.
Each event is one write. Prints a line for each run that begins, and for each change of what it
holds. A request with the body `crash` kills the process after two events.

With FRAMED=1 in the environment, answers are in chunks.
"""

import asyncio
import json
import os
import signal
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from world import json_response, message, read_body, read_head  # noqa: E402

IP, PORT, NAME, MODEL, EVENTS, GAP = sys.argv[1:7]
EVENTS, GAP = int(EVENTS), float(GAP) / 1000
BORN, HOLDS = int(sys.argv[7]), sys.argv[8] == "1"
IS_FRAMED = os.environ.get("FRAMED") == "1"
EVENTS_BEFORE_CRASH = 2
LOAD_S = 0.78  # from its own disk, as on the sheet


def say(**what):
    print(json.dumps({"server": NAME, **what}), flush=True)


class Engine:
    """What the runner holds, and the order that it carries out."""

    def __init__(self):
        self.models = [MODEL] if HOLDS else []
        self.orders, self.is_busy, self.fence, self.active = 0, False, 0, 0

    def listed(self):
        return [{"name": model, "version": 1, "adapters": []} for model in self.models]

    def report(self):
        return json_response(200, {
            "stage": "colocated", "models": self.listed(), "busy": self.is_busy,
            "seq": self.orders, "queued": 0, "active": self.active, "kv_used": 0,
            "kv_total": 156454, "handles": 0, "born": BORN})

    def order(self, order):
        if "holder" not in order or "fence_token" not in order or order.get("adapter"):
            return 400
        if order["fence_token"] < self.fence:
            return 412
        self.fence = order["fence_token"]
        loads, model = order["opcode"] == "load_model", order["model"]
        if self.is_busy or order.get("precondition", self.orders) != self.orders:
            return 409
        if loads == (model in self.models):
            return 200
        self.orders += 1
        self.is_busy = True
        asyncio.ensure_future(self.carry_out(loads, model))
        return 202

    async def carry_out(self, loads, model):
        if loads:
            await asyncio.sleep(LOAD_S)
            self.models.append(model)
        else:
            self.models.remove(model)
        self.is_busy = False
        say(models=self.listed(), orders=self.orders)


ENGINE = Engine()


def event(request_id, number):
    return ("id: %d\ndata: %s piece %d\n\n" % (number, request_id, number)).encode()


async def stream(head, body, writer):
    request_id = head.get("x-request-id")
    after = int(head.get("last-event-id") or 0)
    say(runs=request_id, after=after)
    framing = [("Transfer-Encoding", "chunked")] if IS_FRAMED else []
    writer.write(message("HTTP/1.1 200 OK", [
        ("X-Request-Id", request_id), ("X-Response-Seal", "seal." + request_id),
        ("Content-Type", "text/event-stream"), ("Connection", "close"), *framing]))
    for number in range(after + 1, EVENTS + 1):
        await asyncio.sleep(GAP)
        if body == b"crash" and number > after + EVENTS_BEFORE_CRASH:
            os.kill(os.getpid(), signal.SIGKILL)
        data = event(request_id, number)
        writer.write(b"%x\r\n%s\r\n" % (len(data), data) if IS_FRAMED else data)
        await writer.drain()
    if IS_FRAMED:
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def serve(reader, writer):
    try:
        while True:
            head = await read_head(reader)
            if head is None:
                return
            body = await read_body(reader, head)
            target, model = head.get("x-target-instance"), head.get("x-model")
            if head.first.startswith("GET /v1/report"):
                writer.write(ENGINE.report())
            elif target and target != NAME or model and model not in ENGINE.models:
                writer.write(message("HTTP/1.1 421 Misdirected Request", [
                    ("X-Not-Executed", "1"), ("X-Instance-Id", NAME),
                    ("X-Request-Id", head.get("x-request-id", "")), ("Content-Length", "0")]))
            elif head.first.startswith("POST /v1/order"):
                writer.write(json_response(ENGINE.order(json.loads(body)), {}))
            else:
                ENGINE.active += 1
                try:
                    await stream(head, body, writer)
                finally:
                    ENGINE.active -= 1
                return
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run():
    server = await asyncio.start_server(serve, IP, int(PORT))
    say(models=ENGINE.listed(), orders=0)
    await server.serve_forever()


asyncio.run(run())
