"""Tests of plain services over real HTTP, with tills that fail in each way."""

from __future__ import annotations

import msgspec
import pytest
import uuid6

from bambooglade.operations import calls
from bambooglade.router.tests import caller_bench
from bambooglade.transport import problems
from bambooglade_standins import faults as faults_lib
from bambooglade_standins.plain_service import app as till_app
from bambooglade_standins.plain_service import server as till_server

DEDUCT = b'{"account": "anna", "amount": 3}'
OPENING = 1_000


def start_pair(faults):
    first, first_app = till_server.start("till-1", faults=faults)
    second, second_app = till_server.start("till-2")
    return {"till-1": first, "till-2": second}, (first_app, second_app)


def runs(apps, key):
    return sum(app.runs.by_key().get(key, 0) for app in apps)


FAULTS = {
    "none": faults_lib.Faults(),
    "dies_before": faults_lib.Faults(die_before_answer=True),
    "dies_after": faults_lib.Faults(die_after_run=True),
    "crossed": faults_lib.Faults(crossed=True),
    "cut": faults_lib.Faults(truncated=True),
    "late": faults_lib.Faults(delay_ms=5_000),
    "refused": faults_lib.Faults(refuse_status=503),
}


@pytest.mark.parametrize("name", FAULTS)
def test_call_that_may_not_be_repeated_runs_at_most_once(name):
    tills, apps = start_pair(FAULTS[name])
    key = str(uuid6.uuid7())
    with caller_bench.running(tills, caller_bench.TILL) as bench:
        response = bench.send(
            "POST",
            "/services/till/deduct",
            body=DEDUCT,
            Idempotency_Key=key,
            X_Deadline_Ms="500",
        )
        run_end = bench.port.wait_for_end(key)
    assert runs(apps, key) <= 1
    assert run_end.spent_tokens == 2
    if name == "none":
        answer = msgspec.json.decode(response.body, type=till_app.Balance)
        assert (answer.key, answer.balance) == (key, OPENING - 3)
        assert run_end.result is calls.RunResult.FINISHED
        return
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert (problem.kind, problem.ran) == ("outcome_unknown", "unknown")
    assert run_end.result is calls.RunResult.UNKNOWN


@pytest.mark.parametrize("name", FAULTS)
def test_repeatable_call_is_answered_by_another_target(name):
    tills, _ = start_pair(FAULTS[name])
    with caller_bench.running(tills, caller_bench.TILL) as bench:
        response = bench.send(
            "GET",
            "/services/till/status?file=7",
            Idempotency_Key="k1",
            X_Deadline_Ms="2000",
        )
        run_end = bench.port.wait_for_end("k1")
    assert response.head.status == 200
    assert msgspec.json.decode(response.body, type=till_app.Status)
    assert run_end.result is calls.RunResult.FINISHED
    assert run_end.spent_tokens == 1


def test_answer_to_head_has_no_body():
    server, _ = till_server.start("till-1")
    with caller_bench.running({"till-1": server}, caller_bench.TILL) as bench:
        response = bench.send("HEAD", "/services/till/status")
    assert (response.head.status, response.body) == (200, b"")


def test_unreached_target_is_passed_over_for_a_call_that_runs_once():
    tills, apps = start_pair(None)
    tills["till-1"].stop()
    key = str(uuid6.uuid7())
    with caller_bench.running(tills, caller_bench.TILL) as bench:
        response = bench.send(
            "POST", "/services/till/deduct", body=DEDUCT, Idempotency_Key=key
        )
    assert response.head.status == 200
    assert runs(apps, key) == 1


def test_no_reached_target_means_not_run():
    tills, apps = start_pair(None)
    for server in tills.values():
        server.stop()
    key = str(uuid6.uuid7())
    with caller_bench.running(tills, caller_bench.TILL) as bench:
        response = bench.send(
            "POST", "/services/till/deduct", body=DEDUCT, Idempotency_Key=key
        )
        run_end = bench.port.wait_for_end(key)
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert problem.ran == "no"
    assert run_end.result is calls.RunResult.NOT_RUN
    assert runs(apps, key) == 0


REFUSED = {
    "no_key": ("POST", "/services/till/deduct", {}, 400),
    "key_without_age": (
        "POST",
        "/services/till/deduct",
        {"Idempotency_Key": "order-17"},
        422,
    ),
    "bad_key": (
        "GET",
        "/services/till/status",
        {"Idempotency_Key": "a b"},
        400,
    ),
    "bad_deadline": (
        "GET",
        "/services/till/status",
        {"X_Deadline_Ms": "x"},
        400,
    ),
    "no_team": ("GET", "/services/till/status", {"team": "nobody"}, 401),
    "unknown_service": ("GET", "/services/nothing/x", {}, 404),
    "unknown_kind": ("GET", "/services/till/other", {}, 404),
    "model": ("GET", "/services/model-1/x", {}, 400),
    "parent_path": ("GET", "/services/till/status/%2e%2e/runs", {}, 400),
    "unknown_path": ("GET", "/nothing", {}, 404),
    "wrong_method": ("GET", "/v1/chat/completions", {}, 405),
    "unknown_key": ("GET", "/v1/requests/none", {}, 404),
}


@pytest.mark.parametrize("name", REFUSED)
def test_refusals_are_typed_and_reach_no_target(name):
    method, path, options, status = REFUSED[name]
    server, app = till_server.start("till-1")
    with caller_bench.running({"till-1": server}, caller_bench.TILL) as bench:
        response = bench.send(
            method, path, body=DEDUCT if method == "POST" else None, **options
        )
    problem = msgspec.json.decode(response.body, type=problems.Problem)
    assert (response.head.status, problem.status) == (status, status)
    assert problem.ran == "no"
    assert problem.remedy
    assert app.runs.by_key() == {}


def test_outcome_is_shown_to_the_own_team_only():
    server, _ = till_server.start("till-1")
    with caller_bench.running({"till-1": server}, caller_bench.TILL) as bench:
        bench.send("GET", "/services/till/status", Idempotency_Key="k1")
        own = bench.send("GET", "/v1/requests/k1")
        other = bench.send("GET", "/v1/requests/k1", team="t2")
    assert own.head.status == 200
    assert b"till-1" in own.body
    assert other.head.status == 404
    assert b"till-1" not in other.body
