"""Replication of a primary's changed records to its backup in batches."""

from __future__ import annotations

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from typing import NamedTuple

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import assignments
from bambooglade.shards import messages
from bambooglade.shards import registry as registries

RESEND_MS = 200
"""An unacknowledged batch is sent again after this time."""


class RecordName(NamedTuple):
    """Identifies a record within the shard."""

    registry: str
    record_id: str


class _DeferredEffect(NamedTuple):
    sequence: int
    registry: str
    effect: registries.AfterReplication


class ReplicationStream:
    """The primary's side of the stream to one backup.

    One batch is in flight at a time. Records that change in the meantime are
    collected in the next batch, so that batches grow with the load.

    Args:
        zone_shard: The shard and zone.
        epoch: Epoch of the primary.
        recipient: The backup, or a candidate for it.
        stream_id: Unique name of the stream.
    """

    __slots__ = (
        "_changed",
        "_deferred",
        "_epoch",
        "_in_flight",
        "_sent_at_ms",
        "_sequence",
        "_started_at_ms",
        "_stream_id",
        "_zone_shard",
        "is_named",
        "recipient",
    )

    def __init__(
        self,
        *,
        zone_shard: assignments.ZoneShard,
        epoch: identifiers.Epoch,
        recipient: identifiers.InstanceId,
        stream_id: str,
    ) -> None:
        self._zone_shard = zone_shard
        self._epoch = epoch
        self._stream_id = stream_id
        self._sequence = 0
        self._in_flight: messages.Replicate | None = None
        self._sent_at_ms = 0
        self._started_at_ms = 0
        self._changed: dict[RecordName, None] = {}
        self._deferred: collections.deque[_DeferredEffect] = collections.deque()
        self.recipient = recipient
        self.is_named = False

    @property
    def stream_id(self) -> str:
        """The unique name of the stream."""
        return self._stream_id

    @property
    def has_full_copy(self) -> bool:
        """Whether the recipient acknowledged the full copy."""
        return self._sequence > 1 or (
            self._sequence == 1 and self._in_flight is None
        )

    @property
    def is_idle(self) -> bool:
        """Whether all changes are acknowledged."""
        return self._in_flight is None and not self._changed

    def unacknowledged_ms(self, now_ms: int) -> int:
        """Returns how long the batch in flight has been unacknowledged."""
        return now_ms - self._started_at_ms if self._in_flight else 0

    def mark_changed(self, names: Iterable[RecordName]) -> None:
        """Adds changed records to the next batch."""
        self._changed.update(dict.fromkeys(names))

    def release_or_defer(
        self, registry: str, effect: registries.AfterReplication
    ) -> bool:
        """Returns whether the backup has all changes; defers the effect if not.

        `acknowledge` or `close` returns the deferred effects.
        """
        if self.is_idle and self._sequence:
            return True
        pending = bool(self._changed) or not self._sequence
        sequence = self._sequence + pending
        self._deferred.append(_DeferredEffect(sequence, registry, effect))
        return False

    def flush(
        self,
        copy: Callable[[RecordName], messages.RecordCopy],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Sends the next batch, or resends the one in flight if due."""
        if self._in_flight is not None:
            if now_ms - self._sent_at_ms >= RESEND_MS:
                yield self._send_in_flight(now_ms)
            return
        if not self._changed and self._sequence:
            return
        self._sequence += 1
        self._in_flight = messages.Replicate(
            place=self._zone_shard,
            epoch=self._epoch,
            stream_id=self._stream_id,
            sequence=self._sequence,
            records=tuple(copy(name) for name in self._changed),
        )
        self._changed = {}
        self._started_at_ms = now_ms
        yield self._send_in_flight(now_ms)

    def acknowledge(
        self, sequence: int
    ) -> Iterator[tuple[str, registries.AfterReplication]]:
        """Yields the effects that waited for a batch, with their registries."""
        if self._in_flight is None or sequence != self._sequence:
            return
        self._in_flight = None
        while self._deferred and self._deferred[0].sequence <= sequence:
            deferred = self._deferred.popleft()
            yield deferred.registry, deferred.effect

    def close(self) -> list[tuple[str, registries.AfterReplication]]:
        """Ends the stream and returns all deferred effects."""
        remaining = [(item.registry, item.effect) for item in self._deferred]
        self._deferred.clear()
        return remaining

    def _send_in_flight(self, now_ms: int) -> effects.Send:
        self._sent_at_ms = now_ms
        return effects.Send(recipient=self.recipient, message=self._in_flight)

    def __repr__(self) -> str:
        return (
            f"ReplicationStream(to={self.recipient}, named={self.is_named}, "
            f"sequence={self._sequence}, changed={len(self._changed)})"
        )


class CopyState:
    """The progress of the backup's copy of a shard.

    Attributes:
        epoch: Epoch of the copied primary; 0 if there is no copy.
        stream_id: Stream of the copy.
        sequence: Number of the last installed batch.
    """

    __slots__ = ("epoch", "sequence", "stream_id")

    def __init__(self) -> None:
        self.epoch = identifiers.Epoch(0)
        self.stream_id = ""
        self.sequence = 0

    def accepts(self, batch: messages.Replicate) -> bool:
        """Returns whether the batch continues this copy or starts a new one."""
        if batch.stream_id == self.stream_id:
            return batch.sequence <= self.sequence + 1
        return batch.sequence == 1 and self._is_newer(batch)

    def is_new_stream(self, batch: messages.Replicate) -> bool:
        """Returns whether the batch belongs to another stream."""
        return batch.stream_id != self.stream_id

    def record_installed(self, batch: messages.Replicate) -> None:
        """Records an installed batch."""
        self.epoch = batch.epoch
        self.stream_id = batch.stream_id
        self.sequence = max(batch.sequence, self._sequence_of(batch))

    def _sequence_of(self, batch: messages.Replicate) -> int:
        return self.sequence if batch.stream_id == self.stream_id else 0

    def _is_newer(self, batch: messages.Replicate) -> bool:
        return (batch.epoch, stream_number(batch.stream_id)) > (
            self.epoch,
            stream_number(self.stream_id),
        )

    def __repr__(self) -> str:
        return f"CopyState(epoch={self.epoch}, sequence={self.sequence})"


def stream_number(stream_id: str) -> int:
    """Returns the number of a stream among those of its epoch.

    Examples:
        >>> stream_number("3.12")
        12
    """
    return int(stream_id.rpartition(".")[2] or 0)
