"""Claims over real shards: lone primaries, and pairs that were displaced."""

from __future__ import annotations

import pytest

from bambooglade.operations.tests import fleet_bench
from bambooglade.operations.tests import harness


def test_lone_primary_grants_after_the_service_confirmed_it():
    bench = fleet_bench.FleetBench(instance_count=1)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    assert bench.names() == ["Billed"]


def test_lone_primary_grants_nothing_while_the_service_is_down():
    bench = fleet_bench.FleetBench(instance_count=1)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    bench.fleet.service.faults.down = True
    bench.begin(bench.ids[0], tail=2)
    bench.fleet.run_for(10_000)
    assert bench.names() == ["Billed", "outcome_unknown"]
    assert len(bench.runs) == 1


def test_displaced_lone_primary_that_wakes_grants_nothing():
    bench = fleet_bench.FleetBench(instance_count=2)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    first = bench.pair()
    bench.fleet.kill(first.backup)
    bench.fleet.run_for(10_000)
    bench.fleet.pause(first.primary)
    successor = bench.fleet.start(fleet_bench.ZONE)
    bench.begin(successor, tail=2, patience_ms=30_000)
    bench.fleet.run_for(20_000)
    assert bench.pair().primary == successor
    _begin_at_both(bench, successor, first.primary)
    assert len(bench.runs) == len(set(bench.runs))


@pytest.mark.parametrize("paused_ms", [8_000, 15_000, 60_000])
def test_displaced_pair_that_wakes_grants_nothing(paused_ms):
    bench = fleet_bench.FleetBench(instance_count=4)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    first = bench.pair()
    bench.fleet.pause(first.primary)
    bench.fleet.pause(first.backup)
    others = [one for one in bench.ids if one not in _members(first)]
    bench.begin(others[0], tail=2, patience_ms=30_000)
    bench.fleet.run_for(paused_ms)
    bench.fleet.run_for(10_000)
    assert bench.pair().primary in others
    _begin_at_both(bench, others[0], first.primary, first.backup)
    assert len(bench.runs) == len(set(bench.runs))


def _members(assignment):
    return (assignment.primary, assignment.backup)


def _begin_at_both(bench, successor, sleeper, *other_sleepers):
    """Runs a key at the successor's side, and again where one wakes up."""
    now_ms = bench.fleet.now_ms + 60_000
    bench.fleet.run_for(60_000)
    call = harness.make_call(
        harness.make_key(now_ms, tail=9), deadline_ms=now_ms + 30_000
    )
    before = len(bench.runs)
    bench.retry(successor, call)
    bench.fleet.run_for(5_000)
    assert len(bench.runs) == before + 1
    bench.fleet.instance_by_id[sleeper].deferred.insert(
        0, lambda: bench.retry(sleeper, call)
    )
    for one in (*other_sleepers, sleeper):
        bench.fleet.wake(one)
    bench.fleet.run_for(10_000)
