"""Messages that wait until it is known who serves their place."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries

MAX_WAITING = 256
"""Messages that may wait per place; their senders repeat what is dropped."""

MAX_WAIT_MS = 1_500
"""How long a message waits before its sender is told to go elsewhere."""


class PendingMessage(NamedTuple):
    """A message for a book of a place whose primary is not known yet."""

    factory: registries.RegistryFactory
    message: effects.Message
    sender: identifiers.InstanceId
    since_ms: int

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether the message may go on waiting."""
        return now_ms - self.since_ms < MAX_WAIT_MS

    def redirect(
        self, primary: identifiers.InstanceId | None
    ) -> Iterator[effects.Effects]:
        """Tells the sender that another instance, or none, is the primary."""
        answer = self.factory.misdirected_response(self.message, primary)
        if answer is not None:
            yield effects.Send(recipient=self.sender, message=answer)


class PendingMessages:
    """A bounded queue of waiting messages; the oldest are dropped first."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[PendingMessage] = collections.deque(
            maxlen=MAX_WAITING
        )

    def add(self, pending: PendingMessage) -> None:
        """Lets a message wait."""
        self._waiting.append(pending)

    def take_all(self) -> list[PendingMessage]:
        """Returns all waiting messages, oldest first, and empties the queue."""
        taken = list(self._waiting)
        self._waiting.clear()
        return taken

    def __repr__(self) -> str:
        return f"Demands(waiting={len(self._waiting)})"
