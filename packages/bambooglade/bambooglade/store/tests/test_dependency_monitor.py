"""Tests of `bambooglade.store.dependency_monitor`."""

from __future__ import annotations

import pytest

from bambooglade.core import clock as clocks
from bambooglade.core import event_log
from bambooglade.store import dependency_monitor

OUTAGE_MS = dependency_monitor.MIN_LAPSE_OUTAGE_MS
RECOVERY_MS = dependency_monitor.RECOVERY_PERIOD_MS


@pytest.mark.parametrize(
    ("outages", "recovery_ends_at_ms"),
    [
        ([], 0),
        ([(0, OUTAGE_MS - 1)], 0),
        ([(0, OUTAGE_MS)], OUTAGE_MS + RECOVERY_MS),
        ([(0, 5_000), (5_500, 5_800)], 5_000 + RECOVERY_MS),
        ([(0, 5_000), (5_500, 7_000)], 7_000 + RECOVERY_MS),
    ],
)
def test_only_outages_in_which_entries_lapse_start_a_recovery(
    outages, recovery_ends_at_ms
):
    monitor = dependency_monitor.DependencyMonitor(
        "store", log=event_log.EventLog(clocks.ManualClock())
    )
    for lost_at_ms, back_at_ms in outages:
        monitor.record_failure(now_ms=lost_at_ms, reason="timeout")
        monitor.record_failure(now_ms=lost_at_ms + 1, reason="timeout")
        monitor.record_success(now_ms=back_at_ms)
        monitor.record_success(now_ms=back_at_ms + 1)
    assert monitor.recovery_ends_at_ms == recovery_ends_at_ms
