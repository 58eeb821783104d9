"""Lets engines fail part of the requests that they have run with a 503."""

from __future__ import annotations

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-2"))

import standins

KEY = "key-of-tills"
FAILING_SHARE = 0.4
PROMISES = (408, 421, 429, 503)


async def run(record, folder, has_trouble, gateways):
    """Returns whether the rule held."""
    store = standins.Store()
    await store.start()
    chance = random.Random(9)
    is_failing = False

    async def behave(engine, request, reader, writer) -> bool:
        """Runs a request; a failing engine says so once it has run."""
        attempt = request.get("x-bambooglade-attempt-id")
        engine.runs.append((record.now(), attempt))
        record.write(f"{engine.engine_id} runs {attempt}")
        await asyncio.sleep(0.03)
        if not (is_failing and chance.random() < FAILING_SHARE):
            fields, body = engine.fields(request), b"done"
            writer.write(standins.encode(200, fields, body))
        else:
            fields, body = engine.fields(request), b"the backend is away"
            writer.write(standins.encode(503, fields, body))
            record.write(f"{engine.engine_id} fails {attempt} with 503")
        await writer.drain()
        return True

    engines = []
    for number in range(4):
        engine = standins.Engine(store, record, f"i-{number}", "till")
        engine.behave = behave
        engines.append(engine)
        await engine.start()
    routes = [standins.route("/deduct/", "till", "unsafe")]
    tenants = [{"name": "tills", "apiKeys": [KEY]}]
    store.put("op/config", standins.configuration(1, routes, tenants))
    for name, zone in (("edge-a-1", "zone-a"), ("edge-b-1", "zone-b")):
        seeds = [gateways[0].control] if gateways else None
        gateway = standins.Gateway(
            name, zone, store.address, folder, seeds=seeds
        )
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3)

    statuses: dict[str, int | None] = {}

    async def deduct(number: int) -> None:
        """Sends a deduction, and once more if it is promised not to run."""
        for attempt in (f"d{number:03d}-1", f"d{number:03d}-2"):
            gateway = gateways[(number + int(attempt[-1])) % 2]
            answer = await standins.call(
                gateway.frontend,
                "POST",
                "/deduct/1",
                fields=standins.request_fields(attempt, KEY),
                body=b"one meal",
            )
            statuses[attempt] = answer.status if answer else None
            record.write(f"{attempt} at {gateway.name}: {statuses[attempt]}")
            if statuses[attempt] not in PROMISES:
                return
            await asyncio.sleep(0.3)

    is_failing = has_trouble
    calls = []
    for number in range(100):
        calls.append(asyncio.create_task(deduct(number)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*calls)
    ran = {attempt for engine in engines for _, attempt in engine.runs}
    broken = [a for a, s in statuses.items() if s in PROMISES and a in ran]
    twice = [a for a in broken if f"{a[:-1]}2" in ran and a[-1] == "1"]
    record.write(
        f"{len(broken)} of {len(statuses)} requests were answered as not run"
        f" and had run; {len(twice)} deductions ran twice"
    )
    if sum(status == 200 for status in statuses.values()) < 40:
        raise RuntimeError("too few requests were served")
    return not broken


standins.main(run)
