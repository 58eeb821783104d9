"""Tests of counting events, of the history, and of burn rates."""

from __future__ import annotations

import pathlib

import msgspec
import pytest

from bambooglade.router import metrics
from bambooglade_ctl.burn import events
from bambooglade_ctl.burn import history
from bambooglade_ctl.burn import page
from bambooglade_ctl.burn import rates
from bambooglade_ctl.burn.tests import generated


def _by_cause(end: metrics.RequestEnd) -> dict[str, int]:
    counted = metrics.Metrics()
    counted.record_request_end(end)
    counts = events.read_counts(
        counted.render().body.decode(), generated.OBJECTIVES
    )
    return {one.series.cause: one.count for one in counts if one.count}


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
def test_events_are_told_apart(
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
        at_ms=minute * generated.STEP_MS,
        objectives=(msgspec.structs.replace(generated.PLAN, share=share),),
        instances=tuple(
            events.InstanceCounts(
                instance_id=name,
                counts=(events.Count(series=series, count=count),),
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
def test_increases_survive_restarts_and_gaps(
    snapshots: list[events.Snapshot], expected: list[int]
) -> None:
    assert [one.count for one in history.increases(snapshots)] == expected


@pytest.mark.parametrize(
    ("slow_from", "alert"),
    [(400, "none"), (365, "none"), (200, "none"), (150, "slow"), (0, "slow")],
)
def test_alert_needs_both_windows(slow_from: int, alert: str) -> None:
    taken = generated.snapshots(
        minutes=370, slow_from=slow_from, requests_per_minute=10
    )
    plan, till = rates.report(taken).objectives
    assert plan.alert == alert
    assert till.alert is rates.Alert.NONE


def test_all_bad_burns_fast() -> None:
    taken = (_snapshot(0, {"a": 0}), _snapshot(60, {"a": 500}))
    (burn,) = rates.report(taken).objectives
    assert burn.alert is rates.Alert.FAST
    assert burn.windows[0].burn_rate == pytest.approx(20)
    assert [one.is_covered for one in burn.windows] == [True, True, True, False]


def test_causes_name_target_and_zone() -> None:
    taken = generated.snapshots(minutes=30, slow_from=10)
    plan = rates.report(taken).objectives[0]
    late, refused = plan.causes
    assert (late.cause, late.target_id) == ("late", "e2")
    assert (refused.cause, refused.target_id) == ("refused/overloaded", "")
    assert late.count == 4 * refused.count


def test_history_keeps_seven_hours_and_survives_a_cut_line(
    tmp_path: pathlib.Path,
) -> None:
    path = tmp_path / "burn.jsonl"
    kept: tuple[events.Snapshot, ...] = ()
    for minute in (0, 1, 421):
        kept = history.append(path, kept, _snapshot(minute, {"a": minute}))
    path.write_bytes(path.read_bytes() + b'{"at_ms": 5')
    loaded = history.load(path).unwrap()
    assert [one.at_ms // generated.STEP_MS for one in loaded] == [1, 421]
    path.write_bytes(b"{}\n" + path.read_bytes())
    assert "line 1" in history.load(path).unwrap_err().detail


def test_page_is_self_contained() -> None:
    taken = generated.snapshots(minutes=30, slow_from=10)
    text = page.render(rates.report(taken))
    assert text.count("<svg") == 2
    assert "burns" in text
    assert not any(word in text for word in ("<script", "<link", "src="))
