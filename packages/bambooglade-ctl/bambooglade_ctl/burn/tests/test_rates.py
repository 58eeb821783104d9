"""Tests of event counts, the history, and burn rates."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from bambooglade.router import metrics
from bambooglade_ctl.burn import events
from bambooglade_ctl.burn import history
from bambooglade_ctl.burn import page
from bambooglade_ctl.burn import rates
from bambooglade_ctl.burn.tests import generated_snapshots


def _by_cause(end: metrics.RequestEnd) -> dict[str, int]:
    instance_metrics = metrics.Metrics()
    instance_metrics.record_request_end(end)
    counts = events.read_counts(
        instance_metrics.render().body.decode(), generated_snapshots.OBJECTIVES
    )
    return {
        series_count.series.cause: series_count.count
        for series_count in counts
        if series_count.count
    }


@pytest.mark.parametrize(
    ("outcome", "cause", "latency_ms", "expected"),
    [
        ("finished", "", 900, {"good": 1}),
        ("finished", "", 1_000, {"good": 1}),
        ("finished", "", 1_001, {"late": 1}),
        ("refused", "overloaded", 1, {"refused/overloaded": 1}),
        ("refused", "rights_unreachable", 1, {"refused/rights_unreachable": 1}),
        ("refused", "budget_exhausted", 1, {}),
        ("refused", "key_reused", 1, {}),
        ("unknown", "outcome_unknown", 1, {"unknown/outcome_unknown": 1}),
    ],
)
def test_events_are_classified_by_outcome_cause_and_latency(
    outcome: str, cause: str, latency_ms: int, expected: dict[str, int]
) -> None:
    end = metrics.RequestEnd(
        service="pantry-llm",
        request_kind="plan",
        outcome=metrics.Outcome(outcome),
        cause=cause,
        availability_zone="scot-a",
        latency_ms=latency_ms,
    )
    assert _by_cause(end) == expected
    other = msgspec.structs.replace(end, service="other")
    assert _by_cause(other) == {}


def _snapshot(
    minute: int, count_by_instance: dict[str, int], *, share: float = 0.95
) -> events.Snapshot:
    series = events.Series(
        service="pantry-llm",
        request_kind="plan",
        availability_zone="scot-a",
        target_id="e1",
        cause="late",
    )
    return events.Snapshot(
        at_ms=minute * generated_snapshots.STEP_MS,
        objectives=(
            msgspec.structs.replace(
                generated_snapshots.PLAN_OBJECTIVE, share=share
            ),
        ),
        instances=tuple(
            events.InstanceCounts(
                instance_id=name,
                counts=(events.SeriesCount(series=series, count=count),),
            )
            for name, count in count_by_instance.items()
        ),
    )


@pytest.mark.parametrize(
    ("snapshots", "expected"),
    [
        ([_snapshot(0, {"a": 7})], []),
        ([_snapshot(0, {"a": 7}), _snapshot(1, {"a": 9})], [2]),
        ([_snapshot(0, {"a": 7}), _snapshot(1, {"a": 7, "b": 4})], [4]),
        ([_snapshot(0, {"a": 7}), _snapshot(1, {"a": 3})], [3]),
        (
            [_snapshot(0, {"a": 7}), _snapshot(1, {}), _snapshot(2, {"a": 8})],
            [1],
        ),
        ([_snapshot(0, {"a": 7}), _snapshot(1, {"a": 9}, share=0.9)], []),
    ],
)
def test_increases_are_correct_across_restarts_and_gaps(
    snapshots: list[events.Snapshot], expected: list[int]
) -> None:
    assert [
        increase.count for increase in history.increases(snapshots)
    ] == expected


@pytest.mark.parametrize(
    ("slow_from", "alert"),
    [(400, "none"), (365, "none"), (200, "none"), (150, "slow"), (0, "slow")],
)
def test_alert_requires_both_windows(slow_from: int, alert: str) -> None:
    snapshots = generated_snapshots.snapshots(
        minutes=370, slow_from=slow_from, requests_per_minute=10
    )
    plan, till = rates.report(snapshots).objectives
    assert plan.alert == alert
    assert till.alert is rates.Alert.NONE


def test_only_bad_events_raise_the_fast_alert() -> None:
    snapshots = (_snapshot(0, {"a": 0}), _snapshot(60, {"a": 500}))
    (burn,) = rates.report(snapshots).objectives
    assert burn.alert is rates.Alert.FAST
    assert burn.windows[0].burn_rate == pytest.approx(20)
    assert [window.is_covered for window in burn.windows] == [
        True,
        True,
        True,
        False,
    ]


def test_causes_are_counted_per_target() -> None:
    snapshots = generated_snapshots.snapshots(minutes=30, slow_from=10)
    plan = rates.report(snapshots).objectives[0]
    late, refused = plan.causes
    assert (late.cause, late.target_id) == ("late", "e2")
    assert (refused.cause, refused.target_id) == ("refused/overloaded", "")
    assert late.count == 4 * refused.count


def test_history_retains_seven_hours_and_ignores_a_truncated_line(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "burn.jsonl"
    stored: tuple[events.Snapshot, ...] = ()
    for minute in (0, 1, 421):
        stored = history.append(path, stored, _snapshot(minute, {"a": minute}))
    path.write_bytes(path.read_bytes() + b'{"at_ms": 5')
    loaded = history.load(path).unwrap()
    assert [
        snapshot.at_ms // generated_snapshots.STEP_MS for snapshot in loaded
    ] == [
        1,
        421,
    ]
    path.write_bytes(b"{}\n" + path.read_bytes())
    assert "line 1" in history.load(path).unwrap_err().detail


def test_page_is_self_contained() -> None:
    snapshots = generated_snapshots.snapshots(minutes=30, slow_from=10)
    text = page.render(rates.report(snapshots))
    assert text.count("<svg") == 2
    assert "burns" in text
    assert not any(word in text for word in ("<script", "<link", "src="))
