"""Tests of sound targets that fall silent for a second or so and go on."""

from __future__ import annotations

import pytest

from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import target_links

EVENTS = 12
EVENT_MS = 40
SILENCE_MS = 1_300
LONG_SILENCE_MS = 1_900
"""Silence in which a stream is sent to the next target."""

MAX_OVERLAP_MS = 400
DEADLINE_MS = 6_000
CALLERS = 8


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.configure(harness_lib.configuration(timeout_ms=DEADLINE_MS))
    yield built
    built.close()


def stream_slowly(harness):
    """Returns a behaviour that sends an event every `EVENT_MS`."""

    def behave(call: engine_lib.Call) -> None:
        first = int(call.request.get(b"last-event-id") or 0) + 1
        call.start_stream()
        for number in range(first, EVENTS + 1):
            harness.loop.call_later(
                (number - first) * EVENT_MS, call.event, number
            )
        harness.loop.call_later(
            (EVENTS - first) * EVENT_MS + 1, call.end_stream
        )

    return behave


def whole_stream() -> bytes:
    """Returns the body of a complete response."""
    return b"".join(map(engine_lib.event, range(1, EVENTS + 1)))


def start_streams(harness, count: int = CALLERS) -> list[harness_lib.Caller]:
    """Starts streams, and waits until each has delivered two events."""
    callers = [
        harness.start_call(
            f"/resume/{n}", prompt="100,50", deadline_ms=DEADLINE_MS
        )
        for n in range(count)
    ]
    harness.run_until(
        lambda: all(engine_lib.event(2) in c.body for c in callers)
    )
    return callers


def run_count(engines) -> int:
    """Returns how many requests reached engines."""
    return sum(len(engine.requests) for engine in engines)


@pytest.mark.parametrize("silence_ms", [1_000, 1_300, 1_500])
def test_streams_are_not_repeated_while_all_targets_are_silent(
    harness, silence_ms
):
    engines = [
        harness.add_engine(name, "jury", default=stream_slowly(harness))
        for name in ("j1", "j2", "j3")
    ]
    harness.start_gateway()
    callers = start_streams(harness)
    for engine in engines:
        engine.fall_silent(silence_ms)
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.body for c in callers] == [whole_stream()] * CALLERS
    assert all(c.is_complete for c in callers)
    assert run_count(engines) == CALLERS


def decline_for_a_while(harness, duration_ms: int):
    """Returns a behaviour that declines requests at first."""
    until_ms = harness.loop.now_ms() + duration_ms

    def behave(call: engine_lib.Call) -> None:
        if harness.loop.now_ms() < until_ms:
            call.decline()
        else:
            stream_slowly(harness)(call)

    return behave


def refuse_connections(harness, engine: engine_lib.Engine) -> None:
    del harness
    engine.close()


def decline_requests(harness, engine: engine_lib.Engine) -> None:
    engine.default = decline_for_a_while(harness, DEADLINE_MS)


def reset_requests(harness, engine: engine_lib.Engine) -> None:
    del harness
    engine.default = engine_lib.Call.reset


def answer_with_an_error(harness, engine: engine_lib.Engine) -> None:
    del harness
    engine.default = lambda call: call.respond(b"error", status=500)


@pytest.mark.parametrize(
    "spoil",
    [
        refuse_connections,
        decline_requests,
        reset_requests,
        answer_with_an_error,
    ],
)
def test_stream_is_not_cut_for_silence_if_no_other_target_takes_it(
    harness, spoil
):
    sound = harness.add_engine("j1", "jury", default=stream_slowly(harness))
    harness.start_gateway()
    callers = start_streams(harness)
    other = harness.add_engine("j2", "jury")
    spoil(harness, other)
    harness.run_for(200)
    sound.fall_silent(SILENCE_MS)
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.body for c in callers] == [whole_stream()] * CALLERS
    assert all(c.is_complete for c in callers)


def test_streams_are_not_cut_for_silence_while_no_connection_opens(harness):
    harness.has_cuttable_links = True
    engines = [
        harness.add_engine(name, "jury", default=stream_slowly(harness))
        for name in ("j1", "j2", "j3")
    ]
    harness.start_gateway()
    callers = start_streams(harness)
    harness.links[0].cut(target_links.Cut.REFUSE)
    for engine in engines:
        engine.fall_silent(SILENCE_MS)
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.body for c in callers] == [whole_stream()] * CALLERS
    assert all(c.is_complete for c in callers)
    assert run_count(engines) == CALLERS


def test_stream_goes_on_elsewhere_if_its_target_stays_silent(harness):
    gone = harness.add_engine("j1", "jury", default=stream_slowly(harness))
    harness.start_gateway()
    callers = start_streams(harness)
    other = harness.add_engine("j2", "jury", default=stream_slowly(harness))
    harness.run_for(200)
    gone.fall_silent(60_000)
    started_ms = harness.loop.now_ms()
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.body for c in callers] == [whole_stream()] * CALLERS
    assert harness.loop.now_ms() - started_ms < 2_000 + EVENTS * EVENT_MS
    assert len(other.requests) == CALLERS


@pytest.mark.parametrize("silence_ms", [500, 1_000])
def test_plain_requests_are_not_repeated_while_all_targets_are_silent(
    harness, silence_ms
):
    engines = [harness.add_engine(n, "portal") for n in ("p1", "p2", "p3")]
    harness.start_gateway()
    for engine in engines:
        engine.fall_silent(silence_ms)
    callers = [
        harness.start_call(f"/status/{n}", deadline_ms=2_500)
        for n in range(CALLERS)
    ]
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.status for c in callers] == [200] * CALLERS
    assert run_count(engines) == CALLERS


@pytest.mark.parametrize(
    "spoil",
    [
        refuse_connections,
        decline_requests,
        reset_requests,
        answer_with_an_error,
    ],
)
def test_stream_stays_at_its_silent_target_if_the_next_does_not_take_over(
    harness, spoil
):
    sound = harness.add_engine("j1", "jury", default=stream_slowly(harness))
    harness.start_gateway()
    callers = start_streams(harness)
    other = harness.add_engine("j2", "jury")
    harness.run_for(200)
    spoil(harness, other)
    sound.fall_silent(LONG_SILENCE_MS)
    harness.run_until(lambda: all(c.is_finished for c in callers))
    assert [c.body for c in callers] == [whole_stream()] * CALLERS
    assert all(c.is_complete for c in callers)
    if spoil is not refuse_connections:
        assert other.requests


def test_stream_goes_on_at_its_target_if_that_responds_before_the_next(harness):
    sound = harness.add_engine("j1", "jury", default=stream_slowly(harness))
    harness.start_gateway()
    (caller,) = start_streams(harness, 1)
    waiting = harness.add_engine("j2", "jury", default=lambda call: None)
    harness.run_for(200)
    sound.fall_silent(60_000)
    harness.run_until(lambda: waiting.requests)
    sound.go_on()
    harness.run_until(lambda: caller.is_finished)
    assert (caller.is_complete, caller.body) == (True, whole_stream())
    harness.run_until(lambda: not waiting.open_connections)


def test_stream_is_at_two_targets_only_for_a_moment(harness):
    calls: list[engine_lib.Call] = []

    def behave(call: engine_lib.Call) -> None:
        calls.append(call)
        stream_slowly(harness)(call)

    sound = harness.add_engine("j1", "jury", default=behave)
    harness.start_gateway()
    start_streams(harness, 1)
    waiting = harness.add_engine("j2", "jury", default=lambda call: None)
    harness.run_for(200)
    sound.fall_silent(60_000)
    harness.run_until(lambda: waiting.requests)
    assert calls[0].is_open
    harness.run_for(MAX_OVERLAP_MS)
    assert not calls[0].is_open


def test_stream_goes_on_only_once_if_both_targets_respond(harness):
    sound = harness.add_engine("j1", "jury", default=stream_slowly(harness))
    harness.start_gateway()
    (caller,) = start_streams(harness, 1)
    other = harness.add_engine("j2", "jury", default=stream_slowly(harness))
    harness.run_for(200)
    sound.fall_silent(60_000)
    harness.run_until(lambda: other.requests)
    sound.go_on()
    harness.run_until(lambda: caller.is_finished)
    assert (caller.is_complete, caller.body) == (True, whole_stream())
