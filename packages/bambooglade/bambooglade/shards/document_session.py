"""Reads and writes of one document of the platform's service."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import enum

from absl import logging

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.shards import document as documents

BASE_BACKOFF_MS = 100
"""Back-off after the first failure; doubled after each further one."""

MAX_BACKOFF_MS = 3_000
"""Maximum back-off between two attempts to reach the service."""

CONFLICT_PAUSE_MS = 20
"""Upper bound of the jittered pause after a write conflict."""

_MAX_DOUBLINGS = 5
_NEVER_MS = 1 << 62
_JITTER_STEPS = 1_000


class ResponseResult(enum.Enum):
    """Effect of a response of the service on the session."""

    UPDATED = "updated"
    FAILED = "failed"
    STALE = "stale"


class DocumentSession:
    """Caches the newest known revision of a shard's document, and edits it.

    At most one request is in progress, and each receives one response. A write
    whose response was lost stays in doubt until a later revision is read, since
    it may still take effect.

    Args:
        key: Key of the document.
        owner: The instance; seeds the jitter of its retries.

    Attributes:
        document: The newest known document.
        revision: Its revision.
        read_at_ms: Start time of the newest request that received a response.
        requests_started: Number of requests so far.
        last_answered_request: Number of the newest request whose response
            contained or confirmed the document.
    """

    __slots__ = (
        "_failures",
        "_in_doubt_revision",
        "_in_progress",
        "_key",
        "_not_before_ms",
        "_owner",
        "_read_due",
        "_started_at_ms",
        "_write_due_ms",
        "document",
        "last_answered_request",
        "read_at_ms",
        "requests_started",
        "revision",
    )

    def __init__(self, *, key: str, owner: str) -> None:
        self._key = key
        self._owner = owner
        self._in_progress: (
            effects.ReadDocument | effects.WriteDocument | None
        ) = None
        self._started_at_ms = 0
        self._read_due = False
        self._write_due_ms = _NEVER_MS
        self._in_doubt_revision = -1
        self._not_before_ms = 0
        self._failures = 0
        self.document: documents.ShardDocument | None = None
        self.revision = 0
        self.read_at_ms = 0
        self.requests_started = 0
        self.last_answered_request = 0

    @property
    def is_in_doubt(self) -> bool:
        """Whether a write may still take effect over the known revision."""
        return (
            isinstance(self._in_progress, effects.WriteDocument)
            or self._in_doubt_revision >= self.revision
        )

    @property
    def consecutive_failures(self) -> int:
        """Number of failed requests since the last response of the service."""
        return self._failures

    def request_read(self) -> None:
        """Requests a read of the current revision as soon as possible."""
        self._read_due = True

    def schedule_write(self, due_ms: int) -> None:
        """Requests a write that starts at `due_ms` at the latest."""
        self._write_due_ms = min(self._write_due_ms, due_ms)

    def poll(
        self,
        edit: Callable[[documents.ShardDocument], documents.ShardDocument],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Starts the due request, if none is in progress.

        Args:
            edit: Returns the document with all pending changes.
            now_ms: Current time.
        """
        if self._in_progress is not None or now_ms < self._not_before_ms:
            return
        write_due = now_ms >= self._write_due_ms
        if self._read_due or (write_due and self.document is None):
            yield from self._start(effects.ReadDocument(key=self._key), now_ms)
        elif write_due:
            yield from self._write(edit, now_ms)

    def apply_response(
        self, response: effects.DocumentResponse, now_ms: int
    ) -> ResponseResult:
        """Applies a response, including one without a request."""
        match response:
            case effects.DocumentRead():
                return self._apply_read(response, now_ms)
            case effects.WriteApplied():
                return self._apply_write(response, now_ms)
            case effects.WriteConflicted():
                return self._apply_conflict(now_ms)
            case _:
                return self._apply_failure(now_ms)

    def _write(
        self,
        edit: Callable[[documents.ShardDocument], documents.ShardDocument],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        edited = edit(self.document)
        self._write_due_ms = _NEVER_MS
        if edited == self.document:
            return
        broken = next(documents.violations(self.document, edited), None)
        if broken is not None:
            logging.error(
                "event=write_refused key=%s rule=%s", self._key, broken
            )
            return
        yield from self._start(
            effects.WriteDocument(
                key=self._key,
                expected_revision=self.revision,
                value=documents.encode(edited),
            ),
            now_ms,
        )

    def _start(
        self,
        request: effects.ReadDocument | effects.WriteDocument,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        self._in_progress = request
        self._started_at_ms = now_ms
        self.requests_started += 1
        yield request

    def _apply_read(
        self, response: effects.DocumentRead, now_ms: int
    ) -> ResponseResult:
        was_asked = isinstance(self._in_progress, effects.ReadDocument)
        if was_asked:
            self._in_progress = None
            self._read_due = False
            self._failures = 0
            self.read_at_ms = self._started_at_ms
        if self.document is not None and response.revision < self.revision:
            return ResponseResult.STALE
        self.document = documents.decode(response.value)
        self.revision = response.revision
        if was_asked:
            self.last_answered_request = self.requests_started
        return ResponseResult.UPDATED

    def _apply_write(
        self, response: effects.WriteApplied, now_ms: int
    ) -> ResponseResult:
        request, self._in_progress = self._in_progress, None
        self._failures = 0
        if not isinstance(request, effects.WriteDocument):
            self._read_due = True
            return ResponseResult.STALE
        self.read_at_ms = self._started_at_ms
        if response.revision < self.revision:
            return ResponseResult.STALE
        self.document = documents.decode(request.value)
        self.revision = response.revision
        self.last_answered_request = self.requests_started
        return ResponseResult.UPDATED

    def _apply_conflict(self, now_ms: int) -> ResponseResult:
        self._in_progress = None
        self._failures = 0
        self._read_due = True
        self._write_due_ms = now_ms
        self._not_before_ms = now_ms + self._jitter(CONFLICT_PAUSE_MS, now_ms)
        return ResponseResult.STALE

    def _apply_failure(self, now_ms: int) -> ResponseResult:
        request, self._in_progress = self._in_progress, None
        if isinstance(request, effects.WriteDocument):
            self._in_doubt_revision = request.expected_revision
            self._write_due_ms = now_ms
        self._read_due = True
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        pause_ms = min(BASE_BACKOFF_MS << doublings, MAX_BACKOFF_MS)
        self._not_before_ms = (
            now_ms + pause_ms // 2 + self._jitter(pause_ms // 2, now_ms)
        )
        return ResponseResult.FAILED

    def _jitter(self, upper_ms: int, now_ms: int) -> int:
        step = hashing.stable_hash(f"{self._owner}/{self._key}/{now_ms}")
        return upper_ms * (step % _JITTER_STEPS) // _JITTER_STEPS

    def __repr__(self) -> str:
        return (
            f"DocumentSession({self._key}, revision={self.revision}, "
            f"in_doubt={self.is_in_doubt})"
        )
