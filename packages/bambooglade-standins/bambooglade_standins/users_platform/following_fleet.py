"""A large fleet that follows the store through relays, on virtual time."""

from __future__ import annotations

from concurrent import futures
import random

from bambooglade.core import event_log
from bambooglade.discovery import peer_puller
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import store_watcher as store_watcher_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import tasks
from bambooglade.gateway import peer_api
from bambooglade.http1 import messages
from bambooglade.platform import codec
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import scene
from bambooglade_standins.users_platform import virtual_loop

ZONES = ("zone-a", "zone-b")
CHANGE_BOUND_MS = 2_000
"""Time in which a change has to be in force."""

WAY_MS = 1
"""Time of one way between two instances."""


class StorePath:
    """The store as one instance reaches it.

    Attributes:
        is_cut: Whether calls get no answer.
        calls: Number of calls so far.
        most_items: Most items that one watch brought.
    """

    def __init__(self, fleet: FollowingFleet) -> None:
        self._fleet = fleet
        self.is_cut = False
        self.calls = 0
        self.most_items = 0

    def read_prefix(self, prefix: str, *, after_key: str = "") -> object:
        """Reads a page, unless the path is cut."""
        store = self._fleet.store
        return self._call(
            lambda: store.read_prefix(prefix, after_key=after_key), 1_000
        )

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits for changes, unless the path is cut."""
        store = self._fleet.store
        answered = self._call(
            lambda: store.watch(
                prefix, after_revision=after_revision, wait_ms=wait_ms
            ),
            wait_ms + 700,
        )
        answered.add_done_callback(self._note_items)
        return answered

    def _note_items(self, done: futures.Future) -> None:
        if isinstance(done.result(), store_api.Items):
            self.most_items = max(self.most_items, len(done.result().items))

    def _call(self, execute, timeout_ms: int) -> futures.Future:
        self.calls += 1
        if not self.is_cut:
            return execute()
        answer: futures.Future = futures.Future()
        self._fleet.loop.call_later(
            timeout_ms, tasks.complete, answer, store_api.NoResponse()
        )
        return answer


class LocalClient:
    """Calls instances of the fleet directly, after the time of two ways."""

    def __init__(self, fleet: FollowingFleet) -> None:
        self._fleet = fleet

    def call(
        self, address, *, method: str, target: str, body: bytes, timeout_ms: int
    ) -> futures.Future:
        """Sends a call, as `HttpClient` does."""
        answer: futures.Future = futures.Future()
        node = self._fleet.node_by_address.get(address)
        loop = self._fleet.loop
        loop.call_later(timeout_ms, tasks.complete, answer, None)
        if node is None or not node.is_running:
            return answer
        request = messages.Request(
            method=method.encode(),
            target=target.encode(),
            fields=[],
            body=body,
            received_at_ms=loop.now_ms(),
        )

        def replied(done: futures.Future) -> None:
            reply = done.result()
            loop.call_later(
                2 * WAY_MS,
                tasks.complete,
                answer,
                http_client.Response(reply.status, reply.body),
            )

        node.api.handle(request).add_done_callback(replied)
        return answer


class FollowingNode:
    """One instance: its view, and how it is kept in step."""

    def __init__(self, fleet: FollowingFleet, number: int) -> None:
        self.name = f"i{number:02}"
        self.own = peers_lib.Peer(
            name=self.name,
            incarnation="1",
            host="10.0.0.1",
            port=number,
            availability_zone=ZONES[number % len(ZONES)],
        )
        self.is_running = True
        log = event_log.EventLog(fleet.loop.clock, instance=self.name)
        random_source = random.Random(number)
        self.path = StorePath(fleet)
        self.contact = dependency_monitor.DependencyMonitor("store", log=log)
        self.view = view_lib.FleetView(codec.PlatformCodec(), log=log)
        self.peers = peers_lib.PeerList(self.name)
        self.relays = relays_lib.RelaySelector(
            self.own,
            peers=lambda: self.peers.recent(now_ms=fleet.loop.now_ms()),
            change_bound_ms=CHANGE_BOUND_MS,
        )
        self.follower = store_watcher_lib.StoreWatcher(
            fleet.loop,
            self.path,
            self.view,
            codec=codec.PlatformCodec(),
            relays=self.relays,
            contact=self.contact,
            random_source=random_source,
        )
        self.puller = peer_puller.PeerPuller(
            fleet.loop,
            LocalClient(fleet),
            self.view,
            peers=self.peers,
            relays=self.relays,
            read_configuration=self.follower.read_configuration,
            local_instance=self.own,
            seeds=(),
            contact=self.contact,
            log=log,
            random_source=random_source,
        )
        self.api = peer_api.PeerApi(
            view=self.view,
            peers=self.peers,
            local_instance=self.own,
            rights=None,
            log=log,
            loop=fleet.loop,
        )

    @property
    def version(self) -> int:
        """Version of the configuration in force; 0 for none."""
        known = self.view.configuration
        return known.version if known is not None else 0

    def is_waiting_at_relay(self, now_ms: int) -> bool:
        """Returns whether another instance follows the store for this one."""
        return not self.relays.must_watch_store(
            now_ms=now_ms, checked_at_ms=self.view.checked_at_ms
        )


class FollowingFleet:
    """Instances in two zones, the store, and what operators write to it.

    Args:
        size: Number of instances.
    """

    def __init__(self, size: int) -> None:
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.nodes = [FollowingNode(self, number) for number in range(size)]
        self.node_by_address = {node.own.address: node for node in self.nodes}
        everyone = [node.own for node in self.nodes]
        for node in self.nodes:
            node.peers.mark_seen(everyone, now_ms=self.loop.now_ms())
        self.configure(1)
        for node in self.nodes:
            node.follower.start()
            node.puller.start()
        self.loop.advance(CHANGE_BOUND_MS)

    @property
    def running(self) -> list[FollowingNode]:
        """The instances that were not killed."""
        return [node for node in self.nodes if node.is_running]

    @property
    def calls(self) -> int:
        """Calls to the store by all instances."""
        return sum(node.path.calls for node in self.nodes)

    def relay_of(self, zone: str) -> FollowingNode:
        """Returns the instance that follows the store for a zone."""
        waiting = next(
            node
            for node in self.running
            if node.own.availability_zone == zone
            and node.is_waiting_at_relay(self.loop.now_ms())
        )
        relay = waiting.relays.select(now_ms=self.loop.now_ms())
        return self.node_by_address[relay.address]

    def configure(self, version: int) -> None:
        """Writes a version of the configuration."""
        value = scene.configuration(version=version)
        self.store.put_now("op/config", value)

    def register(self, name: str, *, state: str, sequence: int = 0) -> None:
        """Writes the entry of a target."""
        entry = (
            '{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,'
            f'"state":"{state}","sequence":{sequence}}}'
        )
        self.store.put_now(f"servers/{name}", entry.encode())

    def kill(self, node: FollowingNode) -> None:
        """Ends an instance without notice."""
        node.is_running = False
        node.follower.stop()
        node.puller.stop()
        node.path.is_cut = True
