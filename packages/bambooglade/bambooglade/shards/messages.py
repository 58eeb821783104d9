"""Messages between the primary, the backup and former primaries of a shard."""

from __future__ import annotations

import msgspec

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments


class RecordCopy(msgspec.Struct, frozen=True, kw_only=True):
    """A record on its way to the backup.

    Attributes:
        book: Name of the kind of book that it belongs to.
        record_id: Identifies the record within the book.
        record: The record as JSON; `null` when it was evicted.
    """

    book: str
    record_id: str
    record: msgspec.Raw

    @property
    def is_evicted(self) -> bool:
        """Whether the record exists no more."""
        return bytes(self.record) == b"null"


class Replicate(effects.Message, frozen=True, kw_only=True):
    """Copies changed records to the backup; repeated until acknowledged.

    The next batch is sent after the acknowledgement of the one before it.

    Attributes:
        stream_id: Names the stream; a full copy starts a new one.
        sequence: Number of the batch in the stream; 1 is the full copy.
    """

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
    stream_id: str
    sequence: int
    records: tuple[RecordCopy, ...]


class ReplicateAck(effects.Message, frozen=True, kw_only=True):
    """The backup installed all batches of a stream up to this one."""

    place: assignments.ZoneShard
    stream_id: str
    sequence: int


class ReplicateRefused(effects.Message, frozen=True, kw_only=True):
    """The receiver knows a newer epoch, or lacks the start of the stream."""

    place: assignments.ZoneShard
    stream_id: str
    known_epoch: identifiers.Epoch


class FinalReport(effects.Message, frozen=True, kw_only=True):
    """What a former primary knows of its epoch, after it stepped down.

    It will never act under that epoch again, so that the successor can tell
    exactly which rights were in use. Repeated until acknowledged.
    """

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
    records: tuple[RecordCopy, ...]


class FinalReportAck(effects.Message, frozen=True, kw_only=True):
    """The successor took the report in; the former primary may forget it."""

    place: assignments.ZoneShard
    epoch: identifiers.Epoch
