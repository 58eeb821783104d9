"""The state that a shard's primary keeps, as the replication sees it.

A book (accounts, claims) changes its own records and yields `RecordChanged`
for each; what must not happen before the backup has a copy is wrapped in
`AfterReplication`. The host of the shard copies changed records to the backup
in groups and releases the wrapped effects once the backup acknowledged them.

See Also:
    bambooglade.shards.host: the pair's replication, promotion and handover.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments


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
        then: Released once the backup acknowledged; at once when the document
            names no backup, unless `needs_backup` is set.
        needs_backup: Whether a lone primary must not release them: it can't
            tell whether another one was named in its place meanwhile.
        otherwise: Released at once instead, when a backup is needed and none
            is named.
    """

    then: tuple[effects.Effects, ...]
    needs_backup: bool = False
    otherwise: tuple[effects.Effects, ...] = ()


class Book(Protocol):
    """One shard's records of one kind, at the primary or at the backup."""

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

    def promoted(
        self, assignment: assignments.Assignment, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Takes over as the primary of a new epoch."""
        ...
