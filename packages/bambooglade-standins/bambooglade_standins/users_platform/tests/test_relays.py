"""Tests of following the store through relays, on virtual time."""

from __future__ import annotations

import pytest

from bambooglade.discovery import relays as relays_lib
from bambooglade_standins.users_platform import following_fleet
from bambooglade_standins.users_platform import memory_store

FLEET = 24
BOUND_MS = following_fleet.CHANGE_BOUND_MS
CONTACT_MS = 3_000
"""Time after a fault in which an instance need not be in step."""
CALLS_PER_S = 8
"""Calls of one relay; 360 instances may make 3 a second in all by the rates."""


@pytest.fixture
def fleet():
    return following_fleet.FollowingFleet(FLEET)


def versions(fleet) -> set[int]:
    return {node.version for node in fleet.running}


def ready(fleet) -> set[tuple[str, ...]]:
    return {
        tuple(t.target_id for t in node.view.ready_targets("s"))
        for node in fleet.running
    }


def test_changes_reach_every_instance_in_time(fleet):
    fleet.configure(2)
    fleet.register("a", state="ready")
    fleet.register("b", state="ready")
    fleet.loop.advance(BOUND_MS)
    assert (versions(fleet), ready(fleet)) == ({2}, {("a", "b")})
    fleet.register("a", state="draining")
    fleet.store.put_now("servers/b", None)
    fleet.loop.advance(BOUND_MS)
    assert ready(fleet) == {()}


def test_calls_do_not_grow_with_entries_times_instances(fleet):
    fleet.loop.advance(5_000)
    before = fleet.calls
    seconds = 20
    for number in range(seconds * 10):
        fleet.register(f"t{number % 40}", state="ready", sequence=number)
        fleet.loop.advance(100)
    relays = len(following_fleet.ZONES)
    assert fleet.calls - before <= relays * seconds * CALLS_PER_S
    assert len(ready(fleet).pop()) == 40


def kill_relay(fleet, relay):
    fleet.kill(relay)


def cut_relay(fleet, relay):
    relay.path.is_cut = True


@pytest.mark.parametrize("fault", [kill_relay, cut_relay])
@pytest.mark.parametrize("zone", following_fleet.ZONES)
@pytest.mark.parametrize("after_ms", [0, 300, 900])
def test_a_change_passes_a_relay_that_is_gone(fleet, fault, zone, after_ms):
    relay = fleet.relay_of(zone)
    fault(fleet, relay)
    fleet.loop.advance(after_ms)
    fleet.configure(7)
    fleet.register("a", state="ready")
    fleet.loop.advance(BOUND_MS)
    others = [node for node in fleet.running if node is not relay]
    assert {node.version for node in others} == {7}
    assert {len(node.view.ready_targets("s")) for node in others} == {1}


def test_both_relays_of_a_zone_are_gone(fleet):
    for _ in range(relays_lib.MAX_RELAY_CANDIDATES):
        fleet.kill(fleet.relay_of("zone-a"))
        fleet.loop.advance(CONTACT_MS)
    fleet.configure(3)
    fleet.loop.advance(BOUND_MS)
    assert versions(fleet) == {3}


def test_an_instance_that_the_store_turns_away_stays_in_step(fleet):
    node = next(
        n for n in fleet.nodes if n.is_waiting_at_relay(fleet.loop.now_ms())
    )
    node.path.is_cut = True
    fleet.loop.advance(CONTACT_MS)
    for version in (4, 5):
        fleet.configure(version)
        fleet.register("a", state="ready" if version == 4 else "draining")
        fleet.loop.advance(BOUND_MS + 2_000)
        assert node.version == version
    assert node.view.ready_targets("s") == []


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.SILENT, memory_store.Fault.BUSY]
)
def test_an_outage_costs_few_calls_and_ends_in_time(fleet, fault):
    fleet.register("a", state="ready")
    fleet.loop.advance(BOUND_MS)
    before = fleet.calls
    fleet.store.fault = fault
    fleet.loop.advance(8_000)
    assert ready(fleet) == {("a",)}
    assert fleet.calls - before <= FLEET * 16
    fleet.store.fault = memory_store.Fault.NONE
    fleet.configure(3)
    fleet.register("a", state="draining")
    fleet.loop.advance(CONTACT_MS)
    assert (versions(fleet), ready(fleet)) == ({3}, {()})


def test_a_relay_that_started_anew_tells_of_what_was_deleted_before(fleet):
    fleet.register("a", state="ready")
    fleet.register("b", state="ready")
    fleet.loop.advance(BOUND_MS)
    relay = fleet.relay_of("zone-a")
    fleet.kill(relay)
    fleet.store.put_now("servers/a", None)
    fleet.nodes.remove(relay)
    restarted = following_fleet.FollowingNode(fleet, relay.own.port)
    restarted.peers.mark_seen(
        [node.own for node in fleet.nodes], now_ms=fleet.loop.now_ms()
    )
    fleet.nodes.append(restarted)
    fleet.node_by_address[restarted.own.address] = restarted
    restarted.follower.start()
    restarted.puller.start()
    fleet.loop.advance(BOUND_MS)
    assert ready(fleet) == {("b",)}


def test_a_small_fleet_follows_by_itself():
    fleet = following_fleet.FollowingFleet(relays_lib.MIN_RELAY_FLEET_SIZE - 1)
    now_ms = fleet.loop.now_ms()
    assert not any(node.is_waiting_at_relay(now_ms) for node in fleet.nodes)


@pytest.mark.parametrize("size", [4, FLEET])
def test_after_an_outage_only_the_newest_version_is_read(size):
    fleet = following_fleet.FollowingFleet(size)
    for node in fleet.nodes:
        node.path.is_cut = True
    for version in range(2, 10):
        fleet.configure(version)
        fleet.loop.advance(1_000)
    for node in fleet.nodes:
        node.path.is_cut = False
        node.path.most_items = 0
    fleet.loop.advance(CONTACT_MS)
    assert versions(fleet) == {9}
    assert max(node.path.most_items for node in fleet.nodes) <= 1
