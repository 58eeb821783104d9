"""A caller that overloads one instance ends at one that can serve it."""

from __future__ import annotations

import pytest

from bambooglade.scheduling import rotation

RUN_MS = 60_000
STEP_MS = 100
NOTICE_MS = 2_000


def _overloaded_ms(capacities: list[int], demand: int) -> int:
    """Returns for how long a caller meets an instance that is too small.

    The balancer sends it to the first instance that it takes for ready, and
    notices changes after two checks.
    """
    instances = [rotation.Rotation() for _ in capacities]
    out_since_ms: list[int | None] = [None] * len(instances)
    overloaded_ms = 0
    for now_ms in range(0, RUN_MS, STEP_MS):
        used = next(
            (
                index
                for index, since_ms in enumerate(out_since_ms)
                if since_ms is None or now_ms - since_ms < NOTICE_MS
            ),
            0,
        )
        is_overloaded = capacities[used] < demand
        overloaded_ms += STEP_MS * is_overloaded
        instances[used].record(is_overloaded=is_overloaded, now_ms=now_ms)
        for index, instance in enumerate(instances):
            if not instance.is_out(now_ms):
                out_since_ms[index] = None
            elif out_since_ms[index] is None:
                out_since_ms[index] = now_ms
    return overloaded_ms


@pytest.mark.parametrize(
    "capacities", [[100, 1_000], [100, 100, 1_000], [100] * 5 + [1_000] * 2]
)
def test_large_caller_spends_most_of_its_time_at_a_large_instance(capacities):
    assert _overloaded_ms(capacities, demand=150) < 0.5 * RUN_MS


def test_instance_that_bears_its_load_stays_in_rotation():
    known = rotation.Rotation()
    for now_ms in range(0, RUN_MS, STEP_MS):
        known.record(is_overloaded=False, now_ms=now_ms)
        assert not known.is_out(now_ms)


def test_overload_long_after_a_return_counts_as_the_first():
    known = rotation.Rotation()
    known.record(is_overloaded=True, now_ms=0)
    known.record(is_overloaded=True, now_ms=13_000)
    known.record(is_overloaded=True, now_ms=90_000)
    assert not known.is_out(90_000 + rotation.FIRST_LEAVE_MS)


def test_time_out_of_rotation_is_bounded():
    known = rotation.Rotation()
    now_ms = 0
    for _ in range(20):
        known.record(is_overloaded=True, now_ms=now_ms)
        while known.is_out(now_ms):
            now_ms += STEP_MS
    known.record(is_overloaded=True, now_ms=now_ms)
    assert not known.is_out(now_ms + rotation.MAX_LEAVE_MS)
