"""Tests of a simulated fleet that watches the store through relays."""

from __future__ import annotations

import pytest

from bambooglade.discovery import relays as relays_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import simulated_relay_fleet

FLEET_SIZE = 24
BOUND_MS = simulated_relay_fleet.CHANGE_BOUND_MS
RECOVERY_MS = 3_000
"""Time after a fault within which an instance may lag behind the store."""

MAX_RELAY_CALLS_PER_S = 8
"""Store calls per relay. The rate limits allow 360 instances 3 per second in
all."""


@pytest.fixture
def fleet():
    return simulated_relay_fleet.SimulatedRelayFleet(FLEET_SIZE)


def applied_versions(fleet) -> set[int]:
    return {instance.version for instance in fleet.running_instances}


def ready_targets(fleet) -> set[tuple[str, ...]]:
    return {
        tuple(t.target_id for t in instance.view.ready_targets("s"))
        for instance in fleet.running_instances
    }


def test_every_instance_applies_changes_in_time(fleet):
    fleet.configure(2)
    fleet.register("a", state="ready")
    fleet.register("b", state="ready")
    fleet.loop.advance(BOUND_MS)
    assert (applied_versions(fleet), ready_targets(fleet)) == (
        {2},
        {("a", "b")},
    )
    fleet.register("a", state="draining")
    fleet.store.put_now("servers/b", None)
    fleet.loop.advance(BOUND_MS)
    assert ready_targets(fleet) == {()}


def test_store_calls_depend_on_relays_not_on_fleet_size(fleet):
    fleet.loop.advance(5_000)
    before = fleet.call_count
    seconds = 20
    for number in range(seconds * 10):
        fleet.register(f"t{number % 40}", state="ready", sequence=number)
        fleet.loop.advance(100)
    relays = len(simulated_relay_fleet.ZONES)
    assert fleet.call_count - before <= relays * seconds * MAX_RELAY_CALLS_PER_S
    assert len(ready_targets(fleet).pop()) == 40


def kill_relay(fleet, relay):
    fleet.kill(relay)


def cut_relay(fleet, relay):
    relay.store_link.is_partitioned = True


@pytest.mark.parametrize("fault", [kill_relay, cut_relay])
@pytest.mark.parametrize("zone", simulated_relay_fleet.ZONES)
@pytest.mark.parametrize("after_ms", [0, 300, 900])
def test_changes_propagate_after_relay_loss(fleet, fault, zone, after_ms):
    relay = fleet.relay_for(zone)
    fault(fleet, relay)
    fleet.loop.advance(after_ms)
    fleet.configure(7)
    fleet.register("a", state="ready")
    fleet.loop.advance(BOUND_MS)
    others = [
        instance
        for instance in fleet.running_instances
        if instance is not relay
    ]
    assert {instance.version for instance in others} == {7}
    assert {len(instance.view.ready_targets("s")) for instance in others} == {1}


def test_changes_propagate_after_loss_of_all_relays_in_zone(fleet):
    for _ in range(relays_lib.MAX_RELAY_CANDIDATES):
        fleet.kill(fleet.relay_for("zone-a"))
        fleet.loop.advance(RECOVERY_MS)
    fleet.configure(3)
    fleet.loop.advance(BOUND_MS)
    assert applied_versions(fleet) == {3}


def test_instance_without_store_access_stays_current(fleet):
    instance = next(
        n for n in fleet.instances if n.is_using_relay(fleet.loop.now_ms())
    )
    instance.store_link.is_partitioned = True
    fleet.loop.advance(RECOVERY_MS)
    for version in (4, 5):
        fleet.configure(version)
        fleet.register("a", state="ready" if version == 4 else "draining")
        fleet.loop.advance(BOUND_MS + 2_000)
        assert instance.version == version
    assert instance.view.ready_targets("s") == []


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.UNRESPONSIVE, memory_store.Fault.BUSY]
)
def test_store_outage_has_bounded_calls_and_recovery_time(fleet, fault):
    fleet.register("a", state="ready")
    fleet.loop.advance(BOUND_MS)
    before = fleet.call_count
    fleet.store.fault = fault
    fleet.loop.advance(8_000)
    assert ready_targets(fleet) == {("a",)}
    assert fleet.call_count - before <= FLEET_SIZE * 16
    fleet.store.fault = memory_store.Fault.NONE
    fleet.configure(3)
    fleet.register("a", state="draining")
    fleet.loop.advance(RECOVERY_MS)
    assert (applied_versions(fleet), ready_targets(fleet)) == ({3}, {()})


def test_restarted_relay_propagates_earlier_deletions(fleet):
    fleet.register("a", state="ready")
    fleet.register("b", state="ready")
    fleet.loop.advance(BOUND_MS)
    relay = fleet.relay_for("zone-a")
    fleet.kill(relay)
    fleet.store.put_now("servers/a", None)
    fleet.instances.remove(relay)
    restarted = simulated_relay_fleet.RelayFleetInstance(
        fleet, relay.local_instance.port
    )
    restarted.peers.mark_seen(
        [instance.local_instance for instance in fleet.instances],
        now_ms=fleet.loop.now_ms(),
    )
    fleet.instances.append(restarted)
    fleet.instance_by_address[restarted.local_instance.address] = restarted
    restarted.store_watcher.start()
    restarted.peer_puller.start()
    fleet.loop.advance(BOUND_MS)
    assert ready_targets(fleet) == {("b",)}


def test_small_fleet_uses_no_relays():
    fleet = simulated_relay_fleet.SimulatedRelayFleet(
        relays_lib.MIN_RELAY_FLEET_SIZE - 1
    )
    now_ms = fleet.loop.now_ms()
    assert not any(
        instance.is_using_relay(now_ms) for instance in fleet.instances
    )


@pytest.mark.parametrize("size", [4, FLEET_SIZE])
def test_recovery_reads_only_newest_version(size):
    fleet = simulated_relay_fleet.SimulatedRelayFleet(size)
    for instance in fleet.instances:
        instance.store_link.is_partitioned = True
    for version in range(2, 10):
        fleet.configure(version)
        fleet.loop.advance(1_000)
    for instance in fleet.instances:
        instance.store_link.is_partitioned = False
        instance.store_link.max_watch_items = 0
    fleet.loop.advance(RECOVERY_MS)
    assert applied_versions(fleet) == {9}
    assert (
        max(instance.store_link.max_watch_items for instance in fleet.instances)
        <= 1
    )
