"""A model runner as a process of its own: runner.py IP PORT NAME MODEL EVENTS GAP_MS

Streams its events without a length, so that an answer ends with its connection. Each event is
one write. Prints one line for each run that begins. Holds the model from its start, and answers
orders with 400. A request with the body `crash` kills the process after two events.

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
BORN = int(sys.argv[7])
IS_FRAMED = os.environ.get("FRAMED") == "1"
EVENTS_BEFORE_CRASH = 2


def event(request_id, number):
    return ("id: %d\ndata: %s piece %d\n\n" % (number, request_id, number)).encode()


async def stream(head, body, writer):
    request_id = head.get("x-request-id")
    after = int(head.get("last-event-id") or 0)
    print(json.dumps({"server": NAME, "runs": request_id, "after": after}), flush=True)
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
            target = head.get("x-target-instance")
            if head.first.startswith("GET /v1/report"):
                writer.write(json_response(200, {
                    "stage": "colocated", "models": [
                        {"name": MODEL, "version": 1, "adapters": []}],
                    "busy": False, "seq": 0, "queued": 0, "active": 0, "kv_used": 0,
                    "kv_total": 100000, "handles": 0, "born": BORN}))
            elif target and target != NAME:
                writer.write(message("HTTP/1.1 421 Misdirected Request", [
                    ("X-Not-Executed", "1"), ("X-Instance-Id", NAME),
                    ("X-Request-Id", head.get("x-request-id", "")), ("Content-Length", "0")]))
            elif head.first.startswith("POST /v1/order"):
                writer.write(json_response(400, {}))
            else:
                await stream(head, body, writer)
                return
            await writer.drain()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def run():
    server = await asyncio.start_server(serve, IP, int(PORT))
    print(json.dumps({"server": NAME, "listens": PORT}), flush=True)
    await server.serve_forever()


asyncio.run(run())
