"""Tests of an instance's assembled decisions on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.core import effects
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.router.tests import simulated_cluster
from bambooglade_standins.virtual import network


@pytest.mark.parametrize("per_zone", [1, 2, 3])
def test_deduction_runs_with_any_number_of_instances(per_zone):
    scene = simulated_cluster.SimulatedCluster(per_zone=per_zone)
    key, answer = scene.deduct(scene.ids[-1])
    assert isinstance(answer, calls.Billed)
    assert scene.observer.runs == [key]


def test_sole_primary_without_the_platform_grants_no_claim():
    scene = simulated_cluster.SimulatedCluster(per_zone=1)
    scene.deduct(scene.ids[0])
    scene.fleet.network.cut(
        simulated_cluster.ZONES[0], network.PLATFORM, now_ms=scene.fleet.now_ms
    )
    key, answer = scene.deduct(scene.ids[0])
    assert isinstance(answer, calls.Refuse)
    assert (answer.failure.kind, answer.failure.ran) == (
        "claim_unavailable",
        "no",
    )
    assert key not in scene.observer.runs


def test_sole_primary_that_was_replaced_grants_no_claim():
    scene = simulated_cluster.SimulatedCluster(per_zone=1)
    scene.deduct(scene.ids[0])
    old = scene.ids[0]
    scene.fleet.pause(old)
    scene.fleet.run_for(10_000)
    replacement = scene.fleet.start(simulated_cluster.ZONES[0])
    scene.fleet.run_for(10_000)
    scene.deduct(replacement)
    key, answer = scene.deduct(replacement)
    assert isinstance(answer, calls.Billed)
    assert scene.is_history_lost()
    machine = scene.fleet.instance_by_id[old].parts.machine
    claim = messages.Claim(
        key=key,
        attempt=messages.Attempt(entry=scene.ids[1], number=1),
        fingerprint="f",
        repeatable=False,
        deadline_ms=scene.fleet.now_ms + simulated_cluster.DEADLINE_MS,
    )
    scene.fleet.wake(old)
    sent = machine.handle(claim, scene.ids[1], scene.fleet.now_ms)
    assert _granted(sent) == []
    scene.fleet.run_for(10_000)
    assert scene.observer.runs.count(key) == 1


def _granted(decided):
    return [
        effect
        for effect in decided
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.ClaimGranted)
    ]


def test_last_instance_of_a_zone_gives_its_rights_back_before_it_stops():
    prepaid = 20 * simulated_cluster.COST
    scene = simulated_cluster.SimulatedCluster(per_zone=1, prepaid=prepaid)
    last, other = scene.ids
    scene.deduct(last)
    scene.fleet.begin_stop(last)
    scene.fleet.run_for(5_000)
    assert not scene.fleet.instance_by_id[last].alive
    for _ in range(prepaid // simulated_cluster.COST):
        scene.deduct(other, arbiter=simulated_cluster.ZONES[1])
    spent = len(scene.observer.runs) * simulated_cluster.COST
    assert spent == prepaid
    assert isinstance(scene.observer.results[-1], calls.Refuse)
