"""Reads and writes one document of the platform's service for an instance."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import enum

from absl import logging

from bambooglade.core import effects
from bambooglade.core import hashing
from bambooglade.shards import document as documents

BASE_BACKOFF_MS = 100
"""Pause after the first failure; it doubles with each further one."""

MAX_BACKOFF_MS = 3_000
"""Longest pause between two attempts to reach the service."""

CONFLICT_PAUSE_MS = 20
"""Upper bound of the pause after a lost race, spread by jitter."""

_MAX_DOUBLINGS = 5
_NEVER_MS = 1 << 62
_JITTER_STEPS = 1_000


class Progress(enum.Enum):
    """What an answer of the service changed."""

    SEEN = "seen"
    FAILED = "failed"
    STALE = "stale"


class DocumentSession:
    """Keeps the newest known revision of a shard's document, and edits it.

    At most one request is in progress, and each gets one answer. A write
    whose answer was lost stays in doubt until a later revision is seen: it may
    still take effect.

    Args:
        key: Key of the document.
        owner: The instance, to spread its retries from those of others.

    Attributes:
        document: The newest known document.
        revision: Its revision.
        read_at_ms: When the newest answered request was started.
        requests_started: Number of requests so far.
        answered_request: Number of the newest request whose answer told the
            document.
    """

    __slots__ = (
        "_failures",
        "_in_progress",
        "_key",
        "_not_before_ms",
        "_owner",
        "_read_due",
        "_started_at_ms",
        "_write_due_ms",
        "_writes_in_doubt_at",
        "answered_request",
        "document",
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
        self._writes_in_doubt_at = -1
        self._not_before_ms = 0
        self._failures = 0
        self.document: documents.ShardDocument | None = None
        self.revision = 0
        self.read_at_ms = 0
        self.requests_started = 0
        self.answered_request = 0

    @property
    def is_in_doubt(self) -> bool:
        """Whether a write may yet take effect over the known revision."""
        return (
            isinstance(self._in_progress, effects.WriteDocument)
            or self._writes_in_doubt_at >= self.revision
        )

    @property
    def consecutive_failures(self) -> int:
        """Number of requests since the last answer of the service."""
        return self._failures

    def want_read(self) -> None:
        """Asks for the current revision as soon as possible."""
        self._read_due = True

    def want_write(self, due_ms: int) -> None:
        """Asks for a write, at the latest at a time."""
        self._write_due_ms = min(self._write_due_ms, due_ms)

    def poll(
        self,
        edit: Callable[[documents.ShardDocument], documents.ShardDocument],
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Starts the request that is due, if none is in progress.

        Args:
            edit: Returns the document with all wanted changes.
            now_ms: The time.
        """
        if self._in_progress is not None or now_ms < self._not_before_ms:
            return
        write_due = now_ms >= self._write_due_ms
        if self._read_due or (write_due and self.document is None):
            yield from self._start(effects.ReadDocument(key=self._key), now_ms)
        elif write_due:
            yield from self._write(edit, now_ms)

    def answered(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Progress:
        """Takes an answer, also one to a request that was not made."""
        match answer:
            case effects.DocumentRead():
                return self._seen(answer, now_ms)
            case effects.WriteApplied():
                return self._applied(answer, now_ms)
            case effects.WriteConflicted():
                return self._conflicted(now_ms)
            case _:
                return self._failed(now_ms)

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

    def _seen(self, answer: effects.DocumentRead, now_ms: int) -> Progress:
        was_asked = isinstance(self._in_progress, effects.ReadDocument)
        if was_asked:
            self._in_progress = None
            self._read_due = False
            self._failures = 0
            self.read_at_ms = self._started_at_ms
        if self.document is not None and answer.revision < self.revision:
            return Progress.STALE
        self.document = documents.decode(answer.value)
        self.revision = answer.revision
        if was_asked:
            self.answered_request = self.requests_started
        return Progress.SEEN

    def _applied(self, answer: effects.WriteApplied, now_ms: int) -> Progress:
        request, self._in_progress = self._in_progress, None
        self._failures = 0
        if not isinstance(request, effects.WriteDocument):
            self._read_due = True
            return Progress.STALE
        self.read_at_ms = self._started_at_ms
        if answer.revision < self.revision:
            return Progress.STALE
        self.document = documents.decode(request.value)
        self.revision = answer.revision
        self.answered_request = self.requests_started
        return Progress.SEEN

    def _conflicted(self, now_ms: int) -> Progress:
        self._in_progress = None
        self._failures = 0
        self._read_due = True
        self._write_due_ms = now_ms
        self._not_before_ms = now_ms + self._jitter(CONFLICT_PAUSE_MS, now_ms)
        return Progress.STALE

    def _failed(self, now_ms: int) -> Progress:
        request, self._in_progress = self._in_progress, None
        if isinstance(request, effects.WriteDocument):
            self._writes_in_doubt_at = request.expected_revision
            self._write_due_ms = now_ms
        self._read_due = True
        self._failures += 1
        doublings = min(self._failures - 1, _MAX_DOUBLINGS)
        pause_ms = min(BASE_BACKOFF_MS << doublings, MAX_BACKOFF_MS)
        self._not_before_ms = (
            now_ms + pause_ms // 2 + self._jitter(pause_ms // 2, now_ms)
        )
        return Progress.FAILED

    def _jitter(self, upper_ms: int, now_ms: int) -> int:
        step = hashing.stable_hash(f"{self._owner}/{self._key}/{now_ms}")
        return upper_ms * (step % _JITTER_STEPS) // _JITTER_STEPS

    def __repr__(self) -> str:
        return (
            f"DocumentSession({self._key}, revision={self.revision}, "
            f"in_doubt={self.is_in_doubt})"
        )
