"""Tests of the store watcher and of registration, on virtual time."""

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
from bambooglade_standins.users_platform import platform_harness
from bambooglade_standins.users_platform import virtual_loop

APPLY_BOUND_MS = 2_000
"""Time limit for applying an accepted change."""


class WatcherHarness:
    def __init__(self):
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.log = event_log.EventLog(self.loop.clock)
        self.client = memory_store.StoreClient(self.store, self.log)
        self.view = view_lib.FleetView(codec.PlatformCodec(), log=self.log)
        self.store_monitor = dependency_monitor.DependencyMonitor(
            "store", log=self.log
        )
        self.watcher = store_watcher_lib.StoreWatcher(
            self.loop,
            self.client,
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
            contact=self.store_monitor,
            random_source=random.Random(1),
        )
        self.watcher.start()
        self.configure(1)
        self.loop.advance(APPLY_BOUND_MS)

    def configure(self, version: int) -> None:
        value = platform_harness.configuration(version=version)
        self.store.put_now("op/config", value)

    def register_engine(self, name: str, state: str = "ready") -> None:
        entry = (
            b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,'
            b'"state":"%s"}' % state.encode()
        )
        self.store.put_now(f"servers/{name}", entry)

    @property
    def version(self) -> int:
        return self.view.configuration.version

    def ready_targets(self) -> list[str]:
        return [t.target_id for t in self.view.ready_targets("s")]


@pytest.fixture
def harness():
    return WatcherHarness()


def test_changes_are_applied_in_time(harness):
    harness.configure(2)
    harness.register_engine("a")
    harness.register_engine("b")
    harness.loop.advance(APPLY_BOUND_MS)
    assert (harness.version, harness.ready_targets()) == (2, ["a", "b"])
    harness.register_engine("a", "draining")
    harness.store.put_now("servers/b", None)
    harness.loop.advance(APPLY_BOUND_MS)
    assert harness.ready_targets() == []


@pytest.mark.parametrize(
    "fault", [memory_store.Fault.UNRESPONSIVE, memory_store.Fault.BUSY]
)
def test_view_survives_store_outage_and_recovers(harness, fault):
    harness.register_engine("a")
    harness.loop.advance(APPLY_BOUND_MS)
    harness.store.fault = fault
    harness.loop.advance(8_000)
    assert harness.store_monitor.is_unavailable
    assert harness.ready_targets() == ["a"]
    harness.store.fault = memory_store.Fault.NONE
    harness.configure(3)
    harness.register_engine("a", "draining")
    harness.loop.advance(APPLY_BOUND_MS)
    assert not harness.store_monitor.is_unavailable
    assert (harness.version, harness.ready_targets()) == (3, [])


def test_changes_are_read_after_history_compaction(harness):
    harness.register_engine("a")
    harness.register_engine("b")
    harness.loop.advance(APPLY_BOUND_MS)
    harness.store.put_now("servers/a", None)
    harness.configure(5)
    harness.store.compact_history()
    harness.loop.advance(APPLY_BOUND_MS)
    assert (harness.version, harness.ready_targets()) == (5, ["b"])


def test_all_pages_of_targets_are_read(harness):
    for number in range(memory_store.PAGE_ITEMS + 20):
        harness.register_engine(f"e{number:04}")
    harness.store.compact_history()
    harness.loop.advance(APPLY_BOUND_MS)
    assert len(harness.ready_targets()) == memory_store.PAGE_ITEMS + 20


def test_targets_expired_during_outage_must_register_again(harness):
    harness.register_engine("a")
    harness.register_engine("gone")
    harness.loop.advance(APPLY_BOUND_MS)
    harness.store.fault = memory_store.Fault.UNRESPONSIVE
    harness.loop.advance(4_000)
    harness.store.put_now("servers/a", None)
    harness.store.put_now("servers/gone", None)
    harness.store.fault = memory_store.Fault.NONE
    harness.loop.advance(1_000)
    harness.view.expire_lapsed_targets(harness.loop.now_ms())
    assert harness.ready_targets() == ["a", "gone"]
    harness.register_engine("a")
    harness.loop.advance(APPLY_BOUND_MS)
    harness.view.expire_lapsed_targets(harness.loop.now_ms())
    assert harness.ready_targets() == ["a"]


def test_idle_store_calls_are_bounded(harness):
    before = harness.store.call_count
    harness.loop.advance(60_000)
    assert harness.store.call_count - before <= 2 * 60_000 / 1_400


def test_registered_peers_are_listed_until_stop(harness):
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
            harness.loop,
            harness.client,
            local_instance=own,
            peers=peers,
            contact=harness.store_monitor,
            must_probe=lambda: False,
            random_source=random.Random(2),
        )
        registration.start()
        peer_lists.append(peers)
        registrations.append(registration)
    harness.loop.advance(60_000)
    now_ms = harness.loop.now_ms()
    names = [
        [p.name for p in peers.recent(now_ms=now_ms)] for peers in peer_lists
    ]
    assert names == [["b"], ["a"]]
    registrations[0].stop()
    harness.loop.advance(1_000)
    assert harness.store.peek(registration_lib.PEER_PREFIX + "a") is None


@pytest.mark.parametrize(
    ("fault", "is_successful"),
    [
        (memory_store.Fault.NONE, True),
        (memory_store.Fault.BUSY, False),
        (memory_store.Fault.UNRESPONSIVE, False),
    ],
)
def test_catch_up_confirms_the_view_only_if_the_store_responds(
    harness, fault, is_successful
):
    harness.loop.advance(1_000)
    asked_at_ms = harness.loop.now_ms()
    harness.store.fault = fault
    done = harness.watcher.catch_up()
    harness.loop.advance(50)
    assert done.result(timeout=0) == is_successful
    assert (harness.view.read_at_ms >= asked_at_ms) == is_successful


def test_catch_up_includes_what_was_written_before_it(harness):
    harness.register_engine("e1")
    done = harness.watcher.catch_up()
    harness.register_engine("e2")
    while not done.done():
        harness.loop.advance(1)
    assert {"e1", "e2"} == set(harness.ready_targets())


def test_catch_ups_of_one_moment_share_the_calls_to_the_store(harness):
    first = harness.watcher.catch_up()
    harness.loop.advance(1)
    call_count = harness.store.call_count
    rest = [harness.watcher.catch_up() for _ in range(50)]
    assert all(done is rest[0] for done in rest)
    assert rest[0] is not first
    harness.loop.advance(store_watcher_lib.MIN_CATCH_UP_INTERVAL_MS + 50)
    assert rest[0].result(timeout=0)
    assert harness.store.call_count <= call_count + 4


def test_watch_that_ends_late_confirms_nothing_after_its_beginning(harness):
    """A process that was suspended reads old responses when it resumes."""
    harness.loop.advance(1_000)
    read_at_ms = harness.view.targets_read_at_ms
    while harness.view.targets_read_at_ms == read_at_ms:
        harness.loop.advance(1)
    age_ms = harness.loop.now_ms() - harness.view.targets_read_at_ms
    assert age_ms >= store_watcher_lib.WATCH_TIMEOUT_MS


@pytest.mark.parametrize("is_in_outage", [False, True])
def test_targets_that_may_have_come_and_gone_unseen_are_noticed(
    harness, is_in_outage
):
    seen = []
    harness.view.registration_listeners.append(
        lambda target: seen.append(target.target_id)
    )
    if is_in_outage:
        harness.store.fault = memory_store.Fault.UNRESPONSIVE
        harness.loop.advance(5_000)
    harness.register_engine("e1")
    harness.store.put_now("servers/e1", None)
    harness.store.fault = memory_store.Fault.NONE
    harness.loop.advance(1_000)
    assert seen == ([] if is_in_outage else ["e1"])
    assert bool(harness.view.unseen_until_ms) == is_in_outage
