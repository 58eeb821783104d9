"""Event loop on virtual time, for tests without sockets."""

from __future__ import annotations

from bambooglade.core import clock as clock_lib
from bambooglade.eventloop import loop as loop_lib


class VirtualLoop(loop_lib.EventLoop):
    """Event loop whose timers run when `advance` reaches their due time.

    Examples:
        >>> loop = VirtualLoop()
        >>> seen = []
        >>> _ = loop.call_later(10, seen.append, "due")
        >>> loop.advance(9)
        >>> seen
        []
        >>> loop.advance(1)
        >>> seen
        ['due']
    """

    __slots__ = ("_manual_clock",)

    def __init__(self, *, now_ms: int = 1_000_000) -> None:
        self._manual_clock = clock_lib.ManualClock(now_ms=now_ms)
        super().__init__(self._manual_clock)

    def advance(self, delta_ms: int) -> None:
        """Advances virtual time, running each due timer in order."""
        end_ms = self.now_ms() + delta_ms
        while True:
            step_ms = min(self._next_timer_in_ms(), end_ms - self.now_ms())
            self._manual_clock.advance(delta_ms=step_ms)
            self._run_timers()
            if self.now_ms() >= end_ms and self._next_timer_in_ms() > 0:
                return
