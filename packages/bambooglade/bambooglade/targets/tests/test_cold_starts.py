"""Tests of which runs of targets are cold, and until when."""

from __future__ import annotations

import pytest

from bambooglade.discovery import targets as targets_lib
from bambooglade.targets import cold_starts

BORN_MS = 1_000_000
DURATION_MS = 3_000


def make_target(
    *, run: int = BORN_MS, cold_ms: int = 0, service: str = "s"
) -> targets_lib.RegisteredTarget:
    return targets_lib.RegisteredTarget(
        target_id="e1",
        service=service,
        address=("10.0.0.1", 80),
        availability_zone="zone-a",
        slots=4,
        started_at_ms=run,
        cold_remaining_ms=cold_ms,
    )


def new_cold_starts(ended_at_ms: int | None = None) -> cold_starts.ColdStarts:
    return cold_starts.ColdStarts(
        lambda service: (
            cold_starts.ColdStart(DURATION_MS, 10.0) if service == "s" else None
        ),
        evacuation_ended_at_ms=lambda zone: ended_at_ms,
    )


def until_ms(cold: cold_starts.ColdStarts, now_ms: int) -> int | None:
    found = cold.find("e1", now_ms=now_ms)
    return None if found is None else found.until_ms - BORN_MS


# Registrations as (run, remaining cold time, is_watching, time after BORN_MS),
# and the time after it at which the target is warm; None if it is now.
REGISTRATIONS = {
    "states it": ([(BORN_MS, 5_000, False, 90_000)], 95_000),
    "states less": (
        [(BORN_MS, 5_000, False, 90_000), (BORN_MS, 100, True, 90_500)],
        90_600,
    ),
    "states no more": (
        [(BORN_MS, 5_000, False, 90_000), (BORN_MS, 0, True, 90_500)],
        None,
    ),
    "is cold again": (
        [(BORN_MS, 0, False, 90_000), (BORN_MS, 4_000, True, 90_500)],
        94_500,
    ),
    "registers while watching": ([(BORN_MS, 0, True, 500)], 3_500),
    "registers late while watching": ([(BORN_MS, 0, True, 90_000)], 93_000),
    "states less than a start takes": ([(BORN_MS, 100, True, 500)], 3_500),
    "the same run again": (
        [(BORN_MS, 0, True, 500), (BORN_MS, 0, True, 2_000)],
        3_500,
    ),
    "a new run": (
        [(BORN_MS, 0, False, 90_000), (BORN_MS + 1, 0, True, 90_500)],
        93_500,
    ),
    "the run before, late": (
        [(BORN_MS, 0, True, 500), (BORN_MS - 1, 9_000, True, 600)],
        3_500,
    ),
    "old at the first list": ([(BORN_MS, 0, False, 90_000)], None),
    "new at the first list": ([(BORN_MS, 0, False, 1_000)], 4_000),
    "perhaps new at the first list": ([(BORN_MS, 0, False, 7_500)], 8_000),
    "born in the future": ([(BORN_MS + 90_000, 0, False, 1_000)], 4_000),
    "unknown start at the first list": ([(0, 0, False, 1_000)], None),
}


@pytest.mark.parametrize(
    ("registrations", "expected"), REGISTRATIONS.values(), ids=REGISTRATIONS
)
def test_registrations_tell_until_when_a_run_is_cold(registrations, expected):
    cold = new_cold_starts()
    for run, cold_ms, is_watching, after_ms in registrations:
        cold.observe(
            make_target(run=run, cold_ms=cold_ms),
            is_watching=is_watching,
            now_ms=BORN_MS + after_ms,
        )
    now_ms = BORN_MS + registrations[-1][3]
    assert until_ms(cold, now_ms) == expected
    if expected is not None:
        assert until_ms(cold, BORN_MS + expected - 1) == expected
        assert until_ms(cold, BORN_MS + expected) is None


@pytest.mark.parametrize(
    ("ended_after_ms", "expected"), [(None, None), (100, 3_100), (-9_000, None)]
)
def test_targets_are_cold_after_the_evacuation_of_their_zone(
    ended_after_ms, expected
):
    ended_at_ms = None if ended_after_ms is None else BORN_MS + ended_after_ms
    cold = new_cold_starts(ended_at_ms)
    cold.observe(make_target(run=1), is_watching=False, now_ms=BORN_MS)
    assert until_ms(cold, BORN_MS + 200) == expected


@pytest.mark.parametrize(("run", "expected"), [(1, 3_100), (2, None)])
def test_target_that_refused_a_connection_may_be_starting(run, expected):
    cold = new_cold_starts()
    cold.observe(make_target(run=1), is_watching=False, now_ms=BORN_MS)
    cold.record_refusal(targets_lib.TargetRun("e1", run), now_ms=BORN_MS + 100)
    assert until_ms(cold, BORN_MS + 200) == expected


def test_services_without_a_cold_rate_have_no_cold_targets():
    cold = new_cold_starts(BORN_MS)
    cold.observe(
        make_target(cold_ms=9_000, service="other"),
        is_watching=True,
        now_ms=BORN_MS,
    )
    assert until_ms(cold, BORN_MS) is None


# Guards against a fleet that takes all targets for cold when the store has
# returned from a copy and lists entries again that were written long ago.
@pytest.mark.parametrize(
    ("cold_ms", "expected"), [(5_000, None), (6_000, 96_000)]
)
def test_entry_that_is_listed_again_after_a_restore_is_not_news(
    cold_ms, expected
):
    cold = new_cold_starts()
    cold.observe(
        make_target(cold_ms=5_000), is_watching=False, now_ms=BORN_MS + 10_000
    )
    cold.observe(
        make_target(cold_ms=cold_ms),
        is_watching=True,
        is_recovering=True,
        now_ms=BORN_MS + 90_000,
    )
    assert until_ms(cold, BORN_MS + 90_000) == expected


# Guards against targets that are cold again because their entry was away for a
# moment, as after an outage of the store.
@pytest.mark.parametrize(
    ("run", "absent_ms", "is_cold"),
    [
        (BORN_MS, 500, False),
        (BORN_MS, cold_starts.MAX_ABSENCE_MS, True),
        (0, 0, True),
    ],
)
def test_run_that_was_away_for_a_moment_is_not_cold_again(
    run, absent_ms, is_cold
):
    cold = new_cold_starts()
    now_ms = BORN_MS + 90_000
    cold.observe(make_target(run=run), is_watching=False, now_ms=now_ms)
    cold.evict_missing(set(), now_ms=now_ms)
    cold.evict_missing(set(), now_ms=now_ms + absent_ms)
    now_ms += absent_ms
    cold.observe(make_target(run=run), is_watching=True, now_ms=now_ms)
    assert (until_ms(cold, now_ms) is not None) is is_cold


def test_changes_are_told_once():
    cold = new_cold_starts()

    def changes(after_ms: int) -> list[tuple[int, bool]]:
        return [
            (change.run.started_at_ms - BORN_MS, is_cold)
            for change, is_cold in cold.changes(now_ms=BORN_MS + after_ms)
        ]

    cold.observe(make_target(), is_watching=True, now_ms=BORN_MS)
    assert changes(0) == [(0, True)]
    assert changes(1_000) == []
    assert cold.cold_count == 1
    cold.observe(
        make_target(run=BORN_MS + 7), is_watching=True, now_ms=BORN_MS + 1_000
    )
    assert changes(1_500) == [(0, False), (7, True)]
    assert changes(4_000) == [(7, False)]
    assert cold.cold_count == 0


def test_records_are_bounded(monkeypatch):
    monkeypatch.setattr(cold_starts, "MAX_RECORDS", 3)
    cold = new_cold_starts()
    for number in range(9):
        target = make_target()
        target.target_id = f"e{number}"
        cold.observe(target, is_watching=True, now_ms=BORN_MS)
    assert repr(cold) == "ColdStarts(runs=3)"
    assert cold.find("e8", now_ms=BORN_MS) is not None
