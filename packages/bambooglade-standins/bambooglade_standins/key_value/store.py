"""The state of the stand-in key-value service, without I/O or clocks."""

from __future__ import annotations

from collections.abc import Iterator
import enum

import msgspec

from bambooglade.core import effects
from bambooglade.store import services

MAX_VALUE_BYTES = 1_000_000
MAX_HISTORY = 100_000
"""Changes that are kept for watches that start in the past."""


class Answering(enum.StrEnum):
    """How the service answers just now."""

    NORMAL = "normal"
    DOWN = "down"
    LOSE_ANSWERS = "lose_answers"
    LOSE_WRITE_ANSWERS = "lose_write_answers"


_LOSES_WRITE_ANSWERS = (Answering.LOSE_ANSWERS, Answering.LOSE_WRITE_ANSWERS)


class Entry(msgspec.Struct, frozen=True, kw_only=True):
    """One key with its value and the global revision of its last write."""

    key: str
    value: bytes
    create_revision: int
    mod_revision: int
    lease_id: int = 0


class Change(msgspec.Struct, frozen=True, kw_only=True):
    """One write or delete; `entry` is None for a delete."""

    key: str
    revision: int
    entry: Entry | None


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of the whole store, for `MemoryStore.restore`."""

    revision: int
    entries: tuple[Entry, ...]


class Lease(msgspec.Struct, kw_only=True):
    """A lease; its keys are deleted when it expires."""

    lease_id: int
    ttl_ms: int
    expires_at_ms: int


class MemoryStore:
    """Compare-and-swap, leases and watches over a dictionary.

    Revisions are global, as in etcd: every write takes the next one. The
    methods named like those of `services.KeyValueStore` apply the faults; the
    others don't.

    Examples:
        >>> store = MemoryStore()
        >>> store.put("a", b"1", expected_revision=0)
        1
        >>> store.put("a", b"2", expected_revision=0) is None
        True
        >>> store.get("a").value
        b'1'
    """

    __slots__ = (
        "_entry_by_key",
        "_history",
        "_lease_by_id",
        "_next_lease_id",
        "answering",
        "delay_ms",
        "generation",
        "reads",
        "revision",
        "writes",
    )

    def __init__(self) -> None:
        self.revision = 0
        self.generation = 0
        self.answering = Answering.NORMAL
        self.delay_ms = 0
        self.reads = 0
        self.writes = 0
        self._entry_by_key: dict[str, Entry] = {}
        self._history: list[Change] = []
        self._lease_by_id: dict[int, Lease] = {}
        self._next_lease_id = 1

    def get(self, key: str) -> Entry | None:
        """Returns the entry of a key, or None."""
        return self._entry_by_key.get(key)

    def entries(self, first: str, last: str | None = None) -> Iterator[Entry]:
        """Yields the entries with `first <= key < last`, sorted by key."""
        for key in sorted(self._entry_by_key):
            if key == first or (last is not None and first <= key < last):
                yield self._entry_by_key[key]

    def put(
        self,
        key: str,
        value: bytes,
        *,
        expected_revision: int | None = None,
        lease_id: int = 0,
    ) -> int | None:
        """Writes a key, by compare-and-swap if a revision is given.

        Returns:
            The new revision; None if the key has another revision, the value
            is too large or the lease does not exist.
        """
        known = self._entry_by_key.get(key)
        revision = known.mod_revision if known else 0
        if expected_revision is not None and revision != expected_revision:
            return None
        if len(value) > MAX_VALUE_BYTES:
            return None
        if lease_id and lease_id not in self._lease_by_id:
            return None
        self.revision += 1
        entry = Entry(
            key=key,
            value=value,
            create_revision=known.create_revision if known else self.revision,
            mod_revision=self.revision,
            lease_id=lease_id,
        )
        self._entry_by_key[key] = entry
        self._record(Change(key=key, revision=self.revision, entry=entry))
        return self.revision

    def delete(self, key: str) -> bool:
        """Deletes a key; returns whether it existed."""
        if self._entry_by_key.pop(key, None) is None:
            return False
        self.revision += 1
        self._record(Change(key=key, revision=self.revision, entry=None))
        return True

    def changes(
        self, first: str, last: str | None, *, from_revision: int
    ) -> list[Change]:
        """Returns the kept changes of a range from a revision on."""
        return [
            change
            for change in self._history
            if change.revision >= from_revision
            and (
                change.key == first
                or (last is not None and first <= change.key < last)
            )
        ]

    def grant_lease(self, ttl_ms: int, now_ms: int) -> int:
        """Grants a lease and returns its id."""
        lease_id = self._next_lease_id
        self._next_lease_id += 1
        self._lease_by_id[lease_id] = Lease(
            lease_id=lease_id, ttl_ms=ttl_ms, expires_at_ms=now_ms + ttl_ms
        )
        return lease_id

    def keep_alive(self, lease_id: int, now_ms: int) -> int:
        """Renews a lease; returns its time to live in ms, 0 if it expired."""
        self.expire(now_ms)
        lease = self._lease_by_id.get(lease_id)
        if lease is None:
            return 0
        lease.expires_at_ms = now_ms + lease.ttl_ms
        return lease.ttl_ms

    def revoke_lease(self, lease_id: int) -> None:
        """Ends a lease and deletes its keys."""
        self._lease_by_id.pop(lease_id, None)
        keys = [
            entry.key
            for entry in self._entry_by_key.values()
            if entry.lease_id == lease_id
        ]
        for key in keys:
            self.delete(key)

    def expire(self, now_ms: int) -> None:
        """Ends the leases that were not renewed in time."""
        expired = [
            lease.lease_id
            for lease in self._lease_by_id.values()
            if lease.expires_at_ms <= now_ms
        ]
        for lease_id in expired:
            self.revoke_lease(lease_id)

    def snapshot(self) -> Snapshot:
        """Returns a copy of the present state."""
        return Snapshot(
            revision=self.revision, entries=tuple(self._entry_by_key.values())
        )

    def restore(self, snapshot: Snapshot) -> None:
        """Goes back to an older state, as after a restore from a backup.

        Revisions continue from the snapshot's, so they are handed out twice.
        """
        self.revision = snapshot.revision
        self.generation += 1
        self._entry_by_key = {entry.key: entry for entry in snapshot.entries}
        self._history.clear()

    def read(self, request: effects.ReadDocument) -> effects.DocumentAnswer:
        """Answers as the port does, under the present fault."""
        self.reads += 1
        if self.answering is Answering.DOWN:
            return effects.ReadFailed(key=request.key)
        return _document(request.key, self.get(request.key))

    def write(self, request: effects.WriteDocument) -> effects.DocumentAnswer:
        """Answers as the port does, under the present fault."""
        self.writes += 1
        if self.answering is Answering.DOWN:
            return effects.WriteUncertain(key=request.key)
        revision = self.put(
            request.key,
            request.value,
            expected_revision=request.expected_revision,
        )
        if self.answering in _LOSES_WRITE_ANSWERS:
            return effects.WriteUncertain(key=request.key)
        if revision is None:
            return effects.WriteConflicted(key=request.key)
        return effects.WriteApplied(key=request.key, revision=revision)

    def read_prefix(self, prefix: str) -> list[effects.DocumentRead] | None:
        """Answers as the port does, under the present fault."""
        self.reads += 1
        if self.answering is Answering.DOWN:
            return None
        return [
            _document(entry.key, entry)
            for entry in self.entries(prefix, prefix_end(prefix))
        ]

    def watch(
        self, prefix: str, *, after_revision: int, timeout_ms: int
    ) -> Iterator[services.DocumentChange]:
        """Yields what changed so far; it never waits."""
        del timeout_ms
        self.reads += 1
        if self.answering is Answering.DOWN:
            return
        changes = self.changes(
            prefix, prefix_end(prefix), from_revision=after_revision + 1
        )
        for change in changes:
            yield services.DocumentChange(
                key=change.key,
                revision=change.revision,
                value=change.entry.value if change.entry else None,
            )

    def _record(self, change: Change) -> None:
        self._history.append(change)
        if len(self._history) > MAX_HISTORY:
            del self._history[: MAX_HISTORY // 2]

    def __repr__(self) -> str:
        return (
            f"MemoryStore(keys={len(self._entry_by_key)}, "
            f"revision={self.revision}, answering={self.answering})"
        )


def prefix_end(prefix: str) -> str:
    """Returns the end of the range of all keys that start with a prefix.

    Examples:
        >>> prefix_end("table/")
        'table0'
    """
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def _document(key: str, entry: Entry | None) -> effects.DocumentRead:
    return effects.DocumentRead(
        key=key,
        revision=entry.mod_revision if entry else 0,
        value=entry.value if entry else None,
    )
