"""Tests of `bambooglade.gateway.congestion`."""

from __future__ import annotations

import pytest

from bambooglade.gateway import congestion as congestion_lib


@pytest.mark.parametrize(
    ("durations_ms", "target_count", "expected"),
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
def test_congested_if_median_over_enough_targets_is_high(
    durations_ms, target_count, expected
):
    detector = congestion_lib.CongestionDetector()
    for number, took_ms in enumerate(durations_ms):
        target_id = f"t{number % target_count}"
        detector.record_connect_time(target_id, took_ms, now_ms=number)
    assert detector.is_congested(len(durations_ms)) is expected


def test_stale_samples_are_ignored_and_congestion_expires():
    detector = congestion_lib.CongestionDetector()
    for number in range(9):
        detector.record_connect_time(f"t{number}", 200, now_ms=number * 1_000)
    assert not detector.is_congested(9_000)
    for number in range(9):
        detector.record_connect_time(f"t{number}", 200, now_ms=20_000)
    assert detector.is_congested(20_000 + congestion_lib.CONGESTION_HOLD_MS - 1)
    assert not detector.is_congested(20_000 + congestion_lib.CONGESTION_HOLD_MS)
