"""The parts of an instance's decisions, as its event loop sees them."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from bambooglade.core import effects
from bambooglade.core import identifiers


class Component(Protocol):
    """One part of an instance's decisions; free of I/O, threads and clocks.

    The methods are generators that change the state while they run: the caller
    has to exhaust them, in the order of the calls.
    """

    message_types: tuple[type[effects.Message], ...]
    """Messages that are given to this component."""

    document_prefixes: tuple[str, ...]
    """Keys of the platform's service whose answers it is given."""

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> Iterator[effects.Effects]:
        """Decides on a message from an instance, possibly this one."""
        ...

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> Iterator[effects.Effects]:
        """Goes on after an answer of the platform's service."""
        ...

    def tick(self, now_ms: int) -> Iterator[effects.Effects]:
        """Does what is due: repeats, time-outs, refills.

        Called about every `TICK_MS`.
        """
        ...


TICK_MS = 50
"""Pause between two calls of `Component.tick`, in milliseconds."""
