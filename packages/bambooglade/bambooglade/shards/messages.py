"""Messages between the primary, the backup and former primaries of a shard."""

from __future__ import annotations

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments


class RecordCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of a record for the backup.

    Attributes:
        book: Name of the registry that contains the record.
        record_id: Identifies the record within the registry.
        record: The record as JSON; `null` if it was evicted.
    """

    book: str
    record_id: str
    record: msgspec.Raw

    @property
    def is_evicted(self) -> bool:
        """Whether the record was evicted."""
        return bytes(self.record) == b"null"


class Replicate(effects.Message, frozen=True, kw_only=True):
    """Copies changed records to the backup; resent until acknowledged.

    The next batch is sent after the previous one was acknowledged.

    Attributes:
        place: The shard and zone.
        stream_id: Identifies the stream; a full copy starts a new one.
        sequence: Number of the batch in the stream; batch 1 is the full copy.
    """

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
    stream_id: str
    sequence: int
    records: tuple[RecordCopy, ...]


class ReplicateAck(effects.Message, frozen=True, kw_only=True):
    """The backup installed all batches of a stream up to `sequence`."""

    place: assignments.ZoneShard
    stream_id: str
    sequence: int


class ReplicateRefused(effects.Message, frozen=True, kw_only=True):
    """The receiver has a newer epoch or lacks the start of the stream."""

    place: assignments.ZoneShard
    stream_id: str
    known_epoch: identifiers.Epoch


class FinalReport(effects.Message, frozen=True, kw_only=True):
    """Final records of a former primary for its epoch.

    The former primary no longer acts under that epoch, so the successor can
    determine exactly which rights were in use. Resent until acknowledged.
    """

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
    records: tuple[RecordCopy, ...]


class FinalReportAck(effects.Message, frozen=True, kw_only=True):
    """The successor applied the report; the former primary may discard it."""

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
