"""Keeps the origins of streams in the store while several versions serve.

Instances remember where streams began, but a kill of all of them loses that.
One instance of each availability zone therefore writes what its zone reports.
The keys are bound to a lease, so that they outlive the streams and no more.
"""

from __future__ import annotations

from collections.abc import Iterable
from concurrent import futures

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import stream_origins
from bambooglade.store import store_api

PREFIX = "bambooglade/stream-origins/"

WRITE_DELAY_MS = 150
"""Time for which origins are collected before they are written.

Streams that began within it can't be resumed if all instances are killed.
"""

SEGMENT_MS = 2_000
"""Time whose origins one key holds; the key is written again until then."""

MAX_SEGMENT_ORIGINS = 4_000
"""Most origins of one key."""

SEGMENT_COUNT = 32
"""Keys of a process, which are used in turn."""

LEASE_TTL_MS = 60_000
"""Time for which the keys outlive the instance that wrote them."""

LEASE_RENEWAL_MS = 20_000
"""Age of a lease from which it is renewed before a write."""

COMMIT_TIMEOUT_MS = 1_000

RETRY_DELAY_MS = 700
"""Time after a failed write before the next one."""

MAX_PENDING_MS = 20_000
"""Age from which origins that could not be written are dropped."""

CACHE_MS = 250
"""Time for which what was read of the store answers further lookups."""


class ArchivedOrigins(msgspec.Struct, frozen=True, kw_only=True):
    """Streams that began at one service and version; a key holds several."""

    origin: stream_origins.StreamOrigin
    stream_ids: list[str]


class _Segment:
    """Origins of one key."""

    __slots__ = (
        "is_written",
        "number",
        "origin_count",
        "started_at_ms",
        "stream_ids_by_origin",
    )

    def __init__(self, number: int, *, started_at_ms: int) -> None:
        self.number = number
        self.started_at_ms = started_at_ms
        self.stream_ids_by_origin: dict[
            stream_origins.StreamOrigin, list[str]
        ] = {}
        self.origin_count = 0
        self.is_written = True

    def add(self, record: stream_origins.OriginRecord) -> None:
        """Adds an origin, which has to be written."""
        self.stream_ids_by_origin.setdefault(record.origin, []).append(
            record.stream_id
        )
        self.origin_count += 1
        self.is_written = False

    def encode(self) -> bytes:
        """Returns the value of the key."""
        return msgspec.json.encode(
            [
                ArchivedOrigins(origin=origin, stream_ids=stream_ids)
                for origin, stream_ids in self.stream_ids_by_origin.items()
            ]
        )


class OriginArchive:
    """Writes origins of streams to the store, and looks them up there.

    Args:
        loop: The event loop.
        store: The store.
        instance: Name of this instance.
        incarnation: Id of this process. It is part of the keys: what an earlier
            process wrote is needed just after its end.
        log: Records failed calls.
    """

    __slots__ = (
        "_is_write_due",
        "_key_prefix",
        "_lease_granted_at_ms",
        "_lease_id",
        "_log",
        "_loop",
        "_origin_by_stream_id",
        "_pending_read",
        "_read_at_ms",
        "_segment",
        "_store",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        *,
        instance: str,
        incarnation: str,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._store = store
        self._key_prefix = f"{PREFIX}{instance}/{incarnation}/"
        self._log = log
        self._segment = _Segment(0, started_at_ms=loop.now_ms())
        self._is_write_due = False
        self._lease_id = 0
        self._lease_granted_at_ms = 0
        self._pending_read: futures.Future | None = None
        self._origin_by_stream_id: dict[str, stream_origins.StreamOrigin] = {}
        self._read_at_ms: int | None = None
        store.era.listeners.append(self._forget_lease)

    def _forget_lease(self) -> None:
        """Forgets a lease of an earlier era; its id may be another's now."""
        self._lease_id = 0

    def add(self, records: Iterable[stream_origins.OriginRecord]) -> None:
        """Writes origins within `WRITE_DELAY_MS`, if the store responds."""
        now_ms = self._loop.now_ms()
        for record in records:
            self._current_segment(now_ms).add(record)
        if not self._segment.is_written:
            self._schedule_write(WRITE_DELAY_MS)

    def _current_segment(self, now_ms: int) -> _Segment:
        """Returns the segment for a new origin; begins one if it is due."""
        segment = self._segment
        age_ms = now_ms - segment.started_at_ms
        is_over = segment.is_written and age_ms >= SEGMENT_MS
        if is_over or segment.origin_count >= MAX_SEGMENT_ORIGINS:
            self._segment = _Segment(segment.number + 1, started_at_ms=now_ms)
        return self._segment

    def _schedule_write(self, delay_ms: int) -> None:
        if not self._is_write_due:
            self._is_write_due = True
            self._loop.call_later(delay_ms, self._start_write)

    def _start_write(self) -> None:
        tasks.spawn(self._write())

    def _write(self) -> tasks.Task:
        segment = self._segment
        # Origins that are added meanwhile make the segment due again.
        segment.is_written = True
        is_written = yield from self._commit(segment)
        self._is_write_due = False
        if not is_written:
            age_ms = self._loop.now_ms() - segment.started_at_ms
            segment.is_written = age_ms > MAX_PENDING_MS
            self._log.event(
                "stream_origins_not_archived", origins=segment.origin_count
            )
        if not self._segment.is_written:
            self._schedule_write(
                WRITE_DELAY_MS if is_written else RETRY_DELAY_MS
            )

    def _commit(self, segment: _Segment) -> tasks.Task:
        if not (yield from self._ensure_lease()):
            return False
        key = f"{self._key_prefix}{segment.number % SEGMENT_COUNT}"
        write = store_api.Write(key, segment.encode(), lease_id=self._lease_id)
        response = yield self._store.commit(
            [write], timeout_ms=COMMIT_TIMEOUT_MS
        )
        if isinstance(response, store_api.NotFound):
            self._lease_id = 0
        return isinstance(response, store_api.Committed)

    def _ensure_lease(self) -> tasks.Task:
        """Grants or renews the lease; returns whether there is one."""
        now_ms = self._loop.now_ms()
        is_due = now_ms - self._lease_granted_at_ms >= LEASE_RENEWAL_MS
        if self._lease_id and not is_due:
            return True
        if self._lease_id:
            renewed = yield self._store.renew_lease(self._lease_id)
            if isinstance(renewed, store_api.Committed) and self._lease_id:
                self._lease_granted_at_ms = now_ms
                return True
        era = self._store.era.number
        granted = yield self._store.grant_lease(ttl_ms=LEASE_TTL_MS)
        if not isinstance(granted, store_api.LeaseGranted):
            return False
        if era not in (0, self._store.era.number):
            return False
        self._lease_id = granted.lease_id
        self._lease_granted_at_ms = now_ms
        return True

    def find(self, stream_id: str) -> futures.Future:
        """Looks up where a stream began.

        Returns:
            A future with the `StreamOrigin`; None if the store does not respond
            or has none.
        """
        return tasks.spawn(self._find(stream_id))

    def _find(self, stream_id: str) -> tasks.Task:
        is_cached = (
            self._read_at_ms is not None
            and self._loop.now_ms() - self._read_at_ms <= CACHE_MS
        )
        if not is_cached:
            if self._pending_read is None or self._pending_read.done():
                self._pending_read = tasks.spawn(self._read_all())
            yield self._pending_read
        return self._origin_by_stream_id.get(stream_id)

    def _read_all(self) -> tasks.Task:
        """Reads the origins that all instances have written."""
        origin_by_stream_id: dict[str, stream_origins.StreamOrigin] = {}
        after_key, has_more = "", True
        while has_more:
            page = yield self._store.read_prefix(PREFIX, after_key=after_key)
            if not isinstance(page, store_api.Items):
                return
            for item in page.items:
                for archived in self._decode(item):
                    origin_by_stream_id.update(
                        dict.fromkeys(archived.stream_ids, archived.origin)
                    )
            has_more = page.has_more and bool(page.items)
            after_key = page.items[-1].key if page.items else ""
        self._origin_by_stream_id = origin_by_stream_id
        self._read_at_ms = self._loop.now_ms()

    def _decode(self, item: store_api.Item) -> list[ArchivedOrigins]:
        try:
            return json_documents.decode(item.value, list[ArchivedOrigins])
        except msgspec.DecodeError as error:
            self._log.event("record_malformed", key=item.key, error=error)
            return []

    def __repr__(self) -> str:
        return f"OriginArchive(origins={self._segment.origin_count})"
