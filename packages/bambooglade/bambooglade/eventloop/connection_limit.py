"""Bounds the accepted connections of an address; no I/O.

A server that refuses further connections at its limit is shut out by clients
that only open them. So the one that has waited longest is closed in place of
the new one: first those that never sent a whole request, then those that are
idle between two. Connections with a request that is served are left alone.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic
from typing import TypeVar

T = TypeVar("T")


class ConnectionLimit(Generic[T]):
    """Connections of one address, in the order in which they are closed.

    Args:
        max_connections: Most connections.
        is_short: Returns whether the process can't open further descriptors.

    Attributes:
        evicted_count: Connections that were closed for new ones.
        refused_count: New connections that were refused.

    Examples:
        >>> limit = ConnectionLimit(2)
        >>> limit.add("served"), limit.start_request("served")
        (None, None)
        >>> limit.add("silent")
        >>> limit.try_make_room(lambda connection: limit.remove(connection))
        True
        >>> len(limit), limit.evicted_count
        (1, 1)
    """

    __slots__ = (
        "_idle",
        "_is_short",
        "_served",
        "_unserved",
        "evicted_count",
        "max_connections",
        "refused_count",
    )

    def __init__(
        self,
        max_connections: int,
        *,
        is_short: Callable[[], bool] = lambda: False,
    ) -> None:
        self.max_connections = max_connections
        self._is_short = is_short
        self._unserved: dict[T, None] = {}
        self._served: set[T] = set()
        self._idle: dict[T, None] = {}
        self.evicted_count = 0
        self.refused_count = 0

    def __len__(self) -> int:
        return len(self._unserved) + len(self._served) + len(self._idle)

    def add(self, connection: T) -> None:
        """Records a new connection."""
        self._unserved[connection] = None

    def start_request(self, connection: T) -> None:
        """Records that a whole request was received."""
        self.remove(connection)
        self._served.add(connection)

    def end_request(self, connection: T) -> None:
        """Records that a response was sent, if the connection is open."""
        if connection in self._served:
            self._served.discard(connection)
            self._idle[connection] = None

    def remove(self, connection: T) -> None:
        """Records that a connection was closed."""
        self._unserved.pop(connection, None)
        self._idle.pop(connection, None)
        self._served.discard(connection)

    def try_make_room(self, close: Callable[[T], object]) -> bool:
        """Closes a connection for a new one if there are too many.

        Args:
            close: Closes a connection, and removes it here.

        Returns:
            Whether there is room now.
        """
        if len(self) < self.max_connections and not self._is_short():
            return True
        for waiting in (self._unserved, self._idle):
            if waiting:
                self.evicted_count += 1
                close(next(iter(waiting)))
                return True
        self.refused_count += 1
        return False

    def __repr__(self) -> str:
        return f"ConnectionLimit(open={len(self)}, max={self.max_connections})"
