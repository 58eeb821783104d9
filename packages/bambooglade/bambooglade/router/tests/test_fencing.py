"""Tests that a promoted backup fences the primary that it replaced."""

from __future__ import annotations

import pytest

from bambooglade.budgets.tests import faults
from bambooglade.core import identifiers
from bambooglade.operations import calls
from bambooglade.router.tests import virtual_scene
from bambooglade.shards import document as documents

PREPAID = 1_000
CALLS = 250
"""Calls at each of two primaries; together more than twice what is prepaid."""


def _nothing(monkeypatch):
    del monkeypatch


def _pair(scene):
    """Returns the primary and the backup of the first zone."""
    stored = scene.fleet.service.by_key[f"{documents.KEY_PREFIX}/0"]
    assignment = documents.decode(stored.value).assignment(
        virtual_scene.ZONES[0]
    )
    return assignment.primary, assignment.backup


def _flood(scene, entry):
    for number in range(CALLS):
        key = identifiers.RequestKey(f"{entry}-{number}")
        scene.fleet.begin(entry, scene.call(key, repeatable=True))


@pytest.mark.parametrize(
    ("fault", "overspends"),
    [(_nothing, False), (faults.acknowledge_old_primary_after_promotion, True)],
    ids=["as it is", "without the check of the epoch"],
)
def test_old_primary_opens_no_rights_after_a_promotion(
    monkeypatch, fault, overspends
):
    fault(monkeypatch)
    scene = virtual_scene.Scene(per_zone=2, prepaid=PREPAID)
    scene.deduct(scene.ids[0])
    old, new = _pair(scene)
    scene.fleet.pause(old)
    scene.fleet.run_for(10_000)
    assert _pair(scene)[0] == new
    scene.fleet.service.faults.down = True
    scene.fleet.wake(old)
    for entry in (old, new):
        _flood(scene, entry)
    scene.fleet.run_for(virtual_scene.DEADLINE_MS)
    spent = len(scene.observer.runs) * virtual_scene.COST
    assert (spent > PREPAID) == overspends
    assert any(
        isinstance(answer, calls.Refuse) for answer in scene.observer.answers
    )
