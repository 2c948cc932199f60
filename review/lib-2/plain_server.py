"""A server of a plain service as a process of its own: plain_server.py IP PORT NAME PARTS GAP_MS

Writes its answers in parts and without a length, so that an answer ends with its connection.
Prints one line for each run that begins.
"""

import asyncio
import json
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from world import message, read_body, read_head  # noqa: E402

IP, PORT, NAME, PARTS, GAP = sys.argv[1:6]
PARTS, GAP = int(PARTS), float(GAP) / 1000


def part(request_id, number):
    return ("%s line %d\n" % (request_id, number)).encode()


async def serve(reader, writer):
    try:
        head = await read_head(reader)
        if head is None:
            return
        await read_body(reader, head)
        request_id = head.get("x-request-id")
        target = head.get("x-target-instance")
        if target and target != NAME:
            writer.write(message("HTTP/1.1 421 Misdirected Request", [
                ("X-Not-Executed", "1"), ("X-Instance-Id", NAME),
                ("X-Request-Id", request_id or ""), ("Content-Length", "0"),
                ("Connection", "close")]))
            await writer.drain()
            return
        print(json.dumps({"server": NAME, "runs": request_id}), flush=True)
        writer.write(message("HTTP/1.1 200 OK", [
            ("X-Request-Id", request_id), ("X-Response-Seal", "seal." + request_id),
            ("Content-Type", "text/plain"), ("Connection", "close")]))
        for number in range(1, PARTS + 1):
            await asyncio.sleep(GAP)
            writer.write(part(request_id, number))
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
