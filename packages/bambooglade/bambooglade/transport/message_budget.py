"""Bounds the bytes of requests that the threads of a process hold at a time.

The budget of an event loop decides; a lock makes it usable by threads. Each
connection has a share for the request that is received or served on it: its
head, its body, and what was read behind them. A share changes with each read
from its socket, so that the lock is taken as often as the system is called.

See Also:
    bambooglade.eventloop.byte_budget: decides which request is given up.
    bambooglade.transport.byte_pool: the same for responses that are received.
"""

from __future__ import annotations

from collections.abc import Callable
import threading

from bambooglade.eventloop import byte_budget

RELEASE_TIMEOUT_S = 2.0
"""Longest wait for the threads of requests that were given up.

A request that has waited for so long is refused.
"""


class MessageBudget:
    """Bytes that the requests of a process may take at a time; thread-safe.

    Args:
        limit_bytes: Most bytes of all requests.
        now_ms: Returns the current time; without it, no request is stalled.

    Examples:
        >>> budget = MessageBudget(100)
        >>> first, second = budget.open(lambda: None), budget.open(lambda: None)
        >>> first.resize(90), second.resize(20), first.is_discarded
        (True, True, True)
        >>> first.try_keep(), second.try_keep()
        (False, True)
        >>> second.close()
        >>> budget.held_bytes, budget.given_up_count, budget.refused_count
        (0, 1, 0)
    """

    __slots__ = ("_budget", "_changed", "_unreleased_bytes")

    def __init__(
        self,
        limit_bytes: int = byte_budget.DEFAULT_LIMIT_BYTES,
        *,
        now_ms: Callable[[], int] = lambda: 0,
    ) -> None:
        self._budget = byte_budget.ByteBudget(limit_bytes, now_ms=now_ms)
        self._changed = threading.Condition()
        self._unreleased_bytes = 0

    def set_memory(self, memory_mb: float) -> None:
        """Sets the limit to a part of the memory of the process."""
        with self._changed:
            self._budget.set_memory(memory_mb)

    def open(self, discard: Callable[[], None]) -> LockedShare:
        """Returns the share of a connection that holds no bytes yet.

        Args:
            discard: Called by any thread, with the lock held, when the request
                has to be given up. It must not block, nor use the budget.
        """
        return LockedShare(self, discard)

    @property
    def held_bytes(self) -> int:
        """Bytes that are held now, but for requests that were given up."""
        return self._budget.held_bytes

    @property
    def unreleased_bytes(self) -> int:
        """Bytes of requests that were given up, until their threads notice."""
        return self._unreleased_bytes

    @property
    def limit_bytes(self) -> int:
        """Most bytes of all requests."""
        return self._budget.limit_bytes

    @property
    def given_up_count(self) -> int:
        """Number of requests that were given up before they were complete."""
        return self._budget.given_up_count

    @property
    def refused_count(self) -> int:
        """Number of complete requests without room."""
        return self._budget.refused_count

    def has_room(self) -> bool:
        """Returns whether the limit is kept, given-up requests included."""
        held_bytes = self._budget.held_bytes + self._unreleased_bytes
        return held_bytes <= self._budget.limit_bytes

    def __repr__(self) -> str:
        return f"MessageBudget({self._budget!r})"


class LockedShare:
    """What the request of one connection takes of a budget; thread-safe.

    Args:
        owner: The budget.
        discard: Called when the request has to be given up.
    """

    __slots__ = ("_discard", "_owner", "_share", "_unreleased_bytes")

    def __init__(
        self, owner: MessageBudget, discard: Callable[[], None]
    ) -> None:
        self._owner = owner
        self._discard = discard
        self._share = owner._budget.open(self._give_up)
        self._unreleased_bytes = 0

    @property
    def is_discarded(self) -> bool:
        """Whether the request was given up."""
        return self._share.is_discarded

    def resize(self, held_bytes: int) -> bool:
        """Records how many bytes are held; returns False once given up."""
        with self._owner._changed:
            return self._resize(held_bytes)

    def grow(self, size_bytes: int) -> bool:
        """Records that further bytes were received.

        It waits until the threads of requests that were given up for them have
        released theirs. The bytes of both would exceed the limit otherwise.

        Returns:
            Whether the request may go on; False once it was given up, or if
            they take too long.
        """
        owner = self._owner
        with owner._changed:
            if not self._resize(self._share.held_bytes + size_bytes):
                return False
            is_over = owner._changed.wait_for(
                lambda: self.is_discarded or owner.has_room(), RELEASE_TIMEOUT_S
            )
            if not is_over:
                self._share.give_up()
            return not self.is_discarded

    def try_keep(self) -> bool:
        """Records that the request is complete, and is not given up any more.

        Returns:
            Whether there is room for it until it is released.
        """
        with self._owner._changed:
            if self._share.is_kept:
                return True
            return not self._share.is_discarded and self._share.try_keep()

    def release(self) -> None:
        """Records that the request was answered, and holds nothing."""
        with self._owner._changed:
            self._share.release()
            self._forget_unreleased()

    def close(self) -> None:
        """Ends the share; closing again has no effect."""
        with self._owner._changed:
            self._share.close()
            self._forget_unreleased()

    def _resize(self, held_bytes: int) -> bool:
        if not self.is_discarded:
            # The share itself holds nothing any more once it is given up.
            self._unreleased_bytes = held_bytes
        return self._share.resize(held_bytes)

    def _give_up(self) -> None:
        self._owner._unreleased_bytes += self._unreleased_bytes
        self._discard()

    def _forget_unreleased(self) -> None:
        if self.is_discarded:
            self._owner._unreleased_bytes -= self._unreleased_bytes
        self._unreleased_bytes = 0
        self._owner._changed.notify_all()

    def __repr__(self) -> str:
        return f"LockedShare({self._share!r})"
