"""Interface between the record registries of a shard and its replication.

A registry (accounts, claims) changes its own records and yields `RecordChanged`
for each of them. Effects that must not occur before the backup has a copy are
wrapped in `AfterReplication`. The host of the shard copies changed records to
the backup in batches and releases the wrapped effects when the backup has
acknowledged them.

See Also:
    bambooglade.shards.host: replication, promotion and handover.
"""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator
from typing import Protocol

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments
from bambooglade.shards import document as documents


class Record(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the records that the primary copies to the backup.

    Attributes:
        record_id: Unique within the registry.
        version: Incremented with every change; older copies are ignored.
    """

    record_id: str
    version: int


class RecordChanged(effects.Effect, frozen=True, kw_only=True):
    """A record changed and has to be copied to the backup."""

    record_id: str


class AfterReplication(effects.Effect, frozen=True, kw_only=True):
    """Effects to release when the backup has all changes made so far.

    Attributes:
        then: Effects released when the backup has acknowledged the changes;
            immediately without a backup, unless `needs_confirmation` is set.
        needs_confirmation: Whether two primaries must never both release the
            effects. A primary without a backup, or one that was paused, cannot
            determine whether another instance was named as primary. It defers
            the effects until a later response of the platform's service
            confirms its assignment.
        otherwise: Effects released instead if the confirmation times out.
    """

    then: tuple[effects.Effects, ...]
    needs_confirmation: bool = False
    otherwise: tuple[effects.Effects, ...] = ()


class ReplicationNotice(effects.Effect, frozen=True, kw_only=True):
    """Base of notices that a registry sends to itself by `AfterReplication`.

    The host passes it to `RecordRegistry.apply_notice` when the changes have
    been copied.
    """


class DocumentRequested(effects.Effect, frozen=True, kw_only=True):
    """The registry requests a write or a read of the shard's document.

    Attributes:
        max_delay_ms: Maximum delay for combining the write with other writes of
            the shard; 0 if a request waits for it.
        fresh: Whether the document has to be read again, since the cached one
            may be outdated.
    """

    max_delay_ms: int = 0
    fresh: bool = False


class RecordRegistry(Protocol):
    """One shard's records of one kind, at the primary or the backup.

    Registries inherit from this class. The methods after `promote` have default
    implementations for registries that do not need them.
    """

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message; called at the primary only."""
        ...

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Performs periodic work; called at the primary only."""
        ...

    def record(self, record_id: str) -> Record | None:
        """Returns a record to copy, or None if it was evicted."""
        ...

    def records(self) -> Iterator[Record]:
        """Yields all records, for a full copy."""
        ...

    def install(self, record: Record) -> None:
        """Installs a copied record unless a newer version is present."""
        ...

    def evict(self, record_id: str) -> None:
        """Drops a copied record that the primary evicted."""
        ...

    def promote(
        self, assignment: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Starts serving as the primary of a new epoch."""
        ...

    def apply_notice(
        self, notice: ReplicationNotice, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a notice after the changes before it were copied."""
        return iter(())

    def set_backup_required(self, *, required: bool) -> None:
        """Sets whether a backup has to acknowledge the primary's changes."""

    def apply_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies a newer document of the shard; called at the primary."""
        return iter(())

    def handle_service_failure(self, now_ms: int) -> Iterator[effects.Effects]:
        """Handles a failed request to the platform's service."""
        return iter(())

    def edit_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> documents.ShardDocument:
        """Returns the document with the changes of this registry."""
        return document

    def vacate(self, now_ms: int) -> Iterator[effects.Effects]:
        """Returns unused rights before the last instance of the zone stops."""
        return iter(())

    def is_vacant(self) -> bool:
        """Returns whether the zone can stop without losing state."""
        return True

    def final_records(self) -> Iterator[Record]:
        """Yields the records that a former primary reports to its successor."""
        return iter(())

    def apply_final_records(
        self, epoch: identifiers.Epoch, records: Iterable[Record], now_ms: int
    ) -> Iterator[effects.Effects]:
        """Applies the final records of a former primary."""
        return iter(())

    def step_down(
        self, primary: identifiers.InstanceId | None, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Stops serving; redirects waiting requests to the new primary."""
        return iter(())


class RegistryFactory(Protocol):
    """Creates the registries of one kind and routes messages to shards."""

    name: str
    """Name of the registry within the replication stream."""

    message_types: tuple[type[effects.Message], ...]
    """Types of messages that the registries handle."""

    record_type: type
    """Record type, or union of record types, for decoding copies."""

    def shard_key(self, message: effects.Message) -> str:
        """Returns the key whose hash determines the shard of a message."""
        ...

    def create(self, zone_shard: assignments.ZoneShard) -> RecordRegistry:
        """Creates the empty registry of a shard in a zone."""
        ...

    def misdirected_response(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the response of an instance that is not the primary."""
        ...
