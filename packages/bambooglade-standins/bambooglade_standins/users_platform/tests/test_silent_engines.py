"""Tests of streams whose sound engine is silent for a time."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib

EVENTS = 4
SILENCE_MS = 1_300


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration(timeout_ms=6_000))
    built.add_engine("p1", "portal")
    built.add_engine("j1", "jury", default=engine_lib.stream_events(EVENTS))
    built.start_gateway()
    yield built
    built.close()


def fall_silent(loop):
    """Returns a behaviour that pauses its stream after the first event."""

    def behave(call):
        def go_on():
            for number in range(2, EVENTS + 1):
                call.event(number)
            call.end_stream()

        call.start_stream()
        call.event(1)
        loop.call_later(SILENCE_MS, go_on)

    return behave


def refuse_connections(harness):
    harness.engine_by_name["j2"].close()


@pytest.mark.parametrize(
    "next_engine, prepare",
    [
        pytest.param(engine_lib.stream_events(EVENTS), None, id="serves"),
        pytest.param(engine_lib.Call.decline, None, id="declines"),
        pytest.param(engine_lib.Call.reset, None, id="resets"),
        pytest.param(
            engine_lib.stream_events(EVENTS),
            refuse_connections,
            id="refuses connections",
        ),
    ],
)
def test_stream_outlives_a_silent_engine_whatever_the_next_one_does(
    harness, next_engine, prepare
):
    j1 = harness.engine_by_name["j1"]
    j1.script.append(fall_silent(harness.loop))
    caller = harness.start_call("/resume/1", prompt="10,5", deadline_ms=5_000)
    harness.run_until(lambda: j1.requests)
    harness.add_engine("j2", "jury", default=next_engine)
    harness.run_until(lambda: "j2" in harness.gateways[0].view.target_by_id)
    if prepare is not None:
        prepare(harness)
    harness.run_until(lambda: caller.is_finished)
    assert caller.is_complete
    assert caller.body == b"".join(map(engine_lib.event, range(1, EVENTS + 1)))
