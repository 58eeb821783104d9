"""Safety of the policies in a short version of the experiment."""

from __future__ import annotations

import pytest

from benchmarks import budget_policy
from benchmarks import cases
from benchmarks import truth
from benchmarks import workloads

SHORT_MS = 30_000


def _run(deployment, case, policy, **changes):
    return budget_policy.run(
        budget_policy.Setting(
            deployment=deployment,
            case=case,
            policy=policy,
            duration_ms=SHORT_MS,
            **changes,
        )
    )


@pytest.mark.parametrize(
    ("case", "deployment"),
    [
        (case, workloads.DEPLOYMENTS[number % 2])
        for number, case in enumerate(cases.CASES)
    ],
    ids=lambda value: value.name,
)
def test_escrow_is_safe_in_every_case(case, deployment):
    outcome = _run(deployment, case, "escrow")
    assert outcome.overspend_tokens == 0
    assert outcome.double_bills == 0
    assert outcome.double_runs == 0
    assert outcome.refused < outcome.requests / 2


@pytest.mark.parametrize("deployment", workloads.DEPLOYMENTS)
@pytest.mark.parametrize(
    "case", [case for case in cases.CASES if case.cuts_zones]
)
def test_partition_cases_are_hard_enough_to_overspend(case, deployment):
    outcome = _run(deployment, case, "optimistic", requests_per_s=40)
    assert outcome.overspend_tokens > 0


@pytest.mark.parametrize("policy", ["static", "central"])
@pytest.mark.parametrize("case", cases.CASES, ids=lambda case: case.name)
def test_careful_baselines_do_not_overspend(case, policy):
    outcome = _run(workloads.QUETZAL, case, policy)
    assert outcome.overspend_tokens == 0


def test_same_seed_gives_the_same_outcome():
    setting = (workloads.QUETZAL, cases.CASES[1], "escrow")
    assert _run(*setting) == _run(*setting)


def test_truth_counts_what_a_policy_must_not_do():
    arrivals = workloads.arrivals(
        workloads.THISTLEBYTE,
        seed=1,
        duration_ms=5_000,
        requests_per_s=10,
        epoch_ms=0,
    )
    arrival = next(one for one in arrivals if not one.kind.repeatable)
    book = truth.Truth({arrival.budget_id: 15})
    for run_id in ("1", "2"):
        book.run_started(run_id, arrival)
        book.run_ended(run_id, finished=True)
        book.bill(arrival.key, arrival.budget_id, 10)
    assert book.counts.double_runs == 1
    assert book.counts.double_bills == 1
    assert book.overspend_tokens == 5
    assert book.free(arrival.budget_id) == 5


def test_line_has_the_agreed_form():
    setting = next(budget_policy.settings())
    assert setting.policy == "escrow"
    outcome = _run(workloads.QUETZAL, cases.CASES[0], "static")
    keys = [pair.partition("=")[0] for pair in outcome.text().split()]
    assert keys[:7] == [
        "requests",
        "overspend_tokens",
        "false_refusals",
        "double_bills",
        "double_runs",
        "stranded_tokens",
        "service_calls_per_s",
    ]
