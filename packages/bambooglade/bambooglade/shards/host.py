"""Hosts the shards that this instance serves as primary or backup."""

from __future__ import annotations

from collections.abc import Iterator
import functools

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import edits
from bambooglade.shards import messages
from bambooglade.shards import registry as registries
from bambooglade.shards import replica

PAUSE_THRESHOLD_MS = 1_000
"""A gap between ticks after which a primary may have been replaced.

It is well below the time after which other instances take over.
"""

SCAN_PERIOD_MS = 1_000
"""Pause between two background reads of documents."""


class ShardHost:
    """Routes messages to the shards of this instance's availability zone.

    It implements `core.component.Component`. A shard is assumed on the first
    message for it. All registries of a shard share its primary, its backup, its
    replication stream and its document.

    Args:
        instance_id: This instance.
        availability_zone: The zone that it belongs to.
        shard_count: Number of shards of the deployment.
        assignment_map: Updated with the assignments in the documents.
        fleet: Liveness of the instances as seen by this one.
        registry_factories: One factory per kind of registry.

    See Also:
        bambooglade.shards.replica: one shard at one instance.
    """

    __slots__ = (
        "_assignments",
        "_availability_zone",
        "_draining",
        "_factories",
        "_factory_by_message_type",
        "_fleet",
        "_instance_id",
        "_last_tick_ms",
        "_next_scan_ms",
        "_replica_by_shard",
        "_scanned",
        "_shard_count",
        "document_prefixes",
        "message_types",
    )

    def __init__(
        self,
        *,
        instance_id: identifiers.InstanceId,
        availability_zone: identifiers.AvailabilityZone,
        shard_count: int,
        assignment_map: assignments.AssignmentMap,
        fleet: view.FleetView,
        registry_factories: tuple[registries.RegistryFactory, ...],
    ) -> None:
        self._instance_id = instance_id
        self._availability_zone = availability_zone
        self._shard_count = shard_count
        self._assignments = assignment_map
        self._fleet = fleet
        self._factories = registry_factories
        self._factory_by_message_type = {
            message_type: factory
            for factory in registry_factories
            for message_type in factory.message_types
        }
        self._replica_by_shard: dict[
            identifiers.ShardId, replica.ShardReplica
        ] = {}
        self._draining = False
        self._last_tick_ms: int | None = None
        self._scanned = 0
        self._next_scan_ms = 0
        self.document_prefixes = (documents.KEY_PREFIX,)
        self.message_types = (
            *self._factory_by_message_type,
            messages.Replicate,
            messages.ReplicateAck,
            messages.ReplicateRefused,
            messages.FinalReport,
            messages.FinalReportAck,
            edits.TopUp,
        )

    @property
    def is_drained(self) -> bool:
        """Whether every shard was handed over, after `begin_drain`."""
        return self._draining and all(
            shard_replica.is_drained
            for shard_replica in self._replica_by_shard.values()
        )

    def begin_drain(self, now_ms: int) -> Iterator[effects.Effects]:
        """Starts to hand over all shards before a planned stop."""
        self._draining = True
        for shard_replica in self._replica_by_shard.values():
            shard_replica.begin_drain()
            yield from shard_replica.tick(now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message from an instance, possibly this one."""
        self._detect_pause(now_ms)
        factory = self._factory_by_message_type.get(type(message))
        if factory is not None:
            key = factory.shard_key(message)
            shard = hashing.shard_of(key, shard_count=self._shard_count)
            shard_replica = self.replica(shard)
            yield from shard_replica.dispatch(factory, message, sender, now_ms)
        else:
            yield from self._handle_replica_message(message, sender, now_ms)

    @functools.singledispatchmethod
    def _handle_replica_message(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return iter(())

    @_handle_replica_message.register
    def _(
        self,
        message: messages.Replicate,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        shard_replica = self.replica(message.place.shard)
        return shard_replica.install_batch(message, sender, now_ms)

    @_handle_replica_message.register
    def _(
        self,
        message: messages.ReplicateAck,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self.replica(message.place.shard).acknowledge_batch(
            message, now_ms
        )

    @_handle_replica_message.register
    def _(
        self,
        message: messages.ReplicateRefused,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self.replica(message.place.shard).handle_refusal(message, now_ms)

    @_handle_replica_message.register
    def _(
        self,
        message: messages.FinalReport,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        shard_replica = self.replica(message.place.shard)
        return shard_replica.apply_final_report(message, sender, now_ms)

    @_handle_replica_message.register
    def _(
        self,
        message: messages.FinalReportAck,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self.replica(message.place.shard).acknowledge_report(message)
        return iter(())

    @_handle_replica_message.register
    def _(
        self,
        message: edits.TopUp,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        shard = hashing.shard_of(
            message.budget_id, shard_count=self._shard_count
        )
        shard_replica = self.replica(shard)
        shard_replica.edits.add(message, now_ms)
        shard_replica.request_document(write=False, now_ms=now_ms)
        shard_replica.request_document(write=True, now_ms=now_ms)
        return shard_replica.tick(now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a response of the platform's service."""
        self._detect_pause(now_ms)
        shard_replica = self.replica(documents.shard_of_key(answer.key))
        yield from shard_replica.apply_document_response(answer, now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Performs the periodic work of every shard."""
        self._detect_pause(now_ms)
        self._last_tick_ms = now_ms
        self._scan(now_ms)
        for shard_replica in list(self._replica_by_shard.values()):
            yield from shard_replica.tick(now_ms)

    def _detect_pause(self, now_ms: int) -> None:
        """Requires confirmations if the process was paused."""
        paused = now_ms - (self._last_tick_ms or now_ms) >= PAUSE_THRESHOLD_MS
        if paused:
            self._last_tick_ms = now_ms
            for shard_replica in self._replica_by_shard.values():
                shard_replica.handle_resume()

    def replica(self, shard: identifiers.ShardId) -> replica.ShardReplica:
        """Returns this instance's replica of a shard; creates it if needed."""
        shard_replica = self._replica_by_shard.get(shard)
        if shard_replica is None:
            shard_replica = self._create_replica(shard)
            self._replica_by_shard[shard] = shard_replica
        return shard_replica

    def keep_served(
        self, zone_shard: assignments.ZoneShard, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Keeps a shard of this zone served even without requests."""
        if zone_shard.availability_zone == self._availability_zone:
            shard_replica = self.replica(zone_shard.shard)
            shard_replica.must_be_served = True
            yield from shard_replica.tick(now_ms)

    def replicas(self) -> list[replica.ShardReplica]:
        """Returns the replicas that exist at this instance."""
        return list(self._replica_by_shard.values())

    def _scan(self, now_ms: int) -> None:
        """Requests the document of the next shard of this instance.

        The scan detects failed primaries and backups before a request needs
        them, refills zones without recent requests, and delivers top-ups to
        primaries that no watch notifies. The first round does not pause.
        """
        if self._draining or now_ms < self._next_scan_ms:
            return
        if self._scanned >= self._shard_count:
            self._next_scan_ms = now_ms + SCAN_PERIOD_MS
        live = self._fleet.live_in_zone(self._availability_zone)
        for _ in range(self._shard_count):
            shard = identifiers.ShardId(self._scanned % self._shard_count)
            self._scanned += 1
            if self._is_responsible_for(shard, live):
                self.replica(shard).request_document(write=False, now_ms=now_ms)
                return

    def _is_responsible_for(
        self,
        shard: identifiers.ShardId,
        live: tuple[identifiers.InstanceId, ...],
    ) -> bool:
        shard_replica = self._replica_by_shard.get(shard)
        if shard_replica is not None and shard_replica.is_primary:
            return True
        zone_shard = assignments.ZoneShard(
            shard=shard, availability_zone=self._availability_zone
        )
        return zone_shard.ranked(live)[:1] == [self._instance_id]

    def _create_replica(
        self, shard: identifiers.ShardId
    ) -> replica.ShardReplica:
        shard_replica = replica.ShardReplica(
            instance_id=self._instance_id,
            zone_shard=assignments.ZoneShard(
                shard=shard, availability_zone=self._availability_zone
            ),
            factories=self._factories,
            assignment_map=self._assignments,
            fleet=self._fleet,
        )
        if self._draining:
            shard_replica.begin_drain()
        return shard_replica

    def __repr__(self) -> str:
        serving = sum(
            shard_replica.is_primary
            for shard_replica in self._replica_by_shard.values()
        )
        return (
            f"ShardHost({self._instance_id}, "
            f"replicas={len(self._replica_by_shard)}, primary_of={serving})"
        )
