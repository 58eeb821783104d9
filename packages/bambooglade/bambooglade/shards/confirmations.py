"""Effects that wait until the document confirms who the primary is.

A lone primary can't tell whether another one was named in its place, nor can a
pair that was paused. What must never be done by two primaries waits for an
answer of the platform's service to a request that was made later.
"""

from __future__ import annotations

from typing import NamedTuple

from bambooglade.shards import document_session
from bambooglade.shards import registry as registries

CONFIRM_TIMEOUT_MS = 1_000
"""How long a confirmation is waited for; the senders ask again."""


class _Waiting(NamedTuple):
    registry: str
    effect: registries.AfterReplication
    request_number: int
    since_ms: int


class Confirmations:
    """What one primary does only once it is confirmed.

    Args:
        session: Reads and writes the document.
    """

    __slots__ = ("_session", "_unconfirmed_request_number", "_waiting")

    def __init__(self, session: document_session.DocumentSession) -> None:
        self._session = session
        self._unconfirmed_request_number = -1
        self._waiting: list[_Waiting] = []

    @property
    def is_required(self) -> bool:
        """Whether the primary may have been displaced during a pause."""
        return (
            self._session.last_answered_request
            <= self._unconfirmed_request_number
        )

    def mark_unconfirmed(self) -> None:
        """Notes that the process was paused until now."""
        self._unconfirmed_request_number = self._session.requests_started

    def add(
        self, registry: str, effect: registries.AfterReplication, now_ms: int
    ) -> None:
        """Lets an effect wait, and asks for the document."""
        number = self._session.requests_started
        self._waiting.append(_Waiting(registry, effect, number, now_ms))
        self._session.request_read()

    def take_confirmed(self) -> list[tuple[str, registries.AfterReplication]]:
        """Returns what the newest answer of the service confirms."""
        answered = self._session.last_answered_request
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
            self._session.request_read()
        return [(waiting.registry, waiting.effect) for waiting in confirmed]

    def take_expired(
        self, now_ms: int
    ) -> list[tuple[str, registries.AfterReplication]]:
        """Returns what waited too long."""
        expired = [
            waiting
            for waiting in self._waiting
            if now_ms - waiting.since_ms >= CONFIRM_TIMEOUT_MS
        ]
        self._waiting = [
            waiting for waiting in self._waiting if waiting not in expired
        ]
        return [(waiting.registry, waiting.effect) for waiting in expired]

    def clear(self) -> None:
        """Forgets all that waits; it is never done."""
        self._waiting = []

    def __repr__(self) -> str:
        return f"Confirmations(waiting={len(self._waiting)})"
