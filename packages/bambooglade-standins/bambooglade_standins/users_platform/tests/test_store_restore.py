"""Tests of a store that returns from a copy some seconds old."""

from __future__ import annotations

import random

import pytest

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import registration as registration_lib
from bambooglade.gateway import request_quarantine
from bambooglade.rights import homes
from bambooglade.rights import ledger as ledger_lib
from bambooglade.rights import manager as manager_lib
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness
from bambooglade_standins.users_platform import simulated_relay_fleet
from bambooglade_standins.users_platform import simulated_rights_fleet
from bambooglade_standins.users_platform import virtual_loop

BOUND_MS = simulated_relay_fleet.CHANGE_BOUND_MS
LOST_MS = 4_000
AWAY_MS = 600
STEP_MS = 50
TEAM = simulated_rights_fleet.TEAM


def known_versions(fleet) -> set[int]:
    return {instance.version for instance in fleet.instances}


def ready_targets(fleet) -> set[tuple[str, ...]]:
    return {
        tuple(t.target_id for t in instance.view.ready_targets("s"))
        for instance in fleet.instances
    }


def advance(fleet, duration_ms: int) -> None:
    """Advances the time, and asserts that no instance goes back."""
    for _ in range(duration_ms // STEP_MS):
        before = [instance.version for instance in fleet.instances]
        fleet.loop.advance(STEP_MS)
        now_ms = fleet.loop.now_ms()
        for instance, version in zip(fleet.instances, before, strict=True):
            instance.view.expire_lapsed_targets(now_ms)
            assert instance.version >= version


@pytest.mark.parametrize(
    "era", [b"", b"-1", b"soon", b"1.5", b"9" * 16, b"9" * 5_000]
)
def test_malformed_era_is_ignored(era):
    harness = platform_harness.PlatformHarness()
    try:
        harness.configure(platform_harness.configuration(prepaid=None))
        harness.add_engine("p1", "portal")
        harness.store.era_number = era
        gateway = harness.start_gateway()
        harness.configure(platform_harness.configuration(version=2))
        harness.run_until(lambda: gateway.view.configuration.version == 2)
        assert harness.call("/plain/1").status == 200
    finally:
        harness.close()


def lose_writes(fleet, write) -> None:
    """Makes changes that every instance applies and the store then loses."""
    advance(fleet, 1_000)
    copy = fleet.store.copy()
    write()
    advance(fleet, LOST_MS)
    fleet.store.fault = memory_store.Fault.UNRESPONSIVE
    advance(fleet, AWAY_MS)
    fleet.store.fault = memory_store.Fault.NONE
    fleet.store.restore(copy)


@pytest.fixture(params=[(6, 0), (6, 42), (24, 0), (24, 55)])
def fleet(request):
    size, seed = request.param
    built = simulated_relay_fleet.SimulatedRelayFleet(size, seed=seed)
    built.register("a", state="ready")
    built.register("b", state="ready")
    advance(built, BOUND_MS)
    return built


@pytest.mark.parametrize("lost_changes", [1, 5, 40])
@pytest.mark.parametrize("rewritten_after_ms", [0, 1_500])
def test_change_after_a_restore_of_the_store_is_in_force_in_time(
    fleet, lost_changes, rewritten_after_ms
):
    def write():
        for number in range(lost_changes):
            fleet.configure(2 + number)

    lose_writes(fleet, write)
    last = 1 + lost_changes
    advance(fleet, rewritten_after_ms)
    assert known_versions(fleet) == {last}
    fleet.configure(last)
    fleet.configure(last + 1)
    advance(fleet, BOUND_MS)
    assert known_versions(fleet) == {last + 1}


@pytest.mark.parametrize("is_cut_before", [False, True])
def test_change_after_a_restore_reaches_an_instance_cut_off_from_the_store(
    fleet, is_cut_before
):
    cut = fleet.instances[2].store_link
    cut.is_partitioned = is_cut_before
    lose_writes(fleet, lambda: fleet.configure(2))
    advance(fleet, BOUND_MS)
    cut.is_partitioned = True
    fleet.configure(3)
    fleet.register("c", state="ready")
    advance(fleet, 2 * BOUND_MS)
    assert known_versions(fleet) == {3}
    assert all("c" in targets for targets in ready_targets(fleet))


def test_target_that_registered_in_the_lost_seconds_stays_in_use(fleet):
    lose_writes(fleet, lambda: fleet.register("c", state="ready"))
    advance(fleet, 1_000)
    assert ready_targets(fleet) == {("a", "b", "c")}
    fleet.register("c", state="ready", sequence=1)
    advance(fleet, 2 * BOUND_MS)
    assert ready_targets(fleet) == {("a", "b", "c")}


def test_target_that_is_not_written_again_after_a_restore_is_gone(fleet):
    lose_writes(fleet, lambda: fleet.register("c", state="ready"))
    advance(fleet, 3 * BOUND_MS)
    assert ready_targets(fleet) == {("a", "b")}


def drain(fleet):
    fleet.register("a", state="draining")


def remove(fleet):
    fleet.store.put_now("servers/a", None)


def replace(fleet):
    fleet.register("a", state="ready", started_at_ms=2)


@pytest.mark.parametrize("departure", [drain, remove])
def test_target_known_to_leave_is_not_used_again_after_a_restore(
    fleet, departure
):
    lose_writes(fleet, lambda: departure(fleet))
    for _ in range(40):
        advance(fleet, 100)
        assert ready_targets(fleet) == {("b",)}


@pytest.mark.parametrize("departure", [drain, remove])
def test_new_run_of_a_target_that_left_is_used_after_a_restore(
    fleet, departure
):
    lose_writes(fleet, lambda: departure(fleet))
    advance(fleet, 1_000)
    replace(fleet)
    advance(fleet, BOUND_MS)
    assert ready_targets(fleet) == {("a", "b")}


def test_suspicions_are_written_again_after_a_restore(fleet):
    reporter = fleet.instances[4]

    def suspect():
        for target_id in ("a", "b"):
            run = reporter.quarantine.suspicions.target_run(target_id, 1)
            reporter.quarantine.record_crash(run, "request", ["part"])

    lose_writes(fleet, suspect)
    advance(fleet, 3_000)
    prefix = request_quarantine.STORE_PREFIX
    keys = [key for key in fleet.store.list_keys() if key.startswith(prefix)]
    assert len(keys) == 2


def test_instance_is_registered_again_after_a_restore():
    loop = virtual_loop.VirtualLoop()
    store = memory_store.MemoryStore(loop)
    log = event_log.EventLog(loop.clock)

    def register(name: str) -> None:
        registration_lib.Registration(
            loop,
            memory_store.StoreClient(store, log),
            local_instance=peers_lib.Peer(
                name=name,
                incarnation="1",
                host="10.0.0.1",
                port=1,
                availability_zone="z",
            ),
            peers=peers_lib.PeerList(name),
            contact=dependency_monitor.DependencyMonitor("store", log=log),
            must_probe=lambda: False,
            random_source=random.Random(2),
        ).start()

    copy = store.copy()
    register("a")
    loop.advance(1_000)
    store.restore(copy)
    # The new instance is granted the lease that the other one still renews.
    register("b")
    loop.advance(2 * registration_lib.LEASE_TTL_MS)
    expected = {registration_lib.PEER_PREFIX + name for name in "ab"}
    assert expected <= set(store.list_keys())


@pytest.fixture(
    params=[0, homes.MAX_SMALL_FLEET_SIZE],
    ids=["one_home_per_zone", "all_homes"],
)
def rights_fleet(request, monkeypatch):
    monkeypatch.setattr(homes, "MAX_SMALL_FLEET_SIZE", request.param)
    built = simulated_rights_fleet.SimulatedRightsFleet()
    built.advance(2_000)
    return built


def restore_rights(fleet, copy) -> None:
    fleet.store.fault = memory_store.Fault.UNRESPONSIVE
    fleet.advance(1_000)
    fleet.store.fault = memory_store.Fault.NONE
    fleet.store.restore(copy)


@pytest.mark.parametrize("tokens", [40, 90, 300])
def test_rights_drawn_in_the_lost_seconds_are_not_granted_again(
    rights_fleet, tokens
):
    copy = rights_fleet.store.copy()
    for number in range(12):
        rights_fleet.request("abc"[number % 3], tokens)
        rights_fleet.advance(500)
    restore_rights(rights_fleet, copy)
    for number in range(60):
        rights_fleet.request("abc"[number % 3], 40)
        rights_fleet.assert_not_overspent()
        rights_fleet.advance(500)
    assert rights_fleet.used_tokens > 940


@pytest.mark.parametrize("departure", ["kill", "stop"])
@pytest.mark.parametrize("is_gone_before_the_outage", [True, False])
@pytest.mark.parametrize("tokens", [40, 130])
def test_rights_of_an_instance_gone_after_a_restore_are_not_granted_again(
    rights_fleet, departure, is_gone_before_the_outage, tokens
):
    depart = getattr(rights_fleet, departure)
    copy = rights_fleet.store.copy()
    for name in ("b", "c", "b", "c"):
        rights_fleet.request(name, tokens)
        rights_fleet.advance(500)
    rights_fleet.request("a", tokens)
    if is_gone_before_the_outage:
        depart("a")
    restore_rights(rights_fleet, copy)
    if not is_gone_before_the_outage:
        depart("a")
    for number in range(60):
        rights_fleet.request("bc"[number % 2], 40)
        rights_fleet.assert_not_overspent()
        rights_fleet.advance(500)


def test_peers_write_back_what_a_killed_gateway_has_drawn():
    harness = platform_harness.PlatformHarness()
    try:
        harness.configure(platform_harness.configuration(prepaid=10_000))
        harness.add_engine("j1", "jury")
        for number in range(3):
            harness.start_gateway(f"edge-{number}")
            harness.seeds = (harness.gateways[0].settings.peer_address,)
        harness.run_until_discovered()
        key = ledger_lib.key_of(platform_harness.TEAM)

        def drawn_tokens() -> int:
            return ledger_lib.decode(harness.store.peek(key)).total_tokens

        copy = harness.store.copy()
        before = drawn_tokens()
        harness.call("/stream/1", prompt="4000,20")
        drawn = drawn_tokens()
        assert drawn > before
        harness.run_for(50)
        harness.gateways[0].close()
        harness.store.restore(copy)
        assert drawn_tokens() == before
        harness.run_until(lambda: drawn_tokens() >= drawn)
    finally:
        harness.close()


@pytest.mark.parametrize("drawn_tokens", [240, 840])
def test_instance_that_starts_after_a_restore_waits_for_what_others_recover(
    rights_fleet, drawn_tokens
):
    rights_fleet.request("b", 40)
    rights_fleet.advance(1_000)
    copy = rights_fleet.store.copy()
    for number in range(drawn_tokens // 120):
        rights_fleet.request("bc"[number % 2], 120)
        rights_fleet.advance(500)
    rights_fleet.kill("a")
    restore_rights(rights_fleet, copy)
    # The others notice the new era, and their first writes are refused.
    rights_fleet.update_store_monitors()
    rights_fleet.store.fault = memory_store.Fault.BUSY
    rights_fleet.loop.advance(300)
    rights_fleet.store.fault = memory_store.Fault.NONE
    rights_fleet.start("a")
    for tokens in [300, *[40] * 20]:
        rights_fleet.request("a", tokens)
        rights_fleet.assert_not_overspent()
        rights_fleet.advance(500)
    assert rights_fleet.used_tokens > 1_000 - 4 * 40


def test_team_without_a_budget_needs_no_recovery(rights_fleet):
    copy = rights_fleet.store.copy()
    rights_fleet.request("a", 300)
    rights_fleet.advance(2_000)
    rights_fleet.prepaid_tokens = None
    restore_rights(rights_fleet, copy)
    rights_fleet.advance(4_000)
    before = rights_fleet.store.call_count
    rights_fleet.advance(4_000)
    assert rights_fleet.store.call_count == before
    for instance in rights_fleet.instance_by_name.values():
        client = instance.rights_manager._ledger_client
        assert client._recovery.pending_teams == []


def test_rights_of_an_instance_that_stopped_in_the_lost_seconds_are_free(
    rights_fleet,
):
    rights_fleet.request("a", 300)
    rights_fleet.advance(2_000)
    copy = rights_fleet.store.copy()
    rights_fleet.request("b", 100)
    rights_fleet.stop("a")
    rights_fleet.request("b", 100)
    rights_fleet.advance(2_000)
    restore_rights(rights_fleet, copy)
    rights_fleet.advance(6_000)
    used = 0
    while (
        rights_fleet.request("b", 50) is manager_lib.ReservationOutcome.RESERVED
    ):
        used += 50
    rights_fleet.assert_not_overspent()
    ledger = ledger_lib.decode(rights_fleet.store.peek(ledger_lib.key_of(TEAM)))
    assert not [h for h in ledger.holders if h.startswith("a@")]
    assert used >= 600
