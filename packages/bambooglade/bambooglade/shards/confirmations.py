"""Effects that wait until the document confirms who the primary is.

A lone primary can't tell whether another one was named in its place, nor can a
pair that was paused. What must never be done by two primaries waits for an
answer of the platform's service to a request that was made later.
"""

from __future__ import annotations

from typing import NamedTuple

from bambooglade.shards import document_session
from bambooglade.shards import registry as books

CONFIRM_TIMEOUT_MS = 1_000
"""How long a confirmation is waited for; the senders ask again."""


class _Waiting(NamedTuple):
    book: str
    effect: books.AfterReplication
    request_number: int
    since_ms: int


class Confirmations:
    """What one primary does only once it is confirmed.

    Args:
        session: Reads and writes the document.
    """

    __slots__ = ("_session", "_unconfirmed_since", "_waiting")

    def __init__(self, session: document_session.DocumentSession) -> None:
        self._session = session
        self._unconfirmed_since = -1
        self._waiting: list[_Waiting] = []

    @property
    def is_due(self) -> bool:
        """Whether the primary may have been displaced during a pause."""
        return self._session.answered_request <= self._unconfirmed_since

    def resumed(self) -> None:
        """Notes that the process was paused until now."""
        self._unconfirmed_since = self._session.requests_started

    def add(
        self, book: str, effect: books.AfterReplication, now_ms: int
    ) -> None:
        """Lets an effect wait, and asks for the document."""
        number = self._session.requests_started
        self._waiting.append(_Waiting(book, effect, number, now_ms))
        self._session.want_read()

    def take_confirmed(self) -> list[tuple[str, books.AfterReplication]]:
        """Returns what the newest answer of the service confirms."""
        answered = self._session.answered_request
        confirmed = [
            waiting
            for waiting in self._waiting
            if waiting.request_number < answered
        ]
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.request_number >= answered
        ]
        if self._waiting:
            self._session.want_read()
        return [(waiting.book, waiting.effect) for waiting in confirmed]

    def take_expired(
        self, now_ms: int
    ) -> list[tuple[str, books.AfterReplication]]:
        """Returns what waited too long."""
        expired = [
            waiting
            for waiting in self._waiting
            if now_ms - waiting.since_ms >= CONFIRM_TIMEOUT_MS
        ]
        self._waiting = [
            waiting for waiting in self._waiting if waiting not in expired
        ]
        return [(waiting.book, waiting.effect) for waiting in expired]

    def clear(self) -> None:
        """Forgets all that waits; it is never done."""
        self._waiting = []

    def __repr__(self) -> str:
        return f"Confirmations(waiting={len(self._waiting)})"
