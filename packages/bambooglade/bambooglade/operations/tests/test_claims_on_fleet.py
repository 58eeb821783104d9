"""Claims on replicated shards whose primaries fail, pause or get replaced."""

from __future__ import annotations

import pytest

from bambooglade.operations.tests import fleet_bench
from bambooglade.operations.tests import harness


def test_primary_without_backup_grants_after_confirmation_by_the_service():
    bench = fleet_bench.FleetBench(instance_count=1)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    assert bench.outcome_names() == ["Billed"]


def test_primary_without_backup_grants_nothing_while_the_service_is_down():
    bench = fleet_bench.FleetBench(instance_count=1)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    bench.fleet.service.faults.down = True
    bench.begin(bench.ids[0], tail=2)
    bench.fleet.run_for(10_000)
    assert bench.outcome_names() == ["Billed", "outcome_unknown"]
    assert len(bench.runs) == 1


def test_replaced_primary_without_backup_grants_nothing_after_resuming():
    bench = fleet_bench.FleetBench(instance_count=2)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    first = bench.pair()
    bench.fleet.kill(first.backup)
    bench.fleet.run_for(10_000)
    bench.fleet.pause(first.primary)
    successor = bench.fleet.start(fleet_bench.ZONE)
    bench.begin(successor, tail=2, timeout_ms=30_000)
    bench.fleet.run_for(20_000)
    assert bench.pair().primary == successor
    _run_at_successor_then_at_resumed(bench, successor, first.primary)
    assert len(bench.runs) == len(set(bench.runs))


@pytest.mark.parametrize("paused_ms", [8_000, 15_000, 60_000])
def test_replaced_pair_grants_nothing_after_resuming(paused_ms):
    bench = fleet_bench.FleetBench(instance_count=4)
    bench.begin(bench.ids[0], tail=1)
    bench.fleet.run_for(5_000)
    first = bench.pair()
    bench.fleet.pause(first.primary)
    bench.fleet.pause(first.backup)
    others = [
        instance_id
        for instance_id in bench.ids
        if instance_id not in _instances(first)
    ]
    bench.begin(others[0], tail=2, timeout_ms=30_000)
    bench.fleet.run_for(paused_ms)
    bench.fleet.run_for(10_000)
    assert bench.pair().primary in others
    _run_at_successor_then_at_resumed(
        bench, others[0], first.primary, first.backup
    )
    assert len(bench.runs) == len(set(bench.runs))


def _instances(assignment):
    return (assignment.primary, assignment.backup)


def _run_at_successor_then_at_resumed(
    bench, successor, resumed, *other_resumed
):
    """Runs a key at the successor, then retries it at a resumed instance."""
    now_ms = bench.fleet.now_ms + 60_000
    bench.fleet.run_for(60_000)
    call = harness.make_call(
        harness.make_key(now_ms, tail=9), deadline_ms=now_ms + 30_000
    )
    before = len(bench.runs)
    bench.retry(successor, call)
    bench.fleet.run_for(5_000)
    assert len(bench.runs) == before + 1
    bench.fleet.instance_by_id[resumed].deferred.insert(
        0, lambda: bench.retry(resumed, call)
    )
    for instance_id in (*other_resumed, resumed):
        bench.fleet.wake(instance_id)
    bench.fleet.run_for(10_000)
