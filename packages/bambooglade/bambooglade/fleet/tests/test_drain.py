"""Tests of a planned stop: order, bound, and that nothing is cut early."""

from __future__ import annotations

import pytest

from bambooglade.fleet import drain as drains

Stage = drains.Stage
ORDER = tuple(Stage)
BOUND_MS = 60_000
RESERVED_MS = 2_000
LEAST_MS = 1_500
MOST_MS = 10_000
TICK_MS = 50


class _Work:
    """What is left to do in each step; each ends so long after its start."""

    def __init__(self, duration_ms_by_stage):
        self._duration_ms_by_stage = duration_ms_by_stage
        self.began_at_ms = {}
        self.now_ms = 0

    def step(self, stage):
        return drains.Step(
            stage=stage,
            reserved_ms=RESERVED_MS,
            min_ms=LEAST_MS if stage is Stage.NOT_READY else 0,
            max_ms=MOST_MS if stage is Stage.HAND_OVER else None,
            begin=lambda now_ms: self._begin(stage, now_ms),
            remaining=lambda: self._remaining(stage),
        )

    def _begin(self, stage, now_ms):
        self.began_at_ms[stage] = now_ms
        return iter(())

    def _remaining(self, stage):
        duration_ms = self._duration_ms_by_stage.get(stage, 0)
        return int(self.now_ms < self.began_at_ms[stage] + duration_ms)


def _run(duration_ms_by_stage):
    work = _Work(duration_ms_by_stage)
    drain = drains.Drain(steps=list(map(work.step, ORDER)), bound_ms=BOUND_MS)
    seen = list(drain.begin(0))
    while not drain.is_ended:
        work.now_ms += TICK_MS
        seen.extend(drain.tick(work.now_ms))
    return work, seen


@pytest.mark.parametrize(
    ("durations", "left", "took_ms"),
    [
        ({}, {}, LEAST_MS),
        ({Stage.FINISH_STREAMS: 30_000}, {}, LEAST_MS + 30_000),
        (
            {Stage.HAND_OVER: 5_000, Stage.SETTLE: 4_000},
            {},
            LEAST_MS + 9_000,
        ),
        (
            {Stage.FINISH_STREAMS: 10**9},
            {Stage.FINISH_STREAMS},
            BOUND_MS - 3 * RESERVED_MS,
        ),
        (
            {Stage.HAND_OVER: 10**9, Stage.FINISH_STREAMS: 30_000},
            {Stage.HAND_OVER},
            LEAST_MS + MOST_MS + 30_000,
        ),
        (
            {Stage.HAND_OVER: 10**9, Stage.SETTLE: 10**9},
            {Stage.HAND_OVER, Stage.SETTLE},
            BOUND_MS - 2 * RESERVED_MS,
        ),
        (dict.fromkeys(ORDER, 10**9), set(ORDER), BOUND_MS),
    ],
)
def test_steps_run_in_order_and_end_within_the_bound(durations, left, took_ms):
    work, seen = _run(durations)
    ended = [each for each in seen if isinstance(each, drains.StepEnded)]
    assert tuple(each.stage for each in ended) == ORDER
    assert tuple(work.began_at_ms) == ORDER
    assert {each.stage for each in ended if each.left} == set(left)
    assert seen[-1] == drains.DrainEnded(took_ms=took_ms)


def test_it_is_not_ready_from_the_start_and_begins_once():
    work = _Work({})
    drain = drains.Drain(steps=list(map(work.step, ORDER)), bound_ms=BOUND_MS)
    assert drain.is_ready
    assert list(drain.tick(0)) == []
    list(drain.begin(0))
    assert not drain.is_ready
    assert drain.stage is Stage.NOT_READY
    work.now_ms = 100
    assert list(drain.begin(100)) == []
    assert work.began_at_ms == {Stage.NOT_READY: 0}


def test_a_bound_that_is_too_short_is_refused():
    work = _Work({})
    with pytest.raises(ValueError, match="raise it to the 12000 ms"):
        drains.Drain(steps=list(map(work.step, ORDER)), bound_ms=11_999)
