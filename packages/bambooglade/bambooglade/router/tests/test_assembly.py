"""Tests of assembled instances on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.core import effects
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.router.tests import simulated_cluster
from bambooglade_standins.virtual import network


@pytest.mark.parametrize("per_zone", [1, 2, 3])
def test_deduction_runs_once_with_any_number_of_instances(per_zone):
    cluster = simulated_cluster.SimulatedCluster(per_zone=per_zone)
    key, response = cluster.deduct(cluster.ids[-1])
    assert isinstance(response, calls.Billed)
    assert cluster.observer.runs == [key]


def test_sole_primary_without_key_value_service_refuses_claims():
    cluster = simulated_cluster.SimulatedCluster(per_zone=1)
    cluster.deduct(cluster.ids[0])
    cluster.fleet.network.cut(
        simulated_cluster.ZONES[0],
        network.PLATFORM,
        now_ms=cluster.fleet.now_ms,
    )
    key, response = cluster.deduct(cluster.ids[0])
    assert isinstance(response, calls.Refuse)
    assert (response.failure.kind, response.failure.ran) == (
        "claim_unavailable",
        "no",
    )
    assert key not in cluster.observer.runs


def test_replaced_sole_primary_grants_no_claim():
    # A paused primary is replaced. When it resumes, it still has its former
    # state, and could grant a claim that its replacement has already granted.
    cluster = simulated_cluster.SimulatedCluster(per_zone=1)
    cluster.deduct(cluster.ids[0])
    replaced = cluster.ids[0]
    cluster.fleet.pause(replaced)
    cluster.fleet.run_for(10_000)
    replacement = cluster.fleet.start(simulated_cluster.ZONES[0])
    cluster.fleet.run_for(10_000)
    cluster.deduct(replacement)
    key, response = cluster.deduct(replacement)
    assert isinstance(response, calls.Billed)
    assert cluster.is_history_lost()
    machine = cluster.fleet.instance_by_id[replaced].parts.machine
    claim = messages.Claim(
        key=key,
        attempt=messages.Attempt(entry=cluster.ids[1], number=1),
        fingerprint="f",
        repeatable=False,
        deadline_ms=cluster.fleet.now_ms + simulated_cluster.DEADLINE_MS,
    )
    cluster.fleet.wake(replaced)
    effects_of_claim = machine.handle(
        claim, cluster.ids[1], cluster.fleet.now_ms
    )
    assert _granted_claims(effects_of_claim) == []
    cluster.fleet.run_for(10_000)
    assert cluster.observer.runs.count(key) == 1


def _granted_claims(decided):
    return [
        effect
        for effect in decided
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.ClaimGranted)
    ]


def test_last_instance_of_a_zone_returns_its_rights_before_it_stops():
    prepaid = 20 * simulated_cluster.COST
    cluster = simulated_cluster.SimulatedCluster(per_zone=1, prepaid=prepaid)
    last, other = cluster.ids
    cluster.deduct(last)
    cluster.fleet.begin_stop(last)
    cluster.fleet.run_for(5_000)
    assert not cluster.fleet.instance_by_id[last].alive
    for _ in range(prepaid // simulated_cluster.COST):
        cluster.deduct(other, arbiter=simulated_cluster.ZONES[1])
    spent = len(cluster.observer.runs) * simulated_cluster.COST
    assert spent == prepaid
    assert isinstance(cluster.observer.results[-1], calls.Refuse)
