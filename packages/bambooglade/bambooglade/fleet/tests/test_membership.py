"""Tests of membership in virtual time: failures, partitions, refutation."""

from __future__ import annotations

import random

import pytest

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.fleet import membership as membership_lib
from bambooglade.fleet import messages
from bambooglade.shards import assignments
from bambooglade.store import services
from bambooglade_standins.virtual import control
from bambooglade_standins.virtual import instances
from bambooglade_standins.virtual import network

ZONES = ("zone-a", "zone-b", "zone-c")
JOIN_MS = 15_000
DETECT_MS = 20_000


@pytest.fixture(name="fleet")
def _fleet():
    control_fleet = control.ControlFleet(seed=7, seeds=("http://zone-a-1",))
    for index in range(9):
        control_fleet.start(ZONES[index % 3])
    control_fleet.fleet.run_for(JOIN_MS)
    return control_fleet


def _visible_instances(fleet, viewer):
    view = fleet.membership(viewer)
    return {name for zone in ZONES for name in view.live_in_zone(zone)}


def _statuses(fleet, subject):
    return {
        update.status
        for viewer in fleet.fleet.running()
        for update in fleet.membership(viewer.instance_id).members()
        if update.instance_id == subject
    }


def test_all_instances_join_through_one_seed(fleet):
    instance_ids = set(fleet.parts_by_id)
    assert len(instance_ids) == 9
    for viewer in instance_ids:
        assert _visible_instances(fleet, viewer) == instance_ids


@pytest.mark.parametrize("seed_starts_after_ms", [200, 900, 4_000])
def test_instance_joins_soon_after_its_seed_begins_to_listen(
    seed_starts_after_ms,
):
    fleet = control.ControlFleet(seed=7, seeds=("http://zone-a-2",))
    fleet.start("zone-b")
    fleet.fleet.run_for(seed_starts_after_ms)
    fleet.start("zone-a")
    fleet.fleet.run_for(1_500)
    assert _visible_instances(fleet, "zone-b-1") == {"zone-a-2", "zone-b-1"}


def test_killed_instance_is_removed_everywhere(fleet):
    fleet.fleet.kill("zone-b-2")
    fleet.fleet.run_for(DETECT_MS)
    assert _statuses(fleet, "zone-b-2") == {messages.Status.DEAD}
    for viewer in fleet.fleet.running():
        assert "zone-b-2" not in _visible_instances(fleet, viewer.instance_id)
        view = fleet.membership(viewer.instance_id)
        assert view.is_suspected("zone-b-2")
        assert view.zone_of("zone-b-2") == "zone-b"


def test_suspicion_after_a_refused_connection_is_refuted(fleet):
    view = fleet.membership("zone-a-1")
    fleet.fleet.perform(
        "zone-a-1",
        lambda now_ms: view.record_connection_refused("zone-b-2", now_ms),
    )
    assert view.is_suspected("zone-b-2")
    fleet.fleet.run_for(DETECT_MS)
    assert _statuses(fleet, "zone-b-2") == {messages.Status.ALIVE}


def test_packet_loss_removes_no_instance(fleet):
    fleet.fleet.network.faults.loss = 0.10
    for _ in range(60):
        fleet.fleet.run_for(1_000)
        for viewer in fleet.parts_by_id:
            assert len(_visible_instances(fleet, viewer)) == 9


def test_false_suspicion_is_refuted_with_a_higher_incarnation(fleet):
    subject = "zone-c-3"
    suspicion = messages.MemberUpdate(
        instance_id=subject,
        incarnation=0,
        status=messages.Status.SUSPECT,
        leaving=False,
        availability_zone="zone-c",
        url=instances.url_of(subject),
    )
    ping = messages.Ping(sequence=0, digest=0, members=(suspicion,))
    view = fleet.membership("zone-a-1")
    fleet.fleet.perform(
        "zone-a-1", lambda now_ms: view.handle(ping, "zone-b-2", now_ms)
    )
    assert view.is_suspected(subject)
    assert subject in view.live_in_zone("zone-c")
    fleet.fleet.run_for(DETECT_MS)
    assert _statuses(fleet, subject) == {messages.Status.ALIVE}
    (update,) = [u for u in view.members() if u.instance_id == subject]
    assert update.incarnation > 0


def test_paused_instance_rejoins_without_removing_others(fleet):
    # Acks that were lost during the pause of a process must not make it declare
    # the other instances dead when it resumes.
    fleet.fleet.pause("zone-b-5")
    fleet.fleet.run_for(60_000)
    assert _statuses(fleet, "zone-b-5") - {messages.Status.ALIVE} == {
        messages.Status.DEAD
    }
    fleet.fleet.wake("zone-b-5")
    for _ in range(20):
        fleet.fleet.run_for(500)
        for viewer in set(fleet.parts_by_id) - {"zone-b-5"}:
            assert len(_visible_instances(fleet, viewer)) >= 8
    fleet.fleet.run_for(JOIN_MS)
    assert _statuses(fleet, "zone-b-5") == {messages.Status.ALIVE}
    for viewer in fleet.parts_by_id:
        assert len(_visible_instances(fleet, viewer)) == 9


def test_zones_merge_again_after_a_partition(fleet):
    # During the partition, both sides declare each other dead.
    for other in ("zone-b", "zone-c"):
        fleet.fleet.network.cut("zone-a", other, now_ms=fleet.fleet.now_ms)
    fleet.fleet.run_for(120_000)
    assert _visible_instances(fleet, "zone-a-1") == {
        "zone-a-1",
        "zone-a-4",
        "zone-a-7",
    }
    assert len(_visible_instances(fleet, "zone-b-2")) == 6
    now_ms = fleet.fleet.now_ms
    assert fleet.membership("zone-a-1").fleet_size(now_ms=now_ms) == 9
    fleet.fleet.network.heal()
    fleet.fleet.run_for(60_000)
    for viewer in fleet.parts_by_id:
        assert len(_visible_instances(fleet, viewer)) == 9


def test_leaving_instance_gets_no_work_and_is_then_removed(fleet):
    leaving = fleet.membership("zone-c-6")
    fleet.fleet.perform("zone-c-6", leaving.start_leaving)
    fleet.fleet.run_for(5_000)
    for viewer in fleet.parts_by_id:
        assert fleet.membership(viewer).is_suspected("zone-c-6")
        assert "zone-c-6" not in _visible_instances(fleet, viewer)
    fleet.fleet.perform("zone-c-6", leaving.leave)
    fleet.fleet.kill("zone-c-6")
    fleet.fleet.run_for(5_000)
    assert _statuses(fleet, "zone-c-6") == {messages.Status.DEAD}
    now_ms = fleet.fleet.now_ms
    assert fleet.membership("zone-a-1").fleet_size(now_ms=now_ms) == 8


def test_unreachable_instance_may_be_running_but_one_that_left_is_not(fleet):
    """Guards against limits that a part of a split fleet takes as a whole."""
    url_by_id = {
        update.instance_id: update.url
        for update in fleet.membership("zone-a-1").members()
    }
    now_ms = fleet.fleet.now_ms
    fleet.fleet.network.cut("zone-c", "zone-a", now_ms=now_ms)
    fleet.fleet.network.cut("zone-c", "zone-b", now_ms=now_ms)
    fleet.fleet.run_for(2 * DETECT_MS)
    leaving = fleet.membership("zone-b-2")
    fleet.fleet.perform("zone-b-2", leaving.start_leaving)
    fleet.fleet.perform("zone-b-2", leaving.leave)
    fleet.fleet.run_for(DETECT_MS)
    viewer = fleet.membership("zone-a-1")
    assert not viewer.live_in_zone("zone-c")
    urls = viewer.urls(now_ms=fleet.fleet.now_ms)
    assert urls == set(url_by_id.values()) - {url_by_id["zone-b-2"]}
    later_ms = fleet.fleet.now_ms + membership_lib.BUDGET_RETENTION_MS
    assert len(viewer.urls(now_ms=later_ms)) == 5


def test_assignment_of_the_highest_epoch_reaches_all_instances(fleet):
    zone_shard = assignments.ZoneShard(
        shard=identifiers.ShardId(3),
        availability_zone=identifiers.AvailabilityZone("zone-b"),
    )
    for holder, epoch in (("zone-a-1", 2), ("zone-c-9", 5), ("zone-b-2", 4)):
        assignment = assignments.Assignment(
            epoch=identifiers.Epoch(epoch), primary=holder, backup=None
        )
        fleet.parts_by_id[holder].assignment_map.merge(zone_shard, assignment)
    fleet.fleet.run_for(JOIN_MS)
    primaries = {
        parts.assignment_map.primary(zone_shard)
        for parts in fleet.parts_by_id.values()
    }
    assert primaries == {"zone-c-9"}


def test_new_instance_receives_all_assignments_without_the_service(fleet):
    fleet.fleet.service.faults.down = True
    assignment_map = fleet.parts_by_id["zone-a-1"].assignment_map
    for shard in range(1_000):
        zone_shard = assignments.ZoneShard(
            shard=identifiers.ShardId(shard),
            availability_zone=identifiers.AvailabilityZone("zone-a"),
        )
        assignment_map.merge(
            zone_shard,
            assignments.Assignment(
                epoch=identifiers.Epoch(1), primary="zone-a-1", backup=None
            ),
        )
    fleet.fleet.run_for(60_000)
    new_instance = fleet.start("zone-b")
    fleet.fleet.run_for(JOIN_MS)
    received = fleet.parts_by_id[new_instance].assignment_map
    assert len(list(received.items())) == 1_000


def test_instance_listed_as_leaving_is_suspected():
    view = membership_lib.Membership(
        instance_id="i1",
        availability_zone="zone-a",
        url="http://10.0.0.1:1",
        assignment_map=assignments.AssignmentMap(),
        random_source=random.Random(1),
    )
    other = messages.MemberUpdate(
        instance_id="i2",
        incarnation=0,
        status=messages.Status.ALIVE,
        leaving=False,
        availability_zone="zone-a",
        url="http://10.0.0.2:1",
    )
    ping = messages.Ping(sequence=1, digest=0, members=(other,))
    assert any(
        isinstance(effect, effects.Send)
        and isinstance(effect.message, messages.Ack)
        for effect in view.handle(ping, "i2", 0)
    )
    assert not view.is_suspected("i2")
    view.apply_instance_list(
        [_listed_instance("http://10.0.0.2:1", leaving=True)], 1
    )
    assert view.is_suspected("i2")
    view.apply_instance_list([], 2)
    assert view.is_suspected("i2")


def _listed_instance(url, *, leaving):
    return services.ListedInstance(
        name="listed",
        availability_zone=network.PLATFORM,
        url=url,
        leaving=leaving,
    )
