"""All decisions of one instance, as one state machine without I/O."""

from __future__ import annotations

from collections.abc import Iterable
from collections.abc import Iterator

from bambooglade.core import component
from bambooglade.core import effects
from bambooglade.core import identifiers


class InstanceStateMachine:
    """Gives messages, answers and ticks to the components of an instance.

    The process runs it under one lock; the simulated fleet runs many of them
    on virtual time in one thread. Both carry out the effects that it returns.

    Args:
        components: The parts; each message type belongs to one of them.
    """

    __slots__ = ("_by_message_type", "_by_prefix", "_components")

    def __init__(self, components: Iterable[component.Component]) -> None:
        self._components = tuple(components)
        self._by_message_type = {
            message_type: part
            for part in self._components
            for message_type in part.message_types
        }
        self._by_prefix = {
            prefix: part
            for part in self._components
            for prefix in part.document_prefixes
        }

    def handle(
        self,
        message: effects.Message,
        sender: identifiers.InstanceId,
        now_ms: int,
    ) -> list[effects.Effects]:
        """Decides on a message; unknown types are ignored.

        Ignoring them lets instances of two versions run side by side.
        """
        part = self._by_message_type.get(type(message))
        return list(part.handle(message, sender, now_ms)) if part else []

    def handle_document_response(
        self, answer: effects.DocumentResponse, now_ms: int
    ) -> list[effects.Effects]:
        """Gives an answer of the platform's service to the part that asked."""
        prefix, _, _ = answer.key.partition("/")
        part = self._by_prefix.get(prefix)
        return (
            list(part.handle_document_response(answer, now_ms)) if part else []
        )

    def tick(self, now_ms: int) -> list[effects.Effects]:
        """Lets every part do what is due."""
        return list(self._ticked(now_ms))

    def _ticked(self, now_ms: int) -> Iterator[effects.Effects]:
        for part in self._components:
            yield from part.tick(now_ms)

    def __repr__(self) -> str:
        names = ", ".join(type(part).__name__ for part in self._components)
        return f"InstanceStateMachine({names})"
