"""Tests of `bambooglade.gateway.congestion`."""

from __future__ import annotations

import pytest

from bambooglade.gateway import congestion as congestion_lib


@pytest.mark.parametrize(
    ("durations_ms", "targets", "expected"),
    [
        ([200] * 9, 9, True),
        ([200] * 9, 2, False),
        ([200] * 8, 8, False),
        ([1] * 5 + [250] * 4, 9, False),
        ([1] * 4 + [250] * 5, 9, True),
        ([1] * 9 + [200] * 9, 9, True),
        ([200] * 9 + [1] * 9, 9, True),
    ],
)
def test_a_choked_link(durations_ms, targets, expected):
    congestion = congestion_lib.Congestion()
    for number, took_ms in enumerate(durations_ms):
        name = f"t{number % targets}"
        congestion.connected(name, took_ms, now_ms=number)
    assert congestion.is_congested(len(durations_ms)) is expected


def test_old_samples_and_the_end_of_congestion():
    congestion = congestion_lib.Congestion()
    for number in range(9):
        congestion.connected(f"t{number}", 200, now_ms=number * 1_000)
    assert not congestion.is_congested(9_000)
    for number in range(9):
        congestion.connected(f"t{number}", 200, now_ms=20_000)
    assert congestion.is_congested(20_000 + congestion_lib.HOLD_MS - 1)
    assert not congestion.is_congested(20_000 + congestion_lib.HOLD_MS)
