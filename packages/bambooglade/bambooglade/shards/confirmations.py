"""Effects deferred until the document confirms the primary.

A primary without a backup, or one whose process was paused, cannot determine
whether another instance was named as primary. Effects that two primaries must
never both release wait for the response of the platform's service to a later
request.
"""

from __future__ import annotations

from typing import NamedTuple

from bambooglade.shards import document_session
from bambooglade.shards import registry as registries

CONFIRM_TIMEOUT_MS = 1_000
"""Timeout of a confirmation; senders retry after it."""


class _Waiting(NamedTuple):
    registry: str
    effect: registries.AfterReplication
    request_number: int
    since_ms: int


class Confirmations:
    """The deferred effects of one primary.

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
        """Whether the primary may have been replaced during a pause."""
        return (
            self._session.last_answered_request
            <= self._unconfirmed_request_number
        )

    def mark_unconfirmed(self) -> None:
        """Records that the process was paused until now."""
        self._unconfirmed_request_number = self._session.requests_started

    def add(
        self, registry: str, effect: registries.AfterReplication, now_ms: int
    ) -> None:
        """Defers an effect and requests the document."""
        number = self._session.requests_started
        self._waiting.append(_Waiting(registry, effect, number, now_ms))
        self._session.request_read()

    def take_confirmed(self) -> list[tuple[str, registries.AfterReplication]]:
        """Removes and returns the effects confirmed by the last response."""
        last_answered = self._session.last_answered_request
        confirmed = [
            waiting
            for waiting in self._waiting
            if waiting.request_number < last_answered
        ]
        self._waiting = [
            waiting
            for waiting in self._waiting
            if waiting.request_number >= last_answered
        ]
        if self._waiting:
            self._session.request_read()
        return [(waiting.registry, waiting.effect) for waiting in confirmed]

    def take_expired(
        self, now_ms: int
    ) -> list[tuple[str, registries.AfterReplication]]:
        """Removes and returns the effects whose confirmation timed out."""
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
        """Discards all deferred effects."""
        self._waiting = []

    def __repr__(self) -> str:
        return f"Confirmations(waiting={len(self._waiting)})"
