"""Tests that a promoted backup fences the primary that it replaced.

The replaced primary wakes up while the store that holds the assignments is
down. Without the epoch check the promoted backup still acknowledges the
replaced primary, so that both grant rights and more is spent than was prepaid.
"""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router.tests import simulated_cluster
from bambooglade.shards import document as documents

PREPAID = 1_000
CALLS = 250
"""Calls per primary; both together cost more than twice the prepaid tokens."""


def _no_fault(monkeypatch):
    del monkeypatch


def _primary_and_backup(cluster):
    """Returns the primary and the backup of the first zone."""
    stored = cluster.fleet.service.by_key[f"{documents.KEY_PREFIX}/0"]
    assignment = documents.decode(stored.value).assignment(
        simulated_cluster.ZONES[0]
    )
    return assignment.primary, assignment.backup


def _begin_many_calls(cluster, entry):
    for number in range(CALLS):
        key = identifiers.RequestKey(f"{entry}-{number}")
        cluster.fleet.begin(entry, cluster.new_call(key, repeatable=True))


@pytest.mark.parametrize(
    ("fault", "overspends"),
    [
        (_no_fault, False),
        (faults.acknowledge_old_primary_after_promotion, True),
    ],
    ids=["with_epoch_check", "without_epoch_check"],
)
def test_replaced_primary_grants_no_rights_after_a_promotion(
    monkeypatch, fault, overspends
):
    fault(monkeypatch)
    cluster = simulated_cluster.SimulatedCluster(per_zone=2, prepaid=PREPAID)
    cluster.deduct(cluster.ids[0])
    old, new = _primary_and_backup(cluster)
    cluster.fleet.pause(old)
    cluster.fleet.run_for(10_000)
    assert _primary_and_backup(cluster)[0] == new
    cluster.fleet.service.faults.down = True
    cluster.fleet.wake(old)
    for entry in (old, new):
        _begin_many_calls(cluster, entry)
    cluster.fleet.run_for(simulated_cluster.DEADLINE_MS)
    spent = len(cluster.observer.runs) * simulated_cluster.COST
    assert (spent > PREPAID) == overspends
    assert any(
        isinstance(call_result, calls.Refuse)
        for call_result in cluster.observer.results
    )
