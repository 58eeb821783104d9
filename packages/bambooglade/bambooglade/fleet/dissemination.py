"""Queue of updates that are piggybacked on pings."""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterator
import math
from typing import Generic
from typing import TypeVar

Update = TypeVar("Update")

MAX_QUEUED = 1_000
RETRANSMIT_MULTIPLIER = 4
"""Transmissions of an update, as a multiple of `ceil(log10(members + 1))`."""


class DisseminationQueue(Generic[Update]):
    """Queue of updates that limits how often each one is transmitted.

    Updates with the fewest transmissions are sent first; among these, the most
    recent ones.

    Args:
        max_per_message: Maximum number of updates in one message.

    Examples:
        >>> queue = DisseminationQueue(max_per_message=1)
        >>> queue.put("i1", "dead")
        >>> queue.put("i2", "alive")
        >>> [*queue.take(member_count=2), *queue.take(member_count=2)]
        ['alive', 'dead']
    """

    __slots__ = ("_max_per_message", "_queued")

    def __init__(self, *, max_per_message: int) -> None:
        self._max_per_message = max_per_message
        self._queued: dict[Hashable, _QueuedUpdate[Update]] = {}

    def put(self, key: Hashable, update: Update) -> None:
        """Queues an update; replaces a queued one of the same key."""
        self._queued.pop(key, None)
        self._queued[key] = _QueuedUpdate(update)
        if len(self._queued) > MAX_QUEUED:
            self._drop_most_transmitted()

    def take(self, *, member_count: int) -> tuple[Update, ...]:
        """Returns the updates for one message, and counts the transmissions."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(member_count + 1))
        return tuple(self._take(limit))

    def _take(self, limit: int) -> Iterator[Update]:
        newest_first = list(self._queued)[::-1]
        keys = sorted(
            newest_first, key=lambda key: self._queued[key].transmissions
        )
        for key in keys[: self._max_per_message]:
            queued = self._queued[key]
            queued.transmissions += 1
            if queued.transmissions >= limit:
                del self._queued[key]
            yield queued.update

    def _drop_most_transmitted(self) -> None:
        most_transmitted = max(
            self._queued, key=lambda key: self._queued[key].transmissions
        )
        del self._queued[most_transmitted]

    def __len__(self) -> int:
        return len(self._queued)

    def __repr__(self) -> str:
        return f"DisseminationQueue(queued={len(self)})"


class _QueuedUpdate(Generic[Update]):
    __slots__ = ("transmissions", "update")

    def __init__(self, update: Update) -> None:
        self.update = update
        self.transmissions = 0
