"""The holder of a full runner is stopped (SIGTERM) while requests of its callers wait for the runner."""

import asyncio
import os
import signal
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import Runner, configuration, main, response, route  # noqa: E402

START_S = 14.0
SLOTS, QUEUE = 12, 25             # of a runner of mbct-runner-grown
EVENTS, GAP_S = 150, 0.07         # the site's largest stream, at one of its slow runners
WAITING, MEAN_EVENTS = 8, 43      # requests of the stopped machine's callers, streams of the mean size
GRACE_S = 8.0
BOUNDS = {"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000,
          "max_skew_ms": 6000, "retry_slack": 204, "recover_s": 15, "pass_ms": 200}

serve_connection, run_request = Runner.serve, Runner.run


async def serve(self, reader, writer):
    self.__dict__.setdefault("readers", {})[writer] = reader
    await serve_connection(self, reader, writer)


async def run(self, method, path, headers, body, writer):
    """Runs SLOTS requests at once and queues QUEUE more; drops one whose connection closes."""
    if not self.models:
        return await run_request(self, method, path, headers, body, writer)
    queue, running = self.queue, self.running
    request = headers.get("x-request-id", "")
    if len(running) >= SLOTS and len(queue) >= QUEUE:
        return response(503, [("X-Request-Id", request), ("X-Not-Executed", "1")])
    queue.append(request)
    if len(running) >= SLOTS:
        self.record.write(f"{self.name}: queues {request}")
    try:
        while queue[0] != request or len(running) >= SLOTS:
            await asyncio.sleep(0.01)
            if self.readers[writer].at_eof():
                self.record.write(f"{self.name}: drops {request} from its queue, the connection is closed; it has not run")
                self.dropped.append(request)
                raise ConnectionError("the connection was closed")
        running.add(request)
    finally:
        queue.remove(request)
    try:
        return await run_request(self, method, path, headers, body, writer)
    finally:
        running.discard(request)


Runner.serve, Runner.run = serve, run


async def scenario(world):
    config = configuration()
    config["routes"].append(route("grade-review", "streaming", "drafting-pool", 20000, 4000, 1, 1, resumable=False, sticky=True, gap_target_ms=300))
    config["services"][0]["engine"]["slots"] = SLOTS
    await world.start(gates=3, drafting=1, ledger=0, config=config, bounds=BOUNDS)
    runner = world.runners[0]
    runner.slots, runner.gap_s, runner.dropped = SLOTS, GAP_S, []
    runner.events_of = lambda request: EVENTS if int(request[-8:], 16) <= SLOTS else MEAN_EVENTS
    await asyncio.sleep(START_S)
    gate = world.holder(runner)
    if gate is None:
        raise RuntimeError("the runner has no holder")
    others = [other for other in world.gates if other is not gate]
    world.record.write(f"{gate.name} holds {runner.name}")

    def send(to, number):
        headers = [("X-Model", "m0"), ("X-Token-Count", f"400,{600 if number < SLOTS else 172}"), ("X-Prompt-Prefix", f"bb:380,{number:x}:20")]
        return asyncio.create_task(world.client.send(to, "grade-review", headers, budget_ms=20000))

    first = []
    for number in range(SLOTS):
        first.append(send(others[number % 2], number))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    waiting = [send(gate, SLOTS + number) for number in range(WAITING)]
    await asyncio.sleep(0.5)
    stopped_at = None
    if world.trouble:
        stopped_at = world.record.now()
        world.record.write(f"SIGTERM for {gate.name}")
        gate.signal(signal.SIGTERM)
        while gate.process.poll() is None:
            await asyncio.sleep(0.02)
            if world.record.now() > stopped_at + GRACE_S:
                world.record.write(f"SIGKILL for {gate.name}")
                gate.signal(signal.SIGKILL)
                break
        world.record.write(f"{gate.name} has ended, {world.record.now() - stopped_at:.2f} s after SIGTERM")
    await asyncio.gather(*first)
    answers = await asyncio.gather(*waiting)
    lost = []
    for answer in answers:
        if answer.status is not None and answer.whole:
            continue
        if stopped_at is None:
            raise RuntimeError("a request got no whole answer without trouble")
        # Not counted: the deadline was reached, or the runner was at work in the last sixth of grace_s.
        work = [w for w in runner.work if w[0] == answer.request]
        passed_on = answer.request in runner.dropped or bool(work)
        begun, ended = stopped_at + GRACE_S * 5 / 6, stopped_at + GRACE_S
        at_work = any(w[1] < ended and (w[2] is None or w[2] > begun) for w in work)
        counts = passed_on and not at_work and answer.ended - answer.sent < 19.5
        world.record.write(f"no answer: {answer.request}, after {answer.ended - answer.sent:.2f} s; {'LOST' if counts else 'not counted'}")
        if counts:
            lost.append(answer.request)
    world.record.write(f"{len(answers)} requests waited, {len(lost)} lost")
    return bool(lost)


main(FOLDER, scenario)
