"""The record registries of one shard, replicated as a unit."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.core import json_documents
from bambooglade.shards import assignments
from bambooglade.shards import document as documents
from bambooglade.shards import messages
from bambooglade.shards import registry as registries
from bambooglade.shards import replication

_EVICTED = msgspec.Raw(b"null")


class RegistrySet:
    """The registries of one shard in one zone.

    Args:
        zone_shard: The shard and zone.
        factories: One factory per kind of registry.
    """

    __slots__ = ("_factories", "_factory_by_name", "_zone_shard", "by_name")

    def __init__(
        self,
        zone_shard: assignments.ZoneShard,
        factories: tuple[registries.RegistryFactory, ...],
    ) -> None:
        self._zone_shard = zone_shard
        self._factories = factories
        self._factory_by_name = {factory.name: factory for factory in factories}
        self.by_name: dict[str, registries.RecordRegistry] = {}
        self.clear()

    def clear(self) -> None:
        """Replaces all registries with empty ones."""
        self.by_name = {
            factory.name: factory.create(self._zone_shard)
            for factory in self._factories
        }

    def items(self) -> Iterable[tuple[str, registries.RecordRegistry]]:
        """Returns the registries with their names."""
        return self.by_name.items()

    def record_names(self) -> Iterator[replication.RecordName]:
        """Yields the names of all records, for a full copy."""
        for name, registry in self.by_name.items():
            for record in registry.records():
                yield replication.RecordName(name, record.record_id)

    def copy(self, name: replication.RecordName) -> messages.RecordCopy:
        """Returns a copy of a record for the backup."""
        record = self.by_name[name.registry].record(name.record_id)
        return messages.RecordCopy(
            book=name.registry,
            record_id=name.record_id,
            record=_encode_record(record),
        )

    def install(self, copies: Iterable[messages.RecordCopy]) -> None:
        """Installs the records of a batch; unknown registries are ignored."""
        for copy in copies:
            registry = self.by_name.get(copy.book)
            if registry is None:
                continue
            if copy.is_evicted:
                registry.evict(copy.record_id)
            else:
                registry.install(self._decode_record(copy))

    def final_copies(self) -> tuple[messages.RecordCopy, ...]:
        """Returns the final records that a former primary reports."""
        return tuple(
            messages.RecordCopy(
                book=name,
                record_id=record.record_id,
                record=_encode_record(record),
            )
            for name, registry in self.by_name.items()
            for record in registry.final_records()
        )

    def apply_final_records(
        self,
        name: str,
        report: messages.FinalReport,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Applies the final report of a former primary to one registry."""
        records = [
            self._decode_record(copy)
            for copy in report.records
            if copy.book == name and not copy.is_evicted
        ]
        return self.by_name[name].apply_final_records(
            report.epoch, records, now_ms
        )

    def edit_document(
        self, document: documents.ShardDocument, now_ms: int
    ) -> documents.ShardDocument:
        """Returns the document with the changes of all registries."""
        for registry in self.by_name.values():
            document = registry.edit_document(document, now_ms)
        return document

    def set_backup_required(self, *, required: bool) -> None:
        """Sets whether a backup has to acknowledge changes."""
        for registry in self.by_name.values():
            registry.set_backup_required(required=required)

    def _decode_record(self, copy: messages.RecordCopy) -> registries.Record:
        record_type = self._factory_by_name[copy.book].record_type
        return json_documents.decode(copy.record, record_type)

    def __repr__(self) -> str:
        return f"RegistrySet({', '.join(self.by_name)})"


def _encode_record(record: registries.Record | None) -> msgspec.Raw:
    if record is None:
        return _EVICTED
    return msgspec.Raw(msgspec.json.encode(record))


def without_inherited_copy(
    assignment: assignments.Assignment, now_ms: int
) -> assignments.Assignment:
    """Returns the assignment without an inherited copy."""
    return msgspec.structs.replace(
        assignment,
        inherited_epoch=None,
        history_lost_at_ms=assignment.history_lost_at_ms or now_ms,
    )


def next_assignment(
    current: assignments.Assignment | None,
    *,
    primary: identifiers.InstanceId,
    inherits: bool,
    now_ms: int,
) -> assignments.Assignment:
    """Returns the assignment of the next epoch, with a new primary.

    Args:
        current: The current assignment; None if the shard was never served.
        primary: The new primary.
        inherits: Whether the new primary has a full copy as the backup.
        now_ms: Current time; recorded if the history is lost.
    """
    if current is None:
        return assignments.Assignment(
            epoch=identifiers.Epoch(1), primary=primary, backup=None
        )
    return assignments.Assignment(
        epoch=identifiers.Epoch(current.epoch + 1),
        primary=primary,
        backup=None,
        history_lost_at_ms=current.history_lost_at_ms if inherits else now_ms,
        inherited_epoch=current.epoch if inherits else None,
    )
