"""Selection, naming and removal of a primary's backup."""

from __future__ import annotations

from bambooglade.core import identifiers
from bambooglade.fleet import view
from bambooglade.shards import assignments
from bambooglade.shards import registry as registries
from bambooglade.shards import replication

BACKUP_TIMEOUT_MS = 2_000
"""A backup that does not acknowledge a batch in this time is dropped."""

CANDIDATE_RETRY_MS = 5_000
"""A failed candidate is not retried within this time."""

DeferredEffects = list[tuple[str, registries.AfterReplication]]


class BackupManager:
    """Manages the backup of one primary.

    A candidate receives a full copy and every later change before it is named
    as backup in the document. While a write that may name or drop it is in
    doubt, the stream is kept and its acknowledgements are still required.

    Args:
        zone_shard: The shard and zone.
        instance_id: The primary.
        fleet: Liveness of the instances as seen by the primary.
    """

    __slots__ = (
        "_document_backup",
        "_dropping",
        "_failed_at_ms_by_candidate",
        "_fleet",
        "_instance_id",
        "_stream_count",
        "_zone_shard",
        "stream",
        "stream_started",
    )

    def __init__(
        self,
        zone_shard: assignments.ZoneShard,
        instance_id: identifiers.InstanceId,
        fleet: view.FleetView,
    ) -> None:
        self._zone_shard = zone_shard
        self._instance_id = instance_id
        self._fleet = fleet
        self._stream_count = 0
        self._dropping = False
        self._document_backup: identifiers.InstanceId | None = None
        self._failed_at_ms_by_candidate: dict[identifiers.InstanceId, int] = {}
        self.stream: replication.ReplicationStream | None = None
        self.stream_started = False

    @property
    def wanted_backup(self) -> identifiers.InstanceId | None:
        """The backup to name in the document."""
        if self.stream is None or self._dropping:
            return None
        return self.stream.recipient if self.stream.has_full_copy else None

    @property
    def has_named_backup(self) -> bool:
        """Whether the document names the backup that receives the copies."""
        return self.stream is not None and self.stream.is_named

    @property
    def differs_from_document(self) -> bool:
        """Whether the document does not name the wanted backup."""
        return self.wanted_backup != self._document_backup

    def release_or_defer(
        self, name: str, effect: registries.AfterReplication
    ) -> bool:
        """Returns whether an effect can be released; defers it otherwise."""
        if self.stream is not None:
            return self.stream.release_or_defer(name, effect)
        return True

    def apply_document_backup(
        self, backup: identifiers.InstanceId | None
    ) -> DeferredEffects:
        """Applies the backup named in the document.

        Returns:
            Deferred effects of a backup that is no longer named.
        """
        self._document_backup = backup
        if self.stream is None:
            return []
        if backup == self.stream.recipient:
            self.stream.is_named = True
            return []
        if not self.stream.is_named:
            return []
        return self._close_stream()

    def maintain(
        self, *, epoch: identifiers.Epoch, in_doubt: bool, now_ms: int
    ) -> DeferredEffects:
        """Starts a stream if there is none, and drops an unresponsive backup.

        Returns:
            Deferred effects of a dropped candidate.
        """
        if self.stream is None:
            self._start_stream(epoch, now_ms)
            return []
        is_unresponsive = self._is_unresponsive(now_ms)
        if self.stream.is_named:
            self._dropping = is_unresponsive
            return []
        if not is_unresponsive or in_doubt:
            return []
        self._failed_at_ms_by_candidate[self.stream.recipient] = now_ms
        return self._close_stream()

    def abandon(self) -> None:
        """Discards the stream and its deferred effects."""
        self.stream = None
        self._dropping = False
        self._document_backup = None

    def _close_stream(self) -> DeferredEffects:
        released = self.stream.close()
        self.stream = None
        self._dropping = False
        return released

    def _is_unresponsive(self, now_ms: int) -> bool:
        return (
            self._fleet.is_suspected(self.stream.recipient)
            or self.stream.unacknowledged_ms(now_ms) > BACKUP_TIMEOUT_MS
        )

    def _start_stream(self, epoch: identifiers.Epoch, now_ms: int) -> None:
        if self._document_backup is not None:
            return
        candidate = self._next_candidate(now_ms)
        if candidate is None:
            return
        self._stream_count += 1
        self.stream = replication.ReplicationStream(
            zone_shard=self._zone_shard,
            epoch=epoch,
            recipient=candidate,
            stream_id=f"{epoch}.{self._stream_count}",
        )
        self.stream_started = True

    def _next_candidate(self, now_ms: int) -> identifiers.InstanceId | None:
        live = self._fleet.live_in_zone(self._zone_shard.availability_zone)
        for candidate in self._zone_shard.ranked(live):
            failed_at_ms = self._failed_at_ms_by_candidate.get(
                candidate, -CANDIDATE_RETRY_MS
            )
            may_retry = now_ms - failed_at_ms >= CANDIDATE_RETRY_MS
            if candidate != self._instance_id and may_retry:
                return candidate
        return None

    def __repr__(self) -> str:
        return f"BackupManager(stream={self.stream}, dropping={self._dropping})"
