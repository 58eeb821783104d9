"""State machine without I/O that combines the components of an instance."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from bambooglade.core import component
from bambooglade.core import effects
from bambooglade.core import identifiers


class InstanceStateMachine:
    """Routes messages, store responses and ticks to the components.

    The router process runs it under one lock; the simulated fleet runs many
    state machines on virtual time in one thread. Both execute the effects that
    it returns.

    Args:
        components: The components; each message type and each document prefix
            is handled by one of them.
    """

    __slots__ = (
        "_components",
        "_handler_by_message_type",
        "_handler_by_prefix",
    )

    def __init__(self, components: Iterable[component.Component]) -> None:
        self._components = tuple(components)
        self._handler_by_message_type = {
            message_type: handler
            for handler in self._components
            for message_type in handler.message_types
        }
        self._handler_by_prefix = {
            prefix: handler
            for handler in self._components
            for prefix in handler.document_prefixes
        }

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> list[effects.Effects]:
        """Handles a message; unknown types are ignored.

        Ignoring them allows instances of two versions to run side by side.
        """
        handler = self._handler_by_message_type.get(type(message))
        return list(handler.handle(message, sender, now_ms)) if handler else []

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> list[effects.Effects]:
        """Passes a response of the platform's service to the requester."""
        prefix, _, _ = answer.key.partition("/")
        handler = self._handler_by_prefix.get(prefix)
        return (
            list(handler.handle_document_response(answer, now_ms))
            if handler
            else []
        )

    def tick(self, now_ms: int) -> list[effects.Effects]:
        """Runs the periodic work of every component."""
        return list(self._tick_components(now_ms))

    def _tick_components(self, now_ms: int) -> Iterator[effects.Effects]:
        for handler in self._components:
            yield from handler.tick(now_ms)

    def __repr__(self) -> str:
        names = ", ".join(
            type(handler).__name__ for handler in self._components
        )
        return f"InstanceStateMachine({names})"
