"""Keeps the software versions of services in the store.

After all instances were killed, none of them remembers which versions served
before. What is registered then may have replaced the version at which a stream
began, so the versions and the times at which they left are recorded in one key.
It is written only when a version appears or leaves, by a few recorders, or by
whichever instance finds that none of them has done so.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterable
from concurrent import futures
import random

import msgspec

from bambooglade.core import event_log
from bambooglade.core import json_documents
from bambooglade.discovery import targets as targets_lib
from bambooglade.eventloop import loop as loop_lib
from bambooglade.eventloop import tasks
from bambooglade.gateway import stream_origins
from bambooglade.store import store_api

KEY = "bambooglade/software-versions"

RECORDER_COUNT = 3
"""Instances of different availability zones that write the record at once.

One of them may be cut off from the store.
"""

CHECK_DELAY_MS = 1_000
"""Time after a change at which the other instances check the record.

They write what is missing, in case no recorder has reached the store.
"""

CHECK_SPREAD_MS = 1_000
"""Time over which these checks are spread at random."""

MAX_START_READ_AGE_MS = 2_000
"""Age of the read at the start that counts for the first versions seen.

The versions are seen milliseconds after it, and checked up to 2 s later.
"""

COMMIT_TIMEOUT_MS = 1_000

RETRY_DELAY_MS = 700
"""Time after a failed call to the store before the next one."""

MAX_CONFLICTS = 4
"""Most attempts to write one change; each recorder may be first once."""


class VersionRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Value of the key.

    Attributes:
        known_since_ms: Time since the epoch since which all versions are
            recorded; before 1970 if no target served before.
        left_at_ms_by_version_by_service: Time since the epoch at which the last
            target of a version was gone; None while there is one.
    """

    known_since_ms: int
    left_at_ms_by_version_by_service: dict[str, dict[str, int | None]] = {}

    def seen_versions(self, *, now_ms: int) -> stream_origins.SeenVersions:
        """Returns what the record says of the recent versions.

        A time in the future stems from another clock and counts as now.
        """
        return stream_origins.SeenVersions(
            age_ms_by_version_by_service={
                service: {
                    version: 0 if at_ms is None else max(0, now_ms - at_ms)
                    for version, at_ms in left_at_ms.items()
                }
                for service, left_at_ms in (
                    self.left_at_ms_by_version_by_service.items()
                )
            },
            known_for_ms=max(0, now_ms - self.known_since_ms),
        )

    def updated(
        self,
        versions_by_service: dict[str, set[str]],
        *,
        now_ms: int,
        seen_at_ms_by_service: dict[str, dict[str, int]] | None = None,
    ) -> VersionRecord:
        """Returns the record with the versions that are registered now.

        Args:
            versions_by_service: Versions of the registered targets.
            now_ms: Current time.
            seen_at_ms_by_service: When recent versions were seen last; those
                that were never recorded have left since.

        Examples:
            >>> record = VersionRecord(known_since_ms=0).updated(
            ...     {"jury": {"v1"}}, now_ms=5)
            >>> record.updated({"jury": {"v2"}}, now_ms=9
            ...     ).left_at_ms_by_version_by_service
            {'jury': {'v1': 9, 'v2': None}}
        """
        updated: dict[str, dict[str, int | None]] = {}
        recorded = self.left_at_ms_by_version_by_service
        seen = seen_at_ms_by_service or {}
        for service in sorted({*recorded, *versions_by_service, *seen}):
            present = versions_by_service.get(service, set())
            left_at_ms = dict(seen.get(service, {}))
            for version, at_ms in recorded.get(service, {}).items():
                left_at_ms[version] = max(
                    now_ms if at_ms is None else at_ms,
                    left_at_ms.get(version, 0),
                )
            kept = {
                version: at_ms
                for version, at_ms in left_at_ms.items()
                if version not in present
                and now_ms - at_ms <= stream_origins.RETENTION_MS
            }
            newest = sorted(kept, key=kept.get, reverse=True)
            updated[service] = {
                version: kept[version]
                for version in sorted(newest[: stream_origins.MAX_VERSIONS])
            } | dict.fromkeys(sorted(present))
        return VersionRecord(
            known_since_ms=self.known_since_ms,
            left_at_ms_by_version_by_service={
                service: versions
                for service, versions in updated.items()
                if versions
            },
        )

    def lists(
        self,
        versions_by_service: dict[str, set[str]],
        seen_at_ms_by_service: dict[str, dict[str, int]],
    ) -> bool:
        """Returns whether exactly these versions are recorded.

        Args:
            versions_by_service: Versions of the registered targets.
            seen_at_ms_by_service: Versions that were seen recently.
        """
        recorded = self.left_at_ms_by_version_by_service
        return versions_by_service == {
            service: present
            for service, left_at_ms in recorded.items()
            if (present := {v for v, at in left_at_ms.items() if at is None})
        } and all(
            seen_at_ms.keys() <= recorded.get(service, {}).keys()
            for service, seen_at_ms in seen_at_ms_by_service.items()
        )


class VersionArchive:
    """Reads and writes the record of versions.

    Args:
        loop: The event loop.
        store: The store.
        origins: Receives what the record says.
        is_recorder: Returns whether this instance writes the record at once;
            otherwise it checks that a recorder has written it.
        is_first_start: Whether no target served before this instance started.
        random_source: Source of the time at which it checks.
        log: Receives an event for each change of the record.
    """

    __slots__ = (
        "_changed_at_ms",
        "_check_at_ms",
        "_is_busy",
        "_is_first_start",
        "_is_recorder",
        "_is_stopped",
        "_loaded",
        "_log",
        "_loop",
        "_origins",
        "_random",
        "_read_at_ms",
        "_record",
        "_retry_at_ms",
        "_revision",
        "_store",
        "_versions_by_service",
    )

    def __init__(
        self,
        loop: loop_lib.EventLoop,
        store: store_api.TransactionalStore,
        origins: stream_origins.StreamOrigins,
        *,
        is_recorder: Callable[[], bool],
        is_first_start: bool,
        random_source: random.Random,
        log: event_log.EventLog,
    ) -> None:
        self._loop = loop
        self._store = store
        self._origins = origins
        self._is_recorder = is_recorder
        self._is_first_start = is_first_start
        self._random = random_source
        self._log = log
        # Time of the next check; None if nothing has changed since the last.
        self._check_at_ms: int | None = None
        # Time from which a record that was read reflects the last change.
        self._changed_at_ms = 0
        self._record: VersionRecord | None = None
        self._read_at_ms = 0
        self._revision = 0
        self._loaded: futures.Future | None = None
        self._is_busy = False
        self._is_stopped = False
        self._retry_at_ms = 0
        self._versions_by_service: dict[str, set[str]] = {}
        store.era.listeners.append(self._forget_record)

    def start(self) -> None:
        """Reads what served before, if this instance can't know it."""
        if not self._is_first_start:
            tasks.keep_running(self._loop, self._load_at_start)

    def stop(self) -> None:
        """Stops before the next call to the store."""
        self._is_stopped = True

    def _forget_record(self) -> None:
        """Forgets the record of an earlier era, which may be gone."""
        self._record = None
        self._revision = 0

    def _load_at_start(self) -> tasks.Task:
        while not self._is_stopped and not self._origins.knows_recent_versions(
            now_ms=self._loop.now_ms()
        ):
            if (yield self.load()):
                return
            yield tasks.sleep(self._loop, RETRY_DELAY_MS)

    def load(self) -> futures.Future:
        """Reads the record; the future tells whether the store responded.

        Calls that wait for the same response share one call to the store.
        """
        if self._loaded is None or self._loaded.done():
            self._loaded = tasks.spawn(self._read())
        return self._loaded

    def observe(self, targets: Iterable[targets_lib.RegisteredTarget]) -> None:
        """Records a change of the versions.

        An instance that is no recorder does so later, and only if the record
        lacks the change by then.

        Args:
            targets: All registered targets, including draining ones.
        """
        now_ms = self._loop.now_ms()
        is_able = not self._is_busy and not self._is_stopped
        if not is_able or now_ms < self._retry_at_ms:
            return
        versions_by_service: dict[str, set[str]] = {}
        for target in targets:
            versions = versions_by_service.setdefault(target.service, set())
            versions.add(target.software_version)
        if versions_by_service != self._versions_by_service:
            is_first = not self._versions_by_service
            self._changed_at_ms = now_ms - is_first * MAX_START_READ_AGE_MS
            self._versions_by_service = versions_by_service
            spread_ms = self._random.random() * CHECK_SPREAD_MS
            self._check_at_ms = now_ms + CHECK_DELAY_MS + round(spread_ms)
        if not versions_by_service:
            return
        is_recorder = self._is_recorder()
        if not is_recorder and (
            self._check_at_ms is None or now_ms < self._check_at_ms
        ):
            return
        if not is_recorder:
            # What was read before the change may have been written since.
            if self._read_at_ms < self._changed_at_ms or not self._is_recorded:
                self._forget_record()
            else:
                self._check_at_ms = None
        if not self._is_recorded:
            self._is_busy = True
            tasks.spawn(self._write_changes())

    @property
    def _is_recorded(self) -> bool:
        return self._record is not None and self._record.lists(
            self._versions_by_service, self._recent_versions
        )

    @property
    def _recent_versions(self) -> dict[str, dict[str, int]]:
        return self._origins.recent_versions(now_ms=self._loop.now_ms())

    def _write_changes(self) -> tasks.Task:
        try:
            for _ in range(MAX_CONFLICTS):
                if self._record is None and not (yield self.load()):
                    break
                if self._is_recorded or (yield from self._write()):
                    self._check_at_ms = None
                    return
            self._retry_at_ms = self._loop.now_ms() + RETRY_DELAY_MS
        finally:
            self._is_busy = False

    def _write(self) -> tasks.Task:
        """Writes the record once; returns whether it was written."""
        now_ms = self._loop.now_ms()
        record = self._record.updated(
            self._versions_by_service,
            now_ms=now_ms,
            seen_at_ms_by_service=self._recent_versions,
        )
        era = self._store.era.number
        write = store_api.Write(
            KEY, msgspec.json.encode(record), expected_revision=self._revision
        )
        response = yield self._store.commit(
            [write], timeout_ms=COMMIT_TIMEOUT_MS
        )
        self._record = None
        is_written = (
            isinstance(response, store_api.Committed)
            and era == self._store.era.number
        )
        if is_written:
            self._record, self._revision = record, response.revision
        self._log.event(
            "software_versions_recorded" if is_written else "record_conflict",
            versions=record.left_at_ms_by_version_by_service,
            known_since_ms=record.known_since_ms,
        )
        return is_written

    def _read(self) -> tasks.Task:
        began_at_ms = self._loop.now_ms()
        item = yield self._store.read(KEY)
        if not isinstance(item, store_api.Item):
            return False
        self._read_at_ms = began_at_ms
        now_ms = self._loop.now_ms()
        record = self._decode(item, now_ms)
        self._origins.merge(record.seen_versions(now_ms=now_ms), now_ms=now_ms)
        self._record, self._revision = record, item.revision
        return True

    def _decode(self, item: store_api.Item, now_ms: int) -> VersionRecord:
        """Returns the record of a key; a new one if it can't be read."""
        if item.value is not None:
            try:
                return json_documents.decode(item.value, VersionRecord)
            except msgspec.DecodeError as error:
                self._log.event("record_malformed", key=KEY, error=error)
        seen = self._origins.seen_versions(now_ms=now_ms)
        return VersionRecord(
            known_since_ms=now_ms - seen.known_for_ms,
            left_at_ms_by_version_by_service={
                service: {v: now_ms - age for v, age in age_ms.items()}
                for service, age_ms in seen.age_ms_by_version_by_service.items()
            },
        )

    def __repr__(self) -> str:
        return f"VersionArchive(record={self._record!r})"
