"""Bounds the long responses that the threads of a process hold at a time.

See Also:
    bambooglade.transport.message_budget: the same for requests.
"""

from __future__ import annotations

import threading

FREE_BYTES = 65_536
"""Bytes of each body that count for nothing; most bodies are shorter.

So a few that have no end keep no other from being received.
"""

LIMIT_BYTES = 67_108_864
"""Bytes of all bodies of a process beyond these."""


class BytePool:
    """Bytes that all bodies together may take; thread-safe.

    Args:
        limit_bytes: Most bytes at a time.

    Examples:
        >>> pool = BytePool(100)
        >>> pool.try_acquire(90), pool.try_acquire(20)
        (True, False)
        >>> pool.release(90)
        >>> pool.try_acquire(20)
        True
    """

    __slots__ = ("_held_bytes", "_lock", "limit_bytes")

    def __init__(self, limit_bytes: int = LIMIT_BYTES) -> None:
        self._lock = threading.Lock()
        self._held_bytes = 0
        self.limit_bytes = limit_bytes

    @property
    def held_bytes(self) -> int:
        """Bytes that are taken now."""
        with self._lock:
            return self._held_bytes

    def try_acquire(self, size_bytes: int) -> bool:
        """Takes bytes; returns False if there are not enough."""
        with self._lock:
            if self._held_bytes + size_bytes > self.limit_bytes:
                return False
            self._held_bytes += size_bytes
            return True

    def release(self, size_bytes: int) -> None:
        """Gives bytes back."""
        with self._lock:
            self._held_bytes -= size_bytes

    def __repr__(self) -> str:
        return f"BytePool(held={self.held_bytes}, limit={self.limit_bytes})"


OF_PROCESS = BytePool()
"""The pool of all clients of the process."""


class PooledBody:
    """A body that grows, and draws on a pool for what is beyond the free part.

    Args:
        pool: The pool.
    """

    __slots__ = ("_acquired_bytes", "_pool", "data")

    def __init__(self, pool: BytePool) -> None:
        self._pool = pool
        self._acquired_bytes = 0
        self.data = bytearray()

    def append(self, part: bytes) -> bool:
        """Appends a part; returns False if the pool has too few bytes."""
        needed = len(self.data) + len(part) - FREE_BYTES - self._acquired_bytes
        if needed > 0:
            if not self._pool.try_acquire(needed):
                return False
            self._acquired_bytes += needed
        self.data += part
        return True

    def close(self) -> None:
        """Gives back what was drawn."""
        self._pool.release(self._acquired_bytes)
        self._acquired_bytes = 0

    def __repr__(self) -> str:
        return f"PooledBody(size={len(self.data)})"
