"""Hosts the shards that this instance serves, as primary or as backup."""

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
from bambooglade.shards import registry as books
from bambooglade.shards import replica

PAUSE_MS = 1_000
"""A gap between ticks after which a pair may have been displaced.

It is well below the time after which others take over.
"""

SCAN_PAUSE_MS = 1_000
"""Pause between two looks at a document that nothing else asked for."""


class ShardHost:
    """Routes messages to the shards of this instance's availability zone.

    It is a `core.component.Component`. A shard is assumed on first demand; all
    books of a shard share its pair, its replication stream and its document.

    Args:
        instance_id: This instance.
        availability_zone: The zone that it belongs to.
        shard_count: Number of shards of the deployment.
        assignment_map: Learns the pairs that the documents name.
        fleet: Whom this instance believes to be alive.
        book_factories: One for each kind of book.

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
        "_next_scan_ms",
        "_replica_by_shard",
        "_scanned",
        "_shard_count",
        "_ticked_at_ms",
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
        book_factories: tuple[books.RegistryFactory, ...],
    ) -> None:
        self._instance_id = instance_id
        self._availability_zone = availability_zone
        self._shard_count = shard_count
        self._assignments = assignment_map
        self._fleet = fleet
        self._factories = book_factories
        self._factory_by_message_type = {
            message_type: factory
            for factory in book_factories
            for message_type in factory.message_types
        }
        self._replica_by_shard: dict[
            identifiers.ShardId, replica.ShardReplica
        ] = {}
        self._draining = False
        self._ticked_at_ms: int | None = None
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
            hosted.is_drained for hosted in self._replica_by_shard.values()
        )

    def begin_drain(self, now_ms: int) -> Iterator[effects.Effects]:
        """Starts to hand all shards over, for a planned stop."""
        self._draining = True
        for hosted in self._replica_by_shard.values():
            hosted.begin_drain()
            yield from hosted.tick(now_ms)

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Decides on a message from an instance, possibly this one."""
        self._notice_pause(now_ms)
        factory = self._factory_by_message_type.get(type(message))
        if factory is not None:
            key = factory.shard_key(message)
            shard = hashing.shard_of(key, shard_count=self._shard_count)
            hosted = self.replica(shard)
            yield from hosted.demand(factory, message, sender, now_ms)
        else:
            yield from self._handle_own(message, sender, now_ms)

    @functools.singledispatchmethod
    def _handle_own(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return iter(())

    @_handle_own.register
    def _(
        self,
        message: messages.Replicate,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        hosted = self.replica(message.place.shard)
        return hosted.replicate(message, sender, now_ms)

    @_handle_own.register
    def _(
        self,
        message: messages.ReplicateAck,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self.replica(message.place.shard).acknowledged(message, now_ms)

    @_handle_own.register
    def _(
        self,
        message: messages.ReplicateRefused,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        return self.replica(message.place.shard).refused(message, now_ms)

    @_handle_own.register
    def _(
        self,
        message: messages.FinalReport,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        hosted = self.replica(message.place.shard)
        return hosted.reported(message, sender, now_ms)

    @_handle_own.register
    def _(
        self,
        message: messages.FinalReportAck,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self.replica(message.place.shard).report_acknowledged(message)
        return iter(())

    @_handle_own.register
    def _(
        self,
        message: edits.TopUp,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        shard = hashing.shard_of(
            message.budget_id, shard_count=self._shard_count
        )
        hosted = self.replica(shard)
        hosted.edits.add(message, now_ms)
        hosted.want_document(write=False, now_ms=now_ms)
        hosted.want_document(write=True, now_ms=now_ms)
        return hosted.tick(now_ms)

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Goes on after an answer of the platform's service."""
        self._notice_pause(now_ms)
        hosted = self.replica(documents.shard_of_key(answer.key))
        yield from hosted.handle_document_response(answer, now_ms)

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Does what is due in every shard."""
        self._notice_pause(now_ms)
        self._ticked_at_ms = now_ms
        self._scan(now_ms)
        for hosted in list(self._replica_by_shard.values()):
            yield from hosted.tick(now_ms)

    def _notice_pause(self, now_ms: int) -> None:
        """Notes when the process did not run for some time."""
        paused = now_ms - (self._ticked_at_ms or now_ms) >= PAUSE_MS
        if paused:
            self._ticked_at_ms = now_ms
            for hosted in self._replica_by_shard.values():
                hosted.resumed()

    def replica(self, shard: identifiers.ShardId) -> replica.ShardReplica:
        """Returns this instance's replica of a shard; creates it when new."""
        hosted = self._replica_by_shard.get(shard)
        if hosted is None:
            hosted = self._created(shard)
            self._replica_by_shard[shard] = hosted
        return hosted

    def keep_served(
        self, place: assignments.ZoneShard, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Lets a place of the own zone be served, also without requests."""
        if place.availability_zone == self._availability_zone:
            hosted = self.replica(place.shard)
            hosted.is_wanted = True
            yield from hosted.tick(now_ms)

    def replicas(self) -> list[replica.ShardReplica]:
        """Returns the replicas that exist at this instance."""
        return list(self._replica_by_shard.values())

    def _scan(self, now_ms: int) -> None:
        """Looks at one of the shards that this instance looks after.

        So a pair that was lost is noticed before a request needs it, rights
        reach zones that have not asked yet, and top-ups reach primaries that
        no watch tells of them. The first round is fast.
        """
        if self._draining or now_ms < self._next_scan_ms:
            return
        if self._scanned >= self._shard_count:
            self._next_scan_ms = now_ms + SCAN_PAUSE_MS
        live = self._fleet.live_in_zone(self._availability_zone)
        for _ in range(self._shard_count):
            shard = identifiers.ShardId(self._scanned % self._shard_count)
            self._scanned += 1
            if self._looks_after(shard, live):
                self.replica(shard).want_document(write=False, now_ms=now_ms)
                return

    def _looks_after(
        self,
        shard: identifiers.ShardId,
        live: tuple[identifiers.InstanceId, ...],
    ) -> bool:
        hosted = self._replica_by_shard.get(shard)
        if hosted is not None and hosted.is_primary:
            return True
        place = assignments.ZoneShard(
            shard=shard, availability_zone=self._availability_zone
        )
        return place.ranked(live)[:1] == [self._instance_id]

    def _created(self, shard: identifiers.ShardId) -> replica.ShardReplica:
        hosted = replica.ShardReplica(
            instance_id=self._instance_id,
            place=assignments.ZoneShard(
                shard=shard, availability_zone=self._availability_zone
            ),
            factories=self._factories,
            assignment_map=self._assignments,
            fleet=self._fleet,
        )
        if self._draining:
            hosted.begin_drain()
        return hosted

    def __repr__(self) -> str:
        serving = sum(
            hosted.is_primary for hosted in self._replica_by_shard.values()
        )
        return (
            f"ShardHost({self._instance_id}, "
            f"replicas={len(self._replica_by_shard)}, primary_of={serving})"
        )
