"""A gateway process as its neighbours see it: stop, outage, peers."""

from __future__ import annotations

import msgspec
import pytest

from bambooglade.eventloop import http_client
from bambooglade.gateway import settings as settings_lib
from bambooglade.rights import ledger as ledger_lib
from bambooglade_standins.users_platform import engine as engine_lib
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene as scene_lib

OTHER_KEY = b"key-of-others"

ACQUAINTANCE_MS = 5_200
"""Time until an instance has read of one that registered after it."""


@pytest.fixture
def scene():
    built = scene_lib.Scene()
    built.configure(scene_lib.configuration(keys=(scene_lib.KEY, OTHER_KEY)))
    built.add_engine("p1", "portal")
    built.add_engine("j1", "jury", default=engine_lib.stream_events(4))
    yield built
    built.close()


def get(scene, address, path="/"):
    client = http_client.HttpClient(scene.loop)
    future = client.call(address, method="GET", target=path, timeout_ms=1_000)
    scene.run_until(future.done)
    return future.result()


def test_ready_only_with_a_configuration_and_targets(scene):
    scene.store.fault = memory_store.Fault.SILENT
    with pytest.raises(AssertionError):
        scene_lib.MAX_WAIT_MS, before = 300, scene_lib.MAX_WAIT_MS
        try:
            scene.start_gateway()
        finally:
            scene_lib.MAX_WAIT_MS = before
    gateway = scene.gateways[0]
    readiness = gateway.settings.readiness_address
    assert get(scene, readiness).status == 503
    assert scene.call("/plain/1").status == 503
    scene.store.fault = memory_store.Fault.NONE
    scene.run_until(lambda: gateway.is_ready)
    assert get(scene, readiness).status == 200
    assert scene.call("/plain/1").status == 200


def test_a_planned_stop_finishes_what_is_under_way(scene):
    gateway = scene.start_gateway()
    calls: list[engine_lib.Call] = []
    scene.engine_by_name["j1"].script.append(calls.append)
    idle = scene.connect()
    caller = scene.begin("/stream/1", prompt="100,50", deadline_ms=8_000)
    scene.run_until(lambda: calls)
    calls[0].start_stream()
    calls[0].event(1)
    gateway.stop()
    assert get(scene, gateway.settings.readiness_address).status == 503
    late = scene.call("/plain/1")
    assert late.status == 200
    assert late.header(b"connection") == b"close"
    scene.run_for(2_800)
    assert idle.is_closed
    too_late = scene.call("/plain/1")
    assert too_late.status == 503
    assert float(too_late.header(b"retry-after")) < 1
    assert len(scene.engine_by_name["p1"].requests) == 1
    calls[0].event(2)
    calls[0].end_stream()
    scene.run_until(lambda: gateway.is_stopped)
    assert caller.is_whole
    assert caller.body == engine_lib.event(1) + engine_lib.event(2)
    key = ledger_lib.key_of(scene_lib.TEAM)
    assert ledger_lib.decode(scene.store.peek(key)).total_tokens == 104


def test_a_stop_ends_within_its_bound(scene):
    gateway = scene.start_gateway()
    gateway.settings.stop_timeout_ms = 2_000
    scene.engine_by_name["j1"].script.append(lambda call: None)
    caller = scene.begin("/stream/1", prompt="100,50", deadline_ms=9_000)
    scene.run_for(100)
    started_ms = scene.loop.now_ms()
    gateway.stop()
    scene.run_until(lambda: gateway.is_stopped)
    assert scene.loop.now_ms() - started_ms < 2_000
    assert caller.is_over
    assert not caller.is_whole


@pytest.mark.parametrize("is_turned_away", [False, True])
def test_a_key_that_was_taken_away(scene, is_turned_away):
    scene.start_gateway("edge-1")
    scene.start_gateway("edge-2")
    scene.run_for(scene_lib.APPLY_BOUND_MS)
    assert scene.call("/plain/1", key=OTHER_KEY).status == 200
    if is_turned_away:
        scene.run_for(ACQUAINTANCE_MS)
        scene.turn_away(0)
        scene.run_for(2_500)
    scene.configure(scene_lib.configuration(version=2))
    scene.run_for(1_500)
    for gateway in (0, 1):
        caller = scene.call("/plain/1", key=OTHER_KEY, gateway=gateway)
        assert caller.status == 401
    assert scene.call("/plain/1").status == 200


def test_a_target_that_leaves_while_an_instance_is_turned_away(scene):
    scene.add_engine("p2", "portal")
    scene.start_gateway("edge-1")
    scene.start_gateway("edge-2")
    scene.run_for(ACQUAINTANCE_MS)
    scene.turn_away(0)
    scene.run_for(2_500)
    scene.register("p1", "portal", state="draining")
    scene.run_for(1_500)
    before = len(scene.engine_by_name["p1"].requests)
    for _ in range(4):
        assert scene.call("/plain/1").status == 200
    assert len(scene.engine_by_name["p1"].requests) == before


def test_an_outage_of_the_store_delays_nothing(scene):
    scene.start_gateway("edge-1")
    scene.start_gateway("edge-2")
    assert scene.call("/stream/1", prompt="100,50").is_whole
    scene.run_for(1_500)
    scene.store.fault = memory_store.Fault.SILENT
    scene.run_for(2_500)
    for number in range(6):
        caller = scene.call(
            "/stream/1", prompt="40000,5000", gateway=number % 2
        )
        assert caller.is_whole


def test_a_restart_during_an_outage_learns_from_a_peer(scene):
    first = scene.start_gateway("edge-1")
    scene.store.fault = memory_store.Fault.SILENT
    scene.seeds = (first.settings.peer_address,)
    second = scene.start_gateway("edge-2")
    assert second.view.configuration.version == 1
    assert scene.call("/plain/1", gateway=1).status == 200
    assert scene.call("/stream/1", prompt="100,50", gateway=1).is_whole


def test_budget_and_its_end(scene):
    scene.configure(
        scene_lib.configuration(version=3, prepaid=1_000, keys=(scene_lib.KEY,))
    )
    scene.start_gateway()
    statuses = [
        scene.call("/stream/1", prompt="200,100").status for _ in range(6)
    ]
    assert statuses == [200, 200, 200, 200, 402, 402]
    assert scene.call("/plain/1").status == 200


@pytest.mark.parametrize(
    ("value", "version"), [(b"{", 1), (b'{"version": 9}', 1), (None, 9)]
)
def test_a_malformed_configuration_changes_nothing(scene, value, version):
    gateway = scene.start_gateway()
    scene.configure(value or scene_lib.configuration(version=9))
    scene.run_for(scene_lib.APPLY_BOUND_MS)
    assert gateway.view.configuration.version == version
    assert scene.call("/plain/1").status == 200


def test_metrics_are_served(scene):
    gateway = scene.start_gateway()
    scene.call("/plain/1")
    page = get(scene, gateway.settings.metrics_address, "/metrics")
    assert b"bambooglade_requests_total" in page.body


def test_new_settings(scene):
    gateway = scene.start_gateway()
    changed = settings_lib.GatewaySettings(
        **{
            name: getattr(gateway.settings, name)
            for name in settings_lib.GatewaySettings.__slots__
            if name != "stop_timeout_ms"
        },
        stop_timeout_ms=1_234,
    )
    gateway.reload(changed)
    assert gateway.settings.stop_timeout_ms == 1_234


@pytest.mark.parametrize(
    ("path", "body", "status"),
    [
        ("/v1/loans", b"{}", 400),
        ("/v1/view", b"not json", 400),
        ("/v1/other", b"{}", 404),
    ],
)
def test_peers_that_send_nonsense(scene, path, body, status):
    gateway = scene.start_gateway()
    client = http_client.HttpClient(scene.loop)
    future = client.call(
        gateway.settings.peer_address,
        method="POST",
        target=path,
        body=body,
        timeout_ms=1_000,
    )
    scene.run_until(future.done)
    assert future.result().status == status


def test_a_target_whose_address_has_another_owner(scene):
    scene.start_gateway()
    first = scene.engine_by_name["p1"]

    def misdirect(call: engine_lib.Call) -> None:
        call.send(b"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n")

    first.default = misdirect
    scene.add_engine("p2", "portal")
    scene.run_for(scene_lib.APPLY_BOUND_MS)
    assert [scene.call("/plain/1").status for _ in range(4)] == [200] * 4
    assert len(first.requests) <= 1


def test_entries_of_other_writers_are_skipped(scene):
    scene.store.put_now("servers/torn", b"\xff\xfe")
    scene.store.put_now("servers/odd", msgspec.json.encode({"service": 1}))
    scene.start_gateway()
    assert scene.call("/plain/1").status == 200
