"""Simulated fleet that watches the store through relays, on virtual time."""

from __future__ import annotations

from concurrent import futures
import random

from bambooglade.core import event_log
from bambooglade.discovery import peer_puller
from bambooglade.discovery import peers as peers_lib
from bambooglade.discovery import registration as registration_lib
from bambooglade.discovery import relays as relays_lib
from bambooglade.discovery import store_watcher as store_watcher_lib
from bambooglade.discovery import view as view_lib
from bambooglade.eventloop import http_client
from bambooglade.eventloop import http_server
from bambooglade.eventloop import tasks
from bambooglade.gateway import brittle_replication
from bambooglade.gateway import leaving_replication
from bambooglade.gateway import limit_replication
from bambooglade.gateway import origin_replication
from bambooglade.gateway import peer_api
from bambooglade.gateway import request_quarantine
from bambooglade.gateway import stream_origins
from bambooglade.gateway import version_archive
from bambooglade.http1 import messages
from bambooglade.platform import codec
from bambooglade.store import dependency_monitor
from bambooglade.store import store_api
from bambooglade_standins.users_platform import memory_store
from bambooglade_standins.users_platform import platform_harness
from bambooglade_standins.users_platform import store_call_counts
from bambooglade_standins.users_platform import virtual_loop

ZONES = ("zone-a", "zone-b")
CHANGE_BOUND_MS = 2_000
"""Time limit for applying a change on every instance."""

ONE_WAY_LATENCY_MS = 1
"""One-way network latency between two instances."""

CALL_TIMEOUT_MS = 1_000
"""Time-out of a call to the store, as in `bambooglade.platform.store`."""

MAINTENANCE_INTERVAL_MS = 500
"""Interval of the maintenance of an instance, as in the gateway process."""


class StoreLink:
    """Connection of one instance to the store, which can be partitioned.

    Attributes:
        is_partitioned: Whether calls get no response.
        lost_prefixes: Prefixes of which reads get no response.
        are_lease_calls_lost: Whether lease calls get no response.
        call_count: Number of calls so far, except those at a reduced price.
        max_watch_items: Largest number of items returned by one watch.
        era: Era of the store that the instance has observed.
    """

    def __init__(
        self, fleet: SimulatedRelayFleet, log: event_log.EventLog
    ) -> None:
        self._fleet = fleet
        self._client = memory_store.StoreClient(fleet.store, log)
        self.era = self._client.era
        self.is_partitioned = False
        self.lost_prefixes: set[str] = set()
        self.are_lease_calls_lost = False
        self.call_count = 0
        self.max_watch_items = 0

    def read(self, key: str) -> futures.Future:
        """Reads one key; times out while partitioned."""
        return self._call(lambda: self._client.read(key), CALL_TIMEOUT_MS)

    def read_prefix(
        self, prefix: str, *, after_key: str = "", allow_stale: bool = False
    ) -> futures.Future:
        """Reads a page; times out while partitioned."""
        return self._call(
            lambda: self._client.read_prefix(
                prefix, after_key=after_key, allow_stale=allow_stale
            ),
            CALL_TIMEOUT_MS,
            is_lost=prefix in self.lost_prefixes,
            is_reduced=allow_stale,
        )

    def watch(
        self, prefix: str, *, after_revision: int, wait_ms: int
    ) -> futures.Future:
        """Waits for changes; times out while partitioned."""
        store = self._client
        response = self._call(
            lambda: store.watch(
                prefix, after_revision=after_revision, wait_ms=wait_ms
            ),
            wait_ms + 700,
        )
        response.add_done_callback(self._record_items)
        return response

    def commit(
        self, writes: list[store_api.Write], *, timeout_ms: int
    ) -> futures.Future:
        """Applies writes; times out while partitioned."""
        store = self._client
        return self._call(
            lambda: store.commit(writes, timeout_ms=timeout_ms), timeout_ms
        )

    def grant_lease(self, *, ttl_ms: int) -> futures.Future:
        """Grants a lease; times out while partitioned."""
        return self._call(
            lambda: self._client.grant_lease(ttl_ms=ttl_ms),
            CALL_TIMEOUT_MS,
            is_lost=self.are_lease_calls_lost,
        )

    def renew_lease(self, lease_id: int) -> futures.Future:
        """Renews a lease; times out while partitioned."""
        return self._call(
            lambda: self._client.renew_lease(lease_id),
            CALL_TIMEOUT_MS,
            is_lost=self.are_lease_calls_lost,
            is_reduced=True,
        )

    def revoke_lease(self, lease_id: int) -> futures.Future:
        """Revokes a lease; times out while partitioned."""
        return self._call(
            lambda: self._client.revoke_lease(lease_id), CALL_TIMEOUT_MS
        )

    def _record_items(self, done: futures.Future) -> None:
        if isinstance(done.result(), store_api.Items):
            self.max_watch_items = max(
                self.max_watch_items, len(done.result().items)
            )

    def _call(
        self,
        execute,
        timeout_ms: int,
        *,
        is_lost: bool = False,
        is_reduced: bool = False,
    ) -> futures.Future:
        self.call_count += not is_reduced
        if not self.is_partitioned and not is_lost:
            return execute()
        response: futures.Future = futures.Future()
        self._fleet.loop.call_later(
            timeout_ms, tasks.complete, response, store_api.NoResponse()
        )
        return response


class InProcessHttpClient:
    """HTTP client that calls instances directly, with round-trip latency.

    Attributes:
        is_partitioned: Whether calls from and to the instance get no response.
    """

    def __init__(self, fleet: SimulatedRelayFleet) -> None:
        self._fleet = fleet
        self.is_partitioned = False

    def call(
        self, address, *, method: str, target: str, body: bytes, timeout_ms: int
    ) -> futures.Future:
        """Calls an instance, as `HttpClient` does."""
        response: futures.Future = futures.Future()
        instance = self._fleet.instance_by_address.get(address)
        loop = self._fleet.loop
        loop.call_later(timeout_ms, tasks.complete, response, None)
        if (
            self.is_partitioned
            or instance is None
            or not instance.is_running
            or instance.client.is_partitioned
        ):
            return response
        request = messages.Request(
            method=method.encode(),
            target=target.encode(),
            fields=[],
            body=body,
            received_at_ms=loop.now_ms(),
        )

        def deliver_response(done: futures.Future) -> None:
            reply = done.result()
            loop.call_later(
                2 * ONE_WAY_LATENCY_MS,
                tasks.complete,
                response,
                http_client.Response(reply.status, reply.body),
            )

        reply = instance.api.handle(request)
        if isinstance(reply, http_server.Reply):
            reply, immediate = futures.Future(), reply
            reply.set_result(immediate)
        reply.add_done_callback(deliver_response)
        return response


class RelayFleetInstance:
    """One instance: its view and the components that keep it up to date."""

    def __init__(
        self, fleet: SimulatedRelayFleet, number: int, seed: int = 0
    ) -> None:
        self._fleet = fleet
        self.name = f"i{number:02}"
        self.local_instance = peers_lib.Peer(
            name=self.name,
            incarnation="1",
            host="10.0.0.1",
            port=number,
            availability_zone=ZONES[number % len(ZONES)],
            archives_streams=True,
        )
        self.is_running = True
        log = event_log.EventLog(fleet.loop.clock, instance=self.name)
        random_source = random.Random(number + 1_000 * seed)
        self.store_link = StoreLink(fleet, log)
        store = store_call_counts.CountingStore(self.store_link, fleet.counts)
        self.store_monitor = dependency_monitor.DependencyMonitor(
            "store", log=log
        )
        self.view = view_lib.FleetView(codec.PlatformCodec(), log=log)
        self.peers = peers_lib.PeerList(self.name)
        self.relays = relays_lib.RelaySelector(
            self.local_instance,
            peers=lambda: self.peers.recent(now_ms=fleet.loop.now_ms()),
            change_bound_ms=CHANGE_BOUND_MS,
        )
        self.store_watcher = store_watcher_lib.StoreWatcher(
            fleet.loop,
            store,
            self.view,
            codec=codec.PlatformCodec(),
            relays=self.relays,
            contact=self.store_monitor,
            random_source=random_source,
        )
        self.registration = registration_lib.Registration(
            fleet.loop,
            store,
            local_instance=self.local_instance,
            peers=self.peers,
            contact=self.store_monitor,
            must_probe=self.relays.uses_relays,
            random_source=random_source,
        )
        self.versions = version_archive.VersionArchive(
            fleet.loop,
            store,
            stream_origins.StreamOrigins(
                known_since_ms=fleet.loop.now_ms(),
                known_until_ms=fleet.loop.now_ms(),
            ),
            is_recorder=lambda: self._is_version_recorder,
            is_first_start=False,
            random_source=random_source,
            log=log,
        )
        self.client = InProcessHttpClient(fleet)
        self.quarantine = request_quarantine.RequestQuarantine(
            fleet.loop,
            self.client,
            store,
            relays=self.relays,
            must_watch_store=lambda: (
                not self.is_using_relay(fleet.loop.now_ms())
            ),
            contact=self.store_monitor,
            local_instance=self.local_instance,
            log=log,
            random_source=random_source,
        )
        self.limits = limit_replication.LimitReplicator(
            fleet.loop,
            self.client,
            peers=lambda: self.peers.recent(now_ms=fleet.loop.now_ms()),
            relays=self.relays,
            contact=self.store_monitor,
            local_instance=self.local_instance,
            log=log,
            random_source=random_source,
        )
        self.leaving = leaving_replication.LeavingReplicator(
            fleet.loop,
            self.client,
            self.view,
            peers=lambda: self.peers.recent(now_ms=fleet.loop.now_ms()),
            relays=self.relays,
            contact=self.store_monitor,
            local_instance=self.local_instance,
            log=log,
        )
        self.brittle = brittle_replication.BrittleReplicator(
            fleet.loop,
            self.client,
            peers=lambda: self.peers.recent(now_ms=fleet.loop.now_ms()),
            relays=self.relays,
            contact=self.store_monitor,
            local_instance=self.local_instance,
            rank_of=self.limits.rank_of,
            ranked_names=self.limits.ranked_names,
            log=log,
        )
        self.peer_puller = peer_puller.PeerPuller(
            fleet.loop,
            self.client,
            self.view,
            era=self.store_link.era,
            peers=self.peers,
            relays=self.relays,
            read_configuration=self.store_watcher.read_configuration,
            quarantine=self.quarantine,
            leaving=self.leaving,
            local_instance=self.local_instance,
            seeds=tuple,
            contact=self.store_monitor,
            log=log,
            random_source=random_source,
        )
        self.api = peer_api.PeerApi(
            view=self.view,
            era=self.store_link.era,
            peers=self.peers,
            local_instance=self.local_instance,
            rights=None,
            origins=None,
            quarantine=self.quarantine,
            limits=self.limits,
            leaving=self.leaving,
            brittle=self.brittle,
            log=log,
            loop=fleet.loop,
        )

    def start(self) -> None:
        """Starts all components."""
        for component in (
            self.store_watcher,
            self.registration,
            self.peer_puller,
            self.quarantine,
            self.limits,
            self.versions,
        ):
            component.start()
        self._run_maintenance()

    def _run_maintenance(self) -> None:
        if self.is_running:
            self.versions.observe(self.view.target_by_id.values())
            self._fleet.loop.call_later(
                MAINTENANCE_INTERVAL_MS, self._run_maintenance
            )

    @property
    def _is_version_recorder(self) -> bool:
        if not self.registration.has_initial_peers:
            return False
        ranked = origin_replication.ranked_recorders(
            [*self.relays.known_peers(), self.local_instance]
        )
        recorders = ranked[: version_archive.RECORDER_COUNT]
        return self.local_instance in recorders

    @property
    def version(self) -> int:
        """Version of the applied configuration; 0 if there is none."""
        configuration = self.view.configuration
        return configuration.version if configuration is not None else 0

    def is_using_relay(self, now_ms: int) -> bool:
        """Returns whether this instance receives changes through a relay."""
        return not self.relays.must_watch_store(
            now_ms=now_ms, checked_at_ms=self.view.checked_at_ms
        )


class SimulatedRelayFleet:
    """Instances in two availability zones and their store.

    Args:
        size: Number of instances.
        seed: Seed of the jitter in all intervals.
        start_spread_ms: Time within which the instances start, without knowing
            each other; None if they know each other from the beginning.

    Attributes:
        counts: Calls to the store.
    """

    def __init__(
        self, size: int, *, seed: int = 0, start_spread_ms: int | None = None
    ) -> None:
        self.loop = virtual_loop.VirtualLoop()
        self.store = memory_store.MemoryStore(self.loop)
        self.counts = store_call_counts.StoreCallCounts()
        self.instances = [
            RelayFleetInstance(self, number, seed) for number in range(size)
        ]
        self.instance_by_address = {
            instance.local_instance.address: instance
            for instance in self.instances
        }
        self.configure(1)
        if start_spread_ms is not None:
            random_source = random.Random(seed)
            for instance in self.instances:
                self.loop.call_later(
                    random_source.random() * start_spread_ms, instance.start
                )
            return
        all_peers = [instance.local_instance for instance in self.instances]
        for instance in self.instances:
            instance.peers.mark_seen(all_peers, now_ms=self.loop.now_ms())
        for instance in self.instances:
            instance.start()
        self.loop.advance(CHANGE_BOUND_MS)

    @property
    def running_instances(self) -> list[RelayFleetInstance]:
        """Instances that have not been killed."""
        return [instance for instance in self.instances if instance.is_running]

    @property
    def call_count(self) -> int:
        """Number of store calls by all instances at the full price."""
        return sum(
            instance.store_link.call_count for instance in self.instances
        )

    def relay_for(self, zone: str) -> RelayFleetInstance:
        """Returns the instance that relays store changes in a zone."""
        waiting = next(
            instance
            for instance in self.running_instances
            if instance.local_instance.availability_zone == zone
            and instance.is_using_relay(self.loop.now_ms())
        )
        relay = waiting.relays.select(now_ms=self.loop.now_ms())
        return self.instance_by_address[relay.address]

    def configure(self, version: int) -> None:
        """Writes a configuration with this version to the store."""
        value = platform_harness.configuration(version=version)
        self.store.put_now("op/config", value)

    def register(
        self, name: str, *, state: str, sequence: int = 0, started_at_ms=1
    ) -> None:
        """Writes the registration of a target to the store."""
        entry = (
            '{"service":"s","address":"10.0.0.1:80","zone":"z","slots":4,'
            f'"state":"{state}","sequence":{sequence},"born":{started_at_ms}}}'
        )
        self.store.put_now(f"servers/{name}", entry.encode())

    def kill(self, instance: RelayFleetInstance) -> None:
        """Stops an instance abruptly and cuts its connection to the store."""
        instance.is_running = False
        instance.store_watcher.stop()
        instance.peer_puller.stop()
        instance.quarantine.stop()
        instance.versions.stop()
        instance.store_link.is_partitioned = True
        instance.registration.stop()
