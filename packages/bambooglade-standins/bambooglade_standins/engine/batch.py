"""Continuous batching: a number of streams run, the others wait by priority."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import heapq
import itertools
import threading

_POLL_S = 0.05


class CancelledError(Exception):
    """The caller went away while its request waited."""


class Batch:
    """The slots of an engine.

    Args:
        slots: Streams that run at the same time.
    """

    __slots__ = ("_changed", "_counter", "_free", "_heap", "slots")

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self._free = slots
        self._heap: list[tuple[int, int]] = []
        self._counter = itertools.count()
        self._changed = threading.Condition()

    @property
    def running(self) -> int:
        """Returns the number of streams that run."""
        return self.slots - self._free

    @property
    def waiting(self) -> int:
        """Returns the number of requests that wait for a slot."""
        return len(self._heap)

    @contextlib.contextmanager
    def slot(
        self, *, priority: int, cancelled: Callable[[], bool]
    ) -> Iterator[None]:
        """Holds a slot; higher priorities get theirs first.

        Raises:
            Cancelled: The caller went away while waiting.
        """
        self._enter((-priority, next(self._counter)), cancelled)
        try:
            yield
        finally:
            with self._changed:
                self._free += 1
                self._changed.notify_all()

    def _enter(
        self, ticket: tuple[int, int], cancelled: Callable[[], bool]
    ) -> None:
        with self._changed:
            heapq.heappush(self._heap, ticket)
            while not (self._free and self._heap[0] == ticket):
                self._changed.wait(_POLL_S)
                if cancelled():
                    self._heap.remove(ticket)
                    heapq.heapify(self._heap)
                    self._changed.notify_all()
                    raise CancelledError
            heapq.heappop(self._heap)
            self._free -= 1
            self._changed.notify_all()

    def __repr__(self) -> str:
        return f"Batch(running={self.running}, waiting={self.waiting})"
