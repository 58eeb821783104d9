"""Tests of faults that operators of similar systems have reported."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

EVENTS = 4
DEADLINE_MS = 2_500
SLOW_EVENT_MS = 500
DRIP_MS = 40
TOLERANCE_MS = 400


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration())
    yield built
    built.close()


def send_events_slowly(harness):
    """Returns a behaviour that sends an event every `SLOW_EVENT_MS`."""

    def behave(call: engine_lib.Call) -> None:
        call.start_stream()
        for number in range(1, EVENTS + 1):
            harness.loop.call_later(
                (number - 1) * SLOW_EVENT_MS, call.event, number
            )
        harness.loop.call_later(
            (EVENTS - 1) * SLOW_EVENT_MS + 10, call.end_stream
        )

    return behave


def drip(harness, calls: list[engine_lib.Call]):
    """Returns a behaviour that sends one event, then a byte now and then."""

    def behave(call: engine_lib.Call) -> None:
        calls.append(call)
        call.start_stream()
        call.event(1)

        def send_byte() -> None:
            if call.is_open:
                call.send(b"1\r\nx\r\n")
                harness.loop.call_later(DRIP_MS, send_byte)

        send_byte()

    return behave


@pytest.mark.parametrize("path", ["/stream/1", "/resume/1"])
def test_slow_but_sound_stream_is_not_cut(harness, path):
    engines = [
        harness.add_engine(name, "jury", default=send_events_slowly(harness))
        for name in ("j1", "j2")
    ]
    harness.start_gateway()
    caller = harness.call(path, prompt="100,50", deadline_ms=DEADLINE_MS)
    assert caller.is_complete
    expected = b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
    assert caller.body == expected
    assert sum(len(engine.requests) for engine in engines) == 1


@pytest.mark.parametrize(
    ("path", "is_completed"), [("/stream/1", False), ("/resume/1", True)]
)
def test_stalled_stream_that_drips_ends(harness, path, is_completed):
    """It goes on elsewhere if it can, and is cut at the deadline if not."""
    calls: list[engine_lib.Call] = []
    harness.add_engine("j1", "jury", default=drip(harness, calls))
    harness.start_gateway()
    caller = harness.start_call(path, prompt="100,50", deadline_ms=DEADLINE_MS)
    harness.run_until(lambda: engine_lib.event(1) in caller.body)
    harness.add_engine("j2", "jury", default=engine_lib.stream_events(EVENTS))
    started_ms = harness.loop.now_ms()
    harness.run_until(lambda: caller.is_finished)
    took_ms = harness.loop.now_ms() - started_ms
    assert took_ms <= DEADLINE_MS + TOLERANCE_MS
    assert caller.is_complete is is_completed
    harness.run_for(500)
    assert [call.is_open for call in calls] == [False]


@pytest.mark.parametrize("path", ["/plain/1", "/status/1"])
def test_plain_response_that_drips_ends_at_the_deadline(harness, path):
    def behave(call: engine_lib.Call) -> None:
        call.send(
            b"HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n"
            b"X-Bambooglade-Engine-Signature: s\r\n"
            b"X-Bambooglade-Attempt-Id: %s\r\n\r\n"
            % call.request.get(engine_lib.ATTEMPT_ID.lower())
        )

        def send_byte() -> None:
            if call.is_open:
                call.send(b"x")
                harness.loop.call_later(DRIP_MS, send_byte)

        send_byte()

    harness.add_engine("p1", "portal", default=behave)
    harness.start_gateway()
    started_ms = harness.loop.now_ms()
    caller = harness.call(path, deadline_ms=1_000)
    assert caller.status != 200
    assert harness.loop.now_ms() - started_ms <= 1_000 + TOLERANCE_MS


@pytest.mark.parametrize("is_store_down", [False, True])
def test_withdrawn_key_is_refused_after_a_restart(harness, is_store_down):
    other_key = b"another-key"
    harness.configure(
        harness_lib.configuration(version=2, keys=(harness_lib.KEY, other_key))
    )
    harness.add_engine("p1", "portal")
    for name in ("edge-0", "edge-1"):
        harness.start_gateway(name)
    harness.run_until_discovered()
    assert harness.call("/plain/1", key=other_key).status == 200
    harness.configure(harness_lib.configuration(version=3))
    harness.run_until(
        lambda: all(g.view.configuration.version == 3 for g in harness.gateways)
    )
    harness.gateways[0].close()
    harness.seeds = (harness.gateways[1].settings.peer_address,)
    harness.start_gateway("edge-0", is_store_down=is_store_down)
    assert harness.call("/plain/1", key=other_key, gateway=2).status == 401


@pytest.mark.parametrize("is_store_down", [False, True])
def test_target_that_has_left_gets_nothing_after_a_restart(
    harness, is_store_down
):
    for name in ("p1", "p2"):
        harness.add_engine(name, "portal")
    for name in ("edge-0", "edge-1"):
        harness.start_gateway(name)
    harness.run_until_discovered()
    harness.store.put_now("servers/p1", None)
    harness.run_until(
        lambda: all("p1" not in g.view.target_by_id for g in harness.gateways)
    )
    harness.gateways[0].close()
    harness.seeds = (harness.gateways[1].settings.peer_address,)
    harness.start_gateway("edge-0", is_store_down=is_store_down)
    requests = len(harness.engine_by_name["p1"].requests)
    for _ in range(6):
        assert harness.call("/plain/1", gateway=2).status == 200
    assert len(harness.engine_by_name["p1"].requests) == requests
