"""Updates that ride on pings, each a bounded number of times."""

from __future__ import annotations

from collections.abc import Hashable
from collections.abc import Iterator
import math
from typing import Generic
from typing import TypeVar

Update = TypeVar("Update")

MAX_QUEUED = 1_000
RETRANSMIT_MULTIPLIER = 4
"""An update is sent this many times the decimal logarithm of the members."""


class DisseminationQueue(Generic[Update]):
    """The updates to pass on, the least often sent first.

    Args:
        max_per_message: Updates that ride on one message.

    Examples:
        >>> queue = DisseminationQueue(max_per_message=1)
        >>> queue.put("i1", "dead")
        >>> queue.put("i2", "alive")
        >>> [*queue.take(members=2), *queue.take(members=2)]
        ['alive', 'dead']
    """

    __slots__ = ("_max_per_message", "_queued")

    def __init__(self, *, max_per_message: int) -> None:
        self._max_per_message = max_per_message
        self._queued: dict[Hashable, _Queued[Update]] = {}

    def put(self, key: Hashable, update: Update) -> None:
        """Queues an update; it replaces an older one of the same key."""
        self._queued.pop(key, None)
        self._queued[key] = _Queued(update)
        if len(self._queued) > MAX_QUEUED:
            self._drop_most_sent()

    def take(self, *, members: int) -> tuple[Update, ...]:
        """Returns the updates for one message, and counts them as sent."""
        limit = RETRANSMIT_MULTIPLIER * math.ceil(math.log10(members + 1))
        return tuple(self._take(limit))

    def _take(self, limit: int) -> Iterator[Update]:
        newest_first = list(self._queued)[::-1]
        order = sorted(newest_first, key=lambda key: self._queued[key].sent)
        for key in order[: self._max_per_message]:
            queued = self._queued[key]
            queued.sent += 1
            if queued.sent >= limit:
                del self._queued[key]
            yield queued.update

    def _drop_most_sent(self) -> None:
        most_sent = max(self._queued, key=lambda key: self._queued[key].sent)
        del self._queued[most_sent]

    def __len__(self) -> int:
        return len(self._queued)

    def __repr__(self) -> str:
        return f"DisseminationQueue(queued={len(self)})"


class _Queued(Generic[Update]):
    __slots__ = ("sent", "update")

    def __init__(self, update: Update) -> None:
        self.update = update
        self.sent = 0
