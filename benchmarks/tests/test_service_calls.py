"""Holds the calls to the service to its limits, also after an outage."""

from __future__ import annotations

import pytest

from bambooglade.store import call_budget
from benchmarks import service_calls

SIXTY = service_calls.Size(nodes=60, documents=4_800, refill_period_ms=300_000)


@pytest.mark.parametrize("size", [service_calls.TODAY, SIXTY])
def test_calls_stay_within_the_limits_in_every_second(size):
    *phases, _ = service_calls.measure(size, budgeted=True, seed=3)
    assert [phase.phase for phase in phases] == [
        "calm",
        "outage",
        "after_outage",
    ]
    for phase in phases:
        assert phase.worst_reads <= call_budget.READS_PER_S
        assert phase.worst_writes <= call_budget.WRITES_PER_S


def test_without_the_budget_the_limit_is_passed():
    *phases, _ = service_calls.measure(SIXTY, budgeted=False, seed=3)
    assert phases[-1].worst_writes > call_budget.WRITES_PER_S
