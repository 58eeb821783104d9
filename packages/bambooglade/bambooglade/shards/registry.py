"""The state that a shard's primary keeps, as the replication sees it.

A book (accounts, claims) changes its own records and yields `RecordChanged`
for each; what must not happen before the backup has a copy is wrapped in
`AfterReplication`. The host of the shard copies changed records to the backup
in groups and releases the wrapped effects once the backup acknowledged them.

See Also:
    bambooglade.shards.host: the pair's replication, promotion and handover.
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
    """Base of the records that are copied from primary to backup whole.

    Attributes:
        record_id: Unique within the book.
        version: Grows with every change; a copy never goes back.
    """

    record_id: str
    version: int


class RecordChanged(effects.Effect, frozen=True, kw_only=True):
    """The record has to be copied to the backup."""

    record_id: str


class AfterReplication(effects.Effect, frozen=True, kw_only=True):
    """Effects to release when all changes up to now are at the backup.

    Attributes:
        then: Released once the backup acknowledged; at once when there is
            none, unless `needs_confirmation` is set.
        needs_confirmation: Whether two primaries must never both release the
            effects. A primary without a backup, or one that was paused, cannot
            determine whether another instance was named as primary. It defers
            the effects until a later response of the platform's service
            confirms its assignment.
        otherwise: Released instead when that confirmation does not come.
    """

    then: tuple[effects.Effects, ...]
    needs_confirmation: bool = False
    otherwise: tuple[effects.Effects, ...] = ()


class ReplicationNotice(effects.Effect, frozen=True, kw_only=True):
    """Base of notices that a book gives itself inside `AfterReplication`.

    The host passes it to `RecordRegistry.replicated` once the changes are
    copied.
    """


class DocumentRequested(effects.Effect, frozen=True, kw_only=True):
    """The book has something to write to, or to learn from, the document.

    Attributes:
        max_delay_ms: How long it may be gathered with other writes of the shard;
            0 when a request waits for it.
        fresh: Whether the cached document does not do and is to be read again.
    """

    max_delay_ms: int = 0
    fresh: bool = False


class RecordRegistry(Protocol):
    """One shard's records of one kind, at the primary or at the backup.

    The methods after `promote` have defaults for books that do not need them;
    a book inherits from this class to get them.
    """

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Decides on a message; called at the primary only."""
        ...

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Does what is due; called at the primary only."""
        ...

    def record(self, record_id: str) -> Record | None:
        """Returns a record to be copied, or None when it was evicted."""
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
        """Takes over as the primary of a new epoch."""
        ...

    def apply_notice(
        self, notice: ReplicationNotice, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Takes back a notice after the changes before it were copied."""
        return iter(())

    def set_backup_required(self, *, required: bool) -> None:
        """Learns whether a backup has to acknowledge what the primary does."""

    def apply_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Learns a newer document of the shard; called at the primary."""
        return iter(())

    def handle_service_failure(self, now_ms: int) -> Iterator[effects.Effects]:
        """Learns that the platform's service did not answer."""
        return iter(())

    def edit_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> documents.ShardDocument:
        """Returns the document with what this book wants to write to it."""
        return document

    def vacate(self, now_ms: int) -> Iterator[effects.Effects]:
        """Gives back what it holds, since no instance of the zone is left."""
        return iter(())

    def is_vacant(self) -> bool:
        """Returns whether nothing is lost if no instance takes over."""
        return True

    def final_records(self) -> Iterator[Record]:
        """Yields what a stepped-down primary reports to its successor."""
        return iter(())

    def apply_final_records(
        self, epoch: identifiers.Epoch, records: Iterable[Record], now_ms: int
    ) -> Iterator[effects.Effects]:
        """Takes in the final records of a stepped-down primary."""
        return iter(())

    def step_down(
        self, primary: identifiers.InstanceId | None, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Stops deciding; answers those that wait with the new primary."""
        return iter(())


class RegistryFactory(Protocol):
    """Creates the books of one kind, and routes their messages to a shard."""

    name: str
    """Name of the kind of book within the replication stream."""

    message_types: tuple[type[effects.Message], ...]
    """Messages that its books handle."""

    record_type: type
    """Record type, or union of the record types, to decode copies into."""

    def shard_key(self, message: effects.Message) -> str:
        """Returns the key whose hash gives the shard of the message."""
        ...

    def create(self, zone_shard: assignments.ZoneShard) -> RecordRegistry:
        """Creates the empty book of a place."""
        ...

    def misdirected_response(
        self,
        message: effects.Message,
        primary: identifiers.InstanceId | None,
    ) -> effects.Message | None:
        """Returns the answer of an instance that is not the primary."""
        ...
