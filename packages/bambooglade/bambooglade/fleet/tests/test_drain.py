"""Tests of the graceful shutdown: step order, time limit and early ends."""

from __future__ import annotations

import pytest

from bambooglade.fleet import drain as drain_lib

Stage = drain_lib.Stage
ORDER = tuple(Stage)
BOUND_MS = 60_000
RESERVED_MS = 2_000
MIN_MS = 1_500
MAX_MS = 10_000
TICK_MS = 50


class _SimulatedWork:
    """Simulates work that takes a given time from the start of each step."""

    def __init__(self, duration_ms_by_stage):
        self._duration_ms_by_stage = duration_ms_by_stage
        self.started_at_ms = {}
        self.now_ms = 0

    def step(self, stage):
        return drain_lib.Step(
            stage=stage,
            reserved_ms=RESERVED_MS,
            min_ms=MIN_MS if stage is Stage.NOT_READY else 0,
            max_ms=MAX_MS if stage is Stage.HAND_OVER else None,
            begin=lambda now_ms: self._begin(stage, now_ms),
            remaining=lambda: self._remaining(stage),
        )

    def _begin(self, stage, now_ms):
        self.started_at_ms[stage] = now_ms
        return iter(())

    def _remaining(self, stage):
        duration_ms = self._duration_ms_by_stage.get(stage, 0)
        return int(self.now_ms < self.started_at_ms[stage] + duration_ms)


def _run(duration_ms_by_stage):
    work = _SimulatedWork(duration_ms_by_stage)
    drain = drain_lib.Drain(
        steps=list(map(work.step, ORDER)), bound_ms=BOUND_MS
    )
    yielded = list(drain.begin(0))
    while not drain.is_ended:
        work.now_ms += TICK_MS
        yielded.extend(drain.tick(work.now_ms))
    return work, yielded


@pytest.mark.parametrize(
    ("durations", "unfinished", "took_ms"),
    [
        ({}, {}, MIN_MS),
        ({Stage.FINISH_STREAMS: 30_000}, {}, MIN_MS + 30_000),
        (
            {Stage.HAND_OVER: 5_000, Stage.SETTLE: 4_000},
            {},
            MIN_MS + 9_000,
        ),
        (
            {Stage.FINISH_STREAMS: 10**9},
            {Stage.FINISH_STREAMS},
            BOUND_MS - 3 * RESERVED_MS,
        ),
        (
            {Stage.HAND_OVER: 10**9, Stage.FINISH_STREAMS: 30_000},
            {Stage.HAND_OVER},
            MIN_MS + MAX_MS + 30_000,
        ),
        (
            {Stage.HAND_OVER: 10**9, Stage.SETTLE: 10**9},
            {Stage.HAND_OVER, Stage.SETTLE},
            BOUND_MS - 2 * RESERVED_MS,
        ),
        (dict.fromkeys(ORDER, 10**9), set(ORDER), BOUND_MS),
    ],
)
def test_steps_run_in_order_and_end_within_the_time_limit(
    durations, unfinished, took_ms
):
    work, yielded = _run(durations)
    ended = [each for each in yielded if isinstance(each, drain_lib.StepEnded)]
    assert tuple(each.stage for each in ended) == ORDER
    assert tuple(work.started_at_ms) == ORDER
    assert {each.stage for each in ended if each.remaining} == set(unfinished)
    assert yielded[-1] == drain_lib.DrainEnded(took_ms=took_ms)


def test_begin_clears_readiness_and_starts_only_once():
    work = _SimulatedWork({})
    drain = drain_lib.Drain(
        steps=list(map(work.step, ORDER)), bound_ms=BOUND_MS
    )
    assert drain.is_ready
    assert list(drain.tick(0)) == []
    list(drain.begin(0))
    assert not drain.is_ready
    assert drain.stage is Stage.NOT_READY
    work.now_ms = 100
    assert list(drain.begin(100)) == []
    assert work.started_at_ms == {Stage.NOT_READY: 0}


def test_time_limit_below_the_reserved_time_is_rejected():
    work = _SimulatedWork({})
    with pytest.raises(ValueError, match="raise it to the 12000 ms"):
        drain_lib.Drain(steps=list(map(work.step, ORDER)), bound_ms=11_999)
