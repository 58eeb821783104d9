"""Revokes a key just after the open connections to the store went silent."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).parent.parent / "standins-2"))

import standins

KEY, KEPT = "key-of-artists", "key-of-jurors"
CONTACT_S, APPLY_S = 3.0, 2.0
# What the case leaves besides, for slow machines.
SLACK_S = 0.1


async def run(record, folder, has_trouble, gateways):
    """Returns whether the rule held."""
    store = standins.Store()
    await store.start()
    engines = [
        standins.Engine(store, record, f"i-{number}", "portal")
        for number in range(4)
    ]
    for engine in engines:
        await engine.start()
        await asyncio.sleep(0.3)
    routes = [standins.route("/status/", "portal", "safe", attempts=2)]
    tenants = [
        {"name": "artists", "apiKeys": [KEY]},
        {"name": "jurors", "apiKeys": [KEPT]},
    ]
    store.put("op/config", standins.configuration(1, routes, tenants))
    links = []
    for name, zone in (("edge-a-1", "zone-a"), ("edge-b-1", "zone-b")):
        link = standins.Link(store.address)
        await link.start()
        links.append(link)
        seeds = [gateways[0].control] if gateways else None
        gateway = standins.Gateway(
            name, zone, link.address, folder, seeds=seeds
        )
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(4)

    # An ordinary change.
    store.put("op/config", standins.configuration(2, routes, tenants))
    await asyncio.sleep(0.3)
    silent_at = record.now()
    if has_trouble:
        for link in links:
            record.write(f"{link.silence_open()} connections go silent")
    await asyncio.sleep(0.3)
    tenants[0]["apiKeys"] = []
    store.put("op/config", standins.configuration(3, routes, tenants))
    acknowledged_at = record.now()
    record.write("version 3, which takes the key away, is acknowledged")

    broken, served, count = [], 0, 0
    calls = set()

    async def ask(gateway, number):
        nonlocal served
        attempt, sent_at = f"a{number:04d}", record.now()
        key = KEY if number % 2 else KEPT
        answer = await standins.call(
            gateway.frontend,
            "GET",
            "/status/1",
            fields=standins.request_fields(attempt, key),
        )
        status = answer.status if answer else None
        record.write(
            f"{attempt} sent {sent_at:.3f} to {gateway.name} with {key}:"
            f" {status}"
        )
        if key == KEPT:
            served += status == 200
            return
        ran_at = [at for e in engines for at, ran in e.runs if ran == attempt]
        bound = acknowledged_at + APPLY_S + SLACK_S
        if has_trouble:
            bound = max(bound, silent_at + CONTACT_S + SLACK_S)
        if ran_at and sent_at > bound:
            broken.append((attempt, sent_at))

    until = record.now() + 8
    while record.now() < until:
        for gateway in gateways:
            count += 1
            task = asyncio.create_task(ask(gateway, count + count // 2 % 2))
            calls.add(task)
            task.add_done_callback(calls.discard)
        await asyncio.sleep(0.1)
    await asyncio.gather(*calls)
    for attempt, sent_at in broken:
        record.write(
            f"BROKEN: {attempt} ran, sent {sent_at - acknowledged_at:.3f} s"
            f" after the acknowledgement and {sent_at - silent_at:.3f} s after"
            " the connections went silent"
        )
    record.write(f"{len(broken)} requests broke the rule; {served} served")
    if not served:
        raise RuntimeError("no request was served")
    return not broken


standins.main(run)
