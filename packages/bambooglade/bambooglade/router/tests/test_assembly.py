"""Tests of assembled instances on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.core import effects
from bambooglade.operations import calls
from bambooglade.operations import messages
from bambooglade.router.tests import virtual_scene
from bambooglade_standins.virtual import network


@pytest.mark.parametrize("per_zone", [1, 2, 3])
def test_deduction_runs_once_with_any_number_of_instances(per_zone):
    scene = virtual_scene.Scene(per_zone=per_zone)
    key, response = scene.deduct(scene.ids[-1])
    assert isinstance(response, calls.Billed)
    assert scene.observer.runs == [key]


def test_sole_primary_without_key_value_service_refuses_claims():
    scene = virtual_scene.Scene(per_zone=1)
    scene.deduct(scene.ids[0])
    scene.fleet.network.cut(
        virtual_scene.ZONES[0], network.PLATFORM, now_ms=scene.fleet.now_ms
    )
    key, response = scene.deduct(scene.ids[0])
    assert isinstance(response, calls.Refuse)
    assert (response.failure.kind, response.failure.ran) == (
        "claim_unavailable",
        "no",
    )
    assert key not in scene.observer.runs


def test_replaced_sole_primary_grants_no_claim():
    # A paused primary is replaced. When it resumes, it still has its former
    # state, and could grant a claim that its replacement has already granted.
    scene = virtual_scene.Scene(per_zone=1)
    scene.deduct(scene.ids[0])
    replaced = scene.ids[0]
    scene.fleet.pause(replaced)
    scene.fleet.run_for(10_000)
    replacement = scene.fleet.start(virtual_scene.ZONES[0])
    scene.fleet.run_for(10_000)
    scene.deduct(replacement)
    key, response = scene.deduct(replacement)
    assert isinstance(response, calls.Billed)
    assert scene.history_lost()
    machine = scene.fleet.instance_by_id[replaced].parts.machine
    claim = messages.Claim(
        key=key,
        attempt=messages.Attempt(entry=scene.ids[1], number=1),
        fingerprint="f",
        repeatable=False,
        deadline_ms=scene.fleet.now_ms + virtual_scene.DEADLINE_MS,
    )
    scene.fleet.wake(replaced)
    effects_of_claim = machine.handle(claim, scene.ids[1], scene.fleet.now_ms)
    assert _granted_claims(effects_of_claim) == []
    scene.fleet.run_for(10_000)
    assert scene.observer.runs.count(key) == 1


def _granted_claims(decided):
    return [
        effect
        for effect in decided
        if isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.ClaimGranted)
    ]


def test_last_instance_of_a_zone_returns_its_rights_before_it_stops():
    prepaid = 20 * virtual_scene.COST
    scene = virtual_scene.Scene(per_zone=1, prepaid=prepaid)
    last, other = scene.ids
    scene.deduct(last)
    scene.fleet.begin_stop(last)
    scene.fleet.run_for(5_000)
    assert not scene.fleet.instance_by_id[last].alive
    for _ in range(prepaid // virtual_scene.COST):
        scene.deduct(other, arbiter=virtual_scene.ZONES[1])
    spent = len(scene.observer.runs) * virtual_scene.COST
    assert spent == prepaid
    assert isinstance(scene.observer.answers[-1], calls.Refuse)
