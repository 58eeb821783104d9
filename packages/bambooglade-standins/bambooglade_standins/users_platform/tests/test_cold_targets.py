"""Tests of targets that tolerate few requests after their start."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

COLD_START_MS = 3_000
COLD_PER_S = 10
TOLERATED = 1.5 * COLD_PER_S + 5
WATCH_MS = 600
"""Time within which all gateways have read a registration."""


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    value = msgspec.json.decode(harness_lib.configuration(prepaid=None))
    for service in value["services"]:
        service["coldStartS"] = COLD_START_MS / 1_000
        service["coldPerS"] = COLD_PER_S
    built.configure(msgspec.json.encode(value))
    yield built
    built.close()


def start_fleet(harness, *, gateways: int, engines: int) -> None:
    """Starts a fleet, and waits until its targets are warm."""
    for number in range(engines):
        harness.add_engine(f"p{number}", "portal")
    for number in range(gateways):
        harness.start_gateway(f"edge-{number}")
        harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.run_until_discovered()
    harness.run_until(
        lambda: all(g._registration.has_initial_peers for g in harness.gateways)
    )


def send(harness, duration_ms: int, *, per_s: int) -> list:
    """Sends requests to all gateways in turn; returns the callers."""
    callers = []
    start_ms = harness.loop.now_ms()
    while harness.loop.now_ms() - start_ms < duration_ms:
        due = (harness.loop.now_ms() - start_ms) * per_s // 1_000 + 1
        while len(callers) < due:
            number = len(callers)
            callers.append(
                harness.start_call(
                    "/status/1",
                    gateway=number % len(harness.gateways),
                    body=b"%d" % number,
                )
            )
        harness.run_for(10)
    harness.run_until(lambda: all(c.is_finished for c in callers))
    return callers


def most_in_a_second(engine: engine_lib.Engine, since_ms: int) -> int:
    times_ms = [r.received_at_ms for r in engine.requests]
    counted = [t for t in times_ms if t >= since_ms]
    return max(
        (sum(s <= t < s + 1_000 for t in counted) for s in counted), default=0
    )


def restart_together(harness, engines) -> int:
    """Starts engines again at the same time, and waits until it is known.

    Returns:
        The time at which they registered.
    """
    since_ms = harness.loop.now_ms()
    for engine in engines:
        engine.reset_connections()
        harness.store.put_now(
            f"servers/{engine.name}",
            registration(engine, cold_ms=0, run=since_ms),
        )
    harness.run_until(
        lambda: all(
            gateway.view.target_by_id[engine.name].started_at_ms == since_ms
            for gateway in harness.gateways
            for engine in engines
        )
    )
    return since_ms


def test_other_targets_are_used_while_one_is_cold(harness):
    start_fleet(harness, gateways=6, engines=3)
    # Without a cold start, it is the first choice of all gateways.
    cold = harness.engine_by_name["p0"]
    harness.restart_engine(cold)
    since_ms = harness.loop.now_ms()
    callers = send(harness, 2_500, per_s=150)
    assert {caller.status for caller in callers} == {200}
    assert 0 < most_in_a_second(cold, since_ms) <= TOLERATED


def test_targets_that_come_back_together_are_spared(harness):
    start_fleet(harness, gateways=6, engines=3)
    engines = list(harness.engine_by_name.values())
    since_ms = restart_together(harness, engines)
    callers = send(harness, 1_500, per_s=150)
    for engine in engines:
        assert 0 < most_in_a_second(engine, since_ms) <= TOLERATED
    refused = [c for c in callers if c.status == 503]
    assert {c.status for c in callers} == {200, 503}
    retry_s = {float(c.header(b"retry-after")) for c in refused}
    assert 0 < min(retry_s) <= max(retry_s) <= 2
    harness.run_for(COLD_START_MS)
    callers = send(harness, 500, per_s=150)
    assert {caller.status for caller in callers} == {200}


def test_restarted_instances_do_not_exceed_the_rate(harness):
    start_fleet(harness, gateways=6, engines=1)
    (engine,) = harness.engine_by_name.values()
    since_ms = restart_together(harness, [engine])
    send(harness, 200, per_s=200)
    for number in (1, 2):
        harness.gateways.pop(1).close()
        harness.start_gateway(f"edge-{number}")
    send(harness, 1_500, per_s=200)
    assert 0 < most_in_a_second(engine, since_ms) <= TOLERATED


def test_request_is_handed_over_to_an_instance_that_may_send(harness):
    start_fleet(harness, gateways=14, engines=1)
    (engine,) = harness.engine_by_name.values()
    harness.restart_engine(engine)
    others = [
        number
        for number, gateway in enumerate(harness.gateways)
        if gateway.limits.rank_of(engine.name).rank >= COLD_PER_S
    ]
    assert len(others) == 4
    assert harness.call("/status/1", gateway=others[0]).status == 200


def registration(engine, *, cold_ms: int, run: int) -> bytes:
    value = msgspec.json.decode(
        harness_lib.engine_registration(
            engine.address, "portal", started_at_ms=run
        )
    )
    return msgspec.json.encode({**value, "coldRemainingMs": cold_ms})


def test_target_may_become_cold_again(harness):
    start_fleet(harness, gateways=6, engines=1)
    gateway = harness.gateways[0]
    again = harness.engine_by_name["p0"]
    harness.store.put_now(
        "servers/p0", registration(again, cold_ms=1_500, run=1)
    )
    harness.run_until(
        lambda: all(
            g.view.target_by_id["p0"].cold_remaining_ms
            for g in harness.gateways
        )
    )
    since_ms = harness.loop.now_ms()
    send(harness, 1_200, per_s=150)
    assert gateway.cold_starts.cold_count == 1
    assert 0 < most_in_a_second(again, since_ms) <= TOLERATED
    harness.run_for(300 + WATCH_MS)
    assert gateway.cold_starts.cold_count == 0
    callers = send(harness, 500, per_s=150)
    assert {caller.status for caller in callers} == {200}


def test_lone_instance_serves_cold_targets(harness):
    start_fleet(harness, gateways=1, engines=1)
    (engine,) = harness.engine_by_name.values()
    harness.restart_engine(engine)
    assert harness.call("/status/1").status == 200


# Guards against requests at the usual rate between the moment at which a new
# process listens and the one at which its registration is read.
def test_target_that_refuses_connections_is_taken_for_starting(harness):
    start_fleet(harness, gateways=1, engines=2)
    (gateway,) = harness.gateways
    harness.engine_by_name["p0"].close()
    # Equal targets take turns, so that one of two requests is sent there first.
    for _ in range(2):
        assert harness.call("/status/1").status == 200
    now_ms = harness.loop.now_ms()
    assert gateway.cold_starts.find("p0", now_ms=now_ms) is not None
    assert gateway.cold_starts.find("p1", now_ms=now_ms) is None
