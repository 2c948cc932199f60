"""A machine is stopped (SIGTERM) while patient streams of its callers have been put aside."""

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import configuration, main, route  # noqa: E402

START_S = 20.0       # a gate has its share of the retry budget 15 s after its start
SLOTS = 12
PATIENT = 24         # streams that fill both runners
URGENT_PER_S = 22    # the runners can take 23: 12 slots each, a second a stream
LOAD_S = 8.8
GRACE_S = 8.0
BOUNDS = {"contact_ms": 4000, "ack_ms": 6000, "catch_up_s": 6, "drain_ms": 3000, "config_apply_ms": 3000,
          "max_skew_ms": 6000, "retry_slack": 160, "recover_s": 15, "pass_ms": 200, "strict_revoke": True,
          "revoke_ms": 5000, "quota_window_s": 8, "quota_overshoot": 0.1, "quota_slack": 11000}
KEY = "k-4711"


def settings():
    """The streams of cruzadas-plata-grown."""
    config = configuration()
    stream = dict(sticky=True, gap_target_ms=250)
    config["routes"] += [
        route("pista-rapida", "streaming", "drafting-pool", 15000, 500, 0, 1, resumable=False, **stream),
        route("borrador-lento", "streaming", "drafting-pool", 15000, 3000, 2, 2, resumable=True, **stream),
    ]
    config["routes"] = [r for r in config["routes"] if r["name"] in ("pista-rapida", "borrador-lento", "dispatch-record")]
    config["services"][0]["engine"]["slots"] = SLOTS
    config["tenants"] = [{"name": "diario", "api_keys": [KEY], "unit": "tokens", "plain_tokens": 200}]
    return config


async def scenario(world):
    await world.start(gates=3, drafting=2, ledger=0, config=settings(), bounds=BOUNDS)
    for runner in world.runners:
        runner.slots, runner.gap_s = SLOTS, 0.04
        runner.beat()
    await asyncio.sleep(START_S)
    holders = [world.holder(runner) for runner in world.runners]
    gate = next(gate for gate in world.gates if gate not in holders)
    others = [other for other in world.gates if other is not gate]
    world.record.write(f"runners are held by {[holder.name for holder in holders if holder]}")
    tasks, patient = [], []

    def send(to, name, number, tokens):
        headers = [("Authorization", f"Bearer {KEY}"), ("X-Model", "m0"), ("X-Token-Count", tokens), ("X-Prompt-Prefix", f"cc:100,{number:x}:20")]
        return asyncio.create_task(world.client.send(to, name, headers, request=f"{os.getpid():x}{name[0]}{number:05x}"))

    for runner in world.runners:
        runner.events_of = lambda request: 120 if "b" == request[len(f"{os.getpid():x}")] else 25
    for number in range(PATIENT):
        patient.append(send(gate, "borrador-lento", number, "120,450"))
        await asyncio.sleep(0.02)
    await asyncio.sleep(0.5)
    began, stopped_at = time.monotonic(), None
    number = 0
    while time.monotonic() - began < LOAD_S:
        number += 1
        tasks.append(send(others[number % 2], "pista-rapida", number, "120,60"))
        await asyncio.sleep(1 / URGENT_PER_S)
        if world.trouble and stopped_at is None and time.monotonic() - began > 1.1:
            stopped_at = world.record.now()
            world.record.write(f"SIGTERM for {gate.name}")
            gate.signal(signal.SIGTERM)
        if stopped_at and world.record.now() > stopped_at + GRACE_S and gate.process.poll() is None:
            gate.signal(signal.SIGKILL)
    answers = await asyncio.gather(*patient)
    await asyncio.gather(*tasks)
    lost = []
    for answer in answers:
        whole = answer.whole and answer.status is not None
        if whole:
            continue
        if answer.ended - answer.sent > 14.9:
            world.record.write(f"cut: {answer.request} at its deadline; not counted")
            continue
        if stopped_at is None:
            raise RuntimeError("a stream was cut before its deadline without trouble")
        # Not counted: the runner was still at work in the last sixth of grace_s.
        begun, ended = stopped_at + GRACE_S * 5 / 6, stopped_at + GRACE_S
        work = [w for r in world.runners for w in r.work if w[0] == answer.request]
        at_work = any(w[1] < ended and (w[2] is None or w[2] > begun) for w in work)
        spans = ", ".join(f"{w[1]:.2f} to {w[2]:.2f}" for w in work)
        world.record.write(f"cut: {answer.request}, at work {spans}; {'not counted' if at_work else 'LOST'}")
        if work and not at_work:
            lost.append(answer.request)
    world.record.write(f"{len(answers)} patient streams, {len(lost)} lost")
    return bool(lost)


main(FOLDER, scenario)
