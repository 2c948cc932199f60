"""One machine loses the path to a runner that answers twice; its requests go through another machine."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib"))
from standins import configuration, main  # noqa: E402

START_S = 18.0       # a gate has its share of the retry budget 15 s after its start
CALM_S = 3.0
FAULT_S = 5.0        # srv_cut: for_s = 5; garble "extra late": for_s = 5
EXTRA_SHARE = 0.03   # of the runner's answers
PER_S = 120


def headers(model, number):
    return [("X-Model", model), ("X-Token-Count", "120,12"), ("X-Prompt-Prefix", f"dd:100,{number:x}:20")]


async def scenario(world):
    config = configuration()
    models = config["services"][0]["engine"]["models"]
    models.append({**models[0], "name": "m1"})
    await world.start(gates=4, drafting=8, ledger=0, config=config)
    for runner in world.runners:
        # An adapter takes up to 14 ms, and longer while more than 16 are on their way.
        runner.adapter_s = float(os.environ.get("ADAPTER_S", "0.030"))
    await asyncio.sleep(START_S)
    random.seed(4)
    # The shortest way leads through the only machine of the runner's zone, which gives it no orders.
    def of_zone(zone):
        return [gate for gate in world.gates if gate.zone == zone]

    def is_suitable(runner, gate):
        holder, between = world.holder(runner), of_zone(runner.zone)
        return (gate.zone != runner.zone and len(of_zone(gate.zone)) == 1 and len(between) == 1
                and holder is not None and holder not in (gate, between[0]))

    faulty, cut = next((r, g) for r in world.runners for g in world.gates if is_suitable(r, g))
    holder = world.holder(faulty)
    faulty.models["m1"] = set()
    faulty.beat()
    await asyncio.sleep(0.5)
    away = [gate for gate in world.gates if gate is not cut and gate.zone != faulty.zone]
    world.record.write(f"{faulty.name} is held by {holder.name if holder else None}; {cut.name} will lose the path to it")
    began = time.monotonic()
    state = {"first": None}

    def in_fault():
        return world.trouble and CALM_S <= time.monotonic() - began < CALM_S + FAULT_S

    def extra(kind):
        if not in_fault():
            return False
        if state["first"] is None:
            state["first"] = faulty.answers
        answers = faulty.answers - state["first"]
        return kind == "rejection" and faulty.extras + 1 <= EXTRA_SHARE * answers

    faulty.extra = extra
    tasks, asked, number, is_cut = [], [], 0, False
    next_ask = CALM_S + 1.9
    while (age := time.monotonic() - began) < CALM_S + FAULT_S + 4:
        number += 1
        if world.trouble and not is_cut and age >= CALM_S:
            is_cut = True
            world.record.write(f"the path from {cut.name} to {faulty.name} is lost")
            faulty.cut(cut.ip)
        if is_cut and age >= CALM_S + FAULT_S:
            faulty.cut_from.clear()
        model = "m0" if random.random() < 0.6 else "m1"
        # Few of the other callers are at the machine that lost its path, or at the one in between.
        gate = random.choice(away) if random.random() < 0.9 or age > CALM_S + 0.5 else random.choice(world.gates)
        tasks.append(asyncio.create_task(world.client.send(gate, "first-reminder", headers(model, number))))
        if age >= next_ask and len(asked) < 10:
            next_ask += 0.3
            asked.append(1)
            tasks.append(asyncio.create_task(world.client.send(cut, "first-reminder", headers(f"m1/a{len(asked)}", number + 5000))))
        await asyncio.sleep(1 / PER_S)
    await asyncio.gather(*tasks)
    broken = False
    for request in sorted({r for runner in world.runners for r in runner.runs}):
        runs = sum(runner.runs.count(request) for runner in world.runners)
        if runs > 1:
            broken = True
            world.record.write(f"TWICE: {request} ran {runs} times")
    world.record.write(f"{len(tasks)} requests, {faulty.extras} of {faulty.answers - (state['first'] or 0)} answers sent twice")
    return broken


main(FOLDER, scenario)
