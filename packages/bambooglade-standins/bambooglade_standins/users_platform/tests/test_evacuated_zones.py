"""Tests of evacuated zones: simulated fleets, and gateways with sockets."""

from __future__ import annotations

import copy
import re

import msgspec
import pytest

from bambooglade.eventloop import http_client
from bambooglade.eventloop import tasks
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness as harness_lib
from bambooglade_standins.users_platform import simulated_relay_fleet
from bambooglade_standins.users_platform import target_links

EVACUATION_BOUND_MS = 5_000
PARTITION_BOUND_MS = 6_000
APPLY_BOUND_MS = simulated_relay_fleet.CHANGE_BOUND_MS
RESTORE_SETTLE_MS = 2_000
STEP_MS = 50
ZONE = "z"
"""Zone of all targets of the simulated fleets."""

KEY = f"op/evacuate/{ZONE}"


def using(fleet) -> set[bool]:
    """Whether instances would send requests to the targets of the zone."""
    return {
        bool(instance.view.ready_targets("s"))
        for instance in fleet.running_instances
    }


def advance(fleet, duration_ms: int) -> None:
    for _ in range(duration_ms // STEP_MS):
        fleet.loop.advance(STEP_MS)
        for instance in fleet.instances:
            instance.view.expire_lapsed_targets(fleet.loop.now_ms())


@pytest.fixture(params=[6, 24])
def fleet(request):
    built = simulated_relay_fleet.SimulatedRelayFleet(request.param)
    built.register("a", state="ready")
    advance(built, APPLY_BOUND_MS)
    return built


def restart(fleet, instance) -> simulated_relay_fleet.RelayFleetInstance:
    """Replaces an instance by a new process that knows the others."""
    fleet.kill(instance)
    fleet.instances.remove(instance)
    new = simulated_relay_fleet.RelayFleetInstance(
        fleet, instance.local_instance.port
    )
    new.peers.mark_seen(
        [other.local_instance for other in fleet.instances],
        now_ms=fleet.loop.now_ms(),
    )
    fleet.instances.append(new)
    fleet.instance_by_address[new.local_instance.address] = new
    new.store_watcher.start()
    new.peer_puller.start()
    return new


def test_all_instances_follow_the_operators_keys_in_time(fleet):
    for value, expected in ((b"{}", False), (None, True), (b"", False)):
        fleet.store.put_now(KEY, value)
        advance(fleet, APPLY_BOUND_MS)
        assert using(fleet) == {expected}


def test_zone_is_not_confused_with_others_or_with_malformed_keys(fleet):
    for zone in ("", "zz", "z/a", " z", "z ", "z\n", "Z", "a" * 201):
        fleet.store.put_now(f"op/evacuate/{zone}", b"{}")
    fleet.store.put_now("op/evacuated/z", b"{}")
    advance(fleet, APPLY_BOUND_MS)
    assert using(fleet) == {True}
    assert {
        tuple(i.view.evacuations.evacuated_zones) for i in fleet.instances
    } == {("Z", "zz")}


def test_evacuations_add_no_calls_to_the_store():
    """Guards against a second watch for the operators' other keys."""
    fleet = simulated_relay_fleet.SimulatedRelayFleet(24)
    advance(fleet, 2_000)
    before = fleet.call_count
    advance(fleet, 10_000)
    calm = fleet.call_count - before
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, 2_000)
    before = fleet.call_count
    advance(fleet, 10_000)
    assert fleet.call_count - before <= 1.2 * calm


def test_instance_without_the_store_learns_it_from_a_peer(fleet):
    cut = fleet.instances[3]
    cut.store_link.is_partitioned = True
    for value, expected in ((b"{}", False), (None, True)):
        fleet.store.put_now(KEY, value)
        advance(fleet, EVACUATION_BOUND_MS + PARTITION_BOUND_MS)
        assert using(fleet) == {expected}


def test_state_is_kept_while_the_store_is_unavailable(fleet):
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, APPLY_BOUND_MS)
    fleet.store.fault = memory_store.Fault.UNRESPONSIVE
    for _ in range(10):
        advance(fleet, 1_000)
        assert using(fleet) == {False}


@pytest.mark.parametrize("is_store_away", [False, True])
def test_new_process_never_uses_the_zone(fleet, is_store_away):
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, APPLY_BOUND_MS)
    if is_store_away:
        fleet.store.fault = memory_store.Fault.UNRESPONSIVE
        advance(fleet, 4_000)
    new = restart(fleet, fleet.instances[2])
    for _ in range(100):
        advance(fleet, STEP_MS)
        assert not (new.view.is_ready and new.view.ready_targets("s"))
    assert new.view.is_ready


def test_new_process_is_not_ready_before_anyone_told_it(fleet):
    fleet.store.fault = memory_store.Fault.UNRESPONSIVE
    advance(fleet, 4_000)
    for instance in fleet.instances:
        instance.client.is_partitioned = True
    new = restart(fleet, fleet.instances[2])
    new.view.apply_configuration(
        fleet.instances[0].view.configuration_item, source="previous build"
    )
    new.view.apply_target_list(
        fleet.instances[0].view.target_items(),
        at_revision=1_000,
        now_ms=fleet.loop.now_ms(),
        source="previous build",
    )
    advance(fleet, 5_000)
    assert not new.view.is_ready


class Outage:
    """A store that loses its last writes; every instance had applied them."""

    def __init__(self, fleet, lost_value: bytes | None) -> None:
        self._fleet = fleet
        copy = fleet.store.copy()
        fleet.store.put_now(KEY, lost_value)
        advance(fleet, 4_000)
        fleet.store.fault = memory_store.Fault.UNRESPONSIVE
        advance(fleet, 600)
        fleet.store.fault = memory_store.Fault.NONE
        fleet.store.restore(copy)


def test_evacuation_lost_by_the_store_lasts_until_operators_could_repeat_it(
    fleet,
):
    Outage(fleet, b"{}")
    for _ in range(RESTORE_SETTLE_MS // STEP_MS):
        advance(fleet, STEP_MS)
        assert using(fleet) == {False}
    advance(fleet, EVACUATION_BOUND_MS)
    assert using(fleet) == {True}


@pytest.mark.parametrize("after_ms", [0, 500, 1_900])
def test_evacuation_written_again_after_a_restore_has_no_gap(fleet, after_ms):
    Outage(fleet, b"{}")
    advance(fleet, after_ms)
    fleet.store.put_now(KEY, b"{}")
    for _ in range(140):
        advance(fleet, STEP_MS)
        assert using(fleet) == {False}


@pytest.mark.parametrize("after_ms", [0, 500, 1_900])
@pytest.mark.parametrize("is_repeated", [False, True])
def test_end_lost_by_the_store_lasts_until_operators_could_repeat_it(
    fleet, after_ms, is_repeated
):
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, APPLY_BOUND_MS)
    Outage(fleet, None)
    advance(fleet, after_ms)
    assert using(fleet) == {True}
    if is_repeated:
        fleet.store.put_now(KEY, None)
    advance(fleet, 2 * EVACUATION_BOUND_MS)
    assert using(fleet) == {is_repeated}


@pytest.mark.parametrize("after_ms", [0, 300, 1_000, 3_000])
def test_first_evacuation_after_a_restore_is_in_time(fleet, after_ms):
    Outage(fleet, None)
    advance(fleet, after_ms)
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, EVACUATION_BOUND_MS)
    assert using(fleet) == {False}


@pytest.mark.parametrize("is_restarted", [False, True])
def test_instance_cut_off_follows_a_restored_store_through_peers(
    fleet, is_restarted
):
    fleet.instances[3].store_link.is_partitioned = True
    Outage(fleet, b"{}")
    if is_restarted:
        # It never knew of the evacuation that the store has lost.
        restart(fleet, fleet.instances[0])
    advance(fleet, EVACUATION_BOUND_MS + PARTITION_BOUND_MS)
    assert using(fleet) == {True}
    fleet.store.put_now(KEY, b"{}")
    advance(fleet, EVACUATION_BOUND_MS + PARTITION_BOUND_MS)
    assert using(fleet) == {False}


class ZoneCut:
    """Client of an instance whose calls to another zone get no response."""

    def __init__(self, fleet, instance, other_zone: str) -> None:
        self._fleet = fleet
        self._client = instance.client
        self._other_zone = other_zone

    @property
    def is_partitioned(self) -> bool:
        return self._client.is_partitioned

    def call(self, address, *, timeout_ms: int, **request):
        other = self._fleet.instance_by_address[address].local_instance
        if other.availability_zone == self._other_zone:
            return tasks.sleep(self._fleet.loop, timeout_ms)
        return self._client.call(address, timeout_ms=timeout_ms, **request)


def cut_between_zones(fleet, one: str, other: str) -> None:
    for instance in fleet.instances:
        for here, there in ((one, other), (other, one)):
            if instance.local_instance.availability_zone == here:
                cut = ZoneCut(fleet, instance, there)
                instance.client = instance.peer_puller._client = cut


@pytest.mark.parametrize("size", [6, 24, 72])
def test_zone_without_the_store_hears_through_a_zone_that_reaches_both(
    monkeypatch, size
):
    """Zone a reads the store; b reaches c only, which reaches both of them."""
    monkeypatch.setattr(
        simulated_relay_fleet, "ZONES", ("zone-a", "zone-b", "zone-c")
    )
    fleet = simulated_relay_fleet.SimulatedRelayFleet(size)
    fleet.register("a", state="ready")
    cut_between_zones(fleet, "zone-a", "zone-b")
    for instance in fleet.instances:
        is_cut = instance.local_instance.availability_zone != "zone-a"
        instance.store_link.is_partitioned = is_cut
    advance(fleet, APPLY_BOUND_MS)
    for value, expected in ((b"{}", False), (None, True)):
        fleet.store.put_now(KEY, value)
        advance(fleet, EVACUATION_BOUND_MS + PARTITION_BOUND_MS)
        assert using(fleet) == {expected}


class PreviousBuild:
    """Peer interface of an instance that does not know of evacuations."""

    def __init__(self, api) -> None:
        self._api = api

    def handle(self, request):
        body = msgspec.json.decode(request.body)
        body.pop("evacuations", None)
        request.body = msgspec.json.encode(body)
        return self._api.handle(request)


def test_relay_of_the_previous_build_does_not_hide_evacuations():
    fleet = simulated_relay_fleet.SimulatedRelayFleet(24)
    fleet.register("a", state="ready")
    advance(fleet, APPLY_BOUND_MS)
    relay = fleet.relay_for("zone-a")
    relay.api = PreviousBuild(relay.api)
    advance(fleet, 2 * APPLY_BOUND_MS)
    before = fleet.call_count
    for value, expected in ((b"{}", False), (None, True)):
        fleet.store.put_now(KEY, value)
        advance(fleet, EVACUATION_BOUND_MS)
        assert using(fleet) == {expected}
    # Each of the 11 members reads the keys about once in 2 s, not the targets.
    assert fleet.call_count - before < 11 * 10 + 2 * 10 * 8


@pytest.fixture
def harness():
    built = harness_lib.PlatformHarness()
    built.has_cuttable_links = True
    built.configure(harness_lib.configuration(prepaid=None, timeout_ms=8_000))
    for zone in ("a", "b"):
        built.add_engine(f"p-{zone}", "portal", zone=f"zone-{zone}")
        for number in (1, 2):
            built.add_engine(
                f"j-{zone}{number}",
                "jury",
                default=engine_lib.stream_events(3),
                zone=f"zone-{zone}",
            )
    built.start_gateway()
    yield built
    built.close()


def evacuate(harness, *zones, gateways=None) -> None:
    """Evacuates zones, and waits until the gateways know it."""
    for zone in zones:
        harness.store.put_now(f"op/evacuate/{zone}", b"{}")
    for number in (
        range(len(harness.gateways)) if gateways is None else gateways
    ):
        known = harness.gateways[number].view.evacuations
        harness.run_until(
            lambda known=known: set(zones) <= set(known.evacuated_zones),
            max_wait_ms=EVACUATION_BOUND_MS,
        )


def request_counts(harness, zone: str) -> dict[str, int]:
    return {
        name: len(engine.requests)
        for name, engine in harness.engine_by_name.items()
        if f"-{zone}" in name
    }


def test_running_stream_ends_well_and_the_next_one_goes_elsewhere(harness):
    calls = []
    for name, engine in harness.engine_by_name.items():
        if name.startswith("j-"):
            engine.script.append(calls.append)
    caller = harness.start_call("/stream/1", prompt="100,50", deadline_ms=8_000)
    harness.run_until(lambda: calls)
    running = calls[0]
    zone = running.engine.name[2]
    other = "b" if zone == "a" else "a"
    running.start_stream()
    running.event(1)
    evacuate(harness, f"zone-{zone}")
    before = request_counts(harness, zone)
    for engine in harness.engine_by_name.values():
        engine.script.clear()
    for _ in range(8):
        late = harness.call("/stream/1", prompt="100,50")
        assert (late.status, late.is_complete) == (200, True)
        assert harness.call("/plain/1").status == 200
    assert request_counts(harness, zone) == before
    assert gauge(harness, "requests_in_evacuated_zones") == 1
    assert sum(request_counts(harness, other).values()) >= 16
    running.event(2)
    running.end_stream()
    harness.run_until(lambda: caller.is_finished)
    assert (caller.status, caller.is_complete) == (200, True)
    assert caller.body == engine_lib.event(1) + engine_lib.event(2)
    assert gauge(harness, "requests_in_evacuated_zones") == 0


def test_retry_and_resumed_stream_keep_away(harness):
    """Guards against a second choice of targets that ignores the zones."""
    broken = []

    def break_off(call):
        broken.append(call)
        call.engine.reset_connections()

    for name, engine in harness.engine_by_name.items():
        if name.startswith("j-"):
            engine.script.append(break_off)
    evacuate(harness, "zone-a")
    for path in ("/plain/1", "/resume/1", "/status/1", "/resume/2"):
        has_prompt = path.startswith("/resume")
        harness.call(path, prompt="100,50" if has_prompt else None)
    assert broken
    assert set(request_counts(harness, "a").values()) == {0}


def test_refused_at_once_if_all_zones_are_evacuated_and_served_afterwards(
    harness,
):
    evacuate(harness, "zone-a", "zone-b")
    before = request_counts(harness, "")
    for path, prompt in (("/plain/1", None), ("/stream/1", "100,50")):
        started_ms = harness.loop.now_ms()
        caller = harness.call(path, prompt=prompt)
        assert caller.status == 503
        assert b"evacuated" in caller.body
        assert harness.loop.now_ms() - started_ms < 200
    assert request_counts(harness, "") == before
    assert gauge(harness, "evacuated_zones") == 2
    for zone in ("zone-a", "zone-b"):
        harness.store.put_now(f"op/evacuate/{zone}", None)
    harness.run_until(
        lambda: not harness.gateways[0].view.evacuations.evacuated_zones
    )
    assert harness.call("/plain/1").status == 200
    assert harness.call("/stream/1", prompt="100,50").status == 200


def gauge(harness, name: str) -> float:
    address = harness.gateways[0].settings.metrics_address
    call = http_client.HttpClient(harness.loop).call(
        address, method="GET", target="/metrics", timeout_ms=1_000
    )
    harness.run_until(call.done)
    (value,) = re.findall(
        rf"^bambooglade_{name}(?:{{}})? (\S+)$",
        call.result().body.decode(),
        re.MULTILINE,
    )
    return float(value)


def test_dead_targets_of_evacuated_zones_do_not_cut_the_instance_off(harness):
    """Guards against a service that stays cut off while its zone is off."""
    harness.call("/plain/1")
    evacuate(harness, "zone-a", "zone-b")
    gateway = harness.gateways[0]
    for target in list(gateway.view.target_by_id.values()):
        gateway._prober.record_failure(target)
    assert gateway.unreachable_services == []
    assert gateway.is_ready


def test_request_that_is_handed_over_keeps_away(harness):
    harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.start_gateway("edge-2", zone="zone-b")
    harness.run_until_discovered()
    harness.links[0].cut(target_links.Cut.RESET)
    while "portal" not in harness.gateways[0].unreachable_services:
        harness.call("/status/1")
    evacuate(harness, "zone-b")
    before = request_counts(harness, "b")
    for _ in range(6):
        assert harness.call("/plain/1").status == 200
    assert harness.gateways[1].view.ready_targets("portal")
    assert len(harness.engine_by_name["p-a"].requests) >= 6
    assert request_counts(harness, "b") == before
    evacuate(harness, "zone-a", "zone-b")
    counts = request_counts(harness, "")
    started_ms = harness.loop.now_ms()
    assert harness.call("/plain/1").status == 503
    assert harness.loop.now_ms() - started_ms < 300
    assert request_counts(harness, "") == counts


def test_restart_without_the_store_learns_it_from_a_peer(harness):
    evacuate(harness, "zone-a")
    harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.store.fault = memory_store.Fault.UNRESPONSIVE
    harness.start_gateway("edge-2")
    before = request_counts(harness, "a")
    for _ in range(4):
        assert harness.call("/plain/1", gateway=1).status == 200
    assert request_counts(harness, "a") == before


def test_records_pass_through_a_third_instance(harness):
    """Two zones that can't reach each other, with one that reaches both."""
    harness.seeds = (harness.gateways[0].settings.peer_address,)
    harness.start_gateway("edge-2", zone="zone-b")
    harness.start_gateway("edge-3", zone="zone-c")
    harness.run_until_discovered()
    harness.cut_between(0, [1])
    for gateway in (1, 2):
        harness.cut_from_store(gateway)
    evacuate(harness, "zone-a", gateways=[0])
    harness.run_until(
        lambda: all(
            g.view.evacuations.is_evacuated("zone-a") for g in harness.gateways
        ),
        max_wait_ms=EVACUATION_BOUND_MS + PARTITION_BOUND_MS,
    )
    harness.store.put_now("op/evacuate/zone-a", None)
    harness.run_until(
        lambda: (
            not any(
                g.view.evacuations.is_evacuated("zone-a")
                for g in harness.gateways
            )
        ),
        max_wait_ms=EVACUATION_BOUND_MS + PARTITION_BOUND_MS,
    )


@pytest.mark.parametrize(
    ("regions", "region_by_zone", "expected"),
    [
        ([], {}, "ab"),
        (["north"], {"zone-a": "north", "zone-b": "south"}, "a"),
        (["south", "east"], {"zone-a": "north", "zone-b": "south"}, "b"),
        (["north"], {"zone-b": "south"}, ""),
        (["east"], {"zone-a": "north", "zone-b": "south"}, ""),
    ],
)
def test_requests_run_in_allowed_regions_only(
    harness, regions, region_by_zone, expected
):
    configuration = msgspec.json.decode(
        harness_lib.configuration(version=2, prepaid=None)
    )
    for route in configuration["routes"]:
        route["allowedRegions"] = regions
    harness.configure(msgspec.json.encode(configuration))
    gateway = harness.gateways[0]
    harness.run_until(lambda: gateway.view.configuration.version == 2)
    settings = copy.copy(gateway.settings)
    settings.region_by_zone = region_by_zone
    gateway.reload(settings)
    statuses = {
        harness.call(
            path, prompt="100,50" if path != "/plain/1" else None
        ).status
        for path in ("/plain/1", "/stream/1", "/resume/1") * 4
    }
    assert statuses == ({200} if expected else {503})
    for zone in set("ab") - set(expected):
        assert set(request_counts(harness, zone).values()) == {0}
