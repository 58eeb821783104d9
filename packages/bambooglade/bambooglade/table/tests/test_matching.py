"""Tests of matching requests to rows."""

from __future__ import annotations

import pytest

from bambooglade.table import matching
from bambooglade.table import rows
from bambooglade.table import view

PLAIN = rows.ServiceForm.PLAIN


def _kind(name, prefix, method="*"):
    return rows.KindRow(
        service="till", request_kind=name, path_prefix=prefix, method=method
    )


TABLE = view.FixedTable(
    [
        rows.TeamRow(team_id="t1", key_hash="x"),
        rows.TeamRow(team_id="off", key_hash="x", enabled=False),
        rows.ServiceRow(service="till", form=PLAIN),
        rows.ServiceRow(service="bare", form=PLAIN),
        _kind("other", "/"),
        _kind("status", "/status"),
        _kind("meals", "/meals"),
        _kind("deduct", "/meals", "POST"),
        _kind("one-meal", "/meals/one"),
        rows.LimitRow(team_id="t1", spend_limit_tokens=10),
        rows.LimitRow(service="till", request_kind="deduct"),
        rows.LimitRow(
            team_id="t1",
            service="till",
            request_kind="deduct",
            spend_limit_tokens=5,
        ),
        rows.LimitRow(team_id="off", spend_limit_tokens=1),
        rows.LimitRow(request_kind="status", spend_limit_tokens=7),
    ]
)


def _match(team="t1", service="till", method="GET", path="/", kind=None):
    return matching.match_request(
        TABLE,
        team_id=team,
        service=service,
        method=method,
        path=path,
        request_kind=kind,
    )


@pytest.mark.parametrize(
    ("method", "path", "kind"),
    [
        ("GET", "/", "other"),
        ("GET", "/status", "status"),
        ("GET", "/status/7?x=/meals", "status"),
        ("GET", "/statuses", "other"),
        ("GET", "/meals", "meals"),
        ("POST", "/meals/", "deduct"),
        ("POST", "/meals/one/2", "one-meal"),
    ],
)
def test_longest_prefix_wins_then_exact_method(method, path, kind):
    matched = _match(method=method, path=path).unwrap()
    assert matched.kind.request_kind == kind


def test_named_kind_takes_precedence_over_the_path():
    assert _match(kind="deduct", path="/status").unwrap().kind.request_kind == (
        "deduct"
    )


@pytest.mark.parametrize(
    ("kind", "budget_ids"),
    [
        ("other", ("limit/t1/*/*", "team/t1")),
        ("deduct", ("limit/t1/*/*", "limit/t1/till/deduct", "team/t1")),
        ("status", ("limit/*/*/status", "limit/t1/*/*", "team/t1")),
    ],
)
def test_accounts_are_those_of_the_team_and_its_spend_limits(kind, budget_ids):
    assert _match(kind=kind).unwrap().budget_ids == budget_ids


def test_row_keys_list_all_rows_that_apply():
    assert _match(kind="deduct").unwrap().row_keys == (
        "team/t1",
        "service/till",
        "kind/till/deduct",
        "limit/t1/till/deduct",
        "limit/t1/*/*",
        "limit/*/till/deduct",
    )


@pytest.mark.parametrize(
    ("arguments", "kind"),
    [
        ({"team": "t9"}, "unknown_team"),
        ({"team": "off"}, "team_disabled"),
        ({"service": "no"}, "unknown_service"),
        ({"service": "bare"}, "unknown_kind"),
        ({"kind": "no"}, "unknown_kind"),
    ],
)
def test_request_without_match_is_refused_with_a_reason(arguments, kind):
    assert _match(**arguments).unwrap_err().kind == kind
