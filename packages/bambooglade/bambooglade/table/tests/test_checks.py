"""Tests of the validation of rows and columns."""

from __future__ import annotations

import pytest

from bambooglade.table import checks
from bambooglade.table import columns
from bambooglade.table import rows
from bambooglade.table import view

PLAIN = rows.ServiceForm.PLAIN
ROWS_IN_FORCE = (
    rows.TeamRow(team_id="t1", key_hash="x"),
    rows.ServiceRow(service="till", form=PLAIN),
    rows.KindRow(service="till", request_kind="status", path_prefix="/s"),
    rows.KindRow(
        service="till", request_kind="put", path_prefix="/s", method="PUT"
    ),
    rows.TargetRow(
        target_id="x1",
        service="till",
        availability_zone="scot-a",
        url="http://10.0.0.1:1",
    ),
)


def _target(**overrides):
    row = {
        "target_id": "x2",
        "service": "till",
        "availability_zone": "scot-a",
        "url": "http://10.0.0.2:1",
        **overrides,
    }
    return rows.TargetRow(**row)


def _warm_up(**overrides):
    row = {
        "service": "till",
        "max_requests_per_s": 5.0,
        "duration_ms": 30_000,
        **overrides,
    }
    return rows.WarmUpRow(**row)


def _failure_kind(row, *, granted=0, batch=()):
    checker = checks.Checker(
        view.FixedTable(ROWS_IN_FORCE), granted_tokens=lambda _: granted
    )
    checked = checker.check(row, batch)
    if checked.is_ok():
        return "ok"
    failure = checked.unwrap_err()
    assert failure.remedy in str(failure)
    return failure.kind


@pytest.mark.parametrize(
    ("row", "kind"),
    [
        (rows.TeamRow(team_id="t2", key_hash="x"), "ok"),
        (rows.TeamRow(team_id="t2", key_hash="x", weight=0), "ok"),
        (rows.TeamRow(team_id="t1", key_hash="x", weight=0), "no_weight_left"),
        (rows.TeamRow(team_id="t2", key_hash="x", weight=-1), "out_of_range"),
        (
            rows.TeamRow(team_id="t2", key_hash="x", weight=float("nan")),
            "out_of_range",
        ),
        (
            rows.TeamRow(team_id="t", key_hash="x", cutoff_reserve_share=1.1),
            "out_of_range",
        ),
        (rows.TeamRow(team_id="a/b", key_hash="x"), "bad_name"),
        (rows.TeamRow(team_id="", key_hash="x"), "bad_name"),
        (rows.LimitRow(team_id="t1", spend_limit_tokens=0), "ok"),
        (rows.LimitRow(spend_limit_tokens=-1), "out_of_range"),
        (rows.LimitRow(team_id="t9"), "unknown_reference"),
        (rows.LimitRow(service="till", request_kind="status"), "ok"),
        (rows.LimitRow(service="till", request_kind="no"), "unknown_reference"),
        (rows.LimitRow(request_kind="status"), "ok"),
        (rows.LimitRow(request_kind="no"), "unknown_reference"),
        (
            rows.LimitRow(team_id="t9", spend_limit_tokens=-1),
            "row_invalid",
        ),
        (
            rows.KindRow(service="till", request_kind="k", path_prefix="/k"),
            "ok",
        ),
        (
            rows.KindRow(service="till", request_kind="k", path_prefix="/s/"),
            "shadowed",
        ),
        (
            rows.KindRow(
                service="till",
                request_kind="k",
                path_prefix="/s",
                method="GET",
            ),
            "ok",
        ),
        (
            rows.KindRow(service="till", request_kind="k", path_prefix="k"),
            "out_of_range",
        ),
        (
            rows.KindRow(service="till", request_kind="k", max_concurrency=0),
            "out_of_range",
        ),
        (rows.KindRow(service="no", request_kind="k"), "unknown_reference"),
        (_target(), "ok"),
        (_target(weight=0.0), "ok"),
        (_target(target_id="x1", weight=0.0), "no_weight_left"),
        (_target(url="http://10.0.0.1:1"), "shadowed"),
        (_target(url="10.0.0.2"), "out_of_range"),
        (_target(state=rows.RoutingState.EXCLUDED), "ok"),
        (rows.ZoneRow(availability_zone="a/b"), "bad_name"),
        (rows.ZoneRow(availability_zone="scot-z"), "ok"),
        (
            rows.ZoneRow(
                availability_zone="scot-a", state=rows.RoutingState.EXCLUDED
            ),
            "ok",
        ),
        (
            rows.ZoneRow(
                availability_zone="scot-z", state=rows.RoutingState.EXCLUDED
            ),
            "unknown_reference",
        ),
        (_warm_up(), "ok"),
        (_warm_up(service="no"), "unknown_reference"),
        (_warm_up(max_requests_per_s=0.1), "out_of_range"),
        (_warm_up(max_requests_per_s=float("nan")), "out_of_range"),
        (_warm_up(duration_ms=0), "out_of_range"),
        (_warm_up(duration_ms=3_600_001), "out_of_range"),
        (rows.ObjectiveRow(service="till", share=1.0), "out_of_range"),
        (rows.ObjectiveRow(service="till"), "ok"),
        (
            rows.OperatorRow(operator="ana", key_hash="x", role="root"),
            "out_of_range",
        ),
        (rows.OrderRow(target_id="x1", model="m"), "ok"),
        (rows.OrderRow(target_id="x9", model="m"), "unknown_reference"),
    ],
)
def test_edited_rows_are_validated(row, kind):
    assert _failure_kind(row) == kind


@pytest.mark.parametrize(
    ("granted", "kind"),
    [(99, "ok"), (100, "ok"), (101, "limit_below_granted")],
)
def test_limit_below_granted_tokens_is_refused(granted, kind):
    row = rows.LimitRow(team_id="t1", spend_limit_tokens=100)
    assert _failure_kind(row, granted=granted) == kind


def test_row_may_refer_to_another_row_of_the_same_edit():
    service = rows.ServiceRow(service="new", form=PLAIN)
    kind = rows.KindRow(service="new", request_kind="k")
    assert _failure_kind(kind) == "unknown_reference"
    assert _failure_kind(kind, batch=(service, kind)) == "ok"


@pytest.mark.parametrize(
    ("values", "kind"),
    [
        ({"type": "team", "team_id": "t", "key_hash": "x"}, "ok"),
        (
            {"type": "team", "team_id": "t", "key_hash": "x", "weight": "2.5"},
            "ok",
        ),
        (
            {"type": "team", "team_id": "t", "key_hash": "x", "enabled": "no"},
            "bad_value",
        ),
        (
            {"type": "team", "team_id": "t", "key_hash": "x", "weight": ""},
            "ok",
        ),
        ({"type": "team", "team_id": "t"}, "bad_value"),
        ({"type": "limit", "limit": "5"}, "unknown_column"),
        ({"type": "limit", "spend_limit_tokens": "x"}, "bad_value"),
        ({"type": "limits"}, "unknown_row_type"),
        (
            {"type": "zone", "availability_zone": "a", "state": "excluded"},
            "ok",
        ),
        (
            {"type": "zone", "availability_zone": "a", "state": "no"},
            "bad_value",
        ),
        ({"team_id": "t"}, "unknown_row_type"),
    ],
)
def test_columns_are_validated(values, kind):
    parsed = columns.parse_row(values)
    found = "ok" if parsed.is_ok() else parsed.unwrap_err().kind
    assert found == kind
