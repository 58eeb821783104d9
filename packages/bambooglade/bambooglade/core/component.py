"""Interface between the event loop of an instance and its components."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from bambooglade.core import effects
from bambooglade.core import identifiers


class Component(Protocol):
    """A deterministic state machine within an instance.

    A component does no I/O, starts no threads and reads no clock: it receives
    inputs with their time, and yields effects. The methods are generators that
    change the state while they run, so the caller has to exhaust each of them
    before the next call.
    """

    message_types: tuple[type[effects.Message], ...]
    """Types of the messages that are dispatched to this component."""

    document_prefixes: tuple[str, ...]
    """Prefixes of the document keys whose responses this component handles."""

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Handles a message from an instance, possibly from this one."""
        ...

    def handle_document_response(
        self, response: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Handles a response of the platform's key-value service."""
        ...

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Handles due retries, time-outs and refills.

        The event loop calls this method about every `TICK_MS`.
        """
        ...


TICK_MS = 50
"""Interval between two calls of `Component.tick`, in milliseconds."""
