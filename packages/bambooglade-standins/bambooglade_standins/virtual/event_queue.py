"""Event queue that schedules actions on virtual time."""

from __future__ import annotations

from collections.abc import Callable
import heapq
import itertools

from bambooglade.core import clock


class EventQueue:
    """Runs actions in the order of their due times and advances a manual clock.

    Actions with the same due time run in the order in which they were added.

    Examples:
        >>> queue = EventQueue()
        >>> ran = []
        >>> queue.after(delay_ms=5, action=lambda: ran.append("late"))
        >>> queue.after(delay_ms=2, action=lambda: ran.append("early"))
        >>> queue.run_for(duration_ms=10)
        >>> ran, queue.now_ms
        (['early', 'late'], 10)
    """

    __slots__ = ("_clock", "_heap", "_sequence")

    def __init__(self, *, start_ms: int = 0) -> None:
        self._clock = clock.ManualClock(now_ms=start_ms)
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._sequence = itertools.count()

    @property
    def now_ms(self) -> int:
        """The virtual time in milliseconds."""
        return self._clock.now_ms()

    def after(self, *, delay_ms: int, action: Callable[[], None]) -> None:
        """Schedules an action after a delay of 0 ms or more."""
        due_ms = self.now_ms + delay_ms
        heapq.heappush(self._heap, (due_ms, next(self._sequence), action))

    def run_for(self, *, duration_ms: int) -> None:
        """Advances virtual time and runs all actions that become due."""
        end_ms = self.now_ms + duration_ms
        while self._heap and self._heap[0][0] <= end_ms:
            due_ms, _, action = heapq.heappop(self._heap)
            self._clock.advance(delta_ms=max(0, due_ms - self.now_ms))
            action()
        self._clock.advance(delta_ms=max(0, end_ms - self.now_ms))

    def __repr__(self) -> str:
        return f"EventQueue(now_ms={self.now_ms}, waiting={len(self._heap)})"
