"""Tests of following the store, on virtual time."""

from __future__ import annotations

import random

import pytest

from bambooglade.core import event_log
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import registration as registration_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import store_watcher as store_watcher_lib
from bambooglade.discovery import view as view_lib
from bambooglade.platform import codec
from bambooglade.store import dependency_monitor
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene
from bambooglade_standins.users_platform import virtual_loop

APPLY_BOUND_MS = 2_000
"""Time within which an accepted change has to be in force."""


class Followed:
    def __init__(self):
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.log = event_log.EventLog(self.loop.clock)
        self.view = view_lib.FleetView(codec.PlatformCodec(), log=self.log)
        self.contact = dependency_monitor.DependencyMonitor(
            "store", log=self.log
        )
        store_watcher_lib.StoreWatcher(
            self.loop,
            self.store,
            self.view,
            codec=codec.PlatformCodec(),
            relays=relays_lib.RelaySelector(
                peers_lib.Peer(
                    name="own",
                    incarnation="1",
                    host="10.0.0.1",
                    port=1,
                    availability_zone="z",
                ),
                peers=list,
                change_bound_ms=APPLY_BOUND_MS,
            ),
            contact=self.contact,
            random_source=random.Random(1),
        ).start()
        self.configure(1)
        self.loop.advance(APPLY_BOUND_MS)

    def configure(self, version: int) -> None:
        value = scene.configuration(version=version)
        self.store.put_now("op/config", value)

    def engine(self, name: str, state: str = "ready") -> None:
        entry = (
            b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,'
            b'"state":"%s"}' % state.encode()
        )
        self.store.put_now(f"servers/{name}", entry)

    @property
    def version(self) -> int:
        return self.view.configuration.version

    def ready(self) -> list[str]:
        return [t.target_id for t in self.view.ready_targets("s")]


@pytest.fixture
def followed():
    return Followed()


def test_changes_are_in_force_in_time(followed):
    followed.configure(2)
    followed.engine("a")
    followed.engine("b")
    followed.loop.advance(APPLY_BOUND_MS)
    assert (followed.version, followed.ready()) == (2, ["a", "b"])
    followed.engine("a", "draining")
    followed.store.put_now("servers/b", None)
    followed.loop.advance(APPLY_BOUND_MS)
    assert followed.ready() == []


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.SILENT, memory_store.Fault.BUSY]
)
def test_an_outage_of_the_store(followed, fault):
    followed.engine("a")
    followed.loop.advance(APPLY_BOUND_MS)
    followed.store.fault = fault
    followed.loop.advance(8_000)
    assert followed.contact.is_unavailable
    assert followed.ready() == ["a"]
    followed.store.fault = memory_store.Fault.NONE
    followed.configure(3)
    followed.engine("a", "draining")
    followed.loop.advance(APPLY_BOUND_MS)
    assert not followed.contact.is_unavailable
    assert (followed.version, followed.ready()) == (3, [])


def test_history_that_was_given_up(followed):
    followed.engine("a")
    followed.engine("b")
    followed.loop.advance(APPLY_BOUND_MS)
    followed.store.put_now("servers/a", None)
    followed.configure(5)
    followed.store.forget_history()
    followed.loop.advance(APPLY_BOUND_MS)
    assert (followed.version, followed.ready()) == (5, ["b"])


def test_more_targets_than_a_page_holds(followed):
    for number in range(memory_store.PAGE_ITEMS + 20):
        followed.engine(f"e{number:04}")
    followed.store.forget_history()
    followed.loop.advance(APPLY_BOUND_MS)
    assert len(followed.ready()) == memory_store.PAGE_ITEMS + 20


def test_entries_that_lapse_in_an_outage_and_come_back(followed):
    followed.engine("a")
    followed.engine("gone")
    followed.loop.advance(APPLY_BOUND_MS)
    followed.store.fault = memory_store.Fault.SILENT
    followed.loop.advance(4_000)
    followed.store.put_now("servers/a", None)
    followed.store.put_now("servers/gone", None)
    followed.store.fault = memory_store.Fault.NONE
    followed.loop.advance(1_000)
    followed.view.expire_lapsed_targets(followed.loop.now_ms())
    assert followed.ready() == ["a", "gone"]
    followed.engine("a")
    followed.loop.advance(APPLY_BOUND_MS)
    followed.view.expire_lapsed_targets(followed.loop.now_ms())
    assert followed.ready() == ["a"]


def test_calls_to_the_store_without_changes(followed):
    before = followed.store.calls
    followed.loop.advance(60_000)
    assert followed.store.calls - before <= 2 * 60_000 / 1_400


def test_registration_and_peers(followed):
    peer_lists = []
    registrations = []
    for name in ("a", "b"):
        own = peers_lib.Peer(
            name=name,
            incarnation="1",
            host="10.0.0.1",
            port=1,
            availability_zone="z",
        )
        peers = peers_lib.PeerList(name)
        registration = registration_lib.Registration(
            followed.loop,
            followed.store,
            local_instance=own,
            peers=peers,
            contact=followed.contact,
            random_source=random.Random(2),
        )
        registration.start()
        peer_lists.append(peers)
        registrations.append(registration)
    followed.loop.advance(60_000)
    now_ms = followed.loop.now_ms()
    names = [
        [p.name for p in peers.recent(now_ms=now_ms)] for peers in peer_lists
    ]
    assert names == [["b"], ["a"]]
    registrations[0].stop()
    followed.loop.advance(1_000)
    assert followed.store.peek(registration_lib.PEER_PREFIX + "a") is None
