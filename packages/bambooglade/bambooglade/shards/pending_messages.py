"""Messages that wait until the primary of their shard is known."""

from __future__ import annotations

import collections
from collections.abc import Iterator
from typing import NamedTuple

from bambooglade.core import effects
from bambooglade.core import identifiers
from bambooglade.shards import registry as registries

MAX_WAITING = 256
"""Maximum queue length per shard; senders resend dropped messages."""

MAX_WAIT_MS = 1_500
"""Time after which a waiting message is redirected."""


class PendingMessage(NamedTuple):
    """A message for a registry whose primary is not known yet."""

    factory: registries.RegistryFactory
    message: effects.Message
    sender: identifiers.InstanceId
    since_ms: int

    def is_fresh(self, now_ms: int) -> bool:
        """Returns whether the message may continue to wait."""
        return now_ms - self.since_ms < MAX_WAIT_MS

    def redirect(
        self, primary: identifiers.InstanceId | None
    ) -> Iterator[effects.Effects]:
        """Notifies the sender of the primary, or that none is known."""
        response = self.factory.misdirected_response(self.message, primary)
        if response is not None:
            yield effects.Send(recipient=self.sender, message=response)


class PendingMessages:
    """A bounded queue of waiting messages; the oldest are dropped first."""

    __slots__ = ("_waiting",)

    def __init__(self) -> None:
        self._waiting: collections.deque[PendingMessage] = collections.deque(
            maxlen=MAX_WAITING
        )

    def add(self, pending: PendingMessage) -> None:
        """Adds a message to the queue."""
        self._waiting.append(pending)

    def take_all(self) -> list[PendingMessage]:
        """Returns all waiting messages, oldest first, and empties the queue."""
        taken = list(self._waiting)
        self._waiting.clear()
        return taken

    def __repr__(self) -> str:
        return f"PendingMessages(waiting={len(self._waiting)})"
